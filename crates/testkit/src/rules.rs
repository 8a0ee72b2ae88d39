//! The rules of the protocol, checked after each step.
use crate::broken_rule::{BrokenRule, Rule};
use crate::coscheduling::CoschedulingCheck;
use crate::served::Served;
use crate::starvation::{Cluster, StarvationCheck};
use crate::user_knowledge::{RequestKind, UserKnowledge, UserRequest};
use crate::worker::{job_of_task, Attempt, CompletedTasks, Worker, WorkerTask, ROUNDING};
use leaddeal_wire::settings::Team;
use leaddeal_wire::user::{Job, JobKind, JobState, JobStatus};
use leaddeal_wire::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};

/// A job about which no request is answered for this long counts as forgotten.
const FORGOTTEN_AFTER_MS: u64 = 75_000;

/// A task's attempt on a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Placement {
    task: String,
    machine: String,
    attempt: u64,
}

/// What is on machines now, by the workers whose leases last.
#[derive(Default)]
struct Placements<'a> {
    all: BTreeSet<Placement>,
    /// The worker of each task of a job.
    by_job: BTreeMap<&'a str, Vec<&'a Worker>>,
    /// Processors and GPUs that each team uses.
    usage: BTreeMap<&'a str, (f64, f64)>,
}

/// Workers and their tasks that have started and not exited. A machine that hangs beyond its lease runs
/// nothing and kills all when it wakes up.
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

/// The rules, and what their checks know of a run. Times are simulated milliseconds; jobs go by identifier.
#[derive(Default)]
pub struct Rules {
    /// All jobs that were submitted.
    pub jobs: BTreeMap<String, Job>,
    /// Jobs that users were told are accepted.
    pub accepted: BTreeSet<String>,
    /// Jobs whose users want them cancelled.
    pub cancel_asked: BTreeSet<String>,
    /// Terminal states that users were told, and when.
    pub acknowledged: BTreeMap<String, (JobStatus, u64)>,
    placements: BTreeSet<Placement>,
    /// How many attempts started.
    pub starts: usize,
    /// Starts of tasks whose users had been told by then that their jobs are cancelled.
    pub starts_after_cancel: usize,
    /// The longest time after that: what a stop that is on its way does not prevent is soon.
    pub latest_start_after_cancel_ms: u64,
    /// Jobs whose last task had ended a second before their users first cancelled them.
    pub ended_before_cancel: BTreeSet<String>,
    /// How many of those were called cancelled: where nothing keeps their owner from knowing, none should be.
    pub ended_but_cancelled: usize,
    /// Cancellations that were not answered yet, and since when.
    pub unanswered_cancels: BTreeMap<String, u64>,
    /// Submissions that must not be accepted: what is wrong, and the HTTP status due.
    pub invalid: BTreeMap<String, (String, u16)>,
    /// How many of them were refused as they should.
    pub invalid_refused: usize,
    /// When each job's user last got an answer.
    answered: BTreeMap<String, u64>,
    /// All faults are over since then.
    pub calm_since: Option<u64>,
    /// Which jobs are served.
    pub served: Served,
    /// Which jobs starve.
    pub starvation: StarvationCheck,
    /// The most processors and GPUs that each team ever used.
    pub peak_usage: BTreeMap<String, (f64, f64)>,
    /// Whether gangs run together.
    pub coscheduling: CoschedulingCheck,
    /// Teams and their limits.
    pub teams: Vec<Team>,
    cancel_ms: u64,
}

impl Rules {
    /// `cancel_ms`: within this time after its cancellation was confirmed, no task of a job may run.
    pub fn new(teams: Vec<Team>, cancel_ms: u64) -> Rules {
        Rules { teams, cancel_ms, ..Rules::default() }
    }

