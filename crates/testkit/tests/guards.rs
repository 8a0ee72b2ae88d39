//! Every guard of the core is missed when it is taken out: a history breaks a rule then, and holds with it.
//! (`docs/meetings.md` has the table; guards with a unit test beside their code are named in `BY_UNIT`.)
use leaddeal_core::guards::{with_guards_disabled, Guard};
use leaddeal_testkit::histories::History::{self, *};
use leaddeal_testkit::sim::Sim;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The guards taken out, the history, and the rule that breaks. Of two, each holds the rule without the
/// other.
type Missed = (&'static [Guard], History, &'static str);

const MISSED: &[Missed] = &[
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
    // Where the store is not read for a silent owner, horizons stand still and workers are let go.
    (&[Guard::SilentOwnerReadFromStore, Guard::AnswersStopAfterGracePeriod], Apart, "ran_cancelled"),
    (&[Guard::OlderStatusIgnored], OldReports, "ran_twice"),
    (&[Guard::AbsenceNeedsConfirmedToken], OldReports, "ran_twice"),
    (&[Guard::PreviousOwnersTimedOut], AloneThenCut, "ran_twice"),
    (&[Guard::AllSiblingsKnowEpoch], AloneThenCut, "ran_twice"),
    (&[Guard::HeartbeatEndsOwnership], Refused, "ran_twice"),
    (&[Guard::OutdatedSenderRejected], FrozenDeciding, "ran_twice"),
    (&[Guard::AttemptNumberIncludesEpoch], OverAndBack, "ran_twice"),
    // Each stops what the other one does not reach.
    (&[Guard::StopResent, Guard::HeartbeatsNameCancellations], LateFinals, "ran_cancelled"),
    (&[Guard::TerminalJobStoppedByParticipant], Apart, "ran_cancelled"),
    (&[Guard::UnansweredStartRemembered], Ordinary, "ran_twice"),
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

/// Missed by unit tests beside their code (`tests_fail_without_their_guards`), which CI runs with the switches on.
const BY_UNIT: &[Guard] = &[
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
];

/// Nothing misses them yet: holes in the tests, or implied by others (`docs/meetings.md`).
const NOT_MISSED: &[Guard] = &[
    Guard::MachineLossNeedsValidLease,
    Guard::AcquisitionNeedsValidLease,
    Guard::OlderEpochNotOwned,
    Guard::TerminalStatesReadWithMargin,
    Guard::UncertainReleaseEndsOwnership,
    Guard::GrantBoundToEpoch,
];

/// Which seed breaks the rule changes with what the simulator draws: so many are tried.
const SEEDS: u64 = 40;
const THREADS: usize = 4;

/// When the rule breaks without the guards, in milliseconds of simulated time, and in which seed.
fn missed(&(guards, history, rule): &Missed) -> Option<(u64, u64)> {
    (1..=SEEDS).find_map(|seed| {
        let broken = with_guards_disabled(guards, || Sim::new(history.plan(seed)).run()).err()?;
        let (at, what) = broken.strip_prefix("at ")?.split_once(" ms: ")?;
        let at = at.parse().ok().filter(|_| what.starts_with(rule))?;
        let alone = |g: &[Guard]| with_guards_disabled(g, || Sim::new(history.plan(seed)).run_to(at)).is_ok();
        (guards.len() == 1 || guards.chunks(1).all(alone)).then_some((seed, at))
    })
}

#[test]
fn every_guard_is_missed_in_a_history_that_holds_with_it() {
    let next = AtomicUsize::new(0);
    let not_missed = Mutex::new(Vec::new());
    std::thread::scope(|s| {
        for _ in 0..THREADS {
            s.spawn(|| {
                while let Some(row) = MISSED.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let Some((seed, at)) = missed(row) else {
                        not_missed.lock().expect("no thread panics with it").push(row);
                        continue;
                    };
                    let held = Sim::new(row.1.plan(seed)).run_to(at);
                    held.unwrap_or_else(|e| panic!("with {row:?}: {e}"));
                }
            });
        }
    });
    let not_missed = not_missed.into_inner().expect("no thread panicked with it");
    assert!(not_missed.is_empty(), "not missed: {not_missed:?}");
}

#[test]
fn every_guard_is_in_the_table() {
    let in_histories = MISSED.iter().flat_map(|row| row.0);
    let table: Vec<Guard> = in_histories.chain(BY_UNIT).chain(NOT_MISSED).copied().collect();
    for guard in Guard::ALL {
        assert!(table.contains(guard), "{guard:?} has no test");
    }
}
