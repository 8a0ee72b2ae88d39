//! Counts the inputs and outputs of the cores, for `docs/performance.md`. The same seed gives the same
//! counts.
use leaddeal_core::io::{CloudCall, Effect, Input, StoreCall, StoreResult};
use leaddeal_wire::mesh::{NodeMessage, ShardMessage};
use serde::Serialize;
use std::collections::BTreeMap;

/// Number and size of the messages of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    /// Number of messages.
    pub times: u64,
    /// Bytes that they take on the wire; 0 for kinds whose size is not counted.
    pub bytes: u64,
}

/// Counts of the inputs and outputs of the cores.
#[derive(Debug, Default)]
pub struct Tally {
    /// Counts by kind of message; `docs/performance.md` uses the same names.
    pub by_kind: BTreeMap<&'static str, Count>,
}

/// Returns the length of a message in JSON, in bytes.
fn json_len<T: Serialize>(message: &T) -> u64 {
    serde_json::to_vec(message).map_or(0, |text| text.len() as u64)
}

/// Returns the name of the kind of a message between controllers.
pub fn peer_message_kind(msg: &NodeMessage) -> &'static str {
    match msg {
        NodeMessage::Shard { msg, .. } => shard_message_kind(msg),
        NodeMessage::Heartbeat(_) => "mesh Beat",
        NodeMessage::QueryJob { .. } => "mesh Ask",
        NodeMessage::JobAnswer { .. } => "mesh Told",
        NodeMessage::ReclaimShard { .. } => "mesh WantShard",
        NodeMessage::RelayedHeartbeat { .. } => "mesh Report",
        NodeMessage::RelayedResponse { .. } => "mesh Answered",
    }
}

/// Returns the name of the kind of a message between shards.
fn shard_message_kind(msg: &ShardMessage) -> &'static str {
    match msg {
        ShardMessage::RequestOffers { .. } => "mesh Request",
        ShardMessage::CloseNegotiation { .. } => "mesh Close",
        ShardMessage::Place { .. } => "mesh Place",
        ShardMessage::Stop { .. } => "mesh Stop",
        ShardMessage::Forget { .. } => "mesh Forget",
        ShardMessage::Offers { .. } => "mesh Offers",
        ShardMessage::AskDecision { .. } => "mesh AskDecision",
        ShardMessage::TaskEvents { .. } => "mesh Events",
        ShardMessage::CapacityFreed { .. } => "mesh Room",
        ShardMessage::TeamUsage { .. } => "mesh TeamUsage",
        ShardMessage::TeamGrant { .. } => "mesh TeamGrant",
        ShardMessage::UnmetDemand { .. } => "mesh Lacks",
        ShardMessage::Inventory { .. } => "mesh Machines",
        ShardMessage::ResendInventory => "mesh MachinesAgain",
        ShardMessage::OperatorMachines { .. } => "mesh Base",
        ShardMessage::Drain { .. } => "mesh Drain",
        ShardMessage::Drained { .. } => "mesh Drained",
        ShardMessage::Released { .. } => "mesh Released",
    }
}

impl Tally {
    fn add(&mut self, kind: &'static str, bytes: u64) {
        let count = self.by_kind.entry(kind).or_default();
        count.times += 1;
        count.bytes += bytes;
    }

    /// Counts an input of a core. Messages from siblings are counted when they are sent.
    pub fn input(&mut self, input: &Input) {
        match input {
            Input::Tick => self.add("tick", 0),
            Input::Submit { .. } => self.add("user submission", 0),
            Input::Get { .. } => self.add("user question", 0),
            Input::Cancel { .. } => self.add("user cancellation", 0),
            Input::WorkerHeartbeat { heartbeat, .. } => {
                self.add("worker report", json_len(heartbeat));
            }
            Input::CommandOutcome { .. } => self.add("worker answer to commands", 0),
            Input::Mesh { .. } => {}
            Input::Store { result, .. } => match result {
                StoreResult::Page(p) => self.add("store page", json_len(p)),
                StoreResult::Events(e) => self.add("store events", json_len(e)),
                _ => self.add("store answer", 0),
            },
            Input::Cloud { .. } => self.add("cloud answer", 0),
        }
    }

    /// Counts an output of a core.
    pub fn output(&mut self, effect: &Effect) {
        match effect {
            Effect::Mesh { msg, .. } => {
                let mut bytes = Vec::new();
                let _ = ciborium::into_writer(msg, &mut bytes);
                self.add(peer_message_kind(msg), bytes.len() as u64);
            }
            Effect::Store { call, .. } => match call {
                StoreCall::Transaction(t) => self.add("store transaction", json_len(t)),
                _ => self.add("store request", 0),
            },
            Effect::Cloud { call, .. } => match call {
                CloudCall::List { .. } => self.add("cloud list", 0),
                _ => self.add("cloud request", 0),
            },
            Effect::Commands { commands, .. } => self.add("worker commands", json_len(commands)),
            Effect::User { .. } | Effect::Worker { .. } | Effect::Log { .. } => {}
        }
    }
}
