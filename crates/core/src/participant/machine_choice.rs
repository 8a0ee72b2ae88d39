//! The machines that are offered for an item of a request, and their order.
use super::capacity_index::MachineGroup;
use super::eligibility::EligibilityTable;
use super::free_resources::GpuMachineAccess;
use super::offer_obstacles::{ObstacleCounts, OfferObstacle};
use super::queue_rank::QueueRank;
use super::Participant;
use crate::context::Context;
use crate::ids::{JobId, MachineIdx, ZoneIdx};
use crate::machine::Machine;
use crate::names::{Resources, Shape};
use leaddeal_wire::mesh::{Offer, OfferRequest};
use leaddeal_wire::user::{JobKind, Priority};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum estimated run time in seconds of tasks without GPUs that are placed on ordinary GPU machines
/// while there is GPU work which cannot preempt them.
const MAX_TASK_BESIDE_GPU_WORK_S: f64 = 45.0;
/// Step in seconds by which machines without the image are distinguished by the time to fetch it.
const FETCH_STEP_S: f64 = 4.0;
/// Reduction of an offer's score, which is in thousandths of free processors, for each step of fetch
/// time.
const SCORE_PER_FETCH_STEP: i64 = 10_000;
/// Reduction of an offer's score for each degree of GPU waste.
const SCORE_PER_GPU_WASTE: i64 = 1_000_000;

/// Machines kept for gangs, by the priority of the work that is not placed on them.
pub(super) type KeptForGangs = BTreeMap<Priority, BTreeSet<MachineIdx>>;

/// An item of a request, with what is computed once for it.
pub(super) struct RequestItem<'a> {
    /// Position in the request.
    pub number: u16,
    /// The tasks that are requested.
    pub request: &'a OfferRequest,
    /// Types of machines that the tasks may use.
    pub eligibility: EligibilityTable,
    /// Rank in the gang queue; `None` if the item is not for a gang.
    pub rank: Option<QueueRank>,
}

/// Criteria by which the machines for an item are chosen.
struct MachineSearch<'a> {
    request: &'a OfferRequest,
    shape: &'a Shape,
    eligibility: &'a EligibilityTable,
    rank: Option<QueueRank>,
    /// Machines on which the item gets no capacity because they are kept for gangs.
    kept_for_gangs: &'a BTreeSet<MachineIdx>,
    /// Whether GPU work of the item's priority or a lower one was requested recently; such work cannot
    /// preempt the item's tasks.
    gpu_work_waits: bool,
}

/// How well the machines of a group suit an item.
struct GroupScore {
    group: MachineGroup,
    /// Resources of an empty machine of the group.
    total: Resources,
    /// 0: no waste; 1: work without GPUs on a spot machine with GPUs; 2: the same on an ordinary one.
    gpu_waste: u8,
    /// Time to fetch the image, in steps of `FETCH_STEP_S`, counted from 1.
    fetch_steps: u32,
}

/// A machine that can be offered for an item; the smallest is offered first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Choice {
    /// As in `GroupScore`.
    gpu_waste: u8,
    /// Time to fetch the image, in steps of `FETCH_STEP_S`; 0 if the machine has the image.
    fetch_steps: u32,
    /// Free processors in thousandths, negated, so that the machine with the most is offered first.
    negative_free_cpu: i64,
    /// Index of the machine.
    pub machine: MachineIdx,
    /// Zone of the machine.
    pub zone: ZoneIdx,
    /// Number of tasks that fit in the free resources.
    pub capacity: u64,
    /// Incarnation of the machine's worker.
    incarnation: u64,
}

/// The machines that can be offered for an item, and why others cannot.
#[derive(Debug, Default)]
pub(super) struct MachineChoices {
    /// Machines in the order in which they are offered.
    pub choices: Vec<Choice>,
    /// Obstacles at the machines and groups that were evaluated.
    pub obstacles: ObstacleCounts,
}

impl Choice {
    /// Returns the offer of capacity for `count` tasks on the machine.
    pub fn offer(&self, ctx: &Context, item: &RequestItem, count: u32) -> Offer {
        Offer {
            item: item.number,
            machine: ctx.names.machine_name(self.machine).to_string(),
            incarnation: self.incarnation,
            zone: self.zone.0,
            count,
            has_image: self.fetch_steps == 0,
            score: self.score(),
        }
    }

    fn score(&self) -> i64 {
        -self.negative_free_cpu
            - SCORE_PER_FETCH_STEP * i64::from(self.fetch_steps)
            - SCORE_PER_GPU_WASTE * i64::from(self.gpu_waste)
    }
}

