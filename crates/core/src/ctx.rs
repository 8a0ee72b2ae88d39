//! What parts of the core need while they handle an input: the time, names, settings, who owns
//! what, and ways to send, write, ask and answer. Below all parts, so that none needs the node.
use crate::budget::{Budget, Class};
use crate::health::lately;
use crate::horizon::Horizons;
use crate::ids::{shard_of_job, shard_of_machine, Epoch, JobId, MachineIdx, NodeIdx, Now, Shard};
use crate::io::{CloudCall, OpId, Out, Output, ReqId, StoreCall, UserReply};
use crate::jobs::{Aims, Job};
use crate::keys;
use crate::names::Names;
use crate::quota;
use crate::shard::{Owner, ShardView};
use leaddeal_wire::mesh::{NodeMsg, ShardMsg, Told};
use leaddeal_wire::state::{Change, Cond, Txn};
use leaddeal_wire::user::{self, JobState, Status};
use leaddeal_wire::worker::Direct;
use serde_json::json;
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
    pub aims: Aims,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Ask {
    Get,
    /// A submission of a job that is known already.
    Known,
    /// A submission that is wrong unless the job is known: the status to give then.
    Wrong(u16),
    Cancel,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProvisionerOp {
    List,
    /// The request's number.
    Rent(u64),
    Release,
}

#[derive(Debug)]
pub enum OpKind {
    NewLease { sent: Now },
    Touch { sent: Now, lease: u64 },
    Shards,
    ShardWatch,
    Acquire(Shard),
    Release(Shard, Epoch),
    Records { shard: Shard, epoch: Epoch },
    Decide { shard: Shard, epoch: Epoch },
    Fold { shard: Shard, epoch: Epoch },
    Finish { shard: Shard, epoch: Epoch, job: JobId },
    Submit { req: ReqId, id: JobId, value: serde_json::Value },
    ReadJob { req: ReqId, id: JobId, ask: AskKind },
    ReadFinal { req: ReqId, id: JobId, ask: AskKind },
    Finals { shard: Shard, asked: Now },
    BasePut,
    BaseGet,
    Catalog,
    Provisioner(Epoch, ProvisionerOp),
}

impl OpKind {
    /// Whether it counts against the service's limit of changes.
    pub(crate) fn writes(&self) -> bool {
        matches!(
            self,
            OpKind::Decide { .. }
                | OpKind::Fold { .. }
                | OpKind::Finish { .. }
                | OpKind::Submit { .. }
        )
    }
}

/// Opaque outside: what a lookup is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AskKind(pub(crate) Ask);

pub(crate) struct Ops {
    pub next: OpId,
    pub open: HashMap<OpId, OpKind>,
}

/// What parts of the core need of the node while they handle an input.
pub struct Ctx<'a> {
    pub now: Now,
    pub time_ms: u64,
    pub valid: bool,
    pub wake: bool,
    pub out: &'a mut Out,
    pub names: &'a mut Names,
    pub cfg: &'a Config,
    pub budget: &'a mut Budget,
    pub horizons: &'a mut Horizons,
    pub(crate) me: NodeIdx,
    pub(crate) view: &'a [ShardView],
    pub(crate) heard: &'a [Now],
    pub(crate) ops: &'a mut Ops,
    pub(crate) sends: &'a mut VecDeque<(Shard, Shard, ShardMsg)>,
    pub(crate) relays: &'a mut HashMap<ReqId, (String, u64)>,
}

impl Ctx<'_> {
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
    pub fn team_use(&self, j: &Job) -> Option<(u8, u64, u64)> {
        let i = self.cfg.teams.iter().position(|t| t.name == j.wire.team)?;
        quota::limit(&self.cfg.teams[i])?;
        Some((i as u8, j.shape.need.cpu, j.shape.need.gpu))
    }

    pub fn send(&mut self, from: Shard, to: Shard, msg: ShardMsg) {
        self.sends.push_back((from, to, msg));
    }

    pub fn store(&mut self, kind: OpKind, call: StoreCall) {
        let op = self.op(kind);
        self.out.list.push(Output::Store { op, call });
    }

    pub fn cloud(&mut self, kind: OpKind, call: CloudCall) {
        let op = self.op(kind);
        self.out.list.push(Output::Cloud { op, call });
    }

    fn op(&mut self, kind: OpKind) -> OpId {
        self.ops.next += 1;
        self.ops.open.insert(self.ops.next, kind);
        self.ops.next
    }

    pub fn direct(&mut self, m: MachineIdx, addr: String, batch: u64, direct: Direct) {
        let machine = self.names.machine_name(m).to_string();
        self.out.list.push(Output::Orders { machine, addr, batch, direct });
    }

    /// Creates the mark of the newest machine that was there before the service, or reads it.
    pub fn find_base(&mut self, newest: String) {
        let change = Change::Put { key: keys::BASE.into(), value: json!(newest), lease: None };
        let txn =
            Txn { conds: vec![Cond { key: keys::BASE.into(), version: 0 }], changes: vec![change] };
        self.budget.spend(Class::Rest, 1);
        self.store(OpKind::BasePut, StoreCall::Txn(txn));
    }

    pub(crate) fn read_key(&mut self, req: ReqId, id: JobId, ask: AskKind) {
        let key = keys::job_key(self.shard_of_job(id), id);
        self.store(OpKind::ReadJob { req, id, ask }, StoreCall::Get { key });
    }

    pub(crate) fn read_final(&mut self, req: ReqId, id: JobId, ask: AskKind) {
        let key = keys::final_key(self.shard_of_job(id), id);
        self.store(OpKind::ReadFinal { req, id, ask }, StoreCall::Get { key });
    }

    /// Neither the job nor its final state is in the store.
    pub(crate) fn unknown(&mut self, req: ReqId, ask: AskKind) {
        match ask.0 {
            Ask::Wrong(400) => self.reply_error(req, 400, "malformed", None),
            Ask::Wrong(s) => self.reply_error(req, s, "can never run", None),
            Ask::Known => self.reply_later(req, 503, 1),
            Ask::Get | Ask::Cancel => self.reply_error(req, 404, "unknown job", None),
        }
    }

    pub fn reply(&mut self, req: ReqId, reply: UserReply) {
        let Some((to, call)) = self.relays.remove(&req) else {
            self.out.list.push(Output::User { req, reply });
            return;
        };
        let answer = match (reply.status, reply.state) {
            (200 | 201, Some(s)) => Told::State(s),
            (404, _) => Told::Unknown,
            _ => Told::Later,
        };
        self.out.list.push(Output::Mesh { to, msg: NodeMsg::Told { call, answer } });
    }

    pub fn reply_state(&mut self, req: ReqId, status: u16, state: JobState) {
        let mut r = known(state, false);
        r.status = status;
        self.reply(req, r);
    }

    /// Refused at once, with the time after which to ask again.
    pub fn reply_later(&mut self, req: ReqId, status: u16, after_s: u32) {
        self.reply_error(req, status, "try again later", Some(after_s));
    }

    pub fn reply_error(&mut self, req: ReqId, status: u16, why: &str, after_s: Option<u32>) {
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
