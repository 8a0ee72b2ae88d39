//! Offers: which machines of the participant a request may have, and which of them it gets.
use super::capacity_index::Group;
use super::{Hold, Participant, FAILURE_EVIDENCE_MS};
use crate::context::Context;
use crate::ids::{JobId, MachineIdx, Negotiation, Shard, Timestamp, TypeIdx, ZoneIdx};
use crate::machine::Machine;
use crate::names::{older, Names, Resources};
use leaddeal_wire::mesh::{Offer, OfferRequest, QueuePosition, Shape as WireShape, ShardMessage};
use leaddeal_wire::user::{Kind, Priority};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Tasks longer than this keep off ordinary GPU machines while there is GPU work.
const LONG_S: f64 = 45.0;

/// What holds for a job on a type of machine, ordinary or spot: worked out once for all of them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Eligibility {
    /// Allowed, and a whole machine has room for a task.
    pub allowed: bool,
    /// A GPU machine that is dear for work without GPUs.
    dear: bool,
}

/// By type, for ordinary and spot machines.
pub(super) type EligibilityTable = Vec<[Eligibility; 2]>;

pub(super) fn fits_of(names: &Names, shape: &WireShape, urgent: bool) -> EligibilityTable {
    let need = Resources::of(shape);
    let fit = |t: TypeIdx, spot: bool| {
        let whole = names.room_of_type(t);
        Eligibility {
            allowed: names.allows(shape, t, spot) && whole.fits(need) > 0,
            dear: shape.gpu == 0 && whole.gpu > 0 && !names.affordable(shape, t, spot, urgent),
        }
    };
    (0..names.catalog.len() as u8)
        .map(|t| [fit(TypeIdx(t), false), fit(TypeIdx(t), true)])
        .collect()
}

/// What is known of a type of machine; none: a type that came later than the request.
pub(super) fn fit(fits: &EligibilityTable, kind: TypeIdx, spot: bool) -> Option<&Eligibility> {
    Some(&fits.get(kind.0 as usize)?[usize::from(spot)])
}

/// Priority, aims missed, when the next is due, and the job: the lesser is served first.
pub(super) type Rank = (Reverse<Priority>, u8, Timestamp, JobId);

/// What decides whether room can be made for a job, beside its zones.
#[derive(PartialEq)]
struct Like<'a> {
    types: &'a Option<Vec<String>>,
    need: Resources,
    priority: Priority,
    kind: Kind,
    flags: [bool; 5],
}

impl Participant {
    pub(super) fn free(
        &self,
        idx: MachineIdx,
        m: &Machine,
        names: &Names,
        job: JobId,
        rank: Option<Rank>,
    ) -> Option<Resources> {
        self.free_with(Resources::default(), idx, m, names, job, rank)
    }

    /// The same, once `more` of what is used has become free. Holds and claims count against that
    /// room as well: (found by comparing traces) taken off before it was added, they stopped at
    /// nothing, and the room of one stopped task was claimed over and over.
    pub(super) fn free_with(
        &self,
        more: Resources,
        idx: MachineIdx,
        m: &Machine,
        names: &Names,
        job: JobId,
        rank: Option<Rank>,
    ) -> Option<Resources> {
        let mut free = names.room_of_type(m.machine_type?);
        free.sub(m.used()?, 1);
        free.add(more, 1);
        for h in self.holds.on(idx) {
            free.sub(h.need, h.count);
        }
        for c in self.reservations.on(idx).iter().filter(|c| c.bars(job, rank)) {
            free.sub(c.need, 1);
        }
        Some(free)
    }

