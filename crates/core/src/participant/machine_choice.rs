//! Which machines an item of a request may have, and in which order they are taken.
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

/// Tasks without GPUs that are estimated to take longer, in seconds, keep off ordinary GPU machines
/// while there is GPU work.
const MAX_TASK_BESIDE_GPU_WORK_S: f64 = 45.0;
/// Machines without the image are told apart by the time to fetch it in steps of this many seconds.
const FETCH_STEP_S: f64 = 4.0;
/// What a step of fetching takes from an offer's score, which is in thousandths of free processors.
const SCORE_PER_FETCH_STEP: i64 = 10_000;
/// What a degree of GPU waste takes from an offer's score.
const SCORE_PER_GPU_WASTE: i64 = 1_000_000;

/// Machines kept for gangs, by the priority of the work that is kept off.
pub(super) type KeptForGangs = BTreeMap<Priority, BTreeSet<MachineIdx>>;

/// An item of a request, with what is worked out once for it.
pub(super) struct Item<'a> {
    /// Its number in the request.
    pub number: u16,
    /// What is asked for.
    pub request: &'a OfferRequest,
    /// Which machines it may have.
    pub eligibility: EligibilityTable,
    /// Its rank in the gang queue; none: it is not for a gang.
    pub rank: Option<QueueRank>,
}

/// What the machines for an item are chosen by.
struct MachineSearch<'a> {
    request: &'a OfferRequest,
    shape: &'a Shape,
    eligibility: &'a EligibilityTable,
    rank: Option<QueueRank>,
    /// Machines that it keeps off for the sake of gangs.
    kept_for_gangs: &'a BTreeSet<MachineIdx>,
    /// There is GPU work of its priority or a lower one, which may not preempt it.
    gpu_work_waits: bool,
}

/// How machines of a group suit an item.
struct GroupScore {
    group: MachineGroup,
    /// What a machine of the group has.
    whole: Resources,
    /// 0: no waste; 1: a spot machine with GPUs for work without; 2: an ordinary one.
    gpu_waste: u8,
    /// Steps of time to fetch the image.
    fetch_steps: u32,
}

/// A machine for an item: the least is taken first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Choice {
    gpu_waste: u8,
    /// Steps of time to fetch the image; 0: the machine has it.
    fetch_steps: u32,
    /// The negative of the free processors, in thousandths.
    negative_free_cpu: i64,
    /// The machine.
    pub machine: MachineIdx,
    /// Its zone.
    pub zone: ZoneIdx,
    /// How many tasks it has capacity for.
    pub capacity: u64,
    incarnation: u64,
}

/// The machines for an item, and what kept others from being offered.
#[derive(Debug, Default)]
pub(super) struct MachineChoices {
    /// The best first.
    pub choices: Vec<Choice>,
    /// Of the machines and groups that were looked at.
    pub obstacles: ObstacleCounts,
}

