//! The jobs of a shard: what is done, placed and still to be placed.
use crate::guards::{holds, Guard};
use crate::ids::{Attempt, JobId, MachineIdx, Timestamp, ZoneIdx};
use crate::names::Shape;
use crate::placed::Placed;
use crate::stored::TerminalState;
use crate::task_set::{TaskSet, TASKS_PER_CHUNK};
use crate::writes::PendingWrite;
use leaddeal_wire::mesh;
use leaddeal_wire::settings::Objective;
use leaddeal_wire::user::{self, JobState, Kind, Status};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// A service asked for in vain for so long may stand in the way of GPU work.
const LONG_REFUSED_MS: u64 = 9000;

/// A job that has waited for so long without any start comes first among its like.
const BEGINS_MS: u64 = 110_000;
/// A job that fails on so many machines and runs well on none is at fault itself.
const FAILS_ITSELF: usize = 3;
/// After a failure that says nothing of the job.
const FAILED_AGAIN_MS: u64 = 200;
/// Before the second try of a job in doubt, doubled for each further one, and at most.
const RARELY_MS: u64 = 1000;
const RAREST_MS: u64 = 60_000;

/// A task's completion: task, attempt, machine, round.
pub type CompletedAttempt = (u32, Attempt, MachineIdx, u64);

#[derive(Debug)]
pub struct Job {
    pub id: JobId,
    pub wire: user::Job,
    pub shape: Shape,
    pub created: Timestamp,
    /// When a task of it was first known to run, by this owner of its shard.
    pub begun: Option<Timestamp>,
    pub done: TaskSet,
    next_fresh: u32,
    again: BTreeSet<u32>,
    pub placed: Placed,
    /// Latest starts that meet its aims, in milliseconds from the submission, in order.
    starts: Vec<f64>,
    /// Not asked for before this time.
    pub not_before: Timestamp,
    pub failed_tries: u32,
    /// Since when it has been asked for in vain.
    refused_since: Option<Timestamp>,
    /// When it is asked for again though no participant has told of free room.
    next_try: Timestamp,
    /// Whose turn it is to make room by preemption; none: nobody was short of it.
    pub preempt: Option<u32>,
    /// When a participant last said that it makes room for it.
    pub preempting_at: Option<Timestamp>,
    /// A gang that waits does so for this zone.
    pub target_zone: Option<ZoneIdx>,
    /// Failures since anything of it last ran well.
    pub failure_suspicion: FailureSuspicion,
    /// Durable and told: no task of it may start any more.
    pub cancelled: bool,
    pub dirty_chunks: BTreeSet<u32>,
    /// Since when something is done that is not in the store.
    pub uncompacted_since: Option<Timestamp>,
    /// Chunks of what is done that are in the store, or may be, with their versions as far as they
    /// were told; 0: perhaps not there.
    pub stored: BTreeMap<u32, u64>,
    /// Done events to be acknowledged once they are durable.
    pub uncompacted: Vec<CompletedAttempt>,
    /// Being written as final.
    pub terminating: Option<Status>,
    pub terminal_write: Option<PendingWrite>,
    pub cancel_requests: Vec<u64>,
}

/// Whether a job fails by itself, wherever it is tried.
///
/// One failure, or many on the same machine, say nothing of the job: it is tried elsewhere at once.
/// Once it has failed on several machines and run well on none, it is tried ever more rarely, and in
/// one place at a time, until it runs well or its user cancels it. (Of one job in 25 each start
/// fails: tried at once on all machines, an array of hundreds takes fetches, starts and changes from
/// the others for as long as its user waits.)
#[derive(Clone, Debug, Default)]
pub struct FailureSuspicion {
    failed_on: BTreeSet<MachineIdx>,
    tries: u32,
}

impl FailureSuspicion {
    /// A task failed on this machine; returns how long to wait before the next try, given when the
    /// last wait ends. What was started together fails together, and counts as one try.
    pub fn failed(&mut self, m: MachineIdx, now: Timestamp, not_before: Timestamp) -> Timestamp {
        if self.failed_on.len() < FAILS_ITSELF {
            self.failed_on.insert(m);
        }
        if !self.is_suspected() {
            return now + FAILED_AGAIN_MS;
        }
        if now >= not_before {
            self.tries += 1;
        }
        not_before.max(now + (RARELY_MS << self.tries.min(8)).min(RAREST_MS))
    }

