//! The rules that the checker verifies, and the error that reports a broken one.
use std::fmt;

/// A rule of the protocol, or of the simulated cloud, store and network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// An accepted job stays known, and requests about it are answered.
    Forgotten,
    /// An acknowledged terminal state never changes, and a job is cancelled only at its user's request.
    TerminalStateChanged,
    /// A job is answered as newly created (201) only once.
    AcceptedTwice,
    /// A confirmed cancellation reports a terminal state.
    NotCancelled,
    /// No task runs for longer than `cancel_ms` after the cancellation of its job was confirmed.
    RanCancelled,
    /// No task runs on two machines at once.
    DuplicateExecution,
    /// A task starts only on a machine and in a zone that its job allows.
    DisallowedPlacement,
    /// No team uses more than its quotas.
    Quota,
    /// No job is left waiting while there is free capacity that fits it and its team's quota allows.
    Starved,
    /// Once all faults are over, a controller acts for each shard and knows what the tasks on its machines take.
    Unserved,
    /// A job is not reported as queued while a task of it has been running for longer than a state may lag.
    RunningCalledQueued,
    /// Controllers report a state only for jobs that were submitted.
    UnknownJob,
    /// A job is done only once all its tasks are done.
    NotDone,
    /// An invalid submission is not accepted.
    InvalidAccepted,
    /// An invalid submission is refused with the expected HTTP status.
    WrongRefusalStatus,
    /// The tasks of a gang start and complete together.
    PartialGang,
    /// The name of a launch request is used only once.
    NameReused,
    /// A delayed duplicate of a transaction has no effect.
    TransactionRepeated,
    /// A fencing token that is sent to a worker belongs to its sender.
    TokenOfOtherOwner,
    /// Controllers send messages only to existing controllers.
    UnknownNode,
}

impl Rule {
    /// Returns the error for this broken rule; `what` names what broke it.
    pub(crate) fn broken(self, what: impl Into<String>) -> BrokenRule {
        BrokenRule { rule: self, what: what.into() }
    }

    fn name(self) -> &'static str {
        match self {
            Rule::Forgotten => "forgotten",
            Rule::TerminalStateChanged => "went_back",
            Rule::AcceptedTwice => "accepted_twice",
            Rule::NotCancelled => "not_cancelled",
            Rule::RanCancelled => "ran_cancelled",
            Rule::DuplicateExecution => "ran_twice",
            Rule::DisallowedPlacement => "wrong_place",
            Rule::Quota => "quota",
            Rule::Starved => "neglected",
            Rule::Unserved => "unserved",
            Rule::RunningCalledQueued => "wrong_state",
            Rule::UnknownJob => "invented",
            Rule::NotDone => "not_done",
            Rule::InvalidAccepted => "accepted_wrong",
            Rule::WrongRefusalStatus => "refused_wrong",
            Rule::PartialGang => "half_gang",
            Rule::NameReused => "name_reused",
            Rule::TransactionRepeated => "written_again",
            Rule::TokenOfOtherOwner => "foreign_token",
            Rule::UnknownNode => "unknown_node",
        }
    }
}

/// The error for a broken rule. It is displayed as the rule's name, a colon, and what broke it; tests match the
/// name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRule {
    /// The rule that was broken.
    pub rule: Rule,
    /// Which job, task, team or request broke it, and how.
    pub what: String,
}

impl fmt::Display for BrokenRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule.name(), self.what)
    }
}

impl std::error::Error for BrokenRule {}
