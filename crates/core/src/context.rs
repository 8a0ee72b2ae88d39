//! What parts of the core need while they handle an input: the time, names, settings, the shards'
//! owners, and functions to send, write, call and reply. No part needs the node itself.
use crate::budget::{WriteBudget, WriteClass};
use crate::health::is_recent;
use crate::horizon::Horizons;
use crate::ids::{
    shard_of_job, shard_of_machine, Epoch, JobId, MachineIdx, NodeIdx, Shard, Timestamp,
};
use crate::io::{CloudCall, Effect, Effects, OperationId, RequestId, StoreCall, UserReply};
use crate::jobs::{Job, Objectives};
use crate::keys;
use crate::names::Names;
use crate::quota;
use crate::shard::{Owner, ShardView};
use crate::stored::{OperatorMachinesRecord, QuotaUse};
use leaddeal_wire::mesh::{JobAnswer, NodeMessage, QuotaAmount, ShardMessage};
use leaddeal_wire::state::{Change, Condition, Transaction};
use leaddeal_wire::user::{self, JobState, JobStatus};
use leaddeal_wire::worker::CommandBatch;
use std::collections::{HashMap, VecDeque};

/// A user asks again after this many seconds if nothing can be said now.
pub(crate) const UNKNOWN_RETRY_S: u32 = 1;

/// What the core needs of the settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// For how long a worker runs on after its last answered heartbeat, in ms.
    pub worker_lease_ms: u64,
    /// A cancelled job's tasks must be gone this long after its user was told, in ms.
    pub cancel_ms: u64,
    /// A machine silent for this long, in ms, gets no new work.
    pub quiet_ms: u64,
    /// A worker that was answered sends its next heartbeat within this time, in ms.
    pub report_due_ms: u64,
    /// Placements in one decision: as many as one record of the store holds.
    pub max_placements: usize,
    /// Conditions and changes that one transaction of the store may have.
    pub txn_ops: usize,
    /// A new instance may be missing from the cloud's list for this long, in ms.
    pub list_lag_ms: u64,
    /// Between calls to the cloud, in ms, so that all together stay below its limit.
    pub cloud_gap_ms: u64,
    /// The teams with their limits; a team's place here is its number.
    pub teams: Vec<leaddeal_wire::settings::Team>,
    /// The service-level objectives.
    pub objectives: Objectives,
}

/// Why a submission is refused, unless its job is known already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionRejection {
    /// The job can't be read.
    Malformed,
    /// No machine type could take a task of it, or its team's limit is too small for it.
    CanNeverRun,
}

impl SubmissionRejection {
    /// The HTTP status and the text for the user.
    fn status(self) -> (u16, &'static str) {
        match self {
            SubmissionRejection::Malformed => (400, "malformed"),
            SubmissionRejection::CanNeverRun => (422, "can never run"),
        }
    }
}

/// What a job is looked up for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupPurpose {
    /// A user asks for its state.
    GetState,
    /// It was submitted, and the store says that it is known already.
    Resubmission,
    /// It was submitted in a form that is refused unless the job is known.
    RejectedSubmission(SubmissionRejection),
    /// A user cancels it.
    Cancellation,
}

/// A request about a job that is looked up: here, at a sibling or in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobLookup {
    /// The request that is answered.
    pub req: RequestId,
    /// The job.
    pub id: JobId,
    /// What it is looked up for.
    pub purpose: LookupPurpose,
}

/// A call of the provisioner to the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProvisionerOperation {
    /// A page of the list of instances.
    List,
    /// A launch of instances, by the request's number.
    Launch(u64),
    /// A release of instances.
    Release,
}

/// A call to an outside service: what its answer is for. Epochs are those under which the call was
/// made: the answer is for no other owner of the shard.
#[derive(Debug)]
pub enum Operation {
    /// A request for a lease for this node.
    NewLease {
        /// When it was sent.
        sent: Timestamp,
    },
    /// A renewal of this node's lease.
    RenewLease {
        /// When it was sent.
        sent: Timestamp,
        /// The lease's number.
        lease: u64,
    },
    /// The list of all shards' keys.
    ListShards,
    /// The watch on all shards' keys.
    WatchShards,
    /// A transaction that makes this node the shard's owner.
    Acquire {
        /// The shard.
        shard: Shard,
    },
    /// A transaction that gives the shard back.
    Release {
        /// The shard.
        shard: Shard,
        /// The epoch under which this node owned it.
        epoch: Epoch,
    },
    /// A page or an event of the records that a coordinator reads.
    Records {
        /// The shard.
        shard: Shard,
        /// The epoch of the coordinator that made the call.
        epoch: Epoch,
    },
    /// The write of a decision.
    Decide {
        /// The shard.
        shard: Shard,
        /// The epoch of the coordinator that made the call.
        epoch: Epoch,
    },
    /// The write of completed tasks as bitmaps.
    Compaction {
        /// The shard.
        shard: Shard,
        /// The epoch of the coordinator that made the call.
        epoch: Epoch,
    },
    /// The write of a job's terminal state.
    Finish {
        /// The shard.
        shard: Shard,
        /// The epoch of the coordinator that made the call.
        epoch: Epoch,
        /// The job.
        job: JobId,
    },
    /// The write of a new job.
    Submit {
        /// The user's request.
        req: RequestId,
        /// The job.
        id: JobId,
        /// The job's record.
        value: serde_json::Value,
    },
    /// The read of a job.
    ReadJob {
        /// What is looked up, and for what.
        lookup: JobLookup,
    },
    /// The read of a job's terminal state.
    ReadTerminalState {
        /// What is looked up, and for what.
        lookup: JobLookup,
    },
    /// A page or an event of a silent owner's terminal states.
    TerminalStates {
        /// The shard.
        shard: Shard,
        /// When the call was made.
        asked: Timestamp,
    },
    /// The creation of the record of the newest machine of the operator.
    PutOperatorMachines,
    /// The read of that record.
    GetOperatorMachines,
    /// The cloud's machine types.
    Catalog,
    /// A call of the provisioner that acts under that epoch.
    Provisioner(Epoch, ProvisionerOperation),
}

