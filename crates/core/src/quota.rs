//! Quotas of teams: constraints of the same kind as a machine's capacity, managed by the team's
//! shard.
//!
//! A team's shard grants each coordinator a part of the quota. A coordinator decides only within
//! its grant. Its decision is also conditional on the epoch of the team's shard, so a grant ends
//! with the ownership under which it was made. A new owner grants nothing before every coordinator
//! has reported its usage. A coordinator's share stays counted until the next owner of the
//! coordinator's shard has reported.
//!
//! Invariant: a coordinator's share is at least what its tasks use, or were granted to use. What is
//! granted beyond the usage never makes the sum of the shares exceed the quota.
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, Shard, Timestamp};
use crate::names::thousandths;
use leaddeal_wire::mesh::{QuotaAmount, TeamGrant, TeamUsage};
use leaddeal_wire::settings::Team;
use std::collections::BTreeMap;

pub mod admission;
pub mod phase;
mod plan;

use phase::QuotaPhase;
use plan::UncoveredFirstJob;

/// The demand of a coordinator that has not reported for this long, in ms, counts as none; its
/// share stays counted.
const REPORT_TIMEOUT_MS: u64 = 2000;

/// Returns the quota of a team, in thousandths of processors and GPUs; `None`: the team has no
/// quota.
pub fn team_quota(team: &Team) -> Option<QuotaAmount> {
    let amount = |max: f64| if max > 0.0 { thousandths(max) } else { u64::MAX };
    (team.cpus_max > 0.0 || team.gpus_max > 0.0)
        .then(|| QuotaAmount { cpu: amount(team.cpus_max), gpu: amount(team.gpus_max) })
}

/// Returns the shard that manages the quota of a team, which is given by its index in the settings.
pub fn shard_of_team(team: u8, shards: usize) -> Shard {
    Shard((team as usize % shards) as u8)
}

/// What is known of a coordinator's share of a team's quota.
#[derive(Clone, Debug)]
struct TeamShare {
    /// The usage and demand that the coordinator last reported.
    usage: TeamUsage,
    /// How much the coordinator's tasks may use in total.
    share: QuotaAmount,
}

/// The last report of a coordinator.
#[derive(Debug)]
struct UsageReport {
    epoch: Epoch,
    serial: u64,
    received_at: Timestamp,
    teams: BTreeMap<u8, TeamShare>,
}

/// Divides the quotas of a shard's teams among the coordinators.
#[derive(Debug)]
pub struct QuotaManager {
    shard: Shard,
    /// The quota of each team, by the team's index in the settings; `None`: no quota.
    quotas: Vec<Option<QuotaAmount>>,
    /// The last report of each coordinator, by its shard.
    reports: BTreeMap<Shard, UsageReport>,
    shards: usize,
    phase: QuotaPhase,
}

impl QuotaManager {
    /// Creates the manager of a new owner of the shard, which has no reports yet.
    pub fn new(shard: Shard, teams: &[Team], shards: usize) -> QuotaManager {
        QuotaManager {
            shard,
            quotas: teams.iter().map(team_quota).collect(),
            reports: BTreeMap::new(),
            shards,
            phase: QuotaPhase::default(),
        }
    }

    /// Sets the phase, which decides about free quota that does not suffice for the first job.
    pub fn set_phase(&mut self, phase: QuotaPhase) {
        self.phase = phase;
    }

    /// Applies a coordinator's report and returns its grants. Whatever the coordinator was granted
    /// beyond the reported usage is freed. `None`: the report is from a shard that does not exist,
    /// or is not newer than the last one.
    pub fn report(
        &mut self,
        now: Timestamp,
        from: Shard,
        epoch: Epoch,
        serial: u64,
        usage: &[TeamUsage],
    ) -> Option<Vec<TeamGrant>> {
        let last = self.reports.get(&from);
        let outdated = last.is_some_and(|last| (last.epoch, last.serial) >= (epoch, serial));
        if from.0 as usize >= self.shards || outdated {
            return None;
        }
        let shares = self.reported_shares(usage);
        let teams: Vec<u8> = shares.keys().copied().collect();
        let report = UsageReport { epoch, serial, received_at: now, teams: shares };
        self.reports.insert(from, report);
        if self.reports.len() != self.shards && is_enforced(Guard::GrantsAwaitAllReports) {
            return Some(Vec::new());
        }
        Some(teams.into_iter().filter_map(|team| self.grant(now, from, team)).collect())
    }

