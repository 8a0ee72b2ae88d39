//! The fingerprint of a simulated run: a hash over all messages, writes and replies of the cores, in order. Two
//! versions of the core behave the same in a run if their fingerprints of it are equal.
//!
//! Messages are hashed as the bytes or the JSON text that goes over the wire, so that renaming a type, field or log
//! event in the source does not change the fingerprint. Of log lines only the level is hashed, and debug
//! lines are left out, since only traced runs have them.
use leaddeal_core::io::{CloudCall, Effect, LogLevel, StoreCall, WorkerReply};
use serde::Serialize;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::Write;

/// Environment variable that names the file to which each simulated run appends its fingerprint.
const FINGERPRINT_FILE_VARIABLE: &str = "LEADDEAL_FINGERPRINTS";

/// Hashes the outputs of the cores of one run.
#[derive(Debug, Default)]
pub struct Fingerprint {
    hasher: DefaultHasher,
    outputs: u64,
}

impl Fingerprint {
    /// Adds an output of the core of a node, made at the node's time `now` in milliseconds.
    pub fn add(&mut self, node: usize, now: u64, output: &Effect) {
        if matches!(output, Effect::Log { level: LogLevel::Debug, .. }) {
            return;
        }
        self.outputs += 1;
        (node, now).hash(&mut self.hasher);
        match output {
            Effect::User { req, reply } => {
                ("user", req, reply.status, &reply.error, reply.retry_after_s)
                    .hash(&mut self.hasher);
                self.add_json(&reply.state);
            }
            Effect::Worker { req, reply } => {
                ("worker", req).hash(&mut self.hasher);
                match reply {
                    WorkerReply::HeartbeatResponse(answer) => self.add_json(answer),
                    WorkerReply::Redirect(to) => ("redirect", to).hash(&mut self.hasher),
                    WorkerReply::Unavailable => "unavailable".hash(&mut self.hasher),
                }
            }
            Effect::Mesh { to, msg } => {
                ("mesh", to).hash(&mut self.hasher);
                let mut bytes = Vec::new();
                let written = ciborium::into_writer(msg, &mut bytes);
                written.expect("a message can be encoded in memory");
                bytes.hash(&mut self.hasher);
            }
            Effect::Store { op, call } => {
                ("store", op).hash(&mut self.hasher);
                self.add_store_call(call);
            }
            Effect::Cloud { op, call } => {
                ("cloud", op).hash(&mut self.hasher);
                match call {
                    CloudCall::Catalog => "catalog".hash(&mut self.hasher),
                    CloudCall::Launch(request) => self.add_json(request),
                    CloudCall::Release(machines) => machines.hash(&mut self.hasher),
                    CloudCall::List { after } => after.hash(&mut self.hasher),
                }
            }
            Effect::Commands { machine, addr, batch, commands } => {
                ("orders", machine, addr, batch).hash(&mut self.hasher);
                self.add_json(commands);
            }
            Effect::Log { level, .. } => ("log", *level as u8).hash(&mut self.hasher),
        }
    }

    fn add_store_call(&mut self, call: &StoreCall) {
        match call {
            StoreCall::NewLease { ttl_ms } => ("new lease", ttl_ms).hash(&mut self.hasher),
            StoreCall::RenewLease { lease } => ("touch", lease).hash(&mut self.hasher),
            StoreCall::EndLease { lease } => ("end lease", lease).hash(&mut self.hasher),
            StoreCall::Transaction(txn) => self.add_json(txn),
            StoreCall::Get { key } => ("get", key).hash(&mut self.hasher),
            StoreCall::List { prefix, after } => ("list", prefix, after).hash(&mut self.hasher),
            StoreCall::Watch { prefix, after, wait_ms } => {
                ("watch", prefix, after, wait_ms).hash(&mut self.hasher);
            }
        }
    }

    fn add_json<T: Serialize>(&mut self, value: &T) {
        let text = serde_json::to_vec(value).expect("a message can be written as JSON");
        text.hash(&mut self.hasher);
    }

    /// Returns the fingerprint so far: the number of outputs, and their hash.
    pub fn text(&self) -> String {
        format!("{} {:016x}", self.outputs, self.hasher.finish())
    }

    /// Appends the fingerprint of a run with this seed to the file that `LEADDEAL_FINGERPRINTS` names.
    pub(crate) fn append_to_file(&self, seed: u64) {
        let Some(path) = std::env::var_os(FINGERPRINT_FILE_VARIABLE) else { return };
        let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
        let line = format!("seed {seed}: {}\n", self.text());
        if let Err(e) = file.and_then(|mut f| f.write_all(line.as_bytes())) {
            eprintln!("fingerprint of seed {seed} not written: {e}");
        }
    }
}
