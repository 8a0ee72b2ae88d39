//! Shared parts of the scripts with two faults: three controllers, leases and deadlines of a large deployment.
use leaddeal_testkit::script::Fault;
use leaddeal_testkit::sim::{Plan, Sim};

/// Time within which cancelled tasks must have stopped.
pub const CANCEL_MS: u64 = 30_000;
/// Worker lease as in the operators' largest deployment.
pub const LEASE_MS: u64 = 17_000;

pub fn plan(seed: u64, seconds: u64, script: Vec<(u64, Fault)>) -> Plan {
    let quiet = Plan { seconds, script, random_faults: false, ..Plan::new(seed) };
    Plan { long_tasks: true, team_cpu_quota: 20.0, lease_ms: LEASE_MS, ..quiet }
}

/// Runs the script once with short tasks and once with long ones, each time followed by a fault-free
/// period: the rules hold, and users learn the end of every job that was not cancelled.
pub fn run_short_and_long(what: &str, seed: u64, script: &[(u64, Fault)]) -> Vec<Sim> {
    let one = |long| {
        let plan =
            Plan { fault_free_seconds: 100, long_tasks: long, ..plan(seed, 150, script.to_vec()) };
        let mut sim = Sim::new(plan);
        sim.run().unwrap_or_else(|e| panic!("{what}: {e}"));
        assert!(sim.rules.starts > 60, "{what}: only {} starts", sim.rules.starts);
        sim
    };
    vec![one(false), one(true)]
}

pub fn crash(node: usize, back_ms: u64) -> Fault {
    Fault::Crash { nodes: vec![node], back_ms }
}

pub fn cancel(at: u64) -> (u64, Fault) {
    (at, Fault::CancelJobs { percent: 35 })
}
