//! A seat's machines: holds room, offers it, starts what was decided, and proves what is gone.
use crate::buyer::older;
use crate::fleet::{Key, Machine, StopWish, TaskOn};
use crate::ids::{Attempt, Epoch, JobId, MachineIdx, Negotiation, Now, Seat, TypeIdx, ZoneIdx};
use crate::names::{Names, Room, Shape};
use crate::node::Ctx;
use crate::preemption::{victims, Candidate};
use crate::seat::at_least;
use leaddeal_wire::mesh::{
    AttemptRef, Line, MachineInfo, Offer, Phase, Pick, SeatMsg, Shape as WireShape, TaskEvent,
    Wanted,
};
use leaddeal_wire::user::{Kind, Priority};
use leaddeal_wire::worker::{Answer, Direct, Report, TaskState, Why};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::sync::Arc;

/// Answers to a report name at most this many commands.
const ORDERS: usize = 150;
const SHUN_MS: u64 = 60_000;
/// A waiting gang that has not asked again for this long has no place in the line any more.
const STANDS_MS: u64 = 5000;
/// Between two replicas moved out of the way of GPU work.
const MOVE_MS: u64 = 1500;
/// A seat is told of free room no more often than this.
const TELL_MS: u64 = 800;
/// So much earlier than the others those with the most important work are told.
const TOP_FIRST_MS: u64 = 300;
/// What nobody waits for is told together, this often.
const LAZY_MS: u64 = 300;
/// A replica that has run for less is not moved.
const SETTLED_MS: u64 = 40_000;
/// Tasks longer than this keep off ordinary GPU machines while there is GPU work.
const LONG_S: f64 = 45.0;
/// Losses from here on mean that nothing is stopped, and room becomes free by itself.
const PATIENT: u64 = 1 << 50;

#[derive(Clone, Debug)]
struct Hold {
    seat: Seat,
    negotiation: Negotiation,
    job: JobId,
    need: Room,
    count: u64,
    /// For a service or GPU work, which stays for long.
    lasting: bool,
}

/// Room made for a job by stopping others: nobody else gets it for a while.
#[derive(Clone, Debug)]
struct Claim {
    job: JobId,
    machine: MachineIdx,
    need: Room,
    until: Now,
    /// Waits for tasks to end by themselves.
    patient: bool,
    /// Of a gang: whoever is to be served before it may use the room.
    rank: Option<Rank>,
}

impl Claim {
    /// Whether the room is not for a job of this rank.
    fn bars(&self, job: JobId, rank: Option<Rank>) -> bool {
        let yields = matches!((self.rank, rank), (Some(c), Some(r)) if self.patient && r < c);
        self.job != job && !yields
    }
}

/// A gang of several tasks that waits for room in a zone.
#[derive(Clone, Debug)]
struct Waiting {
    rank: Rank,
    zone: ZoneIdx,
    count: u32,
    shape: Arc<WireShape>,
    fits: Fits,
    until: Now,
}

impl Waiting {
    fn could_use(&self, kind: TypeIdx, zone: ZoneIdx, spot: bool) -> bool {
        self.zone == zone && fit(&self.fits, kind, spot).is_some_and(|f| f.allowed)
    }
}

/// What holds for a job on a type of machine, ordinary or spot: worked out once for all of them.
#[derive(Clone, Copy, Debug)]
struct Fit {
    /// Allowed, and a whole machine has room for a task.
    allowed: bool,
    /// A GPU machine that is dear for work without GPUs.
    dear: bool,
}

/// What room is to be made for.
struct Seek<'a> {
    w: &'a Wanted,
    shape: &'a Shape,
    fits: &'a Fits,
    rank: Option<Rank>,
    /// How many tasks each zone may take.
    zones: &'a [u32],
    /// Machines with GPUs too.
    gpus: bool,
}

/// By type, for ordinary and spot machines.
type Fits = Vec<[Fit; 2]>;

fn fits_of(names: &Names, shape: &WireShape, pressing: bool) -> Fits {
    let need = Room::of(shape);
    let fit = |t: TypeIdx, spot: bool| {
        let whole = names.room_of_type(t);
        Fit {
            allowed: names.allows(shape, t, spot) && whole.fits(need) > 0,
            dear: shape.gpu == 0 && whole.gpu > 0 && !names.affordable(shape, t, spot, pressing),
        }
    };
    (0..names.catalog.len() as u8)
        .map(|t| [fit(TypeIdx(t), false), fit(TypeIdx(t), true)])
        .collect()
}

/// What is known of a type of machine; none: a type that came later than the request.
fn fit(fits: &Fits, kind: TypeIdx, spot: bool) -> Option<&Fit> {
    Some(&fits.get(kind.0 as usize)?[usize::from(spot)])
}

/// Priority, aims missed, when the next is due, and the job: the lesser is served first.
type Rank = (Reverse<Priority>, u8, Now, JobId);

#[derive(Debug)]
pub struct Part {
    pub seat: Seat,
    pub epoch: Epoch,
    pub since: Now,
    pub machines: BTreeMap<MachineIdx, Machine>,
    /// Machines up to this name are the operator's own.
    pub base: Option<String>,
    holds: BTreeMap<MachineIdx, Vec<Hold>>,
    claims: Vec<Claim>,
    asked_at: Now,
    /// The newest epoch heard of, by coordinator's seat.
    coordinators: Vec<Epoch>,
    dirty: BTreeSet<MachineIdx>,
    next_batch: u64,
    /// GPU work asked for lately: room is kept for it on machines with GPUs.
    gpu_work: HashMap<(u64, u64, u64), (Now, Priority)>,
    waiting: BTreeMap<JobId, Waiting>,
    move_at: Now,
    short: Vec<Short>,
    /// Room became free that the short seats were not told of.
    freed: bool,
    /// When those with the most important shortage were told; the others follow.
    top_told_at: Option<Now>,
    /// Machines with something to tell that can wait.
    lazy: BTreeSet<MachineIdx>,
    lazy_at: Now,
}

