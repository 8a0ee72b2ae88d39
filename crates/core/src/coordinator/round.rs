//! A round: ask all participants for offers, write the choice under the epoch, then say yes and no.
use super::queue_rank::QueueRank;
use super::{
    Coordinator, GpuWork, NegotiationState, Ownership, PendingDecision, SelectedOffer, Yes,
    GPU_KINDS, GPU_WORK_MS, ITEMS, OFFERS_MS,
};
use crate::budget::WriteClass;
use crate::context::{Context, Operation};
use crate::guards::{holds, Guard};
use crate::ids::{Attempt, Epoch, JobId, Negotiation, Shard, Timestamp, ZoneIdx};
use crate::io::StoreResult;
use crate::jobs::Job;
use crate::keys;
use crate::placed::Placement;
use crate::quota::admission::{Admitted, QuotaStatus};
use crate::quota::shard_of_team;
use crate::stored::{DecisionRecord, PlacementRecord, QuotaUse};
use crate::writes::WriteOutcome;
use leaddeal_wire::mesh::{
    Assignment, Offer, OfferRequest, QueuePosition, QuotaAmount, ShardMessage, TaskPhase,
};
use leaddeal_wire::state::{Change, Condition};
use leaddeal_wire::user::{self, Kind};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A job that has found room, but not its team's limit, asks again after this time.
const CAPPED_MS: u64 = 400;

/// How many of a job's tasks its team's limit lets in; of a team without one, all.
fn may_run(ctx: &Context, admitted: &HashMap<JobId, Admitted>, j: &Job) -> Admitted {
    match ctx.team_use(j) {
        Some(_) => admitted.get(&j.id).copied().unwrap_or_default(),
        None => Admitted::all(j.pending()),
    }
}

impl Coordinator {
    /// Jobs that may have a task placed now, the most important first.
    pub(super) fn order(
        &mut self,
        ctx: &Context,
        admitted: &HashMap<JobId, Admitted>,
    ) -> Vec<JobId> {
        let now = ctx.now;
        let jobs = &self.jobs;
        self.pending.retain(|id| jobs.get(id).is_some_and(|j| !j.cancelled && j.pending() > 0));
        debug_assert!(
            jobs.values().all(|j| j.cancelled || j.pending() == 0 || self.pending.contains(&j.id)),
            "a job that wants tasks placed is not looked at"
        );
        let mut v: Vec<_> = self
            .pending
            .iter()
            .filter_map(|id| jobs.get(id))
            .filter(|j| j.termination.status.is_none() && j.not_before <= now)
            .filter(|j| j.may_start())
            .filter(|j| may_run(ctx, admitted, j).in_turn > 0)
            .map(|j| QueueRank::of(j, now))
            .collect();
        if v.len() > ITEMS {
            v.select_nth_unstable(ITEMS);
            v.truncate(ITEMS);
        }
        v.sort_unstable();
        v.into_iter().map(|rank| rank.job).collect()
    }

