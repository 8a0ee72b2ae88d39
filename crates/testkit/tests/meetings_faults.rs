//! Two faults at once, of the store, the network and the machines: the hard cases, with three controllers.
//! The simulator checks the rules after each step; `docs/meetings.md` names the mechanisms that keep them.
use common::{cancel, crash, plan, run_short_and_long, CANCEL_MS, LEASE_MS};
use leaddeal_testkit::script::{Fault, OwnerChange, Written};
use leaddeal_testkit::sim::{Plan, Sim, START_MS};
use leaddeal_wire::user::JobStatus;

mod common;

/// Returns the number of delayed heartbeats that arrived at this stage of a change of owner.
fn delayed_heartbeats(runs: &[Sim], owner_change: OwnerChange) -> u64 {
    runs.iter().filter_map(|s| s.observations.delayed_heartbeats.get(&owner_change)).sum()
}

/// Returns the number of controllers that crashed after a write of this kind.
fn crashes_on(runs: &[Sim], on: Written) -> usize {
    runs.iter().flat_map(|s| &s.observations.crashes_after_write).filter(|e| e.1 == on).count()
}

/// Guards against two owners of a shard: the answer to an acquisition is lost, the store refuses that
/// controller until its lease expires, and a sibling acquires the shard. The controller then gets the lease
/// of its own shard back.
#[test]
fn acquisition_without_answer_then_by_sibling() {
    for (seed, other, refused_at) in
        [(1, 1, 44_200), (2, 2, 44_600), (3, 1, 45_200), (4, 2, 45_200)]
    {
        let lost = (40_500, Fault::LostStoreAnswers { percent: 100, ms: 9000 });
        let refuse = (refused_at, Fault::StoreRefusesNode { node: other, ms: 7000 });
        let script =
            [(40_000, crash(0, 60_000)), lost, refuse, cancel(47_000), (70_000, crash(1, 200))];
        let runs = run_short_and_long("acquisition without an answer", seed, &script);
        assert!(runs.iter().all(|s| s.observations.lost_answers > 2), "no answer was lost");
    }
}

/// Guards against a wrong view of ownership after a restart: the answer to a release or to an acquisition
/// of a shard is lost, and the process crashes and is back within 100 ms.
#[test]
fn release_or_acquisition_without_answer_then_restart() {
    for what in [Written::Release, Written::Acquisition] {
        for (seed, after_ms, back_ms) in [(1, 0, 100), (2, 2100, 20)] {
            let crash_after_write = |at| (at, Fault::CrashAfterWrite { what, after_ms, back_ms });
            let crash_for_7_s = |at, node| (at, crash(node, 7000));
            let script = [
                crash_after_write(39_000),
                crash_for_7_s(40_000, 0),
                cancel(50_000),
                crash_after_write(69_000),
                crash_for_7_s(70_000, 1),
                cancel(78_500),
                crash_after_write(99_000),
                crash_for_7_s(100_000, 2),
            ];
            let runs = run_short_and_long("released or acquired without an answer", seed, &script);
            assert!(crashes_on(&runs, what) > 3, "{what:?}: {}", crashes_on(&runs, what));
        }
    }
}

/// Guards against serving a released shard: the store does not answer a release, and applies it only after
/// the previous owner has read once more that it is the owner.
#[test]
fn release_applied_after_owner_reads_again() {
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
        run_short_and_long("released late", seed, &script);
    }
}

/// Guards against lost or doubled placements: machines die, new ones are up after 0.2 to 2 s and get work
/// at once, the slow store's answer to such a decision is lost, and the controller that made it crashes.
#[test]
fn decision_without_answer_then_owner_crash() {
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
        let runs = run_short_and_long("decision without an answer", seed, &script);
        assert!(
            crashes_on(&runs, Written::Decision) > 12,
            "{}",
            crashes_on(&runs, Written::Decision)
        );
    }
}

/// Guards against contradictory ends of a job: the answer to a terminal state or a cancellation is lost,
/// and the owner crashes.
#[test]
fn terminal_state_without_answer_then_owner_crash() {
    for (seed, after_ms, back_ms) in [(1, 0, 100), (2, 300, 6000)] {
        let mut script = vec![(30_000, Fault::FrequentPolls { ms: 100_000 })];
        for at in (40_000..120_000).step_by(10_000) {
            script.push((
                at,
                Fault::CrashAfterWrite { what: Written::TerminalState, after_ms, back_ms },
            ));
            script.push(cancel(at + 100));
        }
        let runs = run_short_and_long("terminal state without an answer", seed, &script);
        assert!(
            crashes_on(&runs, Written::TerminalState) > 12,
            "{}",
            crashes_on(&runs, Written::TerminalState)
        );
    }
}

