//! Two faults at once: scripts for each pair of faults on the operators' page, with three controllers. The
//! simulator checks the rules after each step; `docs/meetings.md` names the mechanisms that keep them.
use common::{cancel, crash, plan, run_short_and_long, CANCEL_MS};
use leaddeal_testkit::script::Fault;
use leaddeal_testkit::sim::{InjectedDefect, Plan, Sim, START_MS};
use leaddeal_wire::user::JobStatus;

mod common;

/// Script in which the store refuses one controller, users cancel through the others, and the store is then
/// down for all controllers for longer than a cancellation may take, while workers still send heartbeats.
fn cancellations_before_outage(refused: usize, more: Vec<(u64, Fault)>) -> Vec<(u64, Fault)> {
    let refuse = Fault::StoreRefusesNode { node: refused, ms: 14_000 };
    let outage = Fault::StoreOutage { ms: CANCEL_MS + 15_000 };
    let script = [(60_000, refuse), (60_300, Fault::CancelJobs { percent: 60 }), (62_500, outage)];
    script.into_iter().chain(more).collect()
}

/// Runs the script with several seeds and returns how many cancellations were acknowledged to users between
/// the refusal and shortly after the start of the outage.
fn run_outage(what: &str, script: &[(u64, Fault)]) -> usize {
    let mut acknowledged_count = 0;
    for seed in 1..=6 {
        let mut sim = Sim::new(plan(seed, 140, script.to_vec()));
        sim.run().unwrap_or_else(|e| panic!("{what}: {e}"));
        let window = START_MS + 60_000..START_MS + 64_000;
        let cancelled =
            |t: &&(JobStatus, u64)| t.0 == JobStatus::Cancelled && window.contains(&t.1);
        acknowledged_count += sim.rules.acknowledged.values().filter(cancelled).count();
    }
    assert!(
        acknowledged_count > 20,
        "{what}: only {acknowledged_count} cancellations were acknowledged"
    );
    acknowledged_count
}

/// Guards against tasks that outlive their cancellation: one controller is cut off from the store, another
/// acknowledges the cancellation, and the store fails before the first one learns of it. The operators saw
/// this case.
#[test]
fn cancelled_tasks_stop_despite_outage() {
    for node in 0..3 {
        run_outage(
            "store refuses one controller, then all",
            &cancellations_before_outage(node, Vec::new()),
        );
    }
}

/// Guards against tasks that outlive their cancellation when the controller that acknowledged it crashes
/// just before the outage.
#[test]
fn cancelled_tasks_stop_when_acknowledger_crashes() {
    for back_ms in [200, 200_000] {
        for at in [60_600, 61_200, 62_400] {
            let crash = Fault::Crash { nodes: vec![1], back_ms };
            run_outage(
                "acknowledging controller crashes",
                &cancellations_before_outage(0, vec![(at, crash)]),
            );
        }
    }
}

/// Guards against tasks that outlive their cancellation: a partition drops the message of the acknowledging
/// controller to the old owner, and the controller restarts without its memory. That the old owner hears
/// from it again does not prove that there was no cancellation.
#[test]
fn cancelled_tasks_stop_when_acknowledger_loses_state() {
    for node in [1, 2] {
        let cut = Fault::PairPartition { nodes: (0, node), ms: 4000 };
        let crash = Fault::Crash { nodes: vec![node], back_ms: 200 };
        run_outage(
            "acknowledging controller lost its state",
            &cancellations_before_outage(0, vec![(60_200, cut), (62_450, crash)]),
        );
    }
}

/// Guards against tasks that outlive their cancellation when the store refuses two controllers in turn, or
/// is back for only one second between two outages.
#[test]
fn cancelled_tasks_stop_after_repeated_refusals() {
    let second = Fault::StoreRefusesNode { node: 1, ms: 14_000 };
    run_outage(
        "store refuses two controllers in turn",
        &cancellations_before_outage(0, vec![(61_000, second.clone())]),
    );
    // The store is up for one second, from 107.5 s on.
    let again = Fault::StoreOutage { ms: 45_000 };
    let cancel = (107_600, Fault::CancelJobs { percent: 60 });
    run_outage(
        "store back for one second",
        &cancellations_before_outage(0, vec![cancel, (108_500, again), (107_400, second)]),
    );
}

