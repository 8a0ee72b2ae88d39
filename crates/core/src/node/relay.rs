//! Relays heartbeats of workers that can't reach the owner of their machine's shard while this node
//! can. Without relaying, a controller that was unreachable for its workers, but for nothing else,
//! kept its shard, all its siblings redirected the workers back to it, and the leases of all workers
//! of the shard expired.
//!
//! Invariants:
//! - An answer is always the owner's own, under its epoch. The relaying node grants and commands
//!   nothing.
//! - A relayed worker is redirected to the owner again at growing intervals, and only shortly after an
//!   answer, so its lease outlasts a failed try to reach the owner.
//! - A worker that sends its heartbeat here because its shard has a new owner is redirected at once,
//!   because after a failover all workers of the shard do so.
use crate::ids::{MachineIdx, Timestamp};
use std::collections::HashMap;

/// A redirected worker that sends a heartbeat here again within this time, in ms, did not reach the
/// owner: a worker waits 4 s for an answer, and 1 s more before it asks the next node.
const RETURN_WINDOW_MS: u64 = 12_000;
/// Time for which a worker's heartbeats are relayed before the worker is redirected again, in ms. It
/// doubles after each redirect that fails.
const INITIAL_RELAY_MS: u64 = 15_000;
/// Upper bound of the time for which a worker is relayed after a failed redirect, in ms.
const MAX_RELAY_MS: u64 = 120_000;
/// A worker's lease outlasts a failed redirect if a relayed heartbeat renewed it within this time, in
/// ms.
const FRESH_LEASE_MS: u64 = 8_000;
/// A worker that has sent no heartbeat here for this long is forgotten, in ms.
const FORGET_AFTER_MS: u64 = 180_000;
/// An owner counts as new for this long, in ms: workers may not have switched to it yet.
const NEW_OWNER_MS: u64 = 10_000;

/// How a worker's heartbeat reaches the owner of its machine's shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Route {
    /// The worker is redirected to the owner.
    Redirected,
    /// This node relays the heartbeat.
    Relayed,
}

/// A heartbeat, received by this node, of a worker whose machine's shard a sibling owns.
#[derive(Clone, Copy, Debug)]
pub(super) struct MisdirectedHeartbeat {
    pub(super) machine: MachineIdx,
    /// Whether the worker has tasks, which it stops when its lease expires.
    pub(super) has_tasks: bool,
    /// For how long, in ms, the shard has had its present owner.
    pub(super) owner_age_ms: u64,
}

/// What this node remembers of a worker that has sent it misdirected heartbeats.
#[derive(Clone, Copy, Debug)]
struct RoutingHistory {
    last_heartbeat_at: Timestamp,
    /// When the worker was redirected to the owner; `None` if its last heartbeat was relayed.
    redirected_at: Option<Timestamp>,
    /// When a heartbeat of the worker was last relayed.
    relayed_at: Option<Timestamp>,
    /// The worker is not redirected before this time.
    retry_redirect_at: Timestamp,
    /// For how long, in ms, the worker is relayed after the next failed redirect. Invariant: at most
    /// `MAX_RELAY_MS`.
    relay_ms: u64,
}

/// Workers that have sent heartbeats to this node although siblings own their machines' shards.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayTable {
    workers: HashMap<MachineIdx, RoutingHistory>,
}

impl RelayTable {
    /// Decides how a misdirected heartbeat reaches the owner of its machine's shard.
    pub(super) fn route(&mut self, heartbeat: MisdirectedHeartbeat, now: Timestamp) -> Route {
        let history = self.workers.entry(heartbeat.machine).or_insert(RoutingHistory {
            last_heartbeat_at: now,
            redirected_at: None,
            relayed_at: None,
            retry_redirect_at: now,
            relay_ms: INITIAL_RELAY_MS,
        });
        history.last_heartbeat_at = now;
        let redirected_at = history.redirected_at.take();
        if redirected_at.is_some_and(|at| now < at + RETURN_WINDOW_MS) {
            history.retry_redirect_at = now + history.relay_ms;
            history.relay_ms = (history.relay_ms * 2).min(MAX_RELAY_MS);
        }
        // When a worker turns to this node, most of its lease may have passed, and one more failed
        // redirect would lose its tasks. 169 leases expired when workers were redirected first because
        // they had sent heartbeats here during a failover, long before they lost their owner.
        let is_lease_fresh = history.relayed_at.is_some_and(|at| now < at + FRESH_LEASE_MS);
        let is_lease_at_risk =
            !is_lease_fresh && heartbeat.has_tasks && heartbeat.owner_age_ms >= NEW_OWNER_MS;
        if is_lease_at_risk || now < history.retry_redirect_at {
            history.relayed_at = Some(now);
            return Route::Relayed;
        }
        history.redirected_at = Some(now);
        Route::Redirected
    }

    /// Forgets workers that have not sent a heartbeat here for [`FORGET_AFTER_MS`].
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.workers.retain(|_, history| now < history.last_heartbeat_at + FORGET_AFTER_MS);
    }

    /// Returns the number of workers whose heartbeats are being relayed.
    pub(super) fn relayed_workers(&self, now: Timestamp) -> usize {
        self.workers.values().filter(|history| now < history.retry_redirect_at).count()
    }
}

#[cfg(test)]
mod tests;
