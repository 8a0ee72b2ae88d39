//! A shard's jobs: asks for offers, writes the choice under the epoch, then says yes and no.
use crate::budget::WriteClass;
use crate::context::Context;
use crate::guards::{holds, Guard};
use crate::ids::{Attempt, Epoch, JobId, Negotiation, Shard, Timestamp};
use crate::jobs::{CompletedAttempt, Job};
use crate::keys;
use crate::records::{Record, RecordReader};
use crate::stored::TerminalState;
use crate::writes::PendingWrite;
use compaction::CompactionState;
use leaddeal_wire::mesh::{
    Assignment, AttemptRef, Offer, Shape as WireShape, ShardMessage, TaskEvent, TaskPhase,
    UnmetDemand,
};
use leaddeal_wire::state::Change;
use leaddeal_wire::user::{Kind, Priority};
use leaddeal_wire::worker::{ExitReason, TaskState};
use quota_state::QuotaState;
use rounds::{Record as Slot, Rounds};
use service_statistics::ServiceStatistics;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

mod cancellation;
mod compaction;
mod load;
mod ownership;
mod queue_rank;
mod quota_admission;
mod quota_preemption;
mod quota_report;
mod quota_state;
mod round;
mod rounds;
mod service_statistics;
mod terminal_state;

pub use ownership::Ownership;

/// Answers to a request for offers are waited for no longer than this.
pub const OFFERS_MS: u64 = 2000;
const ITEMS: usize = 14;
/// A request names at most this many kinds of GPU work.
const GPU_KINDS: usize = 16;
/// Which are gathered this often.
const GPU_WORK_MS: u64 = 500;
/// The provisioner is told of so many jobs without a place, the most important ones.
const LACKS: usize = 60;
const RESEND_MS: u64 = 2000;

/// Processors, GPUs and memory of a task, and its priority.
type GpuWork = (u64, u64, u64, Priority);

/// What a participant is told yes to, for a job: its shape and the picks.
type Yes = (Arc<WireShape>, Vec<Assignment>);

#[derive(Debug)]
enum Load {
    Decisions,
    Jobs,
    Runs,
    Ready,
}

#[derive(Debug)]
struct NegotiationState {
    id: Negotiation,
    items: Vec<(JobId, u32)>,
    asked: Vec<Shard>,
    waiting: BTreeSet<Shard>,
    offers: Vec<(Shard, Offer)>,
    /// Items for which a participant is making room.
    preempting: BTreeSet<u16>,
    started: Timestamp,
}

#[derive(Debug)]
struct SelectedOffer {
    job: JobId,
    task: u32,
    shard: Shard,
    offer: Offer,
}

#[derive(Debug)]
struct PendingDecision {
    slot: Slot,
    round: u64,
    attempt: Attempt,
    choices: Vec<SelectedOffer>,
    asked: Vec<Shard>,
    negotiation: Negotiation,
    write: PendingWrite,
}

#[derive(Debug)]
pub struct Coordinator {
    pub shard: Shard,
    pub epoch: Epoch,
    load: Load,
    /// What is being read, or the jobs as they come.
    feed: RecordReader,
    jobs_feed: Option<RecordReader>,
    decisions: Vec<Record>,
    pub jobs: BTreeMap<JobId, Job>,
    /// Jobs that are over, with their final state.
    pub closed: HashMap<JobId, TerminalState>,
    talk: Option<NegotiationState>,
    writing: Option<PendingDecision>,
    next_talk: u64,
    round: u64,
    rounds: Rounds,
    /// Jobs that may have tasks to be placed; who has none any more is taken out when looked at.
    pending: BTreeSet<JobId>,
    /// Completions and terminal states that are to be written.
    compaction: CompactionState,
    /// Jobs with a task that was not seen on its machine yet, or is to stop; who has none any more
    /// is taken out when looked at.
    unsettled: BTreeSet<JobId>,
    /// GPU work there is, and when to look anew.
    gpu_work: (Timestamp, Vec<GpuWork>),
    service_statistics: ServiceStatistics,
    /// Cancellations being written.
    cancelling: BTreeSet<JobId>,
    /// Picks of all decisions, and how many decisions; for the log.
    picked: (u64, u64),
    /// Revision of the list of jobs that was loaded.
    pub loaded_from: u64,
    /// Told to hand the shard over: no new rounds.
    pub leaving: bool,
    participant_epochs: Vec<Epoch>,
    next_resend: Timestamp,
    /// Limits of teams.
    quota: QuotaState,
}

