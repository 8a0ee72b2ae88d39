//! Limits of teams: what is used and wanted is told to the teams' shards.
use super::Coordinator;
use crate::ctx::Ctx;
use crate::quota;
use leaddeal_wire::mesh::{ShardMsg, TeamUse};
use std::collections::BTreeMap;

impl Coordinator {
    /// What the tasks that are or may be on machines take of the teams' limits.
    pub(super) fn team_usage(&self, ctx: &Ctx) -> BTreeMap<u8, (u64, u64)> {
        if ctx.cfg.teams.iter().all(|t| quota::limit(t).is_none()) {
            return BTreeMap::new();
        }
        let mut m: BTreeMap<u8, (u64, u64)> = BTreeMap::new();
        for t in self.jobs.values().flat_map(|j| j.placed.values()).filter_map(|p| p.team) {
            let e = m.entry(t.0).or_default();
            e.0 += t.1;
            e.1 += t.2;
        }
        m
    }

    /// Tells the teams' shards what is used and wanted.
    pub fn report_teams(&mut self, ctx: &mut Ctx) {
        // While a decision is being written it is neither used nor free.
        if !self.ready() || self.writing.is_some() || ctx.now < self.team_at {
            return;
        }
        let mut m: BTreeMap<u8, TeamUse> = BTreeMap::new();
        for (i, t) in ctx.cfg.teams.iter().enumerate() {
            if quota::limit(t).is_some() {
                let team = i as u8;
                m.insert(team, TeamUse { team, cpu: 0, gpu: 0, more_cpu: 0, more_gpu: 0 });
            }
        }
        if m.is_empty() {
            return;
        }
        self.team_at = ctx.now + 400;
        for (team, u) in self.team_usage(ctx) {
            if let Some(e) = m.get_mut(&team) {
                (e.cpu, e.gpu) = u;
            }
        }
        for j in self.jobs.values().filter(|j| !j.cancelled && j.finishing.is_none()) {
            if let Some((team, cpu, gpu)) = ctx.team_use(j) {
                if let Some(e) = m.get_mut(&team) {
                    e.more_cpu += cpu * u64::from(j.pending());
                    e.more_gpu += gpu * u64::from(j.pending());
                }
            }
        }
        self.team_serial += 1;
        self.grants.clear();
        let usage: Vec<TeamUse> = m.into_values().collect();
        for s in ctx.shards() {
            let msg = ShardMsg::TeamUsage { serial: self.team_serial, usage: usage.clone() };
            ctx.send(self.shard, s, msg);
        }
    }
}
