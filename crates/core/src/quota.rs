//! Limits of teams: constraints of the same kind as a machine's room, held by the team's shard.
//!
//! A team's shard grants each coordinator a part of the limit. A coordinator decides only within
//! its grant, and its decision is conditional on the epoch of the team's shard as well, so that a
//! grant ends with the owner that gave it. A new owner grants nothing before every coordinator
//! has told what its tasks take; a coordinator's share stays counted until its shard's next owner
//! has told anew.
use crate::guards::{holds, Guard};
use crate::ids::{Epoch, Shard};
use crate::names::thousandths;
use leaddeal_wire::mesh::TeamUse;
use leaddeal_wire::settings::Team;
use std::collections::BTreeMap;

/// The limit of a team in thousandths; none: no limit.
pub fn limit(t: &Team) -> Option<(u64, u64)> {
    let m = |v: f64| if v > 0.0 { thousandths(v) } else { u64::MAX };
    (t.cpus_max > 0.0 || t.gpus_max > 0.0).then(|| (m(t.cpus_max), m(t.gpus_max)))
}

pub fn shard_of_team(team: u8, shards: usize) -> Shard {
    Shard((team as usize % shards) as u8)
}

/// By team: thousandths of cores and GPUs.
type Shares = BTreeMap<u8, (u64, u64)>;

/// The books of a team's shard.
#[derive(Debug)]
pub struct QuotaManager {
    shard: Shard,
    limits: Vec<Option<(u64, u64)>>,
    /// By coordinator's shard: its epoch, and what each team may take there.
    shares: BTreeMap<Shard, (Epoch, Shares)>,
    shards: usize,
}

impl QuotaManager {
    pub fn new(shard: Shard, teams: &[Team], shards: usize) -> QuotaManager {
        QuotaManager {
            shard,
            limits: teams.iter().map(limit).collect(),
            shares: BTreeMap::new(),
            shards,
        }
    }

    /// A coordinator's report; returns what it may take in all.
    pub fn report(&mut self, from: Shard, epoch: Epoch, usage: &[TeamUse]) -> Vec<TeamUse> {
        if self.shares.get(&from).is_some_and(|s| s.0 > epoch) {
            return Vec::new();
        }
        let mine: Vec<&TeamUse> = usage
            .iter()
            .filter(|u| shard_of_team(u.team, self.shards) == self.shard)
            .filter(|u| self.limits.get(u.team as usize).is_some_and(Option::is_some))
            .collect();
        let used = mine.iter().map(|u| (u.team, (u.cpu, u.gpu))).collect();
        self.shares.insert(from, (epoch, used));
        let complete = self.shares.len() == self.shards || !holds(Guard::GrantsComplete);
        let mut granted = Vec::new();
        for u in mine {
            let Some((cpu_max, gpu_max)) = self.limits[u.team as usize] else { continue };
            let (mut cpu, mut gpu) = (0, 0);
            if complete {
                let others = |f: fn(&(u64, u64)) -> u64| -> u64 {
                    let rest =
                        self.shares.iter().filter(|s| *s.0 != from && holds(Guard::GrantsShared));
                    rest.filter_map(|s| s.1 .1.get(&u.team)).map(f).sum()
                };
                // What may be in use after a takeover is counted in full, and can be more than
                // the limit; a grant never is. (Found by the simulator.)
                cpu = (u.cpu + u.more_cpu).min(cpu_max.saturating_sub(others(|x| x.0)));
                gpu = (u.gpu + u.more_gpu).min(gpu_max.saturating_sub(others(|x| x.1)));
                if let Some(s) = self.shares.get_mut(&from) {
                    s.1.insert(u.team, (cpu.max(u.cpu), gpu.max(u.gpu)));
                }
            }
            granted.push(TeamUse { team: u.team, cpu, gpu, more_cpu: 0, more_gpu: 0 });
        }
        granted
    }
}

#[cfg(test)]
mod tests;