/// Guards against tasks that outlive their cancellation when the old owner is partitioned from one sibling
/// or both, or all controllers from each other.
#[test]
fn cancelled_tasks_stop_when_old_owner_is_partitioned() {
    for at in [59_000, 60_800, 62_000] {
        for other in [1, 2] {
            let cut = Fault::PairPartition { nodes: (0, other), ms: 60_000 };
            run_outage(
                "old owner partitioned from one sibling",
                &cancellations_before_outage(0, vec![(at, cut)]),
            );
        }
    }
    let alone = Fault::StoreAndPeerPartition { node: 0, ms: 60_000 };
    run_outage(
        "old owner partitioned from both siblings",
        &cancellations_before_outage(0, vec![(60_000, alone)]),
    );
    run_outage(
        "all controllers partitioned",
        &cancellations_before_outage(0, vec![(61_500, Fault::PeerPartition { ms: 50_000 })]),
    );
}

/// Guards against tasks that outlive their cancellation when workers restart during the outage, or the old
/// owner freezes and resumes with what it knew before.
#[test]
fn cancelled_tasks_stop_when_old_owner_freezes() {
    let restart_workers = |at| (at, Fault::RestartWorkers { machines: 5 });
    run_outage(
        "workers restart",
        &cancellations_before_outage(
            0,
            vec![restart_workers(61_500), restart_workers(70_000), restart_workers(85_000)],
        ),
    );
    for (at, ms) in [(60_500, 20_000), (61_000, 35_000), (70_000, 30_000)] {
        let freeze = Fault::FreezeNode { node: 0, ms };
        run_outage("old owner freezes", &cancellations_before_outage(0, vec![(at, freeze)]));
    }
}

/// An isolated owner that answers heartbeats without a time limit keeps cancelled tasks running: the rule
/// `ran_cancelled` detects this injected defect.
#[test]
fn detects_owner_that_answers_too_long() {
    let alone = Fault::StoreAndPeerPartition { node: 0, ms: 60_000 };
    let script = cancellations_before_outage(0, vec![(60_000, alone)]);
    let found = (1..=6).any(|seed| {
        let plan = plan(seed, 140, script.clone());
        let mut sim = Sim::new(Plan { defect: InjectedDefect::LongCancel, ..plan });
        sim.run().is_err_and(|e| e.contains("ran_cancelled"))
    });
    assert!(found, "no seed detected the defect");
}

/// Guards against worker leases that expire in a store outage although all controllers hear each other:
/// then no controller can have acknowledged what the others don't know, so the owner can go on answering
/// for an outage of any length.
#[test]
fn store_outage_expires_no_worker_lease() {
    let mut replicas = 0;
    for seed in 1..=12 {
        let outage = (60_000, Fault::StoreOutage { ms: 120_000 });
        let mut sim = Sim::new(plan(seed, 220, vec![outage]));
        sim.run_to(60_000).unwrap_or_else(|e| panic!("{e}"));
        let (before, up) = (sim.leases_ended(), sim.running_service_tasks());
        sim.run().unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(sim.leases_ended(), before, "seed {seed}: worker leases expired");
        replicas += up.len();
    }
    assert!(replicas > 10, "only {replicas} replicas ran");
}

fn run_two_seeds(what: &str, script: &[(u64, Fault)]) {
    for seed in 1..=2 {
        run_short_and_long(what, seed, script);
    }
}

/// Guards against acting on outdated heartbeats: copies arrive late, from incarnations and attempts that
/// are over by then, and may be the first that a new owner receives.
#[test]
fn tolerates_late_heartbeat_copies() {
    let late = (20_000, Fault::LateHeartbeatCopies { percent: 90, ms: 100_000 });
    let restart_workers = |at| (at, Fault::RestartWorkers { machines: 4 });
    let script = vec![
        late,
        restart_workers(40_000),
        restart_workers(44_500),
        (45_000, crash(0, 3000)),
        (52_000, crash(1, 200)),
        restart_workers(79_000),
        (80_000, crash(2, 9000)),
    ];
    run_two_seeds("late heartbeat copies", &script);
}

