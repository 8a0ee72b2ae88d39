//! Steps that are taken once, on an event, and are lost or come at a bad moment: acquisitions of shards, and each
//! kind of message between controllers. Once all faults are over, every shard must be served again: a controller
//! acts for it, its machines are offered, and users are told its jobs' states.
use common::{cancel, crash, run_short_and_long, CANCEL_MS};
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

/// Guards against a running task that users are told is queued: it begins to run during a partition, so that the
/// message that says so is lost.
#[test]
fn phases_reported_during_partition_are_learned_later() {
    for seed in 1..=4 {
        let partition = |at| (at, Fault::PeerPartition { ms: 1000 });
        let script: Vec<_> = (30_000..145_000).step_by(2100).map(partition).collect();
        run_short_and_long("tasks begin to run during partitions", seed, &script);
    }
}

/// The kinds of messages between controllers, by the names of the traffic tally.
const MESSAGE_KINDS: [&str; 24] = [
    "mesh Beat",
    "mesh Ask",
    "mesh Told",
    "mesh WantShard",
    "mesh Report",
    "mesh Answered",
    "mesh Request",
    "mesh Close",
    "mesh Place",
    "mesh Stop",
    "mesh Forget",
    "mesh Offers",
    "mesh AskDecision",
    "mesh Room",
    "mesh Events",
    "mesh TeamUsage",
    "mesh TeamGrant",
    "mesh Lacks",
    "mesh Machines",
    "mesh MachinesAgain",
    "mesh Base",
    "mesh Drain",
    "mesh Drained",
    "mesh Released",
];

/// Returns a script in which messages of this kind are lost once at each of several moments: while nothing happens,
/// and while owners of shards change, machines are lost, users cancel and workers reach their owner only through a
/// sibling. Two kinds occur only after a loss of others, which the script adds.
fn lose_kind(kind: &'static str) -> Vec<(u64, Fault)> {
    let mut script = vec![
        (40_000, crash(0, 300)),
        cancel(47_000),
        (60_000, crash(1, 6000)),
        (75_000, Fault::LoseMachines { machines: 1 }),
        (85_000, Fault::WorkerPartition { node: 2, ms: 20_000 }),
        cancel(90_000),
        (120_000, crash(2, 300)),
        (125_000, Fault::RestartWorkers { machines: 3 }),
    ];
    for at in (20_000..140_000).step_by(1500) {
        script.push((at, Fault::LoseMessagesOfKind { kind, times: 1 }));
    }
    if kind == "mesh MachinesAgain" {
        script.push((30_000, Fault::LoseMessagesOfKind { kind: "mesh Machines", times: 3 }));
    }
    if kind == "mesh AskDecision" {
        script.push((30_000, Fault::LosePeerMessages { percent: 20, ms: 60_000 }));
    }
    script
}

/// Guards against a step that hangs on one message: whichever kind of message is lost now and then, its sender or its
/// receiver notices and makes up for it.
#[test]
fn each_kind_of_message_may_be_lost() {
    let next = std::sync::atomic::AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while let Some(kind) =
                    MESSAGE_KINDS.get(next.fetch_add(1, std::sync::atomic::Ordering::Relaxed))
                {
                    let runs = run_short_and_long(kind, 1, &lose_kind(kind));
                    let lost = |sim: &Sim| sim.observations.lost_messages.get(kind).copied();
                    let lost: u64 = runs.iter().filter_map(lost).sum();
                    assert!(lost > 0, "{kind}: no such message was lost");
                }
            });
        }
    });
}
