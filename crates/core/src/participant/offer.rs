//! Answers to requests for offers: offers and holds the machines for each item of a request, and
//! preempts tasks for what could not be offered.
use super::eligibility::EligibilityTable;
use super::gang_queue::WaitingGang;
use super::holds::Hold;
use super::machine_choice::{Choice, KeptForGangs, MachineChoices, RequestItem};
use super::preemption::{PreemptionOutcome, PreemptionSearch};
use super::queue_rank::QueueRank;
use super::Participant;
use crate::context::Context;
use crate::ids::{JobId, NegotiationId, Shard, ZoneIdx};
use crate::names::{Resources, Shape};
use leaddeal_wire::mesh::{Offer, OfferRequest, QueuePosition, ShardMessage};
use leaddeal_wire::user::{JobKind, Priority};

/// The state of one request for offers while it is being answered.
struct OfferRound<'a> {
    coordinator: Shard,
    negotiation: NegotiationId,
    offers: Vec<Offer>,
    /// Numbers of the items for which tasks are being preempted.
    preempting: Vec<u16>,
    /// Searches for preemption that found no machine.
    failed_searches: Vec<FailedSearch<'a>>,
    kept_for_gangs: KeptForGangs,
}

/// What determines whether tasks can be preempted for a job, apart from the zones that it may use.
#[derive(PartialEq)]
struct SearchKind<'a> {
    types: &'a Option<Vec<String>>,
    need: Resources,
    priority: Priority,
    kind: JobKind,
    allows_spot: bool,
    is_urgent: bool,
    may_use_gpu_machines: bool,
    waits_for_zone: bool,
    is_queued: bool,
}

impl<'a> SearchKind<'a> {
    fn of(request: &'a OfferRequest, search: &PreemptionSearch) -> SearchKind<'a> {
        let shape = &request.shape;
        SearchKind {
            types: &shape.types,
            need: search.shape.need,
            priority: shape.priority,
            kind: shape.kind,
            allows_spot: shape.spot,
            is_urgent: request.urgent,
            may_use_gpu_machines: request.may_use_gpu_machines,
            waits_for_zone: request.queue_position.is_some_and(|position| position.zone.is_some()),
            is_queued: search.rank.is_some(),
        }
    }
}

/// A search for preemption that found no machine to reserve.
struct FailedSearch<'a> {
    kind: SearchKind<'a>,
    /// Whether the search included the zone, indexed by zone.
    open_zones: Vec<bool>,
}

impl FailedSearch<'_> {
    /// Returns whether a search of this kind and with these zones must fail as well: it is of the same
    /// kind and includes no zone that this search did not include.
    fn covers(&self, kind: &SearchKind, max_per_zone: &[u32]) -> bool {
        let mut zones = self.open_zones.iter().zip(max_per_zone);
        self.kind == *kind && zones.all(|(was_open, limit)| *was_open || *limit == 0)
    }
}

impl Participant {
    /// Answers a request for offers. Holds the offered capacity for the negotiation, and preempts tasks
    /// for items that ask for it and got less than they need.
    pub(super) fn answer_offer_request(
        &mut self,
        ctx: &mut Context,
        coordinator: Shard,
        negotiation: NegotiationId,
        requests: &[OfferRequest],
    ) {
        self.gpu_demand.expire(ctx.now);
        self.reservations.expire(ctx.now);
        self.reindex(ctx.names);
        let numbered = requests.iter().enumerate();
        let items: Vec<RequestItem> =
            numbered.map(|(i, request)| self.prepare_item(ctx, i as u16, request)).collect();
        self.gang_queue.refresh(ctx.now, self.capacity_index.groups());
        let mut round = OfferRound {
            coordinator,
            negotiation,
            offers: Vec::new(),
            preempting: Vec::new(),
            failed_searches: Vec::new(),
            kept_for_gangs: KeptForGangs::new(),
        };
        for item in &items {
            self.offer_item(ctx, &mut round, item);
        }
        let OfferRound { offers, preempting, .. } = round;
        let answer = ShardMessage::Offers { negotiation: negotiation.0, offers, preempting };
        ctx.send(self.shard, coordinator, answer);
    }

