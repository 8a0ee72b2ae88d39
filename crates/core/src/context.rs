//! What parts of the core need while they handle an input: the time, names, settings, who owns
//! what, and ways to send, write, ask and answer. Below all parts, so that none needs the node.
use crate::budget::{WriteBudget, WriteClass};
use crate::health::lately;
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
use leaddeal_wire::user::{self, JobState, Status};
use leaddeal_wire::worker::CommandBatch;
use std::collections::{HashMap, VecDeque};

/// What the core needs of the settings.
#[derive(Clone, Debug)]
pub struct Config {
    pub worker_lease_ms: u64,
    /// A cancelled job's tasks must be gone so long after its user was told.
    pub cancel_ms: u64,
    /// A machine silent for this long gets no new work.
    pub quiet_ms: u64,
    /// A worker that was answered reports again within this time.
    pub report_due_ms: u64,
    pub max_picks: usize,
    pub txn_ops: usize,
    pub list_lag_ms: u64,
    /// Between calls to the cloud, so that all together stay below its limit.
    pub cloud_gap_ms: u64,
    pub teams: Vec<leaddeal_wire::settings::Team>,
    pub aims: Objectives,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LookupPurpose {
    Get,
    /// A submission of a job that is known already.
    Known,
    /// A submission that is wrong unless the job is known: the status to give then.
    Wrong(u16),
    Cancel,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProvisionerOperation {
    List,
    /// The request's number.
    Launch(u64),
    Release,
}

#[derive(Debug)]
pub enum Operation {
    NewLease { sent: Timestamp },
    RenewLease { sent: Timestamp, lease: u64 },
    Shards,
    ShardWatch,
    Acquire(Shard),
    Release(Shard, Epoch),
    Records { shard: Shard, epoch: Epoch },
    Decide { shard: Shard, epoch: Epoch },
    Compaction { shard: Shard, epoch: Epoch },
    Finish { shard: Shard, epoch: Epoch, job: JobId },
    Submit { req: RequestId, id: JobId, value: serde_json::Value },
    ReadJob { req: RequestId, id: JobId, ask: Lookup },
    ReadFinal { req: RequestId, id: JobId, ask: Lookup },
    Finals { shard: Shard, asked: Timestamp },
    BasePut,
    BaseGet,
    Catalog,
    Provisioner(Epoch, ProvisionerOperation),
}

impl Operation {
    /// Whether it counts against the service's limit of changes.
    pub(crate) fn writes(&self) -> bool {
        matches!(
            self,
            Operation::Decide { .. }
                | Operation::Compaction { .. }
                | Operation::Finish { .. }
                | Operation::Submit { .. }
        )
    }
}

/// Opaque outside: what a lookup is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lookup(pub(crate) LookupPurpose);

pub(crate) struct PendingOperations {
    pub next: OperationId,
    pub open: HashMap<OperationId, Operation>,
}

/// What parts of the core need of the node while they handle an input.
pub struct Context<'a> {
    pub now: Timestamp,
    pub time_ms: u64,
    pub valid: bool,
    pub wake: bool,
    pub effects: &'a mut Effects,
    pub names: &'a mut Names,
    pub config: &'a Config,
    pub budget: &'a mut WriteBudget,
    pub horizons: &'a mut Horizons,
    pub(crate) me: NodeIdx,
    pub(crate) view: &'a [ShardView],
    pub(crate) heard: &'a [Timestamp],
    pub(crate) ops: &'a mut PendingOperations,
    pub(crate) sends: &'a mut VecDeque<(Shard, Shard, ShardMessage)>,
    pub(crate) relays: &'a mut HashMap<RequestId, (String, u64)>,
}

impl Context<'_> {
    pub fn shards(&self) -> impl Iterator<Item = Shard> {
        (0..self.view.len() as u8).map(Shard)
    }

    pub fn owner(&self, s: Shard) -> Option<Owner> {
        self.view.get(s.0 as usize).and_then(|v| v.owner)
    }

    /// Owned by a node that has been heard of lately.
    pub fn reachable(&self, s: Shard) -> bool {
        self.owner(s).is_some_and(|o| {
            o.node == self.me
                || self.heard.get(o.node.0 as usize).is_some_and(|&h| lately(h, self.now))
        })
    }

    pub fn shard_of_job(&self, j: JobId) -> Shard {
        shard_of_job(j, self.view.len())
    }

    pub fn shard_of_machine(&self, name: &str) -> Shard {
        shard_of_machine(name, self.view.len())
    }

