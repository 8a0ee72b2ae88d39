//! Model of how workers run gangs of several tasks. The tasks of an attempt start together once the last of them
//! has fetched its image, complete together, and notice when one of them is lost.
use crate::worker::{job_of_task, Attempt, CompletedTasks, Worker, WorkerTask};
use leaddeal_wire::user::Job;
use leaddeal_wire::worker::{ExitReason, TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// Longest time until the tasks of a gang notice that one of them is lost, in milliseconds.
pub const PEER_LOSS_MS: u64 = 8000;

/// A job and the number of its attempt.
type GangAttempt = (String, u64);

/// An attempt of a gang that has started. Times are in milliseconds.
#[derive(Debug)]
struct RunningGang {
    started_at: u64,
    /// Progress saved by earlier attempts, in milliseconds of run time.
    saved_before: u64,
    /// When the first of its tasks received the command to stop and save; `None` if none has.
    stopped_at: Option<u64>,
    /// Since when one of its tasks is lost or on a machine that hangs; `None` if all run.
    incomplete_since: Option<u64>,
}

impl RunningGang {
    fn progress(&self, now: u64) -> u64 {
        let stopped_at = self.stopped_at.unwrap_or(now);
        let incomplete_since = self.incomplete_since.unwrap_or(now);
        let end = now.min(stopped_at).min(incomplete_since);
        self.saved_before + end.saturating_sub(self.started_at)
    }

    /// Returns since when not all of its tasks run.
    fn interrupted_at(&self) -> Option<u64> {
        self.stopped_at.or(self.incomplete_since)
    }

    /// Returns the time after which an interruption ends the attempt. An orderly stop always has the full time; the
    /// loss of a task is noticed after a time that varies with the number of the attempt.
    fn interruption_ms(&self, attempt: u64) -> u64 {
        match self.stopped_at {
            Some(_) => PEER_LOSS_MS,
            None => PEER_LOSS_MS / 4 * (1 + attempt % 4),
        }
    }
}

/// A task of an attempt and the machine that it is on.
pub type Member = (Attempt, String);

/// All running gangs, and counts of what became of the others.
#[derive(Debug, Default)]
pub struct Gangs {
    running: BTreeMap<GangAttempt, RunningGang>,
    /// Saved progress in milliseconds, by job.
    saved: BTreeMap<String, u64>,
    /// Injected defect: gangs start without their last task.
    starts_incomplete: bool,
    /// Number of attempts that started.
    pub started: usize,
    /// Number of attempts that started from saved progress.
    pub resumed: usize,
    /// Number of attempts that completed.
    pub completed: usize,
    /// Number of attempts that were stopped in an orderly way and saved their progress.
    pub stopped: usize,
    /// Tasks that exited because the other tasks of their gang did not become ready in time.
    pub incomplete: BTreeSet<Member>,
}

/// The arguments of one step of an attempt of a gang.
struct GangStep<'a> {
    now: u64,
    attempt: &'a GangAttempt,
    members: &'a [Member],
    workers: &'a mut BTreeMap<String, Worker>,
    job: &'a Job,
}

impl GangStep<'_> {
    fn task(&self, member: &Member) -> Option<&WorkerTask> {
        self.workers.get(&member.1)?.tasks.get(&member.0)
    }

    fn is_in_state(&self, member: &Member, state: TaskState) -> bool {
        self.task(member).is_some_and(|task| task.state == state)
    }

    /// Returns whether the member's worker is active: it does not hang, and its lease has not expired.
    fn is_active(&self, member: &Member) -> bool {
        let worker = self.workers.get(&member.1);
        worker.is_some_and(|w| self.now >= w.hung_until && w.has_lease(self.now))
    }

    /// Returns whether all tasks of the gang are present, on active workers.
    fn is_complete(&self) -> bool {
        let all = self.job.tasks as usize;
        self.members.len() == all && self.members.iter().all(|member| self.is_active(member))
    }

    fn saving_count(&self) -> usize {
        self.members.iter().filter(|m| self.is_in_state(m, TaskState::Saving)).count()
    }

    /// Returns whether the present state of every member is due to end.
    fn is_due(&self) -> bool {
        self.members.iter().all(|m| self.task(m).is_some_and(|task| self.now >= task.state_ends_at))
    }

    fn start(&mut self) {
        for_each_task(self.workers, self.members, |task| {
            (task.state, task.state_ends_at) = (TaskState::Running, u64::MAX);
        });
    }

    fn exit(&mut self, reason: ExitReason, saved: bool) {
        exit(self.workers, self.members, reason, saved);
    }

    /// Makes the members on active workers exit. A machine that hangs notices only when it resumes.
    fn exit_where_noticed(&mut self) {
        let here: Vec<Member> =
            self.members.iter().filter(|m| self.is_active(m)).cloned().collect();
        exit(self.workers, &here, ExitReason::GangMembersLost, false);
    }
}

