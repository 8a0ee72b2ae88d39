//! What the components of a node need while they handle an input: the time, names, settings, the
//! shards' owners, and functions to send, write, call and reply. No component depends on the node
//! itself.
use crate::budget::{WriteBudget, WriteClass};
use crate::health::counts_as_reachable;
use crate::horizon::Horizons;
use crate::ids::{
    shard_of_job, shard_of_machine, Epoch, JobId, MachineIdx, NodeIdx, Shard, Timestamp,
};
use crate::io::{
    CloudCall, Effect, Effects, LogLevel, OperationId, RequestId, StoreCall, UserReply,
};
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

/// `Retry-After`, in seconds, of a reply while the state of the job can't be determined.
pub(crate) const UNKNOWN_RETRY_S: u32 = 1;

/// The settings that the core needs.
#[derive(Clone, Debug)]
pub struct Config {
    /// How long a worker keeps its tasks running after its last answered heartbeat, in ms.
    pub worker_lease_ms: u64,
    /// Time from the acknowledgement of a cancellation until all tasks of the job must be gone, in
    /// ms.
    pub cancel_ms: u64,
    /// A machine that has been silent for this long, in ms, gets no new tasks.
    pub max_silence_ms: u64,
    /// Time within which a worker whose heartbeat was answered sends the next one, in ms.
    pub heartbeat_due_ms: u64,
    /// Most placements in one decision, which must fit into one record of the store.
    pub max_placements: usize,
    /// Most conditions and changes, counted together, in one transaction of the store.
    pub txn_ops: usize,
    /// How long a new instance may be missing from the cloud's list of instances, in ms.
    pub list_lag_ms: u64,
    /// Interval between calls to the cloud, in ms, which keeps the calls below its rate limit.
    pub cloud_call_interval_ms: u64,
    /// The teams with their quotas; a team's index here is its number.
    pub teams: Vec<leaddeal_wire::settings::Team>,
    /// The service-level objectives.
    pub objectives: Objectives,
}

/// Why a submission is rejected, unless its job is already known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionRejection {
    /// The request is not a valid job.
    Malformed,
    /// No machine type can run a task of the job, or the team's quota is too small for the job.
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

/// Why a job is looked up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupPurpose {
    /// A user asks for the job's state.
    GetState,
    /// The job was submitted, and the store reports that it is already known.
    Resubmission,
    /// The job was submitted in a form that is rejected unless the job is known.
    RejectedSubmission(SubmissionRejection),
    /// A user cancels the job.
    Cancellation,
}

/// A request about a job, which is looked up on this node, at a sibling or in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobLookup {
    /// The request to be answered.
    pub req: RequestId,
    /// The job.
    pub id: JobId,
    /// Why the job is looked up.
    pub purpose: LookupPurpose,
}

/// A call from the provisioner to the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProvisionerOperation {
    /// The read of one page of the list of instances.
    List,
    /// A launch of instances, with the number of the instance request.
    Launch(u64),
    /// A release of instances.
    Release,
}

