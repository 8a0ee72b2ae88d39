//! The core's guards by name, so that the test kit can disable one and see which test fails.
//!
//! A guard is a condition without which some history of faults breaks an invariant. Each is checked
//! at its place by `holds`, which is always true in the program: only the test kit builds the core
//! with the feature `guards`, and disables some for the thread that runs a simulation.

macro_rules! guards {
    ($($(#[doc = $prevents:literal])+ $name:ident,)+) => {
        /// The guards. The description of each says what it prevents.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Guard {
            $($(#[doc = $prevents])+ $name,)+
        }

        impl Guard {
            /// All guards, in the order of their declaration.
            pub const ALL: &[Guard] = &[$(Guard::$name,)+];
        }
    };
}

guards! {
    /// A write by an owner whose shard has a newer owner.
    Epoch,
    /// An owner that acts again under an epoch that it relinquished.
    GivenUp,
    /// Tasks that are started on workers while this node's lease is uncertain.
    DoubtStarts,
    /// Answers to users from memory while this node's lease is uncertain.
    DoubtTells,
    /// A machine that is declared lost while this node's lease is uncertain.
    DoubtLoses,
    /// A shard that is owned on a response which came when this node's lease was uncertain.
    DoubtOwns,
    /// A lease that is counted from the response to its renewal, not from when that was sent.
    LeaseFromSent,
    /// Leases that are judged without allowing for the drift of clocks.
    Drift,
    /// A refusal that is taken as the outcome of a write of which an earlier try had no answer.
    OutcomeKnown,
    /// A late copy of a decision.
    DecisionVersion,
    /// A late copy of a compaction, or of terminal states.
    FoldVersion,
    /// A late copy of a cancellation, or one that meets another terminal state.
    CancelVersion,
    /// A job that is created again after its terminal state.
    SubmittedOnce,
    /// A job that is acknowledged as accepted before it is stored.
    AcceptedDurable,
    /// A job that is acknowledged as cancelled before that is stored.
    CancelledDurable,
    /// A task that is started before its decision is stored.
    DecidedDurable,
    /// Answers from memory about a job that is being ended.
    Finishing,
    /// A terminated job that is created again by a late response to its submission.
    LoadedFrom,
    /// A job that ends between the two reads before a 404, and is missed by both.
    KeyBeforeFinal,
    /// Workers that are answered for longer than all cancellations are known.
    HorizonStops,
    /// An assertion that is taken as new though it was long in transit.
    HorizonEchoed,
    /// An owner with an uncertain lease that is believed for as long as it sends heartbeats.
    HorizonDoubt,
    /// An owner with an uncertain lease that is believed though another node may know a newer
    /// owner.
    HorizonVouched,
    /// An owner with an uncertain lease that is believed though an earlier process of this node may
    /// have been a newer owner.
    HorizonFloor,
    /// Cancellations by a reachable owner that stay unknown here.
    BeatsName,
    /// Cancellations by a silent owner that stay unknown here.
    SilentFinals,
    /// Terminal states from just before an owner fell silent that stay unknown here.
    FinalsBack,
    /// A machine that is gone but counts as alive because of late copies of its heartbeats.
    Waits,
    /// A worker's status that is older than what is known, but taken in.
    NewestReport,
    /// The absence of a task that is believed of a worker which may still obey an older owner.
    TokenShown,
    /// A worker's lease that is counted from this owner's answer though an older owner answered the
    /// worker until it saw the new fencing token.
    FirstSight,
    /// A start in another incarnation of the worker than that of the offer.
    OfferSession,
    /// A new incarnation that is judged by the lease of the one before.
    SessionLease,
    /// A silent machine that is declared lost while an older owner may still answer it.
    Patience,
    /// The same, though not all other nodes have stated that they know this owner's epoch.
    AllKnow,
    /// An owner that learns of a newer one from a heartbeat and acts on.
    BeatEnds,
    /// A shard that is owned under an older epoch than one that is known.
    OlderEpoch,
    /// Messages of earlier owners.
    OldSender,
    /// Numbers of attempts that are used again under a new epoch.
    AttemptEpoch,
    /// A stop command that was lost and not sent again.
    StopAgain,
    /// A task that is started by an assignment which comes after its job's end.
    LatePlace,
    /// Tasks of a terminated job that run on where its coordinator is not heard.
    StopOver,
    /// A stop command that waits for this node's lease.
    DoubtStops,
    /// A start without an answer that is forgotten, though a late copy of it may start the task
    /// again.
    Risky,
    /// The same while the start command is in flight.
    ForgetLater,
    /// A task that was placed under an older epoch and is started again.
    Adopted,
    /// A job that is called done before its last task is.
    AllDone,
    /// A decision that is overwritten while a task that it placed may be on its machine.
    RecordLive,
    /// An older attempt that is taken for the newest one after a failover.
    NewestAttempt,
    /// Tasks of a terminated job that are overlooked after a failover.
    Leftovers,
    /// A shard that is acted for though it may have been released.
    ReleaseUnsure,
    /// Quota grants before all coordinators have stated what they use.
    GrantsComplete,
    /// Quota grants beyond what the other coordinators leave.
    GrantsShared,
    /// A quota grant of an older owner of the team's shard.
    GrantEpoch,
    /// A decision that places more than its quota grant.
    GrantKept,
    /// More tasks in a zone than its job allows, if those not known to be gone are counted.
    ZoneCounted,
    /// More tasks of a single-zone job while it may already be in two zones.
    OneZone,
    /// The name of an instance request that is used by two owners.
    RentalEpoch,
}

/// Whether the guard is in force.
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
        /// A bit for each guard that is disabled.
        static DISABLED: Cell<u128> = const { Cell::new(0) };
    }

    fn bit(guard: Guard) -> u128 {
        1 << guard as u32
    }

    pub(crate) fn holds(guard: Guard) -> bool {
        DISABLED.get() & bit(guard) == 0
    }

    /// Runs a function with these guards disabled, in this thread alone.
    pub fn without<T>(guards: &[Guard], run: impl FnOnce() -> T) -> T {
        struct RestoreOnDrop(u128);
        impl Drop for RestoreOnDrop {
            fn drop(&mut self) {
                DISABLED.set(self.0);
            }
        }
        let disabled = guards.iter().fold(0, |bits, guard| bits | bit(*guard));
        let _restore = RestoreOnDrop(DISABLED.replace(disabled));
        run()
    }
}

/// Asserts that the test fails without the guard.
#[cfg(all(test, feature = "guards"))]
pub(crate) fn missed_by(guard: Guard, test: fn()) {
    let run = std::panic::catch_unwind(|| without(&[guard], test));
    assert!(run.is_err(), "{guard:?} is not missed");
}

#[cfg(feature = "guards")]
pub(crate) use switch::holds;
#[cfg(feature = "guards")]
pub use switch::without;
