//! Model of a worker and its machine.
use leaddeal_wire::user::{Job, JobKind};
use leaddeal_wire::worker::{
    Command, CommandKind, ExitReason, TaskId, TaskReport, TaskState, WorkerHeartbeat,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time for which a task of a gang waits for the other tasks, in milliseconds.
pub const GANG_WAIT_MS: u64 = 40_000;
/// Time that a machine takes to fetch an image that is not in its cache, in milliseconds.
const FETCH_MS: u64 = 900;
/// Rounding error that is allowed in sums of CPUs or GPUs.
pub(crate) const ROUNDING: f64 = 1e-9;

/// Returns the identifier of a task's job. Tasks are named `JOB/NUMBER`.
pub(crate) fn job_of_task(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

/// Completed tasks, the time of the latest completion of each job, and the jobs that can't complete.
#[derive(Debug, Default)]
pub struct CompletedTasks {
    /// Jobs with a mistake in their submission: their tasks fail on every machine.
    pub always_failing: BTreeSet<String>,
    tasks: BTreeSet<String>,
    last: HashMap<String, u64>,
    /// Jobs of the tasks that completed since the last [`CompletedTasks::take_recent`].
    recent: Vec<String>,
}

impl CompletedTasks {
    /// Returns whether the task has completed.
    pub fn contains(&self, task: &str) -> bool {
        self.tasks.contains(task)
    }

    /// Records that a task completed at the time `now`. Has no effect if it had completed before.
    pub fn insert(&mut self, task: &str, now: u64) {
        if self.tasks.insert(task.to_string()) {
            let job = job_of_task(task);
            self.last.insert(job.to_string(), now);
            self.recent.push(job.to_string());
        }
    }

    /// Returns the jobs of the tasks that completed since the last call, in the order of completion.
    pub fn take_recent(&mut self) -> Vec<String> {
        std::mem::take(&mut self.recent)
    }

    /// Returns how many tasks of a job have completed.
    pub fn count_of(&self, job: &Job) -> usize {
        (0..job.tasks).filter(|task| self.contains(&format!("{}/{task}", job.id))).count()
    }

    /// Returns whether all tasks of a job have completed.
    pub fn all_of(&self, job: &Job) -> bool {
        (0..job.tasks).all(|task| self.contains(&format!("{}/{task}", job.id)))
    }

    /// Returns the time of the latest completion of a job's tasks, in milliseconds; `None` if none has completed.
    pub fn last(&self, job: &str) -> Option<u64> {
        self.last.get(job).copied()
    }
}

/// An attempt of a task that a worker reports.
#[derive(Clone, Debug)]
pub struct WorkerTask {
    /// Present state of the task.
    pub state: TaskState,
    /// Why it exited; `None` until then.
    pub exit_reason: Option<ExitReason>,
    /// Whether its progress was saved when it exited.
    pub saved: bool,
    /// When the present state ends without a command, in milliseconds.
    pub state_ends_at: u64,
    /// Whether it belongs to a gang of several tasks; those run together (`gangs.rs`).
    pub gang: bool,
}

impl WorkerTask {
    /// Returns whether the task takes resources of its machine.
    pub(crate) fn is_on_machine(&self) -> bool {
        self.state != TaskState::Exited
    }

    pub(crate) fn exit(&mut self, reason: ExitReason) {
        (self.state, self.exit_reason) = (TaskState::Exited, Some(reason));
    }
}

/// Whether a worker remembers its fencing token after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenMemory {
    /// It remembers the newest fencing token.
    Kept,
    /// It has lost the fencing token.
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
    /// Whether the machine is a spot instance, which the cloud may interrupt.
    pub spot: bool,
    /// CPUs of the machine.
    pub cpus: f64,
    /// GPUs of the machine.
    pub gpus: f64,
    /// Memory of the machine in gigabytes.
    pub memory_gb: f64,
    /// Number of the worker's incarnation, from 1: each restart and each expiry of its lease begins a new one.
    pub incarnation: u64,
    /// Number of the last heartbeat of this incarnation.
    pub seq: u64,
    /// The newest fencing token that it has accepted.
    pub token: u64,
    /// Attempts that it reports. Results of completed tasks are in the users' storage, which [`CompletedTasks`]
    /// models.
    pub tasks: BTreeMap<Attempt, WorkerTask>,
    /// Images in the machine's cache.
    images: BTreeSet<String>,
    /// Start of its lease: when it sent the heartbeat whose response granted the lease.
    pub lease_granted_at: u64,
    /// Duration of its lease, in milliseconds.
    pub lease_ms: u64,
    /// The machine hangs until then: it runs nothing and answers nothing.
    pub hung_until: u64,
    /// Neither heartbeat responses nor commands reach it until then.
    pub inbound_partition_until: u64,
    /// Its heartbeats reach no controller until then.
    pub outbound_partition_until: u64,
    /// Tasks that it starts until then fail.
    pub failing_until: u64,
    /// Whether it ignores commands to stop a task.
    pub ignores_stops: bool,
    /// Index of the controller that it sends heartbeats to.
    pub node: usize,
    /// When it sent the heartbeat whose response is pending; `None` if no response is pending.
    pub heartbeat_sent_at: Option<u64>,
    /// When the next heartbeat is due.
    pub next_heartbeat: u64,
    /// Whether its state has changed since the last heartbeat, so that the next one is due at once.
    pub has_news: bool,
    /// Whether the machine is lost for good.
    pub gone: bool,
}

impl Worker {
    /// Creates a worker without tasks, whose first heartbeat is due at once.
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

    /// Restarts the worker after a short power loss of the machine: it loses its tasks and images, and the fencing
    /// token if `memory` is [`TokenMemory::Lost`]. The number of the incarnation increases, so that commands for the
    /// previous incarnation don't match the new one.
    pub fn restart(&mut self, now: u64, memory: TokenMemory) {
        self.tasks.clear();
        self.images.clear();
        self.incarnation += 1;
        self.seq = 0;
        if memory == TokenMemory::Lost {
            self.token = 0;
        }
        self.lease_granted_at = now;
        self.next_heartbeat = now;
        self.heartbeat_sent_at = None;
        self.hung_until = 0;
        self.has_news = true;
    }

    /// Removes the machine for good, with its tasks.
    pub(crate) fn lose_machine(&mut self) {
        self.gone = true;
        self.tasks.clear();
    }

    /// Returns whether its lease has not expired. A machine that hangs until its lease expires runs nothing, and
    /// ends all tasks when it resumes.
    pub(crate) fn has_lease(&self, now: u64) -> bool {
        now <= self.lease_granted_at + self.lease_ms
    }

    /// Returns the time until which messages to it are delayed or lost.
    pub(crate) fn unreachable_until(&self) -> u64 {
        self.hung_until.max(self.inbound_partition_until)
    }

    /// Returns the names of the running tasks.
    pub(crate) fn running_tasks(&self) -> impl Iterator<Item = &str> {
        let running = self.tasks.iter().filter(|(_, task)| task.state == TaskState::Running);
        running.map(|((name, _), _)| name.as_str())
    }

    /// Returns the CPUs and GPUs that its tasks take.
    fn used(&self, jobs: &BTreeMap<String, Job>) -> (f64, f64) {
        let here = self.tasks.iter().filter(|(_, task)| task.is_on_machine());
        let jobs_here = here.filter_map(|((name, _), _)| jobs.get(job_of_task(name)));
        jobs_here.fold((0.0, 0.0), |(cpus, gpus), job| (cpus + job.cpus, gpus + job.gpus))
    }

    /// Returns the next heartbeat, with the states of all tasks.
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

    /// Advances to the time `now`: ends the lease, fetches, waits, runs and saves that are due.
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
        for ((name, _), task) in self.tasks.iter_mut().filter(|(_, task)| now >= task.state_ends_at)
        {
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
                // `Gangs` advances the tasks of a gang together.
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

    /// Returns whether commands with this fencing token and incarnation are valid: the incarnation is the present
    /// one, and the token is not older than one accepted before.
    pub(crate) fn accepts(&self, token: u64, incarnation: u64) -> bool {
        token >= self.token && incarnation == self.incarnation
    }

    /// Stores the token of commands that [`Worker::accepts`] has allowed, and executes them.
    pub(crate) fn receive_commands(
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

    /// Executes commands in order.
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

    /// Starts to fetch the image of a task, or refuses the task.
    fn start_task(&mut self, now: u64, command: &Command, jobs: &BTreeMap<String, Job>) {
        let key = attempt_of(command);
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
            state_ends_at: now + if is_cached { 0 } else { FETCH_MS },
            gang: job.is_some_and(|job| job.kind == JobKind::Gang && job.tasks > 1),
        };
        self.tasks.insert(key, task);
        self.has_news = true;
    }

    /// Returns the reason why the worker refuses to start a task; `None` if it starts the task.
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

    /// Stops a task. The task saves its progress first if it can and the grace period is long enough.
    fn stop_task(&mut self, now: u64, command: &Command, jobs: &BTreeMap<String, Job>) {
        let key = attempt_of(command);
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
            task.state_ends_at = now + (job.save_s * 1000.0) as u64;
        } else if !is_saving {
            task.exit(ExitReason::Stopped);
        }
        self.has_news = true;
    }

    /// Forgets a task that has exited.
    fn forget_task(&mut self, command: &Command) {
        let key = attempt_of(command);
        if self.tasks.get(&key).is_some_and(|task| task.state == TaskState::Exited) {
            self.tasks.remove(&key);
            self.has_news = true;
        }
    }
}

/// Returns the attempt that a command is for.
fn attempt_of(command: &Command) -> Attempt {
    (command.task.to_string(), command.attempt)
}

/// Starts a task whose image has been fetched: it runs, waits for its gang, or exits.
fn start_fetched(task: &mut WorkerTask, name: &str, job: &Job, now: u64, done: &CompletedTasks) {
    if done.always_failing.contains(&job.id) {
        task.exit(ExitReason::Error);
    } else if done.contains(name) {
        task.exit(ExitReason::Done);
    } else if task.gang {
        (task.state, task.state_ends_at) = (TaskState::Waiting, now + GANG_WAIT_MS);
    } else {
        task.state = TaskState::Running;
        task.state_ends_at = match job.kind {
            JobKind::Service => u64::MAX,
            _ => now + (job.estimate_s * 1000.0) as u64,
        };
    }
}