    /// Whether a machine may get work of this job at all, now.
    pub(super) fn usable(
        &self,
        ctx: &Context,
        idx: MachineIdx,
        m: &Machine,
        w: &OfferRequest,
        fits: &EligibilityTable,
    ) -> bool {
        let now = ctx.now;
        let Some(fit) = m.machine_type.and_then(|kind| fit(fits, kind, m.spot)) else {
            return false;
        };
        let usable = fit.allowed
            && !m.draining
            && !m.released
            && !m.lease_expired
            && m.token_confirmed
            && m.interruption_at.is_none()
            && m.reachability.deaf_since().is_none()
            && m.quarantined_until <= now
            && !self.is_suspected(idx, now)
            && now < m.last_heartbeat_at + ctx.config.quiet_ms
            && !m
                .recent_failures
                .iter()
                .any(|f| f.job.0 == w.job && f.first_at + FAILURE_EVIDENCE_MS > now);
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
        usable && !dear()
    }

    /// A machine's room less what stays there for long: services, and GPU work.
    pub(super) fn lasting_room(&self, idx: MachineIdx, m: &Machine, whole: Resources) -> Resources {
        let mut later = whole;
        later.sub(m.lasting(), 1);
        for h in self.holds.on(idx).iter().filter(|h| h.lasting) {
            later.sub(h.need, h.count);
        }
        later
    }

