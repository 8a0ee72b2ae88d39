//! Scale out: which instances to request for the unmet demand.
//!
//! The most urgent demand comes first. Each one takes capacity that is coming up, then what this plan
//! requests already, and then requests more: the cheapest that it may run on.
use super::boot_times::BootLocation;
use super::boot_tracker::{BootTracker, BootingMachine};
use super::instance_requests::{InstanceRequests, MAX_INSTANCES_PER_REQUEST};
use crate::context::Context;
use crate::ids::{MachineTypeIdx, Shard, Timestamp, ZoneIdx};
use crate::names::Resources;
use leaddeal_wire::cloud::InstanceRequest;
use leaddeal_wire::mesh::UnmetDemand;
use leaddeal_wire::user::{Kind, Priority};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

/// Requests of one plan; the next plan is made from what is known by then.
const MAX_REQUESTS_PER_PLAN: usize = 8;
/// Instances that a plan requests at most for one job that can wait.
const MAX_INSTANCES_FOR_LOW_PRIORITY: u32 = 8;
/// Demand that has waited for less than this requests no instances.
const MIN_WAIT_MS: u64 = 300;
/// By this factor a machine counts as dearer where boots fail at present.
const FAILING_BOOTS_PRICE_FACTOR: f64 = 2.0;
/// For this long after a refusal, nothing of the same kind is requested.
const NO_CAPACITY_MS: u64 = 20_000;

/// What the cloud may have no capacity for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InstanceKind {
    type_name: String,
    zone: String,
    spot: bool,
}

/// The unmet demand of all coordinators, and what the cloud can't meet at present.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// As each coordinator last stated it.
    by_coordinator: BTreeMap<Shard, Vec<UnmetDemand>>,
    /// Until when nothing of a kind is requested.
    no_capacity_until: HashMap<InstanceKind, Timestamp>,
}

/// Capacity that is coming up, or requested, and that no demand has taken.
#[derive(Clone, Debug)]
struct PendingInstance {
    machine_type: MachineTypeIdx,
    zone: Option<ZoneIdx>,
    spot: bool,
    free: Resources,
}

impl PendingInstance {
    /// `None` if its type is not in the catalog.
    fn new(ctx: &Context, type_name: &str, zone: &str, spot: bool) -> Option<PendingInstance> {
        let machine_type = ctx.names.type_idx(type_name)?;
        Some(PendingInstance {
            machine_type,
            zone: ctx.names.zone(zone),
            spot,
            free: ctx.names.resources_of_type(machine_type),
        })
    }

    /// A machine that is booting.
    fn booting(ctx: &Context, machine: &BootingMachine) -> Option<PendingInstance> {
        PendingInstance::new(ctx, &machine.type_name, &machine.zone, machine.spot)
    }

    /// One of the instances that a request is for.
    fn requested(ctx: &Context, request: &InstanceRequest) -> Option<PendingInstance> {
        PendingInstance::new(ctx, &request.type_name, &request.zone, request.spot)
    }

    /// Takes capacity for as many tasks of the demand as fit.
    fn assign(&mut self, ctx: &Context, open: &mut OpenDemand) {
        let zone = self.zone.and_then(|zone| open.zone_limits.get_mut(usize::from(zone.0)));
        let Some(zone_limit) = zone.filter(|limit| **limit > 0) else { return };
        let tasks = self.free.fits(open.need).min(open.tasks).min(*zone_limit);
        if tasks == 0 || !ctx.names.allows(&open.demand.shape, self.machine_type, self.spot) {
            return;
        }
        self.free.sub(open.need, tasks);
        *zone_limit -= tasks;
        open.tasks -= tasks;
    }
}

/// The part of a demand for which the plan has no capacity yet.
#[derive(Clone, Debug)]
struct OpenDemand<'a> {
    demand: &'a UnmetDemand,
    /// What one task takes.
    need: Resources,
    /// Tasks without capacity.
    tasks: u64,
    /// How many more tasks each zone may have.
    zone_limits: Vec<u64>,
}

