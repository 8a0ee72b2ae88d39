//! The hard cases of takeover and recovery at the size of a fleet, with counted bounds. The rules
//! are checked after each step, as everywhere.
use leaddeal_testkit::script::Fault;
use leaddeal_testkit::sim::{Plan, Sim, NODES, START_MS};
use std::collections::BTreeSet;

/// A fleet of 90 machines, times so many, and the faults.
fn fleet(times: u32, seconds: u64, script: Vec<(u64, Fault)>) -> Sim {
    Sim::new(Plan { seconds, script, ..Plan::fleet(7, times) })
}

fn run(sim: &mut Sim, ms: u64) {
    sim.run_to(ms).unwrap_or_else(|e| panic!("{e}"));
}

fn pages(sim: &Sim) -> u64 {
    sim.observations.pages
}

/// What is over is not read again, and open jobs are read in pages: a shard with 20,000 closed and
/// 2,000 open jobs is there soon, also while the state service answers slowly.
#[test]
fn a_shard_with_a_long_past_is_loaded_by_what_is_open() {
    let slow = Fault::SlowStore { ms: 60_000, by_ms: 300 };
    let crash = Fault::Crash { nodes: vec![0], back_ms: 120_000 };
    let script = vec![(20_000, slow), (20_000, crash)];
    let few = Plan {
        seconds: 60,
        script,
        preloaded_open_jobs: 6000,
        preloaded_terminal_jobs: 600,
        ..Plan::fleet(7, 1)
    };
    let many = Plan { preloaded_terminal_jobs: 60_000, ..few.clone() };
    let read = |plan: Plan| {
        let mut sim = Sim::new(plan);
        run(&mut sim, 20_000);
        let before = pages(&sim);
        run(&mut sim, 45_000);
        let (at, shards) = sim.observations.loaded_after(START_MS + 20_000);
        assert_eq!(shards, 1, "the shard of the dead one is loaded");
        (at - START_MS - 20_000, pages(&sim) - before)
    };
    let (few, many) = (read(few), read(many));
    println!("ms to load and pages: {few:?} with few closed jobs, {many:?} with many");
    assert!(many.1 <= 20, "{} pages for 2,000 open jobs", many.1);
    assert_eq!(few.1, many.1, "closed jobs are not read");
    assert!(many.0 < 14_000, "{} ms, of which the lease takes 4,000", many.0);
}

/// All controllers end and come back at once, and every worker of 1,260 knocks.
#[test]
fn three_controllers_come_back_to_a_fleet_that_knocks() {
    let all = Fault::Crash { nodes: (0..NODES).collect(), back_ms: 3000 };
    let mut sim = fleet(14, 40, vec![(20_000, all)]);
    run(&mut sim, 20_000);
    let calls = sim.observations.store_calls;
    run(&mut sim, 32_000);
    let (at, shards) = sim.observations.loaded_after(START_MS + 20_000);
    println!("all shards loaded {} ms after the crash", at - START_MS - 20_000);
    assert_eq!(shards, NODES, "each shard is loaded once");
    assert!(at < START_MS + 20_000 + 9000, "{} ms", at - START_MS - 20_000);
    let calls = sim.observations.store_calls - calls;
    println!("{calls} calls of the state service in 12 s");
    assert!(calls < 1700, "{calls} calls of the state service in 12 s");
}

/// A third of the machines dies in one second while others hang for longer than a lease: what
/// ran there runs elsewhere as soon as it is proven gone. (One seed said little: with the same code 19
/// of 20 ran again within 18 s in 28 seeds of 60.)
#[test]
fn replicas_of_dead_and_hung_machines_run_again() {
    let all: Vec<(u64, u64)> = (1..=9).map(half_and_most_run_again).collect();
    let (mut half, mut most): (Vec<u64>, Vec<u64>) = all.iter().copied().unzip();
    half.sort_unstable();
    most.sort_unstable();
    // The lease takes 8 s; then the image and a start, and for the last ones a machine more.
    let (middle, last) = (all.len() / 2, all.len() - 1);
    assert!(half[middle] < 10_000 && half[last] < 12_000, "half run again after {half:?}");
    assert!(most[middle] < 20_000 && most[last] < 30_000, "19 of 20 run again after {most:?}");
}

