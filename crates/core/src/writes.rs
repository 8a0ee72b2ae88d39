//! Transactions that are conditional on a shard's epoch, and what is known of their outcome.
//!
//! Invariants:
//! - The outcome is never assumed. Until it is known, nothing that depends on it is announced or
//!   done, and the same transaction is retried. Only the shard's epoch, or a key that no other
//!   transaction writes (the idempotency key), proves whether an earlier try was executed.
//! - A copy of the transaction that the store executes late changes nothing. Each transaction is
//!   conditional on the version of a key that it writes, so it is committed at most once, however
//!   often it is sent.
use crate::budget::{WriteBudget, WriteClass};
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, Shard, Timestamp};
use crate::io::{StoreCall, StoreResult};
use crate::keys;
use leaddeal_wire::state::{Change, Condition, Transaction};

/// Delay before the next try if the last one was not answered, in ms.
const NO_ANSWER_RETRY_MS: u64 = 200;
/// Delay before the next try if the last one was refused and an earlier one may have been executed,
/// in ms.
const REFUSED_RETRY_MS: u64 = 300;

/// What is known of a [`PendingWrite`] after a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was committed at this revision.
    Committed(u64),
    /// The shard has another owner, or the outcome can't be found out any more: this owner must
    /// write nothing more under its epoch.
    Fenced,
    /// It was not executed and never will be.
    NotCommitted,
    /// The outcome is not known yet, and the write will be retried.
    Pending,
}

/// Number of a transaction's changes that count against one class of the write budget.
#[derive(Clone, Copy, Debug)]
struct WriteCost {
    class: WriteClass,
    changes: usize,
}

/// A transaction that is retried until its outcome is known. It makes no calls itself:
/// [`PendingWrite::next_call`] returns the call that is due, and the caller passes the result to
/// [`PendingWrite::on_result`].
#[derive(Debug)]
pub struct PendingWrite {
    costs: Vec<WriteCost>,
    shard: Shard,
    transaction: Transaction,
    /// A key that only this transaction creates, or only this one overwrites at the version in its
    /// condition. `None`: the transaction has no such key.
    idempotency_key: Option<String>,
    /// Whether an earlier try may have been executed, or may still be.
    earlier_try_uncertain: bool,
    /// Whether the transaction is known to have been executed; its revision is then read from the
    /// idempotency key.
    executed: bool,
    /// When the next call is due; `None` while a result is awaited.
    send_at: Option<Timestamp>,
}

impl PendingWrite {
    /// Creates a transaction that is conditional on the epoch under which the shard is owned. All
    /// its changes count against `class` of the write budget.
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

    /// Makes `key` the idempotency key and adds the condition that it has this version (0: it does
    /// not exist). The caller guarantees that no other transaction creates the key, or overwrites
    /// this version of it.
    pub fn with_idempotency_key(mut self, key: String, version: u64) -> PendingWrite {
        self.transaction.conditions.push(Condition { key: key.clone(), version });
        self.idempotency_key = Some(key);
        self
    }

    /// Counts this number of the changes against another class than the one given to
    /// [`PendingWrite::new`].
    pub fn with_changes_of_class(mut self, class: WriteClass, changes: usize) -> PendingWrite {
        if let Some(first) = self.costs.first_mut() {
            first.changes -= changes.min(first.changes);
        }
        self.costs.push(WriteCost { class, changes });
        self
    }

    /// Adds a condition, unless the transaction already has it.
    pub fn with_condition(mut self, condition: Condition) -> PendingWrite {
        if !self.transaction.conditions.contains(&condition) {
            self.transaction.conditions.push(condition);
        }
        self
    }

    /// Schedules the transaction to be sent again at that time, after it was certainly not executed.
    pub fn resend_at(&mut self, at: Timestamp) {
        self.send_at = Some(at);
    }

    /// Returns the next call if one is due, and counts its changes against the budget. The caller
    /// passes the result to [`PendingWrite::on_result`].
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

    /// Processes the result of the last call and returns what is known of the outcome.
    pub fn on_result(&mut self, now: Timestamp, result: &StoreResult) -> WriteOutcome {
        match result {
            StoreResult::Committed(revision) => WriteOutcome::Committed(*revision),
            // No other transaction writes the idempotency key, so its version is the revision at
            // which this one was committed.
            StoreResult::Item(Some(item)) if self.executed => WriteOutcome::Committed(item.version),
            // A cancellation by this owner has deleted the key in the meantime, so the outcome can't
            // be found out any more. Further retries would block all later writes; instead the
            // owner relinquishes the shard and it is loaded again.
            StoreResult::Item(None) if self.executed => WriteOutcome::Fenced,
            StoreResult::Conflict(failed_keys) => self.on_conflict(now, failed_keys),
            StoreResult::Refused | StoreResult::RateLimited
                if !self.earlier_try_uncertain
                    || !is_enforced(Guard::RefusalInconclusiveAfterUnknownTry) =>
            {
                WriteOutcome::NotCommitted
            }
            StoreResult::Unknown => {
                self.earlier_try_uncertain = true;
                self.retry_at(now + NO_ANSWER_RETRY_MS)
            }
            _ => self.retry_at(now + REFUSED_RETRY_MS),
        }
    }

    /// Handles a transaction that was not committed because the conditions on these keys did not
    /// hold.
    fn on_conflict(&mut self, now: Timestamp, failed_keys: &[String]) -> WriteOutcome {
        if failed_keys.contains(&keys::shard_key(self.shard)) {
            return WriteOutcome::Fenced;
        }
        let already_written =
            self.idempotency_key.as_ref().is_some_and(|key| failed_keys.contains(key));
        if self.earlier_try_uncertain && already_written {
            // No other transaction writes this key, so the earlier try was executed.
            self.executed = true;
            return self.retry_at(now);
        }
        // Whichever other condition failed also fails for a late copy of an earlier try.
        WriteOutcome::NotCommitted
    }

    fn retry_at(&mut self, at: Timestamp) -> WriteOutcome {
        self.send_at = Some(at);
        WriteOutcome::Pending
    }
}

#[cfg(test)]
mod tests;
