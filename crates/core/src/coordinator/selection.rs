//! Selects among the offers of a negotiation: job by job in the order of the request, within the
//! quotas of teams and the zone rules of jobs, with replicas on different machines and gangs placed
//! as a whole.
use super::negotiation::{NegotiationState, ReceivedOffer, SelectedOffer};
use super::Coordinator;
use crate::context::Context;
use crate::guards::{is_enforced, Guard};
use crate::ids::{JobId, Timestamp};
use crate::jobs::{Job, RequestOutcome};
use crate::quota::admission::QuotaStatus;
use leaddeal_wire::user::JobKind;
use std::collections::{BTreeMap, BTreeSet};

/// Delay before a job is requested again for which there was capacity but no quota.
const QUOTA_RETRY_INTERVAL_MS: u64 = 400;

/// A job for which machines have capacity, but which its team's quota does not cover.
struct QuotaLimitedJob {
    job: JobId,
    team: u8,
    /// Number of tasks for which capacity was offered.
    tasks: u32,
}

/// The offers for one job, the best first.
struct JobOffers(Vec<ReceivedOffer>);

impl JobOffers {
    /// Sorts the offers: machines with a cached image come first, then those with a higher score.
    fn new(mut offers: Vec<ReceivedOffer>) -> JobOffers {
        offers.sort_by_key(|received| (!received.offer.has_image, -received.offer.score));
        JobOffers(offers)
    }

    /// Returns for how many tasks capacity is offered, in all zones together.
    fn count(&self) -> u32 {
        self.0.iter().map(|received| received.offer.count).sum()
    }

    /// Returns for how many tasks capacity is offered, by zone.
    fn count_by_zone(&self, zones: usize) -> Vec<u32> {
        let mut counts = vec![0u32; zones];
        for ReceivedOffer { offer, .. } in &self.0 {
            if let Some(count) = counts.get_mut(offer.zone as usize) {
                *count = count.saturating_add(offer.count);
            }
        }
        counts
    }

    /// Takes offers for at most `wanted` tasks, with at most `max_per_zone[zone]` tasks in each
    /// zone. Goes round the offers and takes at most `max_per_pass` tasks of each in a pass.
    fn take(
        &mut self,
        wanted: u32,
        mut max_per_zone: Vec<u32>,
        max_per_pass: u32,
    ) -> Vec<ReceivedOffer> {
        let mut taken = Vec::new();
        let mut progress = true;
        while progress && (taken.len() as u32) < wanted {
            progress = false;
            for received in &mut self.0 {
                let offer = &mut received.offer;
                let Some(zone_left) = max_per_zone.get_mut(offer.zone as usize) else {
                    continue;
                };
                let left = wanted - taken.len() as u32;
                let count = offer.count.min(*zone_left).min(max_per_pass).min(left);
                offer.count -= count;
                *zone_left -= count;
                taken.extend((0..count).map(|_| received.clone()));
                progress |= count > 0;
            }
        }
        taken
    }
}

/// Returns how many tasks of a job each zone may take. For a job that must stay in one zone, all
/// but the zone that can take the most tasks are set to 0.
fn restrict_to_one_zone(job: &Job, max_per_zone: &[u32], offered: &[u32]) -> Vec<u32> {
    if !job.spec.one_zone {
        return max_per_zone.to_vec();
    }
    let best = (0..offered.len()).max_by_key(|&zone| offered[zone].min(max_per_zone[zone]));
    let keep = |(zone, &limit): (usize, &u32)| if Some(zone) == best { limit } else { 0 };
    max_per_zone.iter().enumerate().map(keep).collect()
}

/// The selection of one round in progress.
struct Selection {
    now: Timestamp,
    /// By item of the request.
    offers: Vec<Vec<ReceivedOffer>>,
    /// Items for which a participant is freeing capacity by preemption.
    preempting: BTreeSet<u16>,
    /// By team, for the teams with a quota whose grant is known. Selected tasks count as used.
    quotas: BTreeMap<u8, QuotaStatus>,
    selected: Vec<SelectedOffer>,
    quota_limited: Vec<QuotaLimitedJob>,
}

impl Selection {
    fn new(
        now: Timestamp,
        negotiation: NegotiationState,
        quotas: BTreeMap<u8, QuotaStatus>,
    ) -> Selection {
        let mut offers = vec![Vec::new(); negotiation.requested.len()];
        for received in negotiation.offers.into_iter().filter(|r| r.offer.count > 0) {
            if let Some(of_item) = offers.get_mut(received.offer.item as usize) {
                of_item.push(received);
            }
        }
        Selection {
            now,
            offers,
            preempting: negotiation.preempting,
            quotas,
            selected: Vec::new(),
            quota_limited: Vec::new(),
        }
    }

