//! One controller: the lease, the seats it owns, and what each input means for them.
use crate::buyer::{Buyer, BuyerOp, BUYER_SEAT};
use crate::coordinator::{self, job_key, job_prefix, job_state, known, parse_final, Coordinator};
use crate::ids::{seat_of_job, seat_of_machine, Epoch, JobId, MachineIdx, NodeIdx, Now, Seat};
use crate::io::{
    CloudCall, CloudResult, DirectOutcome, Input, OpId, Out, Output, ReqId, StoreCall, StoreResult,
    UserReply, WorkerReply,
};
use crate::jobs::{wire_shape, Aims, Job};
use crate::names::{Names, Room};
use crate::part::Part;
use crate::seat::{
    at_least, at_most, parse_seat_key, seat_key, Lease, Owner, SeatView, LEASE_MS, RENEW_MS,
};
use crate::teams::{self, Desk};
use leaddeal_wire::mesh::{NodeMsg, SeatMsg, Told};
use leaddeal_wire::settings::Settings;
use leaddeal_wire::state::{Change, Cond, Txn};
use leaddeal_wire::user::{self, JobState, Status};
use leaddeal_wire::worker::{Direct, Report};
use serde_json::json;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A sibling not heard of for this long is taken for unreachable.
const SILENT_MS: u64 = 3000;
const CALL_MS: u64 = 700;
const CANCEL_CALL_MS: u64 = 2500;
/// Requests under way beyond this are refused at once.
const MOST_CALLS: usize = 300;
const TICK_SLOW_MS: u64 = 1000;
/// What a worker takes to find another node, and its commands to take effect.
const LET_GO_MS: u64 = 12_000;
/// Final states are read from so long before a sibling was last heard: what it sent until then
/// came, or was sent again.
const FINALS_BACK_MS: u64 = 5000;
/// Remembered revisions of the store, one a second.
const MARKS: usize = 20;

/// Whether a sibling heard at that time is taken for reachable.
fn lately(heard: Now, now: Now) -> bool {
    now < heard + SILENT_MS
}

/// What the core needs of the settings.
#[derive(Clone, Debug)]
pub struct Config {
    pub worker_lease_ms: u64,
    /// A cancelled job's tasks must be gone so long after its user was told.
    pub cancel_ms: u64,
    /// A machine silent for this long gets no new work.
    pub quiet_ms: u64,
    pub max_picks: usize,
    pub txn_ops: usize,
    pub list_lag_ms: u64,
    /// Between calls to the cloud, so that all together stay below its limit.
    pub cloud_gap_ms: u64,
    pub teams: Vec<leaddeal_wire::settings::Team>,
    pub aims: Aims,
}

/// Share of the store's changes per second that is this node's own.
#[derive(Debug)]
pub struct Budget {
    tokens: f64,
    per_ms: f64,
    most: f64,
    at: Now,
}

impl Budget {
    fn refill(&mut self, now: Now) {
        self.tokens =
            (self.tokens + now.saturating_sub(self.at) as f64 * self.per_ms).min(self.most);
        self.at = now;
    }

    /// What may be written without going over the share.
    pub fn available(&self) -> usize {
        self.tokens.max(0.0) as usize
    }