impl Gangs {
    /// Creates a model without gangs. With `starts_incomplete` gangs start without their last task, to show that the
    /// checker detects it.
    pub fn new(starts_incomplete: bool) -> Gangs {
        Gangs { starts_incomplete, ..Gangs::default() }
    }

    /// Advances to the time `now`: gangs start, complete, save, and notice losses.
    pub fn advance(
        &mut self,
        now: u64,
        workers: &mut BTreeMap<String, Worker>,
        jobs: &BTreeMap<String, Job>,
        done: &mut CompletedTasks,
    ) {
        let gangs = self.members(workers);
        self.running.retain(|gang, _| gangs.contains_key(gang));
        for (attempt, members) in &gangs {
            if let Some(job) = jobs.get(&attempt.0) {
                self.step(GangStep { now, attempt, members, workers, job }, done);
            }
        }
    }

    /// Returns the members of all gangs, and records those that waited too long for the others.
    fn members(
        &mut self,
        workers: &BTreeMap<String, Worker>,
    ) -> BTreeMap<GangAttempt, Vec<Member>> {
        let mut gangs: BTreeMap<GangAttempt, Vec<Member>> = BTreeMap::new();
        for worker in workers.values().filter(|w| !w.gone) {
            for (key, task) in worker.tasks.iter().filter(|(_, task)| task.gang) {
                let member = (key.clone(), worker.name.clone());
                if task.exit_reason == Some(ExitReason::GangIncomplete) {
                    self.incomplete.insert(member.clone());
                }
                if matches!(task.state, TaskState::Waiting | TaskState::Running | TaskState::Saving)
                {
                    let attempt = (job_of_task(&key.0).to_string(), key.1);
                    gangs.entry(attempt).or_default().push(member);
                }
            }
        }
        gangs
    }

    fn step(&mut self, mut gang: GangStep, done: &mut CompletedTasks) {
        let now = gang.now;
        let is_complete = gang.is_complete();
        let saving = gang.saving_count();
        let Some(run) = self.running.get_mut(gang.attempt) else {
            self.start(gang, is_complete);
            return;
        };
        if saving > 0 {
            run.stopped_at.get_or_insert(now);
        }
        if !is_complete {
            run.incomplete_since.get_or_insert(now);
        } else if saving == 0 {
            run.incomplete_since = None;
        }
        let progress = run.progress(now);
        let interrupted_at = run.interrupted_at();
        let is_over =
            interrupted_at.is_some_and(|from| now >= from + run.interruption_ms(gang.attempt.1));
        let is_saving = is_complete && saving == gang.job.tasks as usize;
        if is_saving {
            if gang.is_due() {
                self.saved.insert(gang.attempt.0.clone(), progress);
                self.stopped += 1;
                gang.exit(ExitReason::Stopped, true);
            }
        } else if is_over {
            self.keep_checkpoint(&gang, progress);
            gang.exit_where_noticed();
        } else if interrupted_at.is_none() && progress >= (gang.job.estimate_s * 1000.0) as u64 {
            gang.members.iter().for_each(|member| done.insert(&member.0 .0, now));
            self.completed += 1;
            gang.exit(ExitReason::Done, false);
        }
    }

    /// Starts a gang if all its tasks wait.
    fn start(&mut self, mut gang: GangStep, is_complete: bool) {
        let all = gang.job.tasks as usize;
        let is_enough = is_complete || (self.starts_incomplete && gang.members.len() + 1 == all);
        if !is_enough || !gang.members.iter().all(|m| gang.is_in_state(m, TaskState::Waiting)) {
            return;
        }
        let saved_before = self.saved.get(&gang.attempt.0).copied().unwrap_or(0);
        let (started_at, stopped_at, incomplete_since) = (gang.now, None, None);
        let run = RunningGang { started_at, saved_before, stopped_at, incomplete_since };
        self.running.insert(gang.attempt.clone(), run);
        self.started += 1;
        self.resumed += usize::from(saved_before > 0);
        gang.start();
    }

    /// Saves the progress of an interrupted gang up to its last checkpoint.
    fn keep_checkpoint(&mut self, gang: &GangStep, progress: u64) {
        let checkpoint_ms = (gang.job.checkpoint_s * 1000.0) as u64;
        let checkpointed = progress.checked_div(checkpoint_ms).unwrap_or(0) * checkpoint_ms;
        let saved_before = self.saved.get(&gang.attempt.0).copied().unwrap_or(0);
        self.saved.insert(gang.attempt.0.clone(), checkpointed.max(saved_before));
    }
}

fn for_each_task(
    workers: &mut BTreeMap<String, Worker>,
    members: &[Member],
    change: impl Fn(&mut WorkerTask),
) {
    for (key, machine) in members {
        let Some(worker) = workers.get_mut(machine) else { continue };
        worker.has_news = true;
        worker.tasks.get_mut(key).into_iter().for_each(&change);
    }
}

fn exit(
    workers: &mut BTreeMap<String, Worker>,
    members: &[Member],
    reason: ExitReason,
    saved: bool,
) {
    for_each_task(workers, members, |task| {
        task.exit(reason);
        task.saved = saved;
    });
}
