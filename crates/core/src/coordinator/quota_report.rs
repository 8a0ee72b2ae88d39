//! Reports to the teams' shards of what is used and wanted of the limits, and figures for the log.
use super::quota_admission::WaitingJob;
use super::quota_state::limited_teams;
use super::Coordinator;
use crate::context::Context;
use crate::ids::Timestamp;
use crate::quota::admission::QuotaClaim;
use crate::quota::phase::QuotaPhase;
use leaddeal_wire::mesh::{FirstInQueue, QuotaAmount, ShardMessage, TeamUsage};
use std::collections::BTreeMap;

/// Between two reports.
const REPORT_INTERVAL_MS: u64 = 400;

/// By what the least need is told: GPUs are scarcer than processors.
fn size(need: QuotaAmount) -> (u64, u64) {
    (need.gpu, need.cpu)
}

impl Coordinator {
    /// Reports to the teams' shards what is used and wanted, if it is time to.
    pub(super) fn report_team_usage(&mut self, ctx: &mut Context) {
        // A report gives the grants back for a moment: not during a negotiation that ends soon.
        let delay_ms = if self.negotiation.is_some() { REPORT_INTERVAL_MS } else { 0 };
        if !self.ready() || ctx.now < self.quota.next_report_at + delay_ms {
            return;
        }
        if limited_teams(ctx).is_empty() {
            return;
        }
        self.quota.next_report_at = ctx.now + REPORT_INTERVAL_MS;
        let waiting = self.admit_waiting(ctx);
        self.quota.report_serial += 1;
        self.quota.grants.clear();
        let serial = self.quota.report_serial;
        let usage = self.usage_report(ctx, &waiting);
        self.quota.waiting = waiting;
        for shard in ctx.shards() {
            let message = ShardMessage::TeamUsage { serial, usage: usage.clone() };
            ctx.send(self.shard, shard, message);
        }
    }

    /// What is used and wanted of the limit of each team that has one, in the order of the settings.
    fn usage_report(&self, ctx: &Context, waiting: &[WaitingJob]) -> Vec<TeamUsage> {
        let mut report: BTreeMap<u8, TeamUsage> =
            limited_teams(ctx).into_keys().map(|team| (team, TeamUsage::of(team))).collect();
        for (team, used) in self.team_usage(ctx) {
            if let Some(usage) = report.get_mut(&team) {
                usage.used = used;
            }
        }
        let phase = QuotaPhase::at(ctx.wall_clock_ms);
        let (unplaceable, placeable): (Vec<_>, Vec<_>) =
            waiting.iter().partition(|job| job.claim == QuotaClaim::Nothing);
        for job in placeable.into_iter().chain(unplaceable) {
            if let Some(usage) = report.get_mut(&job.team) {
                self.add_wanted(usage, job, phase, ctx.now);
            }
        }
        report.into_values().collect()
    }

    /// Adds what a waiting job wants. The first of its priority is served whole: the first in turn, or
    /// while gaps are filled the one that needs least, one that found no machine lately only if there is
    /// no other.
    fn add_wanted(
        &self,
        usage: &mut TeamUsage,
        waiting: &WaitingJob,
        phase: QuotaPhase,
        now: Timestamp,
    ) {
        let request = waiting.request;
        let priority = request.priority as usize;
        let all = request.amount_per_task.times(request.tasks);
        let need = request.amount_per_task.times(request.next_count());
        let wanted = match waiting.claim {
            QuotaClaim::All => all,
            QuotaClaim::Next => need,
            QuotaClaim::Nothing => QuotaAmount::default(),
        };
        usage.wanted[priority] = usage.wanted[priority].plus(wanted);
        usage.unplaceable[priority] = usage.unplaceable[priority].plus(all.minus(wanted));
        let known = usage.first[priority];
        let is_first = match phase {
            QuotaPhase::Reserving => known.is_none() && waiting.claim != QuotaClaim::Nothing,
            QuotaPhase::Backfilling => {
                let least = known.is_none_or(|known| size(need) < size(known.need));
                let only_choice = usage.wanted[priority] == QuotaAmount::default();
                least && (waiting.claim != QuotaClaim::Nothing || only_choice)
            }
        };
        if is_first {
            let job = self.jobs.get(&waiting.id);
            let waited_ms = job.map_or(0, |job| now.saturating_sub(job.submitted_at));
            usage.first[priority] = Some(FirstInQueue { need, waited_ms });
        }
    }

    /// For the operators' log, if there are teams with limits: how many jobs wait for one, how many
    /// tasks were preempted for others of their team, and by team what its tasks take here and may
    /// take, in cores and GPUs.
    pub fn limit_figures(&mut self, ctx: &Context) -> Option<String> {
        if limited_teams(ctx).is_empty() {
            return None;
        }
        let preempted = std::mem::take(&mut self.quota.preempted_tasks);
        let over_quota = |job: &&WaitingJob| job.admitted.after_preemption == 0;
        let waiting = self.quota.waiting.iter().filter(over_quota).count();
        let mut words = vec![format!(
            "shard={} over_quota={waiting} preempted_in_team={preempted}",
            self.shard.0
        )];
        for (team, status) in self.quota_statuses(ctx) {
            let name = &ctx.config.teams[team as usize].name;
            let (used, granted) = (status.in_use(), status.granted);
            let units = |thousandths: u64| thousandths as f64 / 1000.0;
            words.push(format!(
                "team.{name}={:.1}/{:.1} gpus={:.1}/{:.1}",
                units(used.cpu),
                units(granted.cpu),
                units(used.gpu),
                units(granted.gpu)
            ));
        }
        Some(words.join(" "))
    }
}
