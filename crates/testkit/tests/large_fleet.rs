//! A fleet beyond the operators' largest, about 4,000 machines: the bounds on counts, queues and messages
//! must not stand in its way.
use leaddeal_testkit::script::Fault;
use leaddeal_testkit::sim::{Plan, Sim, NODES, START_MS};

/// Machines at the beginning: nine for each unit of the plan's scale.
const SCALE: u32 = 500;
const MACHINES: usize = 4500;

fn run(sim: &mut Sim, ms: u64) {
    sim.run_to(ms).unwrap_or_else(|e| panic!("{e}"));
}

/// 4,500 machines come up, a third of them dies at once, and a second later all controllers end and are
/// back within a fraction of a second, so that every machine knocks at the same time.
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
    let starts_restarted = sim.rules.starts;
    run(&mut sim, 70_000);
    println!(
        "{starts_before} starts before, {} until 40 s, {} in all; loaded after {took_ms} ms",
        starts_restarted, sim.rules.starts
    );
    assert!(sim.rules.starts > starts_restarted, "work goes on after the restart");
    let untold = sim.unacknowledged(20_000);
    assert!(untold.is_empty(), "users were not told of the end of {untold:?}");
}
