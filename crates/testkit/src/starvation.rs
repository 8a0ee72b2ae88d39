//! Detects jobs that are left waiting although a suitable machine has free capacity and their team's quota allows
//! them.
use crate::worker::{job_of_task, CompletedTasks, Worker, ROUNDING};
use leaddeal_wire::settings::Team;
use leaddeal_wire::user::{Job, JobKind};
use std::collections::BTreeMap;

/// A job starves if it waits for longer than this while there is free capacity for it.
pub const STARVED_AFTER_MS: u64 = 90_000;

/// Amounts of CPUs and GPUs.
#[derive(Clone, Copy, Debug, Default)]
struct Resources {
    cpus: f64,
    gpus: f64,
}

impl Resources {
    /// Returns the resources that a task of the job takes.
    fn of_task(job: &Job) -> Resources {
        Resources { cpus: job.cpus, gpus: job.gpus }
    }

    /// Returns a team's quotas; 0 means unlimited.
    fn quotas_of(team: &Team) -> Resources {
        Resources { cpus: team.cpus_max, gpus: team.gpus_max }
    }

    fn plus(self, other: Resources) -> Resources {
        Resources { cpus: self.cpus + other.cpus, gpus: self.gpus + other.gpus }
    }

    fn minus(self, other: Resources) -> Resources {
        Resources { cpus: self.cpus - other.cpus, gpus: self.gpus - other.gpus }
    }

    fn times(self, count: f64) -> Resources {
        Resources { cpus: self.cpus * count, gpus: self.gpus * count }
    }

    fn sum(all: impl Iterator<Item = Resources>) -> Resources {
        all.fold(Resources::default(), Resources::plus)
    }

    /// Returns how many tasks that take `need` each fit into these resources.
    fn fits(self, need: Resources) -> usize {
        let times = |free: f64, need: f64| match need > 0.0 {
            true => ((free + ROUNDING) / need).max(0.0),
            false => f64::MAX,
        };
        times(self.cpus, need.cpus).min(times(self.gpus, need.gpus)) as usize
    }

    /// Returns whether these resources exceed a quota; a quota of 0 is unlimited.
    fn exceeds(self, quotas: Resources) -> bool {
        let over = |quota: f64, amount: f64| quota > 0.0 && amount > quota + ROUNDING;
        over(quotas.cpus, self.cpus) || over(quotas.gpus, self.gpus)
    }
}

/// Returns the free resources of a machine, from the tasks that its worker has.
fn free(worker: &Worker, jobs: &BTreeMap<String, Job>) -> Resources {
    let here = worker.tasks.iter().filter(|(_, task)| task.is_on_machine());
    let jobs_here = here.filter_map(|((name, _), _)| jobs.get(job_of_task(name)));
    let all = Resources { cpus: worker.cpus, gpus: worker.gpus };
    jobs_here.fold(all, |free, job| free.minus(Resources::of_task(job)))
}

/// Number of a job's tasks that a machine has capacity for.
#[derive(Clone, Debug)]
struct MachineCapacity {
    zone: String,
    tasks: usize,
}

/// Capacity for a job's tasks, by machine name.
type Capacity = BTreeMap<String, MachineCapacity>;

/// Returns how many tasks of a job have to start together.
fn min_tasks(job: &Job) -> usize {
    if job.kind == JobKind::Gang {
        job.tasks as usize
    } else {
        1
    }
}

/// Resources and tasks on the machines now.
struct Usage<'a> {
    /// Free resources of each machine that is reachable and not failing.
    free: Vec<(&'a Worker, Resources)>,
    used_by_team: BTreeMap<&'a str, Resources>,
    /// Number of tasks in each zone, by job.
    tasks_by_zone: BTreeMap<&'a str, BTreeMap<&'a str, u32>>,
}