    /// The machines with GPUs: group and lasting room.
    pub(super) fn gpu_machines<'a>(
        &'a self,
        names: &'a Names,
    ) -> impl Iterator<Item = (MachineIdx, &'a Machine, Group, Resources)> {
        let with_gpus = self.capacity_index.groups().filter(|g| names.room_of_type(g.0).gpu > 0);
        with_gpus.flat_map(move |g| {
            let whole = names.room_of_type(g.0);
            self.capacity_index.with_free(g, 0).filter_map(move |idx| {
                let m = self.machines.get(&idx)?;
                Some((idx, m, g, self.lasting_room(idx, m, whole)))
            })
        })
    }

    /// What a service may use of a GPU machine whose lasting room this is: it stays, and leaves
    /// enough for the GPU work that is known. Seen from the room that is free just now, a machine
    /// full of short tasks looked lost to GPU work anyway, and services filled it for good.
    pub(super) fn spare(
        &self,
        later: Resources,
        urgent: bool,
        may_use_gpu_machines: bool,
    ) -> Resources {
        if may_use_gpu_machines {
            return later;
        }
        // Which GPU work there will be may not be known yet.
        if self.gpu_demand.is_empty() && !urgent {
            return Resources::default();
        }
        let mut left = later;
        for n in self.gpu_demand.needs() {
            let mut l = later;
            l.sub(n, later.fits(n));
            left.cpu = left.cpu.min(l.cpu);
            left.mem = left.mem.min(l.mem);
        }
        left
    }

    /// Machines that work of this priority keeps off, since gangs of several tasks that it would
    /// keep waiting wait for their zone and could use them once the tasks on them end: as many as
    /// this participant's share of those gangs, the least busy first. (Reservations do it for lone tasks.)
    fn expected(&self, ctx: &mut Context, priority: Priority) -> BTreeSet<MachineIdx> {
        let mut kept = BTreeSet::new();
        let shards = ctx.shards().count();
        for (zone, tasks) in self.gang_queue.tasks(priority) {
            let share = (tasks as usize).div_ceil(shards);
            let mut machines: Vec<(u64, MachineIdx)> = Vec::new();
            for g in self.capacity_index.groups().filter(|g| g.1 == zone) {
                let whole = ctx.names.room_of_type(g.0);
                if whole.gpu == 0 || self.gang_queue.needs(g, priority).next().is_none() {
                    continue;
                }
                // The most free of a group are the least busy.
                let mut left = share;
                for idx in self.capacity_index.with_free(g, 0) {
                    if left == 0 {
                        break;
                    }
                    ctx.effects.looked += 1;
                    let Some(m) = self.machines.get(&idx) else { continue };
                    let later = self.lasting_room(idx, m, whole);
                    let wanted = self.gang_queue.needs(g, priority).any(|n| later.fits(n) > 0);
                    if let (true, Some(used)) = (wanted, m.used()) {
                        machines.push((used.cpu, idx));
                        left -= 1;
                    }
                }
            }
            machines.sort_unstable();
            kept.extend(machines.into_iter().take(share).map(|m| m.1));
        }
        kept
    }

    fn take_place(
        &mut self,
        now: Timestamp,
        w: &OfferRequest,
        queue_position: QueuePosition,
        fits: &EligibilityTable,
    ) -> Rank {
        let rank = (
            Reverse(w.shape.priority),
            queue_position.late,
            now.saturating_add_signed(queue_position.time_left_ms),
            JobId(w.job),
        );
        if let (true, Some(zone)) =
            (queue_position.holds_position, queue_position.zone.map(ZoneIdx))
        {
            self.gang_queue.stand(now, rank, zone, w.count, &w.shape, fits);
        }
        rank
    }

    pub(super) fn offer(
        &mut self,
        ctx: &mut Context,
        from: Shard,
        negotiation: Negotiation,
        items: &[OfferRequest],
    ) {
        let now = ctx.now;
        let mut offers = Vec::new();
        let mut preempting = Vec::new();
        self.gpu_demand.expire(now);
        self.reservations.expire(now);
        self.reindex(ctx.names);
        let judged: Vec<(EligibilityTable, Option<Rank>)> = items
            .iter()
            .map(|w| {
                let fits = fits_of(ctx.names, &w.shape, w.urgent);
                let rank = w.queue_position.map(|l| self.take_place(now, w, l, &fits));
                (fits, rank)
            })
            .collect();
        self.gang_queue.settle(now, self.capacity_index.groups());
        // Jobs for which nothing could be done, and the zones that were open to them.
        let mut vain: Vec<(Like, Vec<bool>)> = Vec::new();
        let mut expected: BTreeMap<Priority, BTreeSet<MachineIdx>> = BTreeMap::new();
        for (i, (w, (fits, rank))) in items.iter().zip(&judged).enumerate() {
            let shape = ctx.names.shape(&w.shape);
            let rank = *rank;
            let none = BTreeSet::new();
            let kept = if w.shape.kind == Kind::Array && w.shape.gpu == 0 {
                expected
                    .entry(w.shape.priority)
                    .or_insert_with(|| self.expected(ctx, w.shape.priority))
            } else {
                &none
            };
            let mut choices = Vec::new();
            let lasting = self.gpu_demand.any_up_to(w.shape.priority);
            for g in self.capacity_index.groups() {
                let (kind, zone, spot) = g;
                if !fit(fits, kind, spot).is_some_and(|f| f.allowed)
                    || w.zone_room.get(zone.0 as usize).is_none_or(|&r| r == 0)
                    || rank.is_some_and(|r| self.gang_queue.behind(r, g))
                {
                    continue;
                }
                let whole = ctx.names.room_of_type(kind);
                let gpu_waste = shape.need.gpu == 0 && whole.gpu > 0;
                // Machines that GPU work of any kind may use are the last resort.
                let gpu_waste = u8::from(gpu_waste) + u8::from(gpu_waste && !spot);
                // Long work without GPUs would keep GPU work waiting that may not stop it.
                if gpu_waste == 2 && lasting && w.shape.estimate_s > LONG_S {
                    continue;
                }
                // Of machines without the image, those that have it sooner, in steps of 4 s.
                let fetch_s = ctx.names.fetch_s(kind, w.shape.image_gb);
                let far = ((fetch_s / 4.0) as u32).saturating_add(1);
                // Of each group as many as could be taken, those with the image first.
                let mut enough = u64::from(w.count);
                let near =
                    self.capacity_index.with_image(g, shape.image, shape.need.cpu).map(|m| (0, m));
                let rest = self.capacity_index.with_free(g, shape.need.cpu).map(|m| (far, m));
                for (fetch, idx) in near.chain(rest) {
                    if enough == 0 {
                        break;
                    }
                    let Some(m) = self.machines.get(&idx) else { continue };
                    ctx.effects.looked += 1;
                    if (fetch > 0 && m.has_image(shape.image))
                        || kept.contains(&idx)
                        || !self.usable(ctx, idx, m, w, fits)
                    {
                        continue;
                    }
                    let job = JobId(w.job);
                    let Some(mut free) = self.free(idx, m, ctx.names, job, rank) else { continue };
                    if free.fits(shape.need) == 0 {
                        continue;
                    }
                    if gpu_waste > 0 && shape.wire.kind == Kind::Service {
                        let later = self.lasting_room(idx, m, whole);
                        let spare = self.spare(later, w.urgent, w.may_use_gpu_machines);
                        free.cpu = free.cpu.min(spare.cpu);
                        free.mem = free.mem.min(spare.mem);
                    }
                    let n = free.fits(shape.need);
                    if n == 0 {
                        continue;
                    }
                    enough = enough.saturating_sub(n);
                    choices.push((
                        gpu_waste,
                        fetch,
                        -(free.cpu as i64),
                        idx,
                        zone,
                        n,
                        m.incarnation,
                    ));
                }
            }
            choices.sort_unstable();
            let mut zone_room = w.zone_room.clone();
            let mut wanted = w.count;
            for (gpu_waste, fetch, neg_free, idx, zone, n, incarnation) in choices {
                let Some(zr) = zone_room.get_mut(zone.0 as usize) else {
                    continue;
                };
                let count = (n.min(u64::from(u32::MAX)) as u32).min(wanted).min(*zr);
                if count == 0 {
                    continue;
                }
                *zr -= count;
                wanted -= count;
                self.holds.add(
                    idx,
                    Hold {
                        shard: from,
                        negotiation,
                        job: JobId(w.job),
                        need: shape.need,
                        count: u64::from(count),
                        lasting: shape.lasting(),
                    },
                );
                offers.push(Offer {
                    item: i as u16,
                    machine: ctx.names.machine_name(idx).to_string(),
                    incarnation,
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
                self.capacity_notices.note_shortage(from, w.shape.priority);
            }
            if w.preempt && wanted > 0 {
                // A gang makes room only in the zone that it waits for.
                if let Some(z) = w.queue_position.and_then(|l| l.zone) {
                    for (i, r) in zone_room.iter_mut().enumerate() {
                        *r = if i == z as usize { *r } else { 0 };
                    }
                }
                let rank = self.gang_queue.rank(JobId(w.job));
                let (shape, zones) = (&shape, &zone_room);
                let seek =
                    super::room::PreemptionSearch { w, shape, fits, rank, zones, gpus: true };
                // What cannot be done for one job cannot be for the next of its kind either, which
                // is served after it. (At three times a fleet most of a request asked in vain.)
                let several = w.queue_position.is_some_and(|l| l.zone.is_some());
                let like = Like {
                    types: &w.shape.types,
                    need: shape.need,
                    priority: w.shape.priority,
                    kind: w.shape.kind,
                    flags: [
                        w.shape.spot,
                        w.urgent,
                        w.may_use_gpu_machines,
                        several,
                        seek.rank.is_some(),
                    ],
                };
                let covers =
                    |open: &[bool]| open.iter().zip(zones).all(|(had, has)| *had || *has == 0);
                if !vain.iter().any(|v| v.0 == like && covers(&v.1))
                    && !self.preempt(ctx, &seek, wanted)
                {
                    vain.push((like, zones.iter().map(|&z| z > 0).collect()));
                }
                if self.reservations.count(JobId(w.job)) >= wanted {
                    preempting.push(i as u16);
                }
            }
        }
        ctx.send(
            self.shard,
            from,
            ShardMessage::Offers { negotiation: negotiation.0, offers, preempting },
        );
    }
}

#[cfg(test)]
mod tests;