    pub fn ran_well(&mut self) {
        *self = FailureSuspicion::default();
    }

    /// It fails wherever it is tried, as far as is known.
    pub fn is_suspected(&self) -> bool {
        self.failed_on.len() >= FAILS_ITSELF
    }
}

/// What users see of a job that is over.
pub fn job_state(id: JobId, terminal: TerminalState) -> JobState {
    JobState { id: user::job_id(id.0), status: terminal.status, done: terminal.done, running: 0 }
}

/// What the users ask for, by class: limits in milliseconds from the submission.
#[derive(Clone, Debug, Default)]
pub struct Objectives {
    /// Placing one task after another of the same job takes so long each.
    task_ms: f64,
    by_class: HashMap<String, ClassObjectives>,
}

#[derive(Clone, Debug, Default)]
struct ClassObjectives {
    start: Vec<f64>,
    finish: Vec<f64>,
    /// Multiples of the job's own deadline.
    deadline: Vec<f64>,
}

impl Objectives {
    pub fn new(objectives: &[Objective], task_ms: f64) -> Objectives {
        let mut a = Objectives { task_ms, ..Objectives::default() };
        for o in objectives {
            let c = a.by_class.entry(o.class.clone()).or_default();
            match (o.kind.as_str(), o.within_s) {
                ("wait", Some(w)) => c.start.push(w * 1000.0),
                ("finished", Some(w)) => c.finish.push(w * 1000.0),
                ("deadline", _) => c.deadline.push(o.times.unwrap_or(1.0)),
                _ => {}
            }
        }
        a
    }
}

impl Objectives {
    /// The latest starts that meet what is asked of a job, in milliseconds from its submission.
    fn starts(&self, wire: &user::Job) -> Vec<f64> {
        let none = ClassObjectives::default();
        let a = self.by_class.get(&wire.class).unwrap_or(&none);
        let run = wire.estimate_s * 1200.0;
        let mut starts: Vec<f64> = a.start.clone();
        starts.extend(a.finish.iter().map(|f| f - run));
        if let Some(d) = wire.deadline_s {
            let d = d * 1000.0;
            if a.deadline.is_empty() {
                starts.push(d - run);
            }
            starts.extend(a.deadline.iter().map(|t| d * t - run));
        }
        // The last of its tasks is to start by then, so a large job is due earlier. (Found on the
        // operators' sites: an array of 25,000 tasks was due as late as one of ten, and when its
        // turn came there was not time enough to place them.)
        let spread = self.task_ms * f64::from(wire.tasks);
        starts.iter_mut().for_each(|s| *s -= spread);
        starts.sort_by(f64::total_cmp);
        starts
    }
}

pub fn wire_shape(j: &user::Job) -> mesh::Shape {
    let up = |v: f64| (v * 1000.0 - 1e-6).ceil().max(0.0) as u64;
    mesh::Shape {
        kind: j.kind,
        priority: j.priority,
        cpu: up(j.cpus),
        gpu: up(j.gpus),
        mem: up(j.memory_gb),
        types: j.types.clone(),
        spot: j.spot,
        image: j.image.clone(),
        image_gb: j.image_gb,
        save_s: j.save_s,
        checkpoint_s: j.checkpoint_s,
        estimate_s: j.estimate_s,
    }
}

impl Job {
    pub fn new(
        id: JobId,
        wire: user::Job,
        shape: Shape,
        created: Timestamp,
        aims: &Objectives,
    ) -> Job {
        Job {
            id,
            shape,
            created,
            begun: None,
            done: TaskSet::default(),
            next_fresh: 0,
            again: BTreeSet::new(),
            placed: Placed::default(),
            starts: aims.starts(&wire),
            wire,
            not_before: 0,
            failed_tries: 0,
            refused_since: None,
            next_try: 0,
            preempt: None,
            preempting_at: None,
            target_zone: None,
            failure_suspicion: FailureSuspicion::default(),
            cancelled: false,
            dirty_chunks: BTreeSet::new(),
            uncompacted_since: None,
            stored: BTreeMap::new(),
            uncompacted: Vec::new(),
            terminating: None,
            terminal_write: None,
            cancel_requests: Vec::new(),
        }
    }

