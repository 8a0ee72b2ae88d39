//! Two troubles at once, of the store, the network and the machines: the hard cases, brought about with
//! three controllers. The rules are checked after each step; `docs/meetings.md` says what carries them.
use common::{cancel, crash, plan, played, CANCEL_MS, LEASE_MS};
use leaddeal_testkit::script::{Fault, OwnerChange, Written};
use leaddeal_testkit::sim::{Plan, Sim, START_MS};
use leaddeal_wire::user::JobStatus;

mod common;

/// So many kept reports arrived at that moment.
fn arrived(played: &[Sim], owner_change: OwnerChange) -> u64 {
    played.iter().filter_map(|s| s.observations.delayed_heartbeats.get(&owner_change)).sum()
}

/// So many controllers ended on a write of that kind.
fn ended(played: &[Sim], on: Written) -> usize {
    played.iter().flat_map(|s| &s.observations.crashes_after_write).filter(|e| e.1 == on).count()
}

/// A shard is acquired, the answer is lost, and whoever acquired it is refused until its lease is over
/// and a sibling acquires the shard. Its own lease it then gets back.
#[test]
fn a_shard_acquired_with_the_answer_lost_and_by_a_sibling_after_the_lease() {
    for (seed, other, refused_at) in
        [(1, 1, 44_200), (2, 2, 44_600), (3, 1, 45_200), (4, 2, 45_200)]
    {
        let lost = (40_500, Fault::LostStoreAnswers { percent: 100, ms: 9000 });
        let refuse = (refused_at, Fault::StoreRefusesNode { node: other, ms: 7000 });
        let script =
            [(40_000, crash(0, 60_000)), lost, refuse, cancel(47_000), (70_000, crash(1, 200))];
        let played = played("acquired without an answer", seed, &script);
        assert!(played.iter().all(|s| s.observations.lost_answers > 2), "no answer was lost");
    }
}

/// A shard is given back, the answer is lost, and the process ends and is back within 100 ms; or one
/// that acquired a shard.
#[test]
fn a_shard_given_back_without_an_answer_by_a_process_that_is_back_at_once() {
    for what in [Written::Release, Written::Acquisition] {
        for (seed, after_ms, back_ms) in [(1, 0, 100), (2, 2100, 20)] {
            let ends = |at| (at, Fault::CrashAfterWrite { what, after_ms, back_ms });
            let away = |at, node| (at, crash(node, 7000));
            let script = [
                ends(39_000),
                away(40_000, 0),
                cancel(50_000),
                ends(69_000),
                away(70_000, 1),
                cancel(78_500),
                ends(99_000),
                away(100_000, 2),
            ];
            let played = played("given back", seed, &script);
            assert!(ended(&played, what) > 3, "{what:?}: {}", ended(&played, what));
        }
    }
}

/// A shard is given back without an answer, carried out only when its owner before has read once more
/// that it is the owner.
#[test]
fn a_shard_given_back_late_by_a_process_that_reads_on() {
    for seed in 1..=4 {
        let mut script = Vec::new();
        for at in [30_000, 60_000, 90_000] {
            script.extend([
                (at, crash(0, 6000)),
                (at + 7500, Fault::LateWrites { percent: 100, ms: 5500 }),
                (at + 7500, Fault::NoWatches { ms: 12_000 }),
                (at + 13_000, Fault::LoseMachines { machines: 1 }),
                cancel(at + 14_000),
            ]);
        }
        played("given back late", seed, &script);
    }
}

