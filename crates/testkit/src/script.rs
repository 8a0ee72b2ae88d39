//! Scripted faults, for the difficult cases of failover and recovery, and the observations of a run.

use leaddeal_wire::mesh::Assignment;
use std::collections::{BTreeMap, HashSet};

/// A fault. `ms` is its duration; `ms` and all fields that end in `_ms` are simulated milliseconds.
///
/// `node` and `nodes` are indices of controllers, `machines` is a number of machines in the order of their names, and
/// `percent` is a share, of which values above 100 count as 100.
#[derive(Clone, Debug)]
pub enum Fault {
    /// These controllers crash, and restart `back_ms` later.
    Crash { nodes: Vec<usize>, back_ms: u64 },
    /// The first `machines` are lost at the same time, for good.
    LoseMachines { machines: usize },
    /// The last `machines` hang: they run nothing and answer nothing.
    HangMachines { machines: usize, ms: u64 },
    /// A controller gets no CPU time.
    FreezeNode { node: usize, ms: u64 },
    /// All controllers are partitioned from each other.
    PeerPartition { ms: u64 },
    /// The state service refuses all calls.
    StoreOutage { ms: u64 },
    /// Answers of the state service are delayed by `by_ms`.
    SlowStore { ms: u64, by_ms: u64 },
    /// A controller is partitioned from all workers only.
    WorkerPartition { node: usize, ms: u64 },
    /// A controller is partitioned from the state service and its siblings, but reaches workers and users.
    StoreAndPeerPartition { node: usize, ms: u64 },
    /// One-way partition: the first `machines` receive neither heartbeat responses nor commands, while their heartbeats
    /// arrive.
    InboundPartition { machines: usize, ms: u64 },
    /// The workers of the first `machines` restart at the same time, each with a new incarnation.
    RestartWorkers { machines: usize },
    /// The first `machines` fail every task that they start.
    FailTasks { machines: usize, ms: u64 },
    /// Users poll eight times as often.
    FrequentPolls { ms: u64 },
    /// The state service refuses all calls of this controller only.
    StoreRefusesNode { node: usize, ms: u64 },
    /// The state service refuses this share of all calls.
    FlakyStore { percent: u32, ms: u64 },
    /// The state service ends all watches, so that the controllers have to list the keys again.
    NoWatches { ms: u64 },
    /// Two controllers are partitioned from each other.
    PairPartition { nodes: (usize, usize), ms: u64 },
    /// This share of the transactions gets no answer and is executed 2 to 25 s later.
    LateWrites { percent: u32, ms: u64 },
    /// Of this share of the heartbeats a duplicate arrives up to half a minute later.
    LateHeartbeatCopies { percent: u32, ms: u64 },
    /// This share of the transactions is executed at once, but their answers are lost.
    LostStoreAnswers { percent: u32, ms: u64 },
    /// One-way partition: heartbeats of the first `machines` reach no controller, while commands reach the machines.
    OutboundPartition { machines: usize, ms: u64 },
    /// This share of the heartbeats is delayed until the next `owner_change`. They arrive then at the owner of the
    /// machine's shard, or with `to_all` at every controller. What is delayed are duplicates, or with
    /// [`OwnerChange::FirstCommand`] the heartbeats themselves.
    DelayHeartbeats { percent: u32, ms: u64, owner_change: OwnerChange, to_all: bool },
    /// The next controller that writes `what` gets no answer, crashes `after_ms` later and restarts `back_ms` after
    /// the crash.
    CrashAfterWrite { what: Written, after_ms: u64, back_ms: u64 },
    /// The state service goes down for `ms`, `after_ms` after the next write of `what`. Until then its answers are
    /// delayed by `slow_ms`, so that neither the answer nor the watches' events leave it before the outage if
    /// `slow_ms` exceeds `after_ms`.
    OutageAfterWrite { what: Written, slow_ms: u64, after_ms: u64, ms: u64 },
    /// This share of the messages between controllers is lost, in either direction.
    LosePeerMessages { percent: u32, ms: u64 },
    /// The next `times` messages of this kind between controllers are lost. `kind` is a name that [`crate::tally`] uses.
    LoseMessagesOfKind { kind: &'static str, times: u32 },
    /// Of this share of the messages or requests of one kind that were delivered, a copy arrives 1 s to 3 min later.
    LateCopies { of: CopiedKind, percent: u32, ms: u64 },
    /// New instances are up 0.2 to 2 s after their launch.
    FastBoots { ms: u64 },
    /// Commands to workers, or the answers to them, are delayed by `by_ms`.
    DelayCommands { by_ms: u64, ms: u64 },
    /// Right after a job of this share is accepted, ends or is cancelled, its user queries all controllers several
    /// times within milliseconds and repeats the submission; some users cancel.
    QueryBursts { percent: u32, ms: u64 },
    /// At the moment at which the last task of a job of this share ends, its user queries the job, cancels it and
    /// repeats the submission.
    QueriesAtCompletion { percent: u32, ms: u64 },
    /// Every quarter of a second users repeat submissions of open and terminal jobs, cancel jobs that are done, or
    /// submit jobs that lack a field or can never run.
    InvalidRequests { ms: u64 },
    /// Four jobs of one task are submitted per second; users cancel a quarter of them.
    SingleTaskJobs { ms: u64 },
    /// Users cancel this share of their jobs.
    CancelJobs { percent: u32 },
    /// A zone is partitioned: messages into or out of it are delayed until the partition ends.
    ZonePartition { zone: &'static str, ms: u64 },
    /// Like `ZonePartition`, with a controller in the zone that reaches only that zone's workers.
    ZonePartitionWithNode { zone: &'static str, node: usize, ms: u64 },
}

/// A kind of messages or requests of which late copies arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CopiedKind {
    /// Command batches that a worker has executed or refused.
    Commands,
    /// Heartbeats of workers.
    Heartbeats,
    /// Messages between controllers.
    PeerMessages,
    /// Transactions and lease calls that the state service has carried out.
    StoreCalls,
    /// Launches and releases that the cloud has carried out.
    CloudCalls,
    /// Submissions and cancellations that were answered with the job's state.
    UserRequests,
}

impl CopiedKind {
    /// All kinds.
    pub const ALL: [CopiedKind; 6] = [
        CopiedKind::Commands,
        CopiedKind::Heartbeats,
        CopiedKind::PeerMessages,
        CopiedKind::StoreCalls,
        CopiedKind::CloudCalls,
        CopiedKind::UserRequests,
    ];
}

/// A step of a change of a shard's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OwnerChange {
    /// A controller acquires the shard.
    Acquired,
    /// The new owner has loaded the shard: the tick in which the shard becomes ready.
    Loaded,
    /// The new owner sends its first commands to a machine of the shard.
    FirstCommand,
}

/// A kind of write of a controller to the state service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// A shard's record, with its new owner.
    Acquisition,
    /// The deletion of a shard's record.
    Release,
    /// A placement decision.
    Decision,
    /// A job's terminal state.
    TerminalState,
}

