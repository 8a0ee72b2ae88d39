//! Pending instance requests. Each has a name, its idempotency key, and is retried under that name
//! until its outcome is known.
//!
//! Invariants:
//! - A name is used for one request only: it contains the provisioner's epoch and a number that
//!   increases.
//! - A request whose outcome is unknown is never dropped, only retried unchanged. A request that was
//!   certainly not executed is dropped, and planned again under another name.
//! - At most [`MAX_PENDING_REQUESTS`] requests are pending, and the most urgent are sent first.
//!
//! With only one request pending at a time, waits grew in proportion to the fleet when it was scaled
//! out from empty, however many calls the cloud allowed.
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, Timestamp};
use crate::io::CloudResult;
use leaddeal_wire::cloud::InstanceRequest;
use std::collections::BTreeMap;

/// Maximum number of requests that are pending at once. The cloud's rate limit spaces out the calls;
/// this limits how many of them wait for a response.
const MAX_PENDING_REQUESTS: usize = 24;
/// Maximum number of instances that the cloud launches for one call.
pub(super) const MAX_INSTANCES_PER_REQUEST: u32 = 50;
/// Delay before a request is sent again, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 1000;

#[derive(Clone, Debug)]
struct PendingRequest {
    request: InstanceRequest,
    /// A call got no conclusive response and may have been executed: the request is retried under the
    /// same name until there is one.
    outcome_unknown: bool,
    retry_at: Timestamp,
    call_in_flight: bool,
}

/// Outcome of sending a request.
#[derive(Debug, PartialEq)]
pub(super) enum RequestOutcome {
    /// These instances were launched, perhaps fewer than requested.
    Launched { request: InstanceRequest, instances: Vec<String> },
    /// The cloud has no capacity for it.
    NoCapacity(InstanceRequest),
    /// The outcome is not known yet, or the request was certainly not executed and is dropped.
    Pending,
}

/// The requests whose outcome is not known yet.
#[derive(Debug, Default)]
pub(super) struct InstanceRequests {
    /// By number, which is also the order of urgency.
    pending: BTreeMap<u64, PendingRequest>,
    last_number: u64,
}

impl InstanceRequests {
    /// Returns how many more requests may be added.
    pub(super) fn available(&self) -> usize {
        MAX_PENDING_REQUESTS.saturating_sub(self.pending.len())
    }

    /// Returns whether any request has not been sent yet.
    pub(super) fn has_unsent(&self) -> bool {
        self.pending.values().any(|pending| !pending.call_in_flight && !pending.outcome_unknown)
    }

    /// Adds a request and gives it a new name. The name in `request` is ignored.
    pub(super) fn add(&mut self, epoch: Epoch, mut request: InstanceRequest, now: Timestamp) {
        self.last_number += 1;
        // The epoch makes the name unique among all owners of the provisioner's shard. Without it the
        // cloud would take a new owner's request for a retry of an older one.
        let epoch = if is_enforced(Guard::InstanceRequestNamedByEpoch) { epoch } else { Epoch(0) };
        request.request = format!("r-{}-{}", epoch.0, self.last_number);
        request.count = request.count.clamp(1, MAX_INSTANCES_PER_REQUEST);
        let pending = PendingRequest {
            request,
            outcome_unknown: false,
            retry_at: now,
            call_in_flight: false,
        };
        self.pending.insert(self.last_number, pending);
    }

    /// Returns the next request to send, with its number, and marks it as in flight; `None` if none
    /// is due.
    pub(super) fn next_to_send(&mut self, now: Timestamp) -> Option<(u64, InstanceRequest)> {
        let is_due = |pending: &PendingRequest| !pending.call_in_flight && now >= pending.retry_at;
        let (&number, pending) = self.pending.iter_mut().find(|(_, pending)| is_due(pending))?;
        pending.call_in_flight = true;
        Some((number, pending.request.clone()))
    }

    /// Handles the result of sending the request with this number.
    pub(super) fn on_result(
        &mut self,
        now: Timestamp,
        number: u64,
        result: CloudResult,
    ) -> RequestOutcome {
        let Some(mut pending) = self.pending.remove(&number) else {
            return RequestOutcome::Pending;
        };
        match result {
            CloudResult::Launched(instances) => {
                return RequestOutcome::Launched { request: pending.request, instances };
            }
            CloudResult::NoCapacity => return RequestOutcome::NoCapacity(pending.request),
            CloudResult::Refused if !pending.outcome_unknown => return RequestOutcome::Pending,
            CloudResult::Refused => {}
            CloudResult::Catalog(_)
            | CloudResult::Released
            | CloudResult::InstanceList(_)
            | CloudResult::Unknown => pending.outcome_unknown = true,
        }
        pending.call_in_flight = false;
        pending.retry_at = now + RETRY_INTERVAL_MS;
        self.pending.insert(number, pending);
        RequestOutcome::Pending
    }

    /// Returns the pending requests, in the order of urgency.
    pub(super) fn pending(&self) -> impl Iterator<Item = &InstanceRequest> {
        self.pending.values().map(|pending| &pending.request)
    }
}

#[cfg(test)]
mod tests;
