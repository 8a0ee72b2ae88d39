//! One controller: the lease, the shards it owns, and what each input means for them.
use crate::budget::{WriteBudget, CLASSES};
use crate::context::{Config, Context, LookupPurpose, Operation, PendingOperations};
use crate::coordinator::Coordinator;
use crate::guards::{holds, Guard};
use crate::health::Health;
use crate::horizon::{Horizons, OwnedShard};
use crate::ids::{Epoch, JobId, NodeIdx, Shard, Timestamp, PROVISIONER_SHARD};
use crate::io::{CloudCall, CloudResult, Effect, Effects, Input, RequestId, StoreResult};
use crate::jobs::Objectives;
use crate::names::Names;
use crate::participant::Participant;
use crate::provisioner::Provisioner;
use crate::quota::QuotaManager;
use crate::shard::{at_least, Lease, ShardView};
use leaddeal_wire::mesh::{NodeMessage, ShardMessage};
use leaddeal_wire::settings::Settings;
use std::collections::{BTreeMap, HashMap, VecDeque};

const CALL_MS: u64 = 700;
const CANCEL_CALL_MS: u64 = 2500;
/// Requests under way beyond this are refused at once.
const MOST_CALLS: usize = 300;
const TICK_SLOW_MS: u64 = 1000;
/// The state service has refused or not answered anything for so long: a sibling may do better.
const UNSERVED_MS: u64 = 5000;
/// A new process listens to its siblings for so long before it takes itself for the best there is.
const LISTEN_MS: u64 = 1500;
/// A tick that comes so late means that the process stood still.
const STOOD_STILL_MS: u64 = 1500;
/// After standing still, or losing its lease, a node does not ask for its shard for so long.
const STEADY_MS: u64 = 20_000;
/// The operators' figures are logged this often.
const FIGURES_MS: u64 = 60_000;
/// Final states are read from so long before a sibling was last heard: what it sent until then
/// came, or was sent again.
const FINALS_BACK_MS: u64 = 5000;
/// Remembered revisions of the store, one a second, beyond what a cancellation may take.
const MARKS: usize = 20;

/// The context of one input, made anew so that other fields of the node can be used beside it.
macro_rules! ctx {
    ($n:expr, $effects:expr) => {
        Context {
            now: $effects.now,
            time_ms: $n.time_ms,
            valid: $n.lease.valid($effects.now),
            wake: false,
            effects: $effects,
            names: &mut $n.names,
            config: &$n.config,
            budget: &mut $n.budget,
            horizons: &mut $n.horizons,
            me: $n.me,
            view: &$n.view,
            heard: $n.health.heard(),
            ops: &mut $n.ops,
            sends: &mut $n.sends,
            relays: &mut $n.relays,
        }
    };
}

mod finals;
mod relay;
mod shards;
mod siblings;
mod stored;
#[cfg(test)]
mod tests;
mod users;
mod workers;

use finals::Reading;
use relay::RelayTable;
use workers::PendingRelay;

#[derive(Debug)]
struct Call {
    req: RequestId,
    id: JobId,
    ask: LookupPurpose,
    until: Timestamp,
}

#[derive(Debug)]
struct Owned {
    epoch: Epoch,
    coordinator: Coordinator,
    participant: Participant,
    quota: QuotaManager,
    releasing: bool,
    leave_until: Timestamp,
}

