//! This node's part of the changes that the state service takes each second, divided by what they
//! are for (their [`WriteClass`]).
//!
//! Each class has a floor: a part of the rate that no other class can take, saved up for a few
//! seconds. The rest, and what overflows the savings, is common to all; each class leaves a reserve
//! of it to the others. `docs/state-budget.md` says why.
//!
//! Invariants, held by a test against a model:
//! - a class that always asks gets at least its floor, whatever the others do;
//! - what the classes that wait have written in any time is at most what was credited in it, besides
//!   what was saved up and what new jobs may write ahead;
//! - the rate stays between a third of the fair share and the service's limit.
//!
//! (Found at three and five times a fleet: decisions and completions took all there was, so
//! terminal states were not acknowledged for minutes, though nothing else was left to do for those
//! jobs.)
use crate::ids::Timestamp;

/// What a change is for, in the order of importance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteClass {
    /// Which node owns which shard. Never waits; the later classes wait the longer.
    Ownership,
    /// Cancellations, for which a user waits. Never wait.
    Cancellation,
    /// Terminal states: users ask for them until they are acknowledged.
    TerminalState,
    /// Decisions of the coordinator. A round that waits becomes larger.
    Decision,
    /// New jobs: refused at once when none is available and the service has refused writes recently.
    Submission,
    /// Completed tasks of jobs that go on.
    Completion,
    /// Whatever can wait: takes only what would be unused.
    Deferrable,
}

/// All classes, in the order of importance.
pub const CLASSES: [WriteClass; 7] = [
    WriteClass::Ownership,
    WriteClass::Cancellation,
    WriteClass::TerminalState,
    WriteClass::Decision,
    WriteClass::Submission,
    WriteClass::Completion,
    WriteClass::Deferrable,
];

/// How much of the rate a class gets for itself, and how much it leaves to the others.
#[derive(Clone, Copy, Debug)]
struct ClassPolicy {
    /// Part of the rate that is this class's at all times. A job takes one change to be accepted and
    /// two to end: over time no more are accepted than can be ended.
    floor: f64,
    /// Seconds for which the floor is saved up: after many machines failed at once, their work is
    /// decided at once, too.
    saved_s: f64,
    /// Part of a second's worth of the common changes that is left to other classes. Decisions leave
    /// more than completions: twice as many of them, half as large, take it no sooner.
    reserve: f64,
}

impl WriteClass {
    const fn policy(self) -> ClassPolicy {
        match self {
            WriteClass::Ownership | WriteClass::Cancellation => {
                ClassPolicy { floor: 0.0, saved_s: 0.0, reserve: 0.0 }
            }
            WriteClass::TerminalState => ClassPolicy { floor: 0.4, saved_s: 2.0, reserve: 0.0 },
            WriteClass::Decision => ClassPolicy { floor: 0.25, saved_s: 6.0, reserve: 0.3 },
            WriteClass::Submission => ClassPolicy { floor: 0.2, saved_s: 1.0, reserve: 0.1 },
            WriteClass::Completion => ClassPolicy { floor: 0.05, saved_s: 1.0, reserve: 0.2 },
            WriteClass::Deferrable => ClassPolicy { floor: 0.0, saved_s: 0.0, reserve: 0.5 },
        }
    }

    /// The most that a class saves up of its floor, at this number of changes a second; one change
    /// at least, however small the share is.
    fn max_saved(self, per_second: f64) -> f64 {
        let policy = self.policy();
        let least = if policy.floor > 0.0 { 1.0 } else { 0.0 };
        (per_second * policy.floor * policy.saved_s).max(least)
    }
}

