//! The seeded simulator: three cores, late, lost and held messages, crashes, hung machines,
//! outages. Time is simulated; the same seed gives the same run.
//!
//! [`Sim`] holds the state; each module handles one of its concerns. The order of draws from the random
//! generator, and of events of the same time, is part of a run: changing it changes every run.
use crate::fingerprint::Fingerprint;
use crate::gangs::Gangs;
use crate::rules::Rules;
use crate::script::Observations;
use crate::served::Share;
use crate::state::State;
use crate::tally::Tally;
use crate::worker::{job_of_task, CompletedTasks, Worker};
use cloud::{Launch, StartingInstance};
use controllers::Controller;
use crash_after_write::CrashAfterWrite;
use delayed_heartbeats::DelayedHeartbeats;
use event::{EventQueue, PendingRequest, RequestId};
use fault_windows::ActiveWindows;
use leaddeal_wire::settings::Team;
use leaddeal_wire::user::JobKind;
use query_bursts::QueryBursts;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet, HashMap};

mod cloud;
mod controllers;
mod crash_after_write;
mod delayed_heartbeats;
mod dispatch;
mod effects;
mod event;
mod fault_injection;
mod fault_windows;
mod jobs;
mod plan;
mod preload;
mod query_bursts;
mod random_faults;
mod run;
mod sabotage;
mod setup;
mod store;
mod teams;
mod users;
mod workers;

pub use plan::Plan;
pub use sabotage::Sabotage;
pub use teams::Teams;

/// How many controllers there are.
pub const NODES: usize = 3;
/// Simulated time of the beginning, in milliseconds.
pub const BEGIN: u64 = 10_000;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// How long a controller stays away that is started again at once.
const FAST_RESTART_MS: std::ops::Range<u64> = 20..900;
/// Between two steps of the gangs.
const GANG_STEP_MS: u64 = 100;
/// Between two checks that users are answered and no job starves.
const LIVENESS_CHECK_MS: u64 = 1000;

/// A simulated run. Fields that end in `_until` are simulated times in milliseconds.
pub struct Sim {
    plan: Plan,
    /// Prints what happens.
    pub trace: bool,
    rng: SmallRng,
    now: u64,
    events: EventQueue,
    controllers: Vec<Controller>,
    /// All controllers are partitioned from each other until then.
    peer_partition_until: u64,
    windows: ActiveWindows,
    delayed_heartbeats: DelayedHeartbeats,
    crashes_after_writes: Vec<CrashAfterWrite>,
    /// Users poll often until then.
    frequent_polls_until: u64,
    /// What was observed.
    pub observations: Observations,
    /// What went into the cores and came out, if that is counted.
    pub tally: Option<Tally>,
    /// Of all that came out of the cores.
    pub fingerprint: Fingerprint,
    /// How many events concerned a worker.
    worker_events: u64,
    store_outage_until: u64,
    state: State,
    workers: BTreeMap<String, Worker>,
    /// By the instance request's name.
    launches: HashMap<String, Launch>,
    /// By the instance's name.
    starting: BTreeMap<String, StartingInstance>,
    next_machine: u64,
    /// How many instances the cloud has left.
    spare_instances: u32,
    pending: HashMap<RequestId, PendingRequest>,
    next_request: u64,
    query_bursts: QueryBursts,
    /// The rules, and what their checks know.
    pub rules: Rules,
    /// Completed tasks.
    pub done: CompletedTasks,
    /// Gangs that run.
    pub gangs: Gangs,
    next_job: u64,
    /// Time of the last delivery by link, to keep the order of a connection.
    last_delivery: HashMap<(usize, usize), u64>,
}

/// What tests ask of a run.
impl Sim {
    /// Tasks of services that run somewhere and are wanted.
    pub fn replicas(&self) -> BTreeSet<String> {
        let is_service = |task: &str| {
            self.rules.jobs.get(job_of_task(task)).is_some_and(|job| job.kind == JobKind::Service)
        };
        let up = self.workers.values().filter(|w| !w.gone && self.now >= w.hung_until);
        up.flat_map(Worker::running_tasks)
            .filter(|task| is_service(task) && self.wanted(task))
            .map(str::to_string)
            .collect()
    }

    /// Groups of which less than half was served, of the jobs that were submitted before the calm. What a
    /// team's limit holds back had no capacity.
    pub fn under_half(&self) -> Vec<Share> {
        let unlimited = |team: &&Team| team.cpus_max == 0.0 && team.gpus_max == 0.0;
        let teams = self.rules.teams.iter().filter(unlimited).map(|t| t.name.as_str()).collect();
        let shares = self.rules.served.shares(BEGIN + self.plan.seconds * 1000, &teams);
        shares.into_iter().filter(Share::under_half).collect()
    }

    /// Whether its user still wants the task's job.
    pub fn wanted(&self, task: &str) -> bool {
        !self.rules.cancel_asked.contains(job_of_task(task))
    }

    /// Jobs whose users were not told, `ms` after it, that they are done, or cancelled as they asked.
    pub fn unacknowledged(&self, ms: u64) -> Vec<String> {
        self.rules.unacknowledged(self.now, ms, &self.done)
    }

    /// How often a worker's lease ran out or a worker restarted.
    pub fn leases_ended(&self) -> u64 {
        self.workers.values().filter(|w| !w.gone).map(|w| w.incarnation - 1).sum()
    }

    /// What the state service was asked for: changes taken, transactions refused, and keys that it has
    /// under a prefix.
    pub fn store(&self, prefix: &str) -> (u64, u64, usize) {
        (self.state.changes, self.state.refused, self.state.count(prefix))
    }

    /// Tasks that run on machines which reach no controller.
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
