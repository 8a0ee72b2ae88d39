//! Checks that each fencing token which is sent directly to a worker belongs to its sender: the sender's acquisition of the
//! machine's shard is the newest one up to the token. A later owner's epoch is then larger than all tokens before.
use super::controllers::Process;
use super::{Sim, NODES};
use crate::broken_rule::{BrokenRule, Rule};
use leaddeal_core::ids::{shard_of_machine, Shard};
use leaddeal_core::keys;
use leaddeal_wire::state::{Change, Transaction};
use std::collections::BTreeMap;

/// By shard: the process that acquired it at each revision of the store.
#[derive(Debug, Default)]
pub(super) struct Acquisitions(BTreeMap<Shard, BTreeMap<u64, Process>>);

impl Sim {
    /// Records the acquisitions in a transaction that the store has committed.
    pub(super) fn note_acquisitions(
        &mut self,
        process: Process,
        transaction: &Transaction,
        revision: u64,
    ) {
        for change in &transaction.changes {
            let Change::Put { key, .. } = change else { continue };
            let is_shard_key = |shard: &u8| *key == keys::shard_key(Shard(*shard));
            if let Some(shard) = (0..NODES as u8).find(is_shard_key) {
                self.acquisitions.0.entry(Shard(shard)).or_default().insert(revision, process);
            }
        }
    }

    /// Checks a fencing token that a process sends to a machine's worker.
    ///
    /// # Errors
    /// [`Rule::TokenOfOtherOwner`] if another process acquired the machine's shard at the token or shortly before it.
    pub(super) fn check_token(
        &self,
        process: Process,
        machine: &str,
        token: u64,
    ) -> Result<(), BrokenRule> {
        let of_shard = self.acquisitions.0.get(&shard_of_machine(machine, NODES));
        let owner = of_shard.and_then(|acquired| acquired.range(..=token).next_back());
        match owner {
            Some((_, owner)) if *owner == process => Ok(()),
            _ => Err(Rule::TokenOfOtherOwner
                .broken(format!("{process:?} sends {token} to {machine}, acquired by {owner:?}"))),
        }
    }
}
