//! Frequent queries of users together with other faults: three controllers, leases of 17 s, `cancel_s` of 30 s.
//! The simulator checks the rules after each step, and each answer against what its user knew before.
use leaddeal_testkit::script::Fault;
use leaddeal_testkit::sim::{Plan, Sim, TeamQuotas};
use leaddeal_wire::user::JobStatus;

const LEASE_MS: u64 = 17_000;
const SECONDS: u64 = 110;
/// Time after the end of a job within which its user knows of it, once all faults are over; users query
/// every 4 s.
const ACKNOWLEDGEMENT_MS: u64 = 15_000;

type Script = Vec<(u64, Fault)>;

/// Sums over the runs of one script.
#[derive(Debug, Default)]
struct Totals {
    done: usize,
    cancelled: usize,
    starts: usize,
    starts_after_cancel: usize,
    latest_start_after_cancel_ms: u64,
    refused: usize,
    ended: usize,
    ended_but_cancelled: usize,
}

/// Runs the script on several seeds, each time followed by a fault-free period: users learn the end of
/// every job that was not cancelled.
fn run_seeds(what: &str, seeds: u64, script: &Script) -> Totals {
    let mut totals = Totals::default();
    for seed in 1..=seeds {
        let simple = Plan { max_gang_tasks: 1, teams: TeamQuotas::OneOfTwo, ..Plan::new(seed) };
        let quiet =
            Plan { random_faults: false, seconds: SECONDS, fault_free_seconds: 90, ..simple };
        let plan =
            Plan { script: script.clone(), team_cpu_quota: 12.0, submission_rate: 3, ..quiet };
        let mut sim = Sim::new(Plan { lease_ms: LEASE_MS, ..plan });
        sim.run().unwrap_or_else(|e| panic!("{what}: {e}"));
        assert_eq!(
            sim.unacknowledged(ACKNOWLEDGEMENT_MS),
            Vec::<String>::new(),
            "{what}, seed {seed}"
        );
        let acknowledged =
            |status| sim.rules.acknowledged.values().filter(|t| t.0 == status).count();
        totals.done += acknowledged(JobStatus::Done);
        totals.cancelled += acknowledged(JobStatus::Cancelled);
        totals.starts += sim.rules.starts;
        totals.starts_after_cancel += sim.rules.starts_after_cancel;
        totals.latest_start_after_cancel_ms =
            totals.latest_start_after_cancel_ms.max(sim.rules.latest_start_after_cancel_ms);
        totals.refused += sim.rules.invalid_refused;
        totals.ended += sim.rules.ended_before_cancel.len();
        totals.ended_but_cancelled += sim.rules.ended_but_cancelled;
    }
    println!("{what}: {totals:?}");
    assert!(totals.done as u64 > 20 * seeds, "{what}: {totals:?}");
    assert!(totals.cancelled as u64 > 10 * seeds, "{what}: {totals:?}");
    totals
}

fn crash(node: usize, back_ms: u64) -> Fault {
    Fault::Crash { nodes: vec![node], back_ms }
}

/// Returns a script in which users query everything closely, from 20 s on.
fn frequent_queries(percent: u32) -> Script {
    vec![
        (20_000, Fault::QueryBursts { percent, ms: 90_000 }),
        (20_000, Fault::QueriesAtCompletion { percent, ms: 90_000 }),
    ]
}

fn with(script: Script, more: impl IntoIterator<Item = (u64, Fault)>) -> Script {
    script.into_iter().chain(more).collect()
}

/// Guards against contradictory answers: users cancel, query or repeat a submission just as the last task
/// ends, and must be told one end. Nothing starts after a cancellation except while its stop command is on
/// its way.
#[test]
fn requests_as_last_task_ends() {
    let quiet = run_seeds("no other fault", 3, &frequent_queries(100));
    assert!(quiet.starts_after_cancel < 4 && quiet.latest_start_after_cancel_ms < 100, "{quiet:?}");
}

/// Guards against two ends of a job: its last task ends while the cancellation is on its way to the store
/// for seconds.
#[test]
fn requests_as_last_task_ends_with_late_writes() {
    for percent in [40, 100] {
        let mut script = frequent_queries(100);
        for at in (30_000..100_000).step_by(10_000) {
            script.push((at, Fault::LateWrites { percent, ms: 6000 }));
            let cancels = (at..at + 6000).step_by(300);
            script.extend(cancels.map(|at| (at, Fault::CancelJobs { percent: 10 })));
        }
        run_seeds("late writes", 2, &script);
    }
}

