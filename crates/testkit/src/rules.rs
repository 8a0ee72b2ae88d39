//! The rules of the protocol, checked after each step.
use crate::served::Served;
use crate::worker::{Done, Worker};
use leaddeal_wire::settings::Team;
use leaddeal_wire::user::{Job, JobState, Kind, Status};
use leaddeal_wire::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};

/// A job about which no question is answered for so long counts as forgotten.
const FORGOTTEN_MS: u64 = 75_000;

#[derive(Default)]
pub struct Rules {
    pub jobs: BTreeMap<String, Job>,
    pub accepted: BTreeSet<String>,
    pub cancel_asked: BTreeSet<String>,
    /// Final states that users were told, and when.
    pub told: BTreeMap<String, (Status, u64)>,
    on: BTreeSet<(String, String, u64)>,
    pub starts: usize,
    /// When each job's user last got an answer.
    answered: BTreeMap<String, u64>,
    /// All troubles are over since then.
    pub calm_since: Option<u64>,
    pub served: Served,
    pub teams: Vec<Team>,
    cancel_ms: u64,
}

impl Rules {
    pub fn new(teams: Vec<Team>, cancel_ms: u64) -> Rules {
        Rules { teams, cancel_ms, ..Rules::default() }
    }

    /// Looks at all machines; `done` holds the tasks that completed.
    pub fn check(&mut self, now: u64, workers: &BTreeMap<String, Worker>) -> Result<(), String> {
        let mut on: BTreeSet<(String, String, u64)> = BTreeSet::new();
        let mut places: BTreeMap<&str, Vec<(&str, &Worker)>> = BTreeMap::new();
        let mut team: BTreeMap<&str, f64> = BTreeMap::new();
        // A machine that hangs beyond its lease runs nothing and kills all when it wakes up.
        for w in workers.values().filter(|w| !w.gone && now <= w.granted + w.lease_ms) {
            for ((task, attempt), t) in &w.tasks {
                if matches!(t.state, TaskState::Exited | TaskState::Fetching) {
                    continue;
                }
                on.insert((task.clone(), w.name.clone(), *attempt));
                let job = task.split('/').next().unwrap_or_default();
                places.entry(job).or_default().push((task, w));
                if let Some(j) = self.jobs.get(job) {
                    *team.entry(&j.team).or_default() += j.cpus;
                }
                if let Some((Status::Cancelled, at)) = self.told.get(job) {
                    if now > at + self.cancel_ms {
                        return Err(format!("ran_cancelled: {task} on {}", w.name));
                    }
                }
            }
        }
        for t in &self.teams {
            let used = team.get(t.name.as_str()).copied().unwrap_or(0.0);
            if t.cpus_max > 0.0 && used > t.cpus_max + 1e-9 {
                let who: Vec<_> = on
                    .iter()
                    .filter(|o| {
                        self.jobs
                            .get(o.0.split('/').next().unwrap_or(""))
                            .is_some_and(|j| j.team == t.name)
                    })
                    .collect();
                return Err(format!("quota: {} uses {used} of {}: {who:?}", t.name, t.cpus_max));
            }
        }
        for (task, name, attempt) in &on {
            let key = (task.clone(), name.clone(), *attempt);
            if self.on.contains(&key) {
                continue;
            }
            self.starts += 1;
            self.served.starts(task, now);
            if let Some(other) = on.iter().find(|o| o.0 == *task && o.1 != *name) {
                return Err(format!("ran_twice: {task} starts on {name} while on {}", other.1));
            }
            let id = task.split('/').next().unwrap_or_default();
            let (Some(j), Some(w)) = (self.jobs.get(id), workers.get(name)) else {
                return Err(format!("wrong_place: unknown {task}"));
            };
            let type_ok = j.types.as_ref().is_none_or(|t| t.contains(&w.type_name));
            let zone_ok = j.zone.as_ref().is_none_or(|z| *z == w.zone);
            if !type_ok || !zone_ok || (w.spot && !j.spot) {
                return Err(format!("wrong_place: {task} on {} in {}", w.type_name, w.zone));
            }
            let at = &places[id];
            if j.one_zone && at.iter().any(|(_, o)| o.zone != w.zone) {
                return Err(format!("wrong_place: {task} is not with the others"));
            }
            let here = at.iter().filter(|(_, o)| o.zone == w.zone).count();
            if j.spread && here > (j.tasks as usize).div_ceil(2) {
                return Err(format!("wrong_place: {here} of {} of {id} in {}", j.tasks, w.zone));
            }
        }
        self.on = on;
        Ok(())
    }

    /// No job is forgotten: once all troubles are over, its user gets an answer again and again,
    /// however others fare.
    pub fn known(&self, now: u64) -> Result<(), String> {
        let Some(calm) = self.calm_since else { return Ok(()) };
        for id in self.accepted.iter().filter(|id| !self.cancel_asked.contains(*id)) {
            let last = self.answered.get(id).copied().unwrap_or(0).max(calm);
            if now > last + FORGOTTEN_MS {
                return Err(format!("forgotten: nothing is said of {id} since {last}"));
            }
        }
        Ok(())
    }

    /// An answer to a user's question.
    pub fn answer(
        &mut self,
        now: u64,
        id: &str,
        status: u16,
        state: Option<&JobState>,
        done: &Done,
    ) -> Result<(), String> {
        if status == 404 && self.accepted.contains(id) {
            return Err(format!("forgotten: {id}"));
        }
        if matches!(status, 400 | 422) && self.accepted.contains(id) {
            return Err(format!("forgotten: {id} refused as {status}"));
        }
        let Some(s) = state else { return Ok(()) };
        self.answered.insert(id.into(), now);
        let Some(j) = self.jobs.get(id) else { return Err(format!("invented: {id}")) };
        if let Some((was, _)) = self.told.get(id) {
            if *was != s.status {
                return Err(format!("went_back: {id} from {was:?} to {:?}", s.status));
            }
        }
        match s.status {
            Status::Done => {
                let all = (0..j.tasks).all(|t| done.contains(&format!("{id}/{t}")));
                if !all || j.kind == Kind::Service {
                    return Err(format!("not_done: {id}"));
                }
                self.told.entry(id.into()).or_insert((Status::Done, now));
            }
            Status::Cancelled => {
                if !self.cancel_asked.contains(id) {
                    return Err(format!("went_back: {id} cancelled by nobody"));
                }
                self.told.entry(id.into()).or_insert((Status::Cancelled, now));
            }
            Status::Queued | Status::Running => {}
        }
        self.accepted.insert(id.into());
        Ok(())
    }
}