impl Coordinator {
    pub fn new(shard: Shard, epoch: Epoch, shards: usize) -> Coordinator {
        Coordinator {
            shard,
            epoch,
            load: Load::Decisions,
            feed: RecordReader::pages(keys::decision_prefix(shard)),
            jobs_feed: None,
            decisions: Vec::new(),
            jobs: BTreeMap::new(),
            closed: HashMap::new(),
            talk: None,
            writing: None,
            next_talk: 0,
            round: 0,
            rounds: Rounds::default(),
            pending: BTreeSet::new(),
            compaction: CompactionState::default(),
            unsettled: BTreeSet::new(),
            gpu_work: (0, Vec::new()),
            service_statistics: ServiceStatistics::default(),
            cancelling: BTreeSet::new(),
            picked: (0, 0),
            loaded_from: 0,
            leaving: false,
            participant_epochs: vec![Epoch(0); shards],
            next_resend: 0,
            quota: QuotaState::default(),
        }
    }

    pub fn ready(&self) -> bool {
        matches!(self.load, Load::Ready)
    }

    pub fn quiet(&self) -> bool {
        self.talk.is_none()
            && self.writing.is_none()
            && !self.compaction.is_in_flight()
            && self.jobs.values().all(|j| j.termination.status.is_none())
    }

    /// Changes of this shard, conditional on its epoch.
    fn write(&self, class: WriteClass, changes: Vec<Change>) -> PendingWrite {
        PendingWrite::new(class, self.shard, self.epoch, changes)
    }

    fn next_round_id(&mut self) -> u64 {
        self.round += 1;
        self.round
    }

    pub fn handle(&mut self, ctx: &mut Context, from: Shard, msg: ShardMessage) {
        match msg {
            ShardMessage::Offers { negotiation, offers, preempting } => {
                let current = self
                    .talk
                    .as_mut()
                    .filter(|t| t.id.0 == negotiation)
                    .is_some_and(|t| t.waiting.remove(&from));
                if let Some(t) = self.talk.as_mut().filter(|_| current) {
                    t.preempting.extend(preempting);
                    t.offers.extend(offers.into_iter().map(|o| (from, o)));
                } else {
                    // Too late: a no is due once the negotiation is over.
                    self.answer_decision(ctx, from, negotiation);
                }
                self.check_talk(ctx);
            }
            ShardMessage::TeamGrant { serial, granted } => {
                self.receive_grants(ctx, from, serial, granted);
            }
            ShardMessage::AskDecision { negotiation } => {
                self.answer_decision(ctx, from, negotiation)
            }
            ShardMessage::CapacityFreed { priority } => {
                // Whose tasks all have their places asks for nothing.
                for id in &self.pending {
                    let j = self.jobs.get_mut(id).filter(|j| j.wire.priority >= priority);
                    if let Some(j) = j {
                        j.capacity_freed(ctx.now);
                    }
                }
                ctx.wake = true;
            }
            ShardMessage::TaskEvents { events } if self.ready() => {
                let mut over = Vec::new();
                for e in events {
                    over.extend(self.event(ctx, from, e));
                }
                // The participant keeps telling until it is told to forget.
                if !over.is_empty() {
                    ctx.send(self.shard, from, ShardMessage::Forget { what: over });
                }
            }
            _ => {}
        }
    }

    fn answer_decision(&mut self, ctx: &mut Context, from: Shard, negotiation: u64) {
        let open = self.talk.as_ref().is_some_and(|t| t.id.0 == negotiation)
            || self.writing.as_ref().is_some_and(|w| w.negotiation.0 == negotiation);
        if !open {
            ctx.send(self.shard, from, ShardMessage::CloseNegotiation { negotiation });
        }
    }

