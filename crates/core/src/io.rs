//! What goes into the core and what comes out.
use crate::ids::{JobId, Timestamp};
use leaddeal_wire::mesh::NodeMessage;
use leaddeal_wire::state::{Events, Item, Page, Transaction};
use leaddeal_wire::user::{Job, JobError, JobState};
use leaddeal_wire::worker::{CommandBatch, HeartbeatResponse, WorkerHeartbeat};
use leaddeal_wire::{cloud, mesh};

/// Ties a reply to its request at the gateway.
pub type RequestId = u64;
/// Ties an answer of an outside service to the core's call.
pub type OperationId = u64;

/// What happens to the core, one at a time.
#[derive(Debug)]
pub enum Input {
    /// Some time has passed.
    Tick,
    /// A user submits a job; `id` is none if it can't be read.
    Submit {
        /// The request that is to be answered.
        req: RequestId,
        /// The job's number.
        id: Option<JobId>,
        /// The job, or why it can't be read.
        job: Result<Box<Job>, JobError>,
    },
    /// A user asks for a job's state.
    Get {
        /// The request that is to be answered.
        req: RequestId,
        /// The job.
        id: JobId,
    },
    /// A user cancels a job.
    Cancel {
        /// The request that is to be answered.
        req: RequestId,
        /// The job.
        id: JobId,
    },
    /// A worker's heartbeat.
    WorkerHeartbeat {
        /// The request that is to be answered.
        req: RequestId,
        /// The heartbeat.
        report: Box<WorkerHeartbeat>,
    },
    /// What became of a batch of direct commands to a worker.
    CommandOutcome {
        /// The machine's name.
        machine: String,
        /// The number of the batch.
        batch: u64,
        /// What became of it.
        outcome: CommandOutcome,
    },
    /// A message of the sibling of that name.
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

/// What became of a batch of direct commands.
#[derive(Debug)]
pub enum CommandOutcome {
    /// 200, with the worker's report.
    Executed(Box<WorkerHeartbeat>),
    /// 409: not executed, with the worker's report.
    Refused(Box<WorkerHeartbeat>),
    /// The connection never came about: nothing will be executed.
    NotSent,
    /// No answer: the commands may still be executed, even minutes later.
    Unknown,
}

/// The state service's answer. Revisions count all changes of the store.
#[derive(Debug)]
pub enum StoreResult {
    /// A new lease, with its number.
    Lease(u64),
    /// The lease was renewed.
    LeaseRenewed,
    /// The lease is over, or never was.
    NoLease,
    /// The transaction was executed, at this revision.
    Committed(u64),
    /// The transaction was not executed: these keys did not have the versions of its conditions.
    Conflict(Vec<String>),
    /// The value of a key, if it is there.
    Item(Option<Item>),
    /// A page of a list.
    Page(Page),
    /// What a watch has seen.
    Events(Events),
    /// The watch is too far behind.
    Compacted,
    /// Certainly not executed (503).
    Refused,
    /// Certainly not executed: over the service's limits (429).
    RateLimited,
    /// May have been executed, or may yet be.
    Unknown,
}

/// The cloud service's answer.
#[derive(Debug)]
pub enum CloudResult {
    /// The machine types.
    Catalog(cloud::Catalog),
    /// Instances were launched, with these names.
    Launched(Vec<String>),
    /// Not launched: the cloud has no such instances now.
    NoCapacity,
    /// The instances were released.
    Released,
    /// A page of the list of instances.
    InstanceList(cloud::InstanceList),
    /// Not executed: over the limit, or an outage.
    Refused,
    /// May have been executed, or may yet be.
    Unknown,
}

/// A call to the state service.
#[derive(Debug)]
pub enum StoreCall {
    /// A new lease.
    NewLease {
        /// Its life after a renewal, in ms.
        ttl_ms: u64,
    },
    /// Renews the lease.
    RenewLease {
        /// The lease's number.
        lease: u64,
    },
    /// Ends the lease, and deletes its keys.
    EndLease {
        /// The lease's number.
        lease: u64,
    },
    /// Makes the changes together, if all conditions hold.
    Transaction(Transaction),
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// A page of the keys with that prefix, after that key if one is given.
    List {
        /// The prefix of the keys.
        prefix: String,
        /// The last one of the page before; none: the first page.
        after: Option<String>,
    },
    /// Changes of keys with that prefix, after that revision; answered after `wait_ms` if there
    /// are none.
    Watch {
        /// The prefix of the keys.
        prefix: String,
        /// Changes after this revision.
        after: u64,
        /// For how long to wait for a change, in ms.
        wait_ms: u64,
    },
}

/// A call to the cloud service.
#[derive(Debug)]
pub enum CloudCall {
    /// The machine types.
    Catalog,
    /// Launches instances.
    Launch(cloud::InstanceRequest),
    /// Releases the instances of these names.
    Release(Vec<String>),
    /// A page of the instances, after that name if one is given.
    List {
        /// The last one of the page before; none: the first page.
        after: Option<String>,
    },
}

/// An answer to a user.
#[derive(Debug, Clone)]
pub struct UserReply {
    /// The HTTP status.
    pub status: u16,
    /// The job's state, if the request succeeded.
    pub state: Option<JobState>,
    /// Why the request was refused, for people.
    pub error: Option<String>,
    /// After how many seconds to ask again (`Retry-After`).
    pub retry_after_s: Option<u32>,
}

impl UserReply {
    /// 200: the job is known, and this is its state.
    pub fn found(state: JobState) -> UserReply {
        UserReply { status: 200, state: Some(state), error: None, retry_after_s: None }
    }

