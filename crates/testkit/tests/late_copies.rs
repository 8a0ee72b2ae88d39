//! Late copies of requests that were carried out and answered: nothing may happen a second time.
use common::{cancel, crash, run_short_and_long, CANCEL_MS};
use leaddeal_testkit::script::{CopiedKind, Fault};

mod common;

/// Seeds of each script.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;
/// Time within which messages are copied.
const COPIES_MS: u64 = 150_000;

/// Runs the script with copies of half of the messages of one kind, and checks the rules after each step.
fn run(of: CopiedKind, script: &[(u64, Fault)]) {
    let copies = (0, Fault::LateCopies { of, percent: 50, ms: COPIES_MS });
    let script: Vec<_> = script.iter().cloned().chain([copies]).collect();
    for seed in SEEDS {
        for sim in run_short_and_long(&format!("copies of {of:?}"), seed, &script) {
            let copies = sim.observations.late_copies.get(&of).copied().unwrap_or(0);
            assert!(copies > 0, "copies of {of:?}, seed {seed}: there were none");
        }
    }
}

/// Tasks fail and move to other machines, while controllers and workers are back within a second.
fn moves() -> Vec<(u64, Fault)> {
    let fail = |at| (at, Fault::FailTasks { machines: 4, ms: 6000 });
    let restart = |at| (at, Fault::RestartWorkers { machines: 3 });
    let fails = (20_000..120_000).step_by(20_000).map(fail);
    let crashes = (0..6).map(|i| (25_000 + i * 17_000, crash(i as usize % 3, 400)));
    fails.chain(crashes).chain([restart(50_000), restart(95_000)]).collect()
}

/// Users cancel, while controllers are back within a second and one reaches no workers for a while.
fn cancellations() -> Vec<(u64, Fault)> {
    let cancels = (30_000..140_000).step_by(10_000).map(cancel);
    let crashes = (0..4).map(|i| (31_000 + i * 23_000, crash(i as usize % 3, 400)));
    let partition = (60_000, Fault::WorkerPartition { node: 1, ms: CANCEL_MS });
    cancels.chain(crashes).chain([partition]).collect()
}

fn run_both(of: CopiedKind) {
    run(of, &moves());
    run(of, &cancellations());
}

/// Guards against a second run of a task that failed or was moved, by a copy of its answered start.
#[test]
fn copy_of_answered_start_runs_no_moved_task_again() {
    run(CopiedKind::Commands, &moves());
}

/// Guards against a cancelled task that runs again, by a copy of its answered start.
#[test]
fn copy_of_answered_start_runs_no_cancelled_task_again() {
    run(CopiedKind::Commands, &cancellations());
}

/// Guards against a second run of a task by a copy of the message that placed it.
#[test]
fn copies_of_messages_between_controllers_change_nothing() {
    run_both(CopiedKind::PeerMessages);
}

#[test]
fn copies_of_heartbeats_change_nothing() {
    run_both(CopiedKind::Heartbeats);
}

#[test]
fn copies_of_store_calls_change_nothing() {
    run_both(CopiedKind::StoreCalls);
}

#[test]
fn copies_of_launches_and_releases_change_nothing() {
    run_both(CopiedKind::CloudCalls);
}

#[test]
fn copies_of_submissions_and_cancellations_change_nothing() {
    run_both(CopiedKind::UserRequests);
}
