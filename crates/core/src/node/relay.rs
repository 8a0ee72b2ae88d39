//! Workers that don't reach the owner of their machine's shard, though this node does: their reports
//! are passed on to it, and its answers back. (Found on incidents and hunts: a controller that lost
//! its workers and nothing else kept its shard, all its siblings sent the workers back to it, and the
//! leases of its whole part ran out.)
//!
//! Invariants:
//! - an answer is the owner's own, under its epoch: who passes it on grants and commands nothing;
//! - a worker is tried on the direct way again, ever more rarely, and only just after an answer, so
//!   that its lease outlasts a try in vain;
//! - who comes here because its owner is new is sent there at once: a takeover brings them all.
use crate::ids::{MachineIdx, Timestamp};
use std::collections::HashMap;

/// Who comes back so soon after it was sent to its owner did not reach it: a worker waits 4 s for an
/// answer, and 1 s more.
const CAME_BACK_MS: u64 = 12_000;
/// Passed on for so long before the direct way is tried again; twice as long after each try in vain.
const FIRST_MS: u64 = 15_000;
const MOST_MS: u64 = 120_000;
/// A lease was renewed here if a report was passed on so lately.
const FRESH_MS: u64 = 8_000;
/// Who has not come for so long starts anew.
const FORGET_MS: u64 = 180_000;
/// An owner is new for so long: workers are still on their way to it.
const NEW_OWNER_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Route {
    /// It is sent to the owner.
    Direct,
    /// Its report is passed on.
    Detour,
}

#[derive(Clone, Copy, Debug)]
struct Visit {
    seen: Timestamp,
    /// When it was last sent to the owner, and not come back yet.
    sent_on: Option<Timestamp>,
    /// When a report of it was last passed on.
    passed_at: Option<Timestamp>,
    /// The direct way is not tried before.
    try_at: Timestamp,
    wait_ms: u64,
}

/// Workers that came here though their machines' shards are a sibling's.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayTable {
    visits: HashMap<MachineIdx, Visit>,
}

impl RelayTable {
    /// A worker of a sibling's shard has come; `busy`: it has tasks, which its lease keeps alive;
    /// `owner_for`: so long the shard has had this owner.
    pub fn way(&mut self, m: MachineIdx, busy: bool, owner_for: u64, now: Timestamp) -> Route {
        let (sent_on, passed_at) = (None, None);
        let new = Visit { seen: now, sent_on, passed_at, try_at: now, wait_ms: FIRST_MS };
        let v = self.visits.entry(m).or_insert(new);
        v.seen = now;
        let came_back = v.sent_on.take().is_some_and(|at| now < at + CAME_BACK_MS);
        if came_back {
            v.try_at = now + v.wait_ms;
            v.wait_ms = (v.wait_ms * 2).min(MOST_MS);
        }
        // By the time that it comes, most of its lease may be over: one more try in vain, and its
        // tasks are lost. (Found on a hunt: workers that had come by during a takeover, long before
        // their owner lost them, were sent on first, and 169 leases ran out.)
        let fresh = v.passed_at.is_some_and(|at| now < at + FRESH_MS);
        let in_need = !fresh && busy && owner_for >= NEW_OWNER_MS;
        if in_need || now < v.try_at {
            v.passed_at = Some(now);
            return Route::Detour;
        }
        v.sent_on = Some(now);
        Route::Direct
    }

    /// Forgets who has not come for long.
    pub fn expire(&mut self, now: Timestamp) {
        self.visits.retain(|_, v| now < v.seen + FORGET_MS);
    }

    /// How many workers are on a detour now.
    pub fn count(&self, now: Timestamp) -> usize {
        self.visits.values().filter(|v| now < v.try_at).count()
    }
}

#[cfg(test)]
mod tests;