    /// 201: the request created the job.
    pub fn created(state: JobState) -> UserReply {
        UserReply { status: 201, ..UserReply::found(state) }
    }
}

/// An answer to a worker's heartbeat.
#[derive(Debug, Clone)]
pub enum WorkerReply {
    /// The answer of its machine's participant, which renews its lease.
    HeartbeatResponse(HeartbeatResponse),
    /// To be asked instead: the node of that name, or the next one.
    Redirect(Option<String>),
    /// No owner of its machine's shard is known, or this node may not answer for it now.
    Unavailable,
}

/// How important a line of the log is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Something is wrong that people should look into.
    Error = 0,
    /// What operators want to see of normal work.
    Info = 1,
    /// For the search for faults.
    Debug = 2,
}

/// What the core wants done, after one input.
#[derive(Debug)]
pub enum Effect {
    /// An answer to a user.
    User {
        /// The request that this answers.
        req: RequestId,
        /// The answer.
        reply: UserReply,
    },
    /// An answer to a worker's heartbeat.
    Worker {
        /// The request that this answers.
        req: RequestId,
        /// The answer.
        reply: WorkerReply,
    },
    /// A message to the sibling of that name.
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
    /// Direct commands to a worker at that address.
    Commands {
        /// The machine's name.
        machine: String,
        /// Where its worker listens.
        addr: String,
        /// The number of the batch.
        batch: u64,
        /// The commands.
        direct: CommandBatch,
    },
    /// A line of the log; the events are listed in `docs/operations.md`.
    Log {
        /// How important it is.
        level: LogLevel,
        /// The name of the event.
        event: &'static str,
        /// Its fields, as `name=value`, or a name.
        details: String,
    },
}

/// Where the core puts its outputs while it handles one input.
pub struct Effects {
    /// When the input is handled, by the steady clock.
    pub now: Timestamp,
    /// In the order in which they are to be done.
    pub list: Vec<Effect>,
    /// How often a machine was evaluated for a job.
    pub machines_evaluated: u64,
}

impl Effects {
    /// No outputs yet.
    pub fn new(now: Timestamp) -> Effects {
        Effects { now, list: Vec::new(), machines_evaluated: 0 }
    }

    /// One more output.
    pub fn push(&mut self, effect: Effect) {
        self.list.push(effect);
    }

    /// One more line of the log.
    pub fn log(&mut self, level: LogLevel, event: &'static str, details: impl FnOnce() -> String) {
        self.push(Effect::Log { level, event, details: details() });
    }
}
