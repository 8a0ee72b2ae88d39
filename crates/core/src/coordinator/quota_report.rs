//! Reports of the use of and demand for the teams' quotas, sent to the shards that manage them, and
//! quota statistics for the log.
use super::quota_admission::JobAdmission;
use super::quota_state::team_quotas;
use super::Coordinator;
use crate::context::Context;
use crate::ids::Timestamp;
use crate::quota::admission::QuotaClaim;
use crate::quota::phase::QuotaPhase;
use leaddeal_wire::mesh::{FirstInQueue, QuotaAmount, ShardMessage, TeamUsage};
use std::collections::BTreeMap;

/// Time between two reports.
const REPORT_INTERVAL_MS: u64 = 400;

/// Returns the key by which needs are compared: GPUs first, since they are scarcer than cores.
fn size(need: QuotaAmount) -> (u64, u64) {
    (need.gpu, need.cpu)
}

impl Coordinator {
    /// Reports the use of and demand for the teams' quotas if a report is due.
    pub(super) fn report_team_usage(&mut self, ctx: &mut Context) {
        // A report gives up the grants until it is answered, so it is delayed during a negotiation,
        // which needs them and ends soon.
        let delay_ms = if self.negotiation.is_some() { REPORT_INTERVAL_MS } else { 0 };
        if !self.is_ready() || ctx.now < self.quota.next_report_at + delay_ms {
            return;
        }
        if team_quotas(ctx).is_empty() {
            return;
        }
        self.quota.next_report_at = ctx.now + REPORT_INTERVAL_MS;
        let admissions = self.admit_pending(ctx);
        self.quota.report_serial += 1;
        self.quota.grants.clear();
        let serial = self.quota.report_serial;
        let usage = self.usage_report(ctx, &admissions);
        self.quota.admissions = admissions;
        for shard in ctx.shards() {
            let message = ShardMessage::TeamUsage { serial, usage: usage.clone() };
            ctx.send(self.shard, shard, message);
        }
    }

    /// Returns the use of and demand for each team's quota, in the order of the teams in the
    /// settings.
    fn usage_report(&self, ctx: &Context, admissions: &[JobAdmission]) -> Vec<TeamUsage> {
        let mut report: BTreeMap<u8, TeamUsage> =
            team_quotas(ctx).into_keys().map(|team| (team, TeamUsage::of(team))).collect();
        for (team, used) in self.team_usage(ctx) {
            if let Some(usage) = report.get_mut(&team) {
                usage.used = used;
            }
        }
        let phase = QuotaPhase::at(ctx.wall_clock_ms);
        let (unplaceable, placeable): (Vec<_>, Vec<_>) =
            admissions.iter().partition(|admission| admission.claim == QuotaClaim::Nothing);
        for admission in placeable.into_iter().chain(unplaceable) {
            if let Some(usage) = report.get_mut(&admission.team) {
                self.add_demand(usage, admission, phase, ctx.now);
            }
        }
        report.into_values().collect()
    }

    /// Adds the demand of a pending job. One job of each priority is reported as the first in the
    /// queue, whose need is granted as a whole: in the phase `Reserving` the job that ranks first,
    /// in the phase `Backfilling` the job with the smallest need. A job that claims nothing, since
    /// it found no machine recently, is reported only in the phase `Backfilling`, if there is no
    /// other.
    fn add_demand(
        &self,
        usage: &mut TeamUsage,
        admission: &JobAdmission,
        phase: QuotaPhase,
        now: Timestamp,
    ) {
        let request = admission.request;
        let priority = request.priority as usize;
        let all = request.amount_per_task.times(request.tasks);
        let need = request.amount_per_task.times(request.next_count());
        let wanted = match admission.claim {
            QuotaClaim::All => all,
            QuotaClaim::Next => need,
            QuotaClaim::Nothing => QuotaAmount::default(),
        };
        usage.wanted[priority] = usage.wanted[priority].plus(wanted);
        usage.unplaceable[priority] = usage.unplaceable[priority].plus(all.minus(wanted));
        let known = usage.first[priority];
        let is_first = match phase {
            QuotaPhase::Reserving => known.is_none() && admission.claim != QuotaClaim::Nothing,
            QuotaPhase::Backfilling => {
                let is_smallest = known.is_none_or(|known| size(need) < size(known.need));
                let is_only_choice = usage.wanted[priority] == QuotaAmount::default();
                is_smallest && (admission.claim != QuotaClaim::Nothing || is_only_choice)
            }
        };
        if is_first {
            let job = self.jobs.get(&admission.id);
            let waited_ms = job.map_or(0, |job| now.saturating_sub(job.submitted_at));
            usage.first[priority] = Some(FirstInQueue { need, waited_ms });
        }
    }

    /// Returns the log details about quotas: how many jobs wait for quota, how many tasks were
    /// preempted within their team since the last call, and by team what its tasks use here and
    /// what this coordinator is granted, in cores and GPUs. `None`: no team has a quota.
    pub fn quota_statistics(&mut self, ctx: &Context) -> Option<String> {
        if team_quotas(ctx).is_empty() {
            return None;
        }
        let preempted = std::mem::take(&mut self.quota.preempted_tasks);
        let is_over_quota = |admission: &&JobAdmission| admission.admitted.after_preemption == 0;
        let over_quota = self.quota.admissions.iter().filter(is_over_quota).count();
        let mut details = vec![format!(
            "shard={} over_quota={over_quota} preempted_in_team={preempted}",
            self.shard.0
        )];
        for (team, status) in self.quota_statuses(ctx) {
            let name = &ctx.config.teams[team as usize].name;
            let (used, granted) = (status.in_use(), status.granted);
            let units = |thousandths: u64| thousandths as f64 / 1000.0;
            details.push(format!(
                "team.{name}={:.1}/{:.1} gpus={:.1}/{:.1}",
                units(used.cpu),
                units(granted.cpu),
                units(used.gpu),
                units(granted.gpu)
            ));
        }
        Some(details.join(" "))
    }
}
