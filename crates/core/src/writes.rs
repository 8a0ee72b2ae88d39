//! A transaction that is conditional on a shard's epoch, and what is known of its outcome.
//!
//! Invariants:
//! - An outcome is never guessed. Until it is known, nothing that depends on it is announced or
//!   done, and the same transaction is retried. Only the shard's epoch, or a key that no other
//!   transaction writes (its idempotency key), proves what became of an earlier try.
//! - A copy that is executed late does nothing: each transaction names a key that it writes and the
//!   version that this key has before, so it is executed at most once, however often it is sent.
use crate::budget::{WriteBudget, WriteClass};
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, Shard, Timestamp};
use crate::io::{StoreCall, StoreResult};
use crate::keys;
use leaddeal_wire::state::{Change, Condition, Transaction};

/// Wait before the next try if there was no answer.
const NO_ANSWER_RETRY_MS: u64 = 200;
/// Wait before the next try if this one was refused and an earlier one may have been executed.
const REFUSED_RETRY_MS: u64 = 300;

/// What is known of a [`PendingWrite`] after a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Executed at this revision.
    Done(u64),
    /// The shard has another owner: nothing may be written under this epoch any more.
    Fenced,
    /// Certainly not executed, now or later.
    NotDone,
    /// Not known yet: it will be retried.
    Open,
}

/// How many of a transaction's changes are counted to one class of the write budget.
#[derive(Clone, Copy, Debug)]
struct WriteCost {
    class: WriteClass,
    changes: usize,
}

/// A transaction that is sent until its outcome is known. It makes no calls itself:
/// [`PendingWrite::next_call`] returns the call that is due, and its result is handed back to
/// [`PendingWrite::on_result`].
#[derive(Debug)]
pub struct PendingWrite {
    costs: Vec<WriteCost>,
    shard: Shard,
    transaction: Transaction,
    /// A key that this transaction and no other creates, or writes over at that version.
    idempotency_key: Option<String>,
    /// An earlier try may have been executed, or may still be.
    earlier_try_uncertain: bool,
    /// It was executed; at which revision is being read.
    executed: bool,
    /// When to send it; `None`: a result is awaited.
    send_at: Option<Timestamp>,
}

impl PendingWrite {
    /// A transaction that is conditional on the epoch under which the shard is owned. All its
    /// changes are counted to `class`.
    pub fn new(
        class: WriteClass,
        shard: Shard,
        epoch: Epoch,
        changes: Vec<Change>,
    ) -> PendingWrite {
        let fence = Condition { key: keys::shard_key(shard), version: epoch.0 };
        let conditions =
            if is_enforced(Guard::WritesFencedByEpoch) { vec![fence] } else { Vec::new() };
        PendingWrite {
            costs: vec![WriteCost { class, changes: changes.len() }],
            shard,
            transaction: Transaction { conditions, changes },
            idempotency_key: None,
            earlier_try_uncertain: false,
            executed: false,
            send_at: Some(0),
        }
    }

    /// States that it creates this key (version 0), or writes over that version of it, and that no
    /// other transaction does.
    pub fn with_idempotency_key(mut self, key: String, version: u64) -> PendingWrite {
        self.transaction.conditions.push(Condition { key: key.clone(), version });
        self.idempotency_key = Some(key);
        self
    }

    /// Counts this number of its changes to another class than that given at first.
    pub fn with_changes_of_class(mut self, class: WriteClass, changes: usize) -> PendingWrite {
        if let Some(first) = self.costs.first_mut() {
            first.changes -= changes.min(first.changes);
        }
        self.costs.push(WriteCost { class, changes });
        self
    }

    /// Adds a condition, unless it is there already.
    pub fn with_condition(mut self, condition: Condition) -> PendingWrite {
        if !self.transaction.conditions.contains(&condition) {
            self.transaction.conditions.push(condition);
        }
        self
    }

    /// Sends it once more at that time, after it was certainly not executed.
    pub fn resend_at(&mut self, at: Timestamp) {
        self.send_at = Some(at);
    }

    /// The next call, if one is due; its result goes to [`PendingWrite::on_result`]. What it writes
    /// is counted against the budget.
    pub fn next_call(&mut self, now: Timestamp, budget: &mut WriteBudget) -> Option<StoreCall> {
        if self.send_at.is_none_or(|at| at > now) {
            return None;
        }
        self.send_at = None;
        if let Some(key) = self.idempotency_key.clone().filter(|_| self.executed) {
            return Some(StoreCall::Get { key });
        }
        for cost in &self.costs {
            budget.spend(cost.class, cost.changes);
        }
        Some(StoreCall::Transaction(self.transaction.clone()))
    }

    /// Takes the result of the last call; returns what is known of the outcome.
    pub fn on_result(&mut self, now: Timestamp, result: &StoreResult) -> WriteOutcome {
        match result {
            StoreResult::Committed(revision) => WriteOutcome::Done(*revision),
            // No other transaction writes that key: its version is the revision of this one.
            StoreResult::Item(Some(item)) if self.executed => WriteOutcome::Done(item.version),
            // Deleted in the meantime, by a cancellation of this owner: what became of it can't be
            // found out any more. The shard is given up and loaded again; further retries would
            // block all writes after this one.
            StoreResult::Item(None) if self.executed => WriteOutcome::Fenced,
            StoreResult::Conflict(failed_keys) => self.on_conflict(now, failed_keys),
            StoreResult::Refused | StoreResult::RateLimited
                if !self.earlier_try_uncertain
                    || !is_enforced(Guard::RefusalInconclusiveAfterUnknownTry) =>
            {
                WriteOutcome::NotDone
            }
            StoreResult::Unknown => {
                self.earlier_try_uncertain = true;
                self.retry_at(now + NO_ANSWER_RETRY_MS)
            }
            _ => self.retry_at(now + REFUSED_RETRY_MS),
        }
    }

    /// The transaction was not executed, since the conditions on these keys did not hold.
    fn on_conflict(&mut self, now: Timestamp, failed_keys: &[String]) -> WriteOutcome {
        if failed_keys.contains(&keys::shard_key(self.shard)) {
            return WriteOutcome::Fenced;
        }
        let already_written =
            self.idempotency_key.as_ref().is_some_and(|key| failed_keys.contains(key));
        if self.earlier_try_uncertain && already_written {
            // Only this transaction writes this key: an earlier try was executed after all.
            self.executed = true;
            return self.retry_at(now);
        }
        // Whatever other condition failed will fail for a late copy of an earlier try, too.
        WriteOutcome::NotDone
    }

    fn retry_at(&mut self, at: Timestamp) -> WriteOutcome {
        self.send_at = Some(at);
        WriteOutcome::Open
    }
}

#[cfg(test)]
mod tests;