/// The purpose of a call to an external service, which says who handles the answer. The epoch in an
/// operation is the one under which the call was made: the answer is ignored if the shard has
/// another owner by then.
#[derive(Debug)]
pub enum Operation {
    /// The request for a new lease of this node.
    NewLease {
        /// When the request was sent.
        sent: Timestamp,
    },
    /// The renewal of this node's lease.
    RenewLease {
        /// When the renewal was sent.
        sent: Timestamp,
        /// The number of the lease.
        lease: u64,
    },
    /// The read of all shards' keys.
    ListShards,
    /// The watch on all shards' keys.
    WatchShards {
        /// The number of the watch: a newer one replaces it.
        number: u64,
    },
    /// The transaction that makes this node the shard's owner.
    Acquire {
        /// The shard.
        shard: Shard,
        /// The lease that the shard's key is bound to.
        lease: Option<u64>,
    },
    /// The transaction that releases the shard.
    Release {
        /// The shard.
        shard: Shard,
        /// The epoch under which this node owned it.
        epoch: Epoch,
    },
    /// The transaction without changes that proves that this node still owns the shard.
    ProveOwnership {
        /// The shard.
        shard: Shard,
        /// The epoch under which this node owns it.
        epoch: Epoch,
    },
    /// The read of one page, or the watch, of the records that a coordinator loads.
    ReadRecords {
        /// The shard.
        shard: Shard,
        /// The epoch of the coordinator that made the call.
        epoch: Epoch,
    },
    /// The write of a decision.
    WriteDecision {
        /// The shard.
        shard: Shard,
        /// The epoch of the coordinator that made the call.
        epoch: Epoch,
    },
    /// The write of a compaction: completed tasks as bitmaps.
    WriteCompaction {
        /// The shard.
        shard: Shard,
        /// The epoch of the coordinator that made the call.
        epoch: Epoch,
    },
    /// The write of the terminal state of a cancelled job.
    WriteCancellation {
        /// The shard.
        shard: Shard,
        /// The epoch of the coordinator that made the call.
        epoch: Epoch,
        /// The job.
        job: JobId,
    },
    /// The write of a new job.
    WriteSubmission {
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
    /// The read of one page, or the watch, of the terminal states of a shard whose owner is silent.
    ReadTerminalStates {
        /// The shard.
        shard: Shard,
        /// When the call was made.
        asked: Timestamp,
    },
    /// The creation of the record that names the newest machine that the operator provides.
    PutOperatorMachines,
    /// The read of that record.
    GetOperatorMachines,
    /// The read of the cloud's machine types.
    Catalog,
    /// A call from the provisioner that acts under this epoch.
    Provisioner(Epoch, ProvisionerOperation),
}

impl Operation {
    /// Whether the operation counts against the store's limit of changes.
    pub(crate) fn counts_as_write(&self) -> bool {
        matches!(
            self,
            Operation::WriteDecision { .. }
                | Operation::WriteCompaction { .. }
                | Operation::WriteCancellation { .. }
                | Operation::WriteSubmission { .. }
        )
    }
}

/// Calls to external services that are not answered yet. Invariant: no number is assigned twice.
#[derive(Debug, Default)]
pub(crate) struct PendingOperations {
    /// The last number that was assigned; 0 before the first call.
    last_id: OperationId,
    /// The unanswered calls, by number.
    pub by_id: HashMap<OperationId, Operation>,
}

impl PendingOperations {
    /// Assigns a number to a call.
    fn register(&mut self, operation: Operation) -> OperationId {
        self.last_id += 1;
        self.by_id.insert(self.last_id, operation);
        self.last_id
    }
}

/// A message from one shard to another that has not been sent yet.
#[derive(Debug)]
pub(crate) struct OutgoingMessage {
    pub from: Shard,
    pub to: Shard,
    pub message: ShardMessage,
}

/// A request that a sibling made on behalf of a user.
#[derive(Debug)]
pub(crate) struct RelayedRequest {
    /// The name of the sibling.
    pub node: String,
    /// The sibling's number for the call.
    pub call: u64,
}

/// What the components of a node need from it while they handle an input.
pub struct Context<'a> {
    /// The monotonic clock, in ms since an arbitrary moment. Used for intervals.
    pub now: Timestamp,
    /// The wall clock, in ms since 1970, which may jump in both directions. Used for what is stored
    /// or shown.
    pub wall_clock_ms: u64,
    /// Whether this node's lease has certainly not expired, so that no other node can own its
    /// shards.
    pub lease_valid: bool,
    /// Set by a component when a coordinator may have work for a decision round.
    pub needs_round: bool,
    /// The calls, messages, commands, replies and log lines that result from the input.
    pub effects: &'a mut Effects,
    /// The numbers assigned to names, and the cloud's catalog.
    pub names: &'a mut Names,
    /// The settings.
    pub config: &'a Config,
    /// How many changes this node may still write.
    pub budget: &'a mut WriteBudget,
    /// The known cancellations and, by shard, the time up to which all of them are known.
    pub horizons: &'a mut Horizons,
    /// This node.
    pub(crate) me: NodeIdx,
    /// The known ownership of each shard, by shard.
    pub(crate) shard_views: &'a [ShardView],
    /// When something was last received from each node, by node; 0: never.
    pub(crate) last_contact_at: &'a [Timestamp],
    /// Calls to external services that are not answered yet.
    pub(crate) operations: &'a mut PendingOperations,
    /// Messages between shards that were not delivered yet.
    pub(crate) outbox: &'a mut VecDeque<OutgoingMessage>,
    /// Requests that siblings made on behalf of their users, by this node's number for the request.
    pub(crate) relayed_requests: &'a mut HashMap<RequestId, RelayedRequest>,
}

