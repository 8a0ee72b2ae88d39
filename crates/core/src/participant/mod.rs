//! A shard's machines: holds room, offers it, starts what was decided, and proves what is gone.
use crate::context::Context;
use crate::guards::{holds, Guard};
use crate::horizon::Horizons;
use crate::ids::{
    Attempt, Epoch, JobId, MachineIdx, Negotiation, Shard, Timestamp, PROVISIONER_SHARD,
};
use crate::machine::{
    AttemptKey, BatchEnd, CachedImage, HeartbeatKind, Machine, OwnerLease, StopRequest,
    TaskOnMachine,
};
use crate::names::{Names, Resources, Shape};
use crate::reachability::HeartbeatPath;
use crate::shard::at_least;
use leaddeal_wire::mesh::{Assignment, AttemptRef, ShardMessage, TaskEvent, TaskPhase};
use leaddeal_wire::user::Priority;
use leaddeal_wire::worker::{
    CommandBatch, ExitReason, HeartbeatResponse, TaskState, WorkerHeartbeat,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

mod capacity_index;
mod failure_attribution;
mod figures;
mod gang_queue;
mod inventory;
mod offer;
mod reservations;
mod room;
#[cfg(test)]
mod tests;

use capacity_index::{CapacityEntry, FreeCapacityIndex};
use failure_attribution::FailureAttribution;
use gang_queue::GangQueue;
use inventory::{InventoryPublisher, MachineSummary};
use offer::Rank;
use reservations::Reservations;

/// Answers to a report name at most this many commands.
const ORDERS: usize = 150;
/// A failure speaks against a machine for so long.
const SHUN_MS: u64 = 60_000;
/// What stays for long runs well once it has run for so long.
const RAN_WELL_MS: u64 = 30_000;
/// A shard is told of free room no more often than this.
const TELL_MS: u64 = 800;
/// So much earlier than the others those with the most important work are told.
const TOP_FIRST_MS: u64 = 300;
/// An end that was not noted is told again after this time.
const RETELL_MS: u64 = 2000;
/// A machine that is gone is forgotten so long after its last report.
const FORGET_MS: u64 = 300_000;
/// A machine that has not heard us for so long is returned, if less than one in so many are like it.
const DEAF_MS: u64 = 60_000;
const DEAF_SHARE: usize = 4;
/// What nobody waits for is told together, this often.
const LAZY_MS: u64 = 300;

#[derive(Clone, Debug)]
struct Hold {
    shard: Shard,
    negotiation: Negotiation,
    job: JobId,
    need: Resources,
    count: u64,
    /// For a service or GPU work, which stays for long.
    lasting: bool,
}

#[derive(Debug)]
pub struct Participant {
    pub shard: Shard,
    pub epoch: Epoch,
    pub since: Timestamp,
    /// Owners before us may have answered workers until then, not later.
    older_until: Timestamp,
    pub machines: BTreeMap<MachineIdx, Machine>,
    /// Machines up to this name are the operator's own.
    pub base: Option<String>,
    /// When to look whether a machine's lease is over, or it may be forgotten: one entry each,
    /// at `Machine::due`.
    due: BTreeSet<(Timestamp, MachineIdx)>,
    /// Machines with an end that was told, and when to tell it again unless it was noted.
    retell: VecDeque<(Timestamp, MachineIdx)>,
    inventory_publisher: InventoryPublisher,
    holds: BTreeMap<MachineIdx, Vec<Hold>>,
    reservations: Reservations,
    failure_attribution: FailureAttribution,
    /// Of the machines that are not `dirty`; `reindex` brings it up to date.
    capacity_index: FreeCapacityIndex,
    asked_at: Timestamp,
    /// The newest epoch heard of, by coordinator's shard.
    coordinators: Vec<Epoch>,
    dirty: BTreeSet<MachineIdx>,
    next_batch: u64,
    /// GPU work asked for lately: room is kept for it on machines with GPUs.
    gpu_work: HashMap<(u64, u64, u64), (Timestamp, Priority)>,
    gang_queue: GangQueue,
    move_at: Timestamp,
    short: Vec<Short>,
    /// Room became free that the short shards were not told of.
    freed: bool,
    /// When those with the most important shortage were told; the others follow.
    top_told_at: Option<Timestamp>,
    /// Machines with something to tell that can wait.
    lazy: BTreeSet<MachineIdx>,
    lazy_at: Timestamp,
}

/// Where requests find a machine: nowhere if no work may come to it any more.
fn place_of(m: &Machine, names: &Names) -> Option<CapacityEntry> {
    let alive = !m.lease_expired && !m.released;
    m.machine_type.zip(m.zone).filter(|_| alive).map(|(kind, zone)| {
        let mut free = names.room_of_type(kind);
        let known = m.used().map(|used| free.sub(used, 1));
        let images = m.cached_images.iter().map(|c| c.image).collect();
        CapacityEntry { group: (kind, zone, m.spot), free: known.map_or(0, |()| free.cpu), images }
    })
}

/// Whether a coordinator has to act on it soon. The other phases it shows to users, and writes
/// together what is done; a worker goes through several of them within a second.
fn acted_on(p: TaskPhase) -> bool {
    match p {
        TaskPhase::Exited(ExitReason::Done, _) => false,
        TaskPhase::Exited(..)
        | TaskPhase::Gone
        | TaskPhase::On(TaskState::Saving | TaskState::Exited) => true,
        TaskPhase::Decided
        | TaskPhase::On(TaskState::Fetching | TaskState::Waiting | TaskState::Running) => false,
    }
}

/// The priority for which a shard was offered less than it asked for, and when it was last told
/// of free room.
#[derive(Clone, Copy, Debug, Default)]
struct Short {
    wants: Option<Priority>,
    told_at: Timestamp,
}

impl Participant {
    /// `patience_ms`: an owner before us answers workers no longer than that after it lost the shard.
    pub fn new(
        shard: Shard,
        epoch: Epoch,
        now: Timestamp,
        shards: usize,
        patience_ms: u64,
    ) -> Participant {
        Participant {
            shard,
            epoch,
            since: now,
            older_until: if holds(Guard::Patience) { now + at_least(patience_ms) } else { now },
            machines: BTreeMap::new(),
            base: None,
            due: BTreeSet::new(),
            retell: VecDeque::new(),
            inventory_publisher: InventoryPublisher::default(),
            holds: BTreeMap::new(),
            reservations: Reservations::default(),
            failure_attribution: FailureAttribution::default(),
            capacity_index: FreeCapacityIndex::default(),
            asked_at: now,
            coordinators: vec![Epoch(0); shards],
            dirty: BTreeSet::new(),
            next_batch: epoch.0 << 20,
            gpu_work: HashMap::new(),
            gang_queue: GangQueue::default(),
            move_at: now,
            short: vec![Short::default(); shards],
            freed: false,
            top_told_at: None,
            lazy: BTreeSet::new(),
            lazy_at: now,
        }
    }

    fn machine(&mut self, m: MachineIdx) -> &mut Machine {
        // Not heard of yet: an owner before us may have granted its worker a lease until now.
        let (since, due) = (self.since, &mut self.due);
        self.machines.entry(m).or_insert_with(|| {
            let new = Machine::new(since);
            due.insert((new.next_check_at, m));
            new
        })
    }

    /// All siblings know our epoch: owners before us grant nothing any more. A machine that stays
    /// silent is waited for no longer than its worker's own lease. (Found on the bench: after a
    /// crash of all, hung machines' work was placed anew only 71 s later.)
    pub fn older_let_go(&mut self, now: Timestamp) {
        if now >= self.older_until {
            return;
        }
        self.older_until = now;
        // Each looks again by itself.
        let silent = self.machines.iter().filter(|(_, m)| !m.token_confirmed);
        for idx in silent.map(|(&idx, _)| idx).collect::<Vec<_>>() {
            self.look_at(idx, now);
        }
    }

    /// Looks at the machine at that time, if not earlier.
    fn look_at(&mut self, idx: MachineIdx, at: Timestamp) {
        if let Some(m) = self.machines.get_mut(&idx).filter(|m| at < m.next_check_at) {
            self.due.remove(&(m.next_check_at, idx));
            m.next_check_at = at;
            self.due.insert((at, idx));
        }
    }

    /// Puts the machines that changed where requests find them.
    fn reindex(&mut self, names: &Names) {
        for &idx in &self.dirty {
            if let Some(m) = self.machines.get(&idx) {
                self.capacity_index.set(idx, place_of(m, names));
            }
        }
        // Of a large fleet it would take all the time of a test.
        debug_assert!(
            self.machines.len() > 30
                || self
                    .machines
                    .iter()
                    .all(|(&idx, m)| self.capacity_index.place(idx) == place_of(m, names).as_ref()),
            "a change was not indexed"
        );
    }

    /// A report to be answered. None: the worker knows a newer owner, or waits for no answer.
    pub fn report(
        &mut self,
        ctx: &mut Context,
        r: &WorkerHeartbeat,
        via: HeartbeatPath,
    ) -> Option<HeartbeatResponse> {
        if r.token > self.epoch.0 {
            return None;
        }
        let idx = ctx.names.machine(&r.machine);
        let m = self.machine(idx);
        if m.released || !m.awaits_response(r) {
            return None;
        }
        m.reachability.report(via, ctx.config.report_due_ms, ctx.now);
        self.take_report(ctx, idx, r, HeartbeatKind::Periodic);
        let now = ctx.now;
        let epoch = self.epoch;
        let m = self.machine(idx);
        // A late report of a session that is over by our count must not renew its lease.
        if m.lease_expired {
            return None;
        }
        let stale = (r.incarnation, r.seq) != (m.incarnation, m.seq);
        m.lease_granted_at = now;
        // Stops go on while our lease is in doubt: what was to stop is durable, and a stop is never
        // wrong. (Found by the simulator: a cancelled task ran on with an owner that the store's
        // outage had caught between the cancellation and the worker's first report to it.)
        let lease = if ctx.valid { OwnerLease::Valid } else { OwnerLease::Uncertain };
        let orders = if stale { Vec::new() } else { m.response_commands(now, ORDERS, lease) };
        Some(HeartbeatResponse { token: epoch.0, orders })
    }

    fn take_report(
        &mut self,
        ctx: &mut Context,
        idx: MachineIdx,
        r: &WorkerHeartbeat,
        heartbeat_kind: HeartbeatKind,
    ) {
        let now = ctx.now;
        let epoch = self.epoch;
        let kind = ctx.names.type_idx(&r.type_name);
        let zone = ctx.names.zone(&r.zone);
        let older = self.older_until;
        let m = self.machine(idx);
        let before: Vec<AttemptKey> =
            m.tasks.iter().filter(|(_, t)| t.is_over()).map(|(k, _)| *k).collect();
        let known = m.token_confirmed;
        if !m.apply_heartbeat(r, epoch, heartbeat_kind, now) {
            return;
        }
        (m.machine_type, m.zone) = (kind, zone);
        let cache = kind.map_or(0.0, |k| ctx.names.catalog[k.0 as usize].cache_gb);
        let mut images = Vec::new();
        let mut freed = !known && m.token_confirmed;
        // Jobs of which tasks failed here, and of which some ran well.
        let (mut failed, mut ran_well) = (Vec::new(), Vec::new());
        for (k, t) in &m.tasks {
            if let (Some(s), TaskPhase::On(TaskState::Running | TaskState::Waiting)) =
                (&t.shape, t.phase)
            {
                images.push(CachedImage { image: s.image, size_gb: s.wire.image_gb });
                if s.lasting() && t.running_since.is_some_and(|at| now >= at + RAN_WELL_MS) {
                    ran_well.push(k.job);
                }
            }
            if before.binary_search(k).is_ok() {
                continue;
            }
            freed |= t.is_over();
            match t.phase {
                TaskPhase::Exited(ExitReason::Error | ExitReason::Other, _) => failed.push(k.job),
                TaskPhase::Exited(ExitReason::Done, _) => {
                    ran_well.push(k.job);
                    if let Some(s) = &t.shape {
                        images.push(CachedImage { image: s.image, size_gb: s.wire.image_gb });
                    }
                }
                TaskPhase::Exited(ExitReason::Full, _) => {
                    m.quarantined_until = m.quarantined_until.max(now + 2000)
                }
                _ => {}
            }
        }
        if !ran_well.is_empty() {
            m.clear_failures();
        }
        m.note_failures(&failed, now, SHUN_MS);
        images.dedup_by_key(|i| i.image);
        for image in images {
            m.note_image(image, cache);
        }
        // Notice from the cloud: what can save does so and moves; the rest may still finish.
        if m.interruption_at.is_some() {
            for t in m.tasks.values_mut() {
                if t.stop.is_none() && matches!(t.phase, TaskPhase::On(TaskState::Running)) {
                    if let Some(s) = t.shape.as_ref().filter(|s| s.wire.checkpoint_s > 0.0) {
                        let grace_s = s.wire.save_s + 5.0;
                        t.stop = Some(StopRequest { grace_s, since: now });
                    }
                }
            }
            m.update_load();
        }
        let over_at = m.lease_over_at(ctx.config.worker_lease_ms, older);
        self.weigh(ctx, idx, &failed, &ran_well);
        self.stop_over(idx, ctx.horizons, now);
        self.look_at(idx, over_at);
        self.freed |= freed;
        self.dirty.insert(idx);
    }

    /// Takes what failed and what ran well on a machine as evidence for and against it.
    fn weigh(&mut self, ctx: &mut Context, idx: MachineIdx, failed: &[JobId], ran_well: &[JobId]) {
        for &job in failed {
            self.failure_attribution.failed(job, idx, ctx.now);
        }
        for &job in ran_well {
            self.failure_attribution.ran_well(job, ctx.now);
        }
        let suspected = self.suspected(idx, ctx.now);
        let Some(m) = self.machines.get_mut(&idx) else { return };
        if suspected && !m.suspected {
            let n = ctx.names.machine_name(idx).to_string();
            ctx.effects.log(1, "machine_suspected", || n);
        }
        m.suspected = suspected;
    }

    /// Whether what failed there lately speaks against the machine, by all that is known now.
    fn suspected(&self, idx: MachineIdx, now: Timestamp) -> bool {
        let m = self.machines.get(&idx).filter(|m| !m.recent_failures.is_empty());
        m.is_some_and(|m| {
            let lately = m.recent_failures.iter().filter(|f| now < f.first_at + SHUN_MS);
            self.failure_attribution.suspects(lately.map(|f| f.job))
        })
    }

    pub fn direct_outcome(
        &mut self,
        ctx: &mut Context,
        machine: &str,
        batch: u64,
        report: Option<&WorkerHeartbeat>,
        unknown: bool,
    ) {
        let Some(idx) = ctx.names.find_machine(machine) else {
            return;
        };
        let now = ctx.now;
        let Some(m) = self.machines.get_mut(&idx) else {
            return;
        };
        match report {
            Some(r) => {
                // What was executed is in this report or a newer one.
                let newer = (r.incarnation, r.seq) > (m.incarnation, m.seq);
                if newer {
                    self.take_report(ctx, idx, r, HeartbeatKind::CommandResponse);
                }
                let m = self.machine(idx);
                m.end_direct_batch(batch, BatchEnd::Known);
                m.reachability.proven();
            }
            None => {
                let end = if unknown { BatchEnd::Unknown } else { BatchEnd::Known };
                m.end_direct_batch(batch, end);
                m.next_direct_at = now + 2000;
            }
        }
        self.dirty.insert(idx);
    }

    /// A message of a coordinator. `epoch` is the sender's.
    pub fn handle(&mut self, ctx: &mut Context, from: Shard, epoch: Epoch, msg: ShardMessage) {
        if !self.see_coordinator(from, epoch) {
            return;
        }
        match msg {
            ShardMessage::RequestOffers { negotiation, items, gpu_work } => {
                for (cpu, gpu, mem, priority) in gpu_work {
                    self.gpu_work.insert((cpu, gpu, mem), (ctx.now, priority));
                }
                self.offer(ctx, from, Negotiation(negotiation), &items);
            }
            ShardMessage::CloseNegotiation { negotiation } => {
                self.release_holds(|h| h.shard == from && h.negotiation.0 == negotiation);
            }
            ShardMessage::Place { job, shape, picks, adopt } => {
                let job = JobId(job);
                self.gang_queue.leave(job);
                ctx.horizons.goes_on(job, epoch);
                let shape = ctx.names.shape(&shape);
                for p in picks {
                    self.place(ctx, from, job, &shape, &p, adopt);
                    if ctx.horizons.is_over(job) && holds(Guard::LatePlace) {
                        // On its way since before the cancellation, which came another way.
                        let (machine, incarnation) = (p.machine, Some(p.incarnation));
                        let (task, attempt) = (p.task, p.attempt);
                        let what = AttemptRef { job: job.0, task, attempt, machine, incarnation };
                        self.stop(ctx, &what, 0.0);
                    }
                }
            }
            ShardMessage::Stop { what, grace_s } => self.stop(ctx, &what, grace_s),
            ShardMessage::Forget { what } => {
                let mut swept = BTreeSet::new();
                for w in what {
                    let idx = ctx.names.machine(&w.machine);
                    let k = AttemptKey::of(&w);
                    let t = self.machines.get_mut(&idx).and_then(|m| m.tasks.get_mut(&k));
                    if let Some(t) = t {
                        t.end_acknowledged |= t.is_over();
                        swept.insert(idx);
                    }
                }
                for idx in swept {
                    if let Some(m) = self.machines.get_mut(&idx) {
                        m.drop_forgotten();
                    }
                }
            }
            _ => {}
        }
    }

    /// A new epoch of a coordinator's shard is a no to every open negotiation of older ones.
    /// False: the sender's time is over.
    pub fn see_coordinator(&mut self, shard: Shard, epoch: Epoch) -> bool {
        let Some(known) = self.coordinators.get_mut(shard.0 as usize) else {
            return false;
        };
        if epoch < *known && holds(Guard::OldSender) {
            return false;
        }
        if epoch > *known {
            *known = epoch;
            if shard == PROVISIONER_SHARD {
                self.inventory_publisher.start_again();
            }
            self.release_holds(|h| h.shard == shard);
            self.dirty.extend(self.machines.keys().copied());
        }
        true
    }

    fn release_holds(&mut self, over: impl Fn(&Hold) -> bool) {
        self.holds.retain(|_, list| {
            list.retain(|h| !over(h));
            !list.is_empty()
        });
    }

    fn held(&self, idx: MachineIdx) -> &[Hold] {
        self.holds.get(&idx).map_or(&[], Vec::as_slice)
    }

    fn place(
        &mut self,
        ctx: &mut Context,
        from: Shard,
        job: JobId,
        shape: &Shape,
        p: &Assignment,
        adopt: bool,
    ) {
        let idx = ctx.names.machine(&p.machine);
        let mut held = self.holds.get_mut(&idx).into_iter().flatten();
        if let Some(h) = held.find(|h| h.shard == from && h.job == job && h.count > 0) {
            h.count -= 1;
        }
        self.reservations.give_up(job, idx);
        let m = self.machine(idx);
        let earlier = p.incarnation < m.incarnation && holds(Guard::OfferSession);
        let gone = m.released || earlier || (m.lease_expired && p.incarnation <= m.incarnation);
        let confirmed = m.token_confirmed || !holds(Guard::TokenShown);
        let t = m
            .tasks
            .entry(AttemptKey { job, task: p.task, attempt: Attempt(p.attempt) })
            .or_insert_with(|| {
                // Not known here: never said yes to, or over and forgotten. What it took of zones
                // and teams may be in use again, so it must not start now. (Found by the simulator:
                // a handover started stopped tasks anew, beyond their team's limit.)
                let over = gone || (adopt && confirmed);
                let phase = if over { TaskPhase::Gone } else { TaskPhase::Decided };
                TaskOnMachine { adopted: adopt, ..TaskOnMachine::new(None, phase, p.incarnation) }
            });
        t.shape = Some(shape.clone());
        // Tell again whatever there is to tell: the sender does not know it.
        t.notified = None;
        m.update_load();
        self.dirty.insert(idx);
    }

    fn stop(&mut self, ctx: &mut Context, what: &AttemptRef, grace_s: f64) {
        let now = ctx.now;
        let idx = ctx.names.machine(&what.machine);
        let m = self.machine(idx);
        let confirmed = m.token_confirmed || !holds(Guard::TokenShown);
        let released = m.released || m.lease_expired;
        let key = AttemptKey::of(what);
        let t = match (m.tasks.get_mut(&key), what.incarnation) {
            (Some(t), _) => t,
            // Under the session it was decided for: before the machine's first report to us, a
            // guess would make the attempt look like one of an ended session. (Found by the
            // simulator: a running task was called gone.)
            (None, Some(incarnation)) => m.tasks.entry(key).or_insert(TaskOnMachine::new(
                None,
                TaskPhase::Decided,
                incarnation,
            )),
            (None, None) => return,
        };
        if t.incarnation < m.incarnation && t.phase == TaskPhase::Decided {
            t.phase = TaskPhase::Gone;
        }
        if t.stop.is_none_or(|s| s.grace_s > grace_s) {
            t.stop = Some(StopRequest { grace_s, since: now });
        }
        // Never sent by us, and no older owner's command counts any more.
        let never = !t.start_sent() && !t.reported;
        if t.phase == TaskPhase::Decided && never && (confirmed || released) {
            t.phase = TaskPhase::Gone;
        }
        t.notified = None;
        m.update_load();
        self.dirty.insert(idx);
    }

    /// The job's final state is written: whatever of it is here stops, told so by its
    /// coordinator or not.
    pub fn job_over(&mut self, ctx: &mut Context, job: JobId) {
        let first = AttemptKey { job, task: 0, attempt: Attempt(0) };
        let here = first..=AttemptKey { job, task: u32::MAX, attempt: Attempt(u64::MAX) };
        let mut all = Vec::new();
        for (&idx, m) in &self.machines {
            for (k, t) in m.tasks.range(here.clone()).filter(|(_, t)| !t.is_over()) {
                let machine = ctx.names.machine_name(idx).to_string();
                let incarnation = Some(t.incarnation);
                let (task, attempt) = (k.task, k.attempt.0);
                all.push(AttemptRef { job: job.0, task, attempt, machine, incarnation });
            }
        }
        for what in &all {
            self.stop(ctx, what, 0.0);
        }
    }

    /// Stops what a machine reports of jobs that are over. (Found by the simulator: a task was
    /// reported only after its job's end had been read.)
    fn stop_over(&mut self, idx: MachineIdx, horizons: &Horizons, now: Timestamp) {
        let Some(m) = self.machines.get_mut(&idx) else { return };
        let mut stops = false;
        for (k, t) in m.tasks.iter_mut().filter(|(_, t)| t.stop.is_none() && !t.is_over()) {
            if horizons.is_over(k.job) && holds(Guard::StopOver) {
                t.stop = Some(StopRequest { grace_s: 0.0, since: now });
                stops = true;
            }
        }
        if stops {
            m.update_load();
        }
    }

    /// The jobs of which something is, or may be, on a machine.
    pub fn jobs_on(&self, idx: MachineIdx) -> impl Iterator<Item = JobId> + '_ {
        let m = self.machines.get(&idx);
        m.into_iter().flat_map(|m| m.tasks.iter().filter(|(_, t)| !t.is_over()).map(|(k, _)| k.job))
    }

    /// Tells the coordinators what changed, and commands the workers.
    pub fn flush(&mut self, ctx: &mut Context) {
        let now = ctx.now;
        let mut events: BTreeMap<u8, Vec<TaskEvent>> = BTreeMap::new();
        let all = now >= self.lazy_at;
        if all && !self.lazy.is_empty() {
            self.lazy_at = now + LAZY_MS;
            self.dirty.append(&mut self.lazy);
        }
        self.reindex(ctx.names);
        let dirty = std::mem::take(&mut self.dirty);
        for idx in dirty {
            let Some(m) = self.machines.get_mut(&idx) else {
                continue;
            };
            for (k, t) in &mut m.tasks {
                if t.end_acknowledged {
                    continue;
                }
                let shard = ctx.shard_of_job(k.job);
                let Some(epoch) = ctx.owner(shard).map(|o| o.epoch) else {
                    continue;
                };
                let again = t.is_over() && now >= t.notified_at + RETELL_MS;
                if t.notified == Some((epoch, t.phase)) && !again {
                    continue;
                }
                if !all && !acted_on(t.phase) {
                    self.lazy.insert(idx);
                    continue;
                }
                t.notified = Some((epoch, t.phase));
                t.notified_at = now;
                if t.is_over() {
                    self.retell.push_back((now + RETELL_MS, idx));
                }
                events.entry(shard.0).or_default().push(TaskEvent {
                    job: k.job.0,
                    task: k.task,
                    attempt: k.attempt.0,
                    machine: ctx.names.machine_name(idx).to_string(),
                    phase: t.phase,
                });
            }
            // Straight to the worker.
            if (ctx.valid || !holds(Guard::DoubtStarts))
                && m.direct_batch.is_none()
                && !m.released
                && !m.lease_expired
                && m.incarnation > 0
            {
                let quiet = now >= m.last_heartbeat_at + ctx.config.quiet_ms;
                if now >= m.next_direct_at && !quiet && !m.addr.is_empty() {
                    self.next_batch += 1;
                    let batch = self.next_batch;
                    let orders = m.direct_commands(batch, ORDERS);
                    if !orders.is_empty() {
                        m.direct_batch = Some(batch);
                        let direct = CommandBatch {
                            token: self.epoch.0,
                            incarnation: m.incarnation,
                            orders,
                        };
                        ctx.direct(idx, m.addr.clone(), batch, direct);
                    }
                }
            }
        }
        for (shard, events) in events {
            for c in events.chunks(200) {
                ctx.send(self.shard, Shard(shard), ShardMessage::TaskEvents { events: c.to_vec() });
            }
        }
        self.tell_room(ctx);
    }

    /// Who asked in vain need not ask over and over: it is told when there is something to ask
    /// for. (Found by counting: with a fleet that was booting, asking took most of the time.)
    /// The most important first: told all at once, arrays filled new machines before replicas
    /// that had waited longer were asked for.
    fn tell_room(&mut self, ctx: &mut Context) {
        let now = ctx.now;
        if !self.freed {
            return;
        }
        let top = match self.top_told_at {
            Some(at) if now < at + TOP_FIRST_MS => return,
            Some(_) => None,
            None => self.short.iter().filter_map(|s| s.wants).max(),
        };
        for (i, s) in self.short.iter_mut().enumerate() {
            let told = s.wants.filter(|w| top.is_none_or(|t| *w == t));
            if let Some(priority) = told.filter(|_| now >= s.told_at + TELL_MS) {
                *s = Short { wants: None, told_at: now };
                ctx.send(self.shard, Shard(i as u8), ShardMessage::CapacityFreed { priority });
            }
        }
        self.top_told_at = top.map(|_| now);
        self.freed = top.is_some();
    }

    pub fn tick(&mut self, ctx: &mut Context) {
        self.move_replicas(ctx);
        let now = ctx.now;
        while let Some(&(at, idx)) = self.due.first().filter(|d| d.0 < now) {
            self.due.remove(&(at, idx));
            self.due_look(ctx, idx);
        }
        while let Some((_, idx)) = self.retell.pop_front_if(|r| r.0 <= now) {
            self.dirty.insert(idx);
        }
        // Holds end by decision. If none came, it got lost: ask for it.
        if now >= self.asked_at + 2000 {
            self.asked_at = now;
            self.failure_attribution.expire(now);
            let open: BTreeSet<(u8, u64)> =
                self.holds.values().flatten().map(|h| (h.shard.0, h.negotiation.0)).collect();
            for (shard, negotiation) in open {
                ctx.send(self.shard, Shard(shard), ShardMessage::AskDecision { negotiation });
            }
        }
    }

    /// The lease may be over by now, or the machine long gone.
    fn due_look(&mut self, ctx: &mut Context, idx: MachineIdx) {
        let now = ctx.now;
        let Some(m) = self.machines.get_mut(&idx) else { return };
        let mut next = m.lease_over_at(ctx.config.worker_lease_ms, self.older_until);
        let lease_over = !m.lease_expired && !m.released && now > next;
        // Not while our own lease is in doubt: a newer owner may answer the worker by now, and its
        // lease goes on. (Found by the simulator, seed 186: a task ran twice.)
        if lease_over && !ctx.valid && holds(Guard::DoubtLoses) {
            m.next_check_at = now + 500;
            self.due.insert((m.next_check_at, idx));
            return;
        }
        if lease_over {
            m.lease_expired = true;
            m.mark_all_gone();
            let n = ctx.names.machine_name(idx).to_string();
            ctx.effects.log(1, "machine_lost", || n);
            self.dirty.insert(idx);
        }
        if m.released || m.lease_expired {
            let forget_at = m.last_heartbeat_at + FORGET_MS;
            if m.tasks.is_empty() && now > forget_at {
                self.machines.remove(&idx);
                self.inventory_publisher.gone(idx);
                return;
            }
            next = forget_at.max(now + 10_000);
        }
        m.next_check_at = next;
        self.due.insert((next, idx));
    }

    /// What changed of the machines, for the provisioner.
    pub fn inventory(&mut self, ctx: &Context) -> Vec<ShardMessage> {
        let (now, lease) = (ctx.now, at_least(ctx.config.worker_lease_ms));
        let is_deaf = |m: &Machine| m.reachability.deaf_since().is_some_and(|t| now >= t + DEAF_MS);
        // Where many don't hear us, it is us.
        let deaf = self.machines.values().filter(|m| !m.released && is_deaf(m)).count();
        let few_deaf = deaf * DEAF_SHARE < self.machines.len();
        for (&idx, m) in &self.machines {
            let shown = m.machine_type.filter(|_| !m.released).map(|kind| {
                let idle =
                    !self.holds.contains_key(&idx) && m.tasks.values().all(TaskOnMachine::is_over);
                MachineSummary {
                    kind,
                    zone: m.zone,
                    spot: m.spot,
                    idle_since: idle.then_some(m.last_busy_at),
                    dead: (m.lease_expired && now > m.last_heartbeat_at + lease)
                        || (few_deaf && is_deaf(m)),
                    draining: m.draining,
                }
            });
            self.inventory_publisher.set(idx, shown);
        }
        self.inventory_publisher.changes(now, ctx.names)
    }

    /// The provisioner lacks what was told before.
    pub fn tell_all(&mut self) {
        self.inventory_publisher.start_again();
    }

    /// Sets an idle machine aside. False: it has work, or may get some.
    pub fn drain(&mut self, ctx: &mut Context, machine: &str) -> bool {
        let idx = ctx.names.machine(machine);
        if self.holds.contains_key(&idx) {
            return false;
        }
        let m = self.machine(idx);
        if m.tasks.values().any(|t| !t.is_over()) {
            return false;
        }
        m.draining = true;
        true
    }

    pub fn released(&mut self, ctx: &mut Context, machine: &str) {
        let idx = ctx.names.machine(machine);
        let m = self.machine(idx);
        m.released = true;
        m.mark_all_gone();
        self.dirty.insert(idx);
    }
}
