//! What is known of the siblings: evidence, by kind, and what it proves.
//!
//! Invariants:
//! - evidence is only ever what a sibling itself said or did, with the time it reached us;
//! - what a word proves, it proves for good: an epoch that a sibling knows it will not forget, so
//!   that it acts for that shard under no older one again;
//! - silence proves nothing. A sibling that is not heard may act on for its whole grace.
use crate::guards::{holds, Guard};
use crate::ids::{Epoch, NodeIdx, Shard, Timestamp};
use leaddeal_wire::mesh::NodeHeartbeat;

/// A sibling not heard of for this long is taken for unreachable.
const SILENT_MS: u64 = 3000;

/// Whether a sibling heard at that time is taken for reachable.
pub(crate) fn lately(heard: Timestamp, now: Timestamp) -> bool {
    now < heard + SILENT_MS
}

/// What a sibling said last.
#[derive(Clone, Debug, Default)]
struct LastStatement {
    /// The newest epoch it knows of, by shard.
    knows: Vec<Epoch>,
    ready: bool,
}

/// The siblings, as this node knows them; its own place stays empty.
#[derive(Debug)]
pub struct Health {
    me: NodeIdx,
    heard: Vec<Timestamp>,
    words: Vec<LastStatement>,
}

impl Health {
    /// So many nodes, with as many shards.
    pub fn new(me: NodeIdx, nodes: usize) -> Health {
        let word = LastStatement { knows: vec![Epoch(0); nodes], ready: false };
        Health { me, heard: vec![0; nodes], words: vec![word; nodes] }
    }

    /// Something came from a sibling.
    pub fn hear(&mut self, node: NodeIdx, now: Timestamp) {
        if let Some(h) = self.heard.get_mut(node.0 as usize) {
            *h = now;
        }
    }

    /// Its beat. Epochs never go back, whatever order beats come in.
    pub fn beat(&mut self, node: NodeIdx, b: &NodeHeartbeat) {
        let Some(w) = self.words.get_mut(node.0 as usize) else { return };
        w.ready = b.ready;
        for &(shard, _, epoch) in &b.known {
            if let Some(k) = w.knows.get_mut(shard as usize) {
                *k = (*k).max(Epoch(epoch));
            }
        }
    }

    pub fn heard(&self) -> &[Timestamp] {
        &self.heard
    }

    fn siblings(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.heard.len()).filter(|&i| i != self.me.0 as usize)
    }

    /// A sibling is heard, or there is none.
    pub fn hears_any(&self, now: Timestamp) -> bool {
        let mut siblings = self.siblings().peekable();
        siblings.peek().is_none() || siblings.any(|i| lately(self.heard[i], now))
    }

    /// A sibling is heard that takes users' requests.
    pub fn another_serves(&self, now: Timestamp) -> bool {
        self.siblings().any(|i| lately(self.heard[i], now) && self.words[i].ready)
    }

    /// Every sibling has said that it knows this epoch of the shard, or a newer one: whatever they,
    /// and the processes before them, granted under older ones, they granted before now.
    pub fn all_know(&self, shard: Shard, epoch: Epoch) -> bool {
        let knows =
            |i: usize| self.words[i].knows.get(shard.0 as usize).is_some_and(|k| *k >= epoch);
        self.siblings().all(knows) || !holds(Guard::AllKnow)
    }
}

#[cfg(test)]
mod tests;