    /// Stands for a job that is over while tasks of it may still be on machines.
    pub fn leftover(id: JobId, names: &mut crate::names::Names) -> Job {
        let wire = user::Job {
            id: user::job_id(id.0),
            class: String::new(),
            team: String::new(),
            kind: Kind::Array,
            priority: user::Priority::Low,
            tasks: 100_000,
            cpus: 0.0,
            gpus: 0.0,
            memory_gb: 0.0,
            image: String::new(),
            image_gb: 0.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: 0.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        };
        let shape = names.shape(&Arc::new(wire_shape(&wire)));
        let mut j = Job::new(id, wire, shape, 0, &Objectives::default());
        j.cancelled = true;
        j
    }

    /// Which of its aims come next: how many were missed already, and the latest start that
    /// meets the next one. What is late makes way for what can still be in time.
    pub fn urgency(&self, now: Timestamp) -> (u8, Timestamp) {
        let age = now.saturating_sub(self.created) as f64;
        let missed = self.starts.partition_point(|&s| s < age);
        let next = self.starts.get(missed).copied().unwrap_or(600_000.0);
        (missed as u8, self.created + next.max(0.0) as u64)
    }

    /// Its turn among jobs of the same priority. Whatever its aims, and however many others have
    /// nearer ones, a job that has waited for so long without a single start comes first: the
    /// operators' largest and idle-time jobs have to begin within four minutes. (Found on their
    /// sites: arrays without an aim began after 500 to 590 s, behind a stream of small ones.)
    pub fn turn(&self, now: Timestamp) -> (u8, Timestamp) {
        let due = self.created + BEGINS_MS;
        if self.begun.is_none() && now >= due {
            return (0, due);
        }
        self.urgency(now)
    }

    /// More than a third of the time to its next aim is over.
    pub fn urgent(&self, now: Timestamp) -> bool {
        let (_, due) = self.urgency(now);
        now.saturating_sub(self.created) > due.saturating_sub(self.created) / 3
    }

    /// Several tasks of it need room in the same zone.
    fn one_place(&self) -> bool {
        self.wire.one_zone && self.pending() > 1
    }

    /// A service that is late and finds no place may use any: people notice it sooner than GPU
    /// work that waits, and it is moved out of the way later.
    pub fn may_use_gpu_machines(&self, now: Timestamp) -> bool {
        let late = self.urgency(now).0 > 0;
        let long = self.refused_since.is_some_and(|t| now >= t + LONG_REFUSED_MS);
        self.wire.kind == Kind::Service && late && long
    }

    /// Asked for in vain. Participants tell when room becomes free, so the next try by itself may wait;
    /// soon at first, since room is made by one participant after the other. Tries fall on common
    /// moments, so that one round serves many jobs. True if this was a try by itself.
    pub fn refused(&mut self, now: Timestamp) -> bool {
        self.refused_since.get_or_insert(now);
        let tried = now >= self.next_try;
        if tried {
            self.failed_tries += 1;
            let step = match self.failed_tries {
                _ if self.wire.priority == user::Priority::Low => 1800,
                0..4 => 150,
                4..10 => 300,
                _ => 1200,
            };
            self.next_try = (now / step + 1) * step;
        }
        self.not_before = self.next_try;
        tried
    }

    /// Gangs start whole, and what is in doubt in one place at a time.
    pub fn may_start(&self) -> bool {
        self.placed.is_empty()
            || (self.wire.kind != Kind::Gang && !self.failure_suspicion.is_suspected())
    }

    /// For how long it has been asked for in vain.
    pub fn refused_for(&self, now: Timestamp) -> Option<u64> {
        self.refused_since.map(|t| now.saturating_sub(t))
    }

    pub fn served(&mut self) {
        self.failed_tries = 0;
        self.refused_since = None;
        self.next_try = 0;
    }

    /// A participant has got free room.
    pub fn room_somewhere(&mut self, now: Timestamp) {
        if self.refused_since.is_some() && self.not_before == self.next_try {
            self.not_before = self.not_before.min(now);
        }
    }