/// Guards against contradictory answers when the owner changes as the last task of a job ends, also with a
/// slow store.
#[test]
fn requests_as_last_task_ends_during_owner_change() {
    let changes = [
        (40_000, crash(0, 300)),
        (52_000, crash(1, 6000)),
        (66_000, Fault::FreezeNode { node: 2, ms: 9000 }),
        (80_000, crash(0, 200)),
        (81_000, crash(2, 200)),
    ];
    let slow = (30_000, Fault::SlowStore { ms: 70_000, by_ms: 400 });
    run_seeds("changes of owner", 3, &with(frequent_queries(100), changes.clone()));
    run_seeds(
        "changes of owner with a slow store",
        2,
        &with(frequent_queries(100), changes.into_iter().chain([slow])),
    );
}

/// Guards against answers that go back: a terminal state is written but the answer is lost. Two siblings
/// read it and report it; the owner is queried and crashes, and its successor is queried while it loads,
/// which takes seconds.
#[test]
fn siblings_report_terminal_state_before_owner() {
    for (lost, back_ms) in [(100, 200), (100, 20_000), (50, 4000)] {
        let mut script =
            with(frequent_queries(100), [(20_000, Fault::FrequentPolls { ms: 90_000 })]);
        for (node, at) in [(0, 35_000), (1, 60_000), (2, 85_000)] {
            script.push((at - 3000, Fault::LostStoreAnswers { percent: lost, ms: 4500 }));
            script.push((at, crash(node, back_ms)));
            script.push((at, Fault::SlowStore { ms: 8000, by_ms: 250 }));
        }
        run_seeds("lost answer to a terminal state", 2, &script);
    }
}

/// Guards against doubled or lost jobs: submissions whose answers were lost are repeated at all controllers
/// at once, cancelled with the next request, and repeated after the terminal state.
#[test]
fn submission_without_answer_is_repeated() {
    for percent in [30, 100] {
        let spell = |at| (at, Fault::LostStoreAnswers { percent, ms: 6000 });
        let cancel = |at| (at, Fault::CancelJobs { percent: 40 });
        let script = with(
            frequent_queries(100),
            [
                (20_000, Fault::InvalidRequests { ms: 80_000 }),
                spell(30_000),
                cancel(32_500),
                cancel(36_100),
                spell(60_000),
                cancel(62_500),
                (63_000, crash(1, 300)),
                cancel(66_100),
            ],
        );
        let totals = run_seeds("lost answer to a submission", 2, &script);
        assert!(totals.refused > 50, "{totals:?}");
    }
}

/// Guards against answers that go back: a shard changes owner in each possible way, and in those seconds
/// users query closely, cancel and repeat submissions.
#[test]
fn queries_during_failover() {
    let owner_changes: [(&str, Script); 6] = [
        ("failover and return", vec![(40_000, crash(0, 3000)), (70_000, crash(1, 3000))]),
        ("failover", vec![(40_000, crash(0, 60_000)), (70_000, crash(1, 200))]),
        ("frozen owner", vec![(40_000, Fault::FreezeNode { node: 0, ms: 14_000 })]),
        ("store refuses owner", vec![(40_000, Fault::StoreRefusesNode { node: 0, ms: 20_000 })]),
        ("isolated owner", vec![(40_000, Fault::StoreAndPeerPartition { node: 0, ms: 25_000 })]),
        ("partition between owner and sibling", {
            let cut = Fault::PairPartition { nodes: (0, 1), ms: 30_000 };
            vec![(38_000, cut), (40_000, Fault::StoreRefusesNode { node: 0, ms: 12_000 })]
        }),
    ];
    for (what, script) in owner_changes {
        let cancels = [40_100, 43_500, 44_200, 45_000, 47_000, 70_500, 74_500];
        let cancels = cancels.map(|at| (at, Fault::CancelJobs { percent: 25 }));
        let polls = (39_000, Fault::FrequentPolls { ms: 45_000 });
        let script = with(with(frequent_queries(60), script), cancels);
        run_seeds(what, 2, &with(script, [polls]));
    }
}