/// Guards against treating an applied write as failed: all answers of the store are lost for seconds, or
/// half of them for a minute, while owners change and users cancel and query.
#[test]
fn tolerates_lost_store_answers() {
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
        let runs = run_short_and_long("store answers lost", seed, &script);
        assert!(
            runs.iter().all(|s| s.observations.lost_answers > 10),
            "hardly any answer was lost"
        );
    }
}

/// Guards against work that stalls after lost store answers while no shard changes owner.
#[test]
fn lost_store_answers_do_not_delay_work() {
    for seed in 1..=3 {
        let lost = |at| (at, Fault::LostStoreAnswers { percent: 100, ms: 5000 });
        let sims = run_short_and_long(
            "store answers lost, no change of owner",
            seed,
            &[lost(8000), lost(20_000), lost(40_000)],
        );
        for sim in sims {
            assert!(sim.observations.lost_answers > 10, "hardly any answer was lost");
            let under: Vec<_> =
                sim.groups_under_half_served().into_iter().filter(|s| s.of > 3).collect();
            assert!(under.is_empty(), "served less than half: {under:?}");
        }
    }
}

/// Guards against a task that is placed twice or outlives its cancellation: machines receive commands but
/// reach no controller, their tasks are cancelled, and their shards change owner twice, within the worker
/// leases and after them.
#[test]
fn outbound_partition_across_two_owner_changes() {
    for (seed, ms) in [(1, 10_000), (2, 16_500), (3, 40_000)] {
        for machines in [4, 9] {
            let partition = (41_000, Fault::OutboundPartition { machines, ms });
            let script = [
                partition,
                cancel(42_000),
                (42_500, crash(0, 5000)),
                cancel(47_000),
                (49_000, crash(1, 200)),
                (50_500, crash(2, 9000)),
                cancel(56_000),
                (60_000, crash(0, 30_000)),
            ];
            run_short_and_long("outbound partition", seed, &script);
        }
    }
}

/// Guards against cancelled tasks that run until the lease of their machine expires: with an unchanged
/// owner, commands alone stop the tasks on machines that reach no controller.
#[test]
fn commands_stop_tasks_behind_outbound_partition() {
    let mut stopped = 0;
    for seed in 1..=6 {
        let partition = (41_000, Fault::OutboundPartition { machines: 9, ms: 60_000 });
        let script = vec![partition, (41_200, Fault::CancelJobs { percent: 100 })];
        let mut sim = Sim::new(plan(seed, 60, script));
        sim.run_to(41_100).unwrap_or_else(|e| panic!("{e}"));
        let before = sim.tasks_behind_outbound_partitions();
        sim.run_to(46_000).unwrap_or_else(|e| panic!("{e}"));
        let cancelled = |task: &String| {
            let acknowledged =
                sim.rules.acknowledged.get(task.split('/').next().unwrap_or_default());
            acknowledged.is_some_and(|t| t.0 == JobStatus::Cancelled && t.1 < START_MS + 43_500)
        };
        let late: Vec<_> =
            sim.tasks_behind_outbound_partitions().into_iter().filter(cancelled).collect();
        assert!(late.is_empty(), "seed {seed}: cancelled tasks {late:?} still run");
        stopped += before.iter().filter(|t| cancelled(t)).count();
    }
    assert!(stopped > 10, "only {stopped} tasks were to stop");
}

/// Guards against acting on outdated heartbeats: copies from earlier incarnations, attempts and owners
/// reach the new owner of the machine's shard, or all three controllers, in the very tick in which it
/// acquires the shard or has loaded it.
#[test]
fn stale_heartbeats_arrive_during_takeover() {
    for owner_change in [OwnerChange::Acquired, OwnerChange::Loaded] {
        for (seed, to_all) in [(1, false), (2, true)] {
            let delay =
                |at| (at, Fault::DelayHeartbeats { percent: 30, ms: 6000, owner_change, to_all });
            let restart_workers = |at| (at, Fault::RestartWorkers { machines: 4 });
            let script = [
                delay(30_000),
                restart_workers(36_500),
                delay(37_000),
                (45_000, crash(0, 3000)),
                delay(52_000),
                cancel(57_000),
                restart_workers(59_000),
                (60_000, crash(1, 200)),
                (64_000, crash(2, 9000)),
                delay(78_000),
                (88_000, Fault::Crash { nodes: vec![0, 1, 2], back_ms: 500 }),
            ];
            let runs = run_short_and_long("stale heartbeats", seed, &script);
            let n = delayed_heartbeats(&runs, owner_change);
            assert!(n > 60, "{owner_change:?}: only {n} delayed heartbeats arrived");
        }
    }
}

