//! Failure detection between controllers: what was received from each sibling, and what that
//! proves.
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

/// Whether a sibling from which something was last received at `last_contact_at` is considered
/// reachable.
pub(crate) fn counts_as_reachable(last_contact_at: Timestamp, now: Timestamp) -> bool {
    now < last_contact_at + UNREACHABLE_AFTER_MS
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
    last_contact_at: Vec<Timestamp>,
    /// The statements of each node, by node.
    statements: Vec<Statement>,
}

impl Health {
    /// Creates the state of a node that knows nothing yet. `nodes` is the number of nodes, and of
    /// shards.
    pub fn new(me: NodeIdx, nodes: usize) -> Health {
        let nothing = Statement { known_epochs: vec![Epoch(0); nodes], ready: false };
        Health { me, last_contact_at: vec![0; nodes], statements: vec![nothing; nodes] }
    }

    /// Records that something was received from a sibling.
    pub fn record_contact(&mut self, node: NodeIdx, now: Timestamp) {
        if let Some(last_contact_at) = self.last_contact_at.get_mut(node.0 as usize) {
            *last_contact_at = now;
        }
    }

    /// Records a sibling's heartbeat. Known epochs never decrease, in whatever order heartbeats
    /// arrive.
    pub fn record_heartbeat(&mut self, node: NodeIdx, heartbeat: &NodeHeartbeat) {
        let Some(statement) = self.statements.get_mut(node.0 as usize) else { return };
        statement.ready = heartbeat.ready;
        for &(shard, _, epoch) in &heartbeat.known_owners {
            if let Some(known) = statement.known_epochs.get_mut(shard as usize) {
                *known = (*known).max(Epoch(epoch));
            }
        }
    }

    /// Returns when something was last received from each node, by node; 0: never.
    pub fn last_contact_at(&self) -> &[Timestamp] {
        &self.last_contact_at
    }

    /// Whether something was received from the node recently.
    pub fn is_reachable(&self, node: NodeIdx, now: Timestamp) -> bool {
        self.last_contact_at.get(node.0 as usize).is_some_and(|&at| counts_as_reachable(at, now))
    }

    fn siblings(&self) -> impl Iterator<Item = NodeIdx> + '_ {
        (0..self.last_contact_at.len())
            .map(|node| NodeIdx(node as u8))
            .filter(|&node| node != self.me)
    }

    /// Whether a sibling is reachable, or this node has no siblings.
    pub fn reaches_any_sibling(&self, now: Timestamp) -> bool {
        let mut siblings = self.siblings().peekable();
        siblings.peek().is_none() || siblings.any(|node| self.is_reachable(node, now))
    }

    /// Whether a reachable sibling can serve user requests.
    pub fn has_ready_sibling(&self, now: Timestamp) -> bool {
        let is_ready = |node: NodeIdx| self.statements[node.0 as usize].ready;
        self.siblings().any(|node| self.is_reachable(node, now) && is_ready(node))
    }

    /// Whether every sibling has stated that it knows this epoch of the shard, or a newer one. Then
    /// whatever the siblings, and earlier processes of their nodes, granted under older epochs was
    /// granted before now.
    pub fn all_siblings_know_epoch(&self, shard: Shard, epoch: Epoch) -> bool {
        let knows_epoch = |node: NodeIdx| {
            let known_epochs = &self.statements[node.0 as usize].known_epochs;
            known_epochs.get(shard.0 as usize).is_some_and(|known| *known >= epoch)
        };
        self.siblings().all(knows_epoch) || !is_enforced(Guard::AllSiblingsKnowEpoch)
    }
}

#[cfg(test)]
mod tests;
