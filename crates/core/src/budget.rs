//! This node's share of the changes that the state service takes each second, by what they are for.
//!
//! Each class has a floor: a part of what comes that no other class can take, saved up for a few
//! seconds. The rest, and what overflows, is common; each class leaves a reserve of it to others. `docs/state-budget.md` says why.
//!
//! Invariants, held by a test against a model:
//! - a class that always asks gets at least its floor, whatever the others do;
//! - what the classes that wait have written in any time is at most what came in it, besides what
//!   was saved up, and what new jobs may write ahead;
//! - the rate stays between a third of the fair share and the service's limit.
//!
//! (Found at three and five times a fleet: decisions and what was done took all there was, so
//! final states were not told for minutes, though nothing else was left to do for those jobs.)
use crate::ids::Timestamp;

/// In the order of importance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteClass {
    /// Who owns what. Never waits; later ones wait the longer.
    Ownership,
    /// Cancellations, which somebody waits for. Never wait.
    Cancellation,
    /// Final states: their users ask until they are told.
    TerminalState,
    /// Choices. A round that waits is the larger.
    Decision,
    /// New jobs: refused at once when there is no room, and the service has refused something lately.
    Submission,
    /// What is done of jobs that go on.
    Completion,
    /// Whatever can wait: takes only what would go unused.
    Deferrable,
}

pub const CLASSES: [WriteClass; 7] = [
    WriteClass::Ownership,
    WriteClass::Cancellation,
    WriteClass::TerminalState,
    WriteClass::Decision,
    WriteClass::Submission,
    WriteClass::Completion,
    WriteClass::Deferrable,
];

/// Of what comes, so much is for each class at all times. A job takes one change to come in and two
/// to be over: no more come in for long than can be told.
const FLOOR: [f64; 7] = [0.0, 0.0, 0.4, 0.25, 0.2, 0.05, 0.0];
/// Floors are saved up for so many seconds: after many machines died at once, their work is decided
/// at once, too.
const SAVED_S: [f64; 7] = [0.0, 0.0, 2.0, 6.0, 1.0, 1.0, 0.0];
/// Of a second's worth in common, so much is left to other classes. Decisions leave more than
/// folds: twice as many of them, half as large, take room no sooner.
const RESERVE: [f64; 7] = [0.0, 0.0, 0.0, 0.3, 0.1, 0.2, 0.5];

/// Of the service's limit this much is used, since clocks and bursts differ.
const USED: f64 = 0.85;
/// A refusal says this much about the time after it; one that follows soon, twice as much.
const TIGHT_MS: u64 = 1500;
const TIGHT_MOST_MS: u64 = 12_000;
const TIGHT_AGAIN_MS: u64 = 3000;
/// New jobs are held to their room for so long after what is over was seen to wait.
const BEHIND_MS: u64 = 1000;
/// A refusal cuts the rate to this part, once a second at the most, and no lower than that part of
/// the fair share.
const CUT: f64 = 0.75;
const CUT_GAP_MS: u64 = 1000;
const LEAST: f64 = 1.0 / 3.0;
/// Of the fair share, so much comes back in a second: below it, and beyond it if it is wanted.
const BACK: f64 = 0.2;
const BEYOND: f64 = 0.1;

/// What new jobs write while nothing is refused is counted as written ahead no further than this,
/// in seconds: else they would keep the others to their floors for long.
const AHEAD: f64 = 1.0;

/// A class's own changes are saved up to this; one at least, however small the share is.
fn saved(class: WriteClass, most: f64) -> f64 {
    let i = class as usize;
    (most * FLOOR[i] * SAVED_S[i]).max(if FLOOR[i] > 0.0 { 1.0 } else { 0.0 })
}

#[derive(Debug)]
pub struct WriteBudget {
    /// The service's limit a second, and the part of it that is this node's.
    limit: f64,
    share: f64,
    /// Changes a second by what the service was seen to allow.
    rate: f64,
    /// For any class; below 0, what was written ahead.
    common: f64,
    own: [f64; 7],
    at: Timestamp,
    spent: [u64; 7],
    /// The service is over its limit until about then.
    tight_until: Timestamp,
    tight_ms: u64,
    /// What is over has waited for long until about then.
    behind_until: Timestamp,
    cut_at: Timestamp,
    /// Something found no room since the rate was last raised.
    wanted: bool,
    refusals: u64,
}

impl WriteBudget {
    /// `limit` changes a second for all of `nodes` together.
    pub fn new(limit: f64, nodes: usize, now: Timestamp) -> WriteBudget {
        let share = 1.0 / nodes.max(1) as f64;
        let mut b = WriteBudget {
            limit,
            share,
            rate: 0.0,
            common: limit * share,
            own: [0.0; 7],
            at: now,
            spent: [0; 7],
            tight_until: 0,
            tight_ms: 0,
            behind_until: 0,
            cut_at: 0,
            wanted: false,
            refusals: 0,
        };
        b.rate = b.fair();
        b.own = CLASSES.map(|c| saved(c, b.most()));
        b
    }

