//! A fleet larger than the operators' largest of about 4,000 machines: the bounds on counts, queues and messages
//! must be sufficient.
use leaddeal_testkit::script::Fault;
use leaddeal_testkit::sim::{Plan, Sim, NODES, START_MS};

/// Scale of the plan, in units of nine machines.
const SCALE: u32 = 500;
/// Machines at the beginning of the run.
const MACHINES: usize = 4500;

fn run(sim: &mut Sim, ms: u64) {
    sim.run_to(ms).unwrap_or_else(|e| panic!("{e}"));
}

/// Guards against an overload at a restart: a third of 4,500 machines dies at once, and a second later all
/// controllers crash and are back within a fraction of a second, so that every worker reconnects at the
/// same time.
#[test]
fn four_thousand_five_hundred_machines_survive_the_loss_of_a_third_and_a_restart_of_all() {
    let die = Fault::LoseMachines { machines: MACHINES / 3 };
    let restart = Fault::Crash { nodes: (0..NODES).collect(), back_ms: 200 };
    let script = vec![(20_000, die), (21_000, restart)];
    let base = Plan { scale: SCALE, submission_rate: 40, seconds: 70, script, ..Plan::fleet(5, 1) };
    let mut sim = Sim::new(Plan { team_cpu_quota: 15_000.0, ..base });
    run(&mut sim, 20_000);
    let starts_before = sim.rules.starts;
    run(&mut sim, 40_000);
    let (loaded_at, shards) = sim.observations.loaded_after(START_MS + 21_000);
    assert_eq!(shards, NODES, "each shard is loaded once after the restart");
    let took_ms = loaded_at - START_MS - 21_000;
    assert!(took_ms < 6000, "shards loaded {took_ms} ms after the restart");
    let starts_after_restart = sim.rules.starts;
    run(&mut sim, 70_000);
    println!(
        "{starts_before} starts before, {} until 40 s, {} in all; loaded after {took_ms} ms",
        starts_after_restart, sim.rules.starts
    );
    assert!(sim.rules.starts > starts_after_restart, "tasks start after the restart");
    let unacknowledged_jobs = sim.unacknowledged(20_000);
    assert!(
        unacknowledged_jobs.is_empty(),
        "the ends of these jobs were not acknowledged: {unacknowledged_jobs:?}"
    );
}
