//! The core's safety conditions by name, so that the test kit can disable one and see which test
//! fails.
//!
//! A guard is a condition without which some sequence of faults violates an invariant. The code
//! asks `is_enforced` where the condition is checked. It is always true in the program: only the
//! test kit builds the core with the feature `guards`, and disables guards for the thread that runs
//! a simulation.

macro_rules! guards {
    ($($(#[doc = $doc:literal])+ $name:ident,)+) => {
        /// The guards. Each name says what is required or done; the description says which failure
        /// that prevents.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Guard {
            $($(#[doc = $doc])+ $name,)+
        }

        impl Guard {
            /// All guards, in the order of their declaration.
            pub const ALL: &[Guard] = &[$(Guard::$name,)+];
        }
    };
}

guards! {
    /// Prevents writes by an owner whose shard has a newer owner.
    WritesFencedByEpoch,
    /// Prevents an owner from acting again under an epoch that it relinquished.
    RelinquishedEpochRejected,
    /// Prevents tasks from being started on workers while this node's lease is uncertain.
    StartNeedsValidLease,
    /// Prevents answers to users from memory while this node's lease is uncertain.
    UserAnswerNeedsValidLease,
    /// Prevents a machine from being declared lost while this node's lease is uncertain.
    MachineLossNeedsValidLease,
    /// Prevents this node from owning a shard because of a response that arrived while its lease
    /// was uncertain.
    AcquisitionNeedsValidLease,
    /// Prevents a lease from being counted from the response to its renewal rather than from the
    /// time at which the renewal was sent.
    LeaseCountedFromSend,
    /// Prevents leases from being judged without an allowance for clock drift.
    ClockDriftAllowance,
    /// Prevents a refusal from being taken as the outcome of a write of which an earlier try had no
    /// answer.
    RefusalInconclusiveAfterUnknownTry,
    /// Prevents a late copy of a decision from being executed.
    DecisionWrittenOnce,
    /// Prevents a late copy of a compaction, or of a write of terminal states, from being executed.
    CompactionWrittenOnce,
    /// Prevents a cancellation from being executed as a late copy, or when the job already has
    /// another terminal state.
    CancellationWrittenOnce,
    /// Prevents a job from being created again after its terminal state.
    NoSubmissionAfterTermination,
    /// Prevents a job from being acknowledged as accepted before it is stored.
    SubmissionDurableBeforeAck,
    /// Prevents a job from being acknowledged as cancelled before its cancellation is stored.
    CancellationDurableBeforeAck,
    /// Prevents a task from being started before its decision is stored.
    DecisionDurableBeforeStart,
    /// Prevents answers from memory about a job whose terminal state is being written.
    StateWithheldDuringTermination,
    /// Prevents a late response to a submission from creating a terminated job again.
    LateSubmissionResponseIgnored,
    /// Prevents a 404 for a job that reaches its terminal state between the two reads of the store,
    /// so that both reads miss it.
    JobReadBeforeTerminalState,
    /// Prevents workers from being answered for longer than all cancellations are known.
    AnswersStopAfterGracePeriod,
    /// Prevents an assertion that was long in transit from being taken as new.
    AssertionDatedByEcho,
    /// Prevents an owner with an uncertain lease from being believed for as long as it sends
    /// heartbeats.
    HorizonExcludesUncertainLease,
    /// Prevents an owner with an uncertain lease from being believed while another node may know a
    /// newer owner.
    HorizonNeedsPeerStatements,
    /// Prevents an owner with an uncertain lease from being believed while an earlier process of
    /// this node may have been a newer owner.
    HorizonNeedsPredecessorLimit,
    /// Prevents cancellations by a reachable owner from staying unknown here.
    HeartbeatsNameCancellations,
    /// Prevents cancellations by a silent owner from staying unknown here.
    SilentOwnerReadFromStore,
    /// Prevents terminal states from just before an owner fell silent from staying unknown here.
    TerminalStatesReadWithMargin,
    /// Prevents late copies of heartbeats from keeping a machine that is gone alive.
    LateHeartbeatGrantsNoLease,
    /// Prevents a worker's status that is older than the known one from being applied.
    OlderStatusIgnored,
    /// Prevents the absence of a task from being believed of a worker that may still obey an older
    /// owner.
    AbsenceNeedsConfirmedToken,
    /// Prevents a worker's lease from being counted from this owner's answer although an older
    /// owner answered the worker until the worker saw the new fencing token.
    LeaseCountedFromTokenConfirmation,
    /// Prevents a task from being started in another incarnation of the worker than that of the
    /// offer.
    StartBoundToIncarnation,
    /// Prevents a new incarnation from being judged by the lease of the one before.
    LeasePerIncarnation,
    /// Prevents a silent machine from being declared lost while an older owner may still answer it.
    PreviousOwnersTimedOut,
    /// Prevents a silent machine from being declared lost without that wait before all other nodes
    /// have stated that they know this owner's epoch.
    AllSiblingsKnowEpoch,
    /// Prevents an owner that learns of a newer one from a heartbeat from acting on.
    HeartbeatEndsOwnership,
    /// Prevents a shard from being owned under an older epoch than one that is known.
    OlderEpochNotOwned,
    /// Prevents messages of earlier owners from being handled.
    OutdatedSenderRejected,
    /// Prevents attempt numbers from being used again under a new epoch.
    AttemptNumberIncludesEpoch,
    /// Prevents a stop command that was lost from never being sent again.
    StopResent,
    /// Prevents an assignment that arrives after its job's end from starting a task.
    LateAssignmentStopped,
    /// Prevents tasks of a terminated job from running on where messages of its coordinator do not
    /// arrive.
    TerminalJobStoppedByParticipant,
    /// Prevents a stop command from waiting for this node's lease to be valid.
    StopIgnoresLease,
    /// Prevents an unanswered start from being forgotten, since a late copy of it may start the
    /// task again.
    UnansweredStartRemembered,
    /// Prevents a start from being forgotten while its command is in flight.
    StartInFlightRemembered,
    /// Prevents an attempt from being forgotten by a worker that would execute a late copy of its
    /// answered start.
    ForgetNeedsNewerToken,
    /// Prevents a late copy of a placement from starting an attempt that has ended and was removed.
    RemovedAttemptNotPlaced,
    /// Prevents a task that was placed under an older epoch from being started again.
    AdoptedTaskNotStarted,
    /// Prevents a job from being called done before its last task is.
    CompletionNeedsAllTasks,
    /// Prevents a decision from being overwritten while a task that it placed may be on its
    /// machine.
    DecisionRecordKeptWhileLive,
    /// Prevents an older attempt from being taken for the newest one after a failover.
    NewestAttemptAdopted,
    /// Prevents tasks of a terminated job from being overlooked after a failover.
    TerminatedJobTasksAdopted,
    /// Prevents this node from acting for a shard that may have been released.
    UncertainReleaseEndsOwnership,
    /// Prevents quota grants before all coordinators have stated what they use.
    GrantsAwaitAllReports,
    /// Prevents quota grants beyond what the shares of the other coordinators leave.
    GrantsCountOtherShares,
    /// Prevents the use of a quota grant of an older owner of the team's shard.
    GrantBoundToEpoch,
    /// Prevents a decision from placing more than its quota grant covers.
    DecisionWithinGrant,
    /// Prevents more tasks in a zone than the job allows, counting those that are not known to be
    /// gone.
    PossibleTasksCountedInZone,
    /// Prevents more tasks of a single-zone job while it may already be in two zones.
    NoTasksWhileInTwoZones,
    /// Prevents two owners from using the same name for an instance request.
    InstanceRequestNamedByEpoch,
}

/// Whether the condition is checked.
#[cfg(not(feature = "guards"))]
#[inline(always)]
pub(crate) const fn is_enforced(_: Guard) -> bool {
    true
}

#[cfg(feature = "guards")]
mod switch {
    use super::Guard;
    use std::cell::Cell;

    thread_local! {
        /// One bit for each guard, by its position in the declaration; set if it is disabled.
        static DISABLED: Cell<u128> = const { Cell::new(0) };
    }

    fn bit(guard: Guard) -> u128 {
        1 << guard as u32
    }

    pub(crate) fn is_enforced(guard: Guard) -> bool {
        DISABLED.get() & bit(guard) == 0
    }

    /// Runs a function with these guards disabled on the current thread.
    pub fn with_guards_disabled<T>(guards: &[Guard], run: impl FnOnce() -> T) -> T {
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

/// Asserts that the test fails while the guard is disabled.
#[cfg(all(test, feature = "guards"))]
pub(crate) fn assert_fails_without(guard: Guard, test: fn()) {
    let run = std::panic::catch_unwind(|| with_guards_disabled(&[guard], test));
    assert!(run.is_err(), "the test passes with {guard:?} disabled");
}

#[cfg(feature = "guards")]
pub(crate) use switch::is_enforced;
#[cfg(feature = "guards")]
pub use switch::with_guards_disabled;