    /// A gang's place among those that wait.
    pub fn line(&self, now: Timestamp) -> Option<mesh::QueuePosition> {
        let (late, due) = self.urgency(now);
        (self.wire.kind == Kind::Gang).then(|| mesh::QueuePosition {
            late,
            // Below zero once it is over: cut off there, all that were late by so much took
            // themselves for later than whoever had asked before them, and none was ever first.
            time_left_ms: due as i64 - now as i64,
            holds_position: self.failed_tries > 0 && self.target_zone.is_some(),
            zone: self.target_zone.map(|z| z.0),
        })
    }

    /// Chooses the zone that a gang waits for, from how much each had for it. It stays where it
    /// has got something, so that what is kept for it there is not kept in vain.
    pub fn aim_at(&mut self, had: &[u32], room: &[u32]) {
        if !self.one_place() {
            self.target_zone = None;
            return;
        }
        let at = |z: usize| had[z].min(room[z]);
        let here = self.target_zone.map(|z| z.0 as usize).filter(|&z| z < had.len() && room[z] > 0);
        if here.is_some_and(|z| at(z) > 0) {
            return;
        }
        let best = (0..had.len()).max_by_key(|&z| at(z)).filter(|&z| at(z) > 0);
        let open: Vec<usize> = (0..room.len()).filter(|&z| room[z] > 0).collect();
        let next = match (best, here) {
            (Some(z), _) => Some(z),
            // Nothing anywhere: in turn, but not at every refusal.
            (None, Some(z)) if !self.failed_tries.is_multiple_of(16) => Some(z),
            _ if open.is_empty() => None,
            _ => Some(open[(self.id.0 as usize + self.failed_tries as usize / 16) % open.len()]),
        };
        self.target_zone = next.map(|z| ZoneIdx(z as u8));
    }

    pub fn pending(&self) -> u32 {
        self.wire.tasks - self.done.len() - self.placed.len()
    }

    /// Takes the next task to be placed.
    pub fn take(&mut self) -> Option<u32> {
        if let Some(t) = self.again.pop_first() {
            return Some(t);
        }
        while self.next_fresh < self.wire.tasks {
            let t = self.next_fresh;
            self.next_fresh += 1;
            if !self.done.contains(t) && self.placed.get(t).is_none() {
                return Some(t);
            }
        }
        None
    }

    /// Puts a task back that was taken or has lost its place.
    pub fn give_back(&mut self, task: u32) {
        if task < self.next_fresh && !self.done.contains(task) {
            self.again.insert(task);
        }
    }

    pub fn set_done(&mut self, task: u32, now: Timestamp) {
        if task < self.wire.tasks && self.done.insert(task) {
            self.uncompacted_since.get_or_insert(now);
            self.again.remove(&task);
            self.dirty_chunks.insert(task / TASKS_PER_CHUNK);
        }
    }

    pub fn complete(&self) -> bool {
        let all = self.done.len() == self.wire.tasks;
        self.wire.kind != Kind::Service && (all || !self.done.is_empty() && !holds(Guard::AllDone))
    }

    pub fn state(&self) -> JobState {
        let running = self.placed.running();
        let status = match (self.cancelled, running) {
            (true, _) => Status::Cancelled,
            (false, 0) => Status::Queued,
            (false, _) => Status::Running,
        };
        JobState { id: user::job_id(self.id.0), status, done: self.done.len(), running }
    }

    /// How many more tasks each zone may take, given those that may still be in one.
    pub fn zone_room(&self, zones: &[String]) -> Vec<u32> {
        let n = self.wire.tasks;
        let used = (0..zones.len()).filter(|&i| self.placed.in_zone(i) > 0).count();
        zones
            .iter()
            .enumerate()
            .map(|(i, z)| {
                let u = if holds(Guard::ZoneCounted) { self.placed.in_zone(i) } else { 0 };
                if self.wire.zone.as_ref().is_some_and(|w| w != z) {
                    return 0;
                }
                // After a takeover a task may be counted where an older attempt of it was, in another
                // zone than the rest; until that one is proven gone, no zone is the job's. (Found
                // by the simulator: both zones were given more tasks.)
                if self.wire.one_zone && (used > 1 && holds(Guard::OneZone) || used == 1 && u == 0)
                {
                    return 0;
                }
                if self.wire.spread {
                    return n.div_ceil(2).saturating_sub(u);
                }
                n
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