    /// Writes that do not wait: later ones wait the longer.
    pub fn force(&mut self, n: usize) {
        self.tokens -= n as f64;
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Ask {
    Get,
    /// A submission of a job that is known already.
    Known,
    /// A submission that is wrong unless the job is known: the status to give then.
    Wrong(u16),
    Cancel,
}

#[derive(Debug)]
pub enum OpKind {
    NewLease { sent: Now },
    Touch { sent: Now, lease: u64 },
    Seats,
    SeatWatch,
    Acquire(Seat),
    Release(Seat, Epoch),
    Load { seat: Seat, epoch: Epoch },
    JobWatch { seat: Seat, epoch: Epoch },
    Decide { seat: Seat, epoch: Epoch },
    Fold { seat: Seat, epoch: Epoch },
    Finish { seat: Seat, epoch: Epoch, job: JobId },
    Submit { req: ReqId, id: JobId, value: serde_json::Value },
    ReadJob { req: ReqId, id: JobId, ask: AskKind },
    ReadFinal { req: ReqId, id: JobId, ask: AskKind },
    Finals { seat: Seat },
    BasePut,
    BaseGet,
    Catalog,
    Buyer(Epoch, BuyerOp),
}

/// Opaque outside: what a lookup is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AskKind(Ask);

#[derive(Debug)]
struct Call {
    req: ReqId,
    id: JobId,
    ask: Ask,
    until: Now,
}

#[derive(Debug)]
struct Owned {
    epoch: Epoch,
    coordinator: Coordinator,
    part: Part,
    desk: Desk,
    releasing: bool,
    leave_until: Now,
}

#[derive(Debug, PartialEq)]
enum Reading {
    Changes,
    /// The changes are not kept for so long: all there is, from the beginning.
    Start,
    /// The next page, after this key.
    Page(String),
}

/// Reading the final states of a seat whose owner is not heard.
#[derive(Debug)]
struct Finals {
    /// Revision that has been read up to.
    after: u64,
    how: Reading,
    busy: bool,
    retry_at: Now,
}

struct Ops {
    next: OpId,
    open: HashMap<OpId, OpKind>,
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
    me: NodeIdx,
    view: &'a [SeatView],
    heard: &'a [Now],
    ops: &'a mut Ops,
    sends: &'a mut VecDeque<(Seat, Seat, SeatMsg)>,
    relays: &'a mut HashMap<ReqId, (String, u64)>,
}

impl Ctx<'_> {
    pub fn seats(&self) -> impl Iterator<Item = Seat> {
        (0..self.view.len() as u8).map(Seat)
    }

    pub fn owner(&self, s: Seat) -> Option<Owner> {
        self.view.get(s.0 as usize).and_then(|v| v.owner)
    }

    /// Owned by a node that has been heard of lately.
    pub fn reachable(&self, s: Seat) -> bool {
        self.owner(s).is_some_and(|o| {
            o.node == self.me
                || self.heard.get(o.node.0 as usize).is_some_and(|&h| lately(h, self.now))
        })
    }

    pub fn seat_of_job(&self, j: JobId) -> Seat {
        seat_of_job(j, self.view.len())
    }

    pub fn seat_of_machine(&self, name: &str) -> Seat {
        seat_of_machine(name, self.view.len())
    }

    /// A job's team and what a task takes of its limit, if it has one.
    pub fn team_use(&self, j: &Job) -> Option<(u8, u64, u64)> {
        let i = self.cfg.teams.iter().position(|t| t.name == j.wire.team)?;
        teams::limit(&self.cfg.teams[i])?;
        Some((i as u8, j.shape.need.cpu, j.shape.need.gpu))
    }

    pub fn send(&mut self, from: Seat, to: Seat, msg: SeatMsg) {
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
        let change = Change::Put { key: "base".into(), value: json!(newest), lease: None };
        let txn =
            Txn { conds: vec![Cond { key: "base".into(), version: 0 }], changes: vec![change] };
        self.budget.force(1);
        self.store(OpKind::BasePut, StoreCall::Txn(txn));
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

macro_rules! ctx {
    ($n:expr, $out:expr) => {
        Ctx {
            now: $out.now,
            time_ms: $n.time_ms,
            valid: $n.lease.valid($out.now),
            wake: false,
            out: $out,
            names: &mut $n.names,
            cfg: &$n.cfg,
            budget: &mut $n.budget,
            me: $n.me,
            view: &$n.view,
            heard: &$n.heard,
            ops: &mut $n.ops,
            sends: &mut $n.sends,
            relays: &mut $n.relays,
        }
    };
}

pub struct Node {
    me: NodeIdx,
    boot: u64,
    started: Now,
    time_ms: u64,
    nodes: Vec<String>,
    cfg: Config,
    names: Names,
    budget: Budget,
    lease: Lease,
    view: Vec<SeatView>,
    view_known: bool,
    seats_at: Now,
    seats_busy: bool,
    heard: Vec<Now>,
    state_ok_at: Now,
    owned: Vec<Option<Owned>>,
    buyer: Option<(Epoch, Buyer)>,
    ops: Ops,
    sends: VecDeque<(Seat, Seat, SeatMsg)>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    relays: HashMap<ReqId, (String, u64)>,
    catalog_at: Now,
    slow_at: Now,
    next_acquire: Vec<Now>,
    wake: bool,
    looked: u64,
    finals: Vec<Option<Finals>>,
    /// Newest revision heard of.
    revision: u64,
    /// When which revision was the newest.
    marks: VecDeque<(Now, u64)>,
}

impl Node {
    pub fn new(s: &Settings, boot: u64, now: Now) -> Node {
        let nodes = s.nodes();
        let n = nodes.len();
        let me = nodes.iter().position(|x| *x == s.node).unwrap_or(0);
        let p = &s.params;
        let mut names = Names::default();
        names.zones.clone_from(&p.zones);
        Node {
            me: NodeIdx(me as u8),
            boot,
            started: now,
            time_ms: 0,
            cfg: Config {
                worker_lease_ms: (p.workers.lease_s * 1000.0) as u64,
                cancel_ms: (p.workers.cancel_s * 1000.0) as u64,
                quiet_ms: (p.workers.report_s * 2500.0) as u64 + 500,
                max_picks: ((p.state.value_kb * 1024.0 - 200.0) / 64.0).clamp(1.0, 150.0) as usize,
                txn_ops: p.state.txn_ops,
                cloud_gap_ms: (1100.0 / p.cloud.rps) as u64,
                list_lag_ms: (p.cloud.list_lag_s * 1000.0) as u64,
                teams: p.teams.clone(),
                aims: Aims::new(&p.objectives),
            },
            names,
            budget: Budget {
                tokens: p.state.write_rps / n as f64,
                per_ms: p.state.write_rps * 0.85 / n as f64 / 1000.0,
                most: p.state.write_rps / n as f64,
                at: now,
            },
            lease: Lease::default(),
            view: vec![SeatView::default(); n],
            view_known: false,
            seats_at: now,
            seats_busy: false,
            heard: vec![0; n],
            state_ok_at: now,
            owned: (0..n).map(|_| None).collect(),
            buyer: None,
            ops: Ops { next: 0, open: HashMap::new() },
            sends: VecDeque::new(),
            calls: BTreeMap::new(),
            next_call: boot << 20,
            relays: HashMap::new(),
            catalog_at: now,
            slow_at: now,
            next_acquire: vec![0; n],
            nodes,
            wake: false,
            looked: 0,
            finals: (0..n).map(|_| None).collect(),
            revision: 0,
            marks: VecDeque::new(),
        }
    }

    /// Whether this node can take requests now.
    pub fn healthy(&self, now: Now) -> bool {
        !self.names.catalog.is_empty() && self.view_known && now < self.state_ok_at + 60_000
    }

    pub fn owned_seats(&self) -> Vec<(Seat, Epoch)> {
        self.owned
            .iter()
            .enumerate()
            .filter_map(|(i, o)| Some((Seat(i as u8), o.as_ref()?.epoch)))
            .collect()
    }

    /// How often a machine was looked at to judge it for a job: the work that grows with the fleet.
    pub fn looked(&self) -> u64 {
        self.looked
    }

    /// Takes one input; returns what to send, write and answer.
    pub fn step(&mut self, now: Now, time_ms: u64, input: Input) -> Vec<Output> {
        self.time_ms = time_ms;
        self.budget.refill(now);
        let mut out = Out { now, list: Vec::new(), looked: 0 };
        match input {
            Input::Tick => self.tick(&mut out),
            Input::Submit { req, id, job } => self.submit(&mut out, req, id, job),
            Input::Get { req, id } => self.lookup(&mut out, req, id, Ask::Get),
            Input::Cancel { req, id } => self.lookup(&mut out, req, id, Ask::Cancel),
            Input::Report { req, report } => self.report(&mut out, req, &report),
            Input::Orders { machine, batch, outcome } => {
                self.direct_outcome(&mut out, &machine, batch, &outcome);
            }
            Input::Mesh { from, msg } => self.mesh(&mut out, &from, *msg),
            Input::Store { op, result } => {
                if let Some(kind) = self.ops.open.remove(&op) {
                    if !matches!(result, StoreResult::Refused | StoreResult::Unknown) {
                        self.state_ok_at = now;
                    }
                    self.revision = self.revision.max(match &result {
                        StoreResult::Committed(r) => *r,
                        StoreResult::Page(p) => p.revision,
                        StoreResult::Events(e) => e.revision,
                        _ => 0,
                    });
                    self.stored(&mut out, kind, result);
                }
            }
            Input::Cloud { op, result } => {
                if let Some(kind) = self.ops.open.remove(&op) {
                    self.clouded(&mut out, kind, result);
                }
            }
        }
        self.settle(&mut out);
        self.looked += out.looked;
        out.list
    }

    /// Delivers messages between seats until there are none.
    fn settle(&mut self, out: &mut Out) {
        for _ in 0..50 {
            if std::mem::take(&mut self.wake) {
                for i in 0..self.owned.len() {
                    let mut c = ctx!(self, out);
                    if let Some(o) = &mut self.owned[i] {
                        o.coordinator.start_round(&mut c);
                    }
                    self.wake |= c.wake;
                }
            }
            while let Some((from, to, msg)) = self.sends.pop_front() {
                let Some(epoch) = self.owned[from.0 as usize].as_ref().map(|o| o.epoch) else {
                    continue;
                };
                let Some(o) = self.view.get(to.0 as usize).and_then(|v| v.owner) else {
                    continue;
                };
                if o.node == self.me {
                    if self.owned[to.0 as usize].as_ref().is_some_and(|x| x.epoch == o.epoch) {
                        self.deliver(out, from, epoch, to, msg);
                    }
                } else {
                    let node = self.nodes[o.node.0 as usize].clone();
                    let msg = NodeMsg::Seat {
                        from: from.0,
                        from_epoch: epoch.0,
                        to: to.0,
                        to_epoch: o.epoch.0,
                        msg,
                    };
                    out.list.push(Output::Mesh { to: node, msg });
                }
            }
            for i in 0..self.owned.len() {
                let mut c = ctx!(self, out);
                if let Some(o) = &mut self.owned[i] {
                    o.part.flush(&mut c);
                }
            }
            if self.sends.is_empty() && !self.wake {
                return;
            }
        }
    }

    fn deliver(&mut self, out: &mut Out, from: Seat, from_epoch: Epoch, to: Seat, msg: SeatMsg) {
        let mut c = ctx!(self, out);
        let Some(o) = &mut self.owned[to.0 as usize] else {
            return;
        };
        match msg {
            SeatMsg::Request { .. }
            | SeatMsg::Close { .. }
            | SeatMsg::Place { .. }
            | SeatMsg::Stop { .. }
            | SeatMsg::Forget { .. } => o.part.handle(&mut c, from, from_epoch, msg),
            SeatMsg::Offers { .. }
            | SeatMsg::AskDecision { .. }
            | SeatMsg::TeamGrant { .. }
            | SeatMsg::Room { .. }
            | SeatMsg::Events { .. } => {
                o.coordinator.handle(&mut c, from, msg);
            }
            SeatMsg::Drain { machine } => {
                if from == BUYER_SEAT && o.part.drain(&mut c, &machine) {
                    c.send(to, BUYER_SEAT, SeatMsg::Drained { machine });
                }
            }
            SeatMsg::Base { newest } => {
                if from == BUYER_SEAT {
                    o.part.base = Some(newest);
                }
            }
            SeatMsg::MachinesAgain => {
                if from == BUYER_SEAT {
                    o.part.tell_all();
                    for msg in o.part.inventory(&c) {
                        c.send(to, from, msg);
                    }
                }
            }
            SeatMsg::Released { machine } => {
                if from == BUYER_SEAT {
                    o.part.released(&mut c, &machine);
                }
            }
            SeatMsg::Lacks { .. } | SeatMsg::Machines { .. } | SeatMsg::Drained { .. } => {
                if let Some((_, b)) = &mut self.buyer {
                    b.handle(&mut c, from, msg);
                }
            }
            SeatMsg::TeamUsage { serial, usage } => {
                let granted = o.desk.report(from, from_epoch, &usage);
                c.send(to, from, SeatMsg::TeamGrant { serial, granted });
            }
        }
        self.wake |= c.wake;
    }

    // ---- users ---------------------------------------------------------------------------

    fn submit(
        &mut self,
        out: &mut Out,
        req: ReqId,
        id: Option<JobId>,
        job: Result<Box<user::Job>, user::BadJob>,
    ) {
        let job = match (job, id) {
            (Ok(j), Some(_)) => j,
            (Ok(_), None) | (Err(_), None) => {
                let mut c = ctx!(self, out);
                c.reply_error(req, 400, "malformed", None);
                return;
            }
            (Err(_), Some(id)) => return self.lookup(out, req, id, Ask::Wrong(400)),
        };
        let id = id.unwrap_or_default();
        if self.names.catalog.is_empty() {
            let mut c = ctx!(self, out);
            return c.reply_later(req, 503, 1);
        }
        if !self.can_run(&job) {
            return self.lookup(out, req, id, Ask::Wrong(422));
        }
        if self.ops.open.len() > MOST_CALLS || self.calls.len() > MOST_CALLS {
            let mut c = ctx!(self, out);
            return c.reply_later(req, 503, 2);
        }
        let seat = seat_of_job(id, self.view.len());
        let value = json!({"job": *job, "at": self.time_ms});
        let txn = Txn {
            conds: vec![
                Cond { key: job_key(seat, id), version: 0 },
                Cond { key: coordinator::final_key(seat, id), version: 0 },
            ],
            changes: vec![Change::Put {
                key: job_key(seat, id),
                value: value.clone(),
                lease: None,
            }],
        };
        self.budget.force(1);
        let mut c = ctx!(self, out);
        c.store(OpKind::Submit { req, id, value }, StoreCall::Txn(txn));
    }

    fn can_run(&self, j: &user::Job) -> bool {
        let Some(team) = self.cfg.teams.iter().find(|t| t.name == j.team) else {
            return false;
        };
        let shape = wire_shape(j);
        let need = Room::of(&shape);
        let fits = self.names.catalog.iter().enumerate().any(|(i, t)| {
            let idx = crate::ids::TypeIdx(i as u8);
            self.names.allows(&shape, idx, false)
                && self.names.room_of_type(idx).fits(need) > 0
                && j.zone.as_ref().is_none_or(|z| t.zones.contains(z))
        });
        let n = if j.kind == user::Kind::Array { 1.0 } else { f64::from(j.tasks) };
        let within = |max: f64, v: f64| max == 0.0 || v * n <= max + 1e-6;
        fits && within(team.cpus_max, j.cpus) && within(team.gpus_max, j.gpus)
    }

    fn lookup(&mut self, out: &mut Out, req: ReqId, id: JobId, ask: Ask) {
        let now = out.now;
        let valid = self.lease.valid(now);
        let seat = seat_of_job(id, self.view.len());
        let view = self.view[seat.0 as usize].owner;
        let busy = self.ops.open.len() > MOST_CALLS || self.calls.len() > MOST_CALLS;
        let mut c = ctx!(self, out);
        if let Some(o) =
            self.owned[seat.0 as usize].as_mut().filter(|o| valid && o.coordinator.ready())
        {
            if ask == Ask::Cancel {
                if o.coordinator.cancel(&mut c, req, id) {
                    return;
                }
            } else if let Some(s) = o.coordinator.state(id) {
                return c.reply_state(req, 200, s);
            }
        } else if let Some(o) = view.filter(|o| o.node != self.me && c.reachable(seat) && !busy) {
            self.next_call += 1;
            let call = self.next_call;
            let to = self.nodes[o.node.0 as usize].clone();
            let msg = NodeMsg::Ask { call, job: id.0, cancel: ask == Ask::Cancel };
            out.list.push(Output::Mesh { to, msg });
            let until = now + if ask == Ask::Cancel { CANCEL_CALL_MS } else { CALL_MS };
            self.calls.insert(call, Call { req, id, ask, until });
            return;
        }
        self.read_job(out, req, id, ask);
    }

    /// Reads the store: the job first, then the final state. A job's final state is written in
    /// the same transaction that deletes the job, so one of the two is found if it is known.
    fn read_job(&mut self, out: &mut Out, req: ReqId, id: JobId, ask: Ask) {
        let busy = self.ops.open.len() > MOST_CALLS;
        let seat = seat_of_job(id, self.view.len());
        let mut c = ctx!(self, out);
        if busy {
            return c.reply_later(req, 503, 2);
        }
        let kind = OpKind::ReadJob { req, id, ask: AskKind(ask) };
        c.store(kind, StoreCall::Get { key: job_key(seat, id) });
    }

    // ---- workers -------------------------------------------------------------------------

    /// Whether workers may be answered. Who hears neither the store nor a sibling can't learn what
    /// was cancelled: it lets its workers go in time for whoever owns its seats by then. (Found
    /// by the simulator: workers stayed with such a node for its whole grace.)
    fn may_answer(&self, now: Now) -> bool {
        let silent = |(i, &h): (usize, &Now)| i == self.me.0 as usize || !lately(h, now);
        let alone = self.nodes.len() > 1 && self.heard.iter().enumerate().all(silent);
        let in_time = self.cfg.cancel_ms.saturating_sub(LET_GO_MS);
        self.lease.in_grace(now) && !(alone && now >= self.lease.renewed + at_most(in_time))
    }

    fn report(&mut self, out: &mut Out, req: ReqId, r: &Report) {
        let now = out.now;
        let seat = seat_of_machine(&r.machine, self.view.len());
        let grace = self.may_answer(now);
        let owner = self.view[seat.0 as usize].owner;
        let mut c = ctx!(self, out);
        let reply = if let Some(o) = self.owned[seat.0 as usize].as_mut().filter(|_| grace) {
            match o.part.report(&mut c, r) {
                Some(a) => WorkerReply::Answer(a),
                None => WorkerReply::Redirect(None),
            }
        } else {
            match owner {
                Some(o) if o.node != self.me => {
                    WorkerReply::Redirect(Some(self.nodes[o.node.0 as usize].clone()))
                }
                _ => WorkerReply::Unavailable,
            }
        };
        out.list.push(Output::Worker { req, reply });
    }

    fn direct_outcome(
        &mut self,
        out: &mut Out,
        machine: &str,
        batch: u64,
        outcome: &DirectOutcome,
    ) {
        let seat = seat_of_machine(machine, self.view.len());
        let mut c = ctx!(self, out);
        let Some(o) = &mut self.owned[seat.0 as usize] else {
            return;
        };
        let (report, unknown) = match outcome {
            DirectOutcome::Executed(r) | DirectOutcome::Refused(r) => (Some(&**r), false),
            DirectOutcome::NotSent => (None, false),
            DirectOutcome::Unknown => (None, true),
        };
        o.part.direct_outcome(&mut c, machine, batch, report, unknown);
    }

    // ---- siblings ------------------------------------------------------------------------

    fn mesh(&mut self, out: &mut Out, from: &str, msg: NodeMsg) {
        let now = out.now;
        let Some(n) = self.nodes.iter().position(|x| x == from) else {
            return;
        };
        self.heard[n] = now;
        match msg {
            NodeMsg::Beat { owned } => {
                // A node that does not reach the state service still learns that its time is
                // over, and sends the workers to their new owner.
                for (seat, epoch) in owned {
                    let seat = Seat(seat);
                    let Some(v) = self.view.get_mut(seat.0 as usize) else { continue };
                    if v.owner.is_none_or(|o| o.epoch.0 < epoch) {
                        let node = NodeIdx(n as u8);
                        v.owner = Some(Owner { node, boot: 0, epoch: Epoch(epoch) });
                        if self.owned[seat.0 as usize].is_some() {
                            self.drop_seat(out, seat);
                        }
                        self.spread_view();
                    }
                }
            }
            NodeMsg::Seat { from, from_epoch, to, to_epoch, msg } => {
                let len = self.view.len();
                if from as usize >= len || to as usize >= len {
                    return;
                }
                let mine = self.owned[to as usize].as_ref().map(|o| o.epoch.0);
                let newer = self.view[from as usize].owner.is_some_and(|o| o.epoch.0 > from_epoch);
                if mine == Some(to_epoch) && !newer {
                    self.deliver(out, Seat(from), Epoch(from_epoch), Seat(to), msg);
                }
            }
            NodeMsg::Ask { call, job, cancel } => {
                let id = JobId(job);
                let seat = seat_of_job(id, self.view.len());
                let valid = self.lease.valid(now);
                let mine = self.owned[seat.0 as usize].as_mut();
                let to = from.to_string();
                let Some(o) = mine.filter(|o| valid && o.coordinator.ready()) else {
                    let answer = Told::NotMine;
                    out.list.push(Output::Mesh { to, msg: NodeMsg::Told { call, answer } });
                    return;
                };
                if self.relays.len() > MOST_CALLS {
                    let answer = Told::Later;
                    out.list.push(Output::Mesh { to, msg: NodeMsg::Told { call, answer } });
                    return;
                }
                self.next_call += 1;
                let req = (1 << 62) | self.next_call;
                self.relays.insert(req, (to, call));
                let mut c = ctx!(self, out);
                if cancel {
                    if !o.coordinator.cancel(&mut c, req, id) {
                        c.reply_error(req, 404, "unknown", None);
                    }
                } else {
                    match o.coordinator.state(id) {
                        Some(s) => c.reply_state(req, 200, s),
                        None => c.reply_error(req, 404, "unknown", None),
                    }
                }
            }
            NodeMsg::Told { call, answer } => {
                let Some(k) = self.calls.remove(&call) else {
                    return;
                };
                match answer {
                    Told::State(s) => {
                        let mut c = ctx!(self, out);
                        c.reply_state(k.req, 200, s);
                    }
                    Told::Later if k.ask == Ask::Cancel => {
                        let mut c = ctx!(self, out);
                        c.reply_later(k.req, 503, 1);
                    }
                    Told::NotMine | Told::Unknown | Told::Later => {
                        self.read_job(out, k.req, k.id, k.ask);
                    }
                }
            }
            NodeMsg::WantSeat { seat } => {
                if seat as usize == n {
                    if let Some(o) = self.owned.get_mut(seat as usize).and_then(Option::as_mut) {
                        o.coordinator.leaving = true;
                        o.leave_until = now + 5000;
                    }
                }
            }
        }
    }

    // ---- lease and seats -----------------------------------------------------------------

    fn own(&mut self, out: &mut Out, seat: Seat, epoch: Epoch) {
        let now = out.now;
        let i = seat.0 as usize;
        if self.owned[i].as_ref().is_some_and(|o| o.epoch >= epoch) {
            return;
        }
        self.drop_seat(out, seat);
        let n = self.view.len();
        out.log(1, "seat_acquired", || format!("seat={} epoch={}", seat.0, epoch.0));
        self.view[i].owner = Some(Owner { node: self.me, boot: self.boot, epoch });
        self.owned[i] = Some(Owned {
            epoch,
            coordinator: Coordinator::new(seat, epoch, n),
            part: Part::new(seat, epoch, now, n),
            desk: Desk::new(seat, &self.cfg.teams, n),
            releasing: false,
            leave_until: 0,
        });
        if seat == BUYER_SEAT {
            self.buyer = Some((epoch, Buyer::new(epoch, now)));
        }
        self.spread_view();
        let mut c = ctx!(self, out);
        if let Some(o) = &mut self.owned[i] {
            o.coordinator.tick(&mut c);
        }
    }

    fn drop_seat(&mut self, out: &mut Out, seat: Seat) {
        let mut c = ctx!(self, out);
        if let Some(mut o) = self.owned[seat.0 as usize].take() {
            o.coordinator.abandon(&mut c);
            c.out.log(1, "seat_lost", || format!("seat={} epoch={}", seat.0, o.epoch.0));
            if seat == BUYER_SEAT {
                self.buyer = None;
            }
        }
    }

    fn drop_all(&mut self, out: &mut Out) {
        for i in 0..self.owned.len() {
            self.drop_seat(out, Seat(i as u8));
        }
    }

    /// A new epoch is a no to what older ones left open, whoever tells of it.
    fn spread_view(&mut self) {
        for i in 0..self.view.len() {
            if let Some(w) = self.view[i].owner {
                for o in self.owned.iter_mut().flatten() {
                    o.part.see_coordinator(Seat(i as u8), w.epoch);
                }
            }
        }
    }

    fn see_seat(&mut self, out: &mut Out, key: &str, value: Option<(&serde_json::Value, u64)>) {
        let now = out.now;
        let Some(seat) = parse_seat_key(key).filter(|s| (s.0 as usize) < self.view.len()) else {
            return;
        };
        let i = seat.0 as usize;
        let Some((v, version)) = value else {
            if self.view[i].owner.is_some() {
                self.view[i] = SeatView { owner: None, vacant_since: now, trying: false };
            }
            if self.owned[i].is_some() {
                self.drop_seat(out, seat);
            }
            return;
        };
        let epoch = Epoch(version);
        let node = v["node"].as_str().and_then(|n| self.nodes.iter().position(|x| x == n));
        let boot = v["boot"].as_u64();
        let (Some(node), Some(boot)) = (node, boot) else {
            return;
        };
        let owner = Owner { node: NodeIdx(node as u8), boot, epoch };
        if self.view[i].owner.is_some_and(|o| o.epoch > epoch) {
            return;
        }
        self.view[i].owner = Some(owner);
        let mine = owner.node == self.me && boot == self.boot;
        if mine && self.lease.valid(now) {
            self.own(out, seat, epoch);
        } else if !mine && self.owned[i].is_some() {
            self.drop_seat(out, seat);
        }
        self.spread_view();
        self.wake = true;
    }

    fn tick_lease(&mut self, out: &mut Out) {
        let now = out.now;
        if self.lease.id.is_some() && !self.lease.in_grace(now) {
            // Too long without a renewal: nothing may be answered for any seat any more.
            self.drop_all(out);
        }
        let stuck = self.lease.sent.is_none_or(|s| now > s + 2500);
        if now >= self.lease.next && stuck {
            self.lease.sent = Some(now);
            self.lease.next = now + RENEW_MS;
            let id = self.lease.id;
            let mut c = ctx!(self, out);
            match id {
                Some(lease) => {
                    c.store(OpKind::Touch { sent: now, lease }, StoreCall::Touch { lease })
                }
                None => c.store(
                    OpKind::NewLease { sent: now },
                    StoreCall::NewLease { ttl_ms: LEASE_MS },
                ),
            }
        }
        if !self.seats_busy && now >= self.seats_at && !self.view_known {
            self.seats_busy = true;
            let mut c = ctx!(self, out);
            c.store(OpKind::Seats, StoreCall::List { prefix: "seat/".into(), after: None });
        }
    }

    fn tick_seats(&mut self, out: &mut Out) {
        let now = out.now;
        if !self.view_known || !self.lease.valid(now) || self.names.catalog.is_empty() {
            return;
        }
        let n = self.view.len();
        for i in 0..n {
            let v = self.view[i];
            let mut version = 0;
            let take = match v.owner {
                None => {
                    let home = i == self.me.0 as usize;
                    let alive = |k: usize| lately(self.heard[k], now);
                    // Home takes its own seat at once; others in order of distance, and only
                    // later if home is alive.
                    let wait = if home {
                        0
                    } else {
                        let ahead = (1..n)
                            .map(|d| (i + d) % n)
                            .take_while(|&k| k != self.me.0 as usize)
                            .filter(|&k| alive(k))
                            .count() as u64;
                        let load = self.owned.iter().flatten().count() as u64;
                        (if alive(i) { 1500 } else { 0 }) + ahead * 400 + load * 50
                    };
                    now >= v.vacant_since + wait
                }
                // Our own process before this one held it: that one is dead.
                Some(o) if o.node == self.me && o.boot != self.boot => {
                    version = o.epoch.0;
                    true
                }
                Some(_) => false,
            };
            if !take || self.owned[i].is_some() || now < self.next_acquire[i] || v.trying {
                continue;
            }
            self.next_acquire[i] = now + 700;
            self.view[i].trying = true;
            let key = seat_key(Seat(i as u8));
            let value = json!({"node": self.nodes[self.me.0 as usize], "boot": self.boot});
            let txn = Txn {
                conds: vec![Cond { key: key.clone(), version }],
                changes: vec![Change::Put { key, value, lease: self.lease.id }],
            };
            self.budget.force(1);
            let mut c = ctx!(self, out);
            c.store(OpKind::Acquire(Seat(i as u8)), StoreCall::Txn(txn));
        }
        // Orderly handover to the seat's home.
        for i in 0..n {
            let Some(o) = &mut self.owned[i] else {
                continue;
            };
            if !o.coordinator.leaving || o.releasing {
                continue;
            }
            if now > o.leave_until {
                o.coordinator.leaving = false;
                continue;
            }
            if o.coordinator.quiet() {
                o.releasing = true;
                let key = seat_key(Seat(i as u8));
                let epoch = o.epoch;
                let txn = Txn {
                    conds: vec![Cond { key: key.clone(), version: epoch.0 }],
                    changes: vec![Change::Delete { key }],
                };
                self.budget.force(1);
                let mut c = ctx!(self, out);
                c.store(OpKind::Release(Seat(i as u8), epoch), StoreCall::Txn(txn));
            }
        }
    }

    fn tick(&mut self, out: &mut Out) {
        let now = out.now;
        self.tick_lease(out);
        self.tick_seats(out);
        if self.names.catalog.is_empty() && now >= self.catalog_at {
            self.catalog_at = now + 1000;
            let mut c = ctx!(self, out);
            c.cloud(OpKind::Catalog, CloudCall::Catalog);
        }
        // Calls to siblings that got no answer: the store knows.
        let late: Vec<u64> =
            self.calls.iter().filter(|(_, c)| now >= c.until).map(|(k, _)| *k).collect();
        for k in late {
            let Some(call) = self.calls.remove(&k) else {
                continue;
            };
            if call.ask == Ask::Cancel {
                let mut c = ctx!(self, out);
                c.reply_later(call.req, 503, 1);
            } else {
                self.read_job(out, call.req, call.id, call.ask);
            }
        }
        for i in 0..self.owned.len() {
            let seat = Seat(i as u8);
            let mut watch = None;
            let mut c = ctx!(self, out);
            if let Some(o) = &mut self.owned[i] {
                o.part.tick(&mut c);
                if c.valid {
                    o.coordinator.tick(&mut c);
                    let k = &mut o.coordinator;
                    if k.ready() && !k.watching && now >= k.watch_after {
                        k.watching = true;
                        watch = Some((o.epoch, k.watch_from));
                    }
                }
            }
            if let Some((epoch, after)) = watch {
                let call = StoreCall::Watch { prefix: job_prefix(seat), after, wait_ms: 15_000 };
                c.store(OpKind::JobWatch { seat, epoch }, call);
            }
            self.wake |= c.wake;
        }
        self.tick_finals(out);
        if now >= self.slow_at {
            self.slow_at = now + TICK_SLOW_MS;
            self.slow_tick(out);
        }
        if let Some((_, b)) = &mut self.buyer {
            let mut c = ctx!(self, out);
            b.tick(&mut c);
        }
    }

    /// A sibling that is alive but not heard can't tell which jobs were cancelled: the store can.
    /// (Found on hunts: controllers reached all but each other for longer than a cancellation may
    /// take, and cancelled tasks ran on.)
    fn tick_finals(&mut self, out: &mut Out) {
        let now = out.now;
        for i in 0..self.view.len() {
            let seat = Seat(i as u8);
            let mut c = ctx!(self, out);
            let heard = c.owner(seat).filter(|o| o.node != c.me && !c.reachable(seat));
            let Some(owner) = heard.filter(|_| self.owned.iter().any(Option::is_some)) else {
                self.finals[i] = None;
                continue;
            };
            let since = self.heard[owner.node.0 as usize].saturating_sub(FINALS_BACK_MS);
            let mark = || self.marks.iter().rev().find(|m| m.0 <= since).map_or(0, |m| m.1);
            let f = self.finals[i].get_or_insert_with(|| Finals {
                after: mark(),
                how: Reading::Changes,
                busy: false,
                retry_at: now,
            });
            if f.busy || now < f.retry_at {
                continue;
            }
            f.busy = true;
            let prefix = coordinator::final_prefix(seat);
            let call = match &f.how {
                Reading::Changes => StoreCall::Watch { prefix, after: f.after, wait_ms: 3000 },
                Reading::Start => StoreCall::List { prefix, after: None },
                Reading::Page(after) => StoreCall::List { prefix, after: Some(after.clone()) },
            };
            c.store(OpKind::Finals { seat }, call);
        }
    }

    fn finals_read(&mut self, out: &mut Out, seat: Seat, result: StoreResult) {
        let now = out.now;
        let Some(f) = self.finals.get_mut(seat.0 as usize).and_then(Option::as_mut) else {
            return;
        };
        f.busy = false;
        let keys: Vec<String> = match result {
            StoreResult::Events(e) => {
                f.after = e.revision;
                e.events.into_iter().filter_map(|e| e.put).collect()
            }
            StoreResult::Page(p) => {
                let keys: Vec<String> = p.items.into_iter().map(|i| i.key).collect();
                if f.how == Reading::Start {
                    f.after = p.revision;
                }
                let next = keys.last().filter(|_| p.more).cloned();
                f.how = next.map_or(Reading::Changes, Reading::Page);
                keys
            }
            StoreResult::TooOld => {
                f.how = Reading::Start;
                return;
            }
            _ => {
                f.retry_at = now + 300;
                return;
            }
        };
        for id in keys.iter().filter_map(|k| coordinator::job_of_key(k)) {
            let mut c = ctx!(self, out);
            for o in self.owned.iter_mut().flatten() {
                o.part.job_over(&mut c, id);
            }
        }
    }

    fn slow_tick(&mut self, out: &mut Out) {
        let now = out.now;
        self.marks.push_back((now, self.revision));
        if self.marks.len() > MARKS {
            self.marks.pop_front();
        }
        let owned: Vec<(u8, u64)> = match self.lease.valid(now) {
            true => self.owned_seats().iter().map(|(s, e)| (s.0, e.0)).collect(),
            false => Vec::new(),
        };
        for (i, n) in self.nodes.iter().enumerate() {
            if i != self.me.0 as usize {
                let msg = NodeMsg::Beat { owned: owned.clone() };
                out.list.push(Output::Mesh { to: n.clone(), msg });
            }
        }
        // At home again and ready: ask for the own seat.
        let me = self.me.0 as usize;
        if let Some(o) = self.view[me].owner {
            if o.node != self.me
                && self.lease.valid(now)
                && now > self.started + at_least(2000)
                && !self.names.catalog.is_empty()
            {
                let to = self.nodes[o.node.0 as usize].clone();
                out.list.push(Output::Mesh { to, msg: NodeMsg::WantSeat { seat: me as u8 } });
            }
        }
        for i in 0..self.owned.len() {
            let mut c = ctx!(self, out);
            let Some(o) = &mut self.owned[i] else {
                continue;
            };
            let seat = Seat(i as u8);
            let lacks = o.coordinator.lacks(&c);
            let machines = o.part.inventory(&c);
            if o.coordinator.ready() {
                c.send(seat, BUYER_SEAT, SeatMsg::Lacks { lacks });
            }
            for msg in machines {
                c.send(seat, BUYER_SEAT, msg);
            }
        }
    }

    // ---- answers of the state service ----------------------------------------------------

    fn coordinator(&mut self, seat: Seat, epoch: Epoch) -> Option<usize> {
        let i = seat.0 as usize;
        self.owned[i].as_ref().is_some_and(|o| o.epoch == epoch).then_some(i)
    }

    fn stored(&mut self, out: &mut Out, kind: OpKind, result: StoreResult) {
        let now = out.now;
        match kind {
            OpKind::NewLease { sent } => {
                self.lease.sent = None;
                // Counted from when this very request was sent, not a later try.
                if let (StoreResult::Lease(id), None) = (result, self.lease.id) {
                    self.lease.id = Some(id);
                    self.lease.renewed = sent;
                    self.tick_seats(out);
                }
            }
            OpKind::Touch { lease, .. } if self.lease.id != Some(lease) => {}
            OpKind::Touch { sent, .. } => {
                self.lease.sent = None;
                match result {
                    StoreResult::Touched => self.lease.renewed = self.lease.renewed.max(sent),
                    StoreResult::NoLease => {
                        out.log(1, "lease_lost", String::new);
                        self.lease = Lease { next: now, ..Lease::default() };
                        self.drop_all(out);
                    }
                    _ => self.lease.next = now + 300,
                }
            }
            OpKind::Seats => {
                self.seats_busy = false;
                let StoreResult::Page(p) = result else {
                    self.seats_at = now + 300;
                    return;
                };
                for i in 0..self.view.len() {
                    let key = seat_key(Seat(i as u8));
                    let item = p.items.iter().find(|x| x.key == key);
                    self.see_seat(out, &key, item.map(|x| (&x.value, x.version)));
                }
                self.view_known = true;
                self.watch_seats(out, p.revision);
                self.tick_seats(out);
            }
            OpKind::SeatWatch => match result {
                StoreResult::Events(e) => {
                    for ev in &e.events {
                        if let Some(k) = &ev.put {
                            self.see_seat(out, k, Some((&ev.value, ev.version)));
                        } else if let Some(k) = &ev.delete {
                            let i = parse_seat_key(k).map_or(0, |s| s.0 as usize);
                            // A deletion older than the acquisition we know of says nothing.
                            let newer = self.view.get(i).and_then(|v| v.owner);
                            if newer.is_none_or(|o| o.epoch.0 <= ev.version) {
                                self.see_seat(out, k, None);
                            }
                        }
                    }
                    self.watch_seats(out, e.revision);
                    self.tick_seats(out);
                }
                _ => {
                    self.view_known = false;
                    self.seats_at = now + 200;
                }
            },
            OpKind::Acquire(seat) => {
                self.view[seat.0 as usize].trying = false;
                match result {
                    StoreResult::Committed(rev) if self.lease.valid(now) => {
                        self.own(out, seat, Epoch(rev));
                    }
                    StoreResult::NoLease => {
                        self.lease = Lease { next: now, ..Lease::default() };
                        self.drop_all(out);
                    }
                    // Whoever owns it, the watch will tell.
                    _ => {}
                }
            }
            OpKind::Release(seat, epoch) => {
                let Some(i) = self.coordinator(seat, epoch) else {
                    return;
                };
                match result {
                    StoreResult::Committed(_) => {
                        self.drop_seat(out, seat);
                        self.view[i] = SeatView { owner: None, vacant_since: now, trying: false };
                        self.next_acquire[i] = now + 2000;
                    }
                    StoreResult::Conflict(_) => self.drop_seat(out, seat),
                    StoreResult::Refused => {
                        if let Some(o) = &mut self.owned[i] {
                            o.releasing = false;
                        }
                    }
                    // It may be gone already: stop acting, and let the lease or the watch tell.
                    _ => self.drop_seat(out, seat),
                }
            }
            OpKind::Load { seat, epoch } => {
                let Some(i) = self.coordinator(seat, epoch) else {
                    return;
                };
                let mut c = ctx!(self, out);
                if let Some(o) = &mut self.owned[i] {
                    o.coordinator.loaded(&mut c, result);
                }
                self.wake |= c.wake;
            }
            OpKind::JobWatch { seat, epoch } => {
                let Some(i) = self.coordinator(seat, epoch) else {
                    return;
                };
                let mut c = ctx!(self, out);
                let Some(o) = &mut self.owned[i] else { return };
                let k = &mut o.coordinator;
                k.watching = false;
                let mut again = None;
                match result {
                    StoreResult::Events(e) => {
                        for ev in &e.events {
                            if let Some(key) = &ev.put {
                                k.job_created(&mut c, key, &ev.value);
                            }
                        }
                        k.watch_from = e.revision;
                        k.watching = true;
                        again = Some(k.watch_from);
                    }
                    StoreResult::TooOld => {
                        // Jobs may have been missed: read all anew, under a new epoch.
                        self.drop_for_reload(out, seat);
                        return;
                    }
                    _ => k.watch_after = now + 300,
                }
                self.wake |= c.wake;
                if let Some(after) = again {
                    let call =
                        StoreCall::Watch { prefix: job_prefix(seat), after, wait_ms: 15_000 };
                    c.store(OpKind::JobWatch { seat, epoch }, call);
                }
            }
            OpKind::Decide { seat, epoch }
            | OpKind::Fold { seat, epoch }
            | OpKind::Finish { seat, epoch, .. } => {
                let Some(i) = self.coordinator(seat, epoch) else {
                    return;
                };
                let mut c = ctx!(self, out);
                let Some(o) = &mut self.owned[i] else { return };
                let k = &mut o.coordinator;
                let kept = match kind {
                    OpKind::Decide { .. } => k.decided(&mut c, result),
                    OpKind::Fold { .. } => k.folded(&mut c, result),
                    OpKind::Finish { job, .. } => k.finished(&mut c, job, result),
                    _ => true,
                };
                self.wake |= c.wake;
                if !kept {
                    self.drop_seat(out, seat);
                    self.view_known = false;
                    self.seats_at = now;
                }
            }
            OpKind::Submit { req, id, value } => self.submitted(out, req, id, &value, result),
            OpKind::ReadJob { req, id, ask } => {
                let mut c = ctx!(self, out);
                let seat = c.seat_of_job(id);
                match result {
                    // Its owner does not answer, so it can't be cancelled now.
                    StoreResult::Item(Some(_)) if ask.0 == Ask::Cancel => {
                        c.reply_later(req, 503, 1);
                    }
                    StoreResult::Item(Some(_)) => {
                        let state = JobState {
                            id: user::job_id(id.0),
                            status: Status::Queued,
                            done: 0,
                            running: 0,
                        };
                        c.reply_state(req, 200, state);
                    }
                    StoreResult::Item(None) => {
                        let key = coordinator::final_key(seat, id);
                        c.store(OpKind::ReadFinal { req, id, ask }, StoreCall::Get { key });
                    }
                    _ => c.reply_later(req, 503, 1),
                }
            }
            OpKind::ReadFinal { req, id, ask } => {
                let mut c = ctx!(self, out);
                match result {
                    StoreResult::Item(Some(i)) => match parse_final(&i.value) {
                        Some(f) => c.reply_state(req, 200, job_state(id, f)),
                        None => c.reply_later(req, 503, 5),
                    },
                    StoreResult::Item(None) => match ask.0 {
                        Ask::Wrong(400) => c.reply_error(req, 400, "malformed", None),
                        Ask::Wrong(s) => c.reply_error(req, s, "can never run", None),
                        Ask::Known => c.reply_later(req, 503, 1),
                        Ask::Get | Ask::Cancel => c.reply_error(req, 404, "unknown job", None),
                    },
                    _ => c.reply_later(req, 503, 1),
                }
            }
            OpKind::Finals { seat } => {
                self.finals_read(out, seat, result);
            }
            OpKind::BasePut => {
                let mut c = ctx!(self, out);
                match result {
                    StoreResult::Committed(_) | StoreResult::Conflict(_) => {
                        c.store(OpKind::BaseGet, StoreCall::Get { key: "base".into() });
                    }
                    _ => {
                        if let Some((_, b)) = &mut self.buyer {
                            b.set_base(None);
                        }
                    }
                }
            }
            OpKind::BaseGet => {
                if let Some((_, b)) = &mut self.buyer {
                    b.set_base(match result {
                        StoreResult::Item(Some(i)) => i.value.as_str().map(str::to_string),
                        _ => None,
                    });
                }
            }
            OpKind::Catalog | OpKind::Buyer(..) => {}
        }
    }

    fn drop_for_reload(&mut self, out: &mut Out, seat: Seat) {
        let i = seat.0 as usize;
        if let Some(o) = &mut self.owned[i] {
            o.coordinator.leaving = true;
            o.leave_until = out.now + 60_000;
            o.coordinator.watch_after = out.now + 1000;
        }
    }

    fn watch_seats(&mut self, out: &mut Out, after: u64) {
        let mut c = ctx!(self, out);
        let call = StoreCall::Watch { prefix: "seat/".into(), after, wait_ms: 15_000 };
        c.store(OpKind::SeatWatch, call);
    }

    fn submitted(
        &mut self,
        out: &mut Out,
        req: ReqId,
        id: JobId,
        value: &serde_json::Value,
        result: StoreResult,
    ) {
        match result {
            StoreResult::Committed(rev) => {
                let seat = seat_of_job(id, self.view.len());
                let mut c = ctx!(self, out);
                if let Some(o) = &mut self.owned[seat.0 as usize] {
                    // While it loads, the list brings it. And if the list is newer than the
                    // creation but lacks the job, then it is over already: this answer is a
                    // late one. (Found by the simulator: a done job went back to running.)
                    if o.coordinator.ready() && rev > o.coordinator.loaded_from {
                        o.coordinator.job_created(&mut c, &job_key(seat, id), value);
                    }
                }
                let state = JobState {
                    id: user::job_id(id.0),
                    status: Status::Queued,
                    done: 0,
                    running: 0,
                };
                c.reply(req, known(state, true));
                self.wake |= c.wake;
            }
            StoreResult::Conflict(_) => self.lookup(out, req, id, Ask::Known),
            _ => {
                let mut c = ctx!(self, out);
                c.reply_later(req, 503, 1);
            }
        }
    }

    fn clouded(&mut self, out: &mut Out, kind: OpKind, result: CloudResult) {
        match (kind, result) {
            (OpKind::Catalog, CloudResult::Catalog(cat)) => {
                self.names.set_catalog(cat);
                self.tick_seats(out);
            }
            (OpKind::Buyer(epoch, what), result) => {
                let mut c = ctx!(self, out);
                if let Some((e, b)) = &mut self.buyer {
                    if *e == epoch {
                        b.cloud(&mut c, what, result);
                    }
                }
            }
            _ => {}
        }
    }
}
