//! The core's guards by name, so that the test kit can take one out and see which test goes red.
//!
//! A guard is a condition without which some history breaks a rule. Each is asked for at its place
//! by `holds`, which is constantly true in the program: only the test kit builds the core with the
//! feature `guards`, and takes some out for the thread that runs a simulator.

macro_rules! guards {
    ($($(#[doc = $prevents:literal])+ $name:ident,)+) => {
        /// What each one prevents.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Guard {
            $($(#[doc = $prevents])+ $name,)+
        }

        impl Guard {
            pub const ALL: &[Guard] = &[$(Guard::$name,)+];
        }
    };
}

guards! {
    /// A write of an owner whose shard has a newer one.
    Epoch,
    /// An epoch acted under again after it was given up.
    GivenUp,
    /// Workers started while our lease is in doubt.
    DoubtStarts,
    /// Users told from memory while our lease is in doubt.
    DoubtTells,
    /// A machine called lost while our lease is in doubt.
    DoubtLoses,
    /// A shard owned on an answer that came when our lease was in doubt.
    DoubtOwns,
    /// A lease counted from when its renewal was answered, not sent.
    LeaseFromSent,
    /// Leases judged without the drift of clocks.
    Drift,
    /// A refusal taken as the outcome of a write that had no answer before.
    OutcomeKnown,
    /// A late copy of a decision.
    DecisionVersion,
    /// A late copy of a fold, or of final states.
    FoldVersion,
    /// A late copy of a cancellation, or one that meets another final state.
    CancelVersion,
    /// A job created again after its final state.
    SubmittedOnce,
    /// A job called accepted before it is stored.
    AcceptedDurable,
    /// A job called cancelled before that is stored.
    CancelledDurable,
    /// A task started before its decision is stored.
    DecidedDurable,
    /// A job that is being ended told of from memory.
    Finishing,
    /// A job that is over created anew by a late answer to its submission.
    LoadedFrom,
    /// A job missed that ends between the two reads before a 404.
    KeyBeforeFinal,
    /// Workers answered for longer than all cancellations are known.
    HorizonStops,
    /// A word believed to be new that was long on its way.
    HorizonEchoed,
    /// An owner in doubt believed for as long as it speaks.
    HorizonDoubt,
    /// An owner in doubt believed though a sibling may know of a newer one.
    HorizonVouched,
    /// An owner in doubt believed though a process of ours before may have been a newer one.
    HorizonFloor,
    /// Cancellations of an owner that speaks heard of nowhere else.
    BeatsName,
    /// Cancellations of a silent owner heard of nowhere.
    SilentFinals,
    /// Final states of just before an owner fell silent.
    FinalsBack,
    /// A machine that is gone kept alive by copies of its reports.
    Waits,
    /// A report older than what is known taken in.
    NewestReport,
    /// An absence believed of a worker that may yet obey an older owner.
    TokenShown,
    /// A worker's lease counted from our answer though an older owner answered it until it saw our token.
    FirstSight,
    /// A start in another session than that of the offer.
    OfferSession,
    /// A new session judged by the lease of the one before.
    SessionLease,
    /// A silent machine called lost while an older owner may still answer it.
    Patience,
    /// The same, since not all siblings have said that they know our epoch.
    AllKnow,
    /// An owner that hears of a newer one acts on.
    BeatEnds,
    /// A shard owned under an older epoch than one known.
    OlderEpoch,
    /// Messages of owners whose time is over.
    OldSender,
    /// Numbers of attempts used again under a new epoch.
    AttemptEpoch,
    /// A stop that got lost.
    StopAgain,
    /// A task started by a yes that comes after its job's end.
    LatePlace,
    /// Tasks of a job that is over running on where its coordinator is not heard.
    StopOver,
    /// A stop that waits for our lease.
    DoubtStops,
    /// A start without an answer forgotten, whose copy then starts the task anew.
    Risky,
    /// The same while the start is under way.
    ForgetLater,
    /// A task of an older epoch started anew.
    Adopted,
    /// A job called done before its last task is.
    AllDone,
    /// A decision written over while a pick of it may be on its machine.
    RecordLive,
    /// An older attempt taken for the newest after a takeover.
    NewestAttempt,
    /// Tasks of a job that is over overlooked after a takeover.
    Leftovers,
    /// A shard that may have been given back acted for.
    ReleaseUnsure,
    /// Grants before all have told what they use.
    GrantsComplete,
    /// Grants beyond what the others may use.
    GrantsShared,
    /// A grant of an older owner of the team's shard.
    GrantEpoch,
    /// More than a decision's grant.
    GrantKept,
    /// More tasks in a zone than its job allows, of those not seen gone.
    ZoneCounted,
    /// More tasks for a job of one zone that may be in two.
    OneZone,
    /// A rental's name used by two owners.
    RentalEpoch,
}

/// Whether the guard is in its place.
#[cfg(not(feature = "guards"))]
#[inline(always)]
pub(crate) const fn holds(_: Guard) -> bool {
    true
}

#[cfg(feature = "guards")]
mod switch {
    use super::Guard;
    use std::cell::Cell;

    thread_local! {
        /// A bit for each one that is taken out.
        static OUT: Cell<u128> = const { Cell::new(0) };
    }

    fn bit(guard: Guard) -> u128 {
        1 << guard as u32
    }

    pub(crate) fn holds(guard: Guard) -> bool {
        OUT.get() & bit(guard) == 0
    }

    /// Runs it with these guards taken out, in this thread alone.
    pub fn without<T>(guards: &[Guard], run: impl FnOnce() -> T) -> T {
        struct Back(u128);
        impl Drop for Back {
            fn drop(&mut self) {
                OUT.set(self.0);
            }
        }
        let _back = Back(OUT.replace(guards.iter().fold(0, |all, g| all | bit(*g))));
        run()
    }
}

/// The test goes red without the guard.
#[cfg(all(test, feature = "guards"))]
pub(crate) fn missed_by(guard: Guard, test: fn()) {
    let run = std::panic::catch_unwind(|| without(&[guard], test));
    assert!(run.is_err(), "{guard:?} is not missed");
}

#[cfg(feature = "guards")]
pub(crate) use switch::holds;
#[cfg(feature = "guards")]
pub use switch::without;