/// Machines die, new ones are up after 0.2 to 2 s and get work at once from a store that is slow; the
/// answer to such a decision is lost, and whoever made it ends.
#[test]
fn a_decision_without_an_answer_whose_machines_are_up_at_once_and_whose_owner_ends() {
    for (seed, by_ms, after_ms) in [(1, 0, 300), (2, 400, 0), (3, 1500, 900)] {
        let mut script = vec![(20_000, Fault::FastBoots { ms: 110_000 })];
        for (i, at) in (40_000..120_000).step_by(10_000).enumerate() {
            let back_ms = if i % 2 == 0 { 100 } else { 5000 };
            let what = Written::Decision;
            script.extend([
                (at, Fault::LoseMachines { machines: 2 }),
                (at, Fault::SlowStore { ms: 6000, by_ms }),
                (at + 1500, Fault::CrashAfterWrite { what, after_ms, back_ms }),
                cancel(at + 2500),
            ]);
        }
        let played = played("decided without an answer", seed, &script);
        assert!(ended(&played, Written::Decision) > 12, "{}", ended(&played, Written::Decision));
    }
}

/// Final states, too, and cancellations: the answer is lost, and the owner ends.
#[test]
fn a_final_state_without_an_answer_whose_owner_ends() {
    for (seed, after_ms, back_ms) in [(1, 0, 100), (2, 300, 6000)] {
        let mut script = vec![(30_000, Fault::FrequentPolls { ms: 100_000 })];
        for at in (40_000..120_000).step_by(10_000) {
            script.push((
                at,
                Fault::CrashAfterWrite { what: Written::TerminalState, after_ms, back_ms },
            ));
            script.push(cancel(at + 100));
        }
        let played = played("over without an answer", seed, &script);
        assert!(
            ended(&played, Written::TerminalState) > 12,
            "{}",
            ended(&played, Written::TerminalState)
        );
    }
}

/// Every answer of the store is lost for seconds, or every other one for a minute, while leaders change and
/// users cancel and ask.
#[test]
fn answers_that_are_lost_of_what_was_carried_out() {
    for (seed, percent, ms) in [(1, 100, 5000), (2, 50, 60_000)] {
        let lost = |at| (at, Fault::LostStoreAnswers { percent, ms });
        let script = [
            (20_000, Fault::FrequentPolls { ms: 100_000 }),
            lost(40_000),
            cancel(40_500),
            (42_000, crash(0, 300)),
            cancel(60_000),
            (70_000, crash(1, 9000)),
            lost(75_000),
            cancel(75_500),
            (78_000, crash(2, 100)),
        ];
        let played = played("answers lost", seed, &script);
        assert!(
            played.iter().all(|s| s.observations.lost_answers > 10),
            "hardly any answer was lost"
        );
    }
}

/// Where nobody changes hands afterwards, the work goes on.
#[test]
fn answers_that_are_lost_hold_up_nothing() {
    for seed in 1..=3 {
        let lost = |at| (at, Fault::LostStoreAnswers { percent: 100, ms: 5000 });
        let sims = played("answers lost once", seed, &[lost(8000), lost(20_000), lost(40_000)]);
        for sim in sims {
            assert!(sim.observations.lost_answers > 10, "hardly any answer was lost");
            let under: Vec<_> =
                sim.groups_under_half_served().into_iter().filter(|s| s.of > 3).collect();
            assert!(under.is_empty(), "served less than half: {under:?}");
        }
    }
}

/// Machines that reach no controller, while commands reach them: their tasks are cancelled, and their
/// shards change owners twice, within their leases and beyond.
#[test]
fn mute_machines_whose_tasks_are_cancelled_through_two_changes_of_owner() {
    for (seed, ms) in [(1, 10_000), (2, 16_500), (3, 40_000)] {
        for machines in [4, 9] {
            let mute = (41_000, Fault::OutboundPartition { machines, ms });
            let script = [
                mute,
                cancel(42_000),
                (42_500, crash(0, 5000)),
                cancel(47_000),
                (49_000, crash(1, 200)),
                (50_500, crash(2, 9000)),
                cancel(56_000),
                (60_000, crash(0, 30_000)),
            ];
            played("mute", seed, &script);
        }
    }
}

