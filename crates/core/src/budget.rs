//! Rate limiter for this node's writes to the key-value store, by [`WriteClass`].
//!
//! Each class has a token bucket of its own, filled at the class's floor: a fraction of the rate
//! that no other class can use, accumulated for a few seconds. The rest of the rate, and what
//! overflows those buckets, goes to a bucket shared by all classes; each class leaves part of that
//! bucket to the others. `docs/state-budget.md` explains the design.
//!
//! Invariants, checked by a randomized test against a model:
//! - a class that always has something to write gets at least its floor, whatever the others do;
//! - in any interval, the rate-limited classes together write at most the tokens credited in it,
//!   plus the tokens accumulated before and the debt that submissions may run up;
//! - the rate stays between a third of the node's fair rate and the store's limit.
//!
//! Without floors, at three and five times the normal fleet size, decisions and completions used up
//! the whole rate: terminal states were not acknowledged for minutes, although they were the only
//! step left for their jobs.
use crate::ids::Timestamp;

/// The purpose of a change to the store, most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteClass {
    /// Shard ownership. Never delayed.
    Ownership,
    /// Cancellations. Never delayed, since a user waits for each.
    Cancellation,
    /// Terminal states. Users poll for a terminal state until it is acknowledged.
    TerminalState,
    /// Decisions of a coordinator. A delayed round grows larger, so a delay costs no throughput.
    Decision,
    /// New jobs. Refused at once, not delayed, while the store is throttling and no token is left.
    Submission,
    /// Completed tasks of jobs that have other tasks left.
    Completion,
    /// Writes that can wait: they use only capacity that would go unused.
    Deferrable,
}

/// All classes, most important first.
pub const WRITE_CLASSES: [WriteClass; 7] = [
    WriteClass::Ownership,
    WriteClass::Cancellation,
    WriteClass::TerminalState,
    WriteClass::Decision,
    WriteClass::Submission,
    WriteClass::Completion,
    WriteClass::Deferrable,
];

/// How much of the rate is guaranteed to a class, and how much the class leaves to the others.
#[derive(Clone, Copy, Debug)]
struct ClassPolicy {
    /// Fraction of the rate guaranteed to this class. Accepting a job takes one change and ending
    /// it two, so the floors of submissions and terminal states are 1:2: over time, no more jobs
    /// are accepted than can be ended.
    floor: f64,
    /// Seconds for which the unused floor accumulates. Decisions accumulate it for the longest, so
    /// that after many machines failed at once, all of their work can be placed again at once.
    burst_s: f64,
    /// Tokens of the shared bucket that this class leaves to other classes, in seconds of the
    /// node's limit. Decisions leave more than completions, since twice as many decisions, each
    /// half as large, would place tasks no sooner.
    reserve_s: f64,
}

impl WriteClass {
    const fn policy(self) -> ClassPolicy {
        match self {
            WriteClass::Ownership | WriteClass::Cancellation => {
                ClassPolicy { floor: 0.0, burst_s: 0.0, reserve_s: 0.0 }
            }
            WriteClass::TerminalState => ClassPolicy { floor: 0.4, burst_s: 2.0, reserve_s: 0.0 },
            WriteClass::Decision => ClassPolicy { floor: 0.25, burst_s: 6.0, reserve_s: 0.3 },
            WriteClass::Submission => ClassPolicy { floor: 0.2, burst_s: 1.0, reserve_s: 0.1 },
            WriteClass::Completion => ClassPolicy { floor: 0.05, burst_s: 1.0, reserve_s: 0.2 },
            WriteClass::Deferrable => ClassPolicy { floor: 0.0, burst_s: 0.0, reserve_s: 0.5 },
        }
    }

    /// Returns the capacity of the class's own bucket at this rate: at least one token for a class
    /// with a floor, however small the rate is.
    fn max_reserved_tokens(self, changes_per_s: f64) -> f64 {
        let policy = self.policy();
        let least = if policy.floor > 0.0 { 1.0 } else { 0.0 };
        (changes_per_s * policy.floor * policy.burst_s).max(least)
    }
}

