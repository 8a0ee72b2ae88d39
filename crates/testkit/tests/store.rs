//! A store near its limit of writes, at the size of a fleet: terminal states are written in time, and writes go
//! where they matter. The simulator checks the rules after each step.
use leaddeal_testkit::script::Fault;
use leaddeal_testkit::sim::{Plan, Sim, START_MS};

/// Writes per second that the settings promise.
const WRITES_PER_S: f64 = 50.0;

struct Measurements {
    /// Number of terminal states written.
    terminal_states: usize,
    /// 90th percentile of the time from the end of the last task to the terminal state, in milliseconds.
    p90_ms: u64,
    /// Longest of these times, in milliseconds.
    longest_ms: u64,
    writes_per_job: f64,
    refused: u64,
    decisions: usize,
}

/// Runs the plan and measures the terminal states that were written after `from` (in milliseconds).
fn run(
    times: u32,
    seconds: u64,
    writes_per_s: f64,
    script: Vec<(u64, Fault)>,
    from: u64,
) -> Measurements {
    let plan =
        Plan { seconds, script, store_changes_per_s: Some(writes_per_s), ..Plan::fleet(11, times) };
    let mut sim = Sim::new(plan);
    sim.run_to(seconds * 1000).unwrap_or_else(|e| panic!("{e}"));
    let later = sim.observations.terminal_states.iter().filter(|f| f.0 > START_MS + from);
    let mut lags: Vec<u64> = later.map(|f| f.1).collect();
    lags.sort_unstable();
    let (changes, refused, decisions) = sim.store_counts("d/");
    let jobs = sim.rules.accepted.len();
    let seen = Measurements {
        terminal_states: lags.len(),
        p90_ms: lags.get(lags.len() * 9 / 10).copied().unwrap_or(0),
        longest_ms: lags.last().copied().unwrap_or(0),
        writes_per_job: changes as f64 / jobs as f64,
        refused,
        decisions,
    };
    println!(
        "{times} times 90 machines, {writes_per_s} writes/s: {} starts, {jobs} jobs, {} terminal states after \
         {} ms (p90), {} ms; {:.1} writes per job, {refused} refused, {decisions} decisions kept",
        sim.rules.starts, seen.terminal_states, seen.p90_ms, seen.longest_ms, seen.writes_per_job
    );
    seen
}

/// Guards against late terminal states when the store is at its limit of writes.
#[test]
fn reports_terminal_states_at_store_limit() {
    // The load is one and a half times what the store can take, so new jobs are refused early.
    let s = run(20, 90, WRITES_PER_S, Vec::new(), 0);
    assert!(s.terminal_states > 500, "only {} terminal states", s.terminal_states);
    assert!(
        s.p90_ms < 17_000 && s.longest_ms < 30_000,
        "terminal states after {} ms (p90) and {} ms (longest)",
        s.p90_ms,
        s.longest_ms
    );
    assert!(s.writes_per_job < 5.0 && s.decisions < 400 && s.refused < 300);
}

/// Guards against late terminal states when the store takes only half of the writes that the settings
/// promise.
#[test]
fn reports_terminal_states_at_half_store_limit() {
    let s = run(20, 90, WRITES_PER_S / 2.0, Vec::new(), 0);
    assert!(s.terminal_states > 250, "only {} terminal states", s.terminal_states);
    assert!(
        s.p90_ms < 9000 && s.longest_ms < 20_000,
        "terminal states after {} ms (p90) and {} ms (longest)",
        s.p90_ms,
        s.longest_ms
    );
    assert!(s.decisions < 250 && s.refused < 600);
}

/// Guards against late terminal states after an outage of the store, and while one controller owns all
/// shards.
#[test]
fn reports_terminal_states_after_outage_and_failover() {
    let outage =
        run(14, 90, WRITES_PER_S, vec![(30_000, Fault::StoreOutage { ms: 25_000 })], 55_000);
    assert!(
        outage.terminal_states > 180,
        "{} terminal states in 35 s after the outage",
        outage.terminal_states
    );
    let single = Fault::Crash { nodes: vec![1, 2], back_ms: 200_000 };
    let single = run(14, 90, WRITES_PER_S, vec![(20_000, single)], 30_000);
    assert!(
        single.terminal_states > 350 && single.p90_ms < 20_000,
        "{} terminal states after {} ms (p90)",
        single.terminal_states,
        single.p90_ms
    );
}

/// Guards against slow loading and unreported terminal states after a crash of all controllers with 2,790
/// machines and a store at its limit of writes.
#[test]
fn loads_shards_after_full_restart_at_store_limit() {
    let all = Fault::Crash { nodes: vec![0, 1, 2], back_ms: 3000 };
    let plan = Plan { seconds: 60, store_changes_per_s: Some(WRITES_PER_S), ..Plan::fleet(7, 31) };
    let mut sim = Sim::new(Plan { script: vec![(25_000, all)], ..plan });
    sim.run_to(60_000).unwrap_or_else(|e| panic!("{e}"));
    let (at, shards) = sim.observations.loaded_after(START_MS + 25_000);
    let terminal_states =
        sim.observations.terminal_states.iter().filter(|f| f.0 > START_MS + 28_000).count();
    println!(
        "{shards} shards loaded {} ms after the crash; {terminal_states} terminal states",
        at - START_MS - 25_000
    );
    assert!(
        shards == 3 && at < START_MS + 25_000 + 9000,
        "{shards} shards loaded, the last one at {at} ms of simulated time"
    );
    assert!(
        terminal_states > 150,
        "{terminal_states} terminal states written in 32 s after the restart"
    );
}
