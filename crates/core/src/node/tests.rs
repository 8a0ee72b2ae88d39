//! Tests of a single node whose inputs are made by hand.
use super::*;
use crate::ids::JobId;
use crate::io::{CloudCall, CloudResult, Effect, Input, StoreResult};
use leaddeal_wire::cloud::{Catalog, MachineType};
use leaddeal_wire::mesh::NodeMessage;
use leaddeal_wire::state::{Change, Item, Page};

fn settings() -> Settings {
    let v = serde_json::json!({
        "node_name": "n-0", "zone": "a",
        "serve_on": "10.0.0.1:80", "mesh_addr": "10.0.0.1:81", "siblings": [],
        "external": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"},
        "cluster": {
            "count": 1, "zones": ["a"], "teams": [{"name": "free"}],
            "workers": {"report_s": 1.5, "lease_s": 8.0, "gang_wait_s": 40.0,
                        "gang_peer_s": 8.0, "cancel_s": 30.0},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 5.0, "list_lag_s": 3.0},
            "resources": {}
        }
    });
    Settings::parse(&v.to_string()).expect("settings")
}

/// A cluster of one node with one shard.
struct World {
    node: Node,
    now: Timestamp,
    /// Calls to the store that are not answered yet.
    pending_calls: Vec<(u64, crate::io::StoreCall)>,
    /// Users' requests that were answered.
    answered: Vec<RequestId>,
}

impl World {
    fn step(&mut self, input: Input) {
        for effect in self.node.step(self.now, self.now, input) {
            match effect {
                Effect::Store { op, call } => self.pending_calls.push((op, call)),
                Effect::User { req, .. } => self.answered.push(req),
                Effect::Cloud { op, call: CloudCall::Catalog } => {
                    let small = MachineType {
                        name: "small".into(),
                        zones: vec!["a".into()],
                        cpus: 4.0,
                        gpus: 0.0,
                        memory_gb: 16.0,
                        cache_gb: 50.0,
                        fetch_gb_per_s: 1.0,
                        price: 1.0,
                        spot_price: 1.0,
                        boot_s: 1.0,
                    };
                    let result = CloudResult::Catalog(Catalog { types: vec![small] });
                    self.step(Input::Cloud { op, result });
                }
                _ => {}
            }
        }
    }

    /// Advances the time in steps, and answers the calls for which `f` returns a result.
    fn run(&mut self, f: impl Fn(&crate::io::StoreCall) -> Option<StoreResult>) {
        for _ in 0..40 {
            self.now += 100;
            self.step(Input::Tick);
            for (op, call) in std::mem::take(&mut self.pending_calls) {
                match f(&call) {
                    Some(result) => self.step(Input::Store { op, result }),
                    None => self.pending_calls.push((op, call)),
                }
            }
        }
    }
}

/// Returns the version that an acquisition requires the shard's key to have; `None` if the call is no
/// acquisition.
fn acquisition_version(call: &crate::io::StoreCall) -> Option<u64> {
    let crate::io::StoreCall::Transaction(t) = call else { return None };
    let puts = t.changes.iter().any(|c| matches!(c, Change::Put { key, .. } if key == "seat/0"));
    puts.then(|| t.conditions.iter().find(|c| c.key == "seat/0").map_or(0, |c| c.version))
}

/// Answers for a store that lists the shard as owned by this process under epoch 7 and holds no other
/// records. Transactions, reads and watches are not answered.
fn store_result(call: &crate::io::StoreCall) -> Option<StoreResult> {
    use crate::io::StoreCall;
    let listed = |prefix: &str| {
        let value = serde_json::json!({"node": "n-0", "boot": 77});
        let key = "seat/0".to_string();
        let items = match prefix {
            "seat/" => vec![Item { key, value, version: 7, lease: Some(1) }],
            _ => Vec::new(),
        };
        StoreResult::Page(Page { items, more: false, revision: 9 })
    };
    match call {
        StoreCall::NewLease { .. } => Some(StoreResult::Lease(1)),
        StoreCall::RenewLease { .. } => Some(StoreResult::LeaseRenewed),
        StoreCall::List { prefix, .. } => Some(listed(prefix)),
        _ => None,
    }
}

/// Rounds and attempts are numbered within an epoch, and the transaction that releases a shard may be
/// executed late. The node owned the shard again under the same epoch when the store still listed the
/// node as the owner.
#[test]
fn never_reuses_relinquished_epoch() {
    let node = Node::new(&settings(), 77, 1000);
    let mut world = World { node, now: 1000, pending_calls: Vec::new(), answered: Vec::new() };
    world.run(store_result);
    assert_eq!(world.node.owned_shards(), [(Shard(0), Epoch(7))], "listed as the owner");
    let mut effects = Effects::new(world.now);
    world.node.drop_shard(&mut effects, Shard(0));
    world.node.shard_list.is_known = false;
    world.pending_calls.clear();
    world.run(store_result);
    assert!(world.node.owned_shards().is_empty(), "listed again after it was relinquished");
    let versions: Vec<u64> =
        world.pending_calls.iter().filter_map(|(_, call)| acquisition_version(call)).collect();
    assert_eq!(versions.first(), Some(&7), "it is acquired again, under a new epoch");
}

