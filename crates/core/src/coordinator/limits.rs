//! Limits of teams: what is used and wanted is told to the teams' shards; what their grants let in.
use super::Coordinator;
use crate::context::Context;
use crate::guards::{holds, Guard};
use crate::ids::{JobId, Timestamp};
use crate::jobs::{Job, Urgency};
use crate::names::Resources;
use crate::preemption::{victims, Candidate};
use crate::quota::admission::{Admission, AdmissionRequest, Admitted, QuotaStatus};
use crate::quota::{self, shard_of_team};
use leaddeal_wire::mesh::{ByPriority, FirstInQueue, QuotaAmount, ShardMessage, TeamUsage};
use leaddeal_wire::user::{Kind, Priority};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Between two reports.
const TELL_MS: u64 = 400;
/// A job that found no machine for so long leaves what it could take of its team's limit to others,
const STUCK_MS: u64 = 3000;
/// but for some of each spell, if it is the first such of its team and priority here: it would never have room
/// made for it otherwise. (Spell, and how much of it.)
const TRIES_MS: (u64, u64) = (20_000, 10_000);
/// The same while a participant makes room for it.
const COMING_MS: (u64, u64) = (60_000, 40_000);
/// So long that counts.
const COMES_MS: u64 = 5000;
/// The first job of a team and priority keeps what becomes free until it has enough, for some of each spell.
const FIRST_MS: (u64, u64) = (30_000, 20_000);
/// A job for which lesser work of its team was stopped has so long to begin, and nothing more is
/// stopped for it in that time.
const WAY_MS: u64 = 15_000;
/// So many tasks of a job at a time have lesser work stopped for them.
const WAY_TASKS: u32 = 16;

/// A job's place among those that wait: the least is served first.
pub(super) type Turn = (Reverse<Priority>, Urgency, Timestamp, JobId);

pub(super) fn turn(j: &Job, now: Timestamp) -> Turn {
    let urgency = j.placement_urgency(now);
    (Reverse(j.wire.priority), urgency, j.created, j.id)
}

/// A job of a team with a limit, in its turn, and how many of its tasks may run.
struct Waiting {
    id: JobId,
    team: u8,
    asking: AdmissionRequest,
    admitted: Admitted,
}

/// Teams with a limit, by their place in the settings.
fn limited(ctx: &Context) -> Vec<(u8, QuotaAmount)> {
    let teams = ctx.config.teams.iter().enumerate();
    teams.filter_map(|(i, t)| Some((i as u8, quota::limit(t)?))).collect()
}

impl Coordinator {
    /// What the tasks that are or may be on machines take of the teams' limits, by priority; what is
    /// being decided counts.
    fn team_usage(&self, ctx: &Context) -> BTreeMap<u8, ByPriority> {
        let mut used: BTreeMap<u8, ByPriority> = BTreeMap::new();
        // Each decision asks: without limits, all placements need not be gone through.
        if limited(ctx).is_empty() {
            return used;
        }
        let mut count = |priority: Priority, (team, cpu, gpu): (u8, u64, u64)| {
            let sum = &mut used.entry(team).or_default()[priority as usize];
            *sum = sum.plus(QuotaAmount { cpu, gpu });
        };
        for j in self.jobs.values() {
            for take in j.placed.values().filter_map(|p| p.team) {
                count(j.wire.priority, take);
            }
        }
        for c in self.writing.iter().flat_map(|w| &w.choices) {
            if let Some(j) = self.jobs.get(&c.job) {
                if let Some(take) = ctx.team_use(j) {
                    count(j.wire.priority, take);
                }
            }
        }
        used
    }

    /// How each team with a limit stands here, whose shard's owner of now has told since the last
    /// report.
    pub(super) fn standings(&self, ctx: &Context) -> BTreeMap<u8, QuotaStatus> {
        let mut used = self.team_usage(ctx);
        let shards = ctx.shards().count();
        let teams = limited(ctx).into_iter().filter_map(|(team, _)| {
            let epoch = ctx.owner(shard_of_team(team, shards)).map(|o| o.epoch);
            let grant = self
                .grants
                .get(&team)
                .filter(|g| Some(g.0) == epoch || !holds(Guard::GrantEpoch))?
                .1;
            let used = used.remove(&team).unwrap_or_default();
            Some((team, QuotaStatus { may: grant.may, due: grant.due, used }))
        });
        teams.collect()
    }

