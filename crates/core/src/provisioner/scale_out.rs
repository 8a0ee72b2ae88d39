//! Scale out: which instances to request for the unmet demand.
//!
//! Demands are served in the order of urgency. Each is assigned pending capacity first, which is
//! booting or requested, then instances that this plan already requests. For the rest, the plan
//! requests the cheapest instances that its tasks may run on.
use super::boot_times::BootLocation;
use super::boot_tracker::{BootTracker, BootingMachine};
use super::instance_requests::{InstanceRequests, MAX_INSTANCES_PER_REQUEST};
use crate::context::Context;
use crate::ids::{MachineTypeIdx, Shard, Timestamp, ZoneIdx};
use crate::names::Resources;
use leaddeal_wire::cloud::InstanceRequest;
use leaddeal_wire::mesh::UnmetDemand;
use leaddeal_wire::user::{JobKind, Priority};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

/// Maximum number of requests of one plan. The next plan is made from newer information.
const MAX_REQUESTS_PER_PLAN: usize = 8;
/// Maximum number of instances that a plan requests for one job of the lowest priority.
const MAX_INSTANCES_FOR_LOW_PRIORITY: u32 = 8;
/// No instances are requested for a job that was submitted less than this long ago.
const MIN_WAIT_MS: u64 = 300;
/// Factor on the price of machines of a type in a zone where boots fail at present.
const FAILING_BOOTS_PRICE_FACTOR: f64 = 2.0;
/// For this long after the cloud had no capacity, no instances of the same kind are requested.
const NO_CAPACITY_MS: u64 = 20_000;

/// A kind of instance that the cloud may have no capacity for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InstanceKind {
    type_name: String,
    zone: String,
    spot: bool,
}

/// The unmet demand of all coordinators, and the kinds of instances that the cloud lacks at present.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// As each coordinator last reported it.
    by_coordinator: BTreeMap<Shard, Vec<UnmetDemand>>,
    /// Until when no instances of a kind are requested.
    no_capacity_until: HashMap<InstanceKind, Timestamp>,
}

/// An instance that is booting or requested, with the capacity that is not assigned to a demand yet.
#[derive(Clone, Debug)]
struct PendingInstance {
    machine_type: MachineTypeIdx,
    zone: Option<ZoneIdx>,
    spot: bool,
    free: Resources,
}

impl PendingInstance {
    /// Returns an instance with all of its capacity free; `None` if its type is not in the catalog.
    fn new(ctx: &Context, type_name: &str, zone: &str, spot: bool) -> Option<PendingInstance> {
        let machine_type = ctx.names.type_idx(type_name)?;
        Some(PendingInstance {
            machine_type,
            zone: ctx.names.zone(zone),
            spot,
            free: ctx.names.resources_of_type(machine_type),
        })
    }

    /// Returns the instance for a machine that is booting.
    fn booting(ctx: &Context, machine: &BootingMachine) -> Option<PendingInstance> {
        PendingInstance::new(ctx, &machine.type_name, &machine.zone, machine.spot)
    }

    /// Returns one of the instances that a request is for.
    fn requested(ctx: &Context, request: &InstanceRequest) -> Option<PendingInstance> {
        PendingInstance::new(ctx, &request.type_name, &request.zone, request.spot)
    }

    /// Assigns free capacity to as many tasks of the demand as fit and may run here.
    fn assign(&mut self, ctx: &Context, open: &mut OpenDemand) {
        let zone = self.zone.and_then(|zone| open.max_per_zone.get_mut(usize::from(zone.0)));
        let Some(max_in_zone) = zone.filter(|limit| **limit > 0) else { return };
        let tasks = self.free.fit_count(open.need).min(open.tasks).min(*max_in_zone);
        if tasks == 0 || !ctx.names.allows(&open.demand.shape, self.machine_type, self.spot) {
            return;
        }
        self.free.sub(open.need, tasks);
        *max_in_zone -= tasks;
        open.tasks -= tasks;
    }
}

/// The part of a demand that the plan has no capacity for yet.
#[derive(Clone, Debug)]
struct OpenDemand<'a> {
    demand: &'a UnmetDemand,
    /// Resources that one task needs.
    need: Resources,
    /// Number of tasks without capacity.
    tasks: u64,
    /// How many more tasks may run in each zone, by zone number.
    max_per_zone: Vec<u64>,
}