/// Fraction of the store's limit that is used: the rest allows for clock drift and bursts.
const USABLE_LIMIT_FRACTION: f64 = 0.85;
/// For this long after a refusal, the store counts as throttling. Doubles with each refusal that
/// comes within [`REPEATED_REFUSAL_WINDOW_MS`].
const INITIAL_THROTTLED_MS: u64 = 1500;
/// Upper bound of that doubling.
const MAX_THROTTLED_MS: u64 = 12_000;
/// A refusal is a repeated one if less than this time has passed since the store last stopped
/// counting as throttling.
const REPEATED_REFUSAL_WINDOW_MS: u64 = 3000;
/// For this long after a delay of terminal states was reported, submissions are rate-limited.
const TERMINAL_STATES_DELAYED_MS: u64 = 1000;
/// A refusal multiplies the rate by this factor.
const RATE_CUT_FACTOR: f64 = 0.75;
/// Minimum time between two cuts of the rate.
const RATE_CUT_INTERVAL_MS: u64 = 1000;
/// Cuts leave at least this fraction of the fair rate.
const MIN_FAIR_RATE_FRACTION: f64 = 1.0 / 3.0;
/// Increase of the rate per second while it is below the fair rate, as a fraction of the fair rate.
const RECOVERY_PER_S: f64 = 0.2;
/// Change of the rate per second above the fair rate, as a fraction of the fair rate: an increase
/// while the budget is exhausted, else a decrease back to the fair rate.
const EXCESS_CHANGE_PER_S: f64 = 0.1;
/// Limit of the debt in the shared bucket, in seconds of the node's rate. Submissions are not
/// limited while nothing is refused; a larger debt from them would confine the other classes to
/// their floors for a long time.
const MAX_DEBT_S: f64 = 1.0;

/// Token buckets for the writes of this node: one for each class, and a shared one. One token is
/// one change.
#[derive(Debug)]
pub struct WriteBudget {
    /// The store's limit for the whole cluster, in changes per second.
    cluster_limit: f64,
    /// Fraction of the limit that belongs to this node.
    node_share: f64,
    /// The rate at which tokens are credited, in changes per second: adapted to refusals and
    /// demand.
    rate: f64,
    /// Tokens for any class; negative while there is a debt.
    shared_tokens: f64,
    /// Tokens that only one class can use, by class.
    reserved_tokens: [f64; WRITE_CLASSES.len()],
    refilled_at: Timestamp,
    /// Changes written so far, by class.
    spent: [u64; WRITE_CLASSES.len()],
    /// The store counts as throttling until this time.
    throttled_until: Timestamp,
    /// For how long the last refusal made the store count as throttling; 0: nothing was refused
    /// yet.
    throttled_ms: u64,
    /// Terminal states count as delayed until this time.
    terminal_states_delayed_until: Timestamp,
    /// The rate is neither cut nor raised before this time.
    next_cut_at: Timestamp,
    /// Whether a class was left without a token since the last refill.
    is_exhausted: bool,
    /// Writes that the store refused so far because of its rate limit.
    refusals: u64,
}

impl WriteBudget {
    /// Creates the budget of one of `nodes` nodes that share `cluster_limit` changes per second.
    pub fn new(cluster_limit: f64, nodes: usize, now: Timestamp) -> WriteBudget {
        let node_share = 1.0 / nodes.max(1) as f64;
        let mut budget = WriteBudget {
            cluster_limit,
            node_share,
            rate: 0.0,
            shared_tokens: cluster_limit * node_share,
            reserved_tokens: [0.0; WRITE_CLASSES.len()],
            refilled_at: now,
            spent: [0; WRITE_CLASSES.len()],
            throttled_until: 0,
            throttled_ms: 0,
            terminal_states_delayed_until: 0,
            next_cut_at: 0,
            is_exhausted: false,
            refusals: 0,
        };
        budget.rate = budget.fair_rate();
        budget.reserved_tokens =
            WRITE_CLASSES.map(|class| class.max_reserved_tokens(budget.node_limit()));
        budget
    }

    /// Returns the rate that this node may use whatever the other nodes do, in changes per second.
    fn fair_rate(&self) -> f64 {
        self.cluster_limit * self.node_share * USABLE_LIMIT_FRACTION
    }

    /// Returns this node's share of the store's limit, in changes per second.
    fn node_limit(&self) -> f64 {
        self.cluster_limit * self.node_share
    }

    /// Sets this node's share of the limit in proportion to the shards that it owns, since each
    /// shard has its own writes.
    pub fn set_owned_shards(&mut self, owned: usize, all: usize) {
        let fair_before = self.fair_rate();
        self.node_share = owned.max(1) as f64 / all.max(1) as f64;
        self.rate *= self.fair_rate() / fair_before.max(f64::MIN_POSITIVE);
        self.rate = self.rate.min(self.cluster_limit * USABLE_LIMIT_FRACTION);
    }

