//! Checks the rules of the protocol after each step of a simulation.
use crate::broken_rule::{BrokenRule, Rule};
use crate::coscheduling::CoschedulingCheck;
use crate::reported_state::ReportedStateCheck;
use crate::served::Served;
use crate::starvation::{Cluster, StarvationCheck};
use crate::user_knowledge::{RequestKind, UserKnowledge, UserRequest};
use crate::worker::{job_of_task, Attempt, CompletedTasks, Worker, WorkerTask, ROUNDING};
use leaddeal_wire::settings::Team;
use leaddeal_wire::user::{Job, JobKind, JobState, JobStatus};
use leaddeal_wire::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};

/// A job counts as forgotten if no request about it has been answered for this long.
const FORGOTTEN_AFTER_MS: u64 = 75_000;

/// An attempt of a task that is present on a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Placement {
    task: String,
    machine: String,
    attempt: u64,
}

/// The started tasks on all machines whose workers hold an unexpired lease.
#[derive(Default)]
struct Placements<'a> {
    all: BTreeSet<Placement>,
    /// Workers of the started tasks of each job, by job identifier.
    by_job: BTreeMap<&'a str, Vec<&'a Worker>>,
    /// CPUs and GPUs in use, by team.
    usage: BTreeMap<&'a str, (f64, f64)>,
}

/// Returns the tasks that have started and not exited, with their workers. Workers without a lease are left out:
/// a machine that hangs until its lease expires runs nothing, and kills all tasks when it resumes.
fn started_tasks(
    now: u64,
    workers: &BTreeMap<String, Worker>,
) -> impl Iterator<Item = (&Worker, &Attempt)> {
    let with_lease = workers.values().filter(move |w| !w.gone && w.has_lease(now));
    with_lease.flat_map(|worker| {
        let has_started =
            |task: &WorkerTask| !matches!(task.state, TaskState::Exited | TaskState::Fetching);
        let started = worker.tasks.iter().filter(move |(_, task)| has_started(task));
        started.map(move |(attempt, _)| (worker, attempt))
    })
}

impl<'a> Placements<'a> {
    fn new(
        now: u64,
        workers: &'a BTreeMap<String, Worker>,
        jobs: &'a BTreeMap<String, Job>,
    ) -> Placements<'a> {
        let mut placements = Placements::default();
        for (worker, (name, attempt)) in started_tasks(now, workers) {
            let (task, machine) = (name.clone(), worker.name.clone());
            placements.all.insert(Placement { task, machine, attempt: *attempt });
            let id = job_of_task(name);
            placements.by_job.entry(id).or_default().push(worker);
            if let Some(job) = jobs.get(id) {
                let used = placements.usage.entry(&job.team).or_default();
                *used = (used.0 + job.cpus, used.1 + job.gpus);
            }
        }
        placements
    }
}

/// The rules, and the state of a run that their checks need. Times are simulated milliseconds; jobs are
/// named by identifier.
#[derive(Default)]
pub struct Rules {
    /// All submitted jobs, by identifier.
    pub jobs: BTreeMap<String, Job>,
    /// Jobs whose acceptance was acknowledged to their users.
    pub accepted: BTreeSet<String>,
    /// Jobs whose users have requested cancellation.
    pub cancel_requested: BTreeSet<String>,
    /// Terminal states that were acknowledged to users, and when.
    pub acknowledged: BTreeMap<String, (JobStatus, u64)>,
    /// Placements at the previous check.
    placements: BTreeSet<Placement>,
    /// Number of attempts that started.
    pub starts: usize,
    /// Number of attempts that started after the cancellation of their job had been acknowledged.
    pub starts_after_cancel: usize,
    /// The longest time between the acknowledgement of a cancellation and such a start. It is short if these attempts
    /// started only because the command to stop them was still in flight.
    pub latest_start_after_cancel_ms: u64,
    /// Jobs whose last task had ended at least a second before their users first cancelled them.
    pub ended_before_cancel: BTreeSet<String>,
    /// Number of those jobs that were reported as cancelled. It should be 0 unless a fault keeps their owner from
    /// learning that they ended.
    pub ended_but_cancelled: usize,
    /// Cancellations that were not answered yet, and when they were requested.
    pub unanswered_cancels: BTreeMap<String, u64>,
    /// Submissions that must not be accepted: what is wrong with them, and the expected HTTP status.
    pub invalid: BTreeMap<String, (String, u16)>,
    /// Number of those that were refused with the expected status.
    pub invalid_refused: usize,
    /// When each job's user last got an answer.
    last_answer_at: BTreeMap<String, u64>,
    /// When the last fault ended; `None` while faults may still occur.
    pub fault_free_since: Option<u64>,
    /// Share of the jobs that are served.
    pub served: Served,
    /// Detects jobs that starve.
    pub starvation: StarvationCheck,
    /// Peak usage of CPUs and GPUs, by team.
    pub peak_usage: BTreeMap<String, (f64, f64)>,
    /// Checks that the tasks of gangs run together.
    pub coscheduling: CoschedulingCheck,
    /// Checks the states that users are told.
    pub reported_state: ReportedStateCheck,
    /// Teams and their quotas.
    pub teams: Vec<Team>,
    cancel_ms: u64,
}

