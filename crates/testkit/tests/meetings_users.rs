//! Users who look closely meet other troubles: three controllers, leases of 17 s of a `cancel_s` of 30 s.
//! The rules are checked after each step, and each answer against what its user knew before it asked.
use leaddeal_testkit::script::Fault;
use leaddeal_testkit::sim::{Plan, Sim, TeamQuotas};
use leaddeal_wire::user::JobStatus;

const LEASE_MS: u64 = 17_000;
const SECONDS: u64 = 110;
/// So long after an end, once all troubles are over, its user knows of it; users ask every 4 s.
const UNTOLD_MS: u64 = 15_000;

type Script = Vec<(u64, Fault)>;

/// What came of some seeds.
#[derive(Debug, Default)]
struct Figures {
    done: usize,
    cancelled: usize,
    starts: usize,
    slips: usize,
    latest_slip_ms: u64,
    refused: usize,
    ended: usize,
    undone: usize,
}

/// Plays it on some seeds, and then without any trouble: every job that was not cancelled is answered about.
fn play(what: &str, seeds: u64, script: &Script) -> Figures {
    let mut all = Figures::default();
    for seed in 1..=seeds {
        let simple = Plan { max_gang_tasks: 1, teams: TeamQuotas::OneOfTwo, ..Plan::new(seed) };
        let quiet =
            Plan { random_faults: false, seconds: SECONDS, fault_free_seconds: 90, ..simple };
        let plan =
            Plan { script: script.clone(), team_cpu_quota: 12.0, submission_rate: 3, ..quiet };
        let mut sim = Sim::new(Plan { lease_ms: LEASE_MS, ..plan });
        sim.run().unwrap_or_else(|e| panic!("{what}: {e}"));
        assert_eq!(sim.unacknowledged(UNTOLD_MS), Vec::<String>::new(), "{what}, seed {seed}");
        let told = |status| sim.rules.acknowledged.values().filter(|t| t.0 == status).count();
        all.done += told(JobStatus::Done);
        all.cancelled += told(JobStatus::Cancelled);
        all.starts += sim.rules.starts;
        all.slips += sim.rules.starts_after_cancel;
        all.latest_slip_ms = all.latest_slip_ms.max(sim.rules.latest_start_after_cancel_ms);
        all.refused += sim.rules.invalid_refused;
        all.ended += sim.rules.ended_before_cancel.len();
        all.undone += sim.rules.ended_but_cancelled;
    }
    println!("{what}: {all:?}");
    assert!(all.done as u64 > 20 * seeds, "{what}: {all:?}");
    assert!(all.cancelled as u64 > 10 * seeds, "{what}: {all:?}");
    all
}

fn crash(node: usize, back_ms: u64) -> Fault {
    Fault::Crash { nodes: vec![node], back_ms }
}

/// Users look closely at everything, from 20 s on.
fn watched(percent: u32) -> Script {
    vec![
        (20_000, Fault::QueryBursts { percent, ms: 90_000 }),
        (20_000, Fault::QueriesAtCompletion { percent, ms: 90_000 }),
    ]
}

fn with(script: Script, more: impl IntoIterator<Item = (u64, Fault)>) -> Script {
    script.into_iter().chain(more).collect()
}

/// With no other trouble: whoever cancels, asks or repeats a submission just as the last task ends is
/// told one end, and nothing starts after a cancellation but while its stop is on its way.
#[test]
fn the_moment_of_the_last_tasks_end() {
    let quiet = play("no other trouble", 3, &watched(100));
    assert!(quiet.slips < 4 && quiet.latest_slip_ms < 100, "{quiet:?}");
}

/// The last task ends while the cancellation is on its way to the store, for seconds: there is one end.
#[test]
fn the_moment_of_the_last_tasks_end_while_writes_are_late() {
    for percent in [40, 100] {
        let mut script = watched(100);
        for at in (30_000..100_000).step_by(10_000) {
            script.push((at, Fault::LateWrites { percent, ms: 6000 }));
            let cancels = (at..at + 6000).step_by(300);
            script.extend(cancels.map(|at| (at, Fault::CancelJobs { percent: 10 })));
        }
        play("late writes", 2, &script);
    }
}

#[test]
fn the_moment_of_the_last_tasks_end_over_a_change_of_owner() {
    let changes = [
        (40_000, crash(0, 300)),
        (52_000, crash(1, 6000)),
        (66_000, Fault::FreezeNode { node: 2, ms: 9000 }),
        (80_000, crash(0, 200)),
        (81_000, crash(2, 200)),
    ];
    let slow = (30_000, Fault::SlowStore { ms: 70_000, by_ms: 400 });
    play("changes of owner", 3, &with(watched(100), changes.clone()));
    play(
        "changes of owner, a slow store",
        2,
        &with(watched(100), changes.into_iter().chain([slow])),
    );
}

/// The final state of a job is written and the answer lost; two siblings read it and tell; the owner is
/// asked, ends, and its successor is asked while it loads, which takes seconds.
#[test]
fn a_final_state_whose_answer_was_lost_is_told_by_siblings_first() {
    for (lost, back_ms) in [(100, 200), (100, 20_000), (50, 4000)] {
        let mut script = with(watched(100), [(20_000, Fault::FrequentPolls { ms: 90_000 })]);
        for (node, at) in [(0, 35_000), (1, 60_000), (2, 85_000)] {
            script.push((at - 3000, Fault::LostStoreAnswers { percent: lost, ms: 4500 }));
            script.push((at, crash(node, back_ms)));
            script.push((at, Fault::SlowStore { ms: 8000, by_ms: 250 }));
        }
        play("the answer to a final state is lost", 2, &script);
    }
}

