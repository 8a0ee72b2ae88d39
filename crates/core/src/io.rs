//! What goes into the core and what comes out.
use crate::ids::{JobId, Timestamp};
use leaddeal_wire::mesh::NodeMessage;
use leaddeal_wire::state::{Events, Item, Page, Transaction};
use leaddeal_wire::user::{BadJob, Job, JobState};
use leaddeal_wire::worker::{CommandBatch, HeartbeatResponse, WorkerHeartbeat};
use leaddeal_wire::{cloud, mesh};

/// Ties a reply to its request at the gateway.
pub type RequestId = u64;
/// Ties an answer of an outside service to the core's call.
pub type OperationId = u64;

#[derive(Debug)]
pub enum Input {
    Tick,
    Submit {
        req: RequestId,
        id: Option<JobId>,
        job: Result<Box<Job>, BadJob>,
    },
    Get {
        req: RequestId,
        id: JobId,
    },
    Cancel {
        req: RequestId,
        id: JobId,
    },
    WorkerHeartbeat {
        req: RequestId,
        report: Box<WorkerHeartbeat>,
    },
    /// Answer to direct commands.
    CommandOutcome {
        machine: String,
        batch: u64,
        outcome: CommandOutcome,
    },
    Mesh {
        from: String,
        msg: Box<NodeMessage>,
    },
    Store {
        op: OperationId,
        result: StoreResult,
    },
    Cloud {
        op: OperationId,
        result: CloudResult,
    },
}

#[derive(Debug)]
pub enum CommandOutcome {
    /// 200 or 409, with the worker's report.
    Executed(Box<WorkerHeartbeat>),
    Refused(Box<WorkerHeartbeat>),
    /// The connection never came about: nothing will be executed.
    NotSent,
    /// No answer: the commands may still be executed, even minutes later.
    Unknown,
}

#[derive(Debug)]
pub enum StoreResult {
    Lease(u64),
    LeaseRenewed,
    NoLease,
    Committed(u64),
    Conflict(Vec<String>),
    Item(Option<Item>),
    Page(Page),
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

#[derive(Debug)]
pub enum CloudResult {
    Catalog(cloud::Catalog),
    Launched(Vec<String>),
    NoCapacity,
    Released,
    InstanceList(cloud::InstanceList),
    /// Not executed: over the limit, or an outage.
    Refused,
    Unknown,
}

#[derive(Debug)]
pub enum StoreCall {
    NewLease { ttl_ms: u64 },
    RenewLease { lease: u64 },
    EndLease { lease: u64 },
    Transaction(Transaction),
    Get { key: String },
    List { prefix: String, after: Option<String> },
    Watch { prefix: String, after: u64, wait_ms: u64 },
}

#[derive(Debug)]
pub enum CloudCall {
    Catalog,
    Launch(cloud::InstanceRequest),
    Release(Vec<String>),
    List { after: Option<String> },
}

#[derive(Debug, Clone)]
pub struct UserReply {
    pub status: u16,
    pub state: Option<JobState>,
    pub error: Option<String>,
    pub retry_after_s: Option<u32>,
}

#[derive(Debug, Clone)]
pub enum WorkerReply {
    HeartbeatResponse(HeartbeatResponse),
    Redirect(Option<String>),
    Unavailable,
}

#[derive(Debug)]
pub enum Effect {
    User {
        req: RequestId,
        reply: UserReply,
    },
    Worker {
        req: RequestId,
        reply: WorkerReply,
    },
    Mesh {
        to: String,
        msg: mesh::NodeMessage,
    },
    Store {
        op: OperationId,
        call: StoreCall,
    },
    Cloud {
        op: OperationId,
        call: CloudCall,
    },
    Commands {
        machine: String,
        addr: String,
        batch: u64,
        direct: CommandBatch,
    },
    /// (level, event, details); level 0 is an error, 1 info, 2 debug.
    Log(u8, &'static str, String),
}

/// Where the core puts its outputs while it handles one input.
pub struct Effects {
    pub now: Timestamp,
    pub list: Vec<Effect>,
    /// How often a machine was looked at to judge it for a job.
    pub looked: u64,
}

impl Effects {
    pub fn log(&mut self, level: u8, event: &'static str, what: impl FnOnce() -> String) {
        self.list.push(Effect::Log(level, event, what()));
    }
}
