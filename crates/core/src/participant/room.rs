//! Making room: whom to stop, which machine to set aside, which replica to move.
use super::capacity_index::Group;
use super::offer::{fit, fits_of, EligibilityTable, Rank};
use super::reservations::Reservation;
use super::{GangQueue, Participant};
use crate::context::Context;
use crate::ids::{JobId, MachineIdx, ZoneIdx};
use crate::machine::{AttemptKey, GpuTasks, Machine, StopRequest, TaskOnMachine};
use crate::names::Shape;
use crate::preemption::{victims, Candidate};
use leaddeal_wire::mesh::{OfferRequest, TaskPhase};
use leaddeal_wire::user::{Kind, Priority};
use leaddeal_wire::worker::TaskState;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Between two replicas moved out of the way of GPU work.
const MOVE_MS: u64 = 1500;
/// A replica that has run for less is not moved.
const SETTLED_MS: u64 = 40_000;
/// Losses from here on mean that nothing is stopped, and room becomes free by itself.
const PATIENT: u64 = 1 << 50;

/// What room is to be made for.
pub(super) struct PreemptionSearch<'a> {
    pub w: &'a OfferRequest,
    pub shape: &'a Shape,
    pub fits: &'a EligibilityTable,
    pub rank: Option<Rank>,
    /// How many tasks each zone may take.
    pub zones: &'a [u32],
    /// Machines with GPUs too.
    pub gpus: bool,
}

impl PreemptionSearch<'_> {
    /// Of gangs of several tasks, which wait for a zone, only the first in line has machines set
    /// aside: when each held some, all stood still. Whether this is one that is not the first.
    fn behind(&self, queue: &GangQueue, g: Group) -> bool {
        let several = self.w.queue_position.is_some_and(|l| l.zone.is_some());
        several && self.rank.is_some_and(|r| queue.behind(r, g))
    }
}

impl Participant {
    /// Stops less important tasks so that up to `count` tasks of the job find room soon.
    /// False: there was no machine on which anything could be done for it.
    pub(super) fn preempt(
        &mut self,
        ctx: &mut Context,
        seek: &PreemptionSearch,
        count: u32,
    ) -> bool {
        let now = ctx.now;
        let PreemptionSearch { w, shape, rank, zones, .. } = *seek;
        let job = JobId(w.job);
        let have = self.reservations.count(job);
        let machines = &self.machines;
        let line = &self.gang_queue;
        self.reservations.prolong(job, rank, now + 3000, |idx| {
            let m = machines.get(&idx).filter(|m| !m.lease_expired && m.interruption_at.is_none());
            let group = m.and_then(|m| Some((m.machine_type?, m.zone?, m.spot)));
            let room = group.and_then(|g| zones.get(g.1 .0 as usize));
            // Who is not first any more sets nothing aside for longer.
            room.is_some_and(|&r| r > 0) && !group.is_some_and(|g| seek.behind(line, g))
        });
        // What is done to one machine leaves the others as they are: each is judged once, and
        // again only after it was chosen.
        let look = |p: &Participant, ctx: &Context, g: Group, idx: MachineIdx| {
            let (cost, keys) = p.sacrifice(ctx, seek, g, idx, p.machines.get(&idx)?)?;
            Some((Reverse((cost, idx)), g, keys))
        };
        let wanted = count.min(have + 32).saturating_sub(have);
        if wanted == 0 {
            return true;
        }
        let mut best = BinaryHeap::new();
        for g in self.capacity_index.groups() {
            if !self.may_make_room(ctx, seek, g) {
                continue;
            }
            for idx in self.capacity_index.with_free(g, 0) {
                ctx.effects.looked += 1;
                best.extend(look(self, ctx, g, idx));
            }
        }
        let any = !best.is_empty();
        for _ in 0..wanted {
            let Some((Reverse(((loss, _), idx)), g, keys)) = best.pop() else { return any };
            let patient = loss >= PATIENT;
            let mut until = now + 3000;
            let Some(m) = self.machines.get_mut(&idx) else { return any };
            for k in keys {
                let Some(t) = m.tasks.get_mut(&k) else { continue };
                let save = t.shape.as_ref().filter(|s| s.wire.checkpoint_s > 0.0);
                let grace_s = match (save, t.phase) {
                    (Some(s), TaskPhase::On(TaskState::Running)) => s.wire.save_s + 2.0,
                    _ => 0.0,
                };
                until = until.max(now + 3000 + (grace_s * 1000.0) as u64);
                t.stop = Some(StopRequest { grace_s, since: now });
            }
            m.update_load();
            self.reservations.add(idx, Reservation { job, need: shape.need, until, patient, rank });
            self.changed_machines.insert(idx);
            best.extend(look(self, ctx, g, idx));
        }
        any
    }