    fn fair(&self) -> f64 {
        self.limit * self.share * USED
    }

    /// A second's worth.
    fn most(&self) -> f64 {
        self.limit * self.share
    }

    /// Whoever owns more shards writes more of what is written.
    pub fn own(&mut self, shards: usize, of: usize) {
        let before = self.fair();
        self.share = shards.max(1) as f64 / of.max(1) as f64;
        self.rate *= self.fair() / before.max(f64::MIN_POSITIVE);
        self.rate = self.rate.min(self.limit * USED);
    }

    pub fn refill(&mut self, now: Timestamp) {
        let s = now.saturating_sub(self.at) as f64 / 1000.0;
        self.at = now;
        if self.at >= self.cut_at {
            let fair = self.fair();
            if self.rate < fair {
                self.rate = (self.rate + fair * BACK * s).min(fair);
            } else if self.wanted {
                self.rate = (self.rate + fair * BEYOND * s).min(self.limit * USED);
            } else {
                // Others may want it; what is not used here is theirs.
                self.rate = (self.rate - fair * BEYOND * s).max(fair);
            }
        }
        self.wanted = false;
        let came = self.rate * s;
        let most = self.most().max(self.rate);
        let promised = self.fair().max(self.rate) * s;
        let mut common = came;
        for c in CLASSES {
            let i = c as usize;
            // What is over comes first, too, when the service takes less than it promised.
            let of = if c == WriteClass::TerminalState { promised } else { came };
            self.own[i] += of * FLOOR[i];
            common -= of * FLOOR[i];
            let over = (self.own[i] - saved(c, most)).max(0.0);
            self.own[i] -= over;
            common += over;
        }
        self.common = (self.common + common).clamp(-AHEAD * most, most);
    }

    /// The service refused something lately.
    pub fn tight(&self) -> bool {
        self.at < self.tight_until
    }

    /// What is over waits to be told: until that is better, no more new jobs come in than there is
    /// room for.
    pub fn behind(&mut self, now: Timestamp) {
        self.behind_until = now + BEHIND_MS;
    }

    /// How many changes of this class may be written now. Asked by who has something to write.
    pub fn room(&mut self, class: WriteClass) -> usize {
        let i = class as usize;
        let own = self.own[i].max(0.0);
        let common = match class {
            WriteClass::Ownership | WriteClass::Cancellation => return usize::MAX,
            // Others may use less than their share: (found by a full score) to go by the own share
            // alone refused one submission in eight to a service that had room.
            WriteClass::Submission if !self.tight() && self.at >= self.behind_until => {
                return usize::MAX;
            }
            _ => self.common - RESERVE[i] * self.most(),
        };
        let left = (own + common.max(0.0)) as usize;
        self.wanted |= left == 0;
        left
    }

    /// The service has refused to write.
    pub fn refused(&mut self, now: Timestamp) {
        self.refusals += 1;
        if now >= self.cut_at {
            // (Found by the simulator, at a store that took two thirds of what came: new jobs came
            // in freely between two refusals, and nothing that was over was told.)
            let again = self.tight_ms > 0 && now < self.tight_until + TIGHT_AGAIN_MS;
            self.tight_ms = if again { (self.tight_ms * 2).min(TIGHT_MOST_MS) } else { TIGHT_MS };
            self.cut_at = now + CUT_GAP_MS;
            self.rate = (self.rate * CUT).max(self.fair() * LEAST);
        }
        self.tight_until = self.tight_until.max(now + self.tight_ms);
    }

    /// Counts what is written, whether there was room for it or not.
    pub fn spend(&mut self, class: WriteClass, n: usize) {
        let i = class as usize;
        self.spent[i] += n as u64;
        let n = n as f64;
        let own = n.min(self.own[i].max(0.0));
        self.own[i] -= own;
        self.common = (self.common - (n - own)).max(-AHEAD * self.most());
    }

    /// Changes of this class so far.
    pub fn spent(&self, class: WriteClass) -> u64 {
        self.spent[class as usize]
    }

    /// Writes that were refused or not answered so far.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }

    /// Changes a second that this node takes for its own at present.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// After how many seconds there will be room for an acceptance again.
    pub fn acceptance_after_s(&self) -> u32 {
        let lacking = (1.0 - self.common).max(0.0);
        let behind = lacking / self.rate.max(0.1);
        behind.ceil().clamp(1.0, 3.0) as u32
    }
}

#[cfg(test)]
mod tests;