    /// Computes which machines an item may use. If the item is for a gang, also computes its rank and
    /// enters it in the gang queue.
    fn prepare_item<'a>(
        &mut self,
        ctx: &Context,
        number: u16,
        request: &'a OfferRequest,
    ) -> RequestItem<'a> {
        let eligibility = EligibilityTable::of(ctx.names, request);
        let rank = request
            .queue_position
            .map(|position| self.enter_queue(ctx, request, position, &eligibility));
        RequestItem { number, request, eligibility, rank }
    }

    /// Returns the rank of a gang, and adds it to the queue if it has a zone and holds its position.
    fn enter_queue(
        &mut self,
        ctx: &Context,
        request: &OfferRequest,
        position: QueuePosition,
        eligibility: &EligibilityTable,
    ) -> QueueRank {
        let job = JobId(request.job);
        let rank = QueueRank::new(request.shape.priority, position, job, ctx.now);
        if let Some(zone) = position.zone.filter(|_| position.blocks_gangs_behind) {
            let gang = WaitingGang {
                rank,
                zone: ZoneIdx(zone),
                tasks: request.count,
                shape: request.shape.clone(),
                eligibility: eligibility.clone(),
            };
            self.gang_queue.enter(gang, ctx.now);
        }
        rank
    }

    /// Offers machines for one item, and records the shortage if they are not enough.
    fn offer_item<'a>(
        &mut self,
        ctx: &mut Context,
        round: &mut OfferRound<'a>,
        item: &RequestItem<'a>,
    ) {
        let request = item.request;
        let priority = request.shape.priority;
        let shape = ctx.names.resolve_shape(&request.shape);
        let MachineChoices { choices, obstacles } =
            self.choose_machines(ctx, &mut round.kept_for_gangs, item, &shape);
        let mut max_per_zone = request.max_per_zone.clone();
        let missing = self.hold_choices(ctx, round, item, &shape, &choices, &mut max_per_zone);
        if missing == 0 {
            return;
        }
        self.offer_obstacles.add(&obstacles);
        self.capacity_notices.note_shortage(round.coordinator, priority);
        if request.preempt {
            self.preempt_for_item(ctx, round, item, &shape, max_per_zone, missing);
        }
    }

    /// Offers and holds the choices in their order, up to the item's task count and the limits in
    /// `max_per_zone`, which are reduced accordingly. Returns the number of tasks that got no machine.
    fn hold_choices(
        &mut self,
        ctx: &Context,
        round: &mut OfferRound,
        item: &RequestItem,
        shape: &Shape,
        choices: &[Choice],
        max_per_zone: &mut [u32],
    ) -> u32 {
        let mut missing = item.request.count;
        for choice in choices {
            let Some(zone_limit) = max_per_zone.get_mut(choice.zone.0 as usize) else { continue };
            let capacity = choice.capacity.min(u64::from(u32::MAX)) as u32;
            let count = capacity.min(missing).min(*zone_limit);
            if count == 0 {
                continue;
            }
            *zone_limit -= count;
            missing -= count;
            let hold = Hold {
                coordinator: round.coordinator,
                negotiation: round.negotiation,
                job: JobId(item.request.job),
                need: shape.need,
                count: u64::from(count),
                is_long_running: shape.is_long_running(),
            };
            self.holds.add(choice.machine, hold);
            round.offers.push(choice.offer(ctx, item, count));
            if missing == 0 {
                break;
            }
        }
        missing
    }

    /// Preempts tasks for the `missing` tasks of an item that got no machine.
    fn preempt_for_item<'a>(
        &mut self,
        ctx: &mut Context,
        round: &mut OfferRound<'a>,
        item: &RequestItem<'a>,
        shape: &Shape,
        mut max_per_zone: Vec<u32>,
        missing: u32,
    ) {
        let request = item.request;
        let job = JobId(request.job);
        let waited_zone = request.queue_position.and_then(|position| position.zone);
        // A gang that waits for a zone gets tasks preempted in that zone only.
        if let Some(waited_zone) = waited_zone {
            let others =
                max_per_zone.iter_mut().enumerate().filter(|(i, _)| *i != waited_zone as usize);
            others.for_each(|(_, limit)| *limit = 0);
        }
        let search = PreemptionSearch {
            request,
            shape,
            eligibility: &item.eligibility,
            rank: self.gang_queue.rank(job),
            max_per_zone: &max_per_zone,
            includes_gpu_machines: true,
        };
        // If a search found no machine for one job, it finds none for a later job of the same kind. With
        // a fleet three times as large, most requests found none.
        let kind = SearchKind::of(request, &search);
        let is_known_to_fail =
            round.failed_searches.iter().any(|failed| failed.covers(&kind, &max_per_zone));
        if !is_known_to_fail && self.preempt(ctx, &search, missing) == PreemptionOutcome::NoMachine
        {
            let open_zones = max_per_zone.iter().map(|&limit| limit > 0).collect();
            round.failed_searches.push(FailedSearch { kind, open_zones });
        }
        if self.reservations.count(job) >= missing {
            round.preempting.push(item.number);
        }
    }
}
