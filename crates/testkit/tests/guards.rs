//! Every guard of the core is needed: with the guard disabled, a history of faults violates an invariant
//! that it keeps with the guard. `docs/meetings.md` has the table. Guards that a unit test beside their
//! code covers are named in `COVERED_BY_UNIT_TEST`.
use leaddeal_core::guards::{with_guards_disabled, Guard};
use leaddeal_testkit::histories::History::{self, *};
use leaddeal_testkit::sim::Sim;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The guards that are disabled, the history, and the rule that is violated. If there are two guards, either
/// of them alone is enough to keep the rule.
type Coverage = (&'static [Guard], History, &'static str);

const COVERED_BY_HISTORY: &[Coverage] = &[
    (&[Guard::WritesFencedByEpoch], LateFinals, "went_back"),
    (&[Guard::UserAnswerNeedsValidLease], SlowThenAlone, "went_back"),
    (&[Guard::StopIgnoresLease], DeafThenOutage, "ran_cancelled"),
    (&[Guard::LeaseCountedFromSend], SlowThenAlone, "went_back"),
    (&[Guard::DecisionWrittenOnce], LateWrites, "written_again"),
    (&[Guard::CompactionWrittenOnce], LateWrites, "written_again"),
    (&[Guard::CancellationWrittenOnce], LateWrites, "written_again"),
    (&[Guard::NoSubmissionAfterTermination], Gap, "went_back"),
    (&[Guard::SubmissionDurableBeforeAck], LateWrites, "forgotten"),
    (&[Guard::CancellationDurableBeforeAck], Gap, "went_back"),
    (&[Guard::DecisionDurableBeforeStart], LateWrites, "ran_twice"),
    (&[Guard::StateWithheldDuringTermination], ApartLate, "went_back"),
    (&[Guard::JobReadBeforeTerminalState], ApartLate, "forgotten"),
    (&[Guard::AnswersStopAfterGracePeriod], GapForgotten, "ran_cancelled"),
    // If the store is not read for a silent owner, its horizon does not advance and workers get no answers.
    (
        &[Guard::SilentOwnerReadFromStore, Guard::AnswersStopAfterGracePeriod],
        Apart,
        "ran_cancelled",
    ),
    (&[Guard::OlderStatusIgnored], OldReports, "ran_twice"),
    (&[Guard::AbsenceNeedsConfirmedToken], OldReports, "ran_twice"),
    (&[Guard::PreviousOwnersTimedOut], AloneThenCut, "ran_twice"),
    (&[Guard::AllSiblingsKnowEpoch], AloneThenCut, "ran_twice"),
    (&[Guard::HeartbeatEndsOwnership], Refused, "ran_twice"),
    // Placements by an earlier owner are of attempts that were removed, mostly.
    (&[Guard::OutdatedSenderRejected, Guard::RemovedAttemptNotPlaced], FrozenDeciding, "ran_twice"),
    (&[Guard::AttemptNumberIncludesEpoch], OverAndBack, "ran_twice"),
    // Each of the two stops tasks that the other one does not reach.
    (&[Guard::StopResent, Guard::HeartbeatsNameCancellations], LateFinals, "ran_cancelled"),
    (&[Guard::TerminalJobStoppedByParticipant], Apart, "ran_cancelled"),
    (&[Guard::UnansweredStartRemembered], HeldUp, "ran_twice"),
    (&[Guard::ForgetNeedsNewerToken], CommandCopies, "ran_twice"),
    (&[Guard::CompletionNeedsAllTasks], Gap, "not_done"),
    (&[Guard::DecisionRecordKeptWhileLive], OldReports, "ran_twice"),
    (&[Guard::NewestAttemptAdopted], OldReports, "ran_twice"),
    (&[Guard::TerminatedJobTasksAdopted], ConfirmedThenEnded, "quota"),
    (&[Guard::GrantsAwaitAllReports], OverAndBack, "quota"),
    (&[Guard::GrantsCountOtherShares], Gap, "quota"),
    (&[Guard::DecisionWithinGrant], Gap, "quota"),
    (&[Guard::PossibleTasksCountedInZone], Gap, "wrong_place"),
    (&[Guard::InstanceRequestNamedByEpoch], OldReports, "name_reused"),
];

