//! The first half of a round: picks the jobs that rank first, requests offers for them from all
//! participants, and collects the answers. The second half is in `selection` and `decision`.
use super::negotiation::{NegotiationState, RequestedJob};
use super::queue_rank::QueueRank;
use super::Coordinator;
use crate::budget::WriteClass;
use crate::context::Context;
use crate::ids::{JobId, NegotiationId, Shard};
use crate::jobs::Job;
use crate::quota::admission::Admitted;
use leaddeal_wire::mesh::{Offer, OfferRequest, QueuePosition, ShardMessage};
use leaddeal_wire::user::{JobKind, Priority};
use std::collections::{BTreeSet, HashMap};

/// The coordinator decides without the participants that have not answered a request for offers
/// within this time.
const OFFER_TIMEOUT_MS: u64 = 2000;
/// Maximum number of jobs in one request for offers.
const MAX_REQUESTS_PER_ROUND: usize = 14;

/// A job's request for offers, as sent to all participants except for `OfferRequest::preempt`.
struct RoundRequest {
    request: OfferRequest,
    /// Selects the participant that may preempt for the job, modulo the number of shards; advances
    /// with each refusal. `None`: no participant may preempt.
    preemption_turn: Option<u32>,
}

impl RoundRequest {
    /// Returns the request as sent to one participant. Only one participant at a time may preempt
    /// for the job: three at once would stop three times as much work as needed.
    fn for_participant(&self, participant: Shard, shards: usize) -> OfferRequest {
        let is_turn = |turn: u32| turn as usize % shards == participant.0 as usize;
        OfferRequest { preempt: self.preemption_turn.is_some_and(is_turn), ..self.request.clone() }
    }
}

/// Returns how many of a job's tasks its team's quota admits; all tasks if the team has no quota.
fn admitted_tasks(ctx: &Context, admitted: &HashMap<JobId, Admitted>, job: &Job) -> Admitted {
    match ctx.quota_use(job) {
        Some(_) => admitted.get(&job.id).copied().unwrap_or_default(),
        None => Admitted::all(job.pending()),
    }
}

/// Returns for how many tasks of a job to request offers if `left` of the round's `max` tasks are
/// left. `None`: the job is a gang with more tasks than are left.
fn requested_count(job: &Job, admitted: Admitted, max: u32, left: u32) -> Option<u32> {
    if job.spec.kind == JobKind::Gang {
        return (job.pending() <= left).then(|| job.pending());
    }
    // The tasks that the grant covers; if none, those that it would cover after lower-priority work
    // of the team was preempted.
    let admitted_count = if admitted.now > 0 { admitted.now } else { admitted.after_preemption };
    // A single job must not fill the round: other jobs may fit where this one does not.
    let count = admitted_count.min(left).min(max / 3 + 1);
    let max_count = if job.failure_suspicion.is_suspected() { 1 } else { u32::MAX };
    Some(count.min(max_count))
}

fn build_request(ctx: &Context, job: &Job, admitted: Admitted, count: u32) -> RoundRequest {
    let is_covered = admitted.now > 0;
    let may_preempt =
        job.spec.priority > Priority::Low && !job.failure_suspicion.is_suspected() && is_covered;
    let queue_position = job.queue_position(ctx.now).map(|position| QueuePosition {
        blocks_gangs_behind: position.blocks_gangs_behind && is_covered,
        ..position
    });
    RoundRequest {
        request: OfferRequest {
            job: job.id.0,
            shape: job.shape.wire.clone(),
            count,
            max_per_zone: job.max_per_zone(&ctx.names.zones),
            preempt: false,
            urgent: job.is_urgent(ctx.now),
            may_use_gpu_machines: job.may_use_gpu_machines(ctx.now),
            queue_position,
        },
        preemption_turn: job.preemption_turn.filter(|_| may_preempt),
    }
}

impl Coordinator {
    /// Requests offers for the jobs that rank first, if no round is in progress and the write
    /// budget allows a decision.
    pub fn start_round(&mut self, ctx: &mut Context) {
        if !self.can_start_round(ctx) {
            return;
        }
        let admitted = self.admitted(ctx);
        let jobs = self.jobs_in_order(ctx, &admitted);
        let requests = self.build_requests(ctx, &admitted, &jobs);
        if requests.is_empty() {
            return;
        }
        self.request_offers(ctx, &requests);
        self.check_negotiation(ctx);
    }

    fn can_start_round(&self, ctx: &mut Context) -> bool {
        self.is_ready()
            && self.negotiation.is_none()
            && self.pending_decision.is_none()
            && !self.is_relinquishing
            && ctx.lease_valid
            && !self.unplaced_jobs.is_empty()
            // While the write budget is exhausted, further jobs gather for a larger round.
            && ctx.budget.available(WriteClass::Decision) > 0
    }

