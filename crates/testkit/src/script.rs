//! Faults at set times, for the hard cases of takeover and recovery, and what was observed of a run.

use std::collections::BTreeMap;

/// What fails, and until when: `ms` is the duration, in simulated milliseconds like all that ends in `_ms`.
///
/// `node` and `nodes` are indices of controllers, `machines` counts machines in the order of their names, and
/// `percent` is a share in hundredths, of which values above 100 count as 100.
#[derive(Clone, Debug)]
pub enum Fault {
    /// These controllers end, and start again `back_ms` later.
    Crash { nodes: Vec<usize>, back_ms: u64 },
    /// The first `machines` die at once and do not come back.
    LoseMachines { machines: usize },
    /// The last `machines` hang: they run nothing and answer nothing.
    HangMachines { machines: usize, ms: u64 },
    /// A controller gets no processor time.
    FreezeNode { node: usize, ms: u64 },
    /// All controllers are partitioned from each other.
    PeerPartition { ms: u64 },
    /// The state service refuses everything.
    StoreOutage { ms: u64 },
    /// The state service's answers take `by_ms` longer.
    SlowStore { ms: u64, by_ms: u64 },
    /// A controller is partitioned from all workers, and from nothing else.
    WorkerPartition { node: usize, ms: u64 },
    /// A controller is partitioned from the state service and its siblings, but reaches workers and users.
    StoreAndPeerPartition { node: usize, ms: u64 },
    /// The first `machines` receive neither answers nor commands, while their heartbeats arrive.
    InboundPartition { machines: usize, ms: u64 },
    /// The workers of the first `machines` restart at once, each with a new incarnation.
    RestartWorkers { machines: usize },
    /// The first `machines` fail every task that they start.
    FailTasks { machines: usize, ms: u64 },
    /// Users poll eight times as often.
    FrequentPolls { ms: u64 },
    /// The state service refuses this controller alone.
    StoreRefusesNode { node: usize, ms: u64 },
    /// The state service refuses this share of all calls.
    FlakyStore { percent: u32, ms: u64 },
    /// The state service ends all watches: whoever watched has to read anew.
    NoWatches { ms: u64 },
    /// Two controllers are partitioned from each other.
    PairPartition { nodes: (usize, usize), ms: u64 },
    /// This share of the transactions gets no answer and is carried out 2 to 25 s later.
    LateWrites { percent: u32, ms: u64 },
    /// Of this share of the heartbeats a copy arrives again, up to half a minute later.
    LateHeartbeatCopies { percent: u32, ms: u64 },
    /// This share of the transactions is carried out at once, and only the answers are lost.
    LostStoreAnswers { percent: u32, ms: u64 },
    /// The heartbeats of the first `machines` reach no controller, while commands reach the machines.
    OutboundPartition { machines: usize, ms: u64 },
    /// This share of the heartbeats is delayed until the next `owner_change`, and arrives then: at the
    /// owner of the machine's shard, or at every controller. Copies are delayed, or, with
    /// [`OwnerChange::FirstCommand`], the heartbeats themselves.
    DelayHeartbeats { percent: u32, ms: u64, owner_change: OwnerChange, to_all: bool },
    /// The next controller that writes this gets no answer, ends `after_ms` later and starts again `back_ms`
    /// after that.
    CrashAfterWrite { what: Written, after_ms: u64, back_ms: u64 },
    /// New instances are up within 0.2 to 2 s.
    FastBoots { ms: u64 },
    /// Commands, or their answers, are delayed by `by_ms`.
    DelayCommands { by_ms: u64, ms: u64 },
    /// Right after this share of the jobs was accepted, ended or cancelled, their users query all
    /// controllers, repeatedly within milliseconds, and repeat the submission; some cancel.
    QueryBursts { percent: u32, ms: u64 },
    /// At the instant at which the last task of this share of the jobs ends, their users query, cancel and
    /// repeat the submission.
    QueriesAtCompletion { percent: u32, ms: u64 },
    /// Every quarter of a second users repeat submissions of open and terminal jobs, cancel what is done, or
    /// submit what lacks a field or can never run.
    InvalidRequests { ms: u64 },
    /// Jobs of one task come four a second; users cancel a quarter of them.
    SingleTaskJobs { ms: u64 },
    /// Users cancel this share of their jobs.
    CancelJobs { percent: u32 },
    /// A zone is partitioned: what is sent into it or out of it is held back until the partition ends.
    ZonePartition { zone: &'static str, ms: u64 },
    /// The same with a controller inside, which reaches that zone's workers and nobody else.
    ZonePartitionWithNode { zone: &'static str, node: usize, ms: u64 },
}

/// The instant of a change of a shard's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OwnerChange {
    /// A controller has acquired the shard.
    Acquired,
    /// It has loaded the shard: the tick in which it becomes ready.
    Loaded,
    /// It has sent the first commands to a machine of the shard.
    FirstCommand,
}

/// What a controller writes to the state service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// The shard's record, with its new owner.
    Acquisition,
    /// The deletion of the shard's record.
    Release,
    /// A placement decision.
    Decision,
    /// A job's terminal state.
    TerminalState,
}

/// What was observed in a run, with times in simulated milliseconds.
#[derive(Debug, Default)]
pub struct Observations {
    /// Shards loaded: when, and by which controller.
    pub loaded: Vec<(u64, usize)>,
    /// Pages that the state service returned.
    pub pages: u64,
    /// Calls of the state service other than watches.
    pub store_calls: u64,
    /// Terminal states as they were written: when, and how long after the job's last task was done.
    pub finals: Vec<(u64, u64)>,
    /// Answers of transactions that were carried out at once and got lost.
    pub lost_answers: u64,
    /// Delayed heartbeats that arrived, by the change of owner that they were delayed until.
    pub delayed_heartbeats: BTreeMap<OwnerChange, u64>,
    /// Scripted crashes after a write: when, and what had been written.
    pub ended_on: Vec<(u64, Written)>,
}

impl Observations {
    /// The time at which the last shard was loaded after the time `at`, and how many were loaded after it.
    pub fn loaded_after(&self, at: u64) -> (u64, usize) {
        let later = self.loaded.iter().filter(|l| l.0 > at);
        (later.clone().map(|l| l.0).max().unwrap_or(0), later.count())
    }
}
