//! Every accepted job stays known, whatever the store contains or refuses: the rule that no job goes without an
//! answer for 75 s is checked once all faults are over.
use leaddeal_testkit::script::Fault;
use leaddeal_testkit::sim::{Plan, Sim};

/// Runs the script, with undecodable records in the store if `corrupt`, and returns the number of
/// acknowledged ends of jobs.
fn run(seed: u64, corrupt: bool, script: Vec<(u64, Fault)>) -> (Sim, usize) {
    let plan = Plan {
        fault_free_seconds: 100,
        random_faults: false,
        corrupt_records: corrupt,
        script,
        seconds: 120,
        ..Plan::new(seed)
    };
    let mut sim = Sim::new(plan);
    sim.run().unwrap_or_else(|e| panic!("{e}"));
    let acknowledged = sim.rules.acknowledged.len();
    (sim, acknowledged)
}

/// Guards against a record that can't be decoded and blocks others: with such records of each kind in each
/// shard, as many jobs end as without them, also after a takeover.
#[test]
fn undecodable_records_affect_only_their_jobs() {
    let crash = (60_000, Fault::Crash { nodes: vec![0], back_ms: 9000 });
    // One seed proves little: with the same records the result varies by a fifth.
    let ended_jobs =
        |corrupt| -> usize { (1..=8).map(|seed| run(seed, corrupt, vec![crash.clone()]).1).sum() };
    let (without, with) = (ended_jobs(false), ended_jobs(true));
    assert!(with * 10 > without * 8, "{with} jobs ended instead of {without}");
}

/// Guards against shards that never load: the store refuses most calls while they load, so pages must be
/// retried until they arrive.
#[test]
fn loads_shards_from_a_flaky_store() {
    for percent in [50, 85] {
        let script = vec![
            (30_000, Fault::FlakyStore { percent, ms: 60_000 }),
            (31_000, Fault::Crash { nodes: vec![0, 1], back_ms: 1000 }),
            (50_000, Fault::Crash { nodes: vec![2], back_ms: 200 }),
        ];
        for seed in 1..=3 {
            let (sim, acknowledged) = run(seed, false, script.clone());
            assert!(
                acknowledged > 30,
                "seed {seed}: {acknowledged} jobs ended, {} starts",
                sim.rules.starts
            );
        }
    }
}
