//! Which attempts were removed from a machine, so that a late copy of their placement starts none of them again.
use crate::ids::{Attempt, Shard};

/// The newest attempt of each coordinator that was removed from a machine.
///
/// Attempts are numbered upwards, so that one number stands for all attempts up to it. A placement that was lost and is
/// repeated only after a later attempt was removed counts as removed, too: it is refused, and its task is decided anew.
#[derive(Clone, Debug, Default)]
pub(super) struct RemovedAttempts {
    /// At most one entry for each shard.
    newest: Vec<(Shard, Attempt)>,
}

impl RemovedAttempts {
    /// Records that an attempt which this shard's coordinator had placed was removed.
    pub(super) fn record(&mut self, shard: Shard, attempt: Attempt) {
        match self.newest.iter_mut().find(|(known, _)| *known == shard) {
            Some((_, newest)) if attempt.is_up_to(*newest) => {}
            Some((_, newest)) => *newest = attempt,
            None => self.newest.push((shard, attempt)),
        }
    }

    /// Returns whether the attempt, or a later one of the same coordinator, was removed.
    pub(super) fn contains(&self, shard: Shard, attempt: Attempt) -> bool {
        self.newest.iter().any(|(known, newest)| *known == shard && attempt.is_up_to(*newest))
    }
}