    pub fn start_round(&mut self, ctx: &mut Context) {
        if !self.ready()
            || self.talk.is_some()
            || self.writing.is_some()
            || self.leaving
            || !ctx.valid
        {
            return;
        }
        // What waits for the next change that may be written makes for a larger round.
        if self.pending.is_empty() || ctx.budget.room(WriteClass::Decision) == 0 {
            return;
        }
        let admitted = self.admitted(ctx);
        let ids = self.order(ctx, &admitted);
        if ids.is_empty() {
            return;
        }
        let mut items = Vec::new();
        let mut wanted = Vec::new();
        let mut turns = Vec::new();
        let most = ctx.config.max_picks as u32;
        let mut total = 0;
        for id in ids {
            let j = &self.jobs[&id];
            let zone_room = j.zone_room(&ctx.names.zones);
            // No job takes the whole round: others may fit where it does not.
            let admitted = may_run(ctx, &admitted, j);
            // What the grant covers; else what would be let in if lesser work of the team gave way.
            let covered = admitted.now > 0;
            let may = if covered { admitted.now } else { admitted.in_turn };
            let mut count = may.min(most - total).min(most / 3 + 1);
            if j.failure_suspicion.is_suspected() {
                count = count.min(1);
            }
            if j.wire.kind == Kind::Gang {
                if j.pending() > most - total {
                    continue;
                }
                count = j.pending();
            }
            if count == 0 {
                break;
            }
            total += count;
            items.push((id, count));
            let makes_room = j.wire.priority > user::Priority::Low
                && !j.failure_suspicion.is_suspected()
                && covered;
            turns.push(j.preemption_turn.filter(|_| makes_room));
            wanted.push(OfferRequest {
                job: id.0,
                shape: j.shape.wire.clone(),
                count,
                zone_room,
                preempt: false,
                urgent: j.is_urgent(ctx.now),
                may_use_gpu_machines: j.may_use_gpu_machines(ctx.now),
                queue_position: j
                    .queue_position(ctx.now)
                    .map(|l| QueuePosition { holds_position: l.holds_position && covered, ..l }),
            });
        }
        if items.is_empty() {
            return;
        }
        self.next_talk += 1;
        let id = Negotiation((self.epoch.0 << 24) | self.next_talk);
        let gpu_work = self.gpu_work(ctx.now);
        // A shard known to be vacant is not waited for.
        let asked: Vec<Shard> = ctx.shards().filter(|s| ctx.reachable(*s)).collect();
        for &s in &asked {
            // Room is made by one participant at a time, so that three do not stop thrice as much.
            let mut items = wanted.clone();
            for (w, turn) in items.iter_mut().zip(&turns) {
                w.preempt = turn.is_some_and(|t| t as usize % ctx.shards().count() == s.0 as usize);
            }
            let gpu_work = gpu_work.clone();
            let msg = ShardMessage::RequestOffers { negotiation: id.0, items, gpu_work };
            ctx.send(self.shard, s, msg);
        }
        self.talk = Some(NegotiationState {
            id,
            items,
            waiting: asked.iter().copied().collect(),
            asked,
            offers: Vec::new(),
            preempting: BTreeSet::new(),
            started: ctx.now,
        });
        self.check_talk(ctx);
    }

    /// The kinds of GPU work there are, so that participants keep services from spoiling its machines
    /// before it gets its turn to be asked for.
    fn gpu_work(&mut self, now: Timestamp) -> Vec<GpuWork> {
        if now < self.gpu_work.0 {
            return self.gpu_work.1.clone();
        }
        let live = self.jobs.values().filter(|j| !j.cancelled && j.shape.need.gpu > 0);
        let kinds = live.map(|j| {
            let n = j.shape.need;
            (n.cpu, n.gpu, n.mem, j.wire.priority)
        });
        let kinds = kinds.collect::<BTreeSet<_>>().into_iter().take(GPU_KINDS).collect();
        self.gpu_work = (now + GPU_WORK_MS, kinds);
        self.gpu_work.1.clone()
    }

    pub(super) fn check_talk(&mut self, ctx: &mut Context) {
        let Some(t) = &mut self.talk else { return };
        t.waiting.retain(|s| ctx.reachable(*s));
        if t.waiting.is_empty() || ctx.now >= t.started + OFFERS_MS {
            self.decide(ctx);
        }
    }

