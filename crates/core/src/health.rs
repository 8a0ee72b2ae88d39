//! Failure detection between controllers: evidence of each sibling, by kind, and what it proves.
//!
//! Invariants:
//! - evidence is only ever what a sibling itself said or did, with the time it reached us;
//! - what a statement proves, it proves for good: an epoch that a sibling knows it will not forget, so
//!   that it acts for that shard under no older one again;
//! - silence proves nothing: a sibling that is not heard may go on acting for its whole grace.
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, NodeIdx, Shard, Timestamp};
use leaddeal_wire::mesh::NodeHeartbeat;

/// A sibling from which nothing was received for this long is taken for unreachable.
const UNREACHABLE_AFTER_MS: u64 = 3000;

/// Whether a sibling that was last heard at that time is taken for reachable.
pub(crate) fn is_recent(heard_at: Timestamp, now: Timestamp) -> bool {
    now < heard_at + UNREACHABLE_AFTER_MS
}

/// What a sibling said of itself.
#[derive(Clone, Debug, Default)]
struct Statement {
    /// The newest epoch it knows of, by shard. Invariant: none ever goes back.
    known_epochs: Vec<Epoch>,
    /// It can do what users ask for, by its last heartbeat.
    ready: bool,
}

/// The siblings, as this node knows them. Invariant: its own place stays empty.
#[derive(Debug)]
pub struct Health {
    me: NodeIdx,
    /// By node: when something was last received from it; 0: never.
    heard_at: Vec<Timestamp>,
    /// By node.
    statements: Vec<Statement>,
}

impl Health {
    /// Nothing is known yet of that many nodes, which have as many shards.
    pub fn new(me: NodeIdx, nodes: usize) -> Health {
        let nothing = Statement { known_epochs: vec![Epoch(0); nodes], ready: false };
        Health { me, heard_at: vec![0; nodes], statements: vec![nothing; nodes] }
    }

    /// Something was received from a sibling.
    pub fn record_contact(&mut self, node: NodeIdx, now: Timestamp) {
        if let Some(heard_at) = self.heard_at.get_mut(node.0 as usize) {
            *heard_at = now;
        }
    }

    /// A sibling's heartbeat. Epochs never go back, whatever order heartbeats come in.
    pub fn record_heartbeat(&mut self, node: NodeIdx, heartbeat: &NodeHeartbeat) {
        let Some(statement) = self.statements.get_mut(node.0 as usize) else { return };
        statement.ready = heartbeat.ready;
        for &(shard, _, epoch) in &heartbeat.known {
            if let Some(known) = statement.known_epochs.get_mut(shard as usize) {
                *known = (*known).max(Epoch(epoch));
            }
        }
    }

    /// By node: when something was last received from it; 0: never.
    pub fn heard_at(&self) -> &[Timestamp] {
        &self.heard_at
    }

    /// Whether something was received from the node recently.
    pub fn hears(&self, node: NodeIdx, now: Timestamp) -> bool {
        self.heard_at.get(node.0 as usize).is_some_and(|&at| is_recent(at, now))
    }

    fn siblings(&self) -> impl Iterator<Item = NodeIdx> + '_ {
        (0..self.heard_at.len()).map(|node| NodeIdx(node as u8)).filter(|&node| node != self.me)
    }

    /// A sibling is heard, or there is none.
    pub fn hears_any_sibling(&self, now: Timestamp) -> bool {
        let mut siblings = self.siblings().peekable();
        siblings.peek().is_none() || siblings.any(|node| self.hears(node, now))
    }

    /// A sibling is heard that can do what users ask for.
    pub fn another_is_ready(&self, now: Timestamp) -> bool {
        let is_ready = |node: NodeIdx| self.statements[node.0 as usize].ready;
        self.siblings().any(|node| self.hears(node, now) && is_ready(node))
    }

    /// Every sibling has said that it knows this epoch of the shard, or a newer one: whatever they,
    /// and the processes before them, granted under older ones, they granted before now.
    pub fn all_acknowledge(&self, shard: Shard, epoch: Epoch) -> bool {
        let acknowledges = |node: NodeIdx| {
            let known_epochs = &self.statements[node.0 as usize].known_epochs;
            known_epochs.get(shard.0 as usize).is_some_and(|known| *known >= epoch)
        };
        self.siblings().all(acknowledges) || !is_enforced(Guard::AllSiblingsKnowEpoch)
    }
}

#[cfg(test)]
mod tests;