    /// Adjusts the rate and credits the tokens for the time since the last refill.
    pub fn refill(&mut self, now: Timestamp) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.refilled_at = now;
        if self.refilled_at >= self.next_cut_at {
            self.adjust_rate(elapsed_s);
        }
        self.is_exhausted = false;
        self.credit(elapsed_s);
    }

    fn adjust_rate(&mut self, elapsed_s: f64) {
        let fair = self.fair_rate();
        if self.rate < fair {
            self.rate = (self.rate + fair * RECOVERY_PER_S * elapsed_s).min(fair);
        } else if self.is_exhausted {
            let highest = self.cluster_limit * USABLE_LIMIT_FRACTION;
            self.rate = (self.rate + fair * EXCESS_CHANGE_PER_S * elapsed_s).min(highest);
        } else {
            // Leaves unused capacity to the other nodes.
            self.rate = (self.rate - fair * EXCESS_CHANGE_PER_S * elapsed_s).max(fair);
        }
    }

    /// Credits each class with its floor, and the shared bucket with the rest.
    fn credit(&mut self, elapsed_s: f64) {
        let credited = self.rate * elapsed_s;
        let changes_per_s = self.node_limit().max(self.rate);
        let fair_credit = self.fair_rate().max(self.rate) * elapsed_s;
        let mut shared = credited;
        for class in WRITE_CLASSES {
            let reserved = &mut self.reserved_tokens[class as usize];
            // The floor of terminal states does not shrink when refusals cut the rate, so that they
            // still come first when the store accepts less than its limit.
            let base = if class == WriteClass::TerminalState { fair_credit } else { credited };
            *reserved += base * class.policy().floor;
            shared -= base * class.policy().floor;
            let overflow = (*reserved - class.max_reserved_tokens(changes_per_s)).max(0.0);
            *reserved -= overflow;
            shared += overflow;
        }
        self.shared_tokens =
            (self.shared_tokens + shared).clamp(-MAX_DEBT_S * changes_per_s, changes_per_s);
    }

    /// Whether the store has recently refused writes because of its rate limit.
    fn is_throttled(&self) -> bool {
        self.refilled_at < self.throttled_until
    }

    /// Records that terminal states are waiting too long to be written: for
    /// `TERMINAL_STATES_DELAYED_MS`, submissions are limited to the tokens available.
    pub fn on_terminal_states_delayed(&mut self, now: Timestamp) {
        self.terminal_states_delayed_until = now + TERMINAL_STATES_DELAYED_MS;
    }

    /// Returns how many changes of this class may be written now. Call it only if there is
    /// something to write: a result of 0 counts as demand and lets the next refill raise the rate.
    pub fn available(&mut self, class: WriteClass) -> usize {
        let reserved = self.reserved_tokens[class as usize].max(0.0);
        let shared = match class {
            WriteClass::Ownership | WriteClass::Cancellation => return usize::MAX,
            // The other nodes may use less than their share. With a limit at this node's share
            // alone, one submission in eight was refused although the store had capacity for it.
            WriteClass::Submission if self.are_submissions_unlimited() => return usize::MAX,
            _ => self.shared_tokens - class.policy().reserve_s * self.node_limit(),
        };
        let available = (reserved + shared.max(0.0)) as usize;
        self.is_exhausted |= available == 0;
        available
    }

    fn are_submissions_unlimited(&self) -> bool {
        !self.is_throttled() && self.refilled_at >= self.terminal_states_delayed_until
    }

    /// Records that the store refused a write because of its rate limit, and cuts the rate.
    pub fn on_refusal(&mut self, now: Timestamp) {
        self.refusals += 1;
        if now >= self.next_cut_at {
            // A fixed throttling time was too short for a store that accepted two thirds of the
            // writes: submissions were unlimited again between two refusals, and no terminal state
            // was acknowledged.
            let is_repeated =
                self.throttled_ms > 0 && now < self.throttled_until + REPEATED_REFUSAL_WINDOW_MS;
            self.throttled_ms = if is_repeated {
                (self.throttled_ms * 2).min(MAX_THROTTLED_MS)
            } else {
                INITIAL_THROTTLED_MS
            };
            self.next_cut_at = now + RATE_CUT_INTERVAL_MS;
            let lowest = self.fair_rate() * MIN_FAIR_RATE_FRACTION;
            self.rate = (self.rate * RATE_CUT_FACTOR).max(lowest);
        }
        self.throttled_until = self.throttled_until.max(now + self.throttled_ms);
    }

    /// Takes tokens for changes that are written, whether or not that many were available.
    pub fn spend(&mut self, class: WriteClass, changes: usize) {
        self.spent[class as usize] += changes as u64;
        let changes = changes as f64;
        let reserved = &mut self.reserved_tokens[class as usize];
        let from_reserved = changes.min(reserved.max(0.0));
        *reserved -= from_reserved;
        let lowest = -MAX_DEBT_S * self.node_limit();
        self.shared_tokens = (self.shared_tokens - (changes - from_reserved)).max(lowest);
    }

    /// Returns how many changes of this class were written so far.
    pub fn spent(&self, class: WriteClass) -> u64 {
        self.spent[class as usize]
    }

    /// Returns how many writes the store refused so far because of its rate limit.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }

    /// Returns this node's present write rate, in changes per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns after how many seconds a refused submission should be retried.
    pub fn submission_retry_after_s(&self) -> u32 {
        let missing = (1.0 - self.shared_tokens).max(0.0);
        let wait_s = missing / self.rate.max(0.1);
        wait_s.ceil().clamp(1.0, 3.0) as u32
    }
}

#[cfg(test)]
mod tests;