    /// A job's team and what a task takes of its limit, if it has one.
    pub fn team_use(&self, job: &Job) -> Option<QuotaUse> {
        let team = self.config.teams.iter().position(|team| team.name == job.wire.team)?;
        quota::limit(&self.config.teams[team])?;
        let need = job.shape.need;
        let amount = QuotaAmount { cpu: need.cpu, gpu: need.gpu };
        Some(QuotaUse { team: team as u8, amount })
    }

    pub fn send(&mut self, from: Shard, to: Shard, msg: ShardMessage) {
        self.sends.push_back((from, to, msg));
    }

    pub fn store(&mut self, kind: Operation, call: StoreCall) {
        let op = self.op(kind);
        self.effects.list.push(Effect::Store { op, call });
    }

    pub fn cloud(&mut self, kind: Operation, call: CloudCall) {
        let op = self.op(kind);
        self.effects.list.push(Effect::Cloud { op, call });
    }

    fn op(&mut self, kind: Operation) -> OperationId {
        self.ops.next += 1;
        self.ops.open.insert(self.ops.next, kind);
        self.ops.next
    }

    pub fn direct(&mut self, m: MachineIdx, addr: String, batch: u64, direct: CommandBatch) {
        let machine = self.names.machine_name(m).to_string();
        self.effects.list.push(Effect::Commands { machine, addr, batch, direct });
    }

    /// Creates the mark of the newest machine that was there before the service, or reads it.
    pub fn find_base(&mut self, newest: String) {
        let change = Change::Put {
            key: keys::BASE.into(),
            value: OperatorMachinesRecord(&newest).encode(),
            lease: None,
        };
        let txn = Transaction {
            conditions: vec![Condition { key: keys::BASE.into(), version: 0 }],
            changes: vec![change],
        };
        self.budget.spend(WriteClass::Deferrable, 1);
        self.store(Operation::BasePut, StoreCall::Transaction(txn));
    }

    pub(crate) fn read_key(&mut self, req: RequestId, id: JobId, ask: Lookup) {
        let key = keys::job_key(self.shard_of_job(id), id);
        self.store(Operation::ReadJob { req, id, ask }, StoreCall::Get { key });
    }

    pub(crate) fn read_final(&mut self, req: RequestId, id: JobId, ask: Lookup) {
        let key = keys::final_key(self.shard_of_job(id), id);
        self.store(Operation::ReadFinal { req, id, ask }, StoreCall::Get { key });
    }

    /// Neither the job nor its final state is in the store.
    pub(crate) fn unknown(&mut self, req: RequestId, ask: Lookup) {
        match ask.0 {
            LookupPurpose::Wrong(400) => self.reply_error(req, 400, "malformed", None),
            LookupPurpose::Wrong(s) => self.reply_error(req, s, "can never run", None),
            LookupPurpose::Known => self.reply_later(req, 503, 1),
            LookupPurpose::Get | LookupPurpose::Cancel => {
                self.reply_error(req, 404, "unknown job", None)
            }
        }
    }

    pub fn reply(&mut self, req: RequestId, reply: UserReply) {
        let Some((to, call)) = self.relays.remove(&req) else {
            self.effects.list.push(Effect::User { req, reply });
            return;
        };
        let answer = match (reply.status, reply.state) {
            (200 | 201, Some(s)) => JobAnswer::State(s),
            (404, _) => JobAnswer::Unknown,
            _ => JobAnswer::Later,
        };
        self.effects.list.push(Effect::Mesh { to, msg: NodeMessage::JobAnswer { call, answer } });
    }

    pub fn reply_state(&mut self, req: RequestId, status: u16, state: JobState) {
        let mut r = known(state, false);
        r.status = status;
        self.reply(req, r);
    }

    /// Refused at once, with the time after which to ask again.
    pub fn reply_later(&mut self, req: RequestId, status: u16, after_s: u32) {
        self.reply_error(req, status, "try again later", Some(after_s));
    }

    pub fn reply_error(&mut self, req: RequestId, status: u16, why: &str, after_s: Option<u32>) {
        let reply =
            UserReply { status, state: None, error: Some(why.to_string()), retry_after_s: after_s };
        self.reply(req, reply);
    }
}

/// What is told of a job of which nothing is known but that it is there.
pub(crate) fn queued(id: JobId) -> JobState {
    JobState { id: user::job_id(id.0), status: Status::Queued, done: 0, running: 0 }
}

pub fn known(state: JobState, created: bool) -> UserReply {
    UserReply {
        status: if created { 201 } else { 200 },
        state: Some(state),
        error: None,
        retry_after_s: None,
    }
}
