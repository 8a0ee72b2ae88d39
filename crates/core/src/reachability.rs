//! Detection of one-way partitions: whether a worker receives what this node sends, given that its
//! heartbeats arrive here.
//!
//! In a one-way partition heartbeats of a worker arrive, but neither answers nor commands reach it.
//! Then nothing that was sent to the worker proves anything, while its reports stay as reliable as
//! ever. Such a worker is recognized by the paths of its heartbeats. Without an answer, a worker
//! waits 4 s, tries the next controller a second later, and so tries all controllers in turn. A
//! worker that was answered sends its next heartbeat by the same path when it is due.
use crate::ids::{NodeIdx, Timestamp};

/// Number of consecutive heartbeats without proof after which a worker counts as unreachable.
const MAX_UNPROVEN_HEARTBEATS: u32 = 2;

/// The path of a heartbeat: directly from the worker (`None`), or relayed by a sibling.
pub type HeartbeatPath = Option<NodeIdx>;

/// The last heartbeat of a worker.
#[derive(Clone, Copy, Debug)]
struct LastHeartbeat {
    path: HeartbeatPath,
    at: Timestamp,
}

/// Whether one worker is reachable.
///
/// Invariants:
/// - Only what the worker itself did proves that it is reachable.
/// - A worker without proof for `MAX_UNPROVEN_HEARTBEATS` consecutive heartbeats, or whose lease
///   expired although its heartbeats were answered, gets no new tasks until it is proven reachable
///   again. Its tasks are not declared gone because of this.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// The last heartbeat; `None`: the next heartbeat proves nothing.
    last: Option<LastHeartbeat>,
    /// Heartbeats since the last proof; a lost lease or a new incarnation counts as several.
    unproven_heartbeats: u32,
    /// Since when the worker has counted as unreachable; `None`: it counts as reachable.
    unreachable_since: Option<Timestamp>,
}

impl Reachability {
    /// Records a new heartbeat. A worker that was answered sends its next one within `due_ms`.
    pub fn record_heartbeat(&mut self, via: HeartbeatPath, due_ms: u64, now: Timestamp) {
        let same_path = self.last.is_some_and(|last| last.path == via && now <= last.at + due_ms);
        self.last = Some(LastHeartbeat { path: via, at: now });
        if same_path {
            self.record_proof();
        } else {
            self.add_unproven(1, now);
        }
    }

    /// Marks the worker as unreachable until the next proof, because its lease expired although its
    /// heartbeats were answered, or because a new incarnation of it began.
    pub fn mark_unreachable(&mut self, now: Timestamp) {
        self.last = None;
        self.add_unproven(MAX_UNPROVEN_HEARTBEATS, now);
    }

    /// Records proof that the worker is reachable: it executed a command, or answered one.
    pub fn record_proof(&mut self) {
        self.unproven_heartbeats = 0;
        self.unreachable_since = None;
    }

    fn add_unproven(&mut self, heartbeats: u32, now: Timestamp) {
        self.unproven_heartbeats = self.unproven_heartbeats.saturating_add(heartbeats);
        if self.unproven_heartbeats >= MAX_UNPROVEN_HEARTBEATS {
            self.unreachable_since.get_or_insert(now);
        }
    }

    /// Returns since when the worker has counted as unreachable; `None`: it counts as reachable.
    pub fn unreachable_since(&self) -> Option<Timestamp> {
        self.unreachable_since
    }
}

#[cfg(test)]
mod tests;