/// Submissions whose answers were lost are repeated at all controllers at once, cancelled at the next
/// call, and repeated after the final state.
#[test]
fn a_submission_whose_answer_was_lost_is_repeated_everywhere() {
    for percent in [30, 100] {
        let spell = |at| (at, Fault::LostStoreAnswers { percent, ms: 6000 });
        let cancel = |at| (at, Fault::CancelJobs { percent: 40 });
        let script = with(
            watched(100),
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
        let all = play("the answer to a submission is lost", 2, &script);
        assert!(all.refused > 50, "{all:?}");
    }
}

/// A shard changes hands in each of the ways there are, and in those seconds users look closely, cancel
/// and repeat.
#[test]
fn close_looks_while_a_shard_changes_hands() {
    let hands: [(&str, Script); 6] = [
        ("home", vec![(40_000, crash(0, 3000)), (70_000, crash(1, 3000))]),
        ("crash", vec![(40_000, crash(0, 60_000)), (70_000, crash(1, 200))]),
        ("frozen", vec![(40_000, Fault::FreezeNode { node: 0, ms: 14_000 })]),
        ("refused", vec![(40_000, Fault::StoreRefusesNode { node: 0, ms: 20_000 })]),
        ("alone", vec![(40_000, Fault::StoreAndPeerPartition { node: 0, ms: 25_000 })]),
        ("between", {
            let cut = Fault::PairPartition { nodes: (0, 1), ms: 30_000 };
            vec![(38_000, cut), (40_000, Fault::StoreRefusesNode { node: 0, ms: 12_000 })]
        }),
    ];
    for (what, script) in hands {
        let cancels = [40_100, 43_500, 44_200, 45_000, 47_000, 70_500, 74_500];
        let cancels = cancels.map(|at| (at, Fault::CancelJobs { percent: 25 }));
        let polls = (39_000, Fault::FrequentPolls { ms: 45_000 });
        let script = with(with(watched(60), script), cancels);
        play(what, 2, &with(script, [polls]));
    }
}

/// The owner confirms cancellations in the last seconds of its lease, while the one that takes over next
/// loads pages slowly; with and without the answers to the confirmations' transactions.
#[test]
fn cancellations_in_the_last_second_of_a_lease() {
    for lost in [0, 100] {
        for out in [
            Fault::StoreRefusesNode { node: 0, ms: 12_000 },
            Fault::FreezeNode { node: 0, ms: 12_000 },
        ] {
            let mut script = with(watched(50), [(44_000, out)]);
            script.push((40_000, Fault::SlowStore { ms: 25_000, by_ms: 300 }));
            script.push((40_000, Fault::FrequentPolls { ms: 30_000 }));
            script.push((41_000, Fault::LostStoreAnswers { percent: lost, ms: 3000 }));
            for at in [42_500, 43_200, 43_900, 46_000, 47_500, 48_500] {
                script.push((at, Fault::CancelJobs { percent: 25 }));
            }
            play("in the last second of a lease", 2, &script);
        }
    }
}

/// Two controllers are refused, the owner and one that goes on asking it; the third takes over, and tells of
/// cancellations before either has heard of it.
#[test]
fn an_owner_in_doubt_that_a_sibling_asks() {
    for (owner, other) in [(0, 1), (1, 2), (2, 0)] {
        let refuse = |node| (40_000, Fault::StoreRefusesNode { node, ms: 15_000 });
        let mut script = with(watched(100), [refuse(owner), refuse(other)]);
        for at in (42_500..47_500).step_by(100) {
            script.push((at, Fault::CancelJobs { percent: 10 }));
        }
        script.push((40_000, Fault::FrequentPolls { ms: 15_000 }));
        play("the owner and a sibling refused", 2, &script);
    }
}

/// A decision's answer is lost, and its job cancelled before the decision is known to be written: nothing of it
/// starts.
#[test]
fn a_decision_that_is_known_only_after_its_jobs_cancellation() {
    let mut script = watched(50);
    for at in (30_000..100_000).step_by(8000) {
        script.push((at, Fault::LostStoreAnswers { percent: 50, ms: 7000 }));
        let cancels = (at..at + 7000).step_by(250);
        script.extend(cancels.map(|at| (at, Fault::CancelJobs { percent: 8 })));
    }
    let all = play("a decision known late", 4, &script);
    assert!(all.slips < 4, "{all:?}");
}

/// What has ended is done, though its final state waits behind one whose answer was lost, and its user calls
/// it off meanwhile.
#[test]
fn what_has_ended_is_done_though_it_is_cancelled_before_that_is_written() {
    let mut script = Script::new();
    for at in (30_000..100_000).step_by(12_000) {
        script.push((at, Fault::LostStoreAnswers { percent: 100, ms: 6000 }));
        for at in (at + 1200..at + 7000).step_by(200) {
            script.push((at, Fault::CancelJobs { percent: 15 }));
        }
    }
    let all = play("waits to be written", 6, &script);
    assert!(all.ended > 20 && all.undone == 0, "{all:?}");
}

/// Jobs of one task, four a second for three minutes, a quarter cancelled; rolling restarts, an outage of
/// the store, a team at its limit.
#[test]
fn four_jobs_of_one_task_a_second() {
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
    let told = |status| sim.rules.acknowledged.values().filter(|t| t.0 == status).count();
    let (done, cancelled) = (told(JobStatus::Done), told(JobStatus::Cancelled));
    println!("{done} done, {cancelled} cancelled, {} slips", sim.rules.starts_after_cancel);
    assert!(done > 300 && cancelled > 120, "{done} done, {cancelled} cancelled");
}