/// With their owner in place, commands alone end what was cancelled on mute machines, long before their
/// leases would.
#[test]
fn commands_alone_stop_what_was_cancelled_on_mute_machines() {
    let mut stopped = 0;
    for seed in 1..=6 {
        let mute = (41_000, Fault::OutboundPartition { machines: 9, ms: 60_000 });
        let script = vec![mute, (41_200, Fault::CancelJobs { percent: 100 })];
        let mut sim = Sim::new(plan(seed, 60, script));
        sim.run_to(41_100).unwrap_or_else(|e| panic!("{e}"));
        let before = sim.tasks_behind_outbound_partitions();
        sim.run_to(46_000).unwrap_or_else(|e| panic!("{e}"));
        let cancelled = |task: &String| {
            let told = sim.rules.acknowledged.get(task.split('/').next().unwrap_or_default());
            told.is_some_and(|t| t.0 == JobStatus::Cancelled && t.1 < START_MS + 43_500)
        };
        let late: Vec<_> =
            sim.tasks_behind_outbound_partitions().into_iter().filter(cancelled).collect();
        assert!(late.is_empty(), "seed {seed}: {late:?} run on");
        stopped += before.iter().filter(|t| cancelled(t)).count();
    }
    assert!(stopped > 10, "only {stopped} tasks were to stop");
}

/// Copies of reports, of older sessions, attempts and owners, reach the new owner of their machine's
/// shard, or all three controllers, in the very tick in which it acquires the shard or is ready.
#[test]
fn old_reports_that_arrive_just_as_a_new_owner_begins() {
    for owner_change in [OwnerChange::Acquired, OwnerChange::Loaded] {
        for (seed, to_all) in [(1, false), (2, true)] {
            let keep =
                |at| (at, Fault::DelayHeartbeats { percent: 30, ms: 6000, owner_change, to_all });
            let reborn = |at| (at, Fault::RestartWorkers { machines: 4 });
            let script = [
                keep(30_000),
                reborn(36_500),
                keep(37_000),
                (45_000, crash(0, 3000)),
                keep(52_000),
                cancel(57_000),
                reborn(59_000),
                (60_000, crash(1, 200)),
                (64_000, crash(2, 9000)),
                keep(78_000),
                (88_000, Fault::Crash { nodes: vec![0, 1, 2], back_ms: 500 }),
            ];
            let played = played("kept reports", seed, &script);
            let n = arrived(&played, owner_change);
            assert!(n > 60, "{owner_change:?}: only {n} reports arrived");
        }
    }
}

/// Reports, not copies, are held back until a new owner has commanded a machine, and arrive then; their
/// workers hear nothing meanwhile, or are taken for gone.
#[test]
fn reports_held_back_until_a_new_owner_has_acted() {
    for (seed, ms) in [(1, 2500), (2, 8000), (3, LEASE_MS + 3000)] {
        let owner_change = OwnerChange::FirstCommand;
        let keep =
            |at, percent| (at, Fault::DelayHeartbeats { percent, ms, owner_change, to_all: false });
        let script = [
            keep(40_000, 60),
            (40_500, Fault::OutboundPartition { machines: 3, ms: 12_000 }),
            (42_000, crash(0, 5000)),
            cancel(44_000),
            (49_000, Fault::HangMachines { machines: 4, ms: 9000 }),
            keep(50_000, 100),
            (52_000, crash(1, 200)),
            (52_100, crash(2, 9000)),
            cancel(60_000),
            keep(80_000, 30),
            (82_000, crash(0, 100)),
        ];
        let n = arrived(&played("held back", seed, &script), owner_change);
        assert!(n > 20, "only {n} reports arrived");
    }
}