/// Whether a coordinator has to act on it soon. The other phases it shows to users, and writes
/// together what is done; a worker goes through several of them within a second.
fn acted_on(p: Phase) -> bool {
    match p {
        Phase::Exited(Why::Done, _) => false,
        Phase::Exited(..) | Phase::Gone | Phase::On(TaskState::Saving | TaskState::Exited) => true,
        Phase::Decided
        | Phase::On(TaskState::Fetching | TaskState::Waiting | TaskState::Running) => false,
    }
}

/// The priority for which a seat was offered less than it asked for, and when it was last told
/// of free room.
#[derive(Clone, Copy, Debug, Default)]
struct Short {
    wants: Option<Priority>,
    told_at: Now,
}

impl Part {
    pub fn new(seat: Seat, epoch: Epoch, now: Now, seats: usize) -> Part {
        Part {
            seat,
            epoch,
            since: now,
            machines: BTreeMap::new(),
            base: None,
            holds: BTreeMap::new(),
            claims: Vec::new(),
            asked_at: now,
            coordinators: vec![Epoch(0); seats],
            dirty: BTreeSet::new(),
            next_batch: epoch.0 << 20,
            gpu_work: HashMap::new(),
            waiting: BTreeMap::new(),
            move_at: now,
            short: vec![Short::default(); seats],
            freed: false,
            top_told_at: None,
            lazy: BTreeSet::new(),
            lazy_at: now,
        }
    }

    fn machine(&mut self, m: MachineIdx) -> &mut Machine {
        // Not heard of yet: an owner before us may have granted its worker a lease until now.
        let since = self.since;
        self.machines.entry(m).or_insert_with(|| Machine::new(since))
    }

    /// A report to be answered. None: the worker knows a newer owner.
    pub fn report(&mut self, ctx: &mut Ctx, r: &Report) -> Option<Answer> {
        if r.token > self.epoch.0 {
            return None;
        }
        let idx = ctx.names.machine(&r.machine);
        let m = self.machine(idx);
        if m.released {
            return None;
        }
        self.take_report(ctx, idx, r, true);
        let now = ctx.now;
        let epoch = self.epoch;
        let m = self.machine(idx);
        // A late report of a session that is over by our count must not renew its lease.
        if m.lapsed {
            return None;
        }
        let stale = (r.session, r.seq) != (m.session, m.seq);
        m.granted = now;
        let orders = if stale || !ctx.valid { Vec::new() } else { m.orders(now, ORDERS) };
        Some(Answer { token: epoch.0, orders })
    }

    fn take_report(&mut self, ctx: &mut Ctx, idx: MachineIdx, r: &Report, checkin: bool) {
        let now = ctx.now;
        let epoch = self.epoch;
        let kind = ctx.names.type_idx(&r.type_name);
        let zone = ctx.names.zone(&r.zone);
        let m = self.machine(idx);
        m.kind = kind;
        m.zone = zone;
        let before: Vec<Key> = m.tasks.iter().filter(|(_, t)| t.over()).map(|(k, _)| *k).collect();
        let known = m.confirmed;
        if !m.apply(r, epoch, checkin, now) {
            return;
        }
        let cache = kind.map_or(0.0, |k| ctx.names.catalog[k.0 as usize].cache_gb);
        let mut images = Vec::new();
        let mut freed = !known && m.confirmed;
        for (k, t) in &m.tasks {
            if let (Some(s), Phase::On(TaskState::Running | TaskState::Waiting)) =
                (&t.shape, t.phase)
            {
                images.push((s.image, s.wire.image_gb));
            }
            if before.binary_search(k).is_ok() {
                continue;
            }
            freed |= t.over();
            match t.phase {
                Phase::Exited(Why::Error | Why::Other, _) => {
                    if !m.failed.iter().any(|f| f.0 == k.0) {
                        m.failed.push((k.0, now));
                    }
                    // Tasks of several jobs fail here: it is the machine.
                    if m.failed.len() >= 2 {
                        m.shunned_until = now + SHUN_MS;
                        let n = ctx.names.machine_name(idx).to_string();
                        ctx.out.log(1, "machine_suspected", || n);
                    }
                }
                Phase::Exited(Why::Done, _) => {
                    m.failed.clear();
                    m.shunned_until = 0;
                    if let Some(s) = &t.shape {
                        images.push((s.image, s.wire.image_gb));
                    }
                }
                Phase::Exited(Why::Full, _) => m.shunned_until = m.shunned_until.max(now + 2000),
                _ => {}
            }
        }
        images.dedup_by_key(|i| i.0);
        for (image, gb) in images {
            m.note_image(image, gb, cache);
        }
        // Notice from the cloud: what can save does so and moves; the rest may still finish.
        if m.notice.is_some() {
            for t in m.tasks.values_mut() {
                if t.stop.is_none() && matches!(t.phase, Phase::On(TaskState::Running)) {
                    if let Some(s) = t.shape.as_ref().filter(|s| s.wire.checkpoint_s > 0.0) {
                        let grace_s = s.wire.save_s + 5.0;
                        t.stop = Some(StopWish { grace_s, since: now });
                    }
                }
            }
        }
        self.freed |= freed;
        self.dirty.insert(idx);
    }

