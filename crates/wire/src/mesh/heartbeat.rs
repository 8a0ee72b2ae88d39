//! Heartbeats between controllers.
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// Sent to every peer once a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct NodeHeartbeat {
    /// Shards that the sender acts for, and under which epochs.
    pub owned: Vec<(u8, u64)>,
    /// The newest owner that it knows of each shard: shard, node by the order of names, epoch. An owner that
    /// acted for a shard under an older epoch and says so here has let go of it.
    pub known: Vec<(u8, u8, u64)>,
    /// It can take users' requests.
    pub ready: bool,
    /// When this was sent.
    pub stamp: Stamp,
    /// The newest stamp that it received from the receiver: this was sent after that.
    pub echo: Option<Stamp>,
    /// By shard: neither the sender nor an earlier process of its node has acted under a newer epoch than this.
    /// Empty: it has not read the keys of the shards yet.
    pub newest: Vec<u64>,
    /// Of the shards that it acts for and has loaded whole.
    pub assertions: Vec<ShardAssertion>,
    /// Up to which number it knows the cancellations: shard, epoch, number.
    pub acknowledged: Vec<(u8, u64, u64)>,
}

/// A moment by the clock of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct Stamp {
    /// The process's boot number.
    pub boot: u64,
    /// Milliseconds of its steady clock.
    pub at: u64,
}

/// What the owner of a shard says of its jobs that were cancelled.
#[derive(Clone, Debug, Default, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct ShardAssertion {
    /// The shard.
    pub shard: u8,
    /// The epoch that the owner acts under.
    pub epoch: u64,
    /// How long its lease has been uncertain, in milliseconds; 0: it is not.
    pub doubt_ms: u64,
    /// `cancelled` are those after the one with this number; older ones are acknowledged, or were over long
    /// ago.
    pub after: u64,
    /// `cancelled` are those up to the one with this number.
    pub up_to: u64,
    /// There are no more.
    pub complete: bool,
    /// Cancelled jobs' numbers.
    pub cancelled: Vec<u64>,
}
