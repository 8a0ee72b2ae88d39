//! Heartbeats between controllers.
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// The heartbeat of a controller, sent to every peer once a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct NodeHeartbeat {
    /// The shards that the sender owns, each with its epoch.
    pub owned: Vec<(u8, u64)>,
    /// The newest owner that the sender knows of each shard: shard, node in the order of the names,
    /// epoch. A sender that owned a shard under an older epoch and names a newer one here has given up
    /// the shard.
    pub known_owners: Vec<(u8, u8, u64)>,
    /// The sender can serve user requests.
    pub ready: bool,
    /// When the heartbeat was sent.
    pub stamp: Stamp,
    /// The newest stamp that the sender received from the receiver, which proves that this heartbeat
    /// was sent after it.
    pub echo: Option<Stamp>,
    /// By shard, an epoch such that neither the sender nor an earlier process of its node has acted
    /// under a newer one. Empty: the sender has not read the keys of the shards yet.
    pub newest_epochs: Vec<u64>,
    /// Cancellations in the shards that the sender owns and has loaded completely.
    pub assertions: Vec<ShardAssertion>,
    /// Up to which number the sender has received the cancellations of each shard: shard, epoch, number.
    pub acknowledged: Vec<(u8, u64, u64)>,
}

/// A point in time by the clock of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct Stamp {
    /// Boot number of the process.
    pub boot: u64,
    /// Milliseconds of the process's monotonic clock.
    pub at: u64,
}

/// A part of the log of cancelled jobs that the owner of a shard keeps under its epoch. Each
/// cancellation has a number in this log.
#[derive(Clone, Debug, Default, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct ShardAssertion {
    /// The shard.
    pub shard: u8,
    /// The owner's epoch.
    pub epoch: u64,
    /// How long the owner's lease has been uncertain, in milliseconds; 0: it is valid.
    pub lease_uncertain_ms: u64,
    /// `cancelled` starts after the cancellation with this number. Older ones are acknowledged, or
    /// their jobs ended long ago.
    pub after: u64,
    /// `cancelled` ends with the cancellation with this number.
    pub up_to: u64,
    /// There are no cancellations after `up_to`.
    pub is_complete: bool,
    /// Numbers of the cancelled jobs.
    pub cancelled: Vec<u64>,
}
