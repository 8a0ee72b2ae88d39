//! Workers that don't reach the owner of their machine's seat, though this node does: their reports
//! are passed on to it, and its answers back. (Found on incidents and hunts: a controller that lost
//! its workers and nothing else kept its seat, all its siblings sent the workers back to it, and the
//! leases of its whole part ran out.)
//!
//! Invariants:
//! - an answer is the owner's own, under its epoch: who passes it on grants and commands nothing;
//! - a worker is tried on the direct way again, ever more rarely, and only just after an answer, so
//!   that its lease outlasts a try in vain;
//! - who comes here because its owner is new is sent there at once: a takeover brings them all.
use crate::ids::{MachineIdx, Now};
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
pub(super) enum Way {
    /// It is sent to the owner.
    Direct,
    /// Its report is passed on.
    Detour,
}

#[derive(Clone, Copy, Debug)]
struct Visit {
    seen: Now,
    /// When it was last sent to the owner, and not come back yet.
    sent_on: Option<Now>,
    /// When a report of it was last passed on.
    passed_at: Option<Now>,
    /// The direct way is not tried before.
    try_at: Now,
    wait_ms: u64,
}

/// Workers that came here though their machines' seats are a sibling's.
#[derive(Clone, Debug, Default)]
pub(super) struct Detours {
    visits: HashMap<MachineIdx, Visit>,
}

impl Detours {
    /// A worker of a sibling's seat has come; `busy`: it has tasks, which its lease keeps alive;
    /// `owner_for`: so long the seat has had this owner.
    pub fn way(&mut self, m: MachineIdx, busy: bool, owner_for: u64, now: Now) -> Way {
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
            return Way::Detour;
        }
        v.sent_on = Some(now);
        Way::Direct
    }

    /// Forgets who has not come for long.
    pub fn expire(&mut self, now: Now) {
        self.visits.retain(|_, v| now < v.seen + FORGET_MS);
    }

    /// How many workers are on a detour now.
    pub fn count(&self, now: Now) -> usize {
        self.visits.values().filter(|v| now < v.try_at).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const M: MachineIdx = MachineIdx(3);
    /// Of a worker: between two reports, until a report counts as lost, until it asks the next node,
    /// and its lease.
    const REPORT_MS: u64 = 2500;
    const TIMEOUT_MS: u64 = 4000;
    const NEXT_MS: u64 = 1000;
    const LEASE_MS: u64 = 12_000;

    /// Plays a worker that can't reach its owner; returns the longest time between two reports that
    /// were answered, and how many were sent on in vain.
    fn cut_off(d: &mut Detours, minutes: u64) -> (Now, u32) {
        // Its last report to the owner that was answered, then one that was not.
        let mut granted = 100_000;
        let mut now = granted + REPORT_MS + TIMEOUT_MS + NEXT_MS;
        let (mut longest, mut vain) = (0, 0);
        while now < granted + minutes * 60_000 && now < 100_000 + minutes * 60_000 {
            match d.way(M, true, 60_000, now) {
                Way::Detour => {
                    longest = longest.max(now - granted);
                    granted = now;
                    now += REPORT_MS;
                }
                Way::Direct => {
                    vain += 1;
                    now += TIMEOUT_MS + NEXT_MS;
                }
            }
        }
        (longest, vain)
    }

    #[test]
    fn a_lease_outlasts_every_try_of_the_direct_way() {
        let mut d = Detours::default();
        let (longest, vain) = cut_off(&mut d, 10);
        assert!(longest < LEASE_MS, "no answer for {longest} ms");
        assert!((2..12).contains(&vain), "{vain} tries in ten minutes");
        assert_eq!(d.count(100_000 + 600_000 + FORGET_MS), 0);
    }

    /// A worker somewhere in a bounded search: where its next report goes, and when it was answered.
    #[derive(Clone)]
    struct Step {
        detours: Detours,
        at_owner: bool,
        granted: Now,
        now: Now,
    }

    /// Every way in which the direct way can come and go over so many reports: as long as the sibling
    /// can be reached, no lease runs out. Returns how many histories there were.
    fn search(s: &Step, depth: u32) -> u64 {
        assert!(s.now - s.granted < LEASE_MS, "no answer since {} at {}", s.granted, s.now);
        if depth == 0 {
            return 1;
        }
        let mut next = s.clone();
        if !s.at_owner {
            match next.detours.way(M, true, 60_000, s.now) {
                Way::Detour => {
                    (next.granted, next.now) = (s.now, s.now + REPORT_MS);
                }
                // At once or after up to half a second.
                Way::Direct => (next.at_owner, next.now) = (true, s.now + 500),
            }
            return search(&next, depth - 1);
        }
        let up = Step { granted: s.now, now: s.now + REPORT_MS, ..next.clone() };
        let down = Step { at_owner: false, now: s.now + TIMEOUT_MS + NEXT_MS, ..next };
        search(&up, depth - 1) + search(&down, depth - 1)
    }

    #[test]
    fn no_history_of_a_direct_way_that_comes_and_goes_ends_a_lease() {
        let (at_owner, granted) = (true, 100_000);
        let first =
            Step { detours: Detours::default(), at_owner, granted, now: granted + REPORT_MS };
        let histories = search(&first, 32);
        assert!(histories > 10_000, "{histories} histories");
    }

    #[test]
    fn who_can_reach_its_owner_is_sent_there() {
        let mut d = Detours::default();
        assert_eq!(d.way(M, false, 60_000, 1000), Way::Direct, "nothing to lose");
        assert_eq!(d.way(M, true, 500, 80_000), Way::Direct, "its owner is new");
        let n = MachineIdx(4);
        assert_eq!(d.way(n, true, 60_000, 1000), Way::Detour);
        assert_eq!(d.way(n, true, 60_000, 3500), Way::Direct, "with a fresh lease it is tried");
        assert_eq!(d.way(n, true, 60_000, 90_000), Way::Detour, "much later it is in need again");
        d.expire(90_000 + FORGET_MS);
        assert!(d.visits.is_empty());
    }
}
