//! Teams at their quotas: the rules hold under faults, and work beyond the quota costs nothing.
use leaddeal_testkit::script::Fault;
use leaddeal_testkit::sim::{Plan, Sim, TeamQuotas, START_MS};
use leaddeal_wire::user::{JobKind, JobStatus, Priority};
use std::collections::BTreeSet;

/// Team "tight" submits several times its quota.
fn plan(seed: u64, script: Vec<(u64, Fault)>) -> Plan {
    let one = Plan { teams: TeamQuotas::OneOfTwo, max_gang_tasks: 1, ..Plan::new(seed) };
    Plan {
        team_cpu_quota: 4.0,
        random_faults: false,
        script,
        submission_rate: 2,
        array_tasks_limit: 40,
        ..one
    }
}

/// Runs the plan and returns the simulator.
fn run(plan: Plan) -> Sim {
    let mut sim = Sim::new(plan);
    sim.run().unwrap_or_else(|e| panic!("{e}"));
    sim
}

/// Returns the number of jobs of the tight team whose tasks were all started.
fn served_jobs(sim: &Sim) -> usize {
    let shares = sim.rules.served.shares(START_MS + 200_000, &BTreeSet::from(["tight"]));
    shares.iter().find(|s| s.who == "team tight").map_or(0, |s| s.served)
}

/// Returns how many arrays of the tight team with this priority are done, and how many were submitted and
/// not cancelled.
fn completed_arrays(sim: &Sim, priority: Priority) -> (usize, usize) {
    let jobs = sim.rules.jobs.values();
    let arrays = jobs.filter(|j| {
        j.team == "tight"
            && j.kind == JobKind::Array
            && j.priority == priority
            && !sim.rules.cancel_requested.contains(&j.id)
    });
    let (mut done, mut submitted) = (0, 0);
    for j in arrays {
        submitted += 1;
        done +=
            usize::from(sim.rules.acknowledged.get(&j.id).is_some_and(|t| t.0 == JobStatus::Done));
    }
    (done, submitted)
}

/// Guards against spending on work that its team's quota keeps from running: no machine is evaluated,
/// requested or rented for it. Without admission, a start took 150 to 190 evaluations of machines, and a
/// run 230 to 310 cloud calls.
#[test]
fn work_beyond_quota_costs_nothing() {
    for seed in 1..=3 {
        let sim = run(Plan { count_traffic: true, ..plan(seed, Vec::new()) });
        let (machines_evaluated, starts) = (sim.machines_evaluated(), sim.rules.starts as u64);
        assert!(
            machines_evaluated < starts * 40,
            "seed {seed}: {machines_evaluated} machines evaluated for {starts} starts"
        );
        let tally = sim.tally.as_ref().map(|t| t.by_kind.clone()).unwrap_or_default();
        let calls = tally.get("cloud request").map_or(0, |c| c.times);
        assert!(calls < 150, "seed {seed}: {calls} cloud calls");
    }
}

/// Guards against lost quota state: the owner of the team's shard changes forty times in two minutes.
#[test]
fn quota_holds_through_forty_owner_changes() {
    let script: Vec<(u64, Fault)> = (0..40)
        .map(|i| (40_000 + i * 3000, Fault::Crash { nodes: vec![i as usize % 3], back_ms: 300 }))
        .collect();
    let all: usize = (1..=4).map(|seed| served_jobs(&run(plan(seed, script.clone())))).sum();
    assert!(all > 20, "{all} jobs of the team were served in four runs");
}

/// Guards against exceeding a quota: jobs are cancelled on machines that hang or receive nothing while the
/// owner changes. Their tasks count until they are proven gone.
#[test]
fn quota_counts_cancelled_tasks_until_gone() {
    let mut all = 0;
    for seed in 1..=12 {
        let script = vec![
            (60_000, Fault::HangMachines { machines: 4, ms: 20_000 }),
            (60_000, Fault::InboundPartition { machines: 4, ms: 25_000 }),
            (60_500, Fault::CancelJobs { percent: 70 }),
            (61_000, Fault::Crash { nodes: vec![seed as usize % 3], back_ms: 9000 }),
            (75_000, Fault::Crash { nodes: vec![(seed as usize + 1) % 3], back_ms: 300 }),
        ];
        all += served_jobs(&run(Plan { long_tasks: true, ..plan(seed, script) }));
    }
    assert!(all > 8, "{all} jobs of the team were served in twelve runs");
}

/// Guards against exceeding a quota under late copies of heartbeats and late writes, isolated or
/// partitioned controllers, and a restart of all controllers.
#[test]
fn quota_holds_under_late_copies_and_partitions() {
    let mut all = 0;
    for seed in 1..=4 {
        let script = vec![
            (30_000, Fault::LateHeartbeatCopies { percent: 40, ms: 120_000 }),
            (30_000, Fault::LateWrites { percent: 10, ms: 60_000 }),
            (50_000, Fault::StoreAndPeerPartition { node: 0, ms: 20_000 }),
            (80_000, Fault::PeerPartition { ms: 10_000 }),
            (100_000, Fault::PairPartition { nodes: (1, 2), ms: 20_000 }),
            (130_000, Fault::Crash { nodes: vec![0, 1, 2], back_ms: 4000 }),
        ];
        all += served_jobs(&run(plan(seed, script)));
    }
    assert!(all > 20, "{all} jobs of the team were served in four runs");
}

/// Guards against priority inversion: in a team at its quota, high-priority work must not wait for low-
/// priority work. When a coordinator was first granted all that it requested, 14 of 104 arrays were done.
#[test]
fn quota_is_granted_by_priority() {
    let (mut high, mut low) = ((0, 0), (0, 0));
    for seed in 1..=6 {
        let sim = run(plan(seed, Vec::new()));
        for (sum, priorities) in [
            (&mut high, [Priority::High, Priority::Production]),
            (&mut low, [Priority::Low, Priority::Normal]),
        ] {
            for p in priorities {
                let (done, submitted) = completed_arrays(&sim, p);
                *sum = (sum.0 + done, sum.1 + submitted);
            }
        }
    }
    assert!(high.0 * 5 > high.1, "{} of {} high-priority arrays are done", high.0, high.1);
    assert!(high.0 * low.1 > 4 * low.0 * high.1, "high priority: {high:?}, low priority: {low:?}");
}