impl Rules {
    /// Creates the rules for these teams. `cancel_ms` is the longest time for which a task may run after the
    /// cancellation of its job was confirmed.
    pub fn new(teams: Vec<Team>, cancel_ms: u64) -> Rules {
        Rules { teams, cancel_ms, ..Rules::default() }
    }

    /// Checks the tasks that are on machines now.
    ///
    /// # Errors
    /// Returns the rule that is broken, and the task or team that breaks it.
    pub fn check(
        &mut self,
        now: u64,
        workers: &BTreeMap<String, Worker>,
    ) -> Result<(), BrokenRule> {
        self.check_cancelled(now, workers)?;
        self.reported_state.update(now, workers);
        let placements = Placements::new(now, workers, &self.jobs);
        check_quotas(&self.teams, &mut self.peak_usage, &self.jobs, &placements)?;
        for started in placements.all.difference(&self.placements) {
            self.starts += 1;
            self.served.started(&started.task, now);
            if let Some(late_ms) = self.ms_since_confirmed_cancel(now, &started.task) {
                self.starts_after_cancel += 1;
                self.latest_start_after_cancel_ms = self.latest_start_after_cancel_ms.max(late_ms);
            }
            check_runs_once(started, &placements)?;
            self.check_place(started, &placements, workers)?;
        }
        self.placements = placements.all;
        Ok(())
    }

    /// Returns the time since the cancellation of the task's job was acknowledged, if it was.
    fn ms_since_confirmed_cancel(&self, now: u64, task: &str) -> Option<u64> {
        match self.acknowledged.get(job_of_task(task)) {
            Some((JobStatus::Cancelled, at)) => Some(now - at),
            _ => None,
        }
    }

    /// Checks that no task runs for longer than `cancel_ms` after the cancellation of its job was confirmed.
    fn check_cancelled(
        &self,
        now: u64,
        workers: &BTreeMap<String, Worker>,
    ) -> Result<(), BrokenRule> {
        for (worker, (task, _)) in started_tasks(now, workers) {
            let since_ms = self.ms_since_confirmed_cancel(now, task);
            if since_ms.is_some_and(|ms| ms > self.cancel_ms) {
                return Err(Rule::RanCancelled.broken(format!("{task} on {}", worker.name)));
            }
        }
        Ok(())
    }

    /// Checks that a task starts only on a machine and in a zone that its job allows.
    fn check_place(
        &self,
        started: &Placement,
        placements: &Placements,
        workers: &BTreeMap<String, Worker>,
    ) -> Result<(), BrokenRule> {
        let task = &started.task;
        let id = job_of_task(task);
        let (Some(job), Some(worker)) = (self.jobs.get(id), workers.get(&started.machine)) else {
            return Err(Rule::DisallowedPlacement.broken(format!("unknown {task}")));
        };
        let (type_name, zone) = (&worker.type_name, &worker.zone);
        let type_ok = job.types.as_ref().is_none_or(|types| types.contains(type_name));
        let zone_ok = job.zone.as_ref().is_none_or(|wanted| wanted == zone);
        if !type_ok || !zone_ok || (worker.spot && !job.spot) {
            return Err(
                Rule::DisallowedPlacement.broken(format!("{task} on {type_name} in {zone}"))
            );
        }
        let of_job = &placements.by_job[id];
        if job.one_zone && of_job.iter().any(|other| other.zone != *zone) {
            return Err(Rule::DisallowedPlacement.broken(format!("{task} is not with the others")));
        }
        let here = of_job.iter().filter(|other| other.zone == *zone).count();
        if job.spread && here > (job.tasks as usize).div_ceil(2) {
            return Err(Rule::DisallowedPlacement
                .broken(format!("{here} of {} of {id} in {zone}", job.tasks)));
        }
        Ok(())
    }

