//! Injected defects, which show that the checker detects each of them.

/// A defect that is injected into the simulated system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedDefect {
    /// No defect.
    None,
    /// The store does not check the conditions of transactions, so that epochs don't fence stale owners.
    NoFencing,
    /// The cores are configured with worker leases that are much shorter than the workers' real ones.
    ShortLease,
    /// The cores' clocks run three times too fast: after a failover a machine without heartbeats is declared lost
    /// before its lease has expired.
    FastClock,
    /// The store loses decisions, as if they had been compacted before their outcomes were durable.
    LostDecisions,
    /// Users get no answer to requests about accepted jobs of one shard.
    UnansweredShard,
    /// The cores are configured with ten times the time that a cancellation may take.
    LongCancel,
    /// Instance requests are named without the epoch, so that a new provisioner reuses names of the previous one.
    ReusedRequestNames,
    /// The store returns the value that a single key had half a second ago.
    StaleReads,
    /// Malformed submissions are taken for valid ones, and submissions that can never run for malformed ones.
    MisparsedSubmissions,
    /// Cancellations reach the core as queries.
    MisroutedCancellations,
    /// The cores are configured without CPU quotas.
    NoCpuQuotas,
    /// Workers ignore commands to stop a task.
    IgnoredStops,
    /// Quota grants are not sent to other controllers.
    NoGrants,
    /// Gangs run without waiting for their last task.
    IncompleteGangs,
    /// The cores are configured with twice the GPU quotas.
    DoubleGpus,
}