    pub(super) fn decide(&mut self, ctx: &mut Context) {
        let Some(mut talk) = self.talk.take() else { return };
        // Who answered and offered nothing holds nothing, and needs no word of the end.
        let offered: BTreeSet<Shard> = talk.offers.iter().map(|o| o.0).collect();
        talk.asked.retain(|s| talk.waiting.contains(s) || offered.contains(s));
        let now = ctx.now;
        let mut choices: Vec<SelectedOffer> = Vec::new();
        let mut offers = talk.offers;
        let mut standings = self.quota_statuses(ctx);
        let mut ways = Vec::new();
        for (i, &(id, count)) in talk.items.iter().enumerate() {
            let Some(j) = self.jobs.get_mut(&id) else {
                continue;
            };
            if j.cancelled || j.termination.status.is_some() {
                continue;
            }
            if talk.preempting.contains(&(i as u16)) {
                j.preempting_at = Some(now);
            }
            let mut room = j.zone_room(&ctx.names.zones);
            let mut mine: Vec<&mut (Shard, Offer)> =
                offers.iter_mut().filter(|o| o.1.item as usize == i && o.1.count > 0).collect();
            mine.sort_by_key(|o| (!o.1.cached, -o.1.score));
            let mut want = count.min(j.pending());
            if let Some((team, cpu, gpu)) = ctx.team_use(j) {
                // What is granted is not known just now: it soon is.
                let Some(free) = standings.get(&team).map(QuotaStatus::free) else { continue };
                let fits = free.fits(QuotaAmount { cpu, gpu });
                let n =
                    if holds(Guard::GrantKept) { fits.min(u64::from(want)) as u32 } else { want };
                let offered: u32 = mine.iter().map(|o| o.1.count).sum();
                let whole = j.wire.kind == Kind::Gang;
                let most = offered.min(want);
                if most > 0 && if whole { n < want && most == want } else { n == 0 } {
                    // It has found room, and waits for its team's limit alone.
                    j.reset_backoff();
                    j.preemption_turn = None;
                    j.not_before = now + CAPPED_MS;
                    ways.push((id, team, most));
                    continue;
                }
                want = n;
            }
            let mut per = vec![0u32; room.len()];
            for o in &mine {
                if let Some(p) = per.get_mut(o.1.zone as usize) {
                    *p = p.saturating_add(o.1.count);
                }
            }
            let open = room.clone();
            if j.wire.one_zone {
                // All in one zone: the one that holds the most of it, if no task is in one yet.
                let best = (0..per.len()).max_by_key(|&z| per[z].min(room[z]));
                for (z, r) in room.iter_mut().enumerate() {
                    if Some(z) != best {
                        *r = 0;
                    }
                }
            }
            let mut picks: Vec<(Shard, Offer)> = Vec::new();
            // Replicas of a service go to different machines where they can.
            let each = if j.wire.kind == Kind::Service { 1 } else { u32::MAX };
            let mut progress = true;
            while progress && (picks.len() as u32) < want {
                progress = false;
                for o in &mut mine {
                    let Some(r) = room.get_mut(o.1.zone as usize) else {
                        continue;
                    };
                    let n = o.1.count.min(*r).min(each).min(want - picks.len() as u32);
                    for _ in 0..n {
                        picks.push((o.0, o.1.clone()));
                    }
                    o.1.count -= n;
                    *r -= n;
                    progress |= n > 0;
                }
            }
            let whole = j.wire.kind != Kind::Gang || picks.len() as u32 == j.pending();
            if picks.is_empty() || !whole {
                let tried = j.record_unmet_demand(now);
                j.choose_target_zone(&per, &open);
                // Whoever is making room is asked on; else it is the next one's turn.
                let step = u32::from(tried && !talk.preempting.contains(&(i as u16)));
                j.preemption_turn = Some(j.preemption_turn.map_or(0, |t| t + step));
                continue;
            }
            if let Some((team, cpu, gpu)) = ctx.team_use(j) {
                if let Some(s) = standings.get_mut(&team) {
                    let used = &mut s.used[j.wire.priority as usize];
                    *used = used.plus(QuotaAmount { cpu, gpu }.times(picks.len() as u32));
                }
            }
            j.reset_backoff();
            let short = (picks.len() as u32) < want;
            let step = u32::from(!talk.preempting.contains(&(i as u16)));
            j.preemption_turn = short.then(|| j.preemption_turn.map_or(0, |t| t + step));
            for (shard, offer) in picks {
                let Some(task) = j.take() else { break };
                choices.push(SelectedOffer { job: id, task, shard, offer });
            }
        }
        for (id, team, tasks) in ways {
            if let Some(standing) = standings.get(&team) {
                self.preempt_within_team(ctx, id, tasks, standing);
            }
        }
        if choices.is_empty() {
            self.close(ctx, talk.id, &talk.asked);
            return;
        }
        let round = self.next_round_id();
        let of = if holds(Guard::AttemptEpoch) { self.epoch } else { Epoch(0) };
        let attempt = Attempt::new(of, round);
        let (shard, epoch) = (self.shard, self.epoch);
        let slot = self.rounds.record(|| keys::decision_key(shard, epoch, round));
        self.picked = (self.picked.0 + choices.len() as u64, self.picked.1 + 1);
        let placements =
            choices
                .iter()
                .map(|choice| PlacementRecord {
                    job: choice.job,
                    task: choice.task,
                    machine: &choice.offer.machine,
                    incarnation: choice.offer.incarnation,
                    zone: ZoneIdx(choice.offer.zone),
                    quota: self.jobs.get(&choice.job).and_then(|j| ctx.team_use(j)).map(
                        |(team, cpu, gpu)| QuotaUse { team, amount: QuotaAmount { cpu, gpu } },
                    ),
                })
                .collect();
        let value = DecisionRecord { attempt: attempt.0, placements }.encode();
        let put = Change::Put { key: slot.key.clone(), value, lease: None };
        let mut write = self.write(WriteClass::Decision, vec![put]);
        if holds(Guard::DecisionVersion) {
            write = write.creating(slot.key.clone(), slot.version);
        }
        // A grant of a team's shard ends with the owner that gave it.
        for (team, g) in &self.quota.grants {
            let used = choices.iter().any(|c| {
                let t = self.jobs.get(&c.job).and_then(|j| ctx.team_use(j));
                t.is_some_and(|t| t.0 == *team)
            });
            let cond = Condition {
                key: keys::shard_key(shard_of_team(*team, ctx.shards().count())),
                version: g.epoch.0,
            };
            if used && holds(Guard::GrantEpoch) {
                write = write.also_if(cond);
            }
        }
        self.writing = Some(PendingDecision {
            slot,
            round,
            attempt,
            choices,
            asked: talk.asked,
            negotiation: talk.id,
            write,
        });
        self.write_decision(ctx);
    }