/// Part of the service's limit that is used, since clocks and bursts differ.
const USED_PART_OF_LIMIT: f64 = 0.85;
/// For this long after a refusal the service counts as throttling; after one that follows soon,
/// twice as long as the last time.
const THROTTLED_MS: u64 = 1500;
/// The longest time that one refusal counts.
const MAX_THROTTLED_MS: u64 = 12_000;
/// A refusal follows soon if it is less than this after the end of the last throttled time.
const THROTTLED_AGAIN_MS: u64 = 3000;
/// For this long after terminal states were seen to wait, new jobs are held to what is available.
const TERMINAL_STATES_DELAYED_MS: u64 = 1000;
/// A refusal cuts the rate to this part.
const RATE_CUT_FACTOR: f64 = 0.75;
/// The shortest time between two cuts.
const RATE_CUT_INTERVAL_MS: u64 = 1000;
/// The lowest rate after cuts, as a part of the fair share.
const MIN_PART_OF_FAIR_RATE: f64 = 1.0 / 3.0;
/// Part of the fair share by which the rate rises each second while it is below the fair share.
const RECOVERY_PER_S: f64 = 0.2;
/// Part of the fair share by which the rate rises each second beyond the fair share while more is
/// wanted, and falls back to it while no more is wanted.
const EXCESS_CHANGE_PER_S: f64 = 0.1;
/// What new jobs write while nothing is refused is counted as written ahead no further than this:
/// otherwise it would hold the other classes to their floors for long.
const MAX_WRITTEN_AHEAD_S: f64 = 1.0;

/// Token buckets for the changes of this node: one for each class, and one that is common.
#[derive(Debug)]
pub struct WriteBudget {
    /// The service's limit, in changes a second for all nodes.
    limit: f64,
    /// The part of the limit that is this node's.
    share: f64,
    /// Changes a second that the service was seen to allow.
    rate: f64,
    /// Changes for any class; below 0: what was written ahead.
    common: f64,
    /// Changes that only one class can take, by class.
    reserved: [f64; CLASSES.len()],
    refilled_at: Timestamp,
    /// Changes written so far, by class.
    spent: [u64; CLASSES.len()],
    /// The service is presumably over its limit until then.
    throttled_until: Timestamp,
    /// For how long the last refusal counted.
    throttled_ms: u64,
    /// Terminal states presumably wait until then.
    terminal_states_delayed_until: Timestamp,
    /// The rate is neither cut nor raised before then.
    next_cut_at: Timestamp,
    /// Something had to wait since the last refill.
    more_wanted: bool,
    /// Writes that were refused so far, since too many came.
    refusals: u64,
}

impl WriteBudget {
    /// `limit` changes a second for all of `nodes` together.
    pub fn new(limit: f64, nodes: usize, now: Timestamp) -> WriteBudget {
        let share = 1.0 / nodes.max(1) as f64;
        let mut budget = WriteBudget {
            limit,
            share,
            rate: 0.0,
            common: limit * share,
            reserved: [0.0; CLASSES.len()],
            refilled_at: now,
            spent: [0; CLASSES.len()],
            throttled_until: 0,
            throttled_ms: 0,
            terminal_states_delayed_until: 0,
            next_cut_at: 0,
            more_wanted: false,
            refusals: 0,
        };
        budget.rate = budget.fair_rate();
        budget.reserved = CLASSES.map(|class| class.max_saved(budget.share_per_second()));
        budget
    }

    /// Changes a second that this node may count on.
    fn fair_rate(&self) -> f64 {
        self.limit * self.share * USED_PART_OF_LIMIT
    }

    /// This node's part of the limit, in changes a second.
    fn share_per_second(&self) -> f64 {
        self.limit * self.share
    }

    /// Sets this node's part of the limit by the shards that it owns: a node that owns more shards
    /// has more to write.
    pub fn set_owned_shards(&mut self, owned: usize, all: usize) {
        let fair_before = self.fair_rate();
        self.share = owned.max(1) as f64 / all.max(1) as f64;
        self.rate *= self.fair_rate() / fair_before.max(f64::MIN_POSITIVE);
        self.rate = self.rate.min(self.limit * USED_PART_OF_LIMIT);
    }