impl<'a> OpenDemand<'a> {
    fn new(demand: &'a UnmetDemand) -> OpenDemand<'a> {
        OpenDemand {
            demand,
            need: Resources::of(&demand.shape),
            tasks: u64::from(demand.count),
            max_per_zone: demand.max_per_zone.iter().map(|&limit| u64::from(limit)).collect(),
        }
    }

    fn needs_one_zone(&self) -> bool {
        self.demand.shape.kind == JobKind::Gang && self.demand.count > 1
    }

    fn allow_only_zone(&mut self, only: usize) {
        for (zone, limit) in self.max_per_zone.iter_mut().enumerate() {
            if zone != only {
                *limit = 0;
            }
        }
    }

    /// Returns how many of the tasks without capacity may run in this zone.
    fn tasks_in_zone(&self, ctx: &Context, zone: &str) -> u64 {
        let zone = ctx.names.zone(zone);
        let limit = zone.and_then(|zone| self.max_per_zone.get(usize::from(zone.0)));
        limit.copied().unwrap_or(0).min(self.tasks)
    }

    /// Returns how many instances a plan may request for this demand. Jobs of the lowest priority run
    /// on few machines for longer rather than on many at once.
    fn max_instances(&self) -> u64 {
        u64::from(if self.demand.shape.priority == Priority::Low {
            MAX_INSTANCES_FOR_LOW_PRIORITY
        } else {
            MAX_INSTANCES_PER_REQUEST
        })
    }
}

/// A request, and the price per task of its instances.
#[derive(Debug)]
struct PricedRequest {
    cost_per_task: f64,
    request: InstanceRequest,
}

/// The requests of a plan, and the pending instances whose capacity demands are assigned.
struct Plan {
    pending: Vec<PendingInstance>,
    requests: Vec<InstanceRequest>,
}

impl Plan {
    /// Adds `count` instances to a request for the same kind, or as a new request.
    fn add_instances(&mut self, wanted: InstanceRequest, count: u32) {
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
    /// Replaces the unmet demand of a coordinator.
    pub(super) fn set(&mut self, coordinator: Shard, demands: Vec<UnmetDemand>) {
        self.by_coordinator.insert(coordinator, demands);
    }

    /// Records that the cloud had no capacity for all or part of this request.
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

    /// Returns what to request, for the most urgent demand first. `requests` are the pending ones.
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
            plan.add_instances(request, count as u32);
        }
    }

    /// Returns the zone in which a gang of several tasks is to get capacity: the one with the most
    /// pending capacity, provided that the rest can be requested there. Without this rule, half of a
    /// gang's capacity was launched in each of two zones, and the gang could start in neither.
    fn zone_for_gang(
        &self,
        ctx: &Context,
        boots: &BootTracker,
        gang: &OpenDemand,
        pending: &[PendingInstance],
    ) -> Option<usize> {
        let zones = gang.max_per_zone.len();
        let count = u64::from(gang.demand.count);
        let pending_tasks = pending_tasks_by_zone(ctx, gang, pending);
        let mut order: Vec<usize> =
            (0..zones).filter(|&zone| gang.max_per_zone[zone] >= count).collect();
        order.sort_by_key(|&zone| Reverse(pending_tasks[zone].min(count)));
        order.into_iter().find(|&zone| {
            let missing = count.saturating_sub(pending_tasks[zone]);
            let mut max_per_zone = vec![0; zones];
            max_per_zone[zone] = count;
            let rest = OpenDemand { tasks: missing, max_per_zone, ..*gang };
            missing == 0 || self.cheapest(ctx, boots, &rest).is_some()
        })
    }

    /// Returns the request with the lowest price per task for the demand; of several at the same
    /// price, the first.
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

    /// Returns a request for instances of this type in this zone, as many as the demand needs. `None`
    /// if no task of the demand fits or may run on them, if they cost too much, or if the cloud had
    /// no capacity for them lately.
    fn candidate(
        &self,
        ctx: &Context,
        boots: &BootTracker,
        open: &OpenDemand,
        type_idx: MachineTypeIdx,
        zone: &str,
        spot: bool,
    ) -> Option<PricedRequest> {
        let tasks_per_machine = ctx.names.resources_of_type(type_idx).fit_count(open.need);
        let tasks = open.tasks_in_zone(ctx, zone);
        let shape = &open.demand.shape;
        if tasks_per_machine == 0 || tasks == 0 || !ctx.names.allows(shape, type_idx, spot) {
            return None;
        }
        let type_name = ctx.names.catalog[usize::from(type_idx.0)].name.clone();
        let zone = zone.to_string();
        let kind = InstanceKind { type_name: type_name.clone(), zone: zone.clone(), spot };
        if self.no_capacity_until.contains_key(&kind)
            || !ctx.names.is_affordable(shape, type_idx, spot, open.demand.urgent)
        {
            return None;
        }
        let location = BootLocation { type_name: type_name.clone(), zone: zone.clone() };
        // Boots fail at this location: another one is preferred unless it costs far more.
        let factor = if boots.is_failing(&location) { FAILING_BOOTS_PRICE_FACTOR } else { 1.0 };
        let cost = ctx.names.price(type_idx, spot) * factor;
        let count =
            tasks.div_ceil(tasks_per_machine).clamp(1, u64::from(MAX_INSTANCES_PER_REQUEST)) as u32;
        let request = InstanceRequest { request: String::new(), type_name, zone, spot, count };
        Some(PricedRequest { cost_per_task: cost / tasks_per_machine.min(tasks) as f64, request })
    }
}

/// Returns the pending instances: booting machines that count as expected capacity, then the
/// instances of pending requests.
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

/// Returns for how many tasks of the demand there is pending capacity in each zone.
fn pending_tasks_by_zone(
    ctx: &Context,
    open: &OpenDemand,
    pending: &[PendingInstance],
) -> Vec<u64> {
    let mut pending_tasks = vec![0; open.max_per_zone.len()];
    let shape = &open.demand.shape;
    let allowed =
        |instance: &&PendingInstance| ctx.names.allows(shape, instance.machine_type, instance.spot);
    for instance in pending.iter().filter(allowed) {
        let tasks = instance.zone.and_then(|zone| pending_tasks.get_mut(usize::from(zone.0)));
        if let Some(tasks) = tasks {
            *tasks = u64::saturating_add(*tasks, instance.free.fit_count(open.need));
        }
    }
    pending_tasks
}
