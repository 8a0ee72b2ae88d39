//! A node by itself, fed by hand.
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

/// One shard, alone; what it asked of the store last.
struct World {
    node: Node,
    now: Timestamp,
    asked: Vec<(u64, crate::io::StoreCall)>,
    /// Requests that users were answered.
    answered: Vec<RequestId>,
}

impl World {
    fn step(&mut self, input: Input) {
        for o in self.node.step(self.now, self.now, input) {
            match o {
                Effect::Store { op, call } => self.asked.push((op, call)),
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

    /// Answers all calls that `f` has an answer for, until there are no more; time passes.
    fn answer(&mut self, f: impl Fn(&crate::io::StoreCall) -> Option<StoreResult>) {
        for _ in 0..40 {
            self.now += 100;
            self.step(Input::Tick);
            for (op, call) in std::mem::take(&mut self.asked) {
                match f(&call) {
                    Some(result) => self.step(Input::Store { op, result }),
                    None => self.asked.push((op, call)),
                }
            }
        }
    }
}

/// The acquisitions of the shard that were asked for: the version that its key should have.
fn acquires(call: &crate::io::StoreCall) -> Option<u64> {
    let crate::io::StoreCall::Transaction(t) = call else { return None };
    let puts = t.changes.iter().any(|c| matches!(c, Change::Put { key, .. } if key == "seat/0"));
    puts.then(|| t.conditions.iter().find(|c| c.key == "seat/0").map_or(0, |c| c.version))
}

/// The shard is listed as the node's own, and holds nothing; transactions are not answered.
fn store(call: &crate::io::StoreCall) -> Option<StoreResult> {
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

/// Rounds and attempts are numbered within an epoch, and what gave the shard back may be executed late: it
/// was owned again under the same epoch once the store still listed it.
#[test]
fn an_epoch_that_was_given_up_is_never_acted_under_again() {
    let node = Node::new(&settings(), 77, 1000);
    let mut world = World { node, now: 1000, asked: Vec::new(), answered: Vec::new() };
    world.answer(store);
    assert_eq!(world.node.owned_shards(), [(Shard(0), Epoch(7))], "its own, as listed");
    let mut effects = Effects::new(world.now);
    world.node.drop_shard(&mut effects, Shard(0));
    world.node.shard_list.known = false;
    world.asked.clear();
    world.answer(store);
    assert!(world.node.owned_shards().is_empty(), "listed again, it was given up");
    let asked: Vec<u64> = world.asked.iter().filter_map(|(_, c)| acquires(c)).collect();
    assert_eq!(asked.first(), Some(&7), "it is acquired anew, under a new epoch");
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

/// A job is created, seen at another node and called off there; then its shard comes here, and only then
/// the answer to the submission. The list that was loaded is newer, and lacks the job.
#[test]
fn a_submission_answered_after_its_job_was_over_brings_nothing_back() {
    let node = Node::new(&settings(), 77, 1000);
    let mut world = World { node, now: 1000, asked: Vec::new(), answered: Vec::new() };
    world.step(Input::Tick);
    let submit = |req, id| Input::Submit { req, id: Some(JobId(id)), job: Ok(Box::new(job(id))) };
    world.step(submit(1, 5));
    world.step(submit(2, 6));
    let txns =
        world.asked.iter().filter(|(_, c)| matches!(c, crate::io::StoreCall::Transaction(_)));
    let ops: Vec<u64> = txns.map(|(op, _)| *op).collect();
    assert_eq!(ops.len(), 2, "{ops:?}");
    world.answer(store);
    assert_eq!(world.node.owned_shards(), [(Shard(0), Epoch(7))]);
    // The list is of revision 9.
    for (op, revision) in ops.into_iter().zip([8, 10]) {
        world.step(Input::Store { op, result: StoreResult::Committed(revision) });
    }
    world.step(Input::Get { req: 3, id: JobId(5) });
    world.step(Input::Get { req: 4, id: JobId(6) });
    assert!(world.answered.contains(&4), "created after the list: {:?}", world.answered);
    assert!(!world.answered.contains(&3), "of the other one the store is asked");
}

/// While the shard is loaded, what is done of a job is not known: cancelled then, it would leave its records
/// behind, here or for a sibling that asks.
#[test]
fn nothing_is_cancelled_before_all_of_it_is_loaded() {
    use crate::io::StoreCall;
    use crate::keys;
    let node = Node::new(&settings(), 77, 1000);
    let mut world = World { node, now: 1000, asked: Vec::new(), answered: Vec::new() };
    let (shard, id) = (Shard(0), JobId(5));
    let jobs = |call: &StoreCall| match call {
        StoreCall::List { prefix, .. } if *prefix == keys::job_prefix(shard) => {
            let value = serde_json::json!({"job": job(id.0), "at": 1000});
            let item = Item { key: keys::job_key(shard, id), value, version: 8, lease: None };
            Some(StoreResult::Page(Page { items: vec![item], more: false, revision: 9 }))
        }
        StoreCall::List { prefix, .. } if *prefix == keys::completion_prefix(shard) => None,
        call => store(call),
    };
    world.answer(jobs);
    world.step(Input::Cancel { req: 1, id });
    let ask = NodeMessage::QueryJob { call: 2, job: id.0, cancel: true };
    world.step(Input::Mesh { from: "n-0".into(), msg: Box::new(ask) });
    world.answer(jobs);
    let runs = |c: &StoreCall| matches!(c, StoreCall::List { prefix, .. } if *prefix == keys::completion_prefix(shard));
    assert!(world.asked.iter().any(|(_, c)| runs(c)), "it is being loaded: {:?}", world.asked);
    let written = world.asked.iter().any(|(_, c)| matches!(c, StoreCall::Transaction(_)));
    assert!(!written, "{:?}", world.asked);
}

#[cfg(feature = "guards")]
#[test]
fn tests_fail_without_their_guards() {
    use crate::guards::{assert_fails_without, Guard};
    assert_fails_without(
        Guard::RelinquishedEpochRejected,
        an_epoch_that_was_given_up_is_never_acted_under_again,
    );
    assert_fails_without(
        Guard::LateSubmissionResponseIgnored,
        a_submission_answered_after_its_job_was_over_brings_nothing_back,
    );
}