/// Guards against tasks taken for lost too early: an owner crashes while machines with long tasks are
/// unreachable or don't receive the answers of the new owner.
#[test]
fn owner_crashes_while_machines_are_unreachable() {
    for ms in [10_000, 16_500, 40_000] {
        let cut = Fault::ZonePartition { zone: "a", ms };
        let hang = Fault::HangMachines { machines: 4, ms };
        let deaf = Fault::InboundPartition { machines: 4, ms };
        for out in [cut, hang, deaf] {
            let again = (43_000 + ms, crash(1, 200));
            run_two_seeds(
                "machines unreachable",
                &[(41_000, out), (42_000, crash(0, 60_000)), again],
            );
        }
    }
}

/// Guards against tasks that outlive their cancellation and outdated answers: the store is slow, refuses
/// the owner alone and then all controllers for longer than a cancellation may take, while users cancel and
/// query throughout.
#[test]
fn slow_store_refuses_one_controller_then_all() {
    let cancels = [60_500, 61_500, 64_000, 80_000, 100_000, 109_000].map(cancel);
    for by_ms in [300, 1500] {
        let slow = (50_000, Fault::SlowStore { ms: 80_000, by_ms });
        let polls = (50_000, Fault::FrequentPolls { ms: 70_000 });
        let more = cancels.iter().cloned().chain([slow, polls]).collect();
        run_two_seeds("store slow, refusing, down", &cancellations_before_outage(2, more));
    }
}

/// Guards against stale answers: an owner is reached by workers and users alone while its successor
/// acknowledges cancellations. Users who query the old owner must not be told an older state than they were
/// told before.
#[test]
fn isolated_owner_reports_no_stale_state() {
    for ms in [8000, 30_000, 70_000] {
        let alone = (40_000, Fault::StoreAndPeerPartition { node: 0, ms });
        let polls = (40_000, Fault::FrequentPolls { ms: 90_000 });
        let back = (41_000 + ms, crash(0, 100));
        run_two_seeds(
            "isolated owner",
            &[alone, polls, cancel(46_000), cancel(50_000), cancel(60_000), back],
        );
    }
}

/// Guards against errors in consecutive takeovers: shards fail over and return to their home controller,
/// all controllers crash, and one is back within a second, several times.
#[test]
fn survives_repeated_failover_and_full_restarts() {
    let mut script = Vec::new();
    for at in (30_000..110_000).step_by(16_000) {
        script.push((at, crash(0, 300)));
        // The shard returns to its home controller while another controller crashes.
        script.push((at + 5200, crash(1, 6000)));
        script.push((at + 9000, Fault::Crash { nodes: vec![0, 1, 2], back_ms: 4000 }));
        script.push((at + 9300, crash(2, 100)));
    }
    run_two_seeds("repeated failover", &script);
}

/// Guards against late transactions: the store does not answer, and applies the transaction after newer
/// ones of the same controller.
#[test]
fn tolerates_late_writes() {
    for percent in [10, 50] {
        let script = vec![
            (20_000, Fault::LateWrites { percent, ms: 100_000 }),
            cancel(40_000),
            (50_000, crash(0, 300)),
            cancel(69_900),
            (70_000, crash(1, 9000)),
            (72_000, crash(2, 200)),
            cancel(90_000),
        ];
        run_two_seeds("late writes", &script);
    }
}

/// Guards against late commands: they are delayed by seconds or by more than a lease, and the hung machine
/// then resumes.
#[test]
fn tolerates_delayed_commands() {
    for by_ms in [3000, 9000, 25_000] {
        let hang = |at| (at, Fault::HangMachines { machines: 5, ms: 12_000 });
        let script = vec![
            (20_000, Fault::DelayCommands { by_ms, ms: 100_000 }),
            hang(40_000),
            cancel(45_000),
            (48_000, crash(0, 300)),
            hang(70_000),
            cancel(71_000),
            (73_000, crash(1, 9000)),
        ];
        run_two_seeds("delayed commands", &script);
    }
}