fn job(id: u64) -> leaddeal_wire::user::Job {
    let job = serde_json::json!({
        "id": leaddeal_wire::user::job_id(id), "cargo": "x", "crew": "free", "rig": "sweep",
        "precedence": "normal", "hauls": 3, "cores": 1.0, "gpus": 0.0, "memoryGb": 1.0,
        "manifest": "i", "imageGb": 1.0, "together": false, "scatter": false, "charter": true,
        "passageS": 5.0, "fixS": 0.0, "stowS": 0.0
    });
    leaddeal_wire::user::Job::parse(job.to_string().as_bytes()).expect("a job")
}

/// A job was submitted here and cancelled at another node, which owned its shard. Then this node acquired
/// the shard, and the answer to the submission came last. The list of jobs that was loaded is newer than
/// the job's creation and lacks the job.
#[test]
fn late_submission_result_revives_no_job() {
    let node = Node::new(&settings(), 77, 1000);
    let mut world = World { node, now: 1000, pending_calls: Vec::new(), answered: Vec::new() };
    world.step(Input::Tick);
    let submit = |req, id| Input::Submit { req, id: Some(JobId(id)), job: Ok(Box::new(job(id))) };
    world.step(submit(1, 5));
    world.step(submit(2, 6));
    let transactions = world
        .pending_calls
        .iter()
        .filter(|(_, call)| matches!(call, crate::io::StoreCall::Transaction(_)));
    let ops: Vec<u64> = transactions.map(|(op, _)| *op).collect();
    assert_eq!(ops.len(), 2, "{ops:?}");
    world.run(store_result);
    assert_eq!(world.node.owned_shards(), [(Shard(0), Epoch(7))]);
    // The loaded list has revision 9.
    for (op, revision) in ops.into_iter().zip([8, 10]) {
        world.step(Input::Store { op, result: StoreResult::Committed(revision) });
    }
    world.step(Input::Get { req: 3, id: JobId(5) });
    world.step(Input::Get { req: 4, id: JobId(6) });
    assert!(world.answered.contains(&4), "created after the list: {:?}", world.answered);
    assert!(!world.answered.contains(&3), "created before the list: the store is read");
}

/// While the shard is being loaded, the completed tasks of a job are not known yet. A cancellation at that
/// time, whether from a user or through a sibling, would leave their records behind.
#[test]
fn cancels_nothing_before_shard_is_loaded() {
    use crate::io::StoreCall;
    use crate::keys;
    let node = Node::new(&settings(), 77, 1000);
    let mut world = World { node, now: 1000, pending_calls: Vec::new(), answered: Vec::new() };
    let (shard, id) = (Shard(0), JobId(5));
    let jobs = |call: &StoreCall| match call {
        StoreCall::List { prefix, .. } if *prefix == keys::job_prefix(shard) => {
            let value = serde_json::json!({"job": job(id.0), "at": 1000});
            let item = Item { key: keys::job_key(shard, id), value, version: 8, lease: None };
            Some(StoreResult::Page(Page { items: vec![item], more: false, revision: 9 }))
        }
        StoreCall::List { prefix, .. } if *prefix == keys::completion_prefix(shard) => None,
        call => store_result(call),
    };
    world.run(jobs);
    world.step(Input::Cancel { req: 1, id });
    let ask = NodeMessage::QueryJob { call: 2, job: id.0, cancel: true };
    world.step(Input::Mesh { from: "n-0".into(), msg: Box::new(ask) });
    world.run(jobs);
    let lists_completions = |call: &StoreCall| matches!(call, StoreCall::List { prefix, .. } if *prefix == keys::completion_prefix(shard));
    assert!(
        world.pending_calls.iter().any(|(_, call)| lists_completions(call)),
        "the shard is being loaded: {:?}",
        world.pending_calls
    );
    let written =
        world.pending_calls.iter().any(|(_, call)| matches!(call, StoreCall::Transaction(_)));
    assert!(!written, "{:?}", world.pending_calls);
}

#[cfg(feature = "guards")]
#[test]
fn tests_fail_without_their_guards() {
    use crate::guards::{assert_fails_without, Guard};
    assert_fails_without(Guard::RelinquishedEpochRejected, never_reuses_relinquished_epoch);
    assert_fails_without(
        Guard::LateSubmissionResponseIgnored,
        late_submission_result_revives_no_job,
    );
}