    /// The pending jobs of teams with a limit, in their turn, each with what may run of it.
    fn walk(&self, ctx: &Context) -> Vec<Waiting> {
        let limits: BTreeMap<u8, QuotaAmount> = limited(ctx).into_iter().collect();
        if limits.is_empty() {
            return Vec::new();
        }
        let now = ctx.now;
        let jobs = self.pending.iter().filter_map(|id| self.jobs.get(id));
        let open =
            jobs.filter(|j| !j.cancelled && j.termination.status.is_none() && j.pending() > 0);
        let mut waiting: Vec<(Turn, &Job, (u8, u64, u64))> = open
            .filter(|j| j.may_start())
            .filter_map(|j| Some((turn(j, now), j, ctx.team_use(j)?)))
            .collect();
        waiting.sort_unstable_by_key(|w| w.0);
        let standings = self.standings(ctx);
        let mut teams: BTreeMap<u8, Admission> = BTreeMap::new();
        let mut kept = BTreeSet::new();
        let mut seen = Vec::new();
        for (_, j, (team, cpu, gpu)) in waiting {
            let whole = j.wire.kind == Kind::Gang;
            let task = QuotaAmount { cpu, gpu };
            let count = if j.failure_suspicion.is_suspected() { 1 } else { j.pending() };
            let need = task.times(if whole { count } else { 1 });
            if !limits.get(&team).is_some_and(|limit| need.within(*limit)) {
                continue;
            }
            let standing = || standings.get(&team).copied().unwrap_or_default();
            let admission = teams.entry(team).or_insert_with(|| Admission::new(standing()));
            let vain = j.demand_unmet_ms(now).filter(|ms| *ms > STUCK_MS);
            let coming = j.preempting_at.is_some_and(|at| now < at + COMES_MS);
            let spell = if coming { COMING_MS } else { TRIES_MS };
            let mut keeps =
                |ms: u64| ms % spell.0 < spell.1 && kept.insert((team, j.wire.priority));
            let first = self.firsts.get(&(team, j.wire.priority)).filter(|f| f.0 == j.id);
            let rests = first.is_some_and(|f| (now - f.1) % FIRST_MS.0 >= FIRST_MS.1);
            let unplaceable = j.failure_suspicion.is_suspected()
                || rests
                || (vain.is_some_and(|ms| !keeps(ms)) && !self.has_way(j.id, now));
            let asking =
                AdmissionRequest { priority: j.wire.priority, task, count, whole, unplaceable };
            let admitted = admission.admit(&asking);
            seen.push(Waiting { id: j.id, team, asking, admitted });
        }
        seen
    }

    /// What may run of the pending jobs whose teams have limits; all others may.
    pub(super) fn admitted(&self, ctx: &Context) -> HashMap<JobId, Admitted> {
        self.walk(ctx).into_iter().map(|w| (w.id, w.admitted)).collect()
    }

    /// Tells the teams' shards what is used and wanted.
    pub fn report_teams(&mut self, ctx: &mut Context) {
        // A report gives the grants back for a moment: not while offers are out, if that ends soon.
        let due = self.team_at + if self.talk.is_some() { TELL_MS } else { 0 };
        if !self.ready() || ctx.now < due {
            return;
        }
        let mut m: BTreeMap<u8, TeamUsage> =
            limited(ctx).into_iter().map(|(team, _)| (team, TeamUsage::of(team))).collect();
        if m.is_empty() {
            return;
        }
        self.team_at = ctx.now + TELL_MS;
        for (team, used) in self.team_usage(ctx) {
            if let Some(u) = m.get_mut(&team) {
                u.used = used;
            }
        }
        let walk = self.walk(ctx);
        let mut firsts = BTreeMap::new();
        for w in &walk {
            let key = (w.team, w.asking.priority);
            let since = self.firsts.get(&key).filter(|f| f.0 == w.id).map_or(ctx.now, |f| f.1);
            firsts.entry(key).or_insert((w.id, since));
        }
        self.firsts = firsts;
        self.capped = walk.iter().filter(|w| w.admitted.in_turn == 0).count();
        for w in walk {
            let (Some(u), a) = (m.get_mut(&w.team), w.asking) else { continue };
            let wants = if a.unplaceable { &mut u.unplaceable } else { &mut u.wanted };
            let wants = &mut wants[a.priority as usize];
            *wants = wants.plus(a.task.times(a.count));
            let first = &mut u.first[a.priority as usize];
            if first.is_none() && !a.unplaceable {
                let waited = self.jobs.get(&w.id).map_or(0, |j| ctx.now.saturating_sub(j.created));
                let need = a.task.times(if a.whole { a.count } else { 1 });
                *first = Some(FirstInQueue { need, waited_ms: waited });
            }
        }
        self.team_serial += 1;
        self.grants.clear();
        let usage: Vec<TeamUsage> = m.into_values().collect();
        for s in ctx.shards() {
            let msg = ShardMessage::TeamUsage { serial: self.team_serial, usage: usage.clone() };
            ctx.send(self.shard, s, msg);
        }
    }

