//! The simulator's events and the queue that orders them.
use super::controllers::Process;
use super::late_copies::LateCopy;
use crate::script::Fault;
use crate::user_knowledge::{RequestKind, UserRequest};
use leaddeal_core::io::{Input, StoreCall, StoreResult, WorkerReply};
use leaddeal_wire::state::Events;
use leaddeal_wire::worker::{CommandBatch, WorkerHeartbeat};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// An event of the simulation, which happens at a simulated time.
pub(super) enum Event {
    /// A controller's periodic tick.
    Tick(Process),
    /// An input reaches a controller.
    NodeInput { process: Process, input: Input },
    /// A call reaches the store.
    Store(SentStoreCall),
    /// The store's answer to a call is due at its sender.
    StoreAnswer(SentStoreAnswer),
    /// A watch polls the store for changes.
    Watch(OpenWatch),
    /// The changes that a watch found are due at its sender.
    WatchAnswer { watch: OpenWatch, found: Events },
    /// A worker advances its tasks and sends a heartbeat if one is due.
    WorkerStep { machine: String },
    /// A worker's heartbeat reaches a controller.
    Heartbeat(SentHeartbeat),
    /// The reply to a heartbeat reaches its worker.
    HeartbeatReply(SentHeartbeatReply),
    /// Commands reach a worker.
    Commands(SentCommands),
    /// A late copy of a message or request arrives.
    LateCopy(LateCopy),
    /// A launched instance is up.
    InstanceUp { machine: String },
    /// A crashed controller restarts.
    Restart { node: usize },
    /// A random fault is drawn and injected.
    RandomFault,
    /// A fault of the plan's script is injected.
    ScriptedFault(Fault),
    /// All faults end.
    AllFaultsEnd,
    /// The rules that users are answered and that no job starves are checked.
    CheckLiveness,
    /// Running gangs advance and are checked.
    GangStep,
    /// A user submits a new job.
    NextSubmission,
    /// A user polls its job.
    Poll { job: String },
    /// A user cancels its job.
    Cancel { job: String },
    /// A user repeats a cancellation until it is answered.
    RepeatCancel { job: String },
    /// A user sends a request to a given controller.
    RequestAt { node: usize, kind: RequestKind, job: String },
    /// The next random window of query bursts begins.
    RandomQueryBurst,
    /// A user sends an invalid or repeated request; more follow until the time `until`.
    InvalidRequest { until: u64 },
    /// A user submits a job of a single task; more follow until the time `until`.
    SingleTaskJob { until: u64 },
}

/// A call on its way to the store.
pub(super) struct SentStoreCall {
    pub(super) process: Process,
    pub(super) op: u64,
    pub(super) call: StoreCall,
}

/// The answer to a call that the store has executed, on its way to the sender of the call.
pub(super) struct SentStoreAnswer {
    pub(super) process: Process,
    pub(super) op: u64,
    pub(super) result: StoreResult,
    pub(super) executed_at: u64,
}

/// A watch that waits for changes after the revision `after`, until the time `until`.
pub(super) struct OpenWatch {
    pub(super) process: Process,
    pub(super) op: u64,
    pub(super) prefix: String,
    pub(super) after: u64,
    pub(super) until: u64,
}

/// A heartbeat on its way to a controller.
pub(super) struct SentHeartbeat {
    pub(super) node: usize,
    /// When it was sent; 0 for a copy, whose reply no worker waits for.
    pub(super) sent_at: u64,
    pub(super) heartbeat: WorkerHeartbeat,
}

/// The reply to a heartbeat on its way to the worker; `reply` is `None` if it was lost.
pub(super) struct SentHeartbeatReply {
    pub(super) request: HeartbeatRequest,
    pub(super) reply: Option<WorkerReply>,
}

/// Commands on their way to a worker.
#[derive(Clone)]
pub(super) struct SentCommands {
    pub(super) process: Process,
    pub(super) machine: String,
    pub(super) batch: u64,
    pub(super) commands: CommandBatch,
    /// The sender is told only that the outcome is unknown.
    pub(super) answer_lost: bool,
    /// The worker has received the commands before.
    pub(super) is_copy: bool,
}

/// Identifies a request to a controller process.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct RequestId {
    pub(super) process: Process,
    pub(super) number: u64,
}

/// Who waits for the answer to a request.
pub(super) enum PendingRequest {
    User(UserRequest),
    Heartbeat(HeartbeatRequest),
}

/// A heartbeat whose worker waits for the reply.
pub(super) struct HeartbeatRequest {
    pub(super) machine: String,
    pub(super) sent_at: u64,
    pub(super) incarnation: u64,
}

/// Events ordered by time; events of the same time are in the order in which they were added.
#[derive(Default)]
pub(super) struct EventQueue {
    added: u64,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
}

impl EventQueue {
    /// Adds an event that is due at `time`.
    pub(super) fn add(&mut self, time: u64, event: Event) {
        self.added += 1;
        self.due.push(Reverse((time, self.added)));
        self.events.insert(self.added, event);
    }

    /// Removes and returns the next event that is due at `end` or before, with its time.
    pub(super) fn next_until(&mut self, end: u64) -> Option<(u64, Event)> {
        let &Reverse((time, number)) = self.due.peek()?;
        if time > end {
            return None;
        }
        self.due.pop();
        let event = self.events.remove(&number);
        debug_assert!(event.is_some(), "each due number has its event");
        Some((time, event?))
    }
}
