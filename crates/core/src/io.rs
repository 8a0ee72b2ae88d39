//! Inputs and effects of the core, and the calls that it makes to outside services.
use crate::ids::{JobId, Timestamp};
use leaddeal_wire::mesh::NodeMessage;
use leaddeal_wire::state::{Events, Item, Page, Transaction};
use leaddeal_wire::user::{Job, JobError, JobState};
use leaddeal_wire::worker::{CommandBatch, HeartbeatResponse, WorkerHeartbeat};
use leaddeal_wire::{cloud, mesh};

/// Correlates a reply with its request at the gateway.
pub type RequestId = u64;
/// Correlates the answer of an outside service with the core's call.
pub type OperationId = u64;

/// An event that the core handles. Inputs are handled one at a time.
#[derive(Debug)]
pub enum Input {
    /// Time has passed: due timers run.
    Tick,
    /// A user submits a job.
    Submit {
        /// The request to answer.
        req: RequestId,
        /// The job's number; `None` if its name can't be parsed.
        id: Option<JobId>,
        /// The job, or why it can't be parsed.
        job: Result<Box<Job>, JobError>,
    },
    /// A user asks for a job's state.
    Get {
        /// The request to answer.
        req: RequestId,
        /// The job.
        id: JobId,
    },
    /// A user cancels a job.
    Cancel {
        /// The request to answer.
        req: RequestId,
        /// The job.
        id: JobId,
    },
    /// A heartbeat that a worker sent to this node.
    WorkerHeartbeat {
        /// The request to answer.
        req: RequestId,
        /// The heartbeat.
        heartbeat: Box<WorkerHeartbeat>,
    },
    /// The outcome of [`Effect::Commands`].
    CommandOutcome {
        /// The machine's name.
        machine: String,
        /// The number of the batch.
        batch: u64,
        /// The outcome.
        outcome: CommandOutcome,
    },
    /// A message from a sibling, which is another controller.
    Mesh {
        /// The sibling's name.
        from: String,
        /// The message.
        msg: Box<NodeMessage>,
    },
    /// The state service's answer to a call.
    Store {
        /// The number of the call.
        op: OperationId,
        /// The answer.
        result: StoreResult,
    },
    /// The cloud service's answer to a call.
    Cloud {
        /// The number of the call.
        op: OperationId,
        /// The answer.
        result: CloudResult,
    },
}

/// The outcome of a batch of commands sent directly to a worker.
#[derive(Debug)]
pub enum CommandOutcome {
    /// 200: the commands were executed; with the worker's status.
    Executed(Box<WorkerHeartbeat>),
    /// 409: the commands were not executed; with the worker's status.
    Refused(Box<WorkerHeartbeat>),
    /// No connection was established, so the commands will never be executed.
    NotSent,
    /// No answer was received: the commands may have been executed, or may still be, even minutes
    /// later.
    Unknown,
}

/// The state service's answer. A revision is a counter of all changes to the store.
#[derive(Debug)]
pub enum StoreResult {
    /// The number of a new lease.
    Lease(u64),
    /// The lease was renewed.
    LeaseRenewed,
    /// The lease has expired or never existed.
    NoLease,
    /// The transaction was committed at this revision.
    Committed(u64),
    /// The transaction was not committed: these keys did not have the versions that its conditions
    /// require.
    Conflict(Vec<String>),
    /// The item of a key; `None` if the key does not exist.
    Item(Option<Item>),
    /// One page of a list.
    Page(Page),
    /// The changes that a watch received.
    Events(Events),
    /// The revision after which to watch is older than the history that the store keeps.
    Compacted,
    /// 503: the call was not executed and will not be.
    Refused,
    /// 429: the call exceeds the service's rate limits; it was not executed and will not be.
    RateLimited,
    /// The call may have been executed, or may still be.
    Unknown,
}

/// The cloud service's answer.
#[derive(Debug)]
pub enum CloudResult {
    /// The machine types.
    Catalog(cloud::Catalog),
    /// The names of the instances that were launched.
    Launched(Vec<String>),
    /// Nothing was launched: the cloud has no such instances at present.
    NoCapacity,
    /// The instances were released.
    Released,
    /// One page of the list of instances.
    InstanceList(cloud::InstanceList),
    /// The call was not executed because of the rate limit or an outage.
    Refused,
    /// The call may have been executed, or may still be.
    Unknown,
}

