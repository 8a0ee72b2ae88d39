//! Fingerprints of runs: equal when a run is repeated, different for different seeds.
use leaddeal_testkit::sim::{Plan, Sim};

fn fingerprint(seed: u64) -> String {
    let mut sim = Sim::new(Plan { seconds: 40, ..Plan::new(seed) });
    sim.run().expect("no rule is violated");
    sim.fingerprint.text()
}

#[test]
fn repeated_run_has_same_fingerprint() {
    assert_eq!(fingerprint(3), fingerprint(3));
}

#[test]
fn different_seeds_have_different_fingerprints() {
    assert_ne!(fingerprint(3), fingerprint(4));
}

/// Guards against a trace that shows another run than the one to be traced.
#[test]
fn traced_run_has_same_fingerprint() {
    let mut sim = Sim::new(Plan { seconds: 40, ..Plan::new(3) });
    sim.trace_events();
    sim.run().expect("no rule is violated");
    assert_eq!(sim.fingerprint.text(), fingerprint(3));
}
