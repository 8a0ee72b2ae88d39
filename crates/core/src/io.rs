//! What goes into the core and what comes out.
use crate::ids::{JobId, Now};
use leaddeal_wire::mesh::NodeMsg;
use leaddeal_wire::state::{Events, Item, Page, Txn};
use leaddeal_wire::user::{BadJob, Job, JobState};
use leaddeal_wire::worker::{Answer, Direct, Report};
use leaddeal_wire::{cloud, mesh};

/// Ties a reply to its request at the gateway.
pub type ReqId = u64;
/// Ties an answer of an outside service to the core's call.
pub type OpId = u64;

#[derive(Debug)]
pub enum Input {
    Tick,
    Submit {
        req: ReqId,
        id: Option<JobId>,
        job: Result<Box<Job>, BadJob>,
    },
    Get {
        req: ReqId,
        id: JobId,
    },
    Cancel {
        req: ReqId,
        id: JobId,
    },
    Report {
        req: ReqId,
        report: Box<Report>,
    },
    /// Answer to direct commands.
    Orders {
        machine: String,
        batch: u64,
        outcome: DirectOutcome,
    },
    Mesh {
        from: String,
        msg: Box<NodeMsg>,
    },
    Store {
        op: OpId,
        result: StoreResult,
    },
    Cloud {
        op: OpId,
        result: CloudResult,
    },
}

#[derive(Debug)]
pub enum DirectOutcome {
    /// 200 or 409, with the worker's report.
    Executed(Box<Report>),
    Refused(Box<Report>),
    /// The connection never came about: nothing will be executed.
    NotSent,
    /// No answer: the commands may still be executed, even minutes later.
    Unknown,
}

#[derive(Debug)]
pub enum StoreResult {
    Lease(u64),
    Touched,
    NoLease,
    Committed(u64),
    Conflict(Vec<String>),
    Item(Option<Item>),
    Page(Page),
    Events(Events),
    /// The watch is too far behind.
    TooOld,
    /// Certainly not executed (503).
    Refused,
    /// Certainly not executed: over the service's limits (429).
    TooMany,
    /// May have been executed, or may yet be.
    Unknown,
}

#[derive(Debug)]
pub enum CloudResult {
    Catalog(cloud::Catalog),
    Rented(Vec<String>),
    NoCapacity,
    Released,
    Listing(cloud::Listing),
    /// Not executed: over the limit, or an outage.
    Refused,
    Unknown,
}

#[derive(Debug)]
pub enum StoreCall {
    NewLease { ttl_ms: u64 },
    Touch { lease: u64 },
    EndLease { lease: u64 },
    Txn(Txn),
    Get { key: String },
    List { prefix: String, after: Option<String> },
    Watch { prefix: String, after: u64, wait_ms: u64 },
}

#[derive(Debug)]
pub enum CloudCall {
    Catalog,
    Rent(cloud::Rent),
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
    Answer(Answer),
    Redirect(Option<String>),
    Unavailable,
}

#[derive(Debug)]
pub enum Output {
    User {
        req: ReqId,
        reply: UserReply,
    },
    Worker {
        req: ReqId,
        reply: WorkerReply,
    },
    Mesh {
        to: String,
        msg: mesh::NodeMsg,
    },
    Store {
        op: OpId,
        call: StoreCall,
    },
    Cloud {
        op: OpId,
        call: CloudCall,
    },
    Orders {
        machine: String,
        addr: String,
        batch: u64,
        direct: Direct,
    },
    /// (level, event, details); level 0 is an error, 1 info, 2 debug.
    Log(u8, &'static str, String),
}

/// Where the core puts its outputs while it handles one input.
pub struct Out {
    pub now: Now,
    pub list: Vec<Output>,
    /// How often a machine was looked at to judge it for a job.
    pub looked: u64,
}

impl Out {
    pub fn log(&mut self, level: u8, event: &'static str, what: impl FnOnce() -> String) {
        self.list.push(Output::Log(level, event, what()));
    }
}