impl<'a> Usage<'a> {
    fn new(
        now: u64,
        jobs: &'a BTreeMap<String, Job>,
        workers: &'a BTreeMap<String, Worker>,
    ) -> Usage<'a> {
        let mut usage = Usage {
            free: Vec::new(),
            used_by_team: BTreeMap::new(),
            tasks_by_zone: BTreeMap::new(),
        };
        for worker in workers.values().filter(|w| !w.gone) {
            let reached_at = worker.unreachable_until().max(worker.outbound_partition_until);
            if now >= reached_at.max(worker.failing_until) {
                usage.free.push((worker, free(worker, jobs)));
            }
            for ((name, _), _) in worker.tasks.iter().filter(|(_, task)| task.is_on_machine()) {
                if let Some(job) = jobs.get(job_of_task(name)) {
                    usage.add(worker, job);
                }
            }
        }
        usage
    }

    /// Adds a task of the job that is on the machine of this worker.
    fn add(&mut self, worker: &'a Worker, job: &'a Job) {
        *self.tasks_by_zone.entry(&job.id).or_default().entry(&worker.zone).or_default() += 1;
        let used = self.used_by_team.entry(&job.team).or_default();
        *used = used.plus(Resources::of_task(job));
    }

    /// Returns how many tasks of the job are on machines.
    fn placed(&self, job: &Job) -> u32 {
        self.tasks_by_zone.get(job.id.as_str()).map_or(0, |zones| zones.values().sum())
    }

    fn used_by(&self, team: &str) -> Resources {
        self.used_by_team.get(team).copied().unwrap_or_default()
    }

    /// Returns the capacity for tasks of the job on each machine that the job may use.
    fn capacity_for(&self, job: &Job) -> Capacity {
        let zones = self.tasks_by_zone.get(job.id.as_str());
        let fits = |worker: &Worker| {
            let type_ok = job.types.as_ref().is_none_or(|types| types.contains(&worker.type_name));
            let zone_ok = job.zone.as_ref().is_none_or(|zone| *zone == worker.zone);
            let with_others =
                !job.one_zone || zones.is_none_or(|z| z.contains_key(worker.zone.as_str()));
            type_ok && zone_ok && with_others && (job.spot || !worker.spot)
        };
        let machines = self.free.iter().filter(|(worker, _)| fits(worker));
        machines
            .map(|(worker, free)| {
                let (zone, tasks) = (worker.zone.clone(), free.fits(Resources::of_task(job)));
                (worker.name.clone(), MachineCapacity { zone, tasks })
            })
            .collect()
    }

    /// Returns how many more tasks of the job its team's quotas allow.
    fn allowed(&self, job: &Job, team: &Team) -> usize {
        let used = self.used_by(&job.team);
        let left = |quota: f64, used: f64| if quota > 0.0 { quota - used } else { f64::MAX };
        let cpus = left(team.cpus_max, used.cpus);
        let gpus = left(team.gpus_max, used.gpus);
        Resources { cpus, gpus }.fits(Resources::of_task(job))
    }

    /// Returns whether the capacity is enough for one of the job's tasks, or for all tasks of a gang.
    fn is_enough(&self, job: &Job, capacity: &Capacity) -> bool {
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        for machine in capacity.values() {
            *zones.entry(&machine.zone).or_default() += machine.tasks;
        }
        if job.spread {
            let placed = self.tasks_by_zone.get(job.id.as_str());
            for (zone, tasks) in &mut zones {
                let here = placed.and_then(|zones| zones.get(zone)).copied().unwrap_or(0);
                let allowed = job.tasks.div_ceil(2).saturating_sub(here) as usize;
                *tasks = (*tasks).min(allowed);
            }
        }
        let tasks: usize = if job.one_zone && job.kind == JobKind::Gang {
            zones.into_values().max().unwrap_or(0)
        } else {
            zones.into_values().sum()
        };
        tasks >= min_tasks(job)
    }
}

/// A job that waits while there is free capacity for it.
#[derive(Debug)]
struct WaitingJob {
    /// Start of the wait, in milliseconds.
    since: u64,
    /// Number of its tasks that are done or on machines.
    placed: usize,
    /// Capacity that was free during the whole wait. Capacity that is free only for a moment, before work of higher
    /// priority takes it, does not count.
    capacity: Capacity,
}

impl WaitingJob {
    fn new(now: u64, placed: usize, mut capacity: Capacity) -> WaitingJob {
        capacity.retain(|_, machine| machine.tasks > 0);
        WaitingJob { since: now, placed, capacity }
    }

    /// Reduces the capacity to what is still free now.
    fn narrow(mut self, free_now: &Capacity) -> WaitingJob {
        self.capacity.retain(|name, machine| {
            let tasks = free_now.get(name).map_or(0, |now| now.tasks);
            machine.tasks = machine.tasks.min(tasks);
            machine.tasks > 0
        });
        self
    }
}

