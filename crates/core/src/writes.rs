//! A transaction under a shard's epoch, and what is known of its outcome.
//!
//! Invariant: an outcome is never guessed. Until it is known, nothing that depends on it is said or
//! done, and the same transaction is tried again; nothing but the shard's epoch, or a key that only
//! this transaction writes, tells what became of an earlier try. And a copy of it that is executed late
//! does nothing: each transaction names a key that it writes and the version that key has before, so
//! that it is executed once at the most, however often it is sent.
use crate::budget::{Budget, Class};
use crate::guards::{holds, Guard};
use crate::ids::{Epoch, Now, Shard};
use crate::io::{StoreCall, StoreResult};
use crate::keys;
use leaddeal_wire::state::{Change, Cond, Txn};

/// Before the next try, when there was no answer and when it was refused.
const NO_ANSWER_MS: u64 = 200;
const REFUSED_MS: u64 = 300;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
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
pub struct Write {
    /// What it costs, by class.
    costs: Vec<(Class, usize)>,
    shard: Shard,
    txn: Txn,
    /// Created, or written over at that version, by this transaction and nothing else.
    creates: Option<String>,
    /// An earlier try may have been executed, or may yet be.
    unsure: bool,
    /// It was executed, and at which revision is being read.
    executed: bool,
    /// When to send it; none: an answer is waited for.
    send_at: Option<Now>,
}

impl Write {
    /// Conditional on the epoch under which the shard is owned.
    pub fn new(class: Class, shard: Shard, epoch: Epoch, changes: Vec<Change>) -> Write {
        let fence = Cond { key: keys::shard_key(shard), version: epoch.0 };
        let conds = if holds(Guard::Epoch) { vec![fence] } else { Vec::new() };
        let txn = Txn { conds, changes };
        let costs = vec![(class, txn.changes.len())];
        let (creates, unsure, executed) = (None, false, false);
        Write { costs, shard, txn, creates, unsure, executed, send_at: Some(0) }
    }

    /// It creates this key (version 0), or writes over that version of it; no other transaction
    /// does.
    pub fn creating(mut self, key: String, version: u64) -> Write {
        self.txn.conds.push(Cond { key: key.clone(), version });
        self.creates = Some(key);
        self
    }

    /// So many of its changes are of this class instead.
    pub fn of_which(mut self, class: Class, n: usize) -> Write {
        if let Some(first) = self.costs.first_mut() {
            first.1 -= n.min(first.1);
        }
        self.costs.push((class, n));
        self
    }

    /// To be sent again after it was certainly not executed.
    pub fn again(&mut self, at: Now) {
        self.send_at = Some(at);
    }

    pub fn also_if(mut self, cond: Cond) -> Write {
        if !self.txn.conds.contains(&cond) {
            self.txn.conds.push(cond);
        }
        self
    }

    /// The call, if it is time for it; its answer goes to `take`.
    pub fn call(&mut self, now: Now, budget: &mut Budget) -> Option<StoreCall> {
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
        Some(StoreCall::Txn(self.txn.clone()))
    }

    pub fn take(&mut self, now: Now, result: &StoreResult) -> Outcome {
        let creates = self.creates.as_ref();
        match result {
            StoreResult::Committed(revision) => Outcome::Done(*revision),
            // Nobody else writes that key: what is there is from this transaction.
            StoreResult::Item(Some(i)) if self.executed => Outcome::Done(i.version),
            // Deleted meanwhile, by a cancellation of ours: what became of it can't be told any more.
            // The shard is given up and loaded anew; asking on would hold up all that follows.
            StoreResult::Item(None) if self.executed => Outcome::Fenced,
            StoreResult::Conflict(failed) if failed.contains(&keys::shard_key(self.shard)) => {
                Outcome::Fenced
            }
            // Only this transaction writes this key: an earlier try was executed after all.
            StoreResult::Conflict(f) if self.unsure && creates.is_some_and(|k| f.contains(k)) => {
                self.executed = true;
                self.send_at = Some(now);
                Outcome::Open
            }
            // Whatever else failed fails for a late copy of an earlier try, too.
            StoreResult::Conflict(_) => Outcome::NotDone,
            StoreResult::Refused | StoreResult::TooMany
                if !self.unsure || !holds(Guard::OutcomeKnown) =>
            {
                Outcome::NotDone
            }
            StoreResult::Unknown => {
                self.unsure = true;
                self.send_at = Some(now + NO_ANSWER_MS);
                Outcome::Open
            }
            _ => {
                self.send_at = Some(now + REFUSED_MS);
                Outcome::Open
            }
        }
    }
}

#[cfg(test)]
mod tests;
