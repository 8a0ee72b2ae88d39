//! The fencing token under which a worker is commanded. Raising it makes the worker refuse late copies of the commands
//! that were sent directly before, so that a worker may forget an attempt only under a newer token than the attempt's
//! start was sent under.
use super::{Machine, TaskOnMachine};
use crate::guards::{is_enforced, Guard};
use leaddeal_wire::mesh::TaskPhase;

/// While this many ended attempts await a newer token, further starts are sent in responses to heartbeats only, which
/// are never executed late.
const MAX_RETAINED_ATTEMPTS: usize = 100;

/// Whether attempts on a machine can be forgotten only under a newer token than the owner has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenDemand {
    /// The machine's token is new enough.
    Met,
    /// The owner needs a newer token.
    Unmet,
}

impl Machine {
    /// Raises the machine's token to `newest`, the owner's newest one, if an attempt can be forgotten only then. Not
    /// while a command batch is in flight, since the worker would refuse it.
    pub fn raise_token(&mut self, newest: u64) -> TokenDemand {
        let awaited = self.tasks.values().filter_map(TaskOnMachine::awaits_token_above).max();
        let Some(needed_above) = awaited else { return TokenDemand::Met };
        if needed_above >= self.token && newest > self.token && self.direct_batch.is_none() {
            self.token = newest;
        }
        match needed_above >= newest {
            true => TokenDemand::Unmet,
            false => TokenDemand::Met,
        }
    }

    /// Follows a token that the worker reports, if it is this owner's: up to `newest`, no other owner can have sent a
    /// larger one than this owner has. Commands under a smaller one would be refused.
    pub fn observe_token(&mut self, reported: u64, newest: u64) {
        if reported <= newest {
            self.token = self.token.max(reported);
        }
    }

    /// Returns whether starts may be sent directly. A bound on the ended attempts that the worker has to report.
    pub(super) fn may_start_directly(&self) -> bool {
        self.attempts_awaiting_token() < MAX_RETAINED_ATTEMPTS
    }

    /// Returns the number of ended attempts that the worker reports and may forget only under a newer token.
    pub fn attempts_awaiting_token(&self) -> usize {
        let is_retained = |task: &&TaskOnMachine| {
            task.is_over() && task.reported && !task.is_start_fenced(self.token)
        };
        self.tasks.values().filter(is_retained).count()
    }
}

impl TaskOnMachine {
    /// Returns whether a worker that has seen this token refuses every start command that was sent directly for the
    /// attempt.
    pub(super) fn is_start_fenced(&self, token: u64) -> bool {
        self.start_token.is_none_or(|start_token| start_token < token)
            || !is_enforced(Guard::ForgetNeedsNewerToken)
    }

    /// Returns the token above which one lets the attempt be forgotten, or shows that it can't start any more. `None`:
    /// no token is awaited.
    fn awaits_token_above(&self) -> Option<u64> {
        let is_ended = match self.phase {
            TaskPhase::Exited(..) => self.end_acknowledged && self.reported,
            TaskPhase::Decided => self.start_uncertain && self.stop.is_some(),
            TaskPhase::On(_) | TaskPhase::Gone => false,
        };
        self.start_token.filter(|&token| is_ended && !self.is_start_fenced(token))
    }
}
