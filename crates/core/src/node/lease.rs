//! Requests and renews this node's lease at the state service.
use super::Node;
use crate::context::Operation;
use crate::guards::{is_enforced, Guard};
use crate::ids::Timestamp;
use crate::io::{Effects, LogLevel, StoreCall, StoreResult};
use crate::shard::{Lease, LEASE_RENEWAL_INTERVAL_MS, LEASE_TTL_MS};

/// A lease request or renewal without an answer for longer than this counts as lost, in ms.
const LEASE_CALL_TIMEOUT_MS: u64 = 2500;
/// Delay of the next renewal after one that failed, in ms.
const LEASE_RETRY_DELAY_MS: u64 = 300;

impl Node {
    /// Requests a lease, or renews the present one, when that is due.
    pub(super) fn tick_lease(&mut self, effects: &mut Effects) {
        let now = effects.now;
        let lease = &mut self.shared.lease;
        let in_flight = lease.call_sent_at.is_some_and(|sent| now <= sent + LEASE_CALL_TIMEOUT_MS);
        if now < lease.next_call_at || in_flight {
            return;
        }
        lease.call_sent_at = Some(now);
        lease.next_call_at = now + LEASE_RENEWAL_INTERVAL_MS;
        let id = lease.id;
        let mut context = self.shared.context(effects);
        match id {
            Some(lease) => context.call_store(
                Operation::RenewLease { sent: now, lease },
                StoreCall::RenewLease { lease },
            ),
            None => context.call_store(
                Operation::NewLease { sent: now },
                StoreCall::NewLease { ttl_ms: LEASE_TTL_MS },
            ),
        }
    }

    /// Handles the answer to a lease request that was sent at `sent`.
    pub(super) fn on_lease_result(
        &mut self,
        effects: &mut Effects,
        sent: Timestamp,
        result: &StoreResult,
    ) {
        let lease = &mut self.shared.lease;
        lease.call_sent_at = None;
        // The lease counts from when this request was sent, not from when a later one was.
        if let (StoreResult::Lease(id), None) = (result, lease.id) {
            lease.id = Some(*id);
            lease.renewed_at = sent;
            self.tick_ownership(effects);
        }
    }

    /// Handles the answer to a renewal of the lease `id` that was sent at `sent`. The answer is
    /// ignored if `id` is an earlier lease.
    pub(super) fn on_renewal_result(
        &mut self,
        effects: &mut Effects,
        id: u64,
        sent: Timestamp,
        result: &StoreResult,
    ) {
        let now = effects.now;
        let lease = &mut self.shared.lease;
        if lease.id != Some(id) {
            return;
        }
        lease.call_sent_at = None;
        match result {
            StoreResult::LeaseRenewed => {
                let from = if is_enforced(Guard::LeaseCountedFromSend) { sent } else { now };
                lease.renewed_at = lease.renewed_at.max(from);
            }
            StoreResult::NoLease => {
                effects.log(LogLevel::Info, "lease_lost", String::new);
                self.timers.delay_home_reclaim(now);
                self.lose_lease(effects);
            }
            _ => lease.next_call_at = now + LEASE_RETRY_DELAY_MS,
        }
    }

    /// Handles the loss of the lease, which the state service no longer knows: drops all shards, and
    /// makes the request for a new lease due. The shards' keys are listed anew, because an acquisition
    /// under the lost lease that this node has not learned of yet must not count under the new one.
    pub(super) fn lose_lease(&mut self, effects: &mut Effects) {
        self.shared.lease = Lease { next_call_at: effects.now, ..Lease::default() };
        self.drop_all(effects);
        self.shard_list.relist_from(effects.now);
    }
}
