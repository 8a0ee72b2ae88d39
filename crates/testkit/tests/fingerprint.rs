//! The fingerprint of a run tells runs apart, and is the same whenever a run is repeated.
use leaddeal_testkit::sim::{Plan, Sim};

fn fingerprint(seed: u64) -> String {
    let mut sim = Sim::new(Plan { seconds: 40, ..Plan::new(seed) });
    sim.run().expect("no rule is broken");
    sim.fingerprint.text()
}

#[test]
fn a_repeated_run_has_the_same_fingerprint() {
    assert_eq!(fingerprint(3), fingerprint(3));
}

#[test]
fn runs_of_other_seeds_have_other_fingerprints() {
    assert_ne!(fingerprint(3), fingerprint(4));
}
