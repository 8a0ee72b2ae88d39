//! Limits of teams: constraints of the same kind as a machine's room, held by the team's shard.
//!
//! A team's shard grants each coordinator a part of the limit. A coordinator decides only within
//! its grant, and its decision is conditional on the epoch of the team's shard as well, so that a
//! grant ends with the owner that gave it. A new owner grants nothing before every coordinator
//! has told what its tasks take; a coordinator's share stays counted until its shard's next owner
//! has told anew.
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
mod plan;

/// Who has not told for so long asks for nothing any more; its share stays counted.
const ASKS_MS: u64 = 2000;

/// The limit of a team in thousandths; none: no limit.
pub fn limit(t: &Team) -> Option<QuotaAmount> {
    let m = |v: f64| if v > 0.0 { thousandths(v) } else { u64::MAX };
    (t.cpus_max > 0.0 || t.gpus_max > 0.0)
        .then(|| QuotaAmount { cpu: m(t.cpus_max), gpu: m(t.gpus_max) })
}

pub fn shard_of_team(team: u8, shards: usize) -> Shard {
    Shard((team as usize % shards) as u8)
}

/// What is known of a coordinator's share of a team's limit.
#[derive(Clone, Debug)]
struct TeamShare {
    told: TeamUsage,
    /// What its tasks may take in all.
    share: QuotaAmount,
}

/// The last report of a coordinator.
#[derive(Debug)]
struct UsageReport {
    epoch: Epoch,
    serial: u64,
    at: Timestamp,
    teams: BTreeMap<u8, TeamShare>,
}

/// The books of a team's shard.
#[derive(Debug)]
pub struct QuotaManager {
    shard: Shard,
    limits: Vec<Option<QuotaAmount>>,
    told: BTreeMap<Shard, UsageReport>,
    shards: usize,
}

impl QuotaManager {
    pub fn new(shard: Shard, teams: &[Team], shards: usize) -> QuotaManager {
        QuotaManager {
            shard,
            limits: teams.iter().map(limit).collect(),
            told: BTreeMap::new(),
            shards,
        }
    }

    /// A coordinator's report; returns what it may take in all. It gives up whatever it was granted
    /// beyond what it tells. None: an older report than the last, which says nothing.
    pub fn report(
        &mut self,
        now: Timestamp,
        from: Shard,
        epoch: Epoch,
        serial: u64,
        usage: &[TeamUsage],
    ) -> Option<Vec<TeamGrant>> {
        if from.0 as usize >= self.shards
            || self.told.get(&from).is_some_and(|t| (t.epoch, t.serial) >= (epoch, serial))
        {
            return None;
        }
        let mine = usage
            .iter()
            .filter(|u| shard_of_team(u.team, self.shards) == self.shard)
            .filter(|u| self.limits.get(u.team as usize).is_some_and(Option::is_some));
        let teams = mine.map(|u| (u.team, TeamShare { told: *u, share: u.in_use() })).collect();
        self.told.insert(from, UsageReport { epoch, serial, at: now, teams });
        let complete = self.told.len() == self.shards || !holds(Guard::GrantsComplete);
        let teams: Vec<u8> = self.told[&from].teams.keys().copied().collect();
        let granted = teams.into_iter().filter(|_| complete);
        Some(granted.filter_map(|team| self.grant(now, from, team)).collect())
    }

    fn grant(&mut self, now: Timestamp, from: Shard, team: u8) -> Option<TeamGrant> {
        let limit = (*self.limits.get(team as usize)?)?;
        let accounts = self.told.iter().filter_map(|(s, t)| Some((s, t.at, t.teams.get(&team)?)));
        let mut others = QuotaAmount::default();
        let mut asks = Vec::new();
        for (s, at, account) in accounts {
            if *s != from && holds(Guard::GrantsShared) {
                others = others.plus(account.share);
            }
            let mut told = account.told;
            if now > at + ASKS_MS {
                told.wanted = Default::default();
                told.unplaceable = Default::default();
                told.first = Default::default();
            }
            asks.push((*s, told));
        }
        let me = asks.iter().position(|a| a.0 == from)?;
        let asks: Vec<TeamUsage> = asks.into_iter().map(|a| a.1).collect();
        let used = asks[me].in_use();
        // What may be in use after a takeover is counted in full, and can be more than the limit;
        // a grant never is. (Found by the simulator.)
        let most = limit.minus(others);
        let may = used.plus(plan::extras(limit, &asks)[me]).least(most);
        let account = self.told.get_mut(&from)?.teams.get_mut(&team)?;
        account.share = may.most(used);
        debug_assert!(
            account.share == used || {
                let sum = account.share.plus(others);
                (account.share.cpu == used.cpu || sum.cpu <= limit.cpu)
                    && (account.share.gpu == used.gpu || sum.gpu <= limit.gpu)
            },
            "more is granted than there is"
        );
        Some(TeamGrant { team, may, due: plan::dues(limit, &asks)[me] })
    }
}

#[cfg(test)]
mod tests;