/// How many milliseconds after the loss half of the lost replicas, and 19 of 20, run again.
fn half_and_most_run_again(seed: u64) -> (u64, u64) {
    let die = Fault::LoseMachines { machines: 200 };
    let hang = Fault::HangMachines { machines: 108, ms: 14_000 };
    let script = vec![(20_000, die), (20_000, hang)];
    let mut sim = Sim::new(Plan { seconds: 60, script, ..Plan::fleet(seed, 7) });
    run(&mut sim, 19_900);
    let before = sim.running_service_tasks();
    run(&mut sim, 20_200);
    let lost: BTreeSet<String> = before.difference(&sim.running_service_tasks()).cloned().collect();
    assert!(lost.len() > 20, "too few were lost to say anything: {}", lost.len());
    let mut at = 20_200;
    let mut half = 0;
    loop {
        let up = sim.running_service_tasks();
        let missing = lost.iter().filter(|t| sim.is_wanted(t) && !up.contains(*t)).count();
        if half == 0 && missing * 2 <= lost.len() {
            half = at;
        }
        if missing * 20 <= lost.len() || at >= 60_000 {
            break;
        }
        at += 250;
        run(&mut sim, at);
    }
    (half - 20_000, at - 20_000)
}

/// A controller without processor time for 40 s wakes up with all that came meanwhile, and neither
/// acts on it under its old epoch nor falls over it; and it gets its shard back only once it has been
/// steady for a while.
#[test]
fn a_frozen_controller_wakes_up_with_a_backlog() {
    let freeze = Fault::FreezeNode { node: 0, ms: 40_000 };
    let mut sim = fleet(4, 100, vec![(20_000, freeze)]);
    run(&mut sim, 75_000);
    let (_, shards) = sim.observations.loaded_after(START_MS + 20_000);
    assert_eq!(shards, 1, "taken over, and not given back at once");
    run(&mut sim, 95_000);
    let (_, shards) = sim.observations.loaded_after(START_MS + 20_000);
    assert!((2..=4).contains(&shards), "taken over, and given back: {shards} shards loaded");
}

/// Controllers refuse each other's connections while a shard is taken over, and a zone is cut off
/// while a shard moves.
#[test]
fn takeovers_while_connections_fail() {
    let crash = Fault::Crash { nodes: vec![1], back_ms: 8000 };
    let apart = Fault::PeerPartition { ms: 25_000 };
    let cut = Fault::ZonePartition { zone: "b", ms: 20_000 };
    for faults in [vec![apart.clone()], vec![cut.clone()], vec![apart, cut]] {
        let script = faults.into_iter().map(|f| (19_000, f)).chain([(20_000, crash.clone())]);
        let mut sim = fleet(3, 70, script.collect());
        run(&mut sim, 70_000);
        let (_, shards) = sim.observations.loaded_after(START_MS + 20_000);
        assert!(shards >= 2, "the shard was taken over and went home: {shards}");
        assert!(sim.rules.starts > 500, "only {} starts", sim.rules.starts);
    }
}

/// The largest share of the replicas that ran before the fault and were not up at some time in the
/// minute after it.
fn most_down(fault: Fault) -> f64 {
    let plan = Plan { seconds: 90, script: vec![(20_000, fault)], ..Plan::fleet(7, 7) };
    // As of the operators: a time-out of 4 s and a second more are not nearly all of it.
    let mut sim = Sim::new(Plan { lease_ms: 12_000, ..plan });
    run(&mut sim, 19_900);
    let before = sim.running_service_tasks();
    let mut most: f64 = 0.0;
    for at in (20_000..80_000).step_by(500) {
        run(&mut sim, at);
        let up = sim.running_service_tasks();
        let wanted = before.iter().filter(|t| sim.is_wanted(t));
        let (all, down) = wanted.fold((0, 0), |n, t| (n.0 + 1, n.1 + usize::from(!up.contains(t))));
        most = most.max(down as f64 / f64::from(all.max(1)));
    }
    println!("{} replicas, at most {most:.2} of them down", before.len());
    most
}

