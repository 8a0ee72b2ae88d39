//! Keeping this node's lease at the state service.
use super::Node;
use crate::context::Operation;
use crate::guards::{is_enforced, Guard};
use crate::ids::Timestamp;
use crate::io::{Effects, LogLevel, StoreCall, StoreResult};
use crate::shard::{Lease, LEASE_MS, RENEW_MS};

/// A call for the lease that got no answer for longer than this is taken for lost.
const LEASE_CALL_TIMEOUT_MS: u64 = 2500;
/// After a renewal that failed.
const LEASE_RETRY_DELAY_MS: u64 = 300;

impl Node {
    /// Asks for a lease, or for a renewal of it, when that is due.
    pub(super) fn tick_lease(&mut self, effects: &mut Effects) {
        let now = effects.now;
        let lease = &mut self.shared.lease;
        let in_flight = lease.sent.is_some_and(|sent| now <= sent + LEASE_CALL_TIMEOUT_MS);
        if now < lease.next || in_flight {
            return;
        }
        lease.sent = Some(now);
        lease.next = now + RENEW_MS;
        let id = lease.id;
        let mut context = self.shared.context(effects);
        match id {
            Some(lease) => context.call_store(
                Operation::RenewLease { sent: now, lease },
                StoreCall::RenewLease { lease },
            ),
            None => context.call_store(
                Operation::NewLease { sent: now },
                StoreCall::NewLease { ttl_ms: LEASE_MS },
            ),
        }
    }

    /// The answer to a request for a lease that was sent at `sent`.
    pub(super) fn lease_answered(
        &mut self,
        effects: &mut Effects,
        sent: Timestamp,
        result: &StoreResult,
    ) {
        let lease = &mut self.shared.lease;
        lease.sent = None;
        // Counted from when this very request was sent, not a later try.
        if let (StoreResult::Lease(id), None) = (result, lease.id) {
            lease.id = Some(*id);
            lease.renewed = sent;
            self.tick_ownership(effects);
        }
    }

    /// The answer to a renewal of that lease, sent at `sent`. Ignored if it is of an earlier lease.
    pub(super) fn renewal_answered(
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
        lease.sent = None;
        match result {
            StoreResult::LeaseRenewed => {
                let from = if is_enforced(Guard::LeaseCountedFromSend) { sent } else { now };
                lease.renewed = lease.renewed.max(from);
            }
            StoreResult::NoLease => {
                effects.log(LogLevel::Info, "lease_lost", String::new);
                self.timers.delay_home_reclaim(now);
                self.lose_lease(effects);
            }
            _ => lease.next = now + LEASE_RETRY_DELAY_MS,
        }
    }

    /// The state service knows the lease no more: a new one is asked for, and all shards are lost.
    pub(super) fn lose_lease(&mut self, effects: &mut Effects) {
        self.shared.lease = Lease { next: effects.now, ..Lease::default() };
        self.drop_all(effects);
    }
}
