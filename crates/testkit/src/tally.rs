//! Counts what goes into the cores and comes out, for `docs/performance.md`. The same seed gives
//! the same counts.
use leaddeal_core::io::{CloudCall, Effect, Input, StoreCall, StoreResult};
use leaddeal_wire::mesh::{NodeMessage, ShardMessage};
use serde::Serialize;
use std::collections::BTreeMap;

/// How many, and how many bytes they take on the wire.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    pub times: u64,
    pub bytes: u64,
}

#[derive(Debug, Default)]
pub struct Tally {
    pub by_kind: BTreeMap<&'static str, Count>,
}

fn json<T: Serialize>(v: &T) -> u64 {
    serde_json::to_vec(v).map_or(0, |b| b.len() as u64)
}

fn shard_msg(m: &ShardMessage) -> &'static str {
    match m {
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
        let c = self.by_kind.entry(kind).or_default();
        c.times += 1;
        c.bytes += bytes;
    }

    pub fn input(&mut self, i: &Input) {
        match i {
            Input::Tick => self.add("tick", 0),
            Input::Submit { .. } => self.add("user submission", 0),
            Input::Get { .. } => self.add("user question", 0),
            Input::Cancel { .. } => self.add("user cancellation", 0),
            Input::WorkerHeartbeat { report, .. } => self.add("worker report", json(report)),
            Input::CommandOutcome { .. } => self.add("worker answer to commands", 0),
            // Counted where it is sent.
            Input::Mesh { .. } => {}
            Input::Store { result, .. } => match result {
                StoreResult::Page(p) => self.add("store page", json(p)),
                StoreResult::Events(e) => self.add("store events", json(e)),
                _ => self.add("store answer", 0),
            },
            Input::Cloud { .. } => self.add("cloud answer", 0),
        }
    }

    pub fn output(&mut self, o: &Effect) {
        match o {
            Effect::Mesh { msg, .. } => {
                let mut bytes = Vec::new();
                let _ = ciborium::into_writer(msg, &mut bytes);
                let kind = match msg {
                    NodeMessage::Shard { msg, .. } => shard_msg(msg),
                    NodeMessage::Heartbeat(_) => "mesh Beat",
                    NodeMessage::QueryJob { .. } => "mesh Ask",
                    NodeMessage::JobAnswer { .. } => "mesh Told",
                    NodeMessage::ReclaimShard { .. } => "mesh WantShard",
                    NodeMessage::RelayedHeartbeat { .. } => "mesh Report",
                    NodeMessage::RelayedResponse { .. } => "mesh Answered",
                };
                self.add(kind, bytes.len() as u64);
            }
            Effect::Store { call, .. } => match call {
                StoreCall::Transaction(t) => self.add("store transaction", json(t)),
                _ => self.add("store request", 0),
            },
            Effect::Cloud { call, .. } => match call {
                CloudCall::List { .. } => self.add("cloud list", 0),
                _ => self.add("cloud request", 0),
            },
            Effect::Commands { direct, .. } => self.add("worker commands", json(direct)),
            Effect::User { .. } | Effect::Worker { .. } | Effect::Log { .. } => {}
        }
    }
}