impl Operation {
    /// Whether it counts against the service's limit of changes.
    pub(crate) fn counts_as_write(&self) -> bool {
        matches!(
            self,
            Operation::Decide { .. }
                | Operation::Compaction { .. }
                | Operation::Finish { .. }
                | Operation::Submit { .. }
        )
    }
}

/// Calls to outside services that are not answered yet. Invariant: no number is given twice.
#[derive(Debug, Default)]
pub(crate) struct PendingOperations {
    /// The newest number given.
    last: OperationId,
    /// By number.
    pub open: HashMap<OperationId, Operation>,
}

impl PendingOperations {
    /// Gives a call its number.
    fn begin(&mut self, operation: Operation) -> OperationId {
        self.last += 1;
        self.open.insert(self.last, operation);
        self.last
    }
}

/// A message from one shard to another, on its way out.
#[derive(Debug)]
pub(crate) struct OutgoingMessage {
    pub from: Shard,
    pub to: Shard,
    pub message: ShardMessage,
}

/// A request that a sibling made on behalf of its user.
#[derive(Debug)]
pub(crate) struct RelayedRequest {
    /// The sibling's name.
    pub node: String,
    /// Its number of the call.
    pub call: u64,
}

/// What parts of the core need of the node while they handle an input.
pub struct Context<'a> {
    /// The steady clock, in ms since an arbitrary moment: it never goes back. For intervals.
    pub now: Timestamp,
    /// The wall clock, in ms since 1970: it may be set, also back. For what is stored or shown.
    pub wall_clock_ms: u64,
    /// This node's lease is certainly not over yet: what it owns is its own.
    pub lease_valid: bool,
    /// Set by a part when a coordinator may have work for a decision round.
    pub wake: bool,
    /// What is sent, written and answered.
    pub effects: &'a mut Effects,
    /// Numbers of names, and the cloud's catalog.
    pub names: &'a mut Names,
    /// The settings.
    pub config: &'a Config,
    /// Changes that this node may still write.
    pub budget: &'a mut WriteBudget,
    /// What was cancelled, and up to when it is known.
    pub horizons: &'a mut Horizons,
    /// This node.
    pub(crate) me: NodeIdx,
    /// By shard: its owner, as far as is known.
    pub(crate) shard_views: &'a [ShardView],
    /// By node: when something was last received from it.
    pub(crate) heard_at: &'a [Timestamp],
    /// Calls to outside services that are not answered yet.
    pub(crate) operations: &'a mut PendingOperations,
    /// Messages between shards that are not delivered yet.
    pub(crate) outbox: &'a mut VecDeque<OutgoingMessage>,
    /// Requests that siblings made, by the number they have here.
    pub(crate) relayed_requests: &'a mut HashMap<RequestId, RelayedRequest>,
}