    pub(super) fn write_decision(&mut self, ctx: &mut Context) {
        let Some(w) = self.writing.as_mut().filter(|_| ctx.valid) else { return };
        if let Some(call) = w.write.call(ctx.now, ctx.budget) {
            ctx.store(Operation::Decide { shard: self.shard, epoch: self.epoch }, call);
        }
    }

    /// The result of the decision's transaction.
    pub fn decided(&mut self, ctx: &mut Context, result: &StoreResult) -> Ownership {
        let Some(w) = &mut self.writing else {
            return Ownership::Kept;
        };
        match w.write.take(ctx.now, result) {
            WriteOutcome::Done(revision) => self.winners(ctx, revision),
            WriteOutcome::Fenced => return Ownership::Lost,
            WriteOutcome::NotDone => {
                let slot = w.slot.clone();
                let lost = matches!(result, StoreResult::Conflict(f) if f.contains(&slot.key));
                // Somebody else wrote to it, which nobody does: it is left alone.
                if !lost {
                    self.rounds.not_written(slot);
                }
                self.losers(ctx);
            }
            WriteOutcome::Open if holds(Guard::DecidedDurable) => {}
            WriteOutcome::Open => self.winners(ctx, 0),
        }
        Ownership::Kept
    }

    fn winners(&mut self, ctx: &mut Context, version: u64) {
        let Some(w) = self.writing.take() else { return };
        let mut live = 0;
        let mut yes: BTreeMap<(Shard, JobId), Yes> = BTreeMap::new();
        for c in w.choices {
            let Some(j) = self.jobs.get_mut(&c.job) else {
                continue;
            };
            let p = Placement {
                attempt: w.attempt,
                machine: ctx.names.machine(&c.offer.machine),
                participant: c.shard,
                incarnation: c.offer.incarnation,
                zone: ZoneIdx(c.offer.zone),
                phase: TaskPhase::Decided,
                round: w.round,
                placed_at: ctx.now,
                sent_at: ctx.now,
                stop: None,
                adopted: false,
                team: ctx.team_use(j),
            };
            // Cancelled while the decision was being written: it was never said.
            if j.cancelled || j.termination.status.is_some() {
                j.give_back(c.task);
                self.pending.insert(c.job);
                continue;
            }
            j.placed.insert(c.task, p);
            self.unsettled.insert(c.job);
            live += 1;
            let e = yes.entry((c.shard, c.job)).or_insert((j.shape.wire.clone(), Vec::new()));
            e.1.push(Assignment {
                task: c.task,
                attempt: w.attempt.0,
                machine: c.offer.machine,
                incarnation: c.offer.incarnation,
            });
        }
        self.rounds.open(w.round, w.slot.key, Some(version), live);
        for ((shard, job), (shape, picks)) in yes {
            ctx.send(
                self.shard,
                shard,
                ShardMessage::Place { job: job.0, shape, picks, adopt: false },
            );
        }
        self.close(ctx, w.negotiation, &w.asked);
        ctx.wake = true;
    }

    fn losers(&mut self, ctx: &mut Context) {
        let Some(w) = self.writing.take() else { return };
        for c in &w.choices {
            if let Some(j) = self.jobs.get_mut(&c.job) {
                j.give_back(c.task);
                j.not_before = ctx.now + 500;
                self.pending.insert(c.job);
            }
        }
        self.close(ctx, w.negotiation, &w.asked);
    }

    pub(super) fn close(&mut self, ctx: &mut Context, n: Negotiation, asked: &[Shard]) {
        for &s in asked {
            ctx.send(self.shard, s, ShardMessage::CloseNegotiation { negotiation: n.0 });
        }
    }
}
