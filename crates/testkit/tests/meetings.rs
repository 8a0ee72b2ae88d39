//! Two troubles at once: each meeting of the operators' page, brought about with three controllers. The
//! rules are checked after each step, as everywhere; `docs/meetings.md` says what carries them.
use common::{cancel, crash, plan, played, CANCEL_MS};
use leaddeal_testkit::script::Fault;
use leaddeal_testkit::sim::{InjectedDefect, Plan, Sim, START_MS};
use leaddeal_wire::user::JobStatus;

mod common;

/// The store refuses one controller, users cancel through the others, and then it is down for all for
/// longer than a cancellation may take, while workers report on.
fn gap(refused: usize, more: Vec<(u64, Fault)>) -> Vec<(u64, Fault)> {
    let refuse = Fault::StoreRefusesNode { node: refused, ms: 14_000 };
    let outage = Fault::StoreOutage { ms: CANCEL_MS + 15_000 };
    let gap = [(60_000, refuse), (60_300, Fault::CancelJobs { percent: 60 }), (62_500, outage)];
    gap.into_iter().chain(more).collect()
}

/// Plays it on some seeds; returns how many cancellations users were told of within the window.
fn play(what: &str, script: &[(u64, Fault)]) -> usize {
    let mut told = 0;
    for seed in 1..=6 {
        let mut sim = Sim::new(plan(seed, 140, script.to_vec()));
        sim.run().unwrap_or_else(|e| panic!("{what}: {e}"));
        let window = START_MS + 60_000..START_MS + 64_000;
        let cancelled =
            |t: &&(JobStatus, u64)| t.0 == JobStatus::Cancelled && window.contains(&t.1);
        told += sim.rules.acknowledged.values().filter(cancelled).count();
    }
    assert!(told > 20, "{what}: only {told} cancellations were told");
    told
}

#[test]
fn what_was_cancelled_in_the_gap_is_gone_in_time() {
    for node in 0..3 {
        play("as the operators saw it", &gap(node, Vec::new()));
    }
}

#[test]
fn the_gap_with_a_confirmer_that_ends_at_once() {
    for back_ms in [200, 200_000] {
        for at in [60_600, 61_200, 62_400] {
            let crash = Fault::Crash { nodes: vec![1], back_ms };
            play("the confirmer ends", &gap(0, vec![(at, crash)]));
        }
    }
}

/// What it told the old leader was lost, and the process that comes back knows nothing of it: that it is
/// heard again proves nothing.
#[test]
fn the_gap_with_a_confirmer_that_is_heard_again_and_has_forgotten() {
    for node in [1, 2] {
        let cut = Fault::PairPartition { nodes: (0, node), ms: 4000 };
        let crash = Fault::Crash { nodes: vec![node], back_ms: 200 };
        play("forgotten", &gap(0, vec![(60_200, cut), (62_450, crash)]));
    }
}

#[test]
fn the_gap_with_two_refused_in_turn_and_a_store_that_is_back_for_a_second() {
    let second = Fault::StoreRefusesNode { node: 1, ms: 14_000 };
    play("two in turn", &gap(0, vec![(61_000, second.clone())]));
    // Up from 107.5 s on, for one second.
    let again = Fault::StoreOutage { ms: 45_000 };
    let cancel = (107_600, Fault::CancelJobs { percent: 60 });
    play("back for a second", &gap(0, vec![cancel, (108_500, again), (107_400, second)]));
}

#[test]
fn the_gap_with_a_cut_between_the_confirmer_and_the_old_leader() {
    for at in [59_000, 60_800, 62_000] {
        for other in [1, 2] {
            let cut = Fault::PairPartition { nodes: (0, other), ms: 60_000 };
            play("cut between", &gap(0, vec![(at, cut)]));
        }
    }
    let alone = Fault::StoreAndPeerPartition { node: 0, ms: 60_000 };
    play("cut from both", &gap(0, vec![(60_000, alone)]));
    play("all apart", &gap(0, vec![(61_500, Fault::PeerPartition { ms: 50_000 })]));
}

#[test]
fn the_gap_with_new_sessions_and_an_old_leader_that_stands_still() {
    let reborn = |at| (at, Fault::RestartWorkers { machines: 5 });
    play("new sessions", &gap(0, vec![reborn(61_500), reborn(70_000), reborn(85_000)]));
    for (at, ms) in [(60_500, 20_000), (61_000, 35_000), (70_000, 30_000)] {
        let freeze = Fault::FreezeNode { node: 0, ms };
        play("frozen", &gap(0, vec![(at, freeze)]));
    }
}

