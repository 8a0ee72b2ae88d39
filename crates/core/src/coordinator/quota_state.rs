//! What a coordinator knows of the quotas of teams: its grants, and what its tasks use of them.
use super::quota_admission::JobAdmission;
use super::Coordinator;
use crate::context::Context;
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, JobId, Shard, Timestamp};
use crate::quota::admission::QuotaStatus;
use crate::quota::{self, shard_of_team};
use crate::stored::QuotaUse;
use leaddeal_wire::mesh::{ByPriority, QuotaAmount, TeamGrant};
use leaddeal_wire::user::Priority;
use std::collections::BTreeMap;

/// Identifies the queue of the pending jobs of one team and one priority; the team is given by its
/// index in the settings.
pub(super) type TeamQueue = (u8, Priority);

/// The quotas of teams as this coordinator knows them.
#[derive(Debug, Default)]
pub(super) struct QuotaState {
    /// Grants received since the last report, by team.
    pub(super) grants: BTreeMap<u8, ReceivedGrant>,
    /// Number of the last report. Only grants that answer it are valid.
    pub(super) report_serial: u64,
    pub(super) next_report_at: Timestamp,
    /// Admissions of the pending jobs of teams with a quota as of the last report, for the log.
    pub(super) admissions: Vec<JobAdmission>,
    /// Jobs for which lower-priority work of their team was preempted, with the time of that.
    pub(super) preempted_for: BTreeMap<JobId, Timestamp>,
    /// Number of tasks preempted within their team since the last statistics line of the log.
    pub(super) preempted_tasks: u64,
}

/// A grant of a team's quota. It ends with the owner of the team's shard that gave it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedGrant {
    /// Epoch of the team's shard under which the grant was given.
    pub(super) epoch: Epoch,
    pub(super) grant: TeamGrant,
}

/// Returns the quotas of the teams that have one, by the team's index in the settings.
pub(super) fn team_quotas(ctx: &Context) -> BTreeMap<u8, QuotaAmount> {
    let teams = ctx.config.teams.iter().enumerate();
    teams.filter_map(|(team, settings)| Some((team as u8, quota::team_quota(settings)?))).collect()
}

impl Coordinator {
    /// Handles the answer of a team's shard to a report. Answers to older reports are ignored.
    pub(super) fn receive_grants(
        &mut self,
        ctx: &mut Context,
        from: Shard,
        serial: u64,
        granted: Vec<TeamGrant>,
    ) {
        if serial != self.quota.report_serial {
            return;
        }
        let Some(epoch) = ctx.owner(from).map(|owner| owner.epoch) else { return };
        for grant in granted {
            self.quota.grants.insert(grant.team, ReceivedGrant { epoch, grant });
        }
        ctx.needs_round = true;
    }

    /// Returns how much of each team's quota is used by the tasks that are or may be on machines,
    /// by priority. The tasks of a pending decision count as used.
    pub(super) fn team_usage(&self, ctx: &Context) -> BTreeMap<u8, ByPriority> {
        let mut used: BTreeMap<u8, ByPriority> = BTreeMap::new();
        // Runs once per decision: skips the scan of all placements if no team has a quota.
        if team_quotas(ctx).is_empty() {
            return used;
        }
        let mut count = |priority: Priority, QuotaUse { team, amount }: QuotaUse| {
            let sum = &mut used.entry(team).or_default()[priority as usize];
            *sum = sum.plus(amount);
        };
        for job in self.jobs.values() {
            for usage in job.placed.values().filter_map(|placement| placement.quota) {
                count(job.spec.priority, usage);
            }
        }
        for choice in self.pending_decision.iter().flat_map(|decision| &decision.selected) {
            let Some(job) = self.jobs.get(&choice.job) else { continue };
            if let Some(usage) = ctx.quota_use(job) {
                count(job.spec.priority, usage);
            }
        }
        used
    }

    /// Returns the quota status of each team whose shard has answered the last report and still has
    /// the same owner.
    pub(super) fn quota_statuses(&self, ctx: &Context) -> BTreeMap<u8, QuotaStatus> {
        let mut used = self.team_usage(ctx);
        let shards = ctx.shards().count();
        let mut statuses = BTreeMap::new();
        for team in team_quotas(ctx).into_keys() {
            let epoch = ctx.owner(shard_of_team(team, shards)).map(|owner| owner.epoch);
            let received = self.quota.grants.get(&team);
            let valid = received.filter(|received| {
                Some(received.epoch) == epoch || !is_enforced(Guard::GrantBoundToEpoch)
            });
            let Some(ReceivedGrant { grant, .. }) = valid else { continue };
            let used = used.remove(&team).unwrap_or_default();
            statuses.insert(
                team,
                QuotaStatus {
                    granted: grant.granted,
                    granted_after_preemption: grant.granted_after_preemption,
                    used,
                },
            );
        }
        statuses
    }
}