impl Participant {
    /// Returns the machines that can be offered for an item, the best first. `kept_for_gangs` caches the
    /// machines kept for gangs between the items of a request.
    pub(super) fn choose_machines(
        &self,
        ctx: &mut Context,
        kept_for_gangs: &mut KeptForGangs,
        item: &RequestItem,
        shape: &Shape,
    ) -> MachineChoices {
        let request = item.request;
        let priority = request.shape.priority;
        let none_kept = BTreeSet::new();
        let kept_for_gangs = if request.shape.kind == JobKind::Array && request.shape.gpu == 0 {
            let entry = kept_for_gangs.entry(priority);
            &*entry.or_insert_with(|| self.machines_kept_for_gangs(ctx, priority))
        } else {
            &none_kept
        };
        let search = MachineSearch {
            request,
            shape,
            eligibility: &item.eligibility,
            rank: item.rank,
            kept_for_gangs,
            gpu_work_waits: self.gpu_demand.any_up_to(priority),
        };
        let mut found = MachineChoices::default();
        for group in self.capacity_index.groups().filter(|group| search.eligibility.allows(*group))
        {
            match self.score_group(ctx, &search, group) {
                Ok(group) => self.add_choices(ctx, &search, &group, &mut found),
                Err(obstacle) => found.obstacles.note(obstacle),
            }
        }
        found.choices.sort_unstable();
        found
    }

    /// Returns how well the machines of a group suit the item, or why none of them can be offered.
    fn score_group(
        &self,
        ctx: &Context,
        search: &MachineSearch,
        group: MachineGroup,
    ) -> Result<GroupScore, OfferObstacle> {
        let request = search.request;
        let zone_limit = request.max_per_zone.get(group.zone.0 as usize).copied().unwrap_or(0);
        let has_gang_ahead = |rank| self.gang_queue.has_gang_ahead(rank, group);
        if zone_limit == 0 {
            return Err(OfferObstacle::ZoneRule);
        }
        if search.rank.is_some_and(has_gang_ahead) {
            return Err(OfferObstacle::GangAhead);
        }
        let total = ctx.names.resources_of_type(group.machine_type);
        // For work without GPUs, ordinary GPU machines are the last resort: any GPU work can use them.
        let gpu_waste = match (search.shape.need.gpu == 0 && total.gpu > 0, group.spot) {
            (false, _) => 0,
            (true, true) => 1,
            (true, false) => 2,
        };
        // Long tasks without GPUs would delay GPU work that cannot preempt them.
        let is_long = request.shape.estimate_s > MAX_TASK_BESIDE_GPU_WORK_S;
        if gpu_waste == 2 && search.gpu_work_waits && is_long {
            return Err(OfferObstacle::GpuWorkWaits);
        }
        let fetch_s = ctx.names.image_fetch_s(group.machine_type, request.shape.image_gb);
        let fetch_steps = ((fetch_s / FETCH_STEP_S) as u32).saturating_add(1);
        Ok(GroupScore { group, total, gpu_waste, fetch_steps })
    }

    /// Adds machines of a group until they have capacity for all tasks of the item, those with the image
    /// first.
    fn add_choices(
        &self,
        ctx: &mut Context,
        search: &MachineSearch,
        score: &GroupScore,
        found: &mut MachineChoices,
    ) {
        let (image, min_cpu) = (search.shape.image, search.shape.need.cpu);
        let with_image = self.capacity_index.with_image(score.group, image, min_cpu);
        let all = self.capacity_index.with_free_cpu(score.group, min_cpu);
        let all = all.map(|idx| (score.fetch_steps, idx));
        let mut missing = u64::from(search.request.count);
        for (fetch_steps, idx) in with_image.map(|idx| (0, idx)).chain(all) {
            if missing == 0 {
                break;
            }
            let Some(machine) = self.machines.get(&idx) else { continue };
            ctx.effects.machines_evaluated += 1;
            let is_already_added = fetch_steps > 0 && machine.has_image(image);
            if is_already_added {
                continue;
            }
            let free = match self.free_for_search(ctx, search, score, idx, machine) {
                Ok(free) => free,
                Err(obstacle) => {
                    found.obstacles.note(obstacle);
                    continue;
                }
            };
            let capacity = free.fit_count(search.shape.need);
            missing = missing.saturating_sub(capacity);
            found.choices.push(Choice {
                gpu_waste: score.gpu_waste,
                fetch_steps,
                negative_free_cpu: -(free.cpu as i64),
                machine: idx,
                zone: score.group.zone,
                capacity,
                incarnation: machine.incarnation,
            });
        }
    }

