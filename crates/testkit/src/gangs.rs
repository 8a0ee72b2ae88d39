//! Gangs of several tasks, as their workers run them together. Tasks of an attempt start once the last
//! has its image, complete together, and notice when one of them is lost.
use crate::worker::{job_of_task, Attempt, CompletedTasks, Worker, WorkerTask};
use leaddeal_wire::user::Job;
use leaddeal_wire::worker::{ExitReason, TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// Within this time the tasks of a gang notice that one of them is gone.
pub const PEER_LOSS_MS: u64 = 8000;

/// A job and the number of its attempt.
type GangAttempt = (String, u64);

/// A gang that has started. Times are in milliseconds.
#[derive(Debug)]
struct RunningGang {
    since: u64,
    /// Progress saved by earlier attempts.
    saved_before: u64,
    /// When the first of its tasks was told to stop and save.
    stopped_at: Option<u64>,
    /// Since when one of its tasks is gone, or its machine hangs.
    incomplete_since: Option<u64>,
}

impl RunningGang {
    fn progress(&self, now: u64) -> u64 {
        let stopped_at = self.stopped_at.unwrap_or(now);
        let incomplete_since = self.incomplete_since.unwrap_or(now);
        let end = now.min(stopped_at).min(incomplete_since);
        self.saved_before + end.saturating_sub(self.since)
    }

    /// Since when it does not run as a whole.
    fn interrupted_at(&self) -> Option<u64> {
        self.stopped_at.or(self.incomplete_since)
    }

    /// Within this time an interruption ends it. An orderly stop has its whole time; that one task is lost
    /// is noticed sooner by some gangs than by others.
    fn interruption_ms(&self, attempt: u64) -> u64 {
        match self.stopped_at {
            Some(_) => PEER_LOSS_MS,
            None => PEER_LOSS_MS / 4 * (1 + attempt % 4),
        }
    }
}

/// A task of an attempt and the machine that it is on.
pub type Member = (Attempt, String);

/// All gangs that run, and what became of others.
#[derive(Debug, Default)]
pub struct Gangs {
    running: BTreeMap<GangAttempt, RunningGang>,
    /// Progress that is safe, by job.
    saved: BTreeMap<String, u64>,
    /// Broken on purpose: they start without the last one.
    eager: bool,
    /// How many started.
    pub started: usize,
    /// How many went on from saved progress.
    pub resumed: usize,
    /// How many completed.
    pub completed: usize,
    /// How many were stopped in order, and saved.
    pub stopped: usize,
    /// Tasks that waited for the others in vain.
    pub alone: BTreeSet<Member>,
}

/// What the steps of a gang work on.
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

    /// Whether the member's worker acts: it does not hang, and its lease has not run out.
    fn acts(&self, member: &Member) -> bool {
        let worker = self.workers.get(&member.1);
        worker.is_some_and(|w| self.now >= w.hung_until && w.has_lease(self.now))
    }

    /// Whether all tasks are there, on workers that act.
    fn is_whole(&self) -> bool {
        let all = self.job.tasks as usize;
        self.members.len() == all && self.members.iter().all(|member| self.acts(member))
    }

    fn saving(&self) -> usize {
        self.members.iter().filter(|m| self.is_in_state(m, TaskState::Saving)).count()
    }

    /// Whether all that its members do now is due to end.
    fn is_due(&self) -> bool {
        self.members.iter().all(|m| self.task(m).is_some_and(|task| self.now >= task.until))
    }

    fn start(&mut self) {
        for_each_task(self.workers, self.members, |task| {
            (task.state, task.until) = (TaskState::Running, u64::MAX);
        });
    }

    fn exit(&mut self, reason: ExitReason, saved: bool) {
        exit(self.workers, self.members, reason, saved);
    }

    /// The members on workers that act exit; a machine that hangs notices when it goes on.
    fn exit_where_noticed(&mut self) {
        let here: Vec<Member> = self.members.iter().filter(|m| self.acts(m)).cloned().collect();
        exit(self.workers, &here, ExitReason::GangMembersLost, false);
    }
}

impl Gangs {
    /// No gangs. `eager`: they start without their last task, to see that the checker notices.
    pub fn new(eager: bool) -> Gangs {
        Gangs { eager, ..Gangs::default() }
    }

    /// Time passes: gangs start, complete, save, and notice losses.
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

    /// The members of all gangs; notes those that waited in vain.
    fn members(
        &mut self,
        workers: &BTreeMap<String, Worker>,
    ) -> BTreeMap<GangAttempt, Vec<Member>> {
        let mut gangs: BTreeMap<GangAttempt, Vec<Member>> = BTreeMap::new();
        for worker in workers.values().filter(|w| !w.gone) {
            for (key, task) in worker.tasks.iter().filter(|(_, task)| task.gang) {
                let member = (key.clone(), worker.name.clone());
                if task.exit_reason == Some(ExitReason::GangIncomplete) {
                    self.alone.insert(member.clone());
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
        let is_whole = gang.is_whole();
        let saving = gang.saving();
        let Some(run) = self.running.get_mut(gang.attempt) else {
            self.start(gang, is_whole);
            return;
        };
        if saving > 0 {
            run.stopped_at.get_or_insert(now);
        }
        if !is_whole {
            run.incomplete_since.get_or_insert(now);
        } else if saving == 0 {
            run.incomplete_since = None;
        }
        let progress = run.progress(now);
        let interrupted_at = run.interrupted_at();
        let is_over =
            interrupted_at.is_some_and(|from| now >= from + run.interruption_ms(gang.attempt.1));
        let is_saving = is_whole && saving == gang.job.tasks as usize;
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

    /// A gang starts once all its tasks wait.
    fn start(&mut self, mut gang: GangStep, is_whole: bool) {
        let all = gang.job.tasks as usize;
        let is_enough = is_whole || (self.eager && gang.members.len() + 1 == all);
        if !is_enough || !gang.members.iter().all(|m| gang.is_in_state(m, TaskState::Waiting)) {
            return;
        }
        let saved_before = self.saved.get(&gang.attempt.0).copied().unwrap_or(0);
        let (since, stopped_at, incomplete_since) = (gang.now, None, None);
        let run = RunningGang { since, saved_before, stopped_at, incomplete_since };
        self.running.insert(gang.attempt.clone(), run);
        self.started += 1;
        self.resumed += usize::from(saved_before > 0);
        gang.start();
    }

    /// Of a gang that is interrupted, progress up to the last checkpoint is safe.
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
