//! Seeded random runs that check the rules after each step.
use leaddeal_testkit::sim::{Plan, Sabotage, Sim};

fn plan(seed: u64) -> Plan {
    Plan::new(seed)
}

#[test]
fn quiet_days_keep_the_rules_and_finish_the_work() {
    for seed in 1..=4 {
        let mut sim = Sim::new(Plan { faults: false, ..plan(seed) });
        sim.run().unwrap_or_else(|e| panic!("{e}"));
        let told = sim.rules.told.len();
        let accepted = sim.rules.accepted.len();
        assert!(sim.rules.starts > 100, "seed {seed}: only {} starts", sim.rules.starts);
        assert!(told * 10 > accepted * 6, "seed {seed}: {told} of {accepted} jobs are over");
    }
}

#[test]
fn rules_hold_whatever_fails() {
    let seeds = std::env::var("LEADDEAL_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(24);
    let mut starts = 0;
    for seed in 100..100 + seeds {
        let mut sim = Sim::new(plan(seed));
        sim.run().unwrap_or_else(|e| panic!("{e}"));
        starts += sim.rules.starts;
    }
    assert!(starts as u64 > seeds * 40, "too little ran to say anything: {starts}");
}

/// The checker is checked: a broken variant must be caught.
fn caught(sabotage: Sabotage, rule: &str) {
    let found = (0..40).any(|seed| {
        Sim::new(Plan { sabotage, ..plan(seed) }).run().is_err_and(|e| e.contains(rule))
    });
    assert!(found, "{sabotage:?} went unnoticed");
}

#[test]
fn a_misjudged_lease_is_caught() {
    caught(Sabotage::ShortLease, "ran_twice");
}

#[test]
fn missing_fences_are_caught() {
    // Which rule breaks first depends on the seed: what counts is that one does.
    caught(Sabotage::NoFence, ":");
}
