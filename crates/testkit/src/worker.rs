//! A stand-in for a machine's worker.
use leaddeal_wire::user::{Job, Kind};
use leaddeal_wire::worker::{
    Command, CommandKind, ExitReason, TaskId, TaskReport, TaskState, WorkerHeartbeat,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Tasks that completed, when the last one of each job did, and which jobs can't.
#[derive(Debug, Default)]
pub struct Done {
    /// Jobs that were submitted with a mistake: they fail on every machine.
    pub mistaken: BTreeSet<String>,
    tasks: BTreeSet<String>,
    last: HashMap<String, u64>,
    /// Jobs of the tasks that completed since this was last taken.
    fresh: Vec<String>,
}

impl Done {
    pub fn contains(&self, task: &str) -> bool {
        self.tasks.contains(task)
    }

    pub fn insert(&mut self, task: &str, now: u64) {
        if self.tasks.insert(task.to_string()) {
            let job = task.split('/').next().unwrap_or_default();
            self.last.insert(job.to_string(), now);
            self.fresh.push(job.to_string());
        }
    }

    pub fn take_fresh(&mut self) -> Vec<String> {
        std::mem::take(&mut self.fresh)
    }

    pub fn all_of(&self, job: &Job) -> bool {
        (0..job.tasks).all(|t| self.contains(&format!("{}/{t}", job.id)))
    }

    pub fn last(&self, job: &str) -> Option<u64> {
        self.last.get(job).copied()
    }
}

#[derive(Clone, Debug)]
pub struct On {
    pub state: TaskState,
    pub why: Option<ExitReason>,
    pub saved: bool,
    /// When the present state ends by itself.
    pub until: u64,
    /// Of a gang of several tasks, which run together (`gangs.rs`).
    pub gang: bool,
}

/// A task of a gang waits for the others for so long.
pub const GANG_WAIT_MS: u64 = 40_000;

pub struct Worker {
    pub name: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub incarnation: u64,
    pub seq: u64,
    pub token: u64,
    pub tasks: BTreeMap<(String, u64), On>,
    images: BTreeSet<String>,
    /// Results kept of completed tasks are with the users' storage; the simulator holds them.
    pub granted: u64,
    pub hang_until: u64,
    /// Neither answers nor commands reach it until then.
    pub deaf_until: u64,
    /// Its reports reach no controller until then.
    pub mute_until: u64,
    /// Whatever starts until then fails.
    pub faulty_until: u64,
    /// It never does as it is told to stop.
    pub unstoppable: bool,
    pub node: usize,
    pub in_flight: Option<u64>,
    pub next_report: u64,
    pub changed: bool,
    pub gone: bool,
    pub lease_ms: u64,
}

impl Worker {
    pub fn new(
        name: &str,
        type_name: &str,
        zone: &str,
        spot: bool,
        now: u64,
        lease: u64,
    ) -> Worker {
        Worker {
            name: name.into(),
            type_name: type_name.into(),
            zone: zone.into(),
            spot,
            cpus: 4.0,
            gpus: 0.0,
            memory_gb: 16.0,
            incarnation: 1,
            seq: 0,
            token: 0,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            granted: now,
            hang_until: 0,
            deaf_until: 0,
            mute_until: 0,
            faulty_until: 0,
            unstoppable: false,
            node: 0,
            in_flight: None,
            next_report: now,
            changed: true,
            gone: false,
            lease_ms: lease,
        }
    }

    /// The machine lost power for a moment: a new worker without tasks. It counts its sessions on, or
    /// commands of before would match them; the token it may have forgotten.
    pub fn restart(&mut self, now: u64, remembers: bool) {
        self.tasks.clear();
        self.images.clear();
        (self.incarnation, self.seq) = (self.incarnation + 1, 0);
        self.token = if remembers { self.token } else { 0 };
        (self.granted, self.next_report, self.in_flight) = (now, now, None);
        (self.hang_until, self.changed) = (0, true);
    }

    pub fn report(&mut self) -> WorkerHeartbeat {
        self.seq += 1;
        WorkerHeartbeat {
            machine: self.name.clone(),
            addr: format!("10.9.0.1:{}", self.name.len()),
            type_name: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), t)| TaskReport {
                    task: TaskId::parse(task),
                    attempt: *attempt,
                    state: t.state,
                    why: t.why,
                    saved: (t.state == TaskState::Exited).then_some(t.saved),
                })
                .collect(),
        }
    }

    /// Time passes: the lease, fetches and runs end.
    pub fn advance(&mut self, now: u64, done: &mut Done, jobs: &BTreeMap<String, Job>) {
        if now < self.hang_until || self.gone {
            return;
        }
        if now > self.granted + self.lease_ms {
            self.tasks.clear();
            self.incarnation += 1;
            self.granted = now;
            self.changed = true;
        }
        for ((task, _), t) in &mut self.tasks {
            if now < t.until {
                continue;
            }
            let job = task.split('/').next().and_then(|j| jobs.get(j));
            match t.state {
                TaskState::Fetching => {
                    if let Some(j) = job {
                        self.images.insert(j.image.clone());
                        if done.mistaken.contains(&j.id) || now < self.faulty_until {
                            (t.state, t.why) = (TaskState::Exited, Some(ExitReason::Error));
                        } else if done.contains(task) {
                            (t.state, t.why) = (TaskState::Exited, Some(ExitReason::Done));
                        } else if t.gang {
                            (t.state, t.until) = (TaskState::Waiting, now + GANG_WAIT_MS);
                        } else {
                            t.state = TaskState::Running;
                            t.until = match j.kind {
                                Kind::Service => u64::MAX,
                                _ => now + (j.estimate_s * 1000.0) as u64,
                            };
                        }
                        self.changed = true;
                    }
                }
                TaskState::Waiting => {
                    (t.state, t.why) = (TaskState::Exited, Some(ExitReason::Alone));
                    self.changed = true;
                }
                TaskState::Running | TaskState::Saving if t.gang => {}
                TaskState::Running => {
                    (t.state, t.why) = (TaskState::Exited, Some(ExitReason::Done));
                    done.insert(task, now);
                    self.changed = true;
                }
                TaskState::Saving => {
                    (t.state, t.why, t.saved) =
                        (TaskState::Exited, Some(ExitReason::Stopped), true);
                    self.changed = true;
                }
                TaskState::Exited => {}
            }
        }
    }

    pub fn execute(&mut self, now: u64, orders: &[Command], jobs: &BTreeMap<String, Job>) {
        for o in orders {
            let name = o.task.to_string();
            let key = (name.clone(), o.attempt);
            match o.op {
                CommandKind::Start => {
                    if self.tasks.contains_key(&key) {
                        continue;
                    }
                    let job = name.split('/').next().and_then(|j| jobs.get(j));
                    let busy =
                        self.tasks.iter().any(|(k, t)| k.0 == name && t.state != TaskState::Exited);
                    let (cpus, gpus) = self
                        .tasks
                        .iter()
                        .filter(|(_, t)| t.state != TaskState::Exited)
                        .filter_map(|(k, _)| jobs.get(k.0.split('/').next()?))
                        .fold((0.0, 0.0), |(c, g), j| (c + j.cpus, g + j.gpus));
                    let over = |j: &Job| {
                        cpus + j.cpus > self.cpus + 1e-9 || gpus + j.gpus > self.gpus + 1e-9
                    };
                    let refuse = match job {
                        None => Some(ExitReason::Unknown),
                        Some(_) if busy => Some(ExitReason::Busy),
                        Some(j) if over(j) => Some(ExitReason::Full),
                        Some(_) => None,
                    };
                    let cached = job.is_some_and(|j| self.images.contains(&j.image));
                    let on = On {
                        state: if refuse.is_some() {
                            TaskState::Exited
                        } else {
                            TaskState::Fetching
                        },
                        why: refuse,
                        saved: false,
                        until: now + if cached { 0 } else { 900 },
                        gang: job.is_some_and(|j| j.kind == Kind::Gang && j.tasks > 1),
                    };
                    self.tasks.insert(key, on);
                    self.changed = true;
                }
                CommandKind::Stop if self.unstoppable => {}
                CommandKind::Stop => {
                    if let Some(t) = self.tasks.get_mut(&key) {
                        if t.state == TaskState::Exited {
                            continue;
                        }
                        let job = name.split('/').next().and_then(|j| jobs.get(j));
                        let saves = job.filter(|j| {
                            j.checkpoint_s > 0.0
                                && t.state == TaskState::Running
                                && o.grace_s.unwrap_or(0.0) >= j.save_s
                        });
                        match saves {
                            Some(j) => {
                                t.state = TaskState::Saving;
                                t.until = now + (j.save_s * 1000.0) as u64;
                            }
                            None if t.state == TaskState::Saving && o.grace_s != Some(0.0) => {}
                            None => {
                                (t.state, t.why) = (TaskState::Exited, Some(ExitReason::Stopped))
                            }
                        }
                        self.changed = true;
                    }
                }
                CommandKind::Forget => {
                    if self.tasks.get(&key).is_some_and(|t| t.state == TaskState::Exited) {
                        self.tasks.remove(&key);
                        self.changed = true;
                    }
                }
            }
        }
    }
}