    /// Selects offers for the tasks of one job, as far as there are enough.
    fn select(&mut self, ctx: &Context, item: usize, requested: u32, job: &mut Job) {
        if self.is_preempting(item) {
            job.preemption_reported_at = Some(self.now);
        }
        let mut offers = JobOffers::new(std::mem::take(&mut self.offers[item]));
        let wanted = requested.min(job.pending());
        let Some(wanted) = self.within_quota(ctx, job, &offers, wanted) else {
            return;
        };
        let max_per_zone = job.max_per_zone(&ctx.names.zones);
        let offered = offers.count_by_zone(max_per_zone.len());
        // Spreads the replicas of a service over as many machines as possible.
        let max_per_pass = if job.spec.kind == JobKind::Service { 1 } else { u32::MAX };
        let taken =
            offers.take(wanted, restrict_to_one_zone(job, &max_per_zone, &offered), max_per_pass);
        let is_whole = job.spec.kind != JobKind::Gang || taken.len() as u32 == job.pending();
        if taken.is_empty() || !is_whole {
            self.refuse(item, job, &offered, &max_per_zone);
        } else {
            self.accept(ctx, item, job, wanted, taken);
        }
    }

    /// Whether a participant is freeing capacity for the item by preemption.
    fn is_preempting(&self, item: usize) -> bool {
        self.preempting.contains(&(item as u16))
    }

    /// Returns how many of the wanted tasks the team's quota covers. `None`: the job gets nothing
    /// in this round, since the grant is not known, or since there is capacity for the next task or
    /// the whole gang but the grant does not cover it.
    fn within_quota(
        &mut self,
        ctx: &Context,
        job: &mut Job,
        offers: &JobOffers,
        wanted: u32,
    ) -> Option<u32> {
        let Some(quota) = ctx.quota_use(job) else {
            return Some(wanted);
        };
        // Without a known grant the job stays pending; the quota manager will answer soon.
        let free = self.quotas.get(&quota.team)?.free();
        let fits = free.fit_count(quota.amount).min(u64::from(wanted)) as u32;
        let covered = if is_enforced(Guard::DecisionWithinGrant) { fits } else { wanted };
        let offered = offers.count().min(wanted);
        let is_limited = match job.spec.kind {
            JobKind::Gang => covered < wanted && offered == wanted,
            _ => covered == 0,
        };
        if offered == 0 || !is_limited {
            return Some(covered);
        }
        job.reset_backoff();
        job.last_request_outcome = Some(RequestOutcome::QuotaExceeded);
        job.preemption_turn = None;
        job.not_before = self.now + QUOTA_RETRY_INTERVAL_MS;
        let limited = QuotaLimitedJob { job: job.id, team: quota.team, tasks: offered };
        self.quota_limited.push(limited);
        None
    }

    /// Records that there was no capacity for a job, or not enough for a gang.
    fn refuse(&self, item: usize, job: &mut Job, offered: &[u32], max_per_zone: &[u32]) {
        let has_offers = offered.iter().any(|&count| count > 0);
        job.last_request_outcome = Some(match has_offers {
            true => RequestOutcome::GangIncomplete,
            false => RequestOutcome::NoOffer,
        });
        let is_timed_retry = job.record_unmet_demand(self.now);
        job.choose_target_zone(offered, max_per_zone);
        // A participant that is already preempting keeps its turn; otherwise the next one gets it.
        let step = u32::from(is_timed_retry && !self.is_preempting(item));
        job.preemption_turn = Some(job.preemption_turn.map_or(0, |turn| turn + step));
    }

    /// Assigns the offers that were taken to the next tasks of the job.
    fn accept(
        &mut self,
        ctx: &Context,
        item: usize,
        job: &mut Job,
        wanted: u32,
        taken: Vec<ReceivedOffer>,
    ) {
        let count = taken.len() as u32;
        if let Some(quota) = ctx.quota_use(job) {
            if let Some(status) = self.quotas.get_mut(&quota.team) {
                let used = &mut status.used[job.spec.priority as usize];
                *used = used.plus(quota.amount.times(count));
            }
        }
        job.reset_backoff();
        job.last_request_outcome = None;
        let step = u32::from(!self.is_preempting(item));
        job.preemption_turn =
            (count < wanted).then(|| job.preemption_turn.map_or(0, |turn| turn + step));
        for ReceivedOffer { participant, offer } in taken {
            let Some(task) = job.take_task() else { break };
            self.selected.push(SelectedOffer { job: job.id, task, participant, offer });
        }
    }
}

impl Coordinator {
    /// Ends the collection of offers: selects among them and writes the decision, or closes the
    /// negotiation if nothing was selected.
    pub(super) fn decide(&mut self, ctx: &mut Context) {
        let Some(negotiation) = self.negotiation.take() else { return };
        let (id, holders) = (negotiation.id, negotiation.holders());
        let requested = negotiation.requested.clone();
        let mut selection = Selection::new(ctx.now, negotiation, self.quota_statuses(ctx));
        for (item, request) in requested.iter().enumerate() {
            let job = self.jobs.get_mut(&request.job);
            if let Some(job) = job.filter(|job| !job.cancelled && job.termination.status.is_none())
            {
                selection.select(ctx, item, request.count, job);
            }
        }
        for limited in &selection.quota_limited {
            if let Some(status) = selection.quotas.get(&limited.team) {
                self.preempt_within_team(ctx, limited.job, limited.tasks, status);
            }
        }
        if selection.selected.is_empty() {
            self.close_negotiation(ctx, id, &holders);
        } else {
            self.begin_decision(ctx, id, holders, selection.selected);
        }
    }
}