    /// Checks that no job is forgotten: once all faults are over, requests about each accepted job keep being
    /// answered, whatever happens to other jobs.
    ///
    /// # Errors
    /// Returns the job that was forgotten.
    pub fn check_answered(&self, now: u64) -> Result<(), BrokenRule> {
        let Some(fault_free_since) = self.fault_free_since else { return Ok(()) };
        for id in self.wanted() {
            let last = self.last_answer_at.get(id).copied().unwrap_or(0).max(fault_free_since);
            if now > last + FORGOTTEN_AFTER_MS {
                return Err(Rule::Forgotten.broken(format!("nothing is said of {id} since {last}")));
            }
        }
        Ok(())
    }

    /// Returns the accepted jobs whose users have not requested cancellation.
    fn wanted(&self) -> impl Iterator<Item = &String> {
        self.accepted.iter().filter(|id| !self.cancel_requested.contains(*id))
    }

    /// Returns what the user of a job has been told so far.
    pub fn knowledge(&self, id: &str) -> UserKnowledge {
        match self.acknowledged.get(id) {
            Some((status, _)) => UserKnowledge::Over(*status),
            None if self.accepted.contains(id) => UserKnowledge::Accepted,
            None => UserKnowledge::Nothing,
        }
    }

    /// Returns the jobs whose last task ended, or whose cancellation was requested, more than `ms` ago, and
    /// whose users have not been told of a terminal state.
    pub fn unacknowledged(&self, now: u64, ms: u64, done: &CompletedTasks) -> Vec<String> {
        let ended =
            |job: &&Job| done.all_of(job) && done.last(&job.id).is_some_and(|at| now > at + ms);
        let is_open = |job: &&Job| !self.acknowledged.contains_key(&job.id);
        let ended = self.jobs.values().filter(ended).filter(is_open);
        let cancels = self.unanswered_cancels.iter().filter(|(_, at)| now > *at + ms);
        ended.map(|job| job.id.clone()).chain(cancels.map(|(id, _)| id.clone())).collect()
    }

    /// Checks that no job is left waiting while there is free capacity that fits it and its team's quota allows.
    /// Jobs that starve while demand exceeds the capacity or a team's quota are only counted: the scheduler does
    /// leave some of them waiting.
    ///
    /// # Errors
    /// Returns the job that starves.
    pub fn check_starvation(
        &mut self,
        now: u64,
        workers: &BTreeMap<String, Worker>,
        done: &CompletedTasks,
    ) -> Result<(), BrokenRule> {
        if self.fault_free_since.is_none() {
            return Ok(());
        }
        let (accepted, cancel_requested) = (&self.accepted, &self.cancel_requested);
        let wanted = accepted.iter().filter(|id| !cancel_requested.contains(*id));
        let open = wanted.filter(|id| !self.acknowledged.contains_key(*id));
        let open = open.filter_map(|id| self.jobs.get(id));
        let cluster = Cluster { jobs: &self.jobs, workers, teams: &self.teams, done };
        self.starvation.check(now, open, &cluster);
        match self.starvation.starved.iter().find(|(_, starved)| !starved.crowded) {
            Some((id, starved)) => Err(Rule::Starved.broken(format!("{id} of {}", starved.team))),
            None => Ok(()),
        }
    }

    /// Checks an answer to a user's request, and records what it tells the user.
    ///
    /// # Errors
    /// Returns the rule that the answer breaks.
    pub fn check_answer(
        &mut self,
        now: u64,
        request: &UserRequest,
        http_status: u16,
        state: Option<&JobState>,
        done: &CompletedTasks,
    ) -> Result<(), BrokenRule> {
        let id = request.job.as_str();
        if let Some(rule) = request.broken_by(http_status, state.map(|s| s.status)) {
            return Err(rule);
        }
        if let Some((what, due)) = self.invalid.get(id) {
            let refused = check_refusal(request, http_status, *due, what)?;
            self.invalid_refused += usize::from(refused);
            return Ok(());
        }
        let Some(state) = state else { return Ok(()) };
        self.last_answer_at.insert(id.into(), now);
        self.check_status(id, state.status, done)?;
        self.reported_state.check(now, self.fault_free_since, id, state.status)?;
        if request.kind == RequestKind::Cancel {
            self.unanswered_cancels.remove(id);
        }
        if matches!(state.status, JobStatus::Done | JobStatus::Cancelled) {
            self.acknowledge(now, id, state.status)?;
        }
        self.accepted.insert(id.into());
        Ok(())
    }