impl Context<'_> {
    /// All shards.
    pub fn shards(&self) -> impl Iterator<Item = Shard> {
        (0..self.shard_views.len() as u8).map(Shard)
    }

    /// The shard's owner, as far as is known.
    pub fn owner(&self, shard: Shard) -> Option<Owner> {
        self.shard_views.get(shard.0 as usize).and_then(|view| view.owner)
    }

    /// Whether it is owned by this node, or by one from which something was received recently.
    pub fn reachable(&self, shard: Shard) -> bool {
        self.owner(shard).is_some_and(|owner| {
            let heard_at = self.heard_at.get(owner.node.0 as usize);
            owner.node == self.me || heard_at.is_some_and(|&at| is_recent(at, self.now))
        })
    }

    /// The shard that the job belongs to.
    pub fn shard_of_job(&self, job: JobId) -> Shard {
        shard_of_job(job, self.shard_views.len())
    }

    /// The shard that the machine of that name belongs to.
    pub fn shard_of_machine(&self, name: &str) -> Shard {
        shard_of_machine(name, self.shard_views.len())
    }

    /// A job's team and what a task takes of its limit, if it has one.
    pub fn team_use(&self, job: &Job) -> Option<QuotaUse> {
        let team = self.config.teams.iter().position(|team| team.name == job.wire.team)?;
        quota::limit(&self.config.teams[team])?;
        let need = job.shape.need;
        let amount = QuotaAmount { cpu: need.cpu, gpu: need.gpu };
        Some(QuotaUse { team: team as u8, amount })
    }

    /// Sends a message from one shard to another, which may be on this node too.
    pub fn send(&mut self, from: Shard, to: Shard, message: ShardMessage) {
        self.outbox.push_back(OutgoingMessage { from, to, message });
    }

    /// Calls the state service; the answer comes to what the operation says.
    pub fn store(&mut self, operation: Operation, call: StoreCall) {
        let op = self.operations.begin(operation);
        self.effects.push(Effect::Store { op, call });
    }

    /// Calls the cloud service; the answer comes to what the operation says.
    pub fn cloud(&mut self, operation: Operation, call: CloudCall) {
        let op = self.operations.begin(operation);
        self.effects.push(Effect::Cloud { op, call });
    }

    /// Sends commands to a worker at that address; `batch` ties the answer to them.
    pub fn send_commands(
        &mut self,
        machine: MachineIdx,
        addr: String,
        batch: u64,
        commands: CommandBatch,
    ) {
        let machine = self.names.machine_name(machine).to_string();
        self.effects.push(Effect::Commands { machine, addr, batch, commands });
    }

    /// Creates the record of the newest machine that was there before the service, or reads it.
    pub fn find_operator_machines(&mut self, newest: String) {
        let change = Change::Put {
            key: keys::OPERATOR_MACHINES_KEY.into(),
            value: OperatorMachinesRecord(&newest).encode(),
            lease: None,
        };
        let transaction = Transaction {
            conditions: vec![Condition { key: keys::OPERATOR_MACHINES_KEY.into(), version: 0 }],
            changes: vec![change],
        };
        self.budget.spend(WriteClass::Deferrable, 1);
        self.store(Operation::PutOperatorMachines, StoreCall::Transaction(transaction));
    }

    /// Reads the job from the store.
    pub(crate) fn read_job(&mut self, lookup: JobLookup) {
        let key = keys::job_key(self.shard_of_job(lookup.id), lookup.id);
        self.store(Operation::ReadJob { lookup }, StoreCall::Get { key });
    }

    /// Reads the job's terminal state from the store.
    pub(crate) fn read_terminal_state(&mut self, lookup: JobLookup) {
        let key = keys::terminal_state_key(self.shard_of_job(lookup.id), lookup.id);
        self.store(Operation::ReadTerminalState { lookup }, StoreCall::Get { key });
    }

    /// Answers a lookup: neither the job nor its terminal state is in the store.
    pub(crate) fn reply_unknown(&mut self, lookup: JobLookup) {
        match lookup.purpose {
            LookupPurpose::RejectedSubmission(rejection) => {
                self.reply_rejection(lookup.req, rejection);
            }
            LookupPurpose::Resubmission => self.reply_later(lookup.req, 503, UNKNOWN_RETRY_S),
            LookupPurpose::GetState | LookupPurpose::Cancellation => {
                self.reply_error(lookup.req, 404, "unknown job", None);
            }
        }
    }

    /// Refuses a submission for good.
    pub(crate) fn reply_rejection(&mut self, req: RequestId, rejection: SubmissionRejection) {
        let (status, why) = rejection.status();
        self.reply_error(req, status, why, None);
    }

    /// Answers a request of a user, or of a sibling on behalf of its user.
    pub fn reply(&mut self, req: RequestId, reply: UserReply) {
        let Some(RelayedRequest { node, call }) = self.relayed_requests.remove(&req) else {
            self.effects.push(Effect::User { req, reply });
            return;
        };
        let answer = match (reply.status, reply.state) {
            (200 | 201, Some(state)) => JobAnswer::State(state),
            (404, _) => JobAnswer::Unknown,
            _ => JobAnswer::Later,
        };
        self.effects.push(Effect::Mesh { to: node, msg: NodeMessage::JobAnswer { call, answer } });
    }

    /// Answers with a job's state and that HTTP status.
    pub fn reply_state(&mut self, req: RequestId, status: u16, state: JobState) {
        self.reply(req, UserReply { status, ..UserReply::found(state) });
    }

    /// Refuses for now; the user may ask again after that many seconds.
    pub fn reply_later(&mut self, req: RequestId, status: u16, after_s: u32) {
        self.reply_error(req, status, "try again later", Some(after_s));
    }

    /// Refuses with that HTTP status and text; if `after_s` is given, the user may ask again then.
    pub fn reply_error(&mut self, req: RequestId, status: u16, why: &str, after_s: Option<u32>) {
        let reply =
            UserReply { status, state: None, error: Some(why.to_string()), retry_after_s: after_s };
        self.reply(req, reply);
    }
}

/// The state of a job of which nothing is known but that it is there.
pub(crate) fn queued(id: JobId) -> JobState {
    JobState { id: user::job_id(id.0), status: JobStatus::Queued, done: 0, running: 0 }
}