    /// Adjusts the rate, and credits what came since the last refill.
    pub fn refill(&mut self, now: Timestamp) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.refilled_at = now;
        if self.refilled_at >= self.next_cut_at {
            self.adjust_rate(elapsed_s);
        }
        self.more_wanted = false;
        self.credit(elapsed_s);
    }

    fn adjust_rate(&mut self, elapsed_s: f64) {
        let fair = self.fair_rate();
        if self.rate < fair {
            self.rate = (self.rate + fair * RECOVERY_PER_S * elapsed_s).min(fair);
        } else if self.more_wanted {
            let highest = self.limit * USED_PART_OF_LIMIT;
            self.rate = (self.rate + fair * EXCESS_CHANGE_PER_S * elapsed_s).min(highest);
        } else {
            // Other nodes may want it: what is not used here is theirs.
            self.rate = (self.rate - fair * EXCESS_CHANGE_PER_S * elapsed_s).max(fair);
        }
    }

    /// Credits each class with its floor, and the common bucket with the rest.
    fn credit(&mut self, elapsed_s: f64) {
        let credited = self.rate * elapsed_s;
        let per_second = self.share_per_second().max(self.rate);
        let promised = self.fair_rate().max(self.rate) * elapsed_s;
        let mut common = credited;
        for class in CLASSES {
            let reserved = &mut self.reserved[class as usize];
            // Terminal states come first also when the service takes less than it promised.
            let base = if class == WriteClass::TerminalState { promised } else { credited };
            *reserved += base * class.policy().floor;
            common -= base * class.policy().floor;
            let overflow = (*reserved - class.max_saved(per_second)).max(0.0);
            *reserved -= overflow;
            common += overflow;
        }
        self.common = (self.common + common).clamp(-MAX_WRITTEN_AHEAD_S * per_second, per_second);
    }

    /// Whether the service has refused something recently.
    fn is_throttled(&self) -> bool {
        self.refilled_at < self.throttled_until
    }

    /// States that terminal states wait to be written: for a while, no more new jobs are accepted
    /// than changes are available for.
    pub fn terminal_states_delayed(&mut self, now: Timestamp) {
        self.terminal_states_delayed_until = now + TERMINAL_STATES_DELAYED_MS;
    }

    /// How many changes of this class may be written now. Asked only by callers that have something
    /// to write: after an answer of 0, the next refill may raise the rate.
    pub fn available(&mut self, class: WriteClass) -> usize {
        let reserved = self.reserved[class as usize].max(0.0);
        let common = match class {
            WriteClass::Ownership | WriteClass::Cancellation => return usize::MAX,
            // The other nodes may use less than their share: (found by a full score) to go by this
            // node's share alone refused one submission in eight to a service that had capacity.
            WriteClass::Submission if self.submissions_unlimited() => return usize::MAX,
            _ => self.common - class.policy().reserve * self.share_per_second(),
        };
        let available = (reserved + common.max(0.0)) as usize;
        self.more_wanted |= available == 0;
        available
    }

    fn submissions_unlimited(&self) -> bool {
        !self.is_throttled() && self.refilled_at >= self.terminal_states_delayed_until
    }

    /// The service has refused a write since too many came.
    pub fn on_refusal(&mut self, now: Timestamp) {
        self.refusals += 1;
        if now >= self.next_cut_at {
            // (Found by the simulator, at a store that took two thirds of what came: new jobs were
            // accepted freely between two refusals, and no terminal state was acknowledged.)
            let soon_after_last =
                self.throttled_ms > 0 && now < self.throttled_until + THROTTLED_AGAIN_MS;
            self.throttled_ms = if soon_after_last {
                (self.throttled_ms * 2).min(MAX_THROTTLED_MS)
            } else {
                THROTTLED_MS
            };
            self.next_cut_at = now + RATE_CUT_INTERVAL_MS;
            let lowest = self.fair_rate() * MIN_PART_OF_FAIR_RATE;
            self.rate = (self.rate * RATE_CUT_FACTOR).max(lowest);
        }
        self.throttled_until = self.throttled_until.max(now + self.throttled_ms);
    }

    /// Counts what is written, whether it was available or not.
    pub fn spend(&mut self, class: WriteClass, changes: usize) {
        self.spent[class as usize] += changes as u64;
        let changes = changes as f64;
        let reserved = &mut self.reserved[class as usize];
        let from_reserved = changes.min(reserved.max(0.0));
        *reserved -= from_reserved;
        let lowest = -MAX_WRITTEN_AHEAD_S * self.share_per_second();
        self.common = (self.common - (changes - from_reserved)).max(lowest);
    }

    /// Changes of this class so far.
    pub fn spent(&self, class: WriteClass) -> u64 {
        self.spent[class as usize]
    }

    /// Writes that were refused so far, since too many came.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }

    /// Changes a second that this node allows itself at present.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// After how many seconds a refused submission should be retried.
    pub fn submission_retry_after_s(&self) -> u32 {
        let missing = (1.0 - self.common).max(0.0);
        let wait_s = missing / self.rate.max(0.1);
        wait_s.ceil().clamp(1.0, 3.0) as u32
    }
}

#[cfg(test)]
mod tests;
