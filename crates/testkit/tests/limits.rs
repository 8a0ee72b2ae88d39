//! Teams at their limits: the rules hold whatever fails meanwhile, and what may not run costs nothing.
use leaddeal_testkit::script::Fault;
use leaddeal_testkit::sim::{Plan, Sim, TeamQuotas, START_MS};
use leaddeal_wire::user::{JobKind, JobStatus, Priority};
use std::collections::BTreeSet;

/// Team "tight" asks for several times its limit.
fn tight(seed: u64, script: Vec<(u64, Fault)>) -> Plan {
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

fn played(plan: Plan) -> Sim {
    let mut sim = Sim::new(plan);
    sim.run().unwrap_or_else(|e| panic!("{e}"));
    sim
}

/// Jobs of the tight team all of whose tasks were started.
fn served(sim: &Sim) -> usize {
    let shares = sim.rules.served.shares(START_MS + 200_000, &BTreeSet::from(["tight"]));
    shares.iter().find(|s| s.who == "team tight").map_or(0, |s| s.served)
}

/// Arrays of the tight team that are done, of this priority, and how many were asked for.
fn done(sim: &Sim, priority: Priority) -> (usize, usize) {
    let jobs = sim.rules.jobs.values();
    let those = jobs.filter(|j| {
        j.team == "tight"
            && j.kind == JobKind::Array
            && j.priority == priority
            && !sim.rules.cancel_asked.contains(&j.id)
    });
    let (mut n, mut of) = (0, 0);
    for j in those {
        of += 1;
        n += usize::from(sim.rules.acknowledged.get(&j.id).is_some_and(|t| t.0 == JobStatus::Done));
    }
    (n, of)
}

/// Work that its team's limit keeps from running is not looked at, asked for or rented for. (Before
/// admission, 150 to 190 looks a start and 230 to 310 calls of the cloud.)
#[test]
fn what_may_not_run_costs_nothing() {
    for seed in 1..=3 {
        let sim = played(Plan { count_traffic: true, ..tight(seed, Vec::new()) });
        let (machines_evaluated, starts) = (sim.machines_evaluated(), sim.rules.starts as u64);
        assert!(
            machines_evaluated < starts * 40,
            "seed {seed}: {machines_evaluated} looks at machines for {starts} starts"
        );
        let tally = sim.tally.as_ref().map(|t| t.by_kind.clone()).unwrap_or_default();
        let calls = tally.get("cloud request").map_or(0, |c| c.times);
        assert!(calls < 150, "seed {seed}: {calls} calls of the cloud");
    }
}

/// The owner of the team's shard changes forty times in two minutes.
#[test]
fn forty_owners_of_the_books_in_two_minutes() {
    let script: Vec<(u64, Fault)> = (0..40)
        .map(|i| (40_000 + i * 3000, Fault::Crash { nodes: vec![i as usize % 3], back_ms: 300 }))
        .collect();
    let all: usize = (1..=4).map(|seed| served(&played(tight(seed, script.clone())))).sum();
    assert!(all > 20, "{all} jobs of the team were served in four runs");
}

/// Jobs are cancelled whose machines hang or hear nothing, while the owner changes: what is there
/// counts until it is proven gone.
#[test]
fn cancellations_on_machines_that_hang_or_hear_nothing() {
    let mut all = 0;
    for seed in 1..=12 {
        let script = vec![
            (60_000, Fault::HangMachines { machines: 4, ms: 20_000 }),
            (60_000, Fault::InboundPartition { machines: 4, ms: 25_000 }),
            (60_500, Fault::CancelJobs { percent: 70 }),
            (61_000, Fault::Crash { nodes: vec![seed as usize % 3], back_ms: 9000 }),
            (75_000, Fault::Crash { nodes: vec![(seed as usize + 1) % 3], back_ms: 300 }),
        ];
        all += served(&played(Plan { long_tasks: true, ..tight(seed, script) }));
    }
    assert!(all > 8, "{all} jobs of the team were served in twelve runs");
}

/// Late copies of reports and transactions, controllers apart or alone, and the start after all ended.
#[test]
fn late_copies_lone_controllers_and_a_start_after_all_ended() {
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
        all += served(&played(tight(seed, script)));
    }
    assert!(all > 20, "{all} jobs of the team were served in four runs");
}

/// What is more important in a team at its limit does not wait for its lesser work. (When a
/// coordinator had all that it asked for first, 14 of 104 were done.)
#[test]
fn the_limit_goes_by_priority() {
    let (mut high, mut low) = ((0, 0), (0, 0));
    for seed in 1..=6 {
        let sim = played(tight(seed, Vec::new()));
        for (sum, priorities) in [
            (&mut high, [Priority::High, Priority::Production]),
            (&mut low, [Priority::Low, Priority::Normal]),
        ] {
            for p in priorities {
                let (n, of) = done(&sim, p);
                *sum = (sum.0 + n, sum.1 + of);
            }
        }
    }
    assert!(high.0 * 5 > high.1, "{} of {} urgent arrays are done", high.0, high.1);
    assert!(high.0 * low.1 > 4 * low.0 * high.1, "urgent: {high:?}, others: {low:?}");
}