    /// Returns the attempt if the participant may forget it.
    fn event(&mut self, ctx: &mut Context, from: Shard, e: TaskEvent) -> Option<AttemptRef> {
        let now = ctx.now;
        let id = JobId(e.job);
        let what = AttemptRef {
            job: e.job,
            task: e.task,
            attempt: e.attempt,
            machine: e.machine.clone(),
            incarnation: None,
        };
        let over = matches!(e.phase, TaskPhase::Exited(..) | TaskPhase::Gone);
        let known = self.jobs.get(&id).and_then(|j| j.placed.get(e.task)).is_some_and(|p| {
            p.attempt.0 == e.attempt && ctx.names.machine_name(p.machine) == e.machine
        });
        if !known {
            // Already noted as done, but not durably yet: the worker must not forget it.
            let uncompacted = self.jobs.get(&id).is_some_and(|j| {
                j.completion
                    .uncompacted
                    .iter()
                    .any(|u| u.task == e.task && u.attempt.0 == e.attempt)
            }) || self.compaction.is_compacting(id, e.task, Attempt(e.attempt));
            if over {
                return (!uncompacted).then_some(what);
            }
            ctx.send(self.shard, from, ShardMessage::Stop { what, grace_s: 0.0 });
            return None;
        }
        let j = self.jobs.get_mut(&id)?;
        let ran = matches!(
            e.phase,
            TaskPhase::On(TaskState::Running) | TaskPhase::Exited(ExitReason::Done, _)
        );
        if ran && j.first_started_at.is_none() && !j.cancelled {
            j.first_started_at = Some(now);
            self.service_statistics.record_start(j, now);
        }
        if !over {
            j.placed.set_phase(e.task, e.phase);
            // A gang that is to save must be stopped whole, and soon.
            if e.phase == TaskPhase::On(TaskState::Saving) && j.wire.kind == Kind::Gang {
                let grace = j.wire.save_s + 2.0;
                j.placed.stop_rest(grace);
                self.unsettled.insert(id);
                self.next_resend = now;
                self.resend(ctx);
            }
            return None;
        }
        let p = j.placed.remove(e.task)?;
        if let TaskPhase::Exited(ExitReason::Done, _) = e.phase {
            if j.wire.kind != Kind::Service && !j.cancelled {
                j.failure_suspicion.ran_well();
                j.set_done(e.task, now);
                if j.complete() {
                    self.compaction.complete_jobs.insert(id, now);
                } else {
                    self.compaction.dirty_jobs.insert(id);
                }
                j.completion.uncompacted.push(CompletedAttempt {
                    task: e.task,
                    attempt: p.attempt,
                    machine: p.machine,
                    round: p.round,
                });
                ctx.wake = true;
                return None;
            }
        }
        match e.phase {
            TaskPhase::Exited(ExitReason::Error | ExitReason::Other | ExitReason::Unknown, _) => {
                if j.wire.kind == Kind::Service && j.placed.running() > 0 {
                    j.failure_suspicion.ran_well();
                }
                let before = j.failure_suspicion.is_suspected();
                j.not_before = j.failure_suspicion.failed(p.machine, now, j.not_before);
                if j.failure_suspicion.is_suspected() && !before {
                    let name = &j.wire.id;
                    ctx.effects.log(1, "job_in_doubt", || name.clone());
                }
            }
            TaskPhase::Exited(ExitReason::Full | ExitReason::Busy, _) => j.not_before = now + 300,
            _ if j.failure_suspicion.is_suspected() => {}
            _ => j.not_before = j.not_before.min(now),
        }
        j.give_back(e.task);
        self.pending.insert(id);
        if j.wire.kind == Kind::Gang {
            // Won whole or not at all: the rest of the attempt stops.
            j.placed.stop_rest(0.0);
            self.unsettled.insert(id);
            self.next_resend = now;
        }
        let empty_leftover = j.cancelled && j.placed.is_empty();
        self.rounds.one_less(p.round);
        if empty_leftover {
            self.drop_cancelled(id);
        }
        ctx.wake = true;
        Some(what)
    }