impl<'a> OpenDemand<'a> {
    fn new(demand: &'a UnmetDemand) -> OpenDemand<'a> {
        OpenDemand {
            demand,
            need: Resources::of(&demand.shape),
            tasks: u64::from(demand.count),
            zone_limits: demand.zone_room.iter().map(|&limit| u64::from(limit)).collect(),
        }
    }

    fn needs_one_zone(&self) -> bool {
        self.demand.shape.kind == Kind::Gang && self.demand.count > 1
    }

    fn allow_only_zone(&mut self, only: usize) {
        for (zone, limit) in self.zone_limits.iter_mut().enumerate() {
            if zone != only {
                *limit = 0;
            }
        }
    }

    /// How many of the tasks without capacity may be in this zone.
    fn tasks_in_zone(&self, ctx: &Context, zone: &str) -> u64 {
        let zone = ctx.names.zone(zone);
        let limit = zone.and_then(|zone| self.zone_limits.get(usize::from(zone.0)));
        limit.copied().unwrap_or(0).min(self.tasks)
    }

    /// Work that can wait runs on few machines for longer rather than on many at once.
    fn max_instances(&self) -> u64 {
        u64::from(if self.demand.shape.priority == Priority::Low {
            MAX_INSTANCES_FOR_LOW_PRIORITY
        } else {
            MAX_INSTANCES_PER_REQUEST
        })
    }
}

/// A request, and what one task costs by it.
#[derive(Debug)]
struct PricedRequest {
    cost_per_task: f64,
    request: InstanceRequest,
}

/// What a plan requests, and the capacity that demand may take.
struct Plan {
    pending: Vec<PendingInstance>,
    requests: Vec<InstanceRequest>,
}

impl Plan {
    /// Adds instances to a request for the same kind, or as a new one.
    fn request(&mut self, wanted: InstanceRequest, count: u32) {
        let same = self.requests.iter_mut().find(|request| {
            request.type_name == wanted.type_name
                && request.zone == wanted.zone
                && request.spot == wanted.spot
                && request.count + count <= MAX_INSTANCES_PER_REQUEST
        });
        match same {
            Some(request) => request.count += count,
            None => self.requests.push(InstanceRequest { count, ..wanted }),
        }
    }
}

impl Demand {
    /// Takes what a coordinator states: all of its unmet demand.
    pub(super) fn set(&mut self, coordinator: Shard, demands: Vec<UnmetDemand>) {
        self.by_coordinator.insert(coordinator, demands);
    }

    /// The cloud had no capacity for this request, or not for all of it.
    pub(super) fn on_no_capacity(&mut self, now: Timestamp, request: &InstanceRequest) {
        let kind = InstanceKind {
            type_name: request.type_name.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        };
        self.no_capacity_until.insert(kind, now + NO_CAPACITY_MS);
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        self.no_capacity_until.retain(|_, until| *until > now);
    }

    /// What to request, for the most urgent demand first. `requests` are those that are pending.
    pub(super) fn plan(
        &self,
        ctx: &Context,
        boots: &BootTracker,
        requests: &InstanceRequests,
    ) -> Vec<InstanceRequest> {
        let mut plan =
            Plan { pending: pending_instances(ctx, boots, requests), requests: Vec::new() };
        let max_requests = requests.available().min(MAX_REQUESTS_PER_PLAN);
        for demand in self.by_urgency() {
            self.plan_for(ctx, boots, OpenDemand::new(demand), &mut plan);
            if plan.requests.len() >= max_requests {
                break;
            }
        }
        plan.requests
    }

    fn by_urgency(&self) -> Vec<&UnmetDemand> {
        let mut demands: Vec<&UnmetDemand> = self.by_coordinator.values().flatten().collect();
        demands.sort_by_key(|demand| (Reverse(demand.shape.priority), Reverse(demand.waited_ms)));
        demands
    }

    fn plan_for(&self, ctx: &Context, boots: &BootTracker, mut open: OpenDemand, plan: &mut Plan) {
        if open.needs_one_zone() {
            let Some(zone) = self.zone_for_gang(ctx, boots, &open, &plan.pending) else { return };
            open.allow_only_zone(zone);
        }
        for instance in &mut plan.pending {
            if open.tasks == 0 {
                break;
            }
            instance.assign(ctx, &mut open);
        }
        let mut instances = open.max_instances();
        while open.tasks > 0 && open.demand.waited_ms >= MIN_WAIT_MS && instances > 0 {
            let Some(request) = self.cheapest(ctx, boots, &open) else { break };
            let Some(instance) = PendingInstance::requested(ctx, &request) else { break };
            let count = u64::from(request.count).min(instances);
            instances -= count;
            for _ in 0..count {
                let mut instance = instance.clone();
                instance.assign(ctx, &mut open);
                plan.pending.push(instance);
            }
            plan.request(request, count as u32);
        }
    }