    /// Returns the resources of a machine that the item may use, or why they are not enough for a task.
    fn free_for_search(
        &self,
        ctx: &Context,
        search: &MachineSearch,
        score: &GroupScore,
        idx: MachineIdx,
        machine: &Machine,
    ) -> Result<Resources, OfferObstacle> {
        let (request, need) = (search.request, search.shape.need);
        if search.kept_for_gangs.contains(&idx) {
            return Err(OfferObstacle::KeptForGang);
        }
        if !self.is_eligible(ctx, idx, machine, request, search.eligibility) {
            return Err(OfferObstacle::NotEligible);
        }
        let free = self.free(idx, machine, ctx.names, JobId(request.job), search.rank);
        let mut free = free.unwrap_or_default();
        if free.fit_count(need) == 0 {
            return Err(self.capacity_obstacle(idx, machine, score.total, need));
        }
        if score.gpu_waste > 0 && search.shape.wire.kind == JobKind::Service {
            let long_term_free = self.long_term_free(idx, machine, score.total);
            let spare = self.spare_for_service(long_term_free, GpuMachineAccess::of(request));
            free.cpu = free.cpu.min(spare.cpu);
            free.mem = free.mem.min(spare.mem);
        }
        match free.fit_count(need) {
            0 => Err(OfferObstacle::GpuWorkWaits),
            _ => Ok(free),
        }
    }

    /// Returns which obstacle leaves less than `need` free on a machine: its tasks, a task of unknown
    /// shape, the holds, or the reservations.
    fn capacity_obstacle(
        &self,
        idx: MachineIdx,
        machine: &Machine,
        total: Resources,
        need: Resources,
    ) -> OfferObstacle {
        let Some(used) = machine.used() else { return OfferObstacle::UnknownShape };
        let mut free = total;
        free.sub(used, 1);
        if free.fit_count(need) == 0 {
            return OfferObstacle::NoCapacity;
        }
        for hold in self.holds.on(idx) {
            free.sub(hold.need, hold.count);
        }
        match free.fit_count(need) {
            0 => OfferObstacle::Held,
            _ => OfferObstacle::Reserved,
        }
    }

    /// Returns the machines on which no work of this priority is placed, because gangs of several tasks
    /// wait for their zone and can use them once the present tasks end; new work would delay the gangs.
    /// In each zone these are the least busy machines, as many as this participant's share of the
    /// gangs' tasks. Reservations have the same purpose for single tasks.
    fn machines_kept_for_gangs(
        &self,
        ctx: &mut Context,
        priority: Priority,
    ) -> BTreeSet<MachineIdx> {
        let mut kept = BTreeSet::new();
        let shards = ctx.shards().count();
        for (zone, tasks) in self.gang_queue.tasks_by_zone(priority) {
            let share = (tasks as usize).div_ceil(shards);
            // Each with its processors in use, in thousandths.
            let mut machines: Vec<(u64, MachineIdx)> = Vec::new();
            for group in self.capacity_index.groups().filter(|group| group.zone == zone) {
                self.add_least_busy(ctx, group, priority, share, &mut machines);
            }
            machines.sort_unstable();
            kept.extend(machines.into_iter().take(share).map(|(_, idx)| idx));
        }
        kept
    }

    /// Adds up to `max` of the least busy machines of a group that gangs of at least this priority can
    /// use, each with its processors in use.
    fn add_least_busy(
        &self,
        ctx: &mut Context,
        group: MachineGroup,
        priority: Priority,
        max: usize,
        machines: &mut Vec<(u64, MachineIdx)>,
    ) {
        let total = ctx.names.resources_of_type(group.machine_type);
        if total.gpu == 0 || self.gang_queue.needs(group, priority).next().is_none() {
            return;
        }
        let mut remaining = max;
        // Within a group, the machines with the most free processors are the least busy.
        for idx in self.capacity_index.with_free_cpu(group, 0) {
            if remaining == 0 {
                break;
            }
            ctx.effects.machines_evaluated += 1;
            let Some(machine) = self.machines.get(&idx) else { continue };
            let long_term_free = self.long_term_free(idx, machine, total);
            let mut needs = self.gang_queue.needs(group, priority);
            let is_usable = needs.any(|need| long_term_free.fit_count(need) > 0);
            if let (true, Some(used)) = (is_usable, machine.used()) {
                machines.push((used.cpu, idx));
                remaining -= 1;
            }
        }
    }
}