    /// Checks that a job is done only once all its tasks are done, and cancelled only if its user requested it.
    fn check_status(
        &self,
        id: &str,
        status: JobStatus,
        done: &CompletedTasks,
    ) -> Result<(), BrokenRule> {
        let Some(job) = self.jobs.get(id) else {
            return Err(Rule::UnknownJob.broken(id));
        };
        match status {
            JobStatus::Done if !done.all_of(job) || job.kind == JobKind::Service => {
                Err(Rule::NotDone.broken(id))
            }
            JobStatus::Cancelled if !self.cancel_requested.contains(id) => {
                Err(Rule::TerminalStateChanged.broken(format!("{id} cancelled by nobody")))
            }
            JobStatus::Done | JobStatus::Cancelled | JobStatus::Queued | JobStatus::Running => {
                Ok(())
            }
        }
    }

    /// Records a terminal state that was reported to a user, and checks that no answer has reported another one.
    /// Answers to concurrent requests must agree, too.
    fn acknowledge(&mut self, now: u64, id: &str, status: JobStatus) -> Result<(), BrokenRule> {
        let is_first = !self.acknowledged.contains_key(id);
        let had_ended = status == JobStatus::Cancelled && self.ended_before_cancel.contains(id);
        self.ended_but_cancelled += usize::from(is_first && had_ended);
        let (was, _) = *self.acknowledged.entry(id.into()).or_insert((status, now));
        if was != status {
            return Err(
                Rule::TerminalStateChanged.broken(format!("{id} from {was:?} to {status:?}"))
            );
        }
        Ok(())
    }
}

/// Checks that no team exceeds its quotas, and records each team's peak usage.
fn check_quotas(
    teams: &[Team],
    peak_usage: &mut BTreeMap<String, (f64, f64)>,
    jobs: &BTreeMap<String, Job>,
    placements: &Placements,
) -> Result<(), BrokenRule> {
    for team in teams {
        let name = &team.name;
        let (cpus, gpus) = placements.usage.get(name.as_str()).copied().unwrap_or_default();
        let peak = peak_usage.entry(name.clone()).or_default();
        *peak = (peak.0.max(cpus), peak.1.max(gpus));
        let over = |max: f64, used: f64| max > 0.0 && used > max + ROUNDING;
        if over(team.cpus_max, cpus) || over(team.gpus_max, gpus) {
            let is_of_team = |placement: &&Placement| {
                jobs.get(job_of_task(&placement.task)).is_some_and(|job| job.team == *name)
            };
            let of_team = placements.all.iter().filter(is_of_team);
            let who: Vec<_> = of_team.map(|p| (&p.task, &p.machine, p.attempt)).collect();
            let max = (team.cpus_max, team.gpus_max);
            return Err(
                Rule::Quota.broken(format!("{name} uses {cpus}, {gpus} of {max:?}: {who:?}"))
            );
        }
    }
    Ok(())
}

/// Checks that a task does not start while another attempt of it is on another machine.
fn check_runs_once(started: &Placement, placements: &Placements) -> Result<(), BrokenRule> {
    let Placement { task, machine, .. } = started;
    match placements.all.iter().find(|p| p.task == *task && p.machine != *machine) {
        Some(other) => {
            let other = &other.machine;
            Err(Rule::DuplicateExecution
                .broken(format!("{task} starts on {machine} while on {other}")))
        }
        None => Ok(()),
    }
}

/// Checks the answer to a submission that must not be accepted, or to another request about it. Returns whether
/// the submission was refused with the expected status `due`.
fn check_refusal(
    request: &UserRequest,
    http_status: u16,
    due: u16,
    what: &str,
) -> Result<bool, BrokenRule> {
    let is_submission = request.kind == RequestKind::Submit;
    let due = if is_submission { due } else { 404 };
    let id = &request.job;
    match http_status {
        429 | 503 | 504 => Ok(false),
        status if status == due => Ok(is_submission),
        200 | 201 => Err(Rule::InvalidAccepted.broken(format!("{id} with {what}"))),
        status => Err(Rule::WrongRefusalStatus
            .broken(format!("{id} with {what} is answered {status}, not {due}"))),
    }
}
