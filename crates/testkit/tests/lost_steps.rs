//! Steps that are taken once, on an event, and are lost or come at a bad moment: acquisitions of shards, and each
//! kind of message between controllers. Once all faults are over, every shard must be served again: a controller
//! acts for it, its machines are offered, and users are told its jobs' states.
use common::{crash, run_short_and_long, CANCEL_MS};
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

/// Guards against machines that are offered to nobody: a controller restarts while the controllers do not reach each
/// other, so that it is not told what the running tasks on its machines take.
#[test]
fn owner_restarts_while_controllers_are_partitioned() {
    // Late in the run, so that services which are on the machines then still run when the check is made.
    for (seed, node, ms, back_ms) in
        [(1, 2, 8000, 3000), (2, 0, 8000, 3000), (3, 1, 5000, 200), (4, 2, CANCEL_MS, 6000)]
    {
        let script = [(125_000, Fault::PeerPartition { ms }), (125_500, crash(node, back_ms))];
        run_short_and_long("an owner restarts during a partition", seed, &script);
    }
}
