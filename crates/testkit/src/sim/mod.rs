//! The seeded simulator. It runs three controller cores against a simulated store, cloud, workers and users,
//! with late and lost messages, partitions, crashes, hung machines and outages. Time is simulated; the same seed
//! gives the same run.
//!
//! [`Sim`] holds the state; each module handles one of its concerns. The order of draws from the random
//! number generator, and the order of events of the same time, are part of a run: changing them changes every run.
use crate::fingerprint::Fingerprint;
use crate::gangs::Gangs;
use crate::rules::Rules;
use crate::script::Observations;
use crate::served::Share;
use crate::state::StoreModel;
use crate::tally::Tally;
use crate::worker::{job_of_task, CompletedTasks, Worker};
use after_write::{CrashAfterWrite, OutageAfterWrite};
use cloud::{Launch, StartingInstance};
use controllers::Controller;
use delayed_heartbeats::DelayedHeartbeats;
use event::{EventQueue, PendingRequest, RequestId};
use fault_windows::ActiveWindows;
use fencing::Acquisitions;
use late_copies::CopyDraws;
use leaddeal_wire::settings::Team;
use leaddeal_wire::user::JobKind;
use lost_messages::MessageLoss;
use query_bursts::QueryBursts;
use rand::rngs::SmallRng;
use service_check::ServiceCheck;
use std::collections::{BTreeMap, BTreeSet, HashMap};

mod after_write;
mod cloud;
mod controllers;
mod defect;
mod delayed_heartbeats;
mod dispatch;
mod effects;
mod event;
mod fault_injection;
mod fault_windows;
mod fencing;
mod jobs;
mod late_copies;
mod lost_messages;
mod plan;
mod preload;
mod query_bursts;
mod random_faults;
mod run;
mod service_check;
mod setup;
mod store;
mod teams;
mod users;
mod workers;

pub use defect::InjectedDefect;
pub use plan::Plan;
pub use teams::TeamQuotas;

/// Number of controllers, which is also the number of shards.
pub const NODES: usize = 3;
/// Simulated time at which a run begins, in milliseconds.
pub const START_MS: u64 = 10_000;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Downtime of a crashed controller that is restarted at once.
const FAST_RESTART_MS: std::ops::Range<u64> = 20..900;
/// Interval between two steps of the gangs.
const GANG_STEP_MS: u64 = 100;
/// Interval between two checks that users are answered and no job starves.
const LIVENESS_CHECK_MS: u64 = 1000;

/// A simulated run. Fields that end in `_until` are simulated times in milliseconds.
pub struct Sim {
    plan: Plan,
    /// Whether events are printed to the standard error output; set by `LEADDEAL_TRACE`.
    pub trace: bool,
    rng: SmallRng,
    now: u64,
    events: EventQueue,
    controllers: Vec<Controller>,
    /// All controllers are partitioned from each other until this time.
    peer_partition_until: u64,
    windows: ActiveWindows,
    copy_draws: CopyDraws,
    acquisitions: Acquisitions,
    delayed_heartbeats: DelayedHeartbeats,
    crashes_after_writes: Vec<CrashAfterWrite>,
    outages_after_writes: Vec<OutageAfterWrite>,
    /// Kinds of messages between controllers of which the next ones are lost.
    message_losses: Vec<MessageLoss>,
    service_check: ServiceCheck,
    /// Users poll often until this time.
    frequent_polls_until: u64,
    /// Observations that tests evaluate after the run.
    pub observations: Observations,
    /// Counts of the inputs and effects of the cores; `None` if the plan does not ask for them.
    pub tally: Option<Tally>,
    /// Fingerprint of all effects of the cores.
    pub fingerprint: Fingerprint,
    /// Number of events so far that concerned a worker.
    worker_events: u64,
    store_outage_until: u64,
    state: StoreModel,
    workers: BTreeMap<String, Worker>,
    /// Granted instance requests, by the name of the request.
    launches: HashMap<String, Launch>,
    /// Instances that are not up yet, by name.
    starting_instances: BTreeMap<String, StartingInstance>,
    next_machine: u64,
    /// Number of instances that the cloud can still launch.
    spare_instances: u32,
    pending_requests: HashMap<RequestId, PendingRequest>,
    next_request: u64,
    query_bursts: QueryBursts,
    /// The rules that are checked, with the state that their checks need.
    pub rules: Rules,
    /// Completed tasks.
    pub done: CompletedTasks,
    /// Running gangs.
    pub gangs: Gangs,
    next_job: u64,
    /// Time of the last delivery from one controller to another, by their indices. Later messages of the same
    /// connection don't arrive before it.
    last_delivery: HashMap<(usize, usize), u64>,
}

/// Queries that tests make on a run.
impl Sim {
    /// Returns the service tasks that run on a machine that does not hang, without those of cancelled jobs.
    pub fn running_service_tasks(&self) -> BTreeSet<String> {
        let is_service = |task: &str| {
            self.rules.jobs.get(job_of_task(task)).is_some_and(|job| job.kind == JobKind::Service)
        };
        let up = self.workers.values().filter(|w| !w.gone && self.now >= w.hung_until);
        up.flat_map(Worker::running_tasks)
            .filter(|task| is_service(task) && self.is_wanted(task))
            .map(str::to_string)
            .collect()
    }

    /// Returns the groups of jobs of which less than half were served, counting the jobs that were submitted before
    /// all faults ended. Jobs of teams with a quota are left out, since the quota may hold them back.
    pub fn groups_under_half_served(&self) -> Vec<Share> {
        let has_no_quota = |team: &&Team| team.cpus_max == 0.0 && team.gpus_max == 0.0;
        let teams = self.rules.teams.iter().filter(has_no_quota).map(|t| t.name.as_str()).collect();
        let shares = self.rules.served.shares(START_MS + self.plan.seconds * 1000, &teams);
        shares.into_iter().filter(Share::under_half).collect()
    }

    /// Returns whether the user has not asked to cancel the task's job.
    pub fn is_wanted(&self, task: &str) -> bool {
        !self.rules.cancel_requested.contains(job_of_task(task))
    }

    /// Returns the jobs whose last task ended, or whose cancellation was requested, more than `ms` ago, and whose
    /// users have not been told so.
    pub fn unacknowledged(&self, ms: u64) -> Vec<String> {
        self.rules.unacknowledged(self.now, ms, &self.done)
    }

    /// Returns how many times a worker's lease expired or a worker restarted, over the existing machines.
    pub fn leases_ended(&self) -> u64 {
        self.workers.values().filter(|w| !w.gone).map(|w| w.incarnation - 1).sum()
    }

    /// Returns the number of changes that the store has committed, of transactions that it has refused, and of
    /// its keys under a prefix.
    pub fn store_counts(&self, prefix: &str) -> (u64, u64, usize) {
        (self.state.changes, self.state.refused, self.state.count(prefix))
    }

    /// Returns the tasks that run on machines whose heartbeats reach no controller.
    pub fn tasks_behind_outbound_partitions(&self) -> Vec<String> {
        let is_partitioned = |w: &&Worker| !w.gone && self.now < w.outbound_partition_until;
        let workers = self.workers.values().filter(is_partitioned);
        workers.flat_map(Worker::running_tasks).map(str::to_string).collect()
    }
}

impl Drop for Sim {
    fn drop(&mut self) {
        self.fingerprint.append_to_file(self.plan.seed);
    }
}