    /// Returns the jobs that may have a task placed now, in the order of their rank.
    fn jobs_in_order(&mut self, ctx: &Context, admitted: &HashMap<JobId, Admitted>) -> Vec<JobId> {
        let now = ctx.now;
        let jobs = &self.jobs;
        let unplaced = |job: &Job| !job.cancelled && job.pending() > 0;
        self.unplaced_jobs.retain(|id| jobs.get(id).is_some_and(unplaced));
        debug_assert!(
            jobs.values().all(|job| !unplaced(job) || self.unplaced_jobs.contains(&job.id)),
            "a job with tasks to place is missing from unplaced_jobs"
        );
        let mut ranks: Vec<_> = self
            .unplaced_jobs
            .iter()
            .filter_map(|id| jobs.get(id))
            .filter(|job| job.termination.status.is_none() && job.not_before <= now)
            .filter(|job| job.may_start())
            .filter(|job| admitted_tasks(ctx, admitted, job).after_preemption > 0)
            .map(|job| QueueRank::of(job, now))
            .collect();
        if ranks.len() > MAX_REQUESTS_PER_ROUND {
            ranks.select_nth_unstable(MAX_REQUESTS_PER_ROUND);
            ranks.truncate(MAX_REQUESTS_PER_ROUND);
        }
        ranks.sort_unstable();
        ranks.into_iter().map(|rank| rank.job).collect()
    }

    /// Returns the requests for these jobs, in the same order, up to the maximum number of tasks in
    /// a round.
    fn build_requests(
        &self,
        ctx: &Context,
        admitted: &HashMap<JobId, Admitted>,
        jobs: &[JobId],
    ) -> Vec<RoundRequest> {
        let max = ctx.config.max_placements as u32;
        let mut total = 0;
        let mut requests = Vec::new();
        for id in jobs {
            let job = &self.jobs[id];
            let admitted = admitted_tasks(ctx, admitted, job);
            let Some(count) = requested_count(job, admitted, max, max - total) else {
                continue;
            };
            if count == 0 {
                break;
            }
            total += count;
            requests.push(build_request(ctx, job, admitted, count));
        }
        requests
    }

    /// Sends the requests to all reachable participants, and opens the negotiation.
    fn request_offers(&mut self, ctx: &mut Context, requests: &[RoundRequest]) {
        let id = self.next_negotiation_id();
        let gpu_work = self.gpu_work.kinds(ctx.now, self.jobs.values());
        let shards = ctx.shards().count();
        // A participant without a reachable owner would only delay the round until its timeout.
        let participants: Vec<Shard> =
            ctx.shards().filter(|shard| ctx.is_reachable(*shard)).collect();
        for &participant in &participants {
            let items = requests.iter().map(|r| r.for_participant(participant, shards)).collect();
            let gpu_work = gpu_work.clone();
            let message = ShardMessage::RequestOffers { negotiation: id.0, items, gpu_work };
            ctx.send(self.shard, participant, message);
        }
        let requested = requests
            .iter()
            .map(|r| RequestedJob { job: JobId(r.request.job), count: r.request.count });
        self.negotiation = Some(NegotiationState {
            id,
            requested: requested.collect(),
            unanswered: participants.iter().copied().collect(),
            participants,
            offers: Vec::new(),
            preempting: BTreeSet::new(),
            started_at: ctx.now,
        });
    }

    fn next_negotiation_id(&mut self) -> NegotiationId {
        self.last_negotiation += 1;
        NegotiationId((self.epoch.0 << 24) | self.last_negotiation)
    }

    /// Collects a participant's offers. If its answer comes too late, tells the participant that
    /// the negotiation is closed.
    pub(super) fn receive_offers(
        &mut self,
        ctx: &mut Context,
        participant: Shard,
        negotiation: u64,
        offers: Vec<Offer>,
        preempting: Vec<u16>,
    ) {
        let open = self.negotiation.as_mut();
        let is_awaited = open.is_some_and(|open| open.take_answer(negotiation, participant));
        match self.negotiation.as_mut().filter(|_| is_awaited) {
            Some(open) => open.add_offers(participant, offers, preempting),
            None => self.answer_decision(ctx, participant, negotiation),
        }
        self.check_negotiation(ctx);
    }

    /// Tells a participant that a negotiation is closed, unless the negotiation is open or its
    /// decision is being written.
    pub(super) fn answer_decision(
        &mut self,
        ctx: &mut Context,
        participant: Shard,
        negotiation: u64,
    ) {
        let collecting = self.negotiation.as_ref().map(|open| open.id);
        let deciding = self.pending_decision.as_ref().map(|decision| decision.negotiation);
        let is_open = [collecting, deciding].contains(&Some(NegotiationId(negotiation)));
        if !is_open {
            let message = ShardMessage::CloseNegotiation { negotiation };
            ctx.send(self.shard, participant, message);
        }
    }

    /// Ends the collection of offers once all reachable participants have answered or the timeout
    /// has passed.
    pub(super) fn check_negotiation(&mut self, ctx: &mut Context) {
        let Some(open) = &mut self.negotiation else { return };
        open.unanswered.retain(|shard| ctx.is_reachable(*shard));
        if open.unanswered.is_empty() || ctx.now >= open.started_at + OFFER_TIMEOUT_MS {
            self.decide(ctx);
        }
    }
}
