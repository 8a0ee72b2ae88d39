//! Whether a worker receives what we send, though its heartbeats reach us.
//!
//! Heartbeats may come from a machine that neither answers nor commands reach (a one-way partition).
//! Nothing that was sent to it proves anything then; what it reports proves what it always did. It is
//! told apart by the paths that it takes: a worker without an answer waits 4 s, turns to the next
//! controller a second later, and goes round; one that was answered comes again by the same path when
//! its next heartbeat is due.
use crate::ids::{NodeIdx, Timestamp};

/// This many heartbeats in a row without proof make a worker unreachable.
const MAX_UNPROVEN_HEARTBEATS: u32 = 2;

/// The path a heartbeat came by: straight from the worker (none), or relayed by that sibling.
pub type HeartbeatPath = Option<NodeIdx>;

/// The last heartbeat of a worker.
#[derive(Clone, Copy, Debug)]
struct LastHeartbeat {
    path: HeartbeatPath,
    at: Timestamp,
}

/// Whether one worker is reachable.
///
/// Invariants: only what the worker itself did proves that it is; a worker that is not known to be
/// after `MAX_UNPROVEN_HEARTBEATS` in a row, or whose lease ran out although it was answered, gets no
/// new work until that is proven again; its tasks are not called gone for it.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// None: the next heartbeat proves nothing.
    last: Option<LastHeartbeat>,
    /// Heartbeats, or an equivalent, since the last proof.
    unproven: u32,
    unreachable_since: Option<Timestamp>,
}

impl Reachability {
    /// A new heartbeat came; a worker that was answered sends its next one within `due_ms`.
    pub fn report(&mut self, via: HeartbeatPath, due_ms: u64, now: Timestamp) {
        let same_path = self.last.is_some_and(|last| last.path == via && now <= last.at + due_ms);
        self.last = Some(LastHeartbeat { path: via, at: now });
        if same_path {
            self.proven();
        } else {
            self.add_unproven(1, now);
        }
    }

    /// Its lease ran out although it was answered, or it began anew: it has to prove itself.
    pub fn lease_ended(&mut self, now: Timestamp) {
        self.last = None;
        self.add_unproven(MAX_UNPROVEN_HEARTBEATS, now);
    }

    /// It executed a command, or answered one: it is reachable.
    pub fn proven(&mut self) {
        self.unproven = 0;
        self.unreachable_since = None;
    }

    fn add_unproven(&mut self, heartbeats: u32, now: Timestamp) {
        self.unproven = self.unproven.saturating_add(heartbeats);
        if self.unproven >= MAX_UNPROVEN_HEARTBEATS {
            self.unreachable_since.get_or_insert(now);
        }
    }

    /// Since when it is taken for unreachable; none: it is not.
    pub fn unreachable_since(&self) -> Option<Timestamp> {
        self.unreachable_since
    }
}

#[cfg(test)]
mod tests;
