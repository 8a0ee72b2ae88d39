//! Preemption within a team: stops lower-priority work of a team whose quota is used up, so that
//! higher-priority work of the same team can run.
use super::Coordinator;
use crate::context::Context;
use crate::ids::{JobId, Timestamp};
use crate::jobs::Job;
use crate::names::Resources;
use crate::placed::Placement;
use crate::preemption::{choose_victims, Candidate};
use crate::quota::admission::QuotaStatus;
use crate::stored::QuotaUse;
use leaddeal_wire::user::{JobKind, Priority};

/// Work is preempted for at most this many tasks of a job at a time.
const MAX_TASKS_PREEMPTED_FOR: u32 = 16;
/// Weight of a GPU against one core when lost work is estimated.
const CORES_PER_GPU: u64 = 20;
/// Grace that a stopped task gets beyond the time it needs to save its progress, in seconds.
const SAVE_MARGIN_S: f64 = 2.0;

/// The unit of preemption: a task, or a gang as a whole.
#[derive(Clone, Copy, Debug)]
enum Victim {
    Task { job: JobId, task: u32 },
    Gang { job: JobId },
}

/// A team's lower-priority work that counts against the team's quota.
struct PreemptibleWork {
    /// Quota of tasks that are already stopping, which will be free without further preemption.
    stopping: Resources,
    candidates: Vec<Candidate<Victim>>,
}

/// Returns the work lost by stopping a task now, in thousandths of core-seconds: all work since its
/// start, but for a task that saves its progress at most the time it needs to save.
fn lost_work(job: &Job, placement: &Placement, need: Resources, now: Timestamp) -> u64 {
    let ran_s = now.saturating_sub(placement.placed_at) / 1000;
    let saves_progress = job.spec.checkpoint_s > 0.0;
    let lost_s = if saves_progress { ran_s.min(job.spec.save_s as u64 + 1) } else { ran_s };
    lost_s * (need.cpu + CORES_PER_GPU * need.gpu)
}

impl PreemptibleWork {
    /// Adds the tasks of a job that count against a quota: one by one, or a gang as a whole.
    fn add(&mut self, job: &Job, now: Timestamp) {
        let priority = job.spec.priority;
        let key = Victim::Gang { job: job.id };
        let mut gang = Candidate { key, priority, need: Resources::default(), loss: 0 };
        for (task, placement) in job.placed.iter() {
            let Some(QuotaUse { amount, .. }) = placement.quota else { continue };
            let need = Resources { cpu: amount.cpu, gpu: amount.gpu, mem: 0 };
            if placement.stop.is_some() || job.cancelled {
                self.stopping.add(need, 1);
                continue;
            }
            let loss = lost_work(job, placement, need, now);
            if job.spec.kind == JobKind::Gang {
                gang.need.add(need, 1);
                gang.loss += loss;
            } else {
                let key = Victim::Task { job: job.id, task };
                self.candidates.push(Candidate { key, priority, need, loss });
            }
        }
        if gang.need != Resources::default() {
            self.candidates.push(gang);
        }
    }
}

impl Coordinator {
    /// Stops the cheapest lower-priority work of the same team if that frees enough quota for
    /// `tasks` tasks of a job, or, if the job is no gang, for at least one. Call it if machines
    /// have capacity for the tasks but the team's grant does not cover them. The stopped work ranks
    /// after the job, so it does not start again before the job has started or its time to start
    /// has passed.
    pub(super) fn preempt_within_team(
        &mut self,
        ctx: &Context,
        id: JobId,
        tasks: u32,
        status: &QuotaStatus,
    ) {
        self.expire_preempted_quota(ctx.now);
        if self.quota.preempted_for.contains_key(&id) {
            return;
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(QuotaUse { team, amount }) = ctx.quota_use(job) else { return };
        let is_gang = job.spec.kind == JobKind::Gang;
        let wanted = if is_gang { tasks } else { tasks.min(MAX_TASKS_PREEMPTED_FOR) };
        let min_wanted = if is_gang { wanted } else { 1 };
        let priority = job.spec.priority;
        let preemptible = self.preemptible_work(ctx, team, priority);
        let free = status.free();
        let mut free = Resources { cpu: free.cpu, gpu: free.gpu, mem: 0 };
        free.add(preemptible.stopping, 1);
        let need = |count: u32| {
            let count = u64::from(count);
            Resources { cpu: amount.cpu * count, gpu: amount.gpu * count, mem: 0 }
        };
        let chosen = [wanted, min_wanted].into_iter().find_map(|count| {
            choose_victims(free, need(count), priority, preemptible.candidates.clone())
        });
        let Some((victims, _)) = chosen else { return };
        self.quota.preempted_for.insert(id, ctx.now);
        for victim in victims {
            self.stop_victim(victim);
        }
        self.next_resend_at = ctx.now;
    }

    /// Returns the work of a team below this priority. Replicas of services are not preempted:
    /// users notice a missing replica at once, and the estimate of lost work does not reflect that.
    /// (With them as candidates, a fifth of all replicas was down in the recovery tests.)
    fn preemptible_work(&self, ctx: &Context, team: u8, priority: Priority) -> PreemptibleWork {
        let mut preemptible =
            PreemptibleWork { stopping: Resources::default(), candidates: Vec::new() };
        let jobs = self.jobs.values();
        let of_team = jobs
            .filter(|job| job.spec.kind != JobKind::Service && job.spec.priority < priority)
            .filter(|job| ctx.quota_use(job).is_some_and(|usage| usage.team == team));
        for job in of_team {
            preemptible.add(job, ctx.now);
        }
        preemptible
    }

    fn stop_victim(&mut self, victim: Victim) {
        let (Victim::Task { job: id, .. } | Victim::Gang { job: id }) = victim;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let saves_progress = job.spec.checkpoint_s > 0.0;
        let grace_s = if saves_progress { job.spec.save_s + SAVE_MARGIN_S } else { 0.0 };
        let before = job.placed.stopping_count();
        match victim {
            Victim::Task { task, .. } => job.placed.stop(task, grace_s),
            Victim::Gang { .. } => job.placed.stop_all(grace_s),
        }
        self.quota.preempted_tasks += (job.placed.stopping_count() - before) as u64;
        self.unsettled_jobs.insert(id);
    }
}
