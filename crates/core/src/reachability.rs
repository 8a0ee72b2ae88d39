//! Whether a worker hears us, though its reports reach us.
//!
//! Reports may come from a machine that neither answers nor commands reach. Nothing that was sent to
//! it proves anything then; what it reports proves what it always did. It is told by its ways: a worker
//! without an answer waits 4 s, turns to the next controller a second later, and goes round; one that
//! was answered comes again the same way when its next report is due.
//!
//! Invariants: only what the worker itself did proves that it hears; a worker that is not known to
//! hear after two reports in a row, or whose lease ran out although it was answered, gets no new work
//! until that is proven again; its tasks are not called gone for it.
use crate::ids::{NodeIdx, Timestamp};

/// So many reports without proof make a machine deaf.
const SIGNS: u32 = 2;

/// The way a report came: straight, or passed on by a sibling.
pub type HeartbeatPath = Option<NodeIdx>;

#[derive(Clone, Debug, Default)]
pub struct Reachability {
    last: Option<(HeartbeatPath, Timestamp)>,
    signs: u32,
    deaf_since: Option<Timestamp>,
}

impl Reachability {
    /// A new report came; `due_ms`: the next report of a worker that was answered comes so soon.
    pub fn report(&mut self, via: HeartbeatPath, due_ms: u64, now: Timestamp) {
        let same_way = self.last.is_some_and(|(v, at)| v == via && now <= at + due_ms);
        self.last = Some((via, now));
        if same_way {
            self.proven();
        } else {
            self.sign(1, now);
        }
    }

    /// Its lease ran out although it was answered, or it began anew: it has to prove itself.
    pub fn lease_ended(&mut self, now: Timestamp) {
        self.last = None;
        self.sign(SIGNS, now);
    }

    /// It did what it was told, or answered.
    pub fn proven(&mut self) {
        (self.signs, self.deaf_since) = (0, None);
    }

    fn sign(&mut self, n: u32, now: Timestamp) {
        self.signs = self.signs.saturating_add(n);
        if self.signs >= SIGNS {
            self.deaf_since.get_or_insert(now);
        }
    }

    /// Since when it is taken not to hear.
    pub fn deaf_since(&self) -> Option<Timestamp> {
        self.deaf_since
    }
}

#[cfg(test)]
mod tests;
