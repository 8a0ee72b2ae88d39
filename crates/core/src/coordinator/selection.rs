//! Chooses among the offers of a negotiation: job by job in the order of the request, within the
//! limits of teams and zones, replicas on different machines, gangs whole.
use super::negotiation::{NegotiationState, ReceivedOffer, SelectedOffer};
use super::Coordinator;
use crate::context::Context;
use crate::guards::{holds, Guard};
use crate::ids::{JobId, Timestamp};
use crate::jobs::{Job, RequestOutcome};
use crate::quota::admission::QuotaStatus;
use leaddeal_wire::user::JobKind;
use std::collections::{BTreeMap, BTreeSet};

/// A job that has found room, but is held back by its team's limit, asks again after this time.
const QUOTA_RETRY_INTERVAL_MS: u64 = 400;

/// A job that machines have room for, and its team's limit has not.
struct QuotaLimitedJob {
    job: JobId,
    team: u8,
    /// Tasks that have found room.
    tasks: u32,
}

/// The offers for one job, the best first.
struct JobOffers(Vec<ReceivedOffer>);

impl JobOffers {
    /// Those with the image cached come first, then those with the higher score.
    fn new(mut offers: Vec<ReceivedOffer>) -> JobOffers {
        offers.sort_by_key(|received| (!received.offer.has_image, -received.offer.score));
        JobOffers(offers)
    }

    /// Tasks that room is offered for, in all zones.
    fn count(&self) -> u32 {
        self.0.iter().map(|received| received.offer.count).sum()
    }

    /// Tasks that room is offered for, by zone.
    fn count_by_zone(&self, zones: usize) -> Vec<u32> {
        let mut counts = vec![0u32; zones];
        for ReceivedOffer { offer, .. } in &self.0 {
            if let Some(count) = counts.get_mut(offer.zone as usize) {
                *count = count.saturating_add(offer.count);
            }
        }
        counts
    }

    /// Takes offers for at most `wanted` tasks, each zone's within what is left in `max_per_zone`, and in
    /// each turn through the offers at most `max_per_turn` of each machine.
    fn take(
        &mut self,
        wanted: u32,
        mut max_per_zone: Vec<u32>,
        max_per_turn: u32,
    ) -> Vec<ReceivedOffer> {
        let mut taken = Vec::new();
        let mut progress = true;
        while progress && (taken.len() as u32) < wanted {
            progress = false;
            for received in &mut self.0 {
                let offer = &mut received.offer;
                let Some(room) = max_per_zone.get_mut(offer.zone as usize) else {
                    continue;
                };
                let left = wanted - taken.len() as u32;
                let count = offer.count.min(*room).min(max_per_turn).min(left);
                offer.count -= count;
                *room -= count;
                taken.extend((0..count).map(|_| received.clone()));
                progress |= count > 0;
            }
        }
        taken
    }
}

/// What each zone may take of a job: all of it in one zone if it has to be, the one that takes the most.
fn restrict_to_one_zone(job: &Job, room: &[u32], offered: &[u32]) -> Vec<u32> {
    if !job.wire.one_zone {
        return room.to_vec();
    }
    let best = (0..offered.len()).max_by_key(|&zone| offered[zone].min(room[zone]));
    let keep = |(zone, &room): (usize, &u32)| if Some(zone) == best { room } else { 0 };
    room.iter().enumerate().map(keep).collect()
}

/// The choice of one round, as far as it is made.
struct Selection {
    now: Timestamp,
    /// By item of the request.
    offers: Vec<Vec<ReceivedOffer>>,
    preempting: BTreeSet<u16>,
    /// Of the teams with a limit whose grants are known; what is selected counts as used.
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

