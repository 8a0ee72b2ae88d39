//! A stand-in for a machine's worker.
use leaddeal_wire::user::{Job, JobKind};
use leaddeal_wire::worker::{
    Command, CommandKind, ExitReason, TaskId, TaskReport, TaskState, WorkerHeartbeat,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// For how long a task of a gang waits for the others.
pub const GANG_WAIT_MS: u64 = 40_000;
/// How long an image takes to fetch that is not in the machine's cache.
const FETCH_MS: u64 = 900;
/// Sums of processors and GPUs may be off by this much.
pub(crate) const ROUNDING: f64 = 1e-9;

/// The identifier of a task's job: tasks are named `JOB/NUMBER`.
pub(crate) fn job_of_task(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

/// Tasks that completed, when the last one of each job did, and which jobs can't complete.
#[derive(Debug, Default)]
pub struct CompletedTasks {
    /// Jobs that were submitted with a mistake: they fail on every machine.
    pub always_failing: BTreeSet<String>,
    tasks: BTreeSet<String>,
    last: HashMap<String, u64>,
    /// Jobs of the tasks that completed since this was last taken.
    recent: Vec<String>,
}

impl CompletedTasks {
    /// Whether that task completed.
    pub fn contains(&self, task: &str) -> bool {
        self.tasks.contains(task)
    }

    /// Notes that a task has completed at that time. Without effect on one that had.
    pub fn insert(&mut self, task: &str, now: u64) {
        if self.tasks.insert(task.to_string()) {
            let job = job_of_task(task);
            self.last.insert(job.to_string(), now);
            self.recent.push(job.to_string());
        }
    }

    /// The jobs of the tasks that completed since the last call, in that order.
    pub fn take_recent(&mut self) -> Vec<String> {
        std::mem::take(&mut self.recent)
    }

    /// How many tasks of a job completed.
    pub fn count_of(&self, job: &Job) -> usize {
        (0..job.tasks).filter(|task| self.contains(&format!("{}/{task}", job.id))).count()
    }

    /// Whether all tasks of a job completed.
    pub fn all_of(&self, job: &Job) -> bool {
        (0..job.tasks).all(|task| self.contains(&format!("{}/{task}", job.id)))
    }

    /// When the latest of a job's completed tasks completed, in milliseconds.
    pub fn last(&self, job: &str) -> Option<u64> {
        self.last.get(job).copied()
    }
}

/// An attempt of a task that a worker knows of.
#[derive(Clone, Debug)]
pub struct WorkerTask {
    /// What the task does.
    pub state: TaskState,
    /// Why it exited.
    pub exit_reason: Option<ExitReason>,
    /// It was saved when it exited.
    pub saved: bool,
    /// When the present state ends by itself, in milliseconds.
    pub until: u64,
    /// Of a gang of several tasks, which run together (`gangs.rs`).
    pub gang: bool,
}

impl WorkerTask {
    /// The task takes the resources of its machine.
    pub(crate) fn is_on_machine(&self) -> bool {
        self.state != TaskState::Exited
    }

    pub(crate) fn exit(&mut self, reason: ExitReason) {
        (self.state, self.exit_reason) = (TaskState::Exited, Some(reason));
    }
}

/// What a worker that restarts knows of its time before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Memory {
    /// It remembers the newest token.
    Kept,
    /// It has forgotten the token.
    Lost,
}

/// A task's name and the number of its attempt.
pub type Attempt = (String, u64);

/// A worker and its machine. Times are in milliseconds.
pub struct Worker {
    /// Name of the machine.
    pub name: String,
    /// Type of the machine.
    pub type_name: String,
    /// Zone of the machine.
    pub zone: String,
    /// The machine is interruptible.
    pub spot: bool,
    /// Processors of the machine.
    pub cpus: f64,
    /// GPUs of the machine.
    pub gpus: f64,
    /// Memory of the machine in gigabytes.
    pub memory_gb: f64,
    /// Counts the lives of the worker, from 1: restarts and expiries of its lease.
    pub incarnation: u64,
    /// Number of the last heartbeat of this incarnation.
    pub seq: u64,
    /// The newest fencing token that it knows.
    pub token: u64,
    /// Results of completed tasks are with the users' storage; the simulator holds them.
    pub tasks: BTreeMap<Attempt, WorkerTask>,
    images: BTreeSet<String>,
    /// Its lease counts from here: when the heartbeat was sent that got it.
    pub lease_granted_at: u64,
    /// Duration of its lease.
    pub lease_ms: u64,
    /// It runs nothing and answers nothing until then.
    pub hung_until: u64,
    /// Neither answers nor commands reach it until then.
    pub inbound_partition_until: u64,
    /// Its heartbeats reach no controller until then.
    pub outbound_partition_until: u64,
    /// What it starts until then fails.
    pub failing_until: u64,
    /// It ignores commands to stop a task.
    pub ignores_stops: bool,
    /// Index of the controller that it sends heartbeats to.
    pub node: usize,
    /// When the heartbeat was sent whose reply it waits for.
    pub heartbeat_sent_at: Option<u64>,
    /// When the next heartbeat is due.
    pub next_heartbeat: u64,
    /// Its state has changed since the last heartbeat, so that the next one is due at once.
    pub has_news: bool,
    /// The machine is gone for good.
    pub gone: bool,
}

impl Worker {
    /// A worker without tasks, whose first heartbeat is due at once.
    pub fn new(
        name: &str,
        type_name: &str,
        zone: &str,
        spot: bool,
        now: u64,
        lease_ms: u64,
    ) -> Worker {
        Worker {
            name: name.into(),
            type_name: type_name.into(),
            zone: zone.into(),
            spot,
            cpus: 4.0,
            gpus: 0.0,
            memory_gb: 16.0,
            incarnation: 1,
            seq: 0,
            token: 0,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            lease_granted_at: now,
            lease_ms,
            hung_until: 0,
            inbound_partition_until: 0,
            outbound_partition_until: 0,
            failing_until: 0,
            ignores_stops: false,
            node: 0,
            heartbeat_sent_at: None,
            next_heartbeat: now,
            has_news: true,
            gone: false,
        }
    }

    /// The machine lost power for a moment: a new worker without tasks. It counts its incarnations on, or
    /// commands of before would match them; the token it may have forgotten.
    pub fn restart(&mut self, now: u64, memory: Memory) {
        self.tasks.clear();
        self.images.clear();
        self.incarnation += 1;
        self.seq = 0;
        if memory == Memory::Lost {
            self.token = 0;
        }
        self.lease_granted_at = now;
        self.next_heartbeat = now;
        self.heartbeat_sent_at = None;
        self.hung_until = 0;
        self.has_news = true;
    }

    /// The machine is gone for good, with its tasks.
    pub(crate) fn lose_machine(&mut self) {
        self.gone = true;
        self.tasks.clear();
    }

    /// Whether its lease has not run out. A machine that hangs beyond its lease runs nothing, and ends all
    /// tasks when it goes on.
    pub(crate) fn has_lease(&self, now: u64) -> bool {
        now <= self.lease_granted_at + self.lease_ms
    }

    /// Until when what is sent to it does not reach it in time.
    pub(crate) fn unreachable_until(&self) -> u64 {
        self.hung_until.max(self.inbound_partition_until)
    }

    /// Names of the tasks that run.
    pub(crate) fn running_tasks(&self) -> impl Iterator<Item = &str> {
        let running = self.tasks.iter().filter(|(_, task)| task.state == TaskState::Running);
        running.map(|((name, _), _)| name.as_str())
    }

    /// Processors and GPUs that its tasks take.
    fn used(&self, jobs: &BTreeMap<String, Job>) -> (f64, f64) {
        let here = self.tasks.iter().filter(|(_, task)| task.is_on_machine());
        let jobs_here = here.filter_map(|((name, _), _)| jobs.get(job_of_task(name)));
        jobs_here.fold((0.0, 0.0), |(cpus, gpus), job| (cpus + job.cpus, gpus + job.gpus))
    }

    /// The next heartbeat, with the states of all tasks.
    pub fn heartbeat(&mut self) -> WorkerHeartbeat {
        self.seq += 1;
        let report = |((name, attempt), task): (&Attempt, &WorkerTask)| TaskReport {
            task: TaskId::parse(name),
            attempt: *attempt,
            state: task.state,
            exit_reason: task.exit_reason,
            saved: (task.state == TaskState::Exited).then_some(task.saved),
        };
        WorkerHeartbeat {
            machine: self.name.clone(),
            addr: format!("10.9.0.1:{}", self.name.len()),
            type_name: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            seq: self.seq,
            token: self.token,
            interruption_notice_s: None,
            tasks: self.tasks.iter().map(report).collect(),
        }
    }

    /// Time passes: the lease, fetches and runs end.
    pub fn advance(&mut self, now: u64, done: &mut CompletedTasks, jobs: &BTreeMap<String, Job>) {
        if now < self.hung_until || self.gone {
            return;
        }
        if !self.has_lease(now) {
            self.tasks.clear();
            self.incarnation += 1;
            self.lease_granted_at = now;
            self.has_news = true;
        }
        let is_failing = now < self.failing_until;
        for ((name, _), task) in self.tasks.iter_mut().filter(|(_, task)| now >= task.until) {
            match task.state {
                TaskState::Fetching => {
                    let Some(job) = jobs.get(job_of_task(name)) else { continue };
                    self.images.insert(job.image.clone());
                    if is_failing {
                        task.exit(ExitReason::Error);
                    } else {
                        start_fetched(task, name, job, now, done);
                    }
                }
                TaskState::Waiting => task.exit(ExitReason::GangIncomplete),
                // Gangs advance together.
                TaskState::Running | TaskState::Saving if task.gang => continue,
                TaskState::Running => {
                    task.exit(ExitReason::Done);
                    done.insert(name, now);
                }
                TaskState::Saving => {
                    task.exit(ExitReason::Stopped);
                    task.saved = true;
                }
                TaskState::Exited => continue,
            }
            self.has_news = true;
        }
    }

    /// Whether commands with this fencing token are for this incarnation, and not older than others.
    pub(crate) fn accepts(&self, token: u64, incarnation: u64) -> bool {
        token >= self.token && incarnation == self.incarnation
    }

    /// Takes over the token of commands that it accepts, and executes them.
    pub(crate) fn take_commands(
        &mut self,
        now: u64,
        token: u64,
        commands: &[Command],
        done: &mut CompletedTasks,
        jobs: &BTreeMap<String, Job>,
    ) {
        debug_assert!(token >= self.token, "the token never goes back");
        self.has_news |= token > self.token;
        self.token = token;
        self.execute(now, commands, jobs);
        self.advance(now, done, jobs);
    }

    /// Executes commands in their order.
    pub fn execute(&mut self, now: u64, commands: &[Command], jobs: &BTreeMap<String, Job>) {
        for command in commands {
            match command.kind {
                CommandKind::Start => self.start_task(now, command, jobs),
                CommandKind::Stop if self.ignores_stops => {}
                CommandKind::Stop => self.stop_task(now, command, jobs),
                CommandKind::Forget => self.forget_task(command),
            }
        }
    }

    /// Begins to fetch the image of a task, or refuses the task.
    fn start_task(&mut self, now: u64, command: &Command, jobs: &BTreeMap<String, Job>) {
        let key = attempt(command);
        if self.tasks.contains_key(&key) {
            return;
        }
        let job = jobs.get(job_of_task(&key.0));
        let refused = self.refusal(&key.0, job, jobs);
        let is_cached = job.is_some_and(|job| self.images.contains(&job.image));
        let task = WorkerTask {
            state: if refused.is_some() { TaskState::Exited } else { TaskState::Fetching },
            exit_reason: refused,
            saved: false,
            until: now + if is_cached { 0 } else { FETCH_MS },
            gang: job.is_some_and(|job| job.kind == JobKind::Gang && job.tasks > 1),
        };
        self.tasks.insert(key, task);
        self.has_news = true;
    }

    /// Why the worker does not start a task, if it doesn't.
    fn refusal(
        &self,
        name: &str,
        job: Option<&Job>,
        jobs: &BTreeMap<String, Job>,
    ) -> Option<ExitReason> {
        let Some(job) = job else { return Some(ExitReason::JobNotFound) };
        if self.tasks.iter().any(|(key, task)| key.0 == name && task.is_on_machine()) {
            return Some(ExitReason::OtherAttemptPresent);
        }
        let (cpus, gpus) = self.used(jobs);
        let is_full =
            cpus + job.cpus > self.cpus + ROUNDING || gpus + job.gpus > self.gpus + ROUNDING;
        is_full.then_some(ExitReason::InsufficientResources)
    }

    /// Stops a task, which saves its progress if it can and is given the time.
    fn stop_task(&mut self, now: u64, command: &Command, jobs: &BTreeMap<String, Job>) {
        let key = attempt(command);
        let Some(task) = self.tasks.get_mut(&key).filter(|task| task.is_on_machine()) else {
            return;
        };
        let can_save = |job: &&Job| {
            job.checkpoint_s > 0.0
                && task.state == TaskState::Running
                && command.grace_s.unwrap_or(0.0) >= job.save_s
        };
        let is_saving = task.state == TaskState::Saving && command.grace_s != Some(0.0);
        if let Some(job) = jobs.get(job_of_task(&key.0)).filter(can_save) {
            task.state = TaskState::Saving;
            task.until = now + (job.save_s * 1000.0) as u64;
        } else if !is_saving {
            task.exit(ExitReason::Stopped);
        }
        self.has_news = true;
    }

    /// Forgets a task that has exited.
    fn forget_task(&mut self, command: &Command) {
        let key = attempt(command);
        if self.tasks.get(&key).is_some_and(|task| task.state == TaskState::Exited) {
            self.tasks.remove(&key);
            self.has_news = true;
        }
    }
}

/// The attempt that a command is for.
fn attempt(command: &Command) -> Attempt {
    (command.task.to_string(), command.attempt)
}

/// A task has its image: it runs, waits for its gang, or exits.
fn start_fetched(task: &mut WorkerTask, name: &str, job: &Job, now: u64, done: &CompletedTasks) {
    if done.always_failing.contains(&job.id) {
        task.exit(ExitReason::Error);
    } else if done.contains(name) {
        task.exit(ExitReason::Done);
    } else if task.gang {
        (task.state, task.until) = (TaskState::Waiting, now + GANG_WAIT_MS);
    } else {
        task.state = TaskState::Running;
        task.until = match job.kind {
            JobKind::Service => u64::MAX,
            _ => now + (job.estimate_s * 1000.0) as u64,
        };
    }
}
