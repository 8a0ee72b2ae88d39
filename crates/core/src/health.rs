//! Failure detection between controllers: what was received from each sibling, and what that proves.
//!
//! Invariants:
//! - Evidence is only what a sibling itself stated or did, with the time at which it reached this
//!   node.
//! - A statement stays proven: a sibling doesn't forget an epoch that it knows, so it never again
//!   acts for that shard under an older one.
//! - Silence proves nothing: a sibling that is unreachable may continue to act for its whole grace
//!   period.
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, NodeIdx, Shard, Timestamp};
use leaddeal_wire::mesh::NodeHeartbeat;

/// A sibling from which nothing was received for this long, in ms, is considered unreachable.
const UNREACHABLE_AFTER_MS: u64 = 3000;

/// Whether a sibling from which something was last received at `heard_at` is considered reachable.
pub(crate) fn is_recent(heard_at: Timestamp, now: Timestamp) -> bool {
    now < heard_at + UNREACHABLE_AFTER_MS
}

/// What a sibling stated about itself.
#[derive(Clone, Debug, Default)]
struct Statement {
    /// The newest epoch of which the sibling knows, by shard. Invariant: an epoch never decreases.
    known_epochs: Vec<Epoch>,
    /// Whether the sibling can serve user requests, according to its last heartbeat.
    ready: bool,
}

/// What is known of the siblings. Invariant: the entry of this node itself stays empty.
#[derive(Debug)]
pub struct Health {
    me: NodeIdx,
    /// When something was last received from each node, by node; 0: never.
    heard_at: Vec<Timestamp>,
    /// The statements of each node, by node.
    statements: Vec<Statement>,
}

impl Health {
    /// Creates the state of a node that knows nothing yet. `nodes` is the number of nodes, and of
    /// shards.
    pub fn new(me: NodeIdx, nodes: usize) -> Health {
        let nothing = Statement { known_epochs: vec![Epoch(0); nodes], ready: false };
        Health { me, heard_at: vec![0; nodes], statements: vec![nothing; nodes] }
    }

    /// Records that something was received from a sibling.
    pub fn record_contact(&mut self, node: NodeIdx, now: Timestamp) {
        if let Some(heard_at) = self.heard_at.get_mut(node.0 as usize) {
            *heard_at = now;
        }
    }

    /// Records a sibling's heartbeat. Known epochs never decrease, in whatever order heartbeats arrive.
    pub fn record_heartbeat(&mut self, node: NodeIdx, heartbeat: &NodeHeartbeat) {
        let Some(statement) = self.statements.get_mut(node.0 as usize) else { return };
        statement.ready = heartbeat.ready;
        for &(shard, _, epoch) in &heartbeat.known {
            if let Some(known) = statement.known_epochs.get_mut(shard as usize) {
                *known = (*known).max(Epoch(epoch));
            }
        }
    }

    /// Returns when something was last received from each node, by node; 0: never.
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

    /// Whether a sibling is reachable, or this node has no siblings.
    pub fn hears_any_sibling(&self, now: Timestamp) -> bool {
        let mut siblings = self.siblings().peekable();
        siblings.peek().is_none() || siblings.any(|node| self.hears(node, now))
    }

    /// Whether a reachable sibling can serve user requests.
    pub fn another_is_ready(&self, now: Timestamp) -> bool {
        let is_ready = |node: NodeIdx| self.statements[node.0 as usize].ready;
        self.siblings().any(|node| self.hears(node, now) && is_ready(node))
    }

    /// Whether every sibling has stated that it knows this epoch of the shard, or a newer one. Then
    /// whatever the siblings, and earlier processes of their nodes, granted under older epochs was
    /// granted before now.
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
