//! A shard's jobs: where their tasks are placed, what became of them, and what of it is written.
//!
//! Tasks are placed in rounds: offers are requested from all participants (`round`), some are selected
//! (`selection`), the decision is written under the epoch, and then the participants are told
//! (`decision`).
use crate::budget::WriteClass;
use crate::context::Context;
use crate::ids::{Epoch, JobId, Shard, Timestamp};
use crate::jobs::Job;
use crate::keys;
use crate::records::{Record, RecordReader};
use crate::stored::TerminalState;
use crate::writes::PendingWrite;
use compaction::CompactionState;
use decision_log::DecisionLog;
use figures::DecisionCounts;
use gpu_work::GpuWorkCache;
use leaddeal_wire::mesh::ShardMessage;
use leaddeal_wire::state::Change;
use leaddeal_wire::user::Priority;
use load::LoadStage;
use negotiation::{NegotiationState, PendingDecision};
use quota_state::QuotaState;
use service_statistics::ServiceStatistics;
use std::collections::{BTreeMap, BTreeSet, HashMap};

mod cancellation;
mod compaction;
mod decision;
mod decision_log;
mod figures;
mod gpu_work;
mod load;
mod negotiation;
mod ownership;
mod place_batch;
mod queue_rank;
mod quota_admission;
mod quota_preemption;
mod quota_report;
mod quota_state;
mod resend;
mod round;
mod selection;
mod service_statistics;
mod task_events;
mod terminal_state;
mod unmet_demand;
mod wait_causes;

pub use ownership::Ownership;

/// The owner of a shard's jobs.
///
/// Invariants:
/// - at most one negotiation or decision is under way: `negotiation` or `pending_decision` is none;
/// - a job that is not cancelled and has tasks to be placed is in `unplaced_jobs`;
/// - a job with a placement that was not seen on its machine yet, or is to stop, is in
///   `unsettled_jobs`.
#[derive(Debug)]
pub struct Coordinator {
    /// The shard whose jobs these are.
    pub shard: Shard,
    /// The epoch under which all is written: the fencing token of this owner.
    pub epoch: Epoch,
    load_stage: LoadStage,
    /// Reads what is being loaded; afterwards, the jobs as they are created.
    reader: RecordReader,
    /// The reader of the jobs, while completions are loaded.
    jobs_reader: Option<RecordReader>,
    /// Records of decisions, until all is loaded.
    loaded_decisions: Vec<Record>,
    /// Jobs that are not over, and those that are while tasks of them may be on machines.
    jobs: BTreeMap<JobId, Job>,
    /// Jobs that are over, with their terminal state.
    closed: HashMap<JobId, TerminalState>,
    negotiation: Option<NegotiationState>,
    pending_decision: Option<PendingDecision>,
    /// Counts the negotiations of this epoch.
    next_negotiation: u64,
    /// Counts the decisions of this epoch and those that were loaded.
    round: u64,
    decision_log: DecisionLog,
    /// Jobs that may have tasks to be placed; one that has none any more is removed when looked at.
    unplaced_jobs: BTreeSet<JobId>,
    /// Completions and terminal states that are to be written.
    compaction: CompactionState,
    /// Jobs with a task that was not seen on its machine yet, or is to stop; one that has none any
    /// more is removed when looked at.
    unsettled_jobs: BTreeSet<JobId>,
    gpu_work: GpuWorkCache,
    service_statistics: ServiceStatistics,
    /// Cancellations being written.
    cancelling: BTreeSet<JobId>,
    /// For the log.
    decision_counts: DecisionCounts,
    /// Store revision of the list of jobs that was loaded.
    pub(crate) jobs_loaded_revision: u64,
    /// Told to hand the shard over: no new rounds.
    pub(crate) relinquishing: bool,
    /// By participant: the epoch of its owner when placements were last resent.
    participant_epochs: Vec<Epoch>,
    /// When placements and stops are looked at next.
    next_resend: Timestamp,
    /// Quotas of teams.
    quota: QuotaState,
}