/// Guards against acting on outdated heartbeats: the originals, not copies, are held back until a new owner
/// has sent a machine a command. Meanwhile their workers get no answers, or their leases expire.
#[test]
fn heartbeats_arrive_after_new_owners_first_command() {
    for (seed, ms) in [(1, 2500), (2, 8000), (3, LEASE_MS + 3000)] {
        let owner_change = OwnerChange::FirstCommand;
        let delay =
            |at, percent| (at, Fault::DelayHeartbeats { percent, ms, owner_change, to_all: false });
        let script = [
            delay(40_000, 60),
            (40_500, Fault::OutboundPartition { machines: 3, ms: 12_000 }),
            (42_000, crash(0, 5000)),
            cancel(44_000),
            (49_000, Fault::HangMachines { machines: 4, ms: 9000 }),
            delay(50_000, 100),
            (52_000, crash(1, 200)),
            (52_100, crash(2, 9000)),
            cancel(60_000),
            delay(80_000, 30),
            (82_000, crash(0, 100)),
        ];
        let n = delayed_heartbeats(
            &run_short_and_long("delayed heartbeats", seed, &script),
            owner_change,
        );
        assert!(n > 20, "only {n} delayed heartbeats arrived");
    }
}

/// Guards against errors in rapid failover: owners change ten times in two minutes, also during an outage
/// of the store, and some controllers are back within a second.
#[test]
fn ten_owner_changes_in_two_minutes() {
    for (seed, outage) in [(1, 8000), (2, 25_000), (3, CANCEL_MS + 10_000)] {
        let mut script = vec![(64_000, Fault::StoreOutage { ms: outage })];
        for (i, at) in (30_000..140_000).step_by(11_000).enumerate() {
            script.push((at, crash(i % 3, if i % 2 == 0 { 200 } else { 8000 })));
            script.push(cancel(at + 3700));
        }
        run_short_and_long("ten owner changes", seed, &script);
    }
}

/// Guards against tasks that outlive their cancellation: all controllers are down for about a lease or for
/// longer than a cancellation may take, just after users cancelled.
#[test]
fn all_controllers_down_beyond_a_lease() {
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
        run_short_and_long("all controllers down", seed, &script);
    }
}

/// Guards against tasks that run twice: a zone is partitioned for about a lease or longer, and the
/// controller inside reaches only the workers of this zone.
#[test]
fn zone_with_workers_and_controller_is_partitioned() {
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
        run_short_and_long("partitioned zone with a controller", seed, &script);
    }
    // No other shard changes owner: tasks in the zone are placed anew once they are proven gone.
    for node in 0..3 {
        let cut = Fault::ZonePartitionWithNode { zone: "b", node, ms: CANCEL_MS + 20_000 };
        run_short_and_long(
            "partitioned zone with a controller, no other fault",
            7,
            &[(40_000, cut)],
        );
    }
}

/// Guards against tasks that outlive their cancellation: users cancel in the very moment in which the store
/// refuses one controller, and a second later the store is down for all for longer than a cancellation may
/// take.
#[test]
fn cancellations_as_store_refuses_owner() {
    let mut acknowledged = 0;
    for node in 0..3 {
        // Its siblings still hear the controller, or only workers and users do.
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
                sim.run()
                    .unwrap_or_else(|e| panic!("cancelled as the store refused the owner: {e}"));
                let window = START_MS + 60_000..START_MS + 64_000;
                let cancelled =
                    |t: &&(JobStatus, u64)| t.0 == JobStatus::Cancelled && window.contains(&t.1);
                acknowledged += sim.rules.acknowledged.values().filter(cancelled).count();
            }
        }
    }
    assert!(acknowledged > 20, "only {acknowledged} cancellations were acknowledged");
}
