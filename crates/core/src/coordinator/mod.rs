//! The coordinator of a shard: places the tasks of the shard's jobs, tracks them to completion, and
//! makes the results durable in the key-value store.
//!
//! Tasks are placed in rounds. A round is one negotiation: the coordinator requests offers from all
//! participants (`round`), selects some of them (`selection`), writes the decision under its epoch,
//! and then tells the participants (`decision`).
//!
//! - `load`: reads the shard's records after a failover, then watches for new jobs;
//! - `resend`: resends placements and stops until participants report their effect;
//! - `task_events`: handles what participants report of tasks;
//! - `compaction`, `decision_log`: completions, terminal states and decision records in the store;
//! - `cancellation`, `terminal_state`: the end of a job;
//! - `quota_*`: admission, preemption and reports under the quotas of teams.
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
use gpu_work::GpuWorkCache;
use leaddeal_wire::mesh::ShardMessage;
use leaddeal_wire::state::Change;
use leaddeal_wire::user::Priority;
use load::LoadStage;
use negotiation::{NegotiationState, PendingDecision};
use quota_state::QuotaState;
use resend::AssignmentBudget;
use service_statistics::ServiceStatistics;
use statistics::DecisionCounts;
use std::collections::{BTreeMap, BTreeSet, HashMap};

mod cancellation;
mod compaction;
mod decision;
mod decision_log;
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
mod statistics;
mod task_events;
mod terminal_state;
mod unmet_demand;
mod wait_causes;

pub use ownership::Ownership;

/// The part of a shard's owner that schedules the shard's jobs.
///
/// Invariants:
/// - at most one negotiation or decision is in progress: `negotiation` or `pending_decision` is
///   `None`;
/// - every job that is not cancelled and has tasks to place is in `unplaced_jobs`;
/// - every job with a placement that the present owner of its participant has not yet reported on its
///   machine, or that is to stop, is in `unsettled_jobs`.
#[derive(Debug)]
pub struct Coordinator {
    /// The shard whose jobs this coordinator schedules.
    pub shard: Shard,
    /// The fencing token of this owner: every write is conditional on it.
    pub epoch: Epoch,
    load_stage: LoadStage,
    /// Reads the records of the current load stage; once the shard is loaded, watches for new jobs.
    record_reader: RecordReader,
    /// The reader of job records, set aside while completions are loaded.
    paused_job_reader: Option<RecordReader>,
    /// Decision records, kept until all jobs and completions are loaded.
    loaded_decisions: Vec<Record>,
    /// Jobs without a durable terminal state, and cancelled jobs with tasks that may be on
    /// machines.
    jobs: BTreeMap<JobId, Job>,
    /// Terminal states of the jobs that ended under this coordinator.
    terminal_jobs: HashMap<JobId, TerminalState>,
    negotiation: Option<NegotiationState>,
    pending_decision: Option<PendingDecision>,
    /// Number of the last negotiation of this epoch; 0: there was none.
    last_negotiation: u64,
    /// Number of the last decision of this epoch, counting also the decisions that were loaded.
    last_round: u64,
    decision_log: DecisionLog,
    /// Jobs that may have tasks to place. A job without any is removed at the next round.
    unplaced_jobs: BTreeSet<JobId>,
    /// Completions and terminal states that are still to be written.
    compaction: CompactionState,
    /// Jobs that may have a task that is not settled, or that is to stop. A job without any is removed
    /// at the next resend.
    unsettled_jobs: BTreeSet<JobId>,
    /// The first unsettled job that the next resend looks at, so that a full batch delays no job for
    /// long.
    next_resend_job: JobId,
    assignment_budget: AssignmentBudget,
    gpu_work: GpuWorkCache,
    service_statistics: ServiceStatistics,
    /// Jobs whose cancellation is being written.
    cancelling: BTreeSet<JobId>,
    /// Decisions since the last statistics line of the log.
    decision_counts: DecisionCounts,
    /// Store revision at which the list of jobs was loaded.
    pub(crate) jobs_loaded_revision: u64,
    /// Whether the shard is to be handed over: no new round is started.
    pub(crate) is_relinquishing: bool,
    /// By participant: the epoch of its owner at the last resend.
    participant_epochs: Vec<Epoch>,
    /// When placements and stops are next checked for a resend.
    next_resend_at: Timestamp,
    /// Quotas of teams, and what this coordinator was granted of them.
    quota: QuotaState,
}