/// Observations of a run. Times are in simulated milliseconds.
#[derive(Debug, Default)]
pub struct Observations {
    /// Loaded shards: when, and the index of the controller.
    pub loaded: Vec<(u64, usize)>,
    /// Number of late copies that were sent, by kind.
    pub late_copies: BTreeMap<CopiedKind, u64>,
    /// Number of pages that the state service returned.
    pub pages: u64,
    /// Number of calls of the state service other than watches.
    pub store_calls: u64,
    /// Writes of terminal states: when, and how long after the job's last task was done.
    pub terminal_states: Vec<(u64, u64)>,
    /// Number of transactions that were executed at once and whose answers were lost.
    pub lost_answers: u64,
    /// Number of answers that were lost because the state service went down before it had sent them.
    pub answers_lost_in_outages: u64,
    /// Number of messages between controllers that [`Fault::LoseMessagesOfKind`] and [`Fault::LosePeerMessages`] lost,
    /// by kind.
    pub lost_messages: BTreeMap<&'static str, u64>,
    /// Number of delayed heartbeats that arrived, by the step of a change of owner that they waited for.
    pub delayed_heartbeats: BTreeMap<OwnerChange, u64>,
    /// Attempts that a controller has told another one to place.
    pub named_attempts: HashSet<(u64, u32, u64)>,
    /// Messages that told another controller to place attempts once more: when, the index of the sender, and the
    /// number of these attempts.
    pub attempts_named_again: Vec<(u64, usize, usize)>,
    /// Scripted crashes after a write: when, and what was written.
    pub crashes_after_write: Vec<(u64, Written)>,
    /// Scripted outages of the state service after a write: when, and what was written.
    pub outages_after_write: Vec<(u64, Written)>,
}

impl Observations {
    /// Records a message by which the controller `from` tells another one to place attempts of a job.
    pub(crate) fn note_placed(&mut self, now: u64, from: usize, job: u64, attempts: &[Assignment]) {
        let named = &mut self.named_attempts;
        let again = attempts.iter().filter(|a| !named.insert((job, a.task, a.attempt))).count();
        if again > 0 {
            self.attempts_named_again.push((now, from, again));
        }
    }

    /// Returns the largest number of attempts that one controller named again within `ms`, counting from the time
    /// `at`, and the number that all of them named again.
    pub fn named_again_within(&self, ms: u64, at: u64) -> (usize, usize) {
        let later: Vec<_> = self.attempts_named_again.iter().filter(|n| n.0 >= at).collect();
        let in_window = |first: &(u64, usize, usize)| -> usize {
            let window = first.0..first.0 + ms;
            let of_sender = later.iter().filter(|n| n.1 == first.1 && window.contains(&n.0));
            of_sender.map(|named| named.2).sum()
        };
        let largest = later.iter().map(|first| in_window(first)).max().unwrap_or(0);
        (largest, later.iter().map(|named| named.2).sum())
    }

    /// Returns the time at which the last shard was loaded (0 if none) and the number of shards loaded, counting only
    /// those loaded after the time `at`.
    pub fn loaded_after(&self, at: u64) -> (u64, usize) {
        let later = self.loaded.iter().filter(|l| l.0 > at);
        (later.clone().map(|l| l.0).max().unwrap_or(0), later.count())
    }
}