impl Choice {
    /// The offer of `count` tasks' capacity on it.
    pub fn offer(&self, ctx: &Context, item: &Item, count: u32) -> Offer {
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
    /// The machines that an item may have, the best first. `kept_for_gangs` is filled in where it is
    /// needed.
    pub(super) fn choose_machines(
        &self,
        ctx: &mut Context,
        kept_for_gangs: &mut KeptForGangs,
        item: &Item,
        shape: &Shape,
    ) -> MachineChoices {
        let request = item.request;
        let priority = request.shape.priority;
        let none_kept = BTreeSet::new();
        let kept_for_gangs = if request.shape.kind == JobKind::Array && request.shape.gpu == 0 {
            let kept = kept_for_gangs.entry(priority);
            &*kept.or_insert_with(|| self.machines_kept_for_gangs(ctx, priority))
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

    /// How machines of a group that the item may have suit it, or why it gets none of them.
    fn score_group(
        &self,
        ctx: &Context,
        search: &MachineSearch,
        group: MachineGroup,
    ) -> Result<GroupScore, OfferObstacle> {
        let request = search.request;
        let max_per_zone = request.max_per_zone.get(group.zone.0 as usize).copied().unwrap_or(0);
        let behind = |rank| self.gang_queue.is_behind(rank, group);
        if max_per_zone == 0 {
            return Err(OfferObstacle::ZoneRule);
        }
        if search.rank.is_some_and(behind) {
            return Err(OfferObstacle::GangAhead);
        }
        let whole = ctx.names.resources_of_type(group.machine_type);
        // Machines that GPU work of any kind may use are the last resort.
        let gpu_waste = match (search.shape.need.gpu == 0 && whole.gpu > 0, group.spot) {
            (false, _) => 0,
            (true, true) => 1,
            (true, false) => 2,
        };
        // Long work without GPUs would keep GPU work waiting that may not stop it.
        let long = request.shape.estimate_s > MAX_TASK_BESIDE_GPU_WORK_S;
        if gpu_waste == 2 && search.gpu_work_waits && long {
            return Err(OfferObstacle::GpuWorkWaits);
        }
        let fetch_s = ctx.names.image_fetch_s(group.machine_type, request.shape.image_gb);
        let fetch_steps = ((fetch_s / FETCH_STEP_S) as u32).saturating_add(1);
        Ok(GroupScore { group, whole, gpu_waste, fetch_steps })
    }

    /// Adds as many machines of the group as could be taken, those with the image first.
    fn add_choices(
        &self,
        ctx: &mut Context,
        search: &MachineSearch,
        score: &GroupScore,
        found: &mut MachineChoices,
    ) {
        let (image, min_cpu) = (search.shape.image, search.shape.need.cpu);
        let with_image = self.capacity_index.with_image(score.group, image, min_cpu);
        let all = self.capacity_index.with_free(score.group, min_cpu);
        let all = all.map(|idx| (score.fetch_steps, idx));
        let mut missing = u64::from(search.request.count);
        for (fetch_steps, idx) in with_image.map(|idx| (0, idx)).chain(all) {
            if missing == 0 {
                break;
            }
            let Some(machine) = self.machines.get(&idx) else { continue };
            ctx.effects.machines_evaluated += 1;
            let seen_before = fetch_steps > 0 && machine.has_image(image);
            if seen_before {
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

    /// What an item may use of a machine, enough for a task at least.
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
            return Err(self.capacity_obstacle(idx, machine, score.whole, need));
        }
        if score.gpu_waste > 0 && search.shape.wire.kind == JobKind::Service {
            let lasting_free = self.lasting_free(idx, machine, score.whole);
            let spare = self.spare_for_service(lasting_free, GpuMachineAccess::of(request));
            free.cpu = free.cpu.min(spare.cpu);
            free.mem = free.mem.min(spare.mem);
        }
        match free.fit_count(need) {
            0 => Err(OfferObstacle::GpuWorkWaits),
            _ => Ok(free),
        }
    }

    /// Why a machine does not have `need` free, less holds and reservations.
    fn capacity_obstacle(
        &self,
        idx: MachineIdx,
        machine: &Machine,
        whole: Resources,
        need: Resources,
    ) -> OfferObstacle {
        let Some(used) = machine.used() else { return OfferObstacle::NoCapacity };
        let mut free = whole;
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

    /// Machines that work of this priority keeps off: gangs of several tasks wait for their zone and
    /// could use them once the tasks on them end, and the work would keep the gangs waiting. They are
    /// as many as this participant's share of those gangs' tasks, the least busy first.
    /// (Reservations do the same for lone tasks.)
    fn machines_kept_for_gangs(
        &self,
        ctx: &mut Context,
        priority: Priority,
    ) -> BTreeSet<MachineIdx> {
        let mut kept = BTreeSet::new();
        let shards = ctx.shards().count();
        for (zone, tasks) in self.gang_queue.tasks_by_zone(priority) {
            let share = (tasks as usize).div_ceil(shards);
            // With the processors in use, in thousandths.
            let mut machines: Vec<(u64, MachineIdx)> = Vec::new();
            for group in self.capacity_index.groups().filter(|group| group.zone == zone) {
                self.add_least_busy(ctx, group, priority, share, &mut machines);
            }
            machines.sort_unstable();
            kept.extend(machines.into_iter().take(share).map(|(_, idx)| idx));
        }
        kept
    }

    /// Adds the least busy machines of a group that gangs of at least this priority could use, `max`
    /// at most, each with the processors in use.
    fn add_least_busy(
        &self,
        ctx: &mut Context,
        group: MachineGroup,
        priority: Priority,
        max: usize,
        machines: &mut Vec<(u64, MachineIdx)>,
    ) {
        let whole = ctx.names.resources_of_type(group.machine_type);
        if whole.gpu == 0 || self.gang_queue.needs(group, priority).next().is_none() {
            return;
        }
        let mut left = max;
        // The most free of a group are the least busy.
        for idx in self.capacity_index.with_free(group, 0) {
            if left == 0 {
                break;
            }
            ctx.effects.machines_evaluated += 1;
            let Some(machine) = self.machines.get(&idx) else { continue };
            let lasting_free = self.lasting_free(idx, machine, whole);
            let mut needs = self.gang_queue.needs(group, priority);
            let wanted = needs.any(|need| lasting_free.fit_count(need) > 0);
            if let (true, Some(used)) = (wanted, machine.used()) {
                machines.push((used.cpu, idx));
                left -= 1;
            }
        }
    }
}