/// Guards against lost cancellations: the owner acknowledges them in the last seconds of its lease while
/// its successor loads pages slowly, with and without the answers to their transactions.
#[test]
fn cancellations_at_end_of_lease() {
    for lost in [0, 100] {
        for out in [
            Fault::StoreRefusesNode { node: 0, ms: 12_000 },
            Fault::FreezeNode { node: 0, ms: 12_000 },
        ] {
            let mut script = with(frequent_queries(50), [(44_000, out)]);
            script.push((40_000, Fault::SlowStore { ms: 25_000, by_ms: 300 }));
            script.push((40_000, Fault::FrequentPolls { ms: 30_000 }));
            script.push((41_000, Fault::LostStoreAnswers { percent: lost, ms: 3000 }));
            for at in [42_500, 43_200, 43_900, 46_000, 47_500, 48_500] {
                script.push((at, Fault::CancelJobs { percent: 25 }));
            }
            run_seeds("cancellations at the end of a lease", 2, &script);
        }
    }
}

/// Guards against stale answers: the store refuses the owner and a sibling that goes on querying it. The
/// third controller takes over and reports cancellations before either has learned of it.
#[test]
fn sibling_queries_refused_owner() {
    for (owner, other) in [(0, 1), (1, 2), (2, 0)] {
        let refuse = |node| (40_000, Fault::StoreRefusesNode { node, ms: 15_000 });
        let mut script = with(frequent_queries(100), [refuse(owner), refuse(other)]);
        for at in (42_500..47_500).step_by(100) {
            script.push((at, Fault::CancelJobs { percent: 10 }));
        }
        script.push((40_000, Fault::FrequentPolls { ms: 15_000 }));
        run_seeds("store refuses the owner and a sibling", 2, &script);
    }
}

/// Guards against starts after a cancellation: the answer to a decision is lost, and its job is cancelled
/// before the decision is known to be written.
#[test]
fn decision_confirmed_after_cancellation() {
    let mut script = frequent_queries(50);
    for at in (30_000..100_000).step_by(8000) {
        script.push((at, Fault::LostStoreAnswers { percent: 50, ms: 7000 }));
        let cancels = (at..at + 7000).step_by(250);
        script.extend(cancels.map(|at| (at, Fault::CancelJobs { percent: 8 })));
    }
    let totals = run_seeds("decision confirmed late", 4, &script);
    assert!(totals.starts_after_cancel < 4, "{totals:?}");
}

/// Guards against a finished job that is reported as cancelled: its terminal state waits behind a write
/// whose answer was lost, and its user cancels it meanwhile.
#[test]
fn ended_job_stays_done_when_cancelled() {
    let mut script = Script::new();
    for at in (30_000..100_000).step_by(12_000) {
        script.push((at, Fault::LostStoreAnswers { percent: 100, ms: 6000 }));
        for at in (at + 1200..at + 7000).step_by(200) {
            script.push((at, Fault::CancelJobs { percent: 15 }));
        }
    }
    let totals = run_seeds("terminal state waits to be written", 6, &script);
    assert!(totals.ended > 20 && totals.ended_but_cancelled == 0, "{totals:?}");
}

/// Guards against a backlog: four single-task jobs arrive per second for three minutes and a quarter is
/// cancelled, with rolling restarts, an outage of the store and a team at its quota.
#[test]
fn four_single_task_jobs_per_second() {
    let mut script = vec![
        (20_000, Fault::SingleTaskJobs { ms: 180_000 }),
        (20_000, Fault::QueryBursts { percent: 10, ms: 180_000 }),
        (20_000, Fault::QueriesAtCompletion { percent: 10, ms: 180_000 }),
        (110_000, Fault::StoreOutage { ms: 15_000 }),
    ];
    for round in 0..3 {
        for node in 0..3 {
            script.push((40_000 + round * 55_000 + node * 4000, crash(node as usize, 1500)));
        }
    }
    let plan = Plan {
        random_faults: false,
        seconds: 210,
        fault_free_seconds: 100,
        script,
        ..Plan::new(5)
    };
    let mut sim = Sim::new(Plan { team_cpu_quota: 6.0, lease_ms: LEASE_MS, ..plan });
    sim.run().unwrap_or_else(|e| panic!("{e}"));
    let acknowledged = |status| sim.rules.acknowledged.values().filter(|t| t.0 == status).count();
    let (done, cancelled) = (acknowledged(JobStatus::Done), acknowledged(JobStatus::Cancelled));
    println!(
        "{done} done, {cancelled} cancelled, {} starts after a cancellation",
        sim.rules.starts_after_cancel
    );
    assert!(done > 300 && cancelled > 120, "{done} done, {cancelled} cancelled");
}