impl Context<'_> {
    /// Iterates over all shards.
    pub fn shards(&self) -> impl Iterator<Item = Shard> {
        (0..self.shard_views.len() as u8).map(Shard)
    }

    /// Returns the shard's owner; `None` if none is known.
    pub fn owner(&self, shard: Shard) -> Option<Owner> {
        self.shard_views.get(shard.0 as usize).and_then(|view| view.owner)
    }

    /// Returns the epoch of the shard's owner; 0 if no owner is known.
    pub fn owner_epoch(&self, shard: Shard) -> Epoch {
        self.owner(shard).map_or(Epoch(0), |owner| owner.epoch)
    }

    /// Whether the shard is owned by this node, or by a node from which something was received
    /// recently.
    pub fn is_reachable(&self, shard: Shard) -> bool {
        self.owner(shard).is_some_and(|owner| {
            let last_contact_at = self.last_contact_at.get(owner.node.0 as usize);
            owner.node == self.me
                || last_contact_at.is_some_and(|&at| counts_as_reachable(at, self.now))
        })
    }

    /// Returns the shard that the job belongs to.
    pub fn shard_of_job(&self, job: JobId) -> Shard {
        shard_of_job(job, self.shard_views.len())
    }

    /// Returns the shard that the machine with this name belongs to.
    pub fn shard_of_machine(&self, name: &str) -> Shard {
        shard_of_machine(name, self.shard_views.len())
    }

    /// Returns the job's team and how much of the team's quota one task takes; `None` if the team
    /// is unknown or has no quota.
    pub fn quota_use(&self, job: &Job) -> Option<QuotaUse> {
        let team = self.config.teams.iter().position(|team| team.name == job.spec.team)?;
        quota::team_quota(&self.config.teams[team])?;
        let need = job.shape.need;
        let amount = QuotaAmount { cpu: need.cpu, gpu: need.gpu };
        Some(QuotaUse { team: team as u8, amount })
    }

    /// Sends a message from one shard to another, which may be owned by this node as well.
    pub fn send(&mut self, from: Shard, to: Shard, message: ShardMessage) {
        self.outbox.push_back(OutgoingMessage { from, to, message });
    }

    /// Calls the store; the answer is handled by the component that the operation names.
    pub fn call_store(&mut self, operation: Operation, call: StoreCall) {
        let op = self.operations.register(operation);
        self.effects.push(Effect::Store { op, call });
    }

    /// Calls the cloud; the answer is handled by the component that the operation names.
    pub fn call_cloud(&mut self, operation: Operation, call: CloudCall) {
        let op = self.operations.register(operation);
        self.effects.push(Effect::Cloud { op, call });
    }

    /// Sends commands to the worker at this address; `batch` identifies them in the answer.
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

    /// Creates the record that names the newest machine which existed before the service. Whether
    /// it was created now or existed already, it is then read back.
    pub fn put_operator_machines(&mut self, newest: String) {
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
        self.call_store(Operation::PutOperatorMachines, StoreCall::Transaction(transaction));
    }

    /// Reads the job from the store.
    pub(crate) fn read_job(&mut self, lookup: JobLookup) {
        let key = keys::job_key(self.shard_of_job(lookup.id), lookup.id);
        self.call_store(Operation::ReadJob { lookup }, StoreCall::Get { key });
    }

    /// Reads the job's terminal state from the store.
    pub(crate) fn read_terminal_state(&mut self, lookup: JobLookup) {
        let key = keys::terminal_state_key(self.shard_of_job(lookup.id), lookup.id);
        self.call_store(Operation::ReadTerminalState { lookup }, StoreCall::Get { key });
    }

    /// Answers a lookup for which the store holds neither the job nor its terminal state.
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

    /// Rejects a submission permanently.
    pub(crate) fn reply_rejection(&mut self, req: RequestId, rejection: SubmissionRejection) {
        let (status, why) = rejection.status();
        self.reply_error(req, status, why, None);
    }

    /// Answers a request from a user, or from a sibling on behalf of a user.
    pub fn reply(&mut self, req: RequestId, reply: UserReply) {
        self.log_final_answer(&reply);
        let Some(RelayedRequest { node, call }) = self.relayed_requests.remove(&req) else {
            self.effects.push(Effect::User { req, reply });
            return;
        };
        let answer = match (reply.status, reply.state) {
            (200 | 201, Some(state)) => JobAnswer::State(state),
            (404, _) => JobAnswer::NoSuchJob,
            _ => JobAnswer::NotReady,
        };
        self.effects.push(Effect::Mesh { to: node, msg: NodeMessage::JobAnswer { call, answer } });
    }

    /// Logs an answer that calls a job done or cancelled, with the shard's epoch and whether this node answers as its
    /// owner or from the store.
    fn log_final_answer(&mut self, reply: &UserReply) {
        if self.effects.max_log_level < LogLevel::Debug {
            return;
        }
        let is_final =
            |state: &&JobState| matches!(state.status, JobStatus::Done | JobStatus::Cancelled);
        let Some(state) = reply.state.as_ref().filter(is_final) else { return };
        let Some(job) = user::parse_job_id(&state.id) else { return };
        let owner = self.owner(self.shard_of_job(JobId(job)));
        let source =
            if owner.is_some_and(|owner| owner.node == self.me) { "owner" } else { "store" };
        let epoch = owner.map_or(0, |owner| owner.epoch.0);
        self.effects.log(LogLevel::Debug, "final_answer", || {
            format!("{} status={:?} epoch={epoch} source={source}", state.id, state.status)
        });
    }

    /// Answers with a job's state and this HTTP status.
    pub fn reply_state(&mut self, req: RequestId, status: u16, state: JobState) {
        self.reply(req, UserReply { status, ..UserReply::found(state) });
    }

    /// Refuses a request temporarily; the user may retry after `after_s` seconds.
    pub fn reply_later(&mut self, req: RequestId, status: u16, after_s: u32) {
        self.reply_error(req, status, "try again later", Some(after_s));
    }

    /// Refuses a request with this HTTP status and text; if `after_s` is given, the user may retry
    /// after that many seconds.
    pub fn reply_error(&mut self, req: RequestId, status: u16, why: &str, after_s: Option<u32>) {
        let reply =
            UserReply { status, state: None, error: Some(why.to_string()), retry_after_s: after_s };
        self.reply(req, reply);
    }
}

/// Returns the state shown for a job of which nothing is known except that it exists.
pub(crate) fn queued_state(id: JobId) -> JobState {
    JobState { id: user::job_id(id.0), status: JobStatus::Queued, done: 0, running: 0 }
}