impl Coordinator {
    /// Creates a coordinator that has loaded nothing yet. `shards` is the number of shards in the
    /// cluster.
    pub fn new(shard: Shard, epoch: Epoch, shards: usize) -> Coordinator {
        Coordinator {
            shard,
            epoch,
            load_stage: LoadStage::Decisions,
            record_reader: RecordReader::list(keys::decision_prefix(shard)),
            paused_job_reader: None,
            loaded_decisions: Vec::new(),
            jobs: BTreeMap::new(),
            terminal_jobs: HashMap::new(),
            negotiation: None,
            pending_decision: None,
            last_negotiation: 0,
            last_round: 0,
            decision_log: DecisionLog::default(),
            unplaced_jobs: BTreeSet::new(),
            compaction: CompactionState::default(),
            unsettled_jobs: BTreeSet::new(),
            next_resend_job: JobId(0),
            assignment_budget: AssignmentBudget::default(),
            gpu_work: GpuWorkCache::default(),
            service_statistics: ServiceStatistics::default(),
            cancelling: BTreeSet::new(),
            decision_counts: DecisionCounts::default(),
            jobs_loaded_revision: 0,
            is_relinquishing: false,
            participant_epochs: vec![Epoch(0); shards],
            next_resend_at: 0,
            quota: QuotaState::default(),
        }
    }

    /// Whether all records of the shard are loaded.
    pub fn is_ready(&self) -> bool {
        matches!(self.load_stage, LoadStage::Ready)
    }

    /// Whether nothing is in progress that a handover of the shard would interrupt.
    pub fn is_idle(&self) -> bool {
        self.negotiation.is_none()
            && self.pending_decision.is_none()
            && !self.compaction.is_in_flight()
            && self.jobs.values().all(|job| job.termination.status.is_none())
    }

    /// Returns a transaction of these changes that is conditional on this owner's epoch.
    fn fenced_write(&self, class: WriteClass, changes: Vec<Change>) -> PendingWrite {
        PendingWrite::new(class, self.shard, self.epoch, changes)
    }

    fn next_round_id(&mut self) -> u64 {
        self.last_round += 1;
        self.last_round
    }

    /// Handles a message from a participant or a quota manager, sent under `epoch` of the shard `from`.
    pub fn handle(&mut self, ctx: &mut Context, from: Shard, epoch: Epoch, message: ShardMessage) {
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
            ShardMessage::CapacityFreed { priority } => self.on_capacity_freed(ctx, priority),
            ShardMessage::TaskEvents { events } if self.is_ready() => {
                self.handle_task_events(ctx, from, epoch, events);
            }
            _ => {}
        }
    }

    /// Lets refused jobs of at least this priority be requested again, since a participant has free
    /// capacity. Jobs whose tasks are all placed are not affected.
    fn on_capacity_freed(&mut self, ctx: &mut Context, priority: Priority) {
        for id in &self.unplaced_jobs {
            let job = self.jobs.get_mut(id).filter(|job| job.spec.priority >= priority);
            if let Some(job) = job {
                job.capacity_freed(ctx.now);
            }
        }
        ctx.needs_round = true;
    }

    /// Performs all due work: reads and writes records, resends messages, and starts a round.
    pub fn tick(&mut self, ctx: &mut Context) {
        if !self.is_ready() {
            self.read_next(ctx);
            return;
        }
        self.write_cancellations(ctx);
        self.check_negotiation(ctx);
        self.write_decision(ctx);
        self.resend(ctx);
        self.compact(ctx);
        self.report_team_usage(ctx);
        self.start_round(ctx);
        self.read_next(ctx);
    }

    /// Answers all waiting requests with "try again later", since this node has lost the shard.
    pub fn abandon(&mut self, ctx: &mut Context) {
        for job in self.jobs.values_mut() {
            for request in std::mem::take(&mut job.termination.requests) {
                ctx.reply_later(request, 503, 1);
            }
        }
    }
}