pub struct Node {
    me: NodeIdx,
    boot: u64,
    started: Timestamp,
    ticked: Timestamp,
    /// Its home shard is not asked for before this time.
    steady_from: Timestamp,
    time_ms: u64,
    nodes: Vec<String>,
    config: Config,
    names: Names,
    budget: WriteBudget,
    lease: Lease,
    view: Vec<ShardView>,
    view_known: bool,
    shards_at: Timestamp,
    shards_busy: bool,
    health: Health,
    /// What was cancelled, and up to when it is known.
    horizons: Horizons,
    /// Workers of a shard were let go, since what was cancelled is not known.
    let_go: bool,
    state_ok_at: Timestamp,
    owned: Vec<Option<Owned>>,
    /// The newest epoch of each shard that this process acted under and acts under no more.
    given_up: Vec<Epoch>,
    provisioner: Option<(Epoch, Provisioner)>,
    ops: PendingOperations,
    sends: VecDeque<(Shard, Shard, ShardMessage)>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    relays: HashMap<RequestId, (String, u64)>,
    /// Workers that don't reach their owners.
    relay_table: RelayTable,
    /// Their reports that were passed on, by the number of the call.
    pending_relays: BTreeMap<u64, PendingRelay>,
    catalog_at: Timestamp,
    slow_at: Timestamp,
    figures_at: Timestamp,
    /// Changes by class that were logged already.
    logged: [u64; CLASSES.len()],
    next_acquire: Vec<Timestamp>,
    wake: bool,
    looked: u64,
    /// Final states of shards whose owners do not speak for them.
    finals: Vec<Option<Reading>>,
    /// Newest revision heard of.
    revision: u64,
    /// When which revision was the newest.
    marks: VecDeque<(Timestamp, u64)>,
}

impl Node {
    pub fn new(s: &Settings, boot: u64, now: Timestamp) -> Node {
        let nodes = s.nodes();
        let n = nodes.len();
        let me = nodes.iter().position(|x| *x == s.node).unwrap_or(0);
        let p = &s.params;
        let mut names = Names::default();
        names.zones.clone_from(&p.zones);
        let max_picks = ((p.state.value_kb * 1024.0 - 200.0) / 64.0).clamp(1.0, 150.0) as usize;
        // Tasks of one job that its shard may place in a second: half of the shard's changes go to
        // decisions, and no job takes more than a third of one.
        let placed_s = p.state.write_rps / n as f64 * 0.5 * max_picks as f64 / 3.0;
        Node {
            me: NodeIdx(me as u8),
            boot,
            started: now,
            ticked: now,
            steady_from: now + at_least(2000),
            time_ms: 0,
            config: Config {
                worker_lease_ms: (p.workers.lease_s * 1000.0) as u64,
                cancel_ms: (p.workers.cancel_s * 1000.0) as u64,
                quiet_ms: (p.workers.report_s * 2500.0) as u64 + 500,
                report_due_ms: (p.workers.report_s * 1250.0) as u64 + 1500,
                max_picks,
                txn_ops: p.state.txn_ops,
                cloud_gap_ms: (1100.0 / p.cloud.rps) as u64,
                list_lag_ms: (p.cloud.list_lag_s * 1000.0) as u64,
                teams: p.teams.clone(),
                aims: Objectives::new(&p.objectives, 1000.0 / placed_s.max(1.0)),
            },
            names,
            budget: WriteBudget::new(p.state.write_rps, n, now),
            lease: Lease::default(),
            view: vec![ShardView::default(); n],
            view_known: false,
            shards_at: now,
            shards_busy: false,
            health: Health::new(NodeIdx(me as u8), n),
            horizons: Horizons::new(
                NodeIdx(me as u8),
                boot,
                n,
                (p.workers.cancel_s * 1000.0) as u64,
                (p.workers.lease_s * 1000.0) as u64,
            ),
            let_go: false,
            state_ok_at: now,
            owned: (0..n).map(|_| None).collect(),
            given_up: vec![Epoch(0); n],
            provisioner: None,
            ops: PendingOperations { next: 0, open: HashMap::new() },
            sends: VecDeque::new(),
            calls: BTreeMap::new(),
            next_call: boot << 20,
            relays: HashMap::new(),
            relay_table: RelayTable::default(),
            pending_relays: BTreeMap::new(),
            catalog_at: now,
            slow_at: now,
            figures_at: now + FIGURES_MS,
            logged: [0; CLASSES.len()],
            next_acquire: vec![0; n],
            nodes,
            wake: false,
            looked: 0,
            finals: (0..n).map(|_| None).collect(),
            revision: 0,
            marks: VecDeque::new(),
        }
    }

    /// Whether this node can do what users ask for.
    fn ready(&self, now: Timestamp) -> bool {
        let served = now < self.state_ok_at + UNSERVED_MS;
        !self.names.catalog.is_empty() && self.view_known && served
    }