/// Guards covered by unit tests beside their code (`tests_fail_without_their_guards`), which CI runs with the
/// feature `guards`.
const COVERED_BY_UNIT_TEST: &[Guard] = &[
    Guard::RelinquishedEpochRejected,
    Guard::StartNeedsValidLease,
    Guard::ClockDriftAllowance,
    Guard::RefusalInconclusiveAfterUnknownTry,
    Guard::LateSubmissionResponseIgnored,
    Guard::AssertionDatedByEcho,
    Guard::HorizonExcludesUncertainLease,
    Guard::HorizonNeedsPeerStatements,
    Guard::HorizonNeedsPredecessorLimit,
    Guard::HeartbeatsNameCancellations,
    Guard::LateHeartbeatGrantsNoLease,
    Guard::LeaseCountedFromTokenConfirmation,
    Guard::LeasePerIncarnation,
    Guard::StartBoundToIncarnation,
    Guard::AdoptedTaskNotStarted,
    Guard::StartInFlightRemembered,
    Guard::NoTasksWhileInTwoZones,
    Guard::LateAssignmentStopped,
    Guard::RemovedAttemptNotPlaced,
];

/// Guards without which no test fails yet: gaps in the tests, or guards implied by others
/// (`docs/meetings.md`).
const NOT_COVERED: &[Guard] = &[
    Guard::MachineLossNeedsValidLease,
    Guard::AcquisitionNeedsValidLease,
    Guard::OlderEpochNotOwned,
    Guard::TerminalStatesReadWithMargin,
    Guard::UncertainReleaseEndsOwnership,
    Guard::GrantBoundToEpoch,
];

/// Number of seeds that are tried, since the seed that violates the rule changes with the random draws of the
/// simulator.
const SEEDS: u64 = 40;
/// Threads that run histories in parallel.
const THREADS: usize = 4;

/// Returns the first seed that violates the rule without the guards, and when, in milliseconds of simulated
/// time.
fn first_violation(&(guards, history, rule): &Coverage) -> Option<(u64, u64)> {
    (1..=SEEDS).find_map(|seed| {
        let broken = with_guards_disabled(guards, || Sim::new(history.plan(seed)).run()).err()?;
        let (at, what) = broken.strip_prefix("at ")?.split_once(" ms: ")?;
        let at = at.parse().ok().filter(|_| what.starts_with(rule))?;
        let alone = |g: &[Guard]| {
            with_guards_disabled(g, || Sim::new(history.plan(seed)).run_to(at)).is_ok()
        };
        (guards.len() == 1 || guards.chunks(1).all(alone)).then_some((seed, at))
    })
}

#[test]
fn histories_fail_without_their_guards() {
    let next = AtomicUsize::new(0);
    let passing = Mutex::new(Vec::new());
    std::thread::scope(|s| {
        for _ in 0..THREADS {
            s.spawn(|| {
                while let Some(row) = COVERED_BY_HISTORY.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let Some((seed, at)) = first_violation(row) else {
                        passing.lock().expect("no thread panics while holding the lock").push(row);
                        continue;
                    };
                    let held = Sim::new(row.1.plan(seed)).run_to(at);
                    held.unwrap_or_else(|e| panic!("with {row:?}: {e}"));
                }
            });
        }
    });
    let passing = passing.into_inner().expect("no thread panicked while holding the lock");
    assert!(passing.is_empty(), "no violation without the guards: {passing:?}");
}

#[test]
fn every_guard_is_in_the_table() {
    let in_histories = COVERED_BY_HISTORY.iter().flat_map(|row| row.0);
    let table: Vec<Guard> =
        in_histories.chain(COVERED_BY_UNIT_TEST).chain(NOT_COVERED).copied().collect();
    for guard in Guard::ALL {
        assert!(table.contains(guard), "{guard:?} has no test");
    }
}