/// An owner that answered for as long as it liked would break the rule: the tests above see that.
#[test]
fn an_owner_that_answers_too_long_is_caught() {
    let alone = Fault::StoreAndPeerPartition { node: 0, ms: 60_000 };
    let script = gap(0, vec![(60_000, alone)]);
    let found = (1..=6).any(|seed| {
        let plan = plan(seed, 140, script.clone());
        let mut sim = Sim::new(Plan { defect: InjectedDefect::LongCancel, ..plan });
        sim.run().is_err_and(|e| e.contains("ran_cancelled"))
    });
    assert!(found, "it went unnoticed");
}

/// Where all controllers hear each other, an outage of any length costs no task: nobody can have
/// confirmed what the others don't know of.
#[test]
fn no_lease_runs_out_in_an_outage_while_the_controllers_hear_each_other() {
    let mut replicas = 0;
    for seed in 1..=12 {
        let outage = (60_000, Fault::StoreOutage { ms: 120_000 });
        let mut sim = Sim::new(plan(seed, 220, vec![outage]));
        sim.run_to(60_000).unwrap_or_else(|e| panic!("{e}"));
        let (before, up) = (sim.leases_ended(), sim.running_service_tasks());
        sim.run().unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(sim.leases_ended(), before, "seed {seed}: leases ran out");
        replicas += up.len();
    }
    assert!(replicas > 10, "only {replicas} replicas ran");
}

fn meeting(what: &str, script: &[(u64, Fault)]) {
    for seed in 1..=2 {
        played(what, seed, script);
    }
}

/// Copies of all reports, from sessions and attempts that are over by then, also as the first word that
/// a new owner hears.
#[test]
fn old_reports_after_newer_ones() {
    let late = (20_000, Fault::LateHeartbeatCopies { percent: 90, ms: 100_000 });
    let reborn = |at| (at, Fault::RestartWorkers { machines: 4 });
    let script = vec![
        late,
        reborn(40_000),
        reborn(44_500),
        (45_000, crash(0, 3000)),
        (52_000, crash(1, 200)),
        reborn(79_000),
        (80_000, crash(2, 9000)),
    ];
    meeting("copies of reports", &script);
}

/// A leader ends while machines with long tasks can't be reached, or don't hear the new one's answers.
#[test]
fn a_leader_ends_while_machines_are_out_of_reach() {
    for ms in [10_000, 16_500, 40_000] {
        let cut = Fault::ZonePartition { zone: "a", ms };
        let hang = Fault::HangMachines { machines: 4, ms };
        let deaf = Fault::InboundPartition { machines: 4, ms };
        for out in [cut, hang, deaf] {
            let again = (43_000 + ms, crash(1, 200));
            meeting("out of reach", &[(41_000, out), (42_000, crash(0, 60_000)), again]);
        }
    }
}

/// The store is slow, refuses the leader alone and then everybody for longer than a cancellation may
/// take, while users cancel and ask all along.
#[test]
fn a_slow_store_that_refuses_one_and_then_all() {
    let cancels = [60_500, 61_500, 64_000, 80_000, 100_000, 109_000].map(cancel);
    for by_ms in [300, 1500] {
        let slow = (50_000, Fault::SlowStore { ms: 80_000, by_ms });
        let polls = (50_000, Fault::FrequentPolls { ms: 70_000 });
        let more = cancels.iter().cloned().chain([slow, polls]).collect();
        meeting("slow, refused, down", &gap(2, more));
    }
}

/// A leader that only workers and users reach, and cancellations through its successor: whoever asks the
/// old one is told no older state than was told before.
#[test]
fn a_leader_that_only_workers_and_users_reach() {
    for ms in [8000, 30_000, 70_000] {
        let alone = (40_000, Fault::StoreAndPeerPartition { node: 0, ms });
        let polls = (40_000, Fault::FrequentPolls { ms: 90_000 });
        let back = (41_000 + ms, crash(0, 100));
        meeting("alone", &[alone, polls, cancel(46_000), cancel(50_000), cancel(60_000), back]);
    }
}

/// Shards are handed over and back, all end, and one is back within a second, again and again.
#[test]
fn hand_over_and_back_and_all_end() {
    let mut script = Vec::new();
    for at in (30_000..110_000).step_by(16_000) {
        script.push((at, crash(0, 300)));
        // Its shard goes home while another ends.
        script.push((at + 5200, crash(1, 6000)));
        script.push((at + 9000, Fault::Crash { nodes: vec![0, 1, 2], back_ms: 4000 }));
        script.push((at + 9300, crash(2, 100)));
    }
    meeting("over and back", &script);
}

/// Transactions without an answer that are carried out late, after newer ones of the same controller.
#[test]
fn writes_that_are_carried_out_late() {
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
        meeting("late writes", &script);
    }
}

/// Commands are held up for seconds, or longer than a lease, and the machine then goes on.
#[test]
fn commands_that_are_held_up() {
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
        meeting("held up", &script);
    }
}