impl Coordinator {
    /// Nothing is loaded yet; `shards` is how many there are.
    pub fn new(shard: Shard, epoch: Epoch, shards: usize) -> Coordinator {
        Coordinator {
            shard,
            epoch,
            load_stage: LoadStage::Decisions,
            reader: RecordReader::list(keys::decision_prefix(shard)),
            jobs_reader: None,
            loaded_decisions: Vec::new(),
            jobs: BTreeMap::new(),
            closed: HashMap::new(),
            negotiation: None,
            pending_decision: None,
            next_negotiation: 0,
            round: 0,
            decision_log: DecisionLog::default(),
            unplaced_jobs: BTreeSet::new(),
            compaction: CompactionState::default(),
            unsettled_jobs: BTreeSet::new(),
            gpu_work: GpuWorkCache::default(),
            service_statistics: ServiceStatistics::default(),
            cancelling: BTreeSet::new(),
            decision_counts: DecisionCounts::default(),
            jobs_loaded_revision: 0,
            relinquishing: false,
            participant_epochs: vec![Epoch(0); shards],
            next_resend: 0,
            quota: QuotaState::default(),
        }
    }

    /// Whether the shard is loaded.
    pub fn ready(&self) -> bool {
        matches!(self.load_stage, LoadStage::Ready)
    }

    /// Whether nothing is under way that a handover of the shard would cut off.
    pub fn is_idle(&self) -> bool {
        self.negotiation.is_none()
            && self.pending_decision.is_none()
            && !self.compaction.is_in_flight()
            && self.jobs.values().all(|job| job.termination.status.is_none())
    }

    /// Changes of this shard, conditional on its epoch.
    fn write(&self, class: WriteClass, changes: Vec<Change>) -> PendingWrite {
        PendingWrite::new(class, self.shard, self.epoch, changes)
    }

    fn next_round_id(&mut self) -> u64 {
        self.round += 1;
        self.round
    }

    /// Handles a message of another shard.
    pub fn handle(&mut self, ctx: &mut Context, from: Shard, message: ShardMessage) {
        match message {
            ShardMessage::Offers { negotiation, offers, preempting } => {
                self.receive_offers(ctx, from, negotiation, offers, preempting);
            }
            ShardMessage::TeamGrant { serial, granted } => {
                self.receive_grants(ctx, from, serial, granted);
            }
            ShardMessage::AskDecision { negotiation } => {
                self.answer_decision(ctx, from, negotiation);
            }
            ShardMessage::CapacityFreed { priority } => self.capacity_freed(ctx, priority),
            ShardMessage::TaskEvents { events } if self.ready() => {
                self.task_events(ctx, from, events);
            }
            _ => {}
        }
    }

    /// A participant has free capacity: jobs of at least this priority that were refused may be
    /// requested again. Jobs whose tasks are all placed are not concerned.
    fn capacity_freed(&mut self, ctx: &mut Context, priority: Priority) {
        for id in &self.unplaced_jobs {
            let job = self.jobs.get_mut(id).filter(|job| job.spec.priority >= priority);
            if let Some(job) = job {
                job.capacity_freed(ctx.now);
            }
        }
        ctx.needs_round = true;
    }

    /// Does what is due: loads, writes, resends, and starts a round.
    pub fn tick(&mut self, ctx: &mut Context) {
        if !self.ready() {
            self.read_on(ctx);
            return;
        }
        self.write_cancellations(ctx);
        self.check_negotiation(ctx);
        self.write_decision(ctx);
        self.resend(ctx);
        self.compact(ctx);
        self.report_team_usage(ctx);
        self.start_round(ctx);
        self.read_on(ctx);
    }

    /// The shard is lost: whoever waits for an answer has to ask again.
    pub fn abandon(&mut self, ctx: &mut Context) {
        for job in self.jobs.values_mut() {
            for request in std::mem::take(&mut job.termination.requests) {
                ctx.reply_later(request, 503, 1);
            }
        }
    }
}
