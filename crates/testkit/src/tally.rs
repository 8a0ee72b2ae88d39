//! Counts what goes into the cores and comes out, for `docs/performance.md`. The same seed gives
//! the same counts.
use leaddeal_core::io::{CloudCall, Input, Output, StoreCall, StoreResult};
use leaddeal_wire::mesh::{NodeMsg, ShardMsg};
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

fn shard_msg(m: &ShardMsg) -> &'static str {
    match m {
        ShardMsg::Request { .. } => "mesh Request",
        ShardMsg::Close { .. } => "mesh Close",
        ShardMsg::Place { .. } => "mesh Place",
        ShardMsg::Stop { .. } => "mesh Stop",
        ShardMsg::Forget { .. } => "mesh Forget",
        ShardMsg::Offers { .. } => "mesh Offers",
        ShardMsg::AskDecision { .. } => "mesh AskDecision",
        ShardMsg::Events { .. } => "mesh Events",
        ShardMsg::Room { .. } => "mesh Room",
        ShardMsg::TeamUsage { .. } => "mesh TeamUsage",
        ShardMsg::TeamGrant { .. } => "mesh TeamGrant",
        ShardMsg::Lacks { .. } => "mesh Lacks",
        ShardMsg::Machines { .. } => "mesh Machines",
        ShardMsg::MachinesAgain => "mesh MachinesAgain",
        ShardMsg::Base { .. } => "mesh Base",
        ShardMsg::Drain { .. } => "mesh Drain",
        ShardMsg::Drained { .. } => "mesh Drained",
        ShardMsg::Released { .. } => "mesh Released",
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
            Input::Report { report, .. } => self.add("worker report", json(report)),
            Input::Orders { .. } => self.add("worker answer to commands", 0),
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

    pub fn output(&mut self, o: &Output) {
        match o {
            Output::Mesh { msg, .. } => {
                let mut bytes = Vec::new();
                let _ = ciborium::into_writer(msg, &mut bytes);
                let kind = match msg {
                    NodeMsg::Shard { msg, .. } => shard_msg(msg),
                    NodeMsg::Beat(_) => "mesh Beat",
                    NodeMsg::Ask { .. } => "mesh Ask",
                    NodeMsg::Told { .. } => "mesh Told",
                    NodeMsg::WantShard { .. } => "mesh WantShard",
                    NodeMsg::Report { .. } => "mesh Report",
                    NodeMsg::Answered { .. } => "mesh Answered",
                };
                self.add(kind, bytes.len() as u64);
            }
            Output::Store { call, .. } => match call {
                StoreCall::Txn(t) => self.add("store transaction", json(t)),
                _ => self.add("store request", 0),
            },
            Output::Cloud { call, .. } => match call {
                CloudCall::List { .. } => self.add("cloud list", 0),
                _ => self.add("cloud request", 0),
            },
            Output::Orders { direct, .. } => self.add("worker commands", json(direct)),
            Output::User { .. } | Output::Worker { .. } | Output::Log(..) => {}
        }
    }
}
