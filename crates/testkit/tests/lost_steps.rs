//! Steps that are taken once, on an event, and are lost or come at a bad moment: acquisitions of shards, and each
//! kind of message between controllers. Once all faults are over, every shard must be served again: a controller
//! acts for it, its machines are offered, and users are told its jobs' states.
use common::{crash, run_short_and_long};
use leaddeal_testkit::script::{Fault, Written};
use leaddeal_testkit::sim::Sim;

mod common;

/// Guards against a shard that is held and served by nobody: a controller's acquisition of a sibling's shard is
/// committed just before an outage, and the controller learns of it only after the outage, while its own lease is
/// still uncertain.
#[test]
fn acquisition_is_learned_of_while_lease_is_uncertain() {
    for (seed, slow_ms, after_ms, ms) in
        [(1, 300, 100, 6000), (2, 300, 100, 4500), (3, 600, 0, 9000), (4, 200, 20, 25_000)]
    {
        let outage = |at| {
            (at, Fault::OutageAfterWrite { what: Written::Acquisition, slow_ms, after_ms, ms })
        };
        let script =
            [outage(40_000), (40_100, crash(1, 4200)), outage(90_000), (90_100, crash(2, 4200))];
        let runs = run_short_and_long("acquired before an outage", seed, &script);
        let outages = |sim: &Sim| sim.observations.outages_after_write.len();
        assert!(runs.iter().all(|sim| outages(sim) == 2), "no outage after an acquisition");
        assert!(
            runs.iter().all(|sim| sim.observations.answers_lost_in_outages > 0),
            "no answer was lost"
        );
    }
}