    /// Whether users should come here: also while this node can only refuse, if no sibling could
    /// do better, since a refusal with `Retry-After` is better than nobody to talk to. (Found on
    /// days of our own: after a crash of all in an outage users met no controller until its end.)
    ///
    /// Who hears neither the state service nor any sibling can't tell whether they could: it is cut
    /// off, more likely than all of them.
    pub fn healthy(&self, now: Timestamp) -> bool {
        let best = !self.health.another_serves(now) && self.health.hears_any(now);
        self.ready(now) || (now >= self.started + LISTEN_MS && best)
    }

    pub fn owned_shards(&self) -> Vec<(Shard, Epoch)> {
        self.owned
            .iter()
            .enumerate()
            .filter_map(|(i, o)| Some((Shard(i as u8), o.as_ref()?.epoch)))
            .collect()
    }

    /// How often a machine was looked at to judge it for a job: the work that grows with the fleet.
    pub fn looked(&self) -> u64 {
        self.looked
    }

    /// Takes one input; returns what to send, write and answer.
    pub fn step(&mut self, now: Timestamp, time_ms: u64, input: Input) -> Vec<Effect> {
        self.time_ms = time_ms;
        self.budget.refill(now);
        let mut effects = Effects { now, list: Vec::new(), looked: 0 };
        match input {
            Input::Tick => self.tick(&mut effects),
            Input::Submit { req, id, job } => self.submit(&mut effects, req, id, job),
            Input::Get { req, id } => self.lookup(&mut effects, req, id, LookupPurpose::Get),
            Input::Cancel { req, id } => self.lookup(&mut effects, req, id, LookupPurpose::Cancel),
            Input::WorkerHeartbeat { req, report } => self.report(&mut effects, req, report),
            Input::CommandOutcome { machine, batch, outcome } => {
                self.direct_outcome(&mut effects, &machine, batch, &outcome);
            }
            Input::Mesh { from, msg } => self.mesh(&mut effects, &from, *msg),
            Input::Store { op, result } => {
                if let Some(kind) = self.ops.open.remove(&op) {
                    if !matches!(
                        result,
                        StoreResult::Refused | StoreResult::RateLimited | StoreResult::Unknown
                    ) {
                        self.state_ok_at = now;
                    }
                    if matches!(result, StoreResult::RateLimited) && kind.writes() {
                        self.budget.refused(now);
                    }
                    self.revision = self.revision.max(match &result {
                        StoreResult::Committed(r) => *r,
                        StoreResult::Page(p) => p.revision,
                        StoreResult::Events(e) => e.revision,
                        _ => 0,
                    });
                    self.stored(&mut effects, kind, result);
                }
            }
            Input::Cloud { op, result } => {
                if let Some(kind) = self.ops.open.remove(&op) {
                    self.clouded(&mut effects, kind, result);
                }
            }
        }
        self.settle(&mut effects);
        self.looked += effects.looked;
        effects.list
    }

    /// What this node acts for and knows all of, by shard. Not while it is given back: that may have
    /// been done already.
    fn mine(&self, now: Timestamp) -> Vec<Option<OwnedShard>> {
        let doubt_ms = self.lease.in_doubt_ms(now);
        let all = self.owned.iter().map(|o| {
            let o = o.as_ref().filter(|o| o.coordinator.ready() && !o.releasing)?;
            Some(OwnedShard { epoch: o.epoch, doubt_ms })
        });
        all.collect()
    }

    /// Stops everywhere here what was learned to be over.
    fn stop_what_is_over(&mut self, effects: &mut Effects) {
        for job in self.horizons.take_fresh() {
            for i in 0..self.owned.len() {
                let mut c = ctx!(self, effects);
                if let Some(o) = self.owned[i].as_mut().filter(|_| holds(Guard::StopOver)) {
                    o.participant.job_over(&mut c, job);
                }
            }
        }
    }

