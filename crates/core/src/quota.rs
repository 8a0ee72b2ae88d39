//! Limits of teams: constraints of the same kind as a machine's capacity, held by the team's shard.
//!
//! A team's shard grants each coordinator a part of the limit. A coordinator decides only within
//! its grant, and its decision is conditional on the epoch of the team's shard as well, so that a
//! grant ends with the owner that gave it. A new owner grants nothing before every coordinator
//! has reported what its tasks take; a coordinator's share stays counted until its shard's next
//! owner has reported anew.
//!
//! Invariant: a coordinator's share is at least what its tasks take, or were granted to take, and
//! what is granted beyond what is in use never makes the shares more than the limit.
use crate::guards::{holds, Guard};
use crate::ids::{Epoch, Shard, Timestamp};
use crate::names::thousandths;
use leaddeal_wire::mesh::{QuotaAmount, TeamGrant, TeamUsage};
use leaddeal_wire::settings::Team;
use std::collections::BTreeMap;

pub mod admission;
pub mod phase;
mod plan;

use phase::LimitPhase;
use plan::FirstThatLacks;

/// The demand of a coordinator that has not reported for longer counts as none; its share stays
/// counted.
const REPORT_TIMEOUT_MS: u64 = 2000;

/// The limit of a team in thousandths; none: no limit.
pub fn limit(team: &Team) -> Option<QuotaAmount> {
    let amount = |max: f64| if max > 0.0 { thousandths(max) } else { u64::MAX };
    (team.cpus_max > 0.0 || team.gpus_max > 0.0)
        .then(|| QuotaAmount { cpu: amount(team.cpus_max), gpu: amount(team.gpus_max) })
}

/// The shard that holds the limit of a team, given by its place in the settings.
pub fn shard_of_team(team: u8, shards: usize) -> Shard {
    Shard((team as usize % shards) as u8)
}

/// What is known of a coordinator's share of a team's limit.
#[derive(Clone, Debug)]
struct TeamShare {
    /// As last reported.
    usage: TeamUsage,
    /// What its tasks may take in all.
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

/// Shares out the limits of the teams of a shard.
#[derive(Debug)]
pub struct QuotaManager {
    shard: Shard,
    /// By the teams' places in the settings.
    limits: Vec<Option<QuotaAmount>>,
    /// The last report of each coordinator, by its shard.
    reports: BTreeMap<Shard, UsageReport>,
    shards: usize,
    phase: LimitPhase,
}

impl QuotaManager {
    /// The manager of a new owner of the shard, which knows of no coordinator yet.
    pub fn new(shard: Shard, teams: &[Team], shards: usize) -> QuotaManager {
        QuotaManager {
            shard,
            limits: teams.iter().map(limit).collect(),
            reports: BTreeMap::new(),
            shards,
            phase: LimitPhase::default(),
        }
    }

    /// What becomes of room that is not enough for the first job in turn, from now on.
    pub fn set_phase(&mut self, phase: LimitPhase) {
        self.phase = phase;
    }

    /// A coordinator's report; returns what it may take in all. It gives up whatever it was granted
    /// beyond what it reports. None: from no shard, or no newer than the last report.
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
        if self.reports.len() != self.shards && holds(Guard::GrantsComplete) {
            return Some(Vec::new());
        }
        Some(teams.into_iter().filter_map(|team| self.grant(now, from, team)).collect())
    }

    /// The shares of a coordinator after its report: no more than it uses. Teams without a limit and
    /// teams of other shards are left out.
    fn reported_shares(&self, usage: &[TeamUsage]) -> BTreeMap<u8, TeamShare> {
        usage
            .iter()
            .filter(|usage| shard_of_team(usage.team, self.shards) == self.shard)
            .filter(|usage| self.limits.get(usage.team as usize).is_some_and(Option::is_some))
            .map(|usage| (usage.team, TeamShare { usage: *usage, share: usage.in_use() }))
            .collect()
    }

    fn grant(&mut self, now: Timestamp, from: Shard, team: u8) -> Option<TeamGrant> {
        let limit = (*self.limits.get(team as usize)?)?;
        let others = self.shares_of_others(from, team);
        let (shards, usages): (Vec<Shard>, Vec<TeamUsage>) =
            self.current_usages(now, team).into_iter().unzip();
        let asking = shards.iter().position(|shard| *shard == from)?;
        let used = usages[asking].in_use();
        // What may be in use after a failover is counted in full, and can be more than the limit;
        // a grant never is. (Found by the simulator.)
        let lacking = match self.phase {
            LimitPhase::Keeping => FirstThatLacks::Waits,
            LimitPhase::Filling => FirstThatLacks::IsPassedOver,
        };
        let additional = plan::additional_shares(limit, &usages, lacking)[asking];
        let may = used.plus(additional).component_min(limit.minus(others));
        let share = may.component_max(used);
        debug_assert!(within_limit(limit, used, share, others), "more is granted than there is");
        self.reports.get_mut(&from)?.teams.get_mut(&team)?.share = share;
        let due = plan::shares_after_preemption(limit, &usages)[asking];
        Some(TeamGrant { team, granted: may, granted_after_preemption: due })
    }

    /// The shares that all other coordinators have of a team's limit.
    fn shares_of_others(&self, from: Shard, team: u8) -> QuotaAmount {
        let others = self.reports.iter().filter(|(shard, _)| **shard != from);
        others
            .filter_map(|(_, report)| report.teams.get(&team))
            .filter(|_| holds(Guard::GrantsShared))
            .fold(QuotaAmount::default(), |sum, team_share| sum.plus(team_share.share))
    }

    /// What each coordinator uses and wants of a team's limit; of one that has not reported lately,
    /// what it uses.
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

/// A share beyond what is used keeps to the limit, together with those of the others.
fn within_limit(
    limit: QuotaAmount,
    used: QuotaAmount,
    share: QuotaAmount,
    others: QuotaAmount,
) -> bool {
    let sum = share.plus(others);
    (share.cpu == used.cpu || sum.cpu <= limit.cpu)
        && (share.gpu == used.gpu || sum.gpu <= limit.gpu)
}

#[cfg(test)]
mod tests;