    /// Returns the shares of a coordinator after its report, which are no more than its usage.
    /// Teams without a quota and teams of other shards are left out.
    fn reported_shares(&self, usage: &[TeamUsage]) -> BTreeMap<u8, TeamShare> {
        usage
            .iter()
            .filter(|usage| shard_of_team(usage.team, self.shards) == self.shard)
            .filter(|usage| self.quotas.get(usage.team as usize).is_some_and(Option::is_some))
            .map(|usage| (usage.team, TeamShare { usage: *usage, share: usage.in_use() }))
            .collect()
    }

    /// Updates a coordinator's share of a team's quota and returns its grant.
    fn grant(&mut self, now: Timestamp, from: Shard, team: u8) -> Option<TeamGrant> {
        let quota = (*self.quotas.get(team as usize)?)?;
        let others = self.shares_of_others(from, team);
        let (shards, usages): (Vec<Shard>, Vec<TeamUsage>) =
            self.current_usages(now, team).into_iter().unzip();
        let requester = shards.iter().position(|shard| *shard == from)?;
        let used = usages[requester].in_use();
        let uncovered_first = match self.phase {
            QuotaPhase::Reserving => UncoveredFirstJob::Waits,
            QuotaPhase::Backfilling => UncoveredFirstJob::Skipped,
        };
        let additional = plan::additional_shares(quota, &usages, uncovered_first)[requester];
        // All that may be in use after a failover is counted, so the usage can exceed the quota. A
        // grant must not (seen in the simulator).
        let granted = used.plus(additional).component_min(quota.minus(others));
        let share = granted.component_max(used);
        debug_assert!(is_within_quota(quota, used, share, others), "the shares exceed the quota");
        self.reports.get_mut(&from)?.teams.get_mut(&team)?.share = share;
        let after_preemption = plan::shares_after_preemption(quota, &usages)[requester];
        Some(TeamGrant { team, granted, granted_after_preemption: after_preemption })
    }

    /// Returns the sum of all other coordinators' shares of a team's quota.
    fn shares_of_others(&self, from: Shard, team: u8) -> QuotaAmount {
        let others = self.reports.iter().filter(|(shard, _)| **shard != from);
        others
            .filter_map(|(_, report)| report.teams.get(&team))
            .filter(|_| is_enforced(Guard::GrantsCountOtherShares))
            .fold(QuotaAmount::default(), |sum, team_share| sum.plus(team_share.share))
    }

    /// Returns each coordinator's usage of a team's quota and its demand. A coordinator that has
    /// not reported lately has no demand.
    fn current_usages(&self, now: Timestamp, team: u8) -> Vec<(Shard, TeamUsage)> {
        let mut usages = Vec::new();
        for (shard, report) in &self.reports {
            let Some(team_share) = report.teams.get(&team) else { continue };
            let mut usage = team_share.usage;
            if now > report.received_at + REPORT_TIMEOUT_MS {
                usage.wanted = Default::default();
                usage.unplaceable = Default::default();
                usage.first = Default::default();
            }
            usages.push((*shard, usage));
        }
        usages
    }
}

/// Whether the shares stay within the quota, as far as this share exceeds the usage.
fn is_within_quota(
    quota: QuotaAmount,
    used: QuotaAmount,
    share: QuotaAmount,
    others: QuotaAmount,
) -> bool {
    let sum = share.plus(others);
    (share.cpu == used.cpu || sum.cpu <= quota.cpu)
        && (share.gpu == used.gpu || sum.gpu <= quota.gpu)
}

#[cfg(test)]
mod tests;
