//! Every guard of the core is missed when it is taken out: a history breaks a rule then, and holds with it.
//! (`docs/meetings.md` has the table; guards with a unit test beside their code are named in `BY_UNIT`.)
use leaddeal_core::guards::{without, Guard};
use leaddeal_testkit::histories::History::{self, *};
use leaddeal_testkit::sim::Sim;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The guards taken out, the history, and the rule that breaks. Of two, each holds the rule without the
/// other.
type Missed = (&'static [Guard], History, &'static str);

const MISSED: &[Missed] = &[
    (&[Guard::Epoch], LateFinals, "went_back"),
    (&[Guard::DoubtTells], SlowThenAlone, "went_back"),
    (&[Guard::DoubtStops], DeafThenOutage, "ran_cancelled"),
    (&[Guard::LeaseFromSent], SlowThenAlone, "went_back"),
    (&[Guard::DecisionVersion], LateWrites, "written_again"),
    (&[Guard::FoldVersion], LateWrites, "written_again"),
    (&[Guard::CancelVersion], LateWrites, "written_again"),
    (&[Guard::SubmittedOnce], Gap, "went_back"),
    (&[Guard::AcceptedDurable], LateWrites, "forgotten"),
    (&[Guard::CancelledDurable], Gap, "went_back"),
    (&[Guard::DecidedDurable], LateWrites, "ran_twice"),
    (&[Guard::Finishing], ApartLate, "went_back"),
    (&[Guard::KeyBeforeFinal], ApartLate, "forgotten"),
    (&[Guard::HorizonStops], GapForgotten, "ran_cancelled"),
    // Where the store is not read for a silent owner, horizons stand still and workers are let go.
    (&[Guard::SilentFinals, Guard::HorizonStops], Apart, "ran_cancelled"),
    (&[Guard::NewestReport], OldReports, "ran_twice"),
    (&[Guard::TokenShown], OldReports, "ran_twice"),
    (&[Guard::Patience], AloneThenCut, "ran_twice"),
    (&[Guard::AllKnow], AloneThenCut, "ran_twice"),
    (&[Guard::BeatEnds], Refused, "ran_twice"),
    (&[Guard::OldSender], FrozenDeciding, "ran_twice"),
    (&[Guard::AttemptEpoch], OverAndBack, "ran_twice"),
    // Each stops what the other one does not reach.
    (&[Guard::StopAgain, Guard::BeatsName], LateFinals, "ran_cancelled"),
    (&[Guard::StopOver], Apart, "ran_cancelled"),
    (&[Guard::Risky], Ordinary, "ran_twice"),
    (&[Guard::AllDone], Gap, "not_done"),
    (&[Guard::RecordLive], OldReports, "ran_twice"),
    (&[Guard::NewestAttempt], OldReports, "ran_twice"),
    (&[Guard::Leftovers], ConfirmedThenEnded, "quota"),
    (&[Guard::GrantsComplete], OverAndBack, "quota"),
    (&[Guard::GrantsShared], Gap, "quota"),
    (&[Guard::GrantKept], Gap, "quota"),
    (&[Guard::ZoneCounted], Gap, "wrong_place"),
    (&[Guard::RentalEpoch], OldReports, "name_reused"),
];

/// Missed by unit tests beside their code (`its_guards_are_missed`), which CI runs with the switches on.
const BY_UNIT: &[Guard] = &[
    Guard::GivenUp,
    Guard::DoubtStarts,
    Guard::Drift,
    Guard::OutcomeKnown,
    Guard::LoadedFrom,
    Guard::HorizonEchoed,
    Guard::HorizonDoubt,
    Guard::HorizonVouched,
    Guard::HorizonFloor,
    Guard::BeatsName,
    Guard::Waits,
    Guard::FirstSight,
    Guard::SessionLease,
    Guard::OfferSession,
    Guard::Adopted,
    Guard::ForgetLater,
    Guard::OneZone,
    Guard::LatePlace,
];

/// Nothing misses them yet: holes in the tests, or implied by others (`docs/meetings.md`).
const NOT_MISSED: &[Guard] = &[
    Guard::DoubtLoses,
    Guard::DoubtOwns,
    Guard::OlderEpoch,
    Guard::FinalsBack,
    Guard::ReleaseUnsure,
    Guard::GrantEpoch,
];

/// Which seed breaks the rule changes with what the simulator draws: so many are tried.
const SEEDS: u64 = 40;
const THREADS: usize = 4;

/// When the rule breaks without the guards, in milliseconds of simulated time, and in which seed.
fn missed(&(guards, history, rule): &Missed) -> Option<(u64, u64)> {
    (1..=SEEDS).find_map(|seed| {
        let broken = without(guards, || Sim::new(history.plan(seed)).run()).err()?;
        let (at, what) = broken.strip_prefix("at ")?.split_once(" ms: ")?;
        let at = at.parse().ok().filter(|_| what.starts_with(rule))?;
        let alone = |g: &[Guard]| without(g, || Sim::new(history.plan(seed)).run_to(at)).is_ok();
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
