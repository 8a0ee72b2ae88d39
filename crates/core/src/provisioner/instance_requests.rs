//! Pending instance requests: each has a name, and is repeated under its name until its outcome is
//! known.
//!
//! Invariants:
//! - A name is used for one request only: it contains the provisioner's epoch and a number that
//!   rises.
//! - A request whose outcome is unknown is never dropped, only repeated unchanged; one that was
//!   certainly not executed is dropped, and planned again under another name.
//! - No more than [`MAX_PENDING_REQUESTS`] are pending, and the most urgent are sent first.
//!
//! (There was one at a time: from an empty fleet, waits grew in step with the fleet, whatever the
//! cloud allowed.)
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, Timestamp};
use crate::io::CloudResult;
use leaddeal_wire::cloud::InstanceRequest;
use std::collections::BTreeMap;

/// Requests that are pending at once. The cloud's limit of calls spaces them out; this number may
/// wait for answers.
const MAX_PENDING_REQUESTS: usize = 24;
/// The cloud launches no more instances by one call.
pub(super) const MAX_INSTANCES_PER_REQUEST: u32 = 50;
const RETRY_INTERVAL_MS: u64 = 1000;

#[derive(Clone, Debug)]
struct PendingRequest {
    request: InstanceRequest,
    /// Its outcome is unknown: the same name is requested again until there is an answer.
    outcome_unknown: bool,
    retry_at: Timestamp,
    call_in_flight: bool,
}

/// What became of a request.
#[derive(Debug, PartialEq)]
pub(super) enum RequestOutcome {
    /// These instances were launched, perhaps fewer than requested.
    Launched { request: InstanceRequest, instances: Vec<String> },
    /// The cloud has no capacity for it.
    NoCapacity(InstanceRequest),
    /// Not executed, or not known yet.
    Pending,
}

/// The requests that were made and whose outcome is not known yet.
#[derive(Debug, Default)]
pub(super) struct InstanceRequests {
    /// By number, in the order of urgency.
    pending: BTreeMap<u64, PendingRequest>,
    last_number: u64,
}

impl InstanceRequests {
    /// How many more may be added.
    pub(super) fn available(&self) -> usize {
        MAX_PENDING_REQUESTS.saturating_sub(self.pending.len())
    }

    /// Whether some wait to be sent.
    pub(super) fn has_unsent(&self) -> bool {
        self.pending.values().any(|pending| !pending.call_in_flight && !pending.outcome_unknown)
    }

    /// Adds a request, and names it. The name in `request` is ignored.
    pub(super) fn add(&mut self, epoch: Epoch, mut request: InstanceRequest, now: Timestamp) {
        self.last_number += 1;
        // The epoch makes the name one that no other owner ever uses.
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

    /// The next request that is to be sent, with its number, if one is due.
    pub(super) fn next_to_send(&mut self, now: Timestamp) -> Option<(u64, InstanceRequest)> {
        let is_due = |pending: &PendingRequest| !pending.call_in_flight && now >= pending.retry_at;
        let (&number, pending) = self.pending.iter_mut().find(|(_, pending)| is_due(pending))?;
        pending.call_in_flight = true;
        Some((number, pending.request.clone()))
    }

    /// Takes the result of sending the request of this number.
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

    /// What is launched if all requests succeed, in the order of urgency.
    pub(super) fn pending(&self) -> impl Iterator<Item = &InstanceRequest> {
        self.pending.values().map(|pending| &pending.request)
    }
}

#[cfg(test)]
mod tests;
