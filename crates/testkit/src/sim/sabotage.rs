//! Defects that are put in on purpose, to see that the checker notices each of them.

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sabotage {
    /// Nothing is broken.
    None,
    /// The state service does not check conditions: epochs fence nothing.
    NoFencing,
    /// The core believes that workers' leases are much shorter than they are.
    ShortLease,
    /// The cores' clocks run three times too fast: after a takeover a silent machine is called
    /// lost while its lease still runs.
    FastClock,
    /// The state service forgets decisions, as if they were compacted away before what became of
    /// them is durable.
    LostDecisions,
    /// Requests about jobs of one shard are not answered.
    UnansweredShard,
    /// The core believes that a cancellation may take ten times as long as it may.
    LongCancel,
    /// Instance requests are named without the epoch, so that a new provisioner uses old names.
    ReusedRequestNames,
    /// The state service returns single keys as they were half a second ago.
    StaleReads,
    /// What a submission lacks is made up, and one that can never run is called malformed.
    MisparsedSubmissions,
    /// Cancellations come to the core as queries.
    MisroutedCancellations,
    /// The core believes that teams have no limits.
    NoLimits,
    /// Commands to stop a task never reach its machine.
    LostStops,
    /// Grants of quota are sent to no other controller.
    NoGrants,
    /// Gangs start without their last task.
    EagerGangs,
    /// The core believes that teams may use twice as many GPUs.
    LooseGpus,
}
