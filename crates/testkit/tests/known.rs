//! Every accepted job stays known, whatever the store holds or refuses: the rule of 75 s without an answer
//! is looked at once all troubles are over.
use leaddeal_testkit::script::Fault;
use leaddeal_testkit::sim::{Plan, Sim};

fn known(seed: u64, garbled: bool, script: Vec<(u64, Fault)>) -> (Sim, usize) {
    let plan = Plan {
        fault_free_seconds: 100,
        random_faults: false,
        corrupt_records: garbled,
        script,
        seconds: 120,
        ..Plan::new(seed)
    };
    let mut sim = Sim::new(plan);
    sim.run().unwrap_or_else(|e| panic!("{e}"));
    let told = sim.rules.acknowledged.len();
    (sim, told)
}

/// Records that do not decode, of each kind and in each shard, silence only themselves: as many jobs are
/// done as without them, also after a takeover.
#[test]
fn records_that_do_not_decode_silence_only_themselves() {
    let crash = (60_000, Fault::Crash { nodes: vec![0], back_ms: 9000 });
    // One seed says little: with the same records it may be a fifth more or less.
    let over = |garbled| -> usize {
        (1..=8).map(|seed| known(seed, garbled, vec![crash.clone()]).1).sum()
    };
    let (without, with) = (over(false), over(true));
    assert!(with * 10 > without * 8, "{with} jobs over instead of {without}");
}

/// A store that refuses most calls, while shards are loaded: what is asked for again comes in the end.
#[test]
fn pages_that_are_refused_time_and_again_come_in_the_end() {
    for percent in [50, 85] {
        let script = vec![
            (30_000, Fault::FlakyStore { percent, ms: 60_000 }),
            (31_000, Fault::Crash { nodes: vec![0, 1], back_ms: 1000 }),
            (50_000, Fault::Crash { nodes: vec![2], back_ms: 200 }),
        ];
        for seed in 1..=3 {
            let (sim, told) = known(seed, false, script.clone());
            assert!(told > 30, "seed {seed}: {told} jobs are over, {} starts", sim.rules.starts);
        }
    }
}