/// Found on incidents: its siblings sent the workers back to a controller that they could not reach.
#[test]
fn no_lease_runs_out_while_a_controller_is_cut_from_its_workers_alone() {
    assert!(most_down(Fault::WorkerPartition { node: 0, ms: 40_000 }) < 0.05);
}

/// It lets its workers go in time, and a successor is in office by then.
#[test]
fn replicas_outlive_a_controller_that_hears_only_workers() {
    for ms in [10_000, 40_000, 120_000] {
        assert!(most_down(Fault::StoreAndPeerPartition { node: 1, ms }) < 0.05, "for {ms} ms");
    }
}

/// What can be neither answered nor commanded is proven gone by its new sessions, and its work goes
/// on elsewhere; nobody storms the state service meanwhile.
#[test]
fn a_fifth_of_the_machines_is_deaf_for_a_minute() {
    let calls = |script| {
        let mut sim = fleet(7, 90, script);
        run(&mut sim, 20_000);
        let before = sim.observations.store_calls;
        run(&mut sim, 80_000);
        (sim.observations.store_calls - before, sim.rules.starts)
    };
    let quiet = calls(Vec::new());
    let deaf = calls(vec![(20_000, Fault::InboundPartition { machines: 126, ms: 60_000 })]);
    println!(
        "calls of the state service in a minute, and starts: {quiet:?}, with deaf ones {deaf:?}"
    );
    assert!(deaf.0 < quiet.0 * 3 / 2, "{} calls instead of {}", deaf.0, quiet.0);
    assert!(deaf.1 * 10 > quiet.1 * 6, "{} starts instead of {}", deaf.1, quiet.1);
}

/// The operators' troubles on top of each other, and then none: the rules hold, every job is still
/// answered about, and nobody is served less than half.
#[test]
fn the_operators_troubles_together() {
    let script = vec![
        (20_000, Fault::FrequentPolls { ms: 60_000 }),
        (21_000, Fault::Crash { nodes: vec![0], back_ms: 200 }),
        (21_300, Fault::Crash { nodes: vec![1], back_ms: 200 }),
        (40_000, Fault::FreezeNode { node: 1, ms: 6000 }),
        (47_000, Fault::FreezeNode { node: 1, ms: 25_000 }),
        (50_000, Fault::InboundPartition { machines: 5, ms: 40_000 }),
        (60_000, Fault::RestartWorkers { machines: 4 }),
        (60_300, Fault::RestartWorkers { machines: 4 }),
        (65_000, Fault::FailTasks { machines: 3, ms: 30_000 }),
        (80_000, Fault::StoreAndPeerPartition { node: 2, ms: 40_000 }),
        (100_000, Fault::WorkerPartition { node: 0, ms: 40_000 }),
        (120_000, Fault::FrequentPolls { ms: 30_000 }),
        (121_000, Fault::StoreAndPeerPartition { node: 0, ms: 10_000 }),
        (121_100, Fault::Crash { nodes: vec![1, 2], back_ms: 100 }),
    ];
    for seed in 1..=3 {
        let plan = Plan { seconds: 180, script: script.clone(), scale: 3, ..Plan::new(seed) };
        let mut sim = Sim::new(Plan { fault_free_seconds: 100, team_cpu_quota: 20.0, ..plan });
        run(&mut sim, 280_000);
        let under: Vec<_> =
            sim.groups_under_half_served().into_iter().filter(|s| s.of > 3).collect();
        assert!(under.is_empty(), "seed {seed}: served less than half: {under:?}");
        assert!(sim.rules.starts > 200, "only {} starts", sim.rules.starts);
    }
}
