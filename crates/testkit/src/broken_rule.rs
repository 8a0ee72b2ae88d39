//! The rules that the checker knows, and what it says of one that is broken.
use std::fmt;

/// A rule of the protocol, or of the simulator's surroundings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A job that was accepted stays known, and its user is answered.
    Forgotten,
    /// A terminal state that a user was told never changes, and only a user's request cancels a job.
    WentBack,
    /// A job is accepted as new only once.
    AcceptedTwice,
    /// A cancellation is answered with a terminal state.
    NotCancelled,
    /// No task runs for longer than it may after the cancellation of its job was confirmed.
    RanCancelled,
    /// No task runs on two machines at once.
    RanTwice,
    /// A task starts only on a machine and in a zone that its job allows.
    WrongPlace,
    /// No team uses more than its limits.
    Quota,
    /// No job is left waiting beside capacity that it and its team may use.
    Neglected,
    /// Only jobs that were submitted have a state.
    Invented,
    /// A job is done only once all its tasks are.
    NotDone,
    /// An invalid submission is not accepted.
    AcceptedWrong,
    /// An invalid submission is refused with the status that is due.
    RefusedWrong,
    /// The tasks of a gang start and complete together.
    HalfGang,
    /// The name of an instance request is used only once.
    NameReused,
    /// A late copy of a transaction does nothing.
    WrittenAgain,
    /// Controllers send messages only to controllers that there are.
    UnknownNode,
}

impl Rule {
    /// The rule is broken, by this.
    pub(crate) fn broken(self, what: impl Into<String>) -> BrokenRule {
        BrokenRule { rule: self, what: what.into() }
    }

    fn name(self) -> &'static str {
        match self {
            Rule::Forgotten => "forgotten",
            Rule::WentBack => "went_back",
            Rule::AcceptedTwice => "accepted_twice",
            Rule::NotCancelled => "not_cancelled",
            Rule::RanCancelled => "ran_cancelled",
            Rule::RanTwice => "ran_twice",
            Rule::WrongPlace => "wrong_place",
            Rule::Quota => "quota",
            Rule::Neglected => "neglected",
            Rule::Invented => "invented",
            Rule::NotDone => "not_done",
            Rule::AcceptedWrong => "accepted_wrong",
            Rule::RefusedWrong => "refused_wrong",
            Rule::HalfGang => "half_gang",
            Rule::NameReused => "name_reused",
            Rule::WrittenAgain => "written_again",
            Rule::UnknownNode => "unknown_node",
        }
    }
}

/// A rule was broken. Its text is the rule's name, a colon, and what broke it; tests look for the name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRule {
    /// The rule.
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