/// A call to the state service.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Creates a lease.
    NewLease {
        /// Time from the grant or a renewal to the lease's expiry, in ms.
        ttl_ms: u64,
    },
    /// Renews the lease.
    RenewLease {
        /// The lease's number.
        lease: u64,
    },
    /// Ends the lease and deletes the keys bound to it.
    EndLease {
        /// The lease's number.
        lease: u64,
    },
    /// Commits the changes atomically if all conditions hold.
    Transaction(Transaction),
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads one page of the items whose keys have the prefix.
    List {
        /// The prefix of the keys.
        prefix: String,
        /// The last key of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// Waits for changes of keys with the prefix.
    Watch {
        /// The prefix of the keys.
        prefix: String,
        /// Only changes after this revision are returned.
        after: u64,
        /// How long the service waits for a change before it answers with none, in ms.
        wait_ms: u64,
    },
}

/// A call to the cloud service.
#[derive(Clone, Debug)]
pub enum CloudCall {
    /// Reads the machine types.
    Catalog,
    /// Launches instances.
    Launch(cloud::InstanceRequest),
    /// Releases the instances with these names.
    Release(Vec<String>),
    /// Reads one page of the list of instances.
    List {
        /// The last name of the previous page; `None` for the first page.
        after: Option<String>,
    },
}

/// The reply to a user's request.
#[derive(Debug, Clone)]
pub struct UserReply {
    /// The HTTP status.
    pub status: u16,
    /// The job's state, if the request succeeded.
    pub state: Option<JobState>,
    /// Why the request was refused, as text for the user.
    pub error: Option<String>,
    /// The user should retry after this many seconds (`Retry-After`).
    pub retry_after_s: Option<u32>,
}

impl UserReply {
    /// Returns the reply for a known job with this state (200).
    pub fn found(state: JobState) -> UserReply {
        UserReply { status: 200, state: Some(state), error: None, retry_after_s: None }
    }

    /// Returns the reply for a request that created the job (201).
    pub fn created(state: JobState) -> UserReply {
        UserReply { status: 201, ..UserReply::found(state) }
    }
}

/// The reply to a worker's heartbeat.
#[derive(Debug, Clone)]
pub enum WorkerReply {
    /// The response of the machine's participant, which renews the worker's lease.
    HeartbeatResponse(HeartbeatResponse),
    /// The worker should send its heartbeat to the node of this name; `None`: to the next node.
    Redirect(Option<String>),
    /// The owner of the machine's shard is unknown, or this node owns the shard but may not answer
    /// at present.
    Unavailable,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// A fault that an operator should look into.
    Error = 0,
    /// Normal operation that operators want to follow.
    Info = 1,
    /// Details for debugging.
    Debug = 2,
}

/// An action that the core requests after an input.
#[derive(Debug)]
pub enum Effect {
    /// A reply to a user.
    User {
        /// The request that this answers.
        req: RequestId,
        /// The reply.
        reply: UserReply,
    },
    /// A reply to a worker's heartbeat.
    Worker {
        /// The request that this answers.
        req: RequestId,
        /// The reply.
        reply: WorkerReply,
    },
    /// A message to a sibling.
    Mesh {
        /// The sibling's name.
        to: String,
        /// The message.
        msg: mesh::NodeMessage,
    },
    /// A call to the state service.
    Store {
        /// The number of the call.
        op: OperationId,
        /// The call.
        call: StoreCall,
    },
    /// A call to the cloud service.
    Cloud {
        /// The number of the call.
        op: OperationId,
        /// The call.
        call: CloudCall,
    },
    /// A batch of commands sent directly to a worker, outside of its heartbeats.
    Commands {
        /// The machine's name.
        machine: String,
        /// The address at which the worker listens.
        addr: String,
        /// The number of the batch, which [`Input::CommandOutcome`] repeats.
        batch: u64,
        /// The commands.
        commands: CommandBatch,
    },
    /// A log line; the events are listed in `docs/operations.md`.
    Log {
        /// The severity.
        level: LogLevel,
        /// The name of the event.
        event: &'static str,
        /// The event's fields as `name=value`, or a single name.
        details: String,
    },
}

/// Collects the effects of one input while the core handles it.
pub struct Effects {
    /// Time at which the input is handled, on the monotonic clock.
    pub now: Timestamp,
    /// The effects, in the order in which they must be carried out.
    pub list: Vec<Effect>,
    /// Number of times that a machine was evaluated for a job.
    pub machines_evaluated: u64,
    /// Log lines above this level are left out, so that they cost nothing.
    pub max_log_level: LogLevel,
}

impl Effects {
    /// Returns an empty collection for an input that is handled at `now`.
    pub fn new(now: Timestamp) -> Effects {
        Effects { now, list: Vec::new(), machines_evaluated: 0, max_log_level: LogLevel::Info }
    }

    /// Appends an effect.
    pub fn push(&mut self, effect: Effect) {
        self.list.push(effect);
    }

    /// Appends a log line, unless lines of its level are left out.
    pub fn log(&mut self, level: LogLevel, event: &'static str, details: impl FnOnce() -> String) {
        if level <= self.max_log_level {
            self.push(Effect::Log { level, event, details: details() });
        }
    }
}