    fn resend(&mut self, ctx: &mut Context) {
        if !self.ready() || ctx.now < self.next_resend {
            return;
        }
        self.next_resend = ctx.now + 500;
        let now = ctx.now;
        let mut yes: BTreeMap<(Shard, JobId, bool), Yes> = BTreeMap::new();
        let mut stops = Vec::new();
        let mut fresh = Vec::new();
        for s in ctx.shards() {
            let e = ctx.owner(s).map_or(Epoch(0), |o| o.epoch);
            fresh.push(e != self.participant_epochs[s.0 as usize]);
            self.participant_epochs[s.0 as usize] = e;
        }
        // A new owner of a participant knows nothing of what is on its machines. (All placements were
        // gone through twice a second.)
        if fresh.contains(&true) {
            self.unsettled
                .extend(self.jobs.values().filter(|j| !j.placed.is_empty()).map(|j| j.id));
        }
        let jobs = &mut self.jobs;
        self.unsettled.retain(|id| {
            let Some(j) = jobs.get_mut(id) else { return false };
            let id = j.id;
            let mut open = false;
            for (task, p) in j.placed.iter_mut() {
                open |= p.stop.is_some() || p.phase == TaskPhase::Decided || j.cancelled;
                let shard = p.participant;
                let renew = fresh[shard.0 as usize];
                let attempt = p.attempt.0;
                if let Some((grace_s, sent)) = &mut p.stop {
                    let due = renew || now >= *sent + RESEND_MS;
                    if due && (*sent == 0 || holds(Guard::StopAgain)) {
                        *sent = now;
                        let machine = ctx.names.machine_name(p.machine).to_string();
                        let what = AttemptRef {
                            job: id.0,
                            task,
                            attempt,
                            machine,
                            incarnation: Some(p.incarnation),
                        };
                        stops.push((shard, ShardMessage::Stop { what, grace_s: *grace_s }));
                    }
                    continue;
                }
                if j.cancelled {
                    p.stop = Some((0.0, 0));
                    continue;
                }
                if renew || (p.phase == TaskPhase::Decided && now >= p.sent_at + RESEND_MS) {
                    p.sent_at = now;
                    let e = yes
                        .entry((shard, id, p.adopted))
                        .or_insert_with(|| (j.shape.wire.clone(), Vec::new()));
                    e.1.push(Assignment {
                        task,
                        attempt,
                        machine: ctx.names.machine_name(p.machine).to_string(),
                        incarnation: p.incarnation,
                    });
                }
            }
            open
        });
        for ((shard, job, adopt), (shape, picks)) in yes {
            for c in picks.chunks(200) {
                let picks = c.to_vec();
                ctx.send(
                    self.shard,
                    shard,
                    ShardMessage::Place { job: job.0, shape: shape.clone(), picks, adopt },
                );
            }
        }
        for (shard, msg) in stops {
            ctx.send(self.shard, shard, msg);
        }
    }

    pub fn tick(&mut self, ctx: &mut Context) {
        if !self.ready() {
            self.read_on(ctx);
            return;
        }
        self.write_cancellations(ctx);
        self.check_talk(ctx);
        self.write_decision(ctx);
        self.resend(ctx);
        self.compact(ctx);
        self.report_team_usage(ctx);
        self.start_round(ctx);
        self.read_on(ctx);
    }

    /// Work without a place, for the provisioner.
    pub fn lacks(&self, ctx: &Context) -> Vec<UnmetDemand> {
        if !self.ready() {
            return Vec::new();
        }
        let admitted = self.admitted(ctx);
        let worth = |j: &Job| match ctx.team_use(j) {
            Some(_) => admitted.get(&j.id).map_or(0, |a| a.worth),
            None => j.pending(),
        };
        let jobs = self.pending.iter().filter_map(|id| self.jobs.get(id));
        let mut lacking: Vec<(_, &Job)> = jobs
            .filter(|j| !j.cancelled && j.termination.status.is_none() && j.pending() > 0)
            .filter(|j| !j.failure_suspicion.is_suspected() && worth(j) > 0)
            .map(|j| ((Reverse(j.wire.priority), j.created, j.id), j))
            .collect();
        // (Found at five times a fleet: the first by their names were told, not the first in turn.)
        lacking.sort_unstable_by_key(|l| l.0);
        lacking
            .into_iter()
            .map(|l| l.1)
            .take(LACKS)
            .map(|j| UnmetDemand {
                job: j.id.0,
                shape: j.shape.wire.clone(),
                count: worth(j),
                zone_room: j.zone_room(&ctx.names.zones),
                waited_ms: ctx.now.saturating_sub(j.created),
                urgent: j.is_urgent(ctx.now),
            })
            .collect()
    }

    /// For the operators' log: what is kept and what waits to be written.
    pub fn figures(&mut self, now: Timestamp) -> String {
        let oldest =
            self.compaction.complete_jobs.values().min().map_or(0, |at| now.saturating_sub(*at));
        let uncompacted: usize = self
            .compaction
            .dirty_jobs
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .map(|j| j.completion.uncompacted.len())
            .sum();
        let (live, spare) = self.rounds.count();
        let (picks, rounds) = std::mem::take(&mut self.picked);
        format!(
            "shard={} jobs={} waiting={} untold={} oldest_untold_ms={oldest} unfolded={uncompacted} \
             decisions={live} spare={spare} rounds={rounds} picks={picks}",
            self.shard.0,
            self.jobs.len(),
            self.pending.len(),
            self.compaction.complete_jobs.len(),
        )
    }

    /// The shard is lost: whoever waits for an answer has to ask again.
    pub fn abandon(&mut self, ctx: &mut Context) {
        for j in self.jobs.values_mut() {
            for r in std::mem::take(&mut j.termination.requests) {
                ctx.reply_later(r, 503, 1);
            }
        }
    }
}