    /// The zone in which a gang of several tasks is to get capacity: where most of it is coming up,
    /// if the rest can be had there. (Found at twice a fleet: half of a gang's capacity was launched
    /// in each of two zones, and the gang could start in neither.)
    fn zone_for_gang(
        &self,
        ctx: &Context,
        boots: &BootTracker,
        gang: &OpenDemand,
        pending: &[PendingInstance],
    ) -> Option<usize> {
        let zones = gang.zone_limits.len();
        let count = u64::from(gang.demand.count);
        let coming = tasks_coming_by_zone(ctx, gang, pending);
        let mut order: Vec<usize> =
            (0..zones).filter(|&zone| gang.zone_limits[zone] >= count).collect();
        order.sort_by_key(|&zone| Reverse(coming[zone].min(count)));
        order.into_iter().find(|&zone| {
            let missing = count.saturating_sub(coming[zone]);
            let mut zone_limits = vec![0; zones];
            zone_limits[zone] = count;
            let rest = OpenDemand { tasks: missing, zone_limits, ..*gang };
            missing == 0 || self.cheapest(ctx, boots, &rest).is_some()
        })
    }

    /// The cheapest request for capacity for the demand; the first one of several at the same cost.
    fn cheapest(
        &self,
        ctx: &Context,
        boots: &BootTracker,
        open: &OpenDemand,
    ) -> Option<InstanceRequest> {
        let mut best: Option<PricedRequest> = None;
        for (index, machine_type) in ctx.names.catalog.iter().enumerate() {
            let type_idx = MachineTypeIdx(index as u8);
            for zone in &machine_type.zones {
                for spot in [false, true] {
                    let candidate = self.candidate(ctx, boots, open, type_idx, zone, spot);
                    let best_cost = best.as_ref().map(|best| best.cost_per_task);
                    let is_better = |candidate: &PricedRequest| {
                        best_cost.is_none_or(|cost| candidate.cost_per_task < cost)
                    };
                    best = candidate.filter(is_better).or(best);
                }
            }
        }
        best.map(|best| best.request)
    }

    /// A request for instances of this type in this zone, as many as the demand takes. `None` if they
    /// may not, or can't, run any of it, if they cost too much, or if there are none.
    fn candidate(
        &self,
        ctx: &Context,
        boots: &BootTracker,
        open: &OpenDemand,
        type_idx: MachineTypeIdx,
        zone: &str,
        spot: bool,
    ) -> Option<PricedRequest> {
        let fits = ctx.names.resources_of_type(type_idx).fits(open.need);
        let tasks = open.tasks_in_zone(ctx, zone);
        let shape = &open.demand.shape;
        if fits == 0 || tasks == 0 || !ctx.names.allows(shape, type_idx, spot) {
            return None;
        }
        let type_name = ctx.names.catalog[usize::from(type_idx.0)].name.clone();
        let zone = zone.to_string();
        let kind = InstanceKind { type_name: type_name.clone(), zone: zone.clone(), spot };
        if self.no_capacity_until.contains_key(&kind)
            || !ctx.names.affordable(shape, type_idx, spot, open.demand.urgent)
        {
            return None;
        }
        let location = BootLocation { type_name: type_name.clone(), zone: zone.clone() };
        // Elsewhere, if that is not much dearer.
        let factor = if boots.is_failing(&location) { FAILING_BOOTS_PRICE_FACTOR } else { 1.0 };
        let cost = ctx.names.price(type_idx, spot) * factor;
        let count = tasks.div_ceil(fits).clamp(1, u64::from(MAX_INSTANCES_PER_REQUEST)) as u32;
        let request = InstanceRequest { request: String::new(), type_name, zone, spot, count };
        Some(PricedRequest { cost_per_task: cost / fits.min(tasks) as f64, request })
    }
}

/// The capacity that is coming up: booting machines that count as such, then pending requests.
fn pending_instances(
    ctx: &Context,
    boots: &BootTracker,
    requests: &InstanceRequests,
) -> Vec<PendingInstance> {
    let booting = boots.expected(ctx).filter_map(|machine| PendingInstance::booting(ctx, machine));
    let mut pending: Vec<PendingInstance> = booting.collect();
    for request in requests.pending() {
        if let Some(instance) = PendingInstance::requested(ctx, request) {
            pending.extend((0..request.count).map(|_| instance.clone()));
        }
    }
    pending
}

/// For how many tasks of the demand capacity is coming up in each zone.
fn tasks_coming_by_zone(ctx: &Context, open: &OpenDemand, pending: &[PendingInstance]) -> Vec<u64> {
    let mut coming = vec![0; open.zone_limits.len()];
    let shape = &open.demand.shape;
    let allowed =
        |instance: &&PendingInstance| ctx.names.allows(shape, instance.machine_type, instance.spot);
    for instance in pending.iter().filter(allowed) {
        let tasks = instance.zone.and_then(|zone| coming.get_mut(usize::from(zone.0)));
        if let Some(tasks) = tasks {
            *tasks = u64::saturating_add(*tasks, instance.free.fits(open.need));
        }
    }
    coming
}