    /// Selects offers for the tasks of one job, or none.
    fn select(&mut self, ctx: &Context, item: usize, requested: u32, job: &mut Job) {
        if self.is_preempting(item) {
            job.preempting_at = Some(self.now);
        }
        let mut offers = JobOffers::new(std::mem::take(&mut self.offers[item]));
        let wanted = requested.min(job.pending());
        let Some(wanted) = self.within_quota(ctx, job, &offers, wanted) else {
            return;
        };
        let room = job.max_per_zone(&ctx.names.zones);
        let offered = offers.count_by_zone(room.len());
        // Replicas of a service go to different machines where they can.
        let max_per_turn = if job.wire.kind == JobKind::Service { 1 } else { u32::MAX };
        let taken = offers.take(wanted, restrict_to_one_zone(job, &room, &offered), max_per_turn);
        let whole = job.wire.kind != JobKind::Gang || taken.len() as u32 == job.pending();
        if taken.is_empty() || !whole {
            self.refuse(item, job, &offered, &room);
        } else {
            self.accept(ctx, item, job, wanted, taken);
        }
    }

    /// Whether a participant is making room for the item.
    fn is_preempting(&self, item: usize) -> bool {
        self.preempting.contains(&(item as u16))
    }

    /// How many of the wanted tasks the team's limit lets in. None: the job gets nothing in this round,
    /// since the grant is not known, or covers none of the tasks that have found room.
    fn within_quota(
        &mut self,
        ctx: &Context,
        job: &mut Job,
        offers: &JobOffers,
        wanted: u32,
    ) -> Option<u32> {
        let Some(quota) = ctx.team_use(job) else {
            return Some(wanted);
        };
        // What is granted is not known just now: it soon is.
        let free = self.quotas.get(&quota.team)?.free();
        let fits = free.fit_count(quota.amount).min(u64::from(wanted)) as u32;
        let covered = if holds(Guard::GrantKept) { fits } else { wanted };
        let found_room = offers.count().min(wanted);
        let is_limited = match job.wire.kind {
            JobKind::Gang => covered < wanted && found_room == wanted,
            _ => covered == 0,
        };
        if found_room == 0 || !is_limited {
            return Some(covered);
        }
        job.reset_backoff();
        job.last_request = Some(RequestOutcome::QuotaExceeded);
        job.preemption_turn = None;
        job.not_before = self.now + QUOTA_RETRY_INTERVAL_MS;
        let limited = QuotaLimitedJob { job: job.id, team: quota.team, tasks: found_room };
        self.quota_limited.push(limited);
        None
    }

    /// The job has found no room, or a gang not enough.
    fn refuse(&self, item: usize, job: &mut Job, offered: &[u32], room: &[u32]) {
        let found_some = offered.iter().any(|&count| count > 0);
        job.last_request = Some(match found_some {
            true => RequestOutcome::GangIncomplete,
            false => RequestOutcome::NoOffer,
        });
        let tried = job.record_unmet_demand(self.now);
        job.choose_target_zone(offered, room);
        // A participant that is making room keeps its turn; else it is the next one's.
        let step = u32::from(tried && !self.is_preempting(item));
        job.preemption_turn = Some(job.preemption_turn.map_or(0, |turn| turn + step));
    }

    /// The job's next tasks get the offers that were taken.
    fn accept(
        &mut self,
        ctx: &Context,
        item: usize,
        job: &mut Job,
        wanted: u32,
        taken: Vec<ReceivedOffer>,
    ) {
        let count = taken.len() as u32;
        if let Some(quota) = ctx.team_use(job) {
            if let Some(status) = self.quotas.get_mut(&quota.team) {
                let used = &mut status.used[job.wire.priority as usize];
                *used = used.plus(quota.amount.times(count));
            }
        }
        job.reset_backoff();
        job.last_request = None;
        let step = u32::from(!self.is_preempting(item));
        job.preemption_turn =
            (count < wanted).then(|| job.preemption_turn.map_or(0, |turn| turn + step));
        for ReceivedOffer { participant, offer } in taken {
            let Some(task) = job.take() else { break };
            self.selected.push(SelectedOffer { job: job.id, task, participant, offer });
        }
    }
}

impl Coordinator {
    /// Ends the collection of offers: selects among them and writes the decision, or closes the
    /// negotiation if there is nothing to decide.
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