    /// For the operators' log, if there are teams with limits: how many jobs wait for one, how many
    /// tasks were stopped for others of their team, and by team what its tasks take here and may.
    pub fn limit_figures(&mut self, ctx: &Context) -> Option<String> {
        if limited(ctx).is_empty() {
            return None;
        }
        let gave_way = std::mem::take(&mut self.gave_way);
        let mut words =
            vec![format!("shard={} capped={} gave_way={gave_way}", self.shard.0, self.capped)];
        for (team, s) in self.standings(ctx) {
            let name = &ctx.config.teams[team as usize].name;
            let (used, may) = (s.in_use(), s.may);
            let cores = |n: u64| n as f64 / 1000.0;
            words.push(format!(
                "team.{name}={:.1}/{:.1} gpus={:.1}/{:.1}",
                cores(used.cpu),
                cores(may.cpu),
                cores(used.gpu),
                cores(may.gpu)
            ));
        }
        Some(words.join(" "))
    }

    fn has_way(&self, job: JobId, now: Timestamp) -> bool {
        self.ways.get(&job).is_some_and(|at| now < at + WAY_MS)
    }

    /// Machines have room for the job, its team's limit has not: stops lesser work of the same team,
    /// the cheapest, if that lets it in. What was stopped comes after it in turn, so it is not
    /// started again before the job has begun, or `WAY_MS` are over.
    pub(super) fn make_way(
        &mut self,
        ctx: &Context,
        id: JobId,
        tasks: u32,
        standing: &QuotaStatus,
    ) {
        let now = ctx.now;
        self.ways.retain(|_, at| now < *at + 2 * WAY_MS);
        let Some(j) = self.jobs.get(&id).filter(|_| !self.ways.contains_key(&id)) else { return };
        let Some((team, cpu, gpu)) = ctx.team_use(j) else { return };
        let (priority, whole) = (j.wire.priority, j.wire.kind == Kind::Gang);
        let wanted = if whole { tasks } else { tasks.min(WAY_TASKS) };
        let free = standing.free();
        let mut free = Resources { cpu: free.cpu, gpu: free.gpu, mem: 0 };
        let mut lesser: Vec<Candidate<(JobId, Option<u32>)>> = Vec::new();
        // Replicas stay: what they are worth is not lost work, and users notice at once. (The seeded
        // runs of recovery did: a fifth of the replicas was down for the sake of others.)
        let theirs = |o: &&Job| {
            o.wire.kind != Kind::Service
                && o.wire.priority < priority
                && ctx.team_use(o).is_some_and(|t| t.0 == team)
        };
        for o in self.jobs.values().filter(theirs) {
            let mut gang = Candidate {
                key: (o.id, None),
                priority: o.wire.priority,
                need: Resources::default(),
                loss: 0,
            };
            for (task, p) in o.placed.iter() {
                let Some((_, cpu, gpu)) = p.team else { continue };
                let need = Resources { cpu, gpu, mem: 0 };
                if p.stop.is_some() || o.cancelled {
                    free.add(need, 1);
                    continue;
                }
                let ran = now.saturating_sub(p.placed_at) / 1000;
                let lost =
                    if o.wire.checkpoint_s > 0.0 { ran.min(o.wire.save_s as u64 + 1) } else { ran };
                let loss = lost * (cpu + 20 * gpu);
                if o.wire.kind == Kind::Gang {
                    gang.need.add(need, 1);
                    gang.loss += loss;
                } else {
                    let key = (o.id, Some(task));
                    lesser.push(Candidate { key, priority: o.wire.priority, need, loss });
                }
            }
            if gang.need != Resources::default() {
                lesser.push(gang);
            }
        }
        let need = |n: u32| Resources { cpu: cpu * u64::from(n), gpu: gpu * u64::from(n), mem: 0 };
        let fewer = if whole { wanted } else { 1 };
        let chosen = [wanted, fewer]
            .into_iter()
            .find_map(|n| victims(free, need(n), priority, lesser.clone()));
        let Some((keys, _)) = chosen else { return };
        self.ways.insert(id, now);
        for (of, task) in keys {
            let Some(o) = self.jobs.get_mut(&of) else { continue };
            let grace = if o.wire.checkpoint_s > 0.0 { o.wire.save_s + 2.0 } else { 0.0 };
            let before = o.placed.stopping();
            match task {
                Some(t) => o.placed.stop(t, grace),
                None => o.placed.stop_rest(grace),
            }
            self.gave_way += (o.placed.stopping() - before) as u64;
            self.unsettled.insert(of);
        }
        self.next_resend = now;
    }
}
