//! Which machines an item of a request may have, and in which order they are taken.
use super::capacity_index::MachineGroup;
use super::eligibility::EligibilityTable;
use super::free_resources::GpuMachineAccess;
use super::queue_rank::QueueRank;
use super::Participant;
use crate::context::Context;
use crate::ids::{JobId, MachineIdx, ZoneIdx};
use crate::machine::Machine;
use crate::names::{Resources, Shape};
use leaddeal_wire::mesh::{Offer, OfferRequest};
use leaddeal_wire::user::{Kind, Priority};
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

impl Choice {
    /// The offer of `count` tasks' capacity on it.
    pub fn offer(&self, ctx: &Context, item: &Item, count: u32) -> Offer {
        Offer {
            item: item.number,
            machine: ctx.names.machine_name(self.machine).to_string(),
            incarnation: self.incarnation,
            zone: self.zone.0,
            count,
            cached: self.fetch_steps == 0,
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
    ) -> Vec<Choice> {
        let request = item.request;
        let priority = request.shape.priority;
        let none_kept = BTreeSet::new();
        let kept_for_gangs = if request.shape.kind == Kind::Array && request.shape.gpu == 0 {
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
        let mut choices = Vec::new();
        for group in self.capacity_index.groups() {
            if let Some(group) = self.score_group(ctx, &search, group) {
                self.add_choices(ctx, &search, &group, &mut choices);
            }
        }
        choices.sort_unstable();
        choices
    }

    /// None: the item gets no machine of the group.
    fn score_group(
        &self,
        ctx: &Context,
        search: &MachineSearch,
        group: MachineGroup,
    ) -> Option<GroupScore> {
        let request = search.request;
        let zone_room = request.zone_room.get(group.zone.0 as usize).copied().unwrap_or(0);
        let behind = |rank| self.gang_queue.is_behind(rank, group);
        if !search.eligibility.allows(group) || zone_room == 0 || search.rank.is_some_and(behind) {
            return None;
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
            return None;
        }
        let fetch_s = ctx.names.image_fetch_s(group.machine_type, request.shape.image_gb);
        let fetch_steps = ((fetch_s / FETCH_STEP_S) as u32).saturating_add(1);
        Some(GroupScore { group, whole, gpu_waste, fetch_steps })
    }

    /// Adds as many machines of the group as could be taken, those with the image first.
    fn add_choices(
        &self,
        ctx: &mut Context,
        search: &MachineSearch,
        score: &GroupScore,
        choices: &mut Vec<Choice>,
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
            if seen_before || search.kept_for_gangs.contains(&idx) {
                continue;
            }
            let Some(free) = self.free_for_search(ctx, search, score, idx, machine) else {
                continue;
            };
            let capacity = free.fits(search.shape.need);
            if capacity == 0 {
                continue;
            }
            missing = missing.saturating_sub(capacity);
            choices.push(Choice {
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

    /// What an item may use of a machine. None: nothing.
    fn free_for_search(
        &self,
        ctx: &Context,
        search: &MachineSearch,
        score: &GroupScore,
        idx: MachineIdx,
        machine: &Machine,
    ) -> Option<Resources> {
        let request = search.request;
        if !self.is_eligible(ctx, idx, machine, request, search.eligibility) {
            return None;
        }
        let mut free = self.free(idx, machine, ctx.names, JobId(request.job), search.rank)?;
        if free.fits(search.shape.need) == 0 {
            return None;
        }
        if score.gpu_waste > 0 && search.shape.wire.kind == Kind::Service {
            let lasting_free = self.lasting_free(idx, machine, score.whole);
            let spare = self.spare_for_service(lasting_free, GpuMachineAccess::of(request));
            free.cpu = free.cpu.min(spare.cpu);
            free.mem = free.mem.min(spare.mem);
        }
        Some(free)
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
            let wanted = needs.any(|need| lasting_free.fits(need) > 0);
            if let (true, Some(used)) = (wanted, machine.used()) {
                machines.push((used.cpu, idx));
                left -= 1;
            }
        }
    }
}