    /// Delivers messages between shards until there are none.
    fn settle(&mut self, effects: &mut Effects) {
        for _ in 0..50 {
            if std::mem::take(&mut self.wake) {
                for i in 0..self.owned.len() {
                    let mut c = ctx!(self, effects);
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
                        self.deliver(effects, from, epoch, to, msg);
                    }
                } else {
                    let node = self.nodes[o.node.0 as usize].clone();
                    let msg = NodeMessage::Shard {
                        from: from.0,
                        from_epoch: epoch.0,
                        to: to.0,
                        to_epoch: o.epoch.0,
                        msg,
                    };
                    effects.list.push(Effect::Mesh { to: node, msg });
                }
            }
            self.stop_what_is_over(effects);
            for i in 0..self.owned.len() {
                let mut c = ctx!(self, effects);
                if let Some(o) = &mut self.owned[i] {
                    o.participant.flush(&mut c);
                }
            }
            if self.sends.is_empty() && !self.wake {
                return;
            }
        }
    }

    fn deliver(
        &mut self,
        effects: &mut Effects,
        from: Shard,
        from_epoch: Epoch,
        to: Shard,
        msg: ShardMessage,
    ) {
        let mut c = ctx!(self, effects);
        let Some(o) = &mut self.owned[to.0 as usize] else {
            return;
        };
        match msg {
            ShardMessage::RequestOffers { .. }
            | ShardMessage::CloseNegotiation { .. }
            | ShardMessage::Place { .. }
            | ShardMessage::Stop { .. }
            | ShardMessage::Forget { .. } => o.participant.handle(&mut c, from, from_epoch, msg),
            ShardMessage::Offers { .. }
            | ShardMessage::AskDecision { .. }
            | ShardMessage::TeamGrant { .. }
            | ShardMessage::CapacityFreed { .. }
            | ShardMessage::TaskEvents { .. } => {
                o.coordinator.handle(&mut c, from, msg);
            }
            ShardMessage::Drain { machine } => {
                if from == PROVISIONER_SHARD && o.participant.drain(&mut c, &machine) {
                    c.send(to, PROVISIONER_SHARD, ShardMessage::Drained { machine });
                }
            }
            ShardMessage::OperatorMachines { newest } => {
                if from == PROVISIONER_SHARD {
                    o.participant.base = Some(newest);
                }
            }
            ShardMessage::ResendInventory => {
                if from == PROVISIONER_SHARD {
                    o.participant.tell_all();
                    for msg in o.participant.inventory(&c) {
                        c.send(to, from, msg);
                    }
                }
            }
            ShardMessage::Released { machine } => {
                if from == PROVISIONER_SHARD {
                    o.participant.released(&mut c, &machine);
                }
            }
            ShardMessage::UnmetDemand { .. }
            | ShardMessage::Inventory { .. }
            | ShardMessage::Drained { .. } => {
                if let Some((_, b)) = &mut self.provisioner {
                    b.handle(&mut c, from, msg);
                }
            }
            ShardMessage::TeamUsage { serial, usage } => {
                let granted = o.quota.report(c.now, from, from_epoch, serial, &usage);
                if let Some(granted) = granted {
                    c.send(to, from, ShardMessage::TeamGrant { serial, granted });
                }
            }
        }
        self.wake |= c.wake;
    }

    fn tick(&mut self, effects: &mut Effects) {
        let now = effects.now;
        if now >= self.ticked + STOOD_STILL_MS {
            let ms = now - self.ticked;
            effects.log(1, "stood_still", || format!("ms={ms}"));
            self.unsteady(now);
        }
        self.ticked = now;
        self.tick_lease(effects);
        let mine = self.mine(now);
        self.horizons.advance(&mine, &self.view, now);
        self.tick_shards(effects);
        if self.names.catalog.is_empty() && now >= self.catalog_at {
            self.catalog_at = now + 1000;
            let mut c = ctx!(self, effects);
            c.cloud(Operation::Catalog, CloudCall::Catalog);
        }
        // Calls to siblings that got no answer: the store knows.
        let late: Vec<u64> =
            self.calls.iter().filter(|(_, c)| now >= c.until).map(|(k, _)| *k).collect();
        for k in late {
            let Some(call) = self.calls.remove(&k) else {
                continue;
            };
            if call.ask == LookupPurpose::Cancel {
                let mut c = ctx!(self, effects);
                c.reply_later(call.req, 503, 1);
            } else {
                self.read_job(effects, call.req, call.id, call.ask);
            }
        }
        for i in 0..self.owned.len() {
            let mut c = ctx!(self, effects);
            if let Some(o) = &mut self.owned[i] {
                o.participant.tick(&mut c);
                if c.valid {
                    o.coordinator.tick(&mut c);
                }
            }
            self.wake |= c.wake;
        }
        self.tick_detours(effects);
        self.tick_finals(effects);
        if now >= self.slow_at {
            self.slow_at = now + TICK_SLOW_MS;
            self.slow_tick(effects);
        }
        if let Some((_, b)) = &mut self.provisioner {
            let mut c = ctx!(self, effects);
            b.tick(&mut c);
        }
    }

    /// Whoever stood still or lost its lease may do so again: its shard stays where it is for a
    /// while. (Found on hunts: a controller that woke after 25 s was given its shard back a second
    /// later, so that one freeze cost two takeovers.)
    fn unsteady(&mut self, now: Timestamp) {
        self.steady_from = self.steady_from.max(now + STEADY_MS);
    }

    /// What was written and what waits to be: in the log, once a minute.
    fn log_figures(&mut self, effects: &mut Effects) {
        let spent = CLASSES.map(|c| self.budget.spent(c));
        let (rate, refusals) = (self.budget.rate(), self.budget.refusals());
        let logged = std::mem::replace(&mut self.logged, spent);
        effects.log(1, "changes", || {
            let by = CLASSES.iter().zip(spent.iter().zip(logged));
            let by: Vec<String> = by.map(|(c, (n, was))| format!("{c:?}={}", n - was)).collect();
            format!("{} rate={rate:.1}/s refused={refusals}", by.join(" ").to_lowercase())
        });
        let relay_table = self.relay_table.count(effects.now);
        if relay_table > 0 {
            effects.log(1, "detours", || format!("workers={relay_table}"));
        }
        for i in 0..self.owned.len() {
            let c = ctx!(self, effects);
            let Some(o) = &mut self.owned[i] else { continue };
            let (shard, room) = (o.coordinator.figures(c.now), o.participant.figures(&c));
            let served = o.coordinator.service_figures(c.now);
            let limits = o.coordinator.limit_figures(&c);
            effects.log(1, "served", || served);
            effects.log(1, "seat", || shard);
            effects.log(1, "room", || room);
            if let Some(limits) = limits {
                effects.log(1, "limits", || limits);
            }
        }
    }

    fn slow_tick(&mut self, effects: &mut Effects) {
        let now = effects.now;
        if now >= self.figures_at {
            self.figures_at = now + FIGURES_MS;
            self.log_figures(effects);
        }
        self.marks.push_back((now, self.revision));
        if self.marks.len() > MARKS + self.config.cancel_ms as usize / 1000 {
            self.marks.pop_front();
        }
        self.relay_table.expire(now);
        self.horizons.expire(now);
        self.note_let_go(effects);
        self.beat(effects, |_| true);
        // At home again and ready: ask for the own shard.
        let me = self.me.0 as usize;
        if let Some(o) = self.view[me].owner {
            if o.node != self.me
                && self.lease.valid(now)
                && now > self.steady_from
                && !self.names.catalog.is_empty()
            {
                let to = self.nodes[o.node.0 as usize].clone();
                effects
                    .list
                    .push(Effect::Mesh { to, msg: NodeMessage::ReclaimShard { shard: me as u8 } });
            }
        }
        for i in 0..self.owned.len() {
            let mut c = ctx!(self, effects);
            let Some(o) = &mut self.owned[i] else {
                continue;
            };
            let shard = Shard(i as u8);
            let lacks = o.coordinator.lacks(&c);
            let machines = o.participant.inventory(&c);
            if o.coordinator.ready() {
                c.send(shard, PROVISIONER_SHARD, ShardMessage::UnmetDemand { lacks });
            }
            for msg in machines {
                c.send(shard, PROVISIONER_SHARD, msg);
            }
        }
    }

    fn clouded(&mut self, effects: &mut Effects, kind: Operation, result: CloudResult) {
        match (kind, result) {
            (Operation::Catalog, CloudResult::Catalog(cat)) => {
                self.names.set_catalog(cat);
                self.tick_shards(effects);
            }
            (Operation::Provisioner(epoch, what), result) => {
                let mut c = ctx!(self, effects);
                if let Some((e, b)) = &mut self.provisioner {
                    if *e == epoch {
                        b.cloud(&mut c, what, result);
                    }
                }
            }
            _ => {}
        }
    }
}
