//! A state service near its limit, at the size of a fleet: what is over is told, and changes are
//! spent where they count. The rules are checked after each step, as everywhere.
use leaddeal_testkit::script::Fault;
use leaddeal_testkit::sim::{Plan, Sim, START_MS};

/// Changes a second that the settings promise.
const LIMIT: f64 = 50.0;

struct Seen {
    /// Final states written, and their lag behind the last task: nine of ten, and the longest.
    finals: usize,
    p90: u64,
    longest: u64,
    changes_a_job: f64,
    refused: u64,
    decisions: usize,
}

/// Plays it; final states are judged that were written after `from`.
fn play(times: u32, seconds: u64, store: f64, script: Vec<(u64, Fault)>, from: u64) -> Seen {
    let plan = Plan { seconds, script, store_changes_per_s: Some(store), ..Plan::fleet(11, times) };
    let mut sim = Sim::new(plan);
    sim.run_to(seconds * 1000).unwrap_or_else(|e| panic!("{e}"));
    let later = sim.observations.terminal_states.iter().filter(|f| f.0 > START_MS + from);
    let mut lags: Vec<u64> = later.map(|f| f.1).collect();
    lags.sort_unstable();
    let (changes, refused, decisions) = sim.store_counts("d/");
    let jobs = sim.rules.accepted.len();
    let seen = Seen {
        finals: lags.len(),
        p90: lags.get(lags.len() * 9 / 10).copied().unwrap_or(0),
        longest: lags.last().copied().unwrap_or(0),
        changes_a_job: changes as f64 / jobs as f64,
        refused,
        decisions,
    };
    println!(
        "{times} times 90 machines, {store} changes/s: {} starts, {jobs} jobs, {} finals after \
         {} ms (p90), {} ms; {:.1} changes a job, {refused} refused, {decisions} decisions kept",
        sim.rules.starts, seen.finals, seen.p90, seen.longest, seen.changes_a_job
    );
    seen
}

#[test]
fn what_is_over_is_told_by_a_store_at_its_limit() {
    // Half as much again comes in as it can take: new jobs are refused early instead.
    let s = play(20, 90, LIMIT, Vec::new(), 0);
    assert!(s.finals > 500, "{} finals", s.finals);
    assert!(s.p90 < 17_000 && s.longest < 30_000, "{} and {} ms", s.p90, s.longest);
    assert!(s.changes_a_job < 5.0 && s.decisions < 400 && s.refused < 300);
}

#[test]
fn and_by_one_that_takes_half_of_what_was_promised() {
    let s = play(20, 90, LIMIT / 2.0, Vec::new(), 0);
    assert!(s.finals > 250, "{} finals", s.finals);
    assert!(s.p90 < 9000 && s.longest < 20_000, "{} and {} ms", s.p90, s.longest);
    assert!(s.decisions < 250 && s.refused < 600);
}

#[test]
fn and_after_an_outage_and_by_one_controller_with_all_shards() {
    let outage = play(14, 90, LIMIT, vec![(30_000, Fault::StoreOutage { ms: 25_000 })], 55_000);
    assert!(outage.finals > 180, "{} finals in 35 s after the outage", outage.finals);
    let alone = Fault::Crash { nodes: vec![1, 2], back_ms: 200_000 };
    let alone = play(14, 90, LIMIT, vec![(20_000, alone)], 30_000);
    assert!(alone.finals > 350 && alone.p90 < 20_000, "{} after {} ms", alone.finals, alone.p90);
}

/// All controllers end at 2,790 machines, with a store at its limit: shards are loaded soon, and what
/// was over by then is told.
#[test]
fn after_all_controllers_ended_at_five_times_a_fleet() {
    let all = Fault::Crash { nodes: vec![0, 1, 2], back_ms: 3000 };
    let plan = Plan { seconds: 60, store_changes_per_s: Some(LIMIT), ..Plan::fleet(7, 31) };
    let mut sim = Sim::new(Plan { script: vec![(25_000, all)], ..plan });
    sim.run_to(60_000).unwrap_or_else(|e| panic!("{e}"));
    let (at, shards) = sim.observations.loaded_after(START_MS + 25_000);
    let told = sim.observations.terminal_states.iter().filter(|f| f.0 > START_MS + 28_000).count();
    println!("{shards} shards loaded {} ms after the crash; {told} finals", at - START_MS - 25_000);
    assert!(shards == 3 && at < START_MS + 25_000 + 9000, "{shards} shards, {at}");
    assert!(told > 150, "{told} finals told in 32 s after the restart");
}