    /// Whether room for the job may be made on machines of this group at all.
    fn may_make_room(&self, ctx: &Context, seek: &PreemptionSearch, g: Group) -> bool {
        let (kind, zone, spot) = g;
        fit(seek.fits, kind, spot).is_some_and(|f| f.allowed)
            && seek.zones.get(zone.0 as usize).is_some_and(|&r| r > 0)
            && (seek.gpus || ctx.names.room_of_type(kind).gpu == 0)
            && !seek.behind(&self.gang_queue, g)
    }

    /// What it would cost to make room for a task of the job on this machine of that group, and
    /// whom to stop.
    fn sacrifice(
        &self,
        ctx: &Context,
        seek: &PreemptionSearch,
        (kind, _, _): Group,
        idx: MachineIdx,
        m: &Machine,
    ) -> Option<((u64, bool), Vec<AttemptKey>)> {
        let PreemptionSearch { w, shape, fits, rank, .. } = *seek;
        let now = ctx.now;
        let job = JobId(w.job);
        // What is idle and was not offered is kept for others: not claimed from under them. (Found
        // on a day of our own: arrays that were kept off machines for the sake of gangs claimed
        // the same machines over and over, 100 to 300 claims a zone, which kept the gangs off.)
        if self.free(idx, m, ctx.names, job, rank)?.fits(shape.need) > 0 {
            return None;
        }
        // What is being stopped already will be free soon.
        let soon = self.free_with(m.stopping(), idx, m, ctx.names, JobId(u64::MAX), rank)?;
        // Most machines are judged by their sums alone.
        let mut reach = soon;
        let gpu_tasks = if shape.need.gpu > 0 { GpuTasks::Included } else { GpuTasks::Excluded };
        reach.add(m.preemptible(shape.wire.priority, gpu_tasks), 1);
        let waits = shape.wire.kind == Kind::Gang || w.shape.gpu > 0;
        let enough = reach.fits(shape.need) > 0;
        if (!enough && !waits) || !self.usable(ctx, idx, m, w, fits) {
            return None;
        }
        let whole = ctx.names.room_of_type(kind);
        // Set aside for work that waits for it: not taken from under it.
        if self.reservations.on(idx).iter().any(|c| c.patient && c.bars(job, rank)) {
            return None;
        }
        let mut cands = Vec::new();
        let tasks = m.tasks.iter().filter(|(_, t)| enough && !t.is_over() && t.stop.is_none());
        for (k, t) in tasks {
            let Some(s) = &t.shape else { continue };
            // GPU work is not stopped for work without GPUs, nor its room taken.
            let safe = shape.need.gpu == 0 && s.need.gpu > 0;
            if safe {
                continue;
            }
            let ran = t.running_since.map_or(0, |s| now.saturating_sub(s)) / 1000;
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
            let spare =
                self.spare(self.lasting_room(idx, m, whole), w.urgent, w.may_use_gpu_machines);
            if spare.fits(shape.need) == 0 {
                return None;
            }
        }
        let (keys, loss) = match victims(soon, shape.need, shape.wire.priority, cands) {
            Some(c) => c,
            // Nobody may be stopped for it, but who is there will be done some time: set the
            // machine aside for it, so that the room does not go to others in small pieces as
            // it becomes free.
            None if waits => {
                let mut later = self.lasting_room(idx, m, whole);
                let others = self.reservations.on(idx).iter();
                for c in others.filter(|c| c.bars(JobId(u64::MAX), rank)) {
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
    fn in_the_way(&self, ctx: &Context) -> Option<(MachineIdx, AttemptKey, Shape, ZoneIdx)> {
        let now = ctx.now;
        let replica = |t: &&TaskOnMachine| {
            !t.is_over() && t.shape.as_ref().is_some_and(|s| s.wire.kind == Kind::Service)
        };
        let mut best: Option<(usize, MachineIdx, AttemptKey, Shape, ZoneIdx)> = None;
        for (idx, m, g, later) in self.gpu_machines(ctx.names) {
            let mut bare = later;
            for s in m.tasks.values().filter(replica).filter_map(|t| t.shape.as_ref()) {
                bare.add(s.need, 1);
            }
            let mut needs = self.gang_queue.needs(g, Priority::Low);
            let blocked = needs.any(|need| later.fits(need) == 0 && bare.fits(need) > 0);
            let count = m.tasks.values().filter(replica).count();
            if !blocked || best.as_ref().is_some_and(|b| (b.0, b.1) <= (count, idx)) {
                continue;
            }
            // Not one that has just come.
            let settled = |t: &TaskOnMachine| {
                t.stop.is_none()
                    && t.phase == TaskPhase::On(TaskState::Running)
                    && t.running_since.is_some_and(|s| now > s + SETTLED_MS)
            };
            let movable = m.tasks.iter().find(|(_, t)| replica(t) && settled(t));
            if let Some((k, Some(s))) = movable.map(|(k, t)| (k, t.shape.clone())) {
                best = Some((count, idx, *k, s, g.1));
            }
        }
        best.map(|b| (b.1, b.2, b.3, b.4))
    }

    /// Moves replicas from machines that gangs wait for to others, where room is made for them
    /// first. They got there when there was no other room, and would stay for good.
    pub(super) fn move_replicas(&mut self, ctx: &mut Context) {
        let now = ctx.now;
        if now < self.next_move_at || !ctx.valid || self.gang_queue.is_empty() {
            return;
        }
        self.next_move_at = now + MOVE_MS;
        self.reservations.expire(now);
        self.reindex(ctx.names);
        self.gang_queue.settle(now, self.capacity_index.groups());
        let Some((idx, key, shape, zone)) = self.in_the_way(ctx) else { return };
        let mut zone_room = vec![0; ctx.names.zones.len()];
        zone_room[zone.0 as usize] = 1;
        let w = OfferRequest {
            job: key.job.0,
            shape: shape.wire.clone(),
            count: 1,
            zone_room,
            preempt: true,
            urgent: false,
            may_use_gpu_machines: false,
            queue_position: None,
        };
        let before = self.reservations.count(key.job);
        let seek = PreemptionSearch {
            w: &w,
            shape: &shape,
            fits: &fits_of(ctx.names, &w.shape, w.urgent),
            rank: None,
            zones: &w.zone_room,
            gpus: false,
        };
        self.preempt(ctx, &seek, before + 1);
        if self.reservations.count(key.job) == before {
            return;
        }
        ctx.effects
            .log(2, "replica_moved", || format!("{} task {} from {}", key.job.0, key.task, idx.0));
        if let Some(m) = self.machines.get_mut(&idx) {
            if let Some(t) = m.tasks.get_mut(&key) {
                t.stop = Some(StopRequest { grace_s: 0.0, since: now });
            }
            m.update_load();
            self.changed_machines.insert(idx);
        }
    }
}