/// Leaders change ten times in two minutes, also inside an outage, and one is back within a second.
#[test]
fn ten_changes_of_leaders_in_two_minutes_and_in_an_outage() {
    for (seed, outage) in [(1, 8000), (2, 25_000), (3, CANCEL_MS + 10_000)] {
        let mut script = vec![(64_000, Fault::StoreOutage { ms: outage })];
        for (i, at) in (30_000..140_000).step_by(11_000).enumerate() {
            script.push((at, crash(i % 3, if i % 2 == 0 { 200 } else { 8000 })));
            script.push(cancel(at + 3700));
        }
        played("ten leaders", seed, &script);
    }
}

/// All controllers are away for longer than a lease, or than a cancellation may take, just after users
/// cancelled.
#[test]
fn all_controllers_away_for_longer_than_a_lease() {
    for (seed, back_ms) in [(1, LEASE_MS - 2000), (2, LEASE_MS + 3000), (3, CANCEL_MS + 10_000)] {
        let all = Fault::Crash { nodes: vec![0, 1, 2], back_ms };
        let hang = |at, ms| (at, Fault::HangMachines { machines: 3, ms });
        let script = [
            (35_000, Fault::OutboundPartition { machines: 2, ms: back_ms + 20_000 }),
            hang(38_000, LEASE_MS - 3000),
            cancel(39_000),
            (40_500, all),
            hang(40_000 + back_ms, 9000),
            cancel(41_500 + back_ms),
            (44_000 + back_ms, crash(1, 200)),
        ];
        played("all away", seed, &script);
    }
}

/// A zone with workers and a controller is cut off for longer than a lease: the controller inside reaches
/// these workers and nobody else.
#[test]
fn a_zone_with_workers_and_a_controller_cut_off() {
    let cuts =
        [(0, LEASE_MS - 3000), (0, LEASE_MS + 6000), (1, LEASE_MS + 6000), (2, CANCEL_MS + 20_000)];
    for (seed, (node, ms)) in (1..).zip(cuts) {
        let cut = Fault::ZonePartitionWithNode { zone: "b", node, ms };
        let after = 40_000 + ms;
        let script = [
            (40_000, cut),
            cancel(41_000),
            cancel(47_000),
            (52_000, crash((node + 1) % 3, 300)),
            cancel(after - 1000),
            (after + 700, crash(node, 100)),
        ];
        played("a zone with a controller", seed, &script);
    }
    // Nobody else changes hands: what is cut off is placed anew once it is gone.
    for node in 0..3 {
        let cut = Fault::ZonePartitionWithNode { zone: "b", node, ms: CANCEL_MS + 20_000 };
        played("a zone alone with a controller", 7, &[(40_000, cut)]);
    }
}

/// Users cancel in the very moment in which the store refuses one controller alone, and a second later it
/// is out for longer than a cancellation may take.
#[test]
fn jobs_cancelled_in_the_moment_in_which_the_store_refuses_the_leader() {
    let mut told = 0;
    for node in 0..3 {
        // Heard by its siblings on, or by workers and users alone.
        let heard = Fault::StoreRefusesNode { node, ms: 9000 };
        let alone = Fault::StoreAndPeerPartition { node, ms: CANCEL_MS + 20_000 };
        for (lost, refused) in [(0, heard), (50, alone)] {
            let script = vec![
                (59_500, Fault::LostStoreAnswers { percent: lost, ms: 3000 }),
                (60_000, refused),
                (60_000, Fault::CancelJobs { percent: 70 }),
                (61_000, Fault::StoreOutage { ms: CANCEL_MS + 15_000 }),
            ];
            for seed in 1..=2 {
                let mut sim =
                    Sim::new(Plan { fault_free_seconds: 100, ..plan(seed, 140, script.clone()) });
                sim.run().unwrap_or_else(|e| panic!("in the very moment: {e}"));
                let window = START_MS + 60_000..START_MS + 64_000;
                let cancelled =
                    |t: &&(JobStatus, u64)| t.0 == JobStatus::Cancelled && window.contains(&t.1);
                told += sim.rules.acknowledged.values().filter(cancelled).count();
            }
        }
    }
    assert!(told > 20, "only {told} cancellations were told");
}
