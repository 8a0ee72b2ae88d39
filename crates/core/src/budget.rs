//! This node's share of the changes that the state service takes each second, by what they are for.
//!
//! Invariant: what is of a later class is written only out of what the earlier ones leave, so that
//! nothing added at the end of the list starves what stands before it. (Found at three times a
//! fleet: submissions went to the service as they came, it refused a third of all requests, and
//! among those were decisions, whose room was held in vain.)
use crate::ids::Now;

/// In the order of importance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Who owns what. Never waits.
    Seats,
    /// Choices, and cancellations that somebody waits for. Never wait; later ones wait the longer.
    Decision,
    /// New jobs: refused at once when two seconds' worth were written ahead, and the service has
    /// refused something just now.
    Acceptance,
    /// Final states and what is done: wait for their turn.
    Fold,
    /// Whatever can wait: takes only what would go unused.
    Rest,
}

/// Of the service's limit this much is used, since clocks and bursts differ.
const USED: f64 = 0.85;

/// Of what comes, so much is for new jobs at all times.
const DOOR: f64 = 0.4;
/// A refusal says this much about the time after it.
const TIGHT_MS: u64 = 1500;

#[derive(Debug)]
pub struct Budget {
    /// Changes that may be written now; below 0, what was written ahead.
    tokens: f64,
    /// The service's limit a second, and the part of it that is this node's.
    limit: f64,
    share: f64,
    at: Now,
    spent: [u64; 5],
    /// New jobs that come in even so while the service is over its limit.
    door: f64,
    /// The service is over its limit until about then.
    tight_until: Now,
}

impl Budget {
    /// `limit` changes a second for all of `nodes` together.
    pub fn new(limit: f64, nodes: usize, now: Now) -> Budget {
        let share = 1.0 / nodes.max(1) as f64;
        Budget {
            tokens: limit * share,
            limit,
            share,
            at: now,
            spent: [0; 5],
            door: 0.0,
            tight_until: 0,
        }
    }

    fn most(&self) -> f64 {
        self.limit * self.share
    }

    /// Whoever owns more seats writes more of what is written.
    pub fn own(&mut self, seats: usize, of: usize) {
        self.share = seats.max(1) as f64 / of.max(1) as f64;
    }

    pub fn refill(&mut self, now: Now) {
        let came = now.saturating_sub(self.at) as f64 / 1000.0 * self.most() * USED;
        self.tokens = (self.tokens + came).min(self.most());
        self.door = (self.door + came * DOOR).min(self.most() / 2.0);
        self.at = now;
    }

    /// How many changes of this class may be written now.
    pub fn room(&self, class: Class) -> usize {
        let left = match class {
            Class::Seats | Class::Decision => return usize::MAX,
            // Others may use less than their share: (found by a full score) to go by the own share
            // alone refused one submission in eight to a service that had room.
            Class::Acceptance if self.at >= self.tight_until => return usize::MAX,
            // (Found at three times a fleet: decisions and what is done took all there was.)
            Class::Acceptance => (self.tokens + 2.0 * self.most()).max(self.door),
            Class::Fold => self.tokens,
            Class::Rest => self.tokens - self.most() / 2.0,
        };
        left.max(0.0) as usize
    }

    /// The service has refused to write.
    pub fn refused(&mut self, now: Now) {
        self.tight_until = now + TIGHT_MS;
    }

    /// Counts what is written, whether there was room for it or not.
    pub fn spend(&mut self, class: Class, n: usize) {
        self.tokens -= n as f64;
        if class == Class::Acceptance {
            self.door = (self.door - n as f64).max(0.0);
        }
        self.spent[class as usize] += n as u64;
    }

    /// Changes of this class so far.
    pub fn spent(&self, class: Class) -> u64 {
        self.spent[class as usize]
    }

    /// After how many seconds there will be room for an acceptance again.
    pub fn acceptance_after_s(&self) -> u32 {
        let lacking = (1.0 - self.tokens - 2.0 * self.most()).max(0.0);
        let behind = lacking / (self.most() * USED).max(0.1);
        behind.ceil().clamp(1.0, 3.0) as u32
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_of_a_later_class_leaves_the_earlier_ones_their_share() {
        let mut b = Budget::new(120.0, 3, 0);
        while b.room(Class::Rest) > 0 {
            b.spend(Class::Rest, 1);
        }
        assert!(b.room(Class::Fold) >= 20, "half of a second's worth is left to folds");
        while b.room(Class::Fold) > 0 {
            b.spend(Class::Fold, 1);
        }
        assert_eq!(b.room(Class::Acceptance), usize::MAX, "the service has refused nothing");
        b.refused(0);
        assert!(b.room(Class::Acceptance) >= 79);
        while b.room(Class::Acceptance) > 0 {
            b.spend(Class::Acceptance, 1);
        }
        assert_eq!(b.room(Class::Decision), usize::MAX, "decisions go on");
        assert!(b.acceptance_after_s() >= 1);
        // What was written in all of it is three seconds' worth.
        let wrote: u64 =
            [Class::Rest, Class::Fold, Class::Acceptance].map(|c| b.spent(c)).iter().sum();
        assert!(wrote <= 120, "{wrote}");
        b.refill(1000);
        assert_eq!((b.room(Class::Fold), b.room(Class::Acceptance)), (0, 34));
        b.spend(Class::Decision, 100);
        assert_eq!(b.room(Class::Acceptance), 13, "some come in even so");
        b.refill(TIGHT_MS);
        assert_eq!(b.room(Class::Acceptance), usize::MAX);
    }

    #[test]
    fn who_owns_all_seats_has_all_of_the_limit() {
        let mut b = Budget::new(120.0, 3, 0);
        b.own(3, 3);
        b.refill(10_000);
        assert_eq!(b.room(Class::Fold), 120);
        b.own(0, 3);
        b.refill(10_001);
        assert_eq!(b.room(Class::Fold), 40);
    }
}