    /// Checks what is on machines now.
    ///
    /// # Errors
    /// The rule that is broken, and by which task.
    pub fn check(
        &mut self,
        now: u64,
        workers: &BTreeMap<String, Worker>,
    ) -> Result<(), BrokenRule> {
        self.check_cancelled(now, workers)?;
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

    /// How long ago the task's user was told that its job is cancelled.
    fn ms_since_confirmed_cancel(&self, now: u64, task: &str) -> Option<u64> {
        match self.acknowledged.get(job_of_task(task)) {
            Some((JobStatus::Cancelled, at)) => Some(now - at),
            _ => None,
        }
    }

    /// No task runs for longer than it may after the cancellation of its job was confirmed.
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

    /// A task starts only on a machine and in a zone that its job allows.
    fn check_place(
        &self,
        started: &Placement,
        placements: &Placements,
        workers: &BTreeMap<String, Worker>,
    ) -> Result<(), BrokenRule> {
        let task = &started.task;
        let id = job_of_task(task);
        let (Some(job), Some(worker)) = (self.jobs.get(id), workers.get(&started.machine)) else {
            return Err(Rule::WrongPlace.broken(format!("unknown {task}")));
        };
        let (type_name, zone) = (&worker.type_name, &worker.zone);
        let type_ok = job.types.as_ref().is_none_or(|types| types.contains(type_name));
        let zone_ok = job.zone.as_ref().is_none_or(|wanted| wanted == zone);
        if !type_ok || !zone_ok || (worker.spot && !job.spot) {
            return Err(Rule::WrongPlace.broken(format!("{task} on {type_name} in {zone}")));
        }
        let of_job = &placements.by_job[id];
        if job.one_zone && of_job.iter().any(|other| other.zone != *zone) {
            return Err(Rule::WrongPlace.broken(format!("{task} is not with the others")));
        }
        let here = of_job.iter().filter(|other| other.zone == *zone).count();
        if job.spread && here > (job.tasks as usize).div_ceil(2) {
            return Err(
                Rule::WrongPlace.broken(format!("{here} of {} of {id} in {zone}", job.tasks))
            );
        }
        Ok(())
    }

    /// No job is forgotten: once all faults are over, its user gets an answer again and again,
    /// however others fare.
    ///
    /// # Errors
    /// The job that was forgotten.
    pub fn check_answered(&self, now: u64) -> Result<(), BrokenRule> {
        let Some(calm) = self.calm_since else { return Ok(()) };
        for id in self.wanted() {
            let last = self.answered.get(id).copied().unwrap_or(0).max(calm);
            if now > last + FORGOTTEN_AFTER_MS {
                return Err(Rule::Forgotten.broken(format!("nothing is said of {id} since {last}")));
            }
        }
        Ok(())
    }

    /// Accepted jobs that their users have not cancelled.
    fn wanted(&self) -> impl Iterator<Item = &String> {
        self.accepted.iter().filter(|id| !self.cancel_asked.contains(*id))
    }

    /// What a job's user knows by now.
    pub fn knowledge(&self, id: &str) -> UserKnowledge {
        match self.acknowledged.get(id) {
            Some((status, _)) => UserKnowledge::Over(*status),
            None if self.accepted.contains(id) => UserKnowledge::Accepted,
            None => UserKnowledge::Nothing,
        }
    }

    /// Jobs whose last task ended more than `ms` ago, or whose cancellation was asked for before that, and
    /// whose users were not told.
    pub fn unacknowledged(&self, now: u64, ms: u64, done: &CompletedTasks) -> Vec<String> {
        let ended =
            |job: &&Job| done.all_of(job) && done.last(&job.id).is_some_and(|at| now > at + ms);
        let is_open = |job: &&Job| !self.acknowledged.contains_key(&job.id);
        let ended = self.jobs.values().filter(ended).filter(is_open);
        let cancels = self.unanswered_cancels.iter().filter(|(_, at)| now > *at + ms);
        ended.map(|job| job.id.clone()).chain(cancels.map(|(id, _)| id.clone())).collect()
    }

    /// No job is left waiting beside capacity that it and its team may use. (While there is more work than
    /// capacity, or than a team's limit, some are today; they are counted.)
    ///
    /// # Errors
    /// The job that starves.
    pub fn check_starvation(
        &mut self,
        now: u64,
        workers: &BTreeMap<String, Worker>,
        done: &CompletedTasks,
    ) -> Result<(), BrokenRule> {
        if self.calm_since.is_none() {
            return Ok(());
        }
        let (accepted, cancel_asked) = (&self.accepted, &self.cancel_asked);
        let wanted = accepted.iter().filter(|id| !cancel_asked.contains(*id));
        let open = wanted.filter(|id| !self.acknowledged.contains_key(*id));
        let open = open.filter_map(|id| self.jobs.get(id));
        let cluster = Cluster { jobs: &self.jobs, workers, teams: &self.teams, done };
        self.starvation.check(now, open, &cluster);
        match self.starvation.starved.iter().find(|(_, starved)| !starved.crowded) {
            Some((id, starved)) => Err(Rule::Neglected.broken(format!("{id} of {}", starved.team))),
            None => Ok(()),
        }
    }

    /// Checks an answer to a user's request.
    ///
    /// # Errors
    /// The rule that the answer breaks.
    pub fn answer(
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
        self.answered.insert(id.into(), now);
        self.check_status(id, state.status, done)?;
        if request.kind == RequestKind::Cancel {
            self.unanswered_cancels.remove(id);
        }
        if matches!(state.status, JobStatus::Done | JobStatus::Cancelled) {
            self.acknowledge(now, id, state.status)?;
        }
        self.accepted.insert(id.into());
        Ok(())
    }

    /// A job is done only once all its tasks are, and cancelled only if its user asked for it.
    fn check_status(
        &self,
        id: &str,
        status: JobStatus,
        done: &CompletedTasks,
    ) -> Result<(), BrokenRule> {
        let Some(job) = self.jobs.get(id) else {
            return Err(Rule::Invented.broken(id));
        };
        match status {
            JobStatus::Done if !done.all_of(job) || job.kind == JobKind::Service => {
                Err(Rule::NotDone.broken(id))
            }
            JobStatus::Cancelled if !self.cancel_asked.contains(id) => {
                Err(Rule::WentBack.broken(format!("{id} cancelled by nobody")))
            }
            JobStatus::Done | JobStatus::Cancelled | JobStatus::Queued | JobStatus::Running => {
                Ok(())
            }
        }
    }

    /// A user is told a terminal state. Of two answers that were asked for before either came, both can't
    /// be true.
    fn acknowledge(&mut self, now: u64, id: &str, status: JobStatus) -> Result<(), BrokenRule> {
        let is_first = !self.acknowledged.contains_key(id);
        let had_ended = status == JobStatus::Cancelled && self.ended_before_cancel.contains(id);
        self.ended_but_cancelled += usize::from(is_first && had_ended);
        let (was, _) = *self.acknowledged.entry(id.into()).or_insert((status, now));
        if was != status {
            return Err(Rule::WentBack.broken(format!("{id} from {was:?} to {status:?}")));
        }
        Ok(())
    }
}

/// No team uses more than its limit; notes the most that each team ever used.
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

/// A task does not start while it is on another machine.
fn check_runs_once(started: &Placement, placements: &Placements) -> Result<(), BrokenRule> {
    let Placement { task, machine, .. } = started;
    match placements.all.iter().find(|p| p.task == *task && p.machine != *machine) {
        Some(other) => {
            let other = &other.machine;
            Err(Rule::RanTwice.broken(format!("{task} starts on {machine} while on {other}")))
        }
        None => Ok(()),
    }
}

/// Checks the answer to a submission that must not be accepted, or to a query about it. Returns whether the
/// submission was refused as it should.
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
        200 | 201 => Err(Rule::AcceptedWrong.broken(format!("{id} with {what}"))),
        status => {
            Err(Rule::RefusedWrong
                .broken(format!("{id} with {what} is answered {status}, not {due}")))
        }
    }
}
