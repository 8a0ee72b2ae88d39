//! Workers that don't reach the owner of their machine's shard, though this node does: their
//! heartbeats are relayed to it, and its answers back. (Found on incidents and hunts: a controller that
//! lost its workers and nothing else kept its shard, all its siblings sent the workers back to it, and
//! the leases of its whole part ran out.)
//!
//! Invariants:
//! - an answer is the owner's own, under its epoch: the node that relays it grants and commands nothing;
//! - a worker is redirected to its owner again at growing intervals, and only just after an answer, so
//!   that its lease outlasts a failed attempt;
//! - a worker that comes here because its owner is new is sent there at once: a takeover brings them
//!   all.
use crate::ids::{MachineIdx, Timestamp};
use std::collections::HashMap;

/// A worker that comes back within this time after it was sent to its owner did not reach it: a
/// worker waits 4 s for an answer, and 1 s more.
const RETURN_WINDOW_MS: u64 = 12_000;
/// A worker's heartbeats are relayed for this long before the worker is redirected again; twice as
/// long after each failed attempt.
const INITIAL_RELAY_MS: u64 = 15_000;
/// Upper bound of that time.
const MAX_RELAY_MS: u64 = 120_000;
/// The worker's lease was renewed by a relayed heartbeat within this time: it outlasts an attempt.
const FRESH_LEASE_MS: u64 = 8_000;
/// A worker that has not come for this long starts anew.
const FORGET_AFTER_MS: u64 = 180_000;
/// An owner is new for this long: workers are still on their way to it.
const NEW_OWNER_MS: u64 = 10_000;

/// How a worker's heartbeat gets to the owner of its machine's shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Route {
    /// The worker is sent to the owner.
    Direct,
    /// Its heartbeat is passed on.
    Relayed,
}

/// A heartbeat of a worker whose machine's shard is a sibling's.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerVisit {
    pub(super) machine: MachineIdx,
    /// It has tasks, which its lease keeps alive.
    pub(super) busy: bool,
    /// For how long, in ms, the shard has had its present owner.
    pub(super) owner_for_ms: u64,
}

/// What is remembered of one such worker.
#[derive(Clone, Copy, Debug)]
struct VisitHistory {
    last_visit: Timestamp,
    /// When it was last sent to the owner, and not come back yet.
    redirected_at: Option<Timestamp>,
    /// When a heartbeat of it was last relayed.
    relayed_at: Option<Timestamp>,
    /// It is not redirected before this time.
    retry_direct_at: Timestamp,
    /// For how long, in ms, it is relayed after the next failed attempt. Invariant: at most
    /// `MAX_RELAY_MS`.
    relay_ms: u64,
}

/// Workers that came here though their machines' shards are a sibling's.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayTable {
    visits: HashMap<MachineIdx, VisitHistory>,
}

impl RelayTable {
    /// A worker of a sibling's shard has come: decides how its heartbeat goes on.
    pub(super) fn route(&mut self, visit: WorkerVisit, now: Timestamp) -> Route {
        let history = self.visits.entry(visit.machine).or_insert(VisitHistory {
            last_visit: now,
            redirected_at: None,
            relayed_at: None,
            retry_direct_at: now,
            relay_ms: INITIAL_RELAY_MS,
        });
        history.last_visit = now;
        let redirected_at = history.redirected_at.take();
        if redirected_at.is_some_and(|at| now < at + RETURN_WINDOW_MS) {
            history.retry_direct_at = now + history.relay_ms;
            history.relay_ms = (history.relay_ms * 2).min(MAX_RELAY_MS);
        }
        // By the time that it comes, most of its lease may be over: one more failed attempt, and
        // its tasks are lost. (Found on a hunt: workers that had come by during a takeover, long before
        // their owner lost them, were redirected first, and 169 leases ran out.)
        let fresh = history.relayed_at.is_some_and(|at| now < at + FRESH_LEASE_MS);
        let lease_at_risk = !fresh && visit.busy && visit.owner_for_ms >= NEW_OWNER_MS;
        if lease_at_risk || now < history.retry_direct_at {
            history.relayed_at = Some(now);
            return Route::Relayed;
        }
        history.redirected_at = Some(now);
        Route::Direct
    }

    /// Forgets workers that have not come for long.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.visits.retain(|_, history| now < history.last_visit + FORGET_AFTER_MS);
    }

    /// How many workers' heartbeats are relayed now.
    pub(super) fn relayed_workers(&self, now: Timestamp) -> usize {
        self.visits.values().filter(|history| now < history.retry_direct_at).count()
    }
}

#[cfg(test)]
mod tests;