/// A job that starved.
#[derive(Clone, Debug)]
pub struct StarvedJob {
    /// Its team.
    pub team: String,
    /// While it waited, a team's demand exceeded its quota, or the total demand exceeded the capacity.
    pub crowded: bool,
}

/// The state that is checked: all jobs, teams and machines.
pub(crate) struct Cluster<'a> {
    pub(crate) jobs: &'a BTreeMap<String, Job>,
    pub(crate) workers: &'a BTreeMap<String, Worker>,
    pub(crate) teams: &'a [Team],
    pub(crate) done: &'a CompletedTasks,
}

/// Detects jobs that starve.
#[derive(Debug, Default)]
pub struct StarvationCheck {
    waiting: BTreeMap<String, WaitingJob>,
    /// When a team's demand last exceeded its quota, or the total demand the capacity; `None` if never.
    crowded_at: Option<u64>,
    /// Jobs that starved, by identifier.
    pub starved: BTreeMap<String, StarvedJob>,
}

impl StarvationCheck {
    /// Updates the waits of the `wanted` jobs, and records those that have starved by now.
    pub(crate) fn check<'a>(
        &mut self,
        now: u64,
        wanted: impl Iterator<Item = &'a Job>,
        cluster: &Cluster,
    ) {
        let usage = Usage::new(now, cluster.jobs, cluster.workers);
        let mut waiting = BTreeMap::new();
        let mut pending_by_team: BTreeMap<&str, Resources> = BTreeMap::new();
        for job in wanted.filter(|job| !cluster.done.always_failing.contains(&job.id)) {
            let placed = cluster.done.count_of(job) + usage.placed(job) as usize;
            let pending = (job.tasks as usize).saturating_sub(placed) as f64;
            let of_team = pending_by_team.entry(&job.team).or_default();
            *of_team = of_team.plus(Resources::of_task(job).times(pending));
            if let Some(job_waits) = self.update_wait(now, job, placed, &usage, cluster.teams) {
                waiting.insert(job.id.clone(), job_waits);
            }
        }
        if is_crowded(&usage, &pending_by_team, cluster.teams) {
            self.crowded_at = Some(now);
        }
        self.waiting = waiting;
    }

    /// Returns the wait of a job if it waits while there is free capacity for it, and records the job if it has
    /// starved by now.
    fn update_wait(
        &mut self,
        now: u64,
        job: &Job,
        placed: usize,
        usage: &Usage,
        teams: &[Team],
    ) -> Option<WaitingJob> {
        let team = teams.iter().find(|team| team.name == job.team)?;
        let is_waiting =
            placed < job.tasks as usize && (job.kind != JobKind::Gang || usage.placed(job) == 0);
        if !is_waiting || usage.allowed(job, team) < min_tasks(job) {
            return None;
        }
        let capacity = usage.capacity_for(job);
        let before = self.waiting.remove(&job.id).filter(|before| before.placed == placed);
        let waits = before
            .map(|before| before.narrow(&capacity))
            .filter(|before| usage.is_enough(job, &before.capacity))
            .unwrap_or_else(|| WaitingJob::new(now, placed, capacity));
        if now > waits.since + STARVED_AFTER_MS {
            let crowded = self.crowded_at.is_some_and(|at| at >= waits.since);
            let starved = StarvedJob { team: job.team.clone(), crowded };
            self.starved.insert(job.id.clone(), starved);
        }
        usage.is_enough(job, &waits.capacity).then_some(waits)
    }
}

/// Returns whether a team's demand exceeds its quota, or the total demand exceeds the capacity.
fn is_crowded(usage: &Usage, pending_by_team: &BTreeMap<&str, Resources>, teams: &[Team]) -> bool {
    let exceeds_quota = teams.iter().any(|team| {
        let pending = pending_by_team.get(team.name.as_str()).copied().unwrap_or_default();
        let wanted = usage.used_by(&team.name).plus(pending);
        wanted.exceeds(Resources::quotas_of(team))
    });
    let free = Resources::sum(usage.free.iter().map(|(_, free)| *free));
    let pending = Resources::sum(pending_by_team.values().copied());
    exceeds_quota || pending.exceeds(free)
}