    pub fn direct_outcome(
        &mut self,
        ctx: &mut Ctx,
        machine: &str,
        batch: u64,
        report: Option<&Report>,
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
                let newer = (r.session, r.seq) > (m.session, m.seq);
                if newer {
                    self.take_report(ctx, idx, r, false);
                }
                self.machine(idx).direct_over(batch, false);
            }
            None => {
                m.direct_over(batch, unknown);
                m.direct_after = now + 2000;
            }
        }
        self.dirty.insert(idx);
    }

    /// A message of a coordinator. `epoch` is the sender's.
    pub fn handle(&mut self, ctx: &mut Ctx, from: Seat, epoch: Epoch, msg: SeatMsg) {
        if !self.see_coordinator(from, epoch) {
            return;
        }
        match msg {
            SeatMsg::Request { negotiation, items, gpu_work } => {
                for (cpu, gpu, mem, priority) in gpu_work {
                    self.gpu_work.insert((cpu, gpu, mem), (ctx.now, priority));
                }
                self.offer(ctx, from, Negotiation(negotiation), &items);
            }
            SeatMsg::Close { negotiation } => {
                self.release_holds(|h| h.seat == from && h.negotiation.0 == negotiation);
            }
            SeatMsg::Place { job, shape, picks, adopt } => {
                self.waiting.remove(&JobId(job));
                let shape = ctx.names.shape(&shape);
                for p in picks {
                    self.place(ctx, from, JobId(job), &shape, &p, adopt);
                }
            }
            SeatMsg::Stop { what, grace_s } => self.stop(ctx, &what, grace_s),
            SeatMsg::Forget { what } => {
                let mut swept = BTreeSet::new();
                for w in what {
                    let idx = ctx.names.machine(&w.machine);
                    let k = (JobId(w.job), w.task, Attempt(w.attempt));
                    let t = self.machines.get_mut(&idx).and_then(|m| m.tasks.get_mut(&k));
                    if let Some(t) = t {
                        t.acked |= t.over();
                        swept.insert(idx);
                    }
                }
                for idx in swept {
                    if let Some(m) = self.machines.get_mut(&idx) {
                        m.sweep();
                    }
                }
            }
            _ => {}
        }
    }

    /// A new epoch of a coordinator's seat is a no to every open negotiation of older ones.
    /// False: the sender's time is over.
    pub fn see_coordinator(&mut self, seat: Seat, epoch: Epoch) -> bool {
        let Some(known) = self.coordinators.get_mut(seat.0 as usize) else {
            return false;
        };
        if epoch < *known {
            return false;
        }
        if epoch > *known {
            *known = epoch;
            self.release_holds(|h| h.seat == seat);
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
        ctx: &mut Ctx,
        from: Seat,
        job: JobId,
        shape: &Shape,
        p: &Pick,
        adopt: bool,
    ) {
        let idx = ctx.names.machine(&p.machine);
        let mut held = self.holds.get_mut(&idx).into_iter().flatten();
        if let Some(h) = held.find(|h| h.seat == from && h.job == job && h.count > 0) {
            h.count -= 1;
        }
        let claimed = |c: &Claim| c.job == job && c.machine == idx;
        if let Some(i) = self.claims.iter().position(claimed) {
            self.claims.swap_remove(i);
        }
        let m = self.machine(idx);
        let gone = m.released || p.session < m.session || (m.lapsed && p.session <= m.session);
        let confirmed = m.confirmed;
        let t = m.tasks.entry((job, p.task, Attempt(p.attempt))).or_insert_with(|| {
            // Not known here: never said yes to, or over and forgotten. What it took of zones
            // and teams may be in use again, so it must not start now. (Found by the simulator:
            // a handover started stopped tasks anew, beyond their team's limit.)
            let over = gone || (adopt && confirmed);
            let phase = if over { Phase::Gone } else { Phase::Decided };
            TaskOn { adopted: adopt, ..TaskOn::new(None, phase, p.session) }
        });
        t.shape = Some(shape.clone());
        // Tell again whatever there is to tell: the sender does not know it.
        t.told = None;
        m.recount();
        self.dirty.insert(idx);
    }

    fn stop(&mut self, ctx: &mut Ctx, what: &AttemptRef, grace_s: f64) {
        let now = ctx.now;
        let idx = ctx.names.machine(&what.machine);
        let m = self.machine(idx);
        let (confirmed, released) = (m.confirmed, m.released || m.lapsed);
        let key = (JobId(what.job), what.task, Attempt(what.attempt));
        let t = match (m.tasks.get_mut(&key), what.session) {
            (Some(t), _) => t,
            // Under the session it was decided for: before the machine's first report to us, a
            // guess would make the attempt look like one of an ended session. (Found by the
            // simulator: a running task was called gone.)
            (None, Some(session)) => {
                m.tasks.entry(key).or_insert(TaskOn::new(None, Phase::Decided, session))
            }
            (None, None) => return,
        };
        if t.session < m.session && t.phase == Phase::Decided {
            t.phase = Phase::Gone;
        }
        if t.stop.is_none_or(|s| s.grace_s > grace_s) {
            t.stop = Some(StopWish { grace_s, since: now });
        }
        // Never sent by us, and no older owner's command counts any more.
        let never = !t.answered && !t.risky && t.direct.is_none() && !t.listed;
        if t.phase == Phase::Decided && never && (confirmed || released) {
            t.phase = Phase::Gone;
        }
        t.told = None;
        m.recount();
        self.dirty.insert(idx);
    }

    /// The job's final state is written: whatever of it is here stops, told so by its
    /// coordinator or not.
    pub fn job_over(&mut self, ctx: &mut Ctx, job: JobId) {
        let here = (job, 0, Attempt(0))..=(job, u32::MAX, Attempt(u64::MAX));
        let mut all = Vec::new();
        for (&idx, m) in &self.machines {
            for (k, t) in m.tasks.range(here.clone()).filter(|(_, t)| !t.over()) {
                let machine = ctx.names.machine_name(idx).to_string();
                let session = Some(t.session);
                let (task, attempt) = (k.1, k.2 .0);
                all.push(AttemptRef { job: job.0, task, attempt, machine, session });
            }
        }
        for what in &all {
            self.stop(ctx, what, 0.0);
        }
    }

    fn free(
        &self,
        idx: MachineIdx,
        m: &Machine,
        names: &Names,
        job: JobId,
        rank: Option<Rank>,
    ) -> Option<Room> {
        let mut free = names.room_of_type(m.kind?);
        free.sub(m.used()?, 1);
        for h in self.held(idx) {
            free.sub(h.need, h.count);
        }
        for c in self.claims.iter().filter(|c| c.machine == idx && c.bars(job, rank)) {
            free.sub(c.need, 1);
        }
        Some(free)
    }

    /// Whether a machine may get work of this job at all, now.
    fn usable(
        &self,
        ctx: &Ctx,
        idx: MachineIdx,
        m: &Machine,
        w: &Wanted,
        fits: &Fits,
    ) -> Option<(TypeIdx, ZoneIdx)> {
        let now = ctx.now;
        let (kind, zone) = (m.kind?, m.zone?);
        let fit = fit(fits, kind, m.spot).filter(|f| f.allowed)?;
        let usable = !m.draining
            && !m.released
            && !m.lapsed
            && m.confirmed
            && m.notice.is_none()
            && m.shunned_until <= now
            && now < m.heard + ctx.cfg.quiet_ms
            && !m.failed.iter().any(|f| f.0 .0 == w.job && f.1 + SHUN_MS > now);
        // Cheap work does not keep a machine that is dear for it, unless that is paid anyway:
        // for the GPU work on it, or because it is never returned.
        let dear = || {
            // Services stay for long, and would keep it when that work is over.
            let gpu_work = || w.shape.kind != Kind::Service && m.has_gpu_work();
            let own = || {
                let name = ctx.names.machine_name(idx);
                self.base.as_ref().is_some_and(|b| older(name, b))
            };
            fit.dear && !gpu_work() && !own()
        };
        (usable && !dear()).then_some((kind, zone))
    }

    /// A machine's room less what stays there for long: services, and GPU work.
    fn lasting_room(&self, idx: MachineIdx, m: &Machine, whole: Room) -> Room {
        let mut later = whole;
        later.sub(m.lasting(), 1);
        for h in self.held(idx).iter().filter(|h| h.lasting) {
            later.sub(h.need, h.count);
        }
        later
    }

    /// The machines with GPUs: type, zone and lasting room.
    fn gpu_machines<'a>(
        &'a self,
        names: &'a Names,
    ) -> impl Iterator<Item = (MachineIdx, &'a Machine, TypeIdx, ZoneIdx, Room)> {
        let here = self.machines.iter().filter(|(_, m)| !m.lapsed && !m.released);
        here.filter_map(|(&idx, m)| {
            let (kind, zone) = (m.kind?, m.zone?);
            let whole = names.room_of_type(kind);
            (whole.gpu > 0).then(|| (idx, m, kind, zone, self.lasting_room(idx, m, whole)))
        })
    }

    /// What a service may use of a GPU machine whose lasting room this is: it stays, and leaves
    /// enough for the GPU work that is known. Seen from the room that is free just now, a machine
    /// full of short tasks looked lost to GPU work anyway, and services filled it for good.
    fn spare(&self, later: Room, pressing: bool, anywhere: bool) -> Room {
        if anywhere {
            return later;
        }
        // Which GPU work there will be may not be known yet.
        if self.gpu_work.is_empty() && !pressing {
            return Room::default();
        }
        let mut left = later;
        for &(cpu, gpu, mem) in self.gpu_work.keys() {
            let n = Room { cpu, gpu, mem };
            let mut l = later;
            l.sub(n, later.fits(n));
            left.cpu = left.cpu.min(l.cpu);
            left.mem = left.mem.min(l.mem);
        }
        left
    }

    /// Stops less important tasks so that up to `count` tasks of the job find room soon.
    fn make_room(&mut self, ctx: &mut Ctx, seek: &Seek, count: u32) {
        let now = ctx.now;
        let Seek { w, shape, rank, zones, .. } = *seek;
        let job = JobId(w.job);
        let have = self.claims.iter().filter(|c| c.job == job).count() as u32;
        let lasts = |c: &Claim| {
            let m = self.machines.get(&c.machine).filter(|m| !m.lapsed && m.notice.is_none())?;
            let room = m.zone.and_then(|z| zones.get(z.0 as usize)).copied().unwrap_or(0);
            (room > 0).then_some(c.machine)
        };
        let mine = self.claims.iter().filter(|c| c.job == job && c.patient);
        let kept: BTreeSet<MachineIdx> = mine.filter_map(lasts).collect();
        for c in self.claims.iter_mut().filter(|c| c.job == job && c.patient) {
            if kept.contains(&c.machine) {
                c.until = now + 3000;
            }
        }
        // What is done to one machine leaves the others as they are: each is judged once, and
        // again only after it was chosen.
        let look = |p: &Part, ctx: &Ctx, idx: MachineIdx| {
            let (cost, keys) = p.sacrifice(ctx, seek, idx, p.machines.get(&idx)?)?;
            Some((Reverse((cost, idx)), keys))
        };
        let wanted = count.min(have + 32).saturating_sub(have);
        if wanted == 0 {
            return;
        }
        ctx.out.looked += self.machines.len() as u64;
        let mut best: BinaryHeap<_> =
            self.machines.keys().filter_map(|&idx| look(self, ctx, idx)).collect();
        for _ in 0..wanted {
            let Some((Reverse(((loss, _), idx)), keys)) = best.pop() else { return };
            let patient = loss >= PATIENT;
            let mut until = now + 3000;
            let Some(m) = self.machines.get_mut(&idx) else { return };
            for k in keys {
                let Some(t) = m.tasks.get_mut(&k) else { continue };
                let save = t.shape.as_ref().filter(|s| s.wire.checkpoint_s > 0.0);
                let grace_s = match (save, t.phase) {
                    (Some(s), Phase::On(TaskState::Running)) => s.wire.save_s + 2.0,
                    _ => 0.0,
                };
                until = until.max(now + 3000 + (grace_s * 1000.0) as u64);
                t.stop = Some(StopWish { grace_s, since: now });
            }
            self.claims.push(Claim { job, machine: idx, need: shape.need, until, patient, rank });
            self.dirty.insert(idx);
            best.extend(look(self, ctx, idx));
        }
    }

    /// What it would cost to make room for a task of the job on this machine, and whom to stop.
    fn sacrifice(
        &self,
        ctx: &Ctx,
        seek: &Seek,
        idx: MachineIdx,
        m: &Machine,
    ) -> Option<((u64, bool), Vec<Key>)> {
        let Seek { w, shape, fits, rank, zones, gpus } = *seek;
        let now = ctx.now;
        let job = JobId(w.job);
        let (kind, zone) = self.usable(ctx, idx, m, w, fits)?;
        if zones.get(zone.0 as usize).is_none_or(|&r| r == 0) {
            return None;
        }
        let whole = ctx.names.room_of_type(kind);
        if !gpus && whole.gpu > 0 {
            return None;
        }
        // Set aside for work that waits for it: not taken from under it.
        if self.claims.iter().any(|c| c.machine == idx && c.patient && c.bars(job, rank)) {
            return None;
        }
        // Of gangs of several tasks only the first in line has machines set aside: when each
        // held some, all stood still.
        let several = w.line.is_some_and(|l| l.zone.is_some());
        if several && rank.is_some_and(|r| self.behind(r, kind, zone, m.spot)) {
            return None;
        }
        let mut soon = self.free(idx, m, ctx.names, JobId(u64::MAX), rank)?;
        // Nothing is idle here by the usual count, or it would have been offered; what is being
        // stopped already will be free soon.
        let mut cands = Vec::new();
        for (k, t) in m.tasks.iter().filter(|(_, t)| !t.over()) {
            let Some(s) = &t.shape else { continue };
            if t.stop.is_some() {
                soon.add(s.need, 1);
                continue;
            }
            // GPU work is not stopped for work without GPUs, nor its room taken.
            let safe = shape.need.gpu == 0 && s.need.gpu > 0;
            if safe {
                continue;
            }
            let ran = t.on_since.map_or(0, |s| now.saturating_sub(s)) / 1000;
            let lost = match s.wire.checkpoint_s {
                c if c > 0.0 => ran.min(s.wire.save_s as u64 + 1),
                _ => ran,
            };
            cands.push(Candidate {
                key: *k,
                priority: s.wire.priority,
                need: s.need,
                loss: lost * (s.need.cpu + 20 * s.need.gpu),
            });
        }
        if shape.need.gpu == 0 && whole.gpu > 0 && shape.wire.kind == Kind::Service {
            let spare = self.spare(self.lasting_room(idx, m, whole), w.pressing, w.anywhere);
            if spare.fits(shape.need) == 0 {
                return None;
            }
        }
        let (keys, loss) = match victims(soon, shape.need, shape.wire.priority, cands) {
            Some(c) => c,
            // Nobody may be stopped for it, but who is there will be done some time: set the
            // machine aside for it, so that the room does not go to others in small pieces as
            // it becomes free.
            None if shape.wire.kind == Kind::Gang || w.shape.gpu > 0 => {
                let mut later = self.lasting_room(idx, m, whole);
                let others = |c: &&Claim| c.machine == idx && c.bars(JobId(u64::MAX), rank);
                for c in self.claims.iter().filter(others) {
                    later.sub(c.need, 1);
                }
                if later.fits(shape.need) == 0 {
                    return None;
                }
                let busy = whole.cpu.saturating_sub(soon.cpu);
                (Vec::new(), PATIENT + busy)
            }
            None => return None,
        };
        let far = !m.has_image(shape.image);
        // Waiting for the image, too, is lost time.
        let fetch_s = if far { ctx.names.fetch_s(kind, w.shape.image_gb) } else { 0.0 };
        Some(((loss + (fetch_s * 3.0) as u64 * shape.need.cpu, far), keys))
    }

    /// A replica that keeps a machine from a gang that waits for it: one of the machine with the
    /// fewest of them.
    fn in_the_way(&self, ctx: &Ctx) -> Option<(MachineIdx, Key, Shape, ZoneIdx)> {
        let now = ctx.now;
        let replica = |t: &&TaskOn| {
            !t.over() && t.shape.as_ref().is_some_and(|s| s.wire.kind == Kind::Service)
        };
        let mut best: Option<(usize, MachineIdx, Key, Shape, ZoneIdx)> = None;
        for (idx, m, kind, zone, later) in self.gpu_machines(ctx.names) {
            let mut bare = later;
            for s in m.tasks.values().filter(replica).filter_map(|t| t.shape.as_ref()) {
                bare.add(s.need, 1);
            }
            let blocked = self.waiting.values().any(|o| {
                let need = Room::of(&o.shape);
                o.could_use(kind, zone, m.spot) && later.fits(need) == 0 && bare.fits(need) > 0
            });
            let count = m.tasks.values().filter(replica).count();
            if !blocked || best.as_ref().is_some_and(|b| b.0 <= count) {
                continue;
            }
            // Not one that has just come.
            let settled = |t: &TaskOn| {
                t.stop.is_none()
                    && t.phase == Phase::On(TaskState::Running)
                    && t.on_since.is_some_and(|s| now > s + SETTLED_MS)
            };
            let movable = m.tasks.iter().find(|(_, t)| replica(t) && settled(t));
            if let Some((k, Some(s))) = movable.map(|(k, t)| (k, t.shape.clone())) {
                best = Some((count, idx, *k, s, zone));
            }
        }
        best.map(|b| (b.1, b.2, b.3, b.4))
    }

    /// Moves replicas from machines that gangs wait for to others, where room is made for them
    /// first. They got there when there was no other room, and would stay for good.
    fn move_replicas(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        if now < self.move_at || !ctx.valid || self.waiting.is_empty() {
            return;
        }
        self.move_at = now + MOVE_MS;
        self.waiting.retain(|_, w| w.until > now);
        self.claims.retain(|c| c.until > now);
        let Some((idx, key, shape, zone)) = self.in_the_way(ctx) else { return };
        let mut zone_room = vec![0; ctx.names.zones.len()];
        zone_room[zone.0 as usize] = 1;
        let w = Wanted {
            job: key.0 .0,
            shape: shape.wire.clone(),
            count: 1,
            zone_room,
            make_room: true,
            pressing: false,
            anywhere: false,
            line: None,
        };
        let claims = |p: &Part| p.claims.iter().filter(|c| c.job == key.0).count();
        let before = claims(self);
        let seek = Seek {
            w: &w,
            shape: &shape,
            fits: &fits_of(ctx.names, &w.shape, w.pressing),
            rank: None,
            zones: &w.zone_room,
            gpus: false,
        };
        self.make_room(ctx, &seek, before as u32 + 1);
        if claims(self) == before {
            return;
        }
        ctx.out.log(2, "replica_moved", || format!("{} task {} from {}", key.0 .0, key.1, idx.0));
        if let Some(t) = self.machines.get_mut(&idx).and_then(|m| m.tasks.get_mut(&key)) {
            t.stop = Some(StopWish { grace_s: 0.0, since: now });
            self.dirty.insert(idx);
        }
    }

    /// Whether a gang that is to be served before this one may use such a machine and waits for
    /// its zone. Gangs that each held some machines, waiting for the rest, all stood still.
    fn behind(&self, rank: Rank, kind: TypeIdx, zone: ZoneIdx, spot: bool) -> bool {
        self.waiting.values().any(|o| o.rank < rank && o.could_use(kind, zone, spot))
    }

    /// Machines that work of this priority keeps off, since gangs of several tasks that it would
    /// keep waiting wait for their zone and could use them once the tasks on them end: as many as
    /// this part's share of those gangs, the least busy first. (Claims do it for lone tasks.)
    fn expected(&self, ctx: &Ctx, w: &Wanted) -> BTreeSet<MachineIdx> {
        let mut kept = BTreeSet::new();
        let line = || {
            let keeps = |o: &&Waiting| o.shape.priority >= w.shape.priority;
            self.waiting.values().filter(keeps)
        };
        if w.shape.kind != Kind::Array || w.shape.gpu > 0 || line().next().is_none() {
            return kept;
        }
        let mut by_zone: BTreeMap<ZoneIdx, Vec<(u64, MachineIdx)>> = BTreeMap::new();
        for (idx, m, kind, zone, later) in self.gpu_machines(ctx.names) {
            let wanted = line()
                .any(|o| o.could_use(kind, zone, m.spot) && later.fits(Room::of(&o.shape)) > 0);
            if let (true, Some(used)) = (wanted, m.used()) {
                by_zone.entry(zone).or_default().push((used.cpu, idx));
            }
        }
        for (zone, mut machines) in by_zone {
            let tasks: u32 = line().filter(|o| o.zone == zone).map(|o| o.count).sum();
            machines.sort_unstable();
            let share = (tasks as usize).div_ceil(ctx.seats().count());
            kept.extend(machines.into_iter().take(share).map(|m| m.1));
        }
        kept
    }

    fn take_place(&mut self, now: Now, w: &Wanted, line: Line, fits: &Fits) -> Rank {
        let job = JobId(w.job);
        let rank = (Reverse(w.shape.priority), line.late, now + line.due_ms, job);
        if let (true, Some(zone)) = (line.stands, line.zone.map(ZoneIdx)) {
            let until = now + STANDS_MS;
            let (count, shape) = (w.count, w.shape.clone());
            let fits = fits.clone();
            self.waiting.insert(job, Waiting { rank, zone, count, shape, fits, until });
        }
        rank
    }

    fn offer(&mut self, ctx: &mut Ctx, from: Seat, negotiation: Negotiation, items: &[Wanted]) {
        let now = ctx.now;
        let mut offers = Vec::new();
        let mut coming = Vec::new();
        self.waiting.retain(|_, w| w.until > now);
        self.gpu_work.retain(|_, t| t.0 + 300_000 > now);
        self.claims.retain(|c| c.until > now);
        for (i, w) in items.iter().enumerate() {
            let shape = ctx.names.shape(&w.shape);
            let fits = fits_of(ctx.names, &w.shape, w.pressing);
            let rank = w.line.map(|l| self.take_place(now, w, l, &fits));
            let kept = self.expected(ctx, w);
            let mut choices = Vec::new();
            ctx.out.looked += self.machines.len() as u64;
            for (&idx, m) in &self.machines {
                // What most machines lack first, and the dearest looks last.
                let Some((kind, zone)) = self.usable(ctx, idx, m, w, &fits) else { continue };
                let Some(mut free) = self.free(idx, m, ctx.names, JobId(w.job), rank) else {
                    continue;
                };
                if free.fits(shape.need) == 0 || kept.contains(&idx) {
                    continue;
                }
                if rank.is_some_and(|r| self.behind(r, kind, zone, m.spot)) {
                    continue;
                }
                let whole = ctx.names.room_of_type(kind);
                if shape.need.gpu == 0 && whole.gpu > 0 && shape.wire.kind == Kind::Service {
                    let spare =
                        self.spare(self.lasting_room(idx, m, whole), w.pressing, w.anywhere);
                    free.cpu = free.cpu.min(spare.cpu);
                    free.mem = free.mem.min(spare.mem);
                }
                let n = free.fits(shape.need);
                if n == 0 {
                    continue;
                }
                let cached = m.has_image(shape.image);
                let gpu_waste = shape.need.gpu == 0 && whole.gpu > 0;
                // Machines that GPU work of any kind may use are the last resort.
                let gpu_waste = u8::from(gpu_waste) + u8::from(gpu_waste && !m.spot);
                // Long work without GPUs would keep GPU work waiting that may not stop it.
                let lasting = self.gpu_work.values().any(|g| g.1 <= w.shape.priority);
                if gpu_waste == 2 && lasting && w.shape.estimate_s > LONG_S {
                    continue;
                }
                // Of machines without the image, those that have it sooner, in steps of 4 s.
                let fetch_s = ctx.names.fetch_s(kind, w.shape.image_gb);
                let fetch = if cached { 0 } else { 1 + (fetch_s / 4.0) as u32 };
                choices.push((gpu_waste, fetch, -(free.cpu as i64), idx, zone, n, m.session));
            }
            choices.sort_unstable();
            let mut zone_room = w.zone_room.clone();
            let mut wanted = w.count;
            for (gpu_waste, fetch, neg_free, idx, zone, n, session) in choices {
                let Some(zr) = zone_room.get_mut(zone.0 as usize) else {
                    continue;
                };
                let count = (n.min(u64::from(u32::MAX)) as u32).min(wanted).min(*zr);
                if count == 0 {
                    continue;
                }
                *zr -= count;
                wanted -= count;
                self.holds.entry(idx).or_default().push(Hold {
                    seat: from,
                    negotiation,
                    job: JobId(w.job),
                    need: shape.need,
                    count: u64::from(count),
                    lasting: shape.lasting(),
                });
                offers.push(Offer {
                    item: i as u16,
                    machine: ctx.names.machine_name(idx).to_string(),
                    session,
                    zone: zone.0,
                    count,
                    cached: fetch == 0,
                    score: -neg_free - 10_000 * i64::from(fetch) - 1_000_000 * i64::from(gpu_waste),
                });
                if wanted == 0 {
                    break;
                }
            }
            if wanted > 0 {
                if let Some(s) = self.short.get_mut(from.0 as usize) {
                    s.wants = s.wants.max(Some(w.shape.priority));
                }
            }
            if w.make_room && wanted > 0 {
                // A gang makes room only in the zone that it waits for.
                if let Some(z) = w.line.and_then(|l| l.zone) {
                    for (i, r) in zone_room.iter_mut().enumerate() {
                        *r = if i == z as usize { *r } else { 0 };
                    }
                }
                let rank = self.waiting.get(&JobId(w.job)).map(|w| w.rank);
                let (shape, fits, zones) = (&shape, &fits, &zone_room);
                let seek = Seek { w, shape, fits, rank, zones, gpus: true };
                self.make_room(ctx, &seek, wanted);
                let claims = self.claims.iter().filter(|c| c.job.0 == w.job).count();
                if claims as u32 >= wanted {
                    coming.push(i as u16);
                }
            }
        }
        ctx.send(self.seat, from, SeatMsg::Offers { negotiation: negotiation.0, offers, coming });
    }

    /// Tells the coordinators what changed, and commands the workers.
    pub fn flush(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        let mut events: BTreeMap<u8, Vec<TaskEvent>> = BTreeMap::new();
        let all = now >= self.lazy_at;
        if all && !self.lazy.is_empty() {
            self.lazy_at = now + LAZY_MS;
            self.dirty.append(&mut self.lazy);
        }
        let dirty = std::mem::take(&mut self.dirty);
        for idx in dirty {
            let Some(m) = self.machines.get_mut(&idx) else {
                continue;
            };
            for (k, t) in &mut m.tasks {
                if t.acked {
                    continue;
                }
                let seat = ctx.seat_of_job(k.0);
                let Some(epoch) = ctx.owner(seat).map(|o| o.epoch) else {
                    continue;
                };
                let again = t.over() && now >= t.told_at + 2000;
                if t.told == Some((epoch, t.phase)) && !again {
                    continue;
                }
                if !all && !acted_on(t.phase) {
                    self.lazy.insert(idx);
                    continue;
                }
                t.told = Some((epoch, t.phase));
                t.told_at = now;
                events.entry(seat.0).or_default().push(TaskEvent {
                    job: k.0 .0,
                    task: k.1,
                    attempt: k.2 .0,
                    machine: ctx.names.machine_name(idx).to_string(),
                    phase: t.phase,
                });
            }
            // Straight to the worker.
            if ctx.valid && m.direct.is_none() && !m.released && !m.lapsed && m.session > 0 {
                let quiet = now >= m.heard + ctx.cfg.quiet_ms;
                if now >= m.direct_after && !quiet && !m.addr.is_empty() {
                    self.next_batch += 1;
                    let batch = self.next_batch;
                    let orders = m.direct_orders(batch, ORDERS);
                    if !orders.is_empty() {
                        m.direct = Some(batch);
                        let direct = Direct { token: self.epoch.0, session: m.session, orders };
                        ctx.direct(idx, m.addr.clone(), batch, direct);
                    }
                }
            }
        }
        for (seat, events) in events {
            for c in events.chunks(200) {
                ctx.send(self.seat, Seat(seat), SeatMsg::Events { events: c.to_vec() });
            }
        }
        self.tell_room(ctx);
    }

    /// Who asked in vain need not ask over and over: it is told when there is something to ask
    /// for. (Found by counting: with a fleet that was booting, asking took most of the time.)
    /// The most important first: told all at once, arrays filled new machines before replicas
    /// that had waited longer were asked for.
    fn tell_room(&mut self, ctx: &mut Ctx) {
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
                ctx.send(self.seat, Seat(i as u8), SeatMsg::Room { priority });
            }
        }
        self.top_told_at = top.map(|_| now);
        self.freed = top.is_some();
    }

    pub fn tick(&mut self, ctx: &mut Ctx) {
        self.move_replicas(ctx);
        let now = ctx.now;
        let lease = ctx.cfg.worker_lease_ms;
        let mut drop = Vec::new();
        for (&idx, m) in &mut self.machines {
            if !m.lapsed && !m.released && now > m.lease_over_at(lease) {
                m.lapsed = true;
                m.all_gone();
                let n = ctx.names.machine_name(idx).to_string();
                ctx.out.log(1, "machine_lost", || n);
                self.dirty.insert(idx);
            }
            if m.tasks.values().any(|t| t.over() && !t.acked && now >= t.told_at + 2000) {
                self.dirty.insert(idx);
            }
            if (m.released || m.lapsed) && m.tasks.is_empty() && now > m.heard + 300_000 {
                drop.push(idx);
            }
        }
        for idx in drop {
            self.machines.remove(&idx);
        }
        // Holds end by decision. If none came, it got lost: ask for it.
        if now >= self.asked_at + 2000 {
            self.asked_at = now;
            let open: BTreeSet<(u8, u64)> =
                self.holds.values().flatten().map(|h| (h.seat.0, h.negotiation.0)).collect();
            for (seat, negotiation) in open {
                ctx.send(self.seat, Seat(seat), SeatMsg::AskDecision { negotiation });
            }
        }
    }

    pub fn inventory(&self, ctx: &Ctx) -> Vec<MachineInfo> {
        let now = ctx.now;
        let lease = at_least(ctx.cfg.worker_lease_ms);
        self.machines
            .iter()
            .filter(|(_, m)| !m.released && m.kind.is_some())
            .map(|(&idx, m)| {
                let held = self.holds.contains_key(&idx);
                let idle = !held && m.tasks.values().all(TaskOn::over);
                MachineInfo {
                    machine: ctx.names.machine_name(idx).to_string(),
                    type_name: m
                        .kind
                        .map(|k| ctx.names.catalog[k.0 as usize].name.clone())
                        .unwrap_or_default(),
                    zone: m.zone.map(|z| ctx.names.zones[z.0 as usize].clone()).unwrap_or_default(),
                    spot: m.spot,
                    idle_ms: idle.then(|| now.saturating_sub(m.busy_at)),
                    dead: m.lapsed && now > m.heard + lease,
                    draining: m.draining,
                }
            })
            .collect()
    }

    /// Sets an idle machine aside. False: it has work, or may get some.
    pub fn drain(&mut self, ctx: &mut Ctx, machine: &str) -> bool {
        let idx = ctx.names.machine(machine);
        if self.holds.contains_key(&idx) {
            return false;
        }
        let m = self.machine(idx);
        if m.tasks.values().any(|t| !t.over()) {
            return false;
        }
        m.draining = true;
        true
    }

    pub fn released(&mut self, ctx: &mut Ctx, machine: &str) {
        let idx = ctx.names.machine(machine);
        let m = self.machine(idx);
        m.released = true;
        m.all_gone();
        self.dirty.insert(idx);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GPU_TASK: (u64, u64, u64) = (10_000, 2000, 38_000);
    const WHOLE: Room = Room { cpu: 12_000, gpu: 2000, mem: 48_000 };

    fn shape(kind: Kind, cpu: u64) -> Shape {
        let wire = WireShape {
            kind,
            priority: Priority::Production,
            cpu,
            gpu: 0,
            mem: 1000,
            types: None,
            spot: false,
            image: "i".into(),
            image_gb: 1.0,
            save_s: 0.0,
            checkpoint_s: 0.0,
            estimate_s: 0.0,
        };
        let wire = Arc::new(wire);
        Shape { need: Room::of(&wire), image: crate::ids::ImageIdx(0), wire }
    }

    /// Found on a grown deployment: machines full of short tasks were filled with replicas.
    #[test]
    fn services_leave_gpu_room_whatever_short_tasks_run_now() {
        let mut p = Part::new(Seat(0), Epoch(1), 1, 3);
        let service = shape(Kind::Service, 2000);
        assert_eq!(p.spare(WHOLE, false, false).fits(service.need), 0, "not known yet");
        p.gpu_work.insert(GPU_TASK, (1, Priority::Normal));
        let mut m = Machine::new(1);
        for (task, s) in [(0, shape(Kind::Array, 9000)), (1, service.clone())] {
            let t = TaskOn::new(Some(s), Phase::On(TaskState::Running), 1);
            m.tasks.insert((JobId(9), task, Attempt(1)), t);
        }
        m.recount();
        let empty = p.lasting_room(MachineIdx(0), &Machine::new(1), WHOLE);
        assert_eq!(p.spare(empty, false, false).fits(service.need), 1, "one beside it");
        let later = p.lasting_room(MachineIdx(0), &m, WHOLE);
        assert_eq!(p.spare(later, false, false).fits(service.need), 0);
        assert!(p.spare(later, false, true).fits(service.need) > 0, "asked in vain for long");
    }

    /// Found on a grown deployment: gangs that each held some machines all stood still.
    #[test]
    fn set_aside_room_yields_to_older_gangs_only() {
        let rank = |due| (std::cmp::Reverse(Priority::Normal), 0, due, JobId(due));
        let claim = |patient| Claim {
            job: JobId(5),
            machine: MachineIdx(0),
            need: WHOLE,
            until: 9,
            patient,
            rank: Some(rank(5)),
        };
        assert!(!claim(true).bars(JobId(4), Some(rank(4))), "an older gang takes it");
        assert!(claim(true).bars(JobId(6), Some(rank(6))));
        assert!(claim(true).bars(JobId(4), None), "other work does not");
        assert!(!claim(true).bars(JobId(5), Some(rank(5))));
        assert!(claim(false).bars(JobId(4), Some(rank(4))), "tasks were stopped for it");
    }
}
