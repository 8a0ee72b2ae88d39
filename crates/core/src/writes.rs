//! A transaction under a shard's epoch, and what is known of its outcome.
//!
//! Invariant: an outcome is never guessed. Until it is known, nothing that depends on it is said or
//! done, and the same transaction is tried again; nothing but the shard's epoch, or a key that only
//! this transaction writes, tells what became of an earlier try. And a copy of it that is executed late
//! does nothing: each transaction names a key that it writes and the version that key has before, so
//! that it is executed once at the most, however often it is sent.
use crate::budget::{WriteBudget, WriteClass};
use crate::guards::{holds, Guard};
use crate::ids::{Epoch, Shard, Timestamp};
use crate::io::{StoreCall, StoreResult};
use crate::keys;
use leaddeal_wire::state::{Change, Condition, Transaction};

/// Before the next try, when there was no answer and when it was refused.
const NO_ANSWER_MS: u64 = 200;
const REFUSED_MS: u64 = 300;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Executed at this revision.
    Done(u64),
    /// The shard has another owner: nothing may be written under this epoch any more.
    Fenced,
    /// Certainly not executed, now or later.
    NotDone,
    /// Not known: to be tried again.
    Open,
}

#[derive(Debug)]
pub struct PendingWrite {
    /// What it costs, by class.
    costs: Vec<(WriteClass, usize)>,
    shard: Shard,
    txn: Transaction,
    /// Created, or written over at that version, by this transaction and nothing else.
    creates: Option<String>,
    /// An earlier try may have been executed, or may yet be.
    unsure: bool,
    /// It was executed, and at which revision is being read.
    executed: bool,
    /// When to send it; none: an answer is waited for.
    send_at: Option<Timestamp>,
}

impl PendingWrite {
    /// Conditional on the epoch under which the shard is owned.
    pub fn new(
        class: WriteClass,
        shard: Shard,
        epoch: Epoch,
        changes: Vec<Change>,
    ) -> PendingWrite {
        let fence = Condition { key: keys::shard_key(shard), version: epoch.0 };
        let conditions = if holds(Guard::Epoch) { vec![fence] } else { Vec::new() };
        let txn = Transaction { conditions, changes };
        let costs = vec![(class, txn.changes.len())];
        let (creates, unsure, executed) = (None, false, false);
        PendingWrite { costs, shard, txn, creates, unsure, executed, send_at: Some(0) }
    }

    /// It creates this key (version 0), or writes over that version of it; no other transaction
    /// does.
    pub fn creating(mut self, key: String, version: u64) -> PendingWrite {
        self.txn.conditions.push(Condition { key: key.clone(), version });
        self.creates = Some(key);
        self
    }

    /// So many of its changes are of this class instead.
    pub fn of_which(mut self, class: WriteClass, n: usize) -> PendingWrite {
        if let Some(first) = self.costs.first_mut() {
            first.1 -= n.min(first.1);
        }
        self.costs.push((class, n));
        self
    }

    /// To be sent again after it was certainly not executed.
    pub fn again(&mut self, at: Timestamp) {
        self.send_at = Some(at);
    }

    pub fn also_if(mut self, cond: Condition) -> PendingWrite {
        if !self.txn.conditions.contains(&cond) {
            self.txn.conditions.push(cond);
        }
        self
    }

    /// The call, if it is time for it; its answer goes to `take`.
    pub fn call(&mut self, now: Timestamp, budget: &mut WriteBudget) -> Option<StoreCall> {
        if self.send_at.is_none_or(|t| t > now) {
            return None;
        }
        self.send_at = None;
        if let Some(key) = self.creates.clone().filter(|_| self.executed) {
            return Some(StoreCall::Get { key });
        }
        for &(class, n) in &self.costs {
            budget.spend(class, n);
        }
        Some(StoreCall::Transaction(self.txn.clone()))
    }

    pub fn take(&mut self, now: Timestamp, result: &StoreResult) -> WriteOutcome {
        let creates = self.creates.as_ref();
        match result {
            StoreResult::Committed(revision) => WriteOutcome::Done(*revision),
            // Nobody else writes that key: what is there is from this transaction.
            StoreResult::Item(Some(i)) if self.executed => WriteOutcome::Done(i.version),
            // Deleted meanwhile, by a cancellation of ours: what became of it can't be told any more.
            // The shard is given up and loaded anew; asking on would hold up all that follows.
            StoreResult::Item(None) if self.executed => WriteOutcome::Fenced,
            StoreResult::Conflict(failed) if failed.contains(&keys::shard_key(self.shard)) => {
                WriteOutcome::Fenced
            }
            // Only this transaction writes this key: an earlier try was executed after all.
            StoreResult::Conflict(f) if self.unsure && creates.is_some_and(|k| f.contains(k)) => {
                self.executed = true;
                self.send_at = Some(now);
                WriteOutcome::Open
            }
            // Whatever else failed fails for a late copy of an earlier try, too.
            StoreResult::Conflict(_) => WriteOutcome::NotDone,
            StoreResult::Refused | StoreResult::RateLimited
                if !self.unsure || !holds(Guard::OutcomeKnown) =>
            {
                WriteOutcome::NotDone
            }
            StoreResult::Unknown => {
                self.unsure = true;
                self.send_at = Some(now + NO_ANSWER_MS);
                WriteOutcome::Open
            }
            _ => {
                self.send_at = Some(now + REFUSED_MS);
                WriteOutcome::Open
            }
        }
    }
}

#[cfg(test)]
mod tests;
