//! What is known of a machine: its worker's newest report, and the attempts on it.
use crate::guards::{holds, Guard};
use crate::ids::{Attempt, Epoch, ImageIdx, JobId, Timestamp, TypeIdx, ZoneIdx};
use crate::names::{Resources, Shape};
use crate::reachability::Reachability;
use crate::shard::at_least;
use leaddeal_wire::mesh::TaskPhase;
use leaddeal_wire::user::Priority;
use leaddeal_wire::worker::{Command, CommandKind, ExitReason, TaskId, TaskState, WorkerHeartbeat};
use std::collections::{BTreeMap, VecDeque};

pub type AttemptKey = (JobId, u32, Attempt);

/// A wish to stop an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopRequest {
    pub grace_s: f64,
    pub since: Timestamp,
}

#[derive(Clone, Debug)]
pub struct TaskOnMachine {
    pub shape: Option<Shape>,
    pub phase: TaskPhase,
    /// The worker's session that it belongs to. It is started in no other.
    pub incarnation: u64,
    /// Named in the last answer to a report.
    pub answered: bool,
    /// Participant of the direct commands under way.
    pub direct: Option<u64>,
    /// A direct start command got no answer: a copy may be executed late. As long as the
    /// attempt is not forgotten by the worker, such a copy does nothing.
    pub risky: bool,
    /// The worker listed it in its newest report.
    pub listed: bool,
    pub stop: Option<StopRequest>,
    /// Taken over by a new coordinator: kept if it is on the machine, never started.
    pub adopted: bool,
    /// The coordinator has taken note of its end.
    pub acked: bool,
    pub told: Option<(Epoch, TaskPhase)>,
    pub told_at: Timestamp,
    pub on_since: Option<Timestamp>,
}

impl TaskOnMachine {
    pub fn new(shape: Option<Shape>, phase: TaskPhase, incarnation: u64) -> TaskOnMachine {
        TaskOnMachine {
            shape,
            phase,
            incarnation,
            answered: false,
            direct: None,
            risky: false,
            listed: false,
            stop: None,
            adopted: false,
            acked: false,
            told: None,
            told_at: 0,
            on_since: None,
        }
    }

    /// Decided for this session of its machine's worker.
    fn in_session(&self, incarnation: u64) -> bool {
        self.incarnation == incarnation || !holds(Guard::OfferSession)
    }

    /// A direct copy of its start may be executed yet.
    fn under_way(&self) -> bool {
        self.direct.is_some() && holds(Guard::ForgetLater)
    }

    fn may_start(&self) -> bool {
        !self.adopted || !holds(Guard::Adopted)
    }

    pub fn over(&self) -> bool {
        matches!(self.phase, TaskPhase::Exited(..) | TaskPhase::Gone)
    }
}

#[derive(Clone, Debug)]
pub struct Machine {
    pub addr: String,
    pub kind: Option<TypeIdx>,
    pub zone: Option<ZoneIdx>,
    pub spot: bool,
    pub incarnation: u64,
    pub seq: u64,
    /// Of its newest report.
    token: u64,
    /// The worker has shown that it knows our token: what older owners grant or command is void.
    pub confirmed: bool,
    /// When a report was last answered by us, or may have been by an owner before us.
    pub granted: Timestamp,
    pub heard: Timestamp,
    /// The newest report that was not an answer to commands: session and number.
    checkin: (u64, u64),
    pub reachability: Reachability,
    pub notice: Option<Timestamp>,
    pub tasks: BTreeMap<AttemptKey, TaskOnMachine>,
    pub cached: VecDeque<(ImageIdx, f64)>,
    pub busy_at: Timestamp,
    pub draining: bool,
    pub released: bool,
    /// No offers before this time.
    pub shunned_until: Timestamp,
    /// Jobs that failed here since anything last ran well, and when each first did.
    pub failed: Vec<(JobId, Timestamp)>,
    /// They were said to speak against it.
    pub suspected: bool,
    pub direct: Option<u64>,
    pub direct_after: Timestamp,
    /// The lease ran out by our count; whatever ran there is gone.
    pub lapsed: bool,
    /// When its participant next looks at it though nothing was heard.
    pub due: Timestamp,
    load: Load,
}

/// What is on a machine, summed up whenever that changes: every request looks at every machine.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Load {
    /// None: something unknown is on it.
    used: Option<Resources>,
    /// Of services and GPU work, which stay for long.
    lasting: Resources,
    gpu_work: bool,
    /// Of tasks that are being stopped.
    stopping: Resources,
    /// Of the others by priority: without GPUs, and with.
    stoppable: [[Resources; 2]; PRIORITIES],
}

const PRIORITIES: usize = 4;

impl Default for Load {
    fn default() -> Load {
        let none = Resources::default();
        Load {
            used: Some(none),
            lasting: none,
            gpu_work: false,
            stopping: none,
            stoppable: [[none; 2]; PRIORITIES],
        }
    }
}

impl Machine {
    pub fn new(now: Timestamp) -> Machine {
        Machine {
            addr: String::new(),
            kind: None,
            zone: None,
            spot: false,
            incarnation: 0,
            seq: 0,
            token: 0,
            confirmed: false,
            granted: now,
            heard: now,
            checkin: (0, 0),
            reachability: Reachability::default(),
            notice: None,
            tasks: BTreeMap::new(),
            cached: VecDeque::new(),
            busy_at: now,
            draining: false,
            released: false,
            shunned_until: 0,
            failed: Vec::new(),
            suspected: false,
            direct: None,
            direct_after: 0,
            lapsed: false,
            due: now,
            load: Load::default(),
        }
    }

    /// Takes note of a report that came by itself. False: the worker does not wait for an answer to
    /// it, since it has sent a newer one by now, or its session is over. A late copy grants nothing,
    /// or it would keep a machine that is gone for as long as copies of its reports arrive.
    pub fn waits(&mut self, r: &WorkerHeartbeat) -> bool {
        let this = (r.incarnation, r.seq);
        let waits =
            this > self.checkin && r.incarnation >= self.incarnation || !holds(Guard::Waits);
        self.checkin = self.checkin.max(this);
        waits
    }

    /// The moment from which the worker's lease is surely over, unless it is renewed.
    /// Owners before us may have answered it until `older`.
    pub fn lease_over_at(&self, lease_ms: u64, older: Timestamp) -> Timestamp {
        let granted = if self.confirmed { self.granted } else { self.granted.max(older) };
        granted + at_least(lease_ms)
    }

    /// Takes in a report. False if it is not newer than what is known; then nothing changes.
    pub fn apply(
        &mut self,
        r: &WorkerHeartbeat,
        epoch: Epoch,
        checkin: bool,
        now: Timestamp,
    ) -> bool {
        let old =
            (r.incarnation, r.seq) <= (self.incarnation, self.seq) && holds(Guard::NewestReport);
        if old || self.released {
            return false;
        }
        // The lease is over, so the session must be: a report of it can only be a late one.
        if self.lapsed && r.incarnation == self.incarnation {
            return false;
        }
        if r.incarnation > self.incarnation {
            if self.incarnation > 0 {
                self.reachability.lease_ended(now);
            }
            for t in self.tasks.values_mut() {
                if t.incarnation < r.incarnation {
                    if !t.over() {
                        t.phase = TaskPhase::Gone;
                    }
                    t.listed = false;
                    t.risky = false;
                    t.direct = None;
                }
            }
            self.lapsed = false;
            // Its lease runs from its own beginning, which may be just now, whatever was granted
            // to the one before. (Found by the simulator, with a node that got no processor
            // time: an answer to commands told of the new session, a task was started in it, and
            // the old session's lease then called it gone.)
            if holds(Guard::SessionLease) {
                self.granted = self.granted.max(now);
            }
        }
        self.incarnation = r.incarnation;
        self.seq = r.seq;
        self.heard = now;
        self.addr.clone_from(&r.addr);
        self.spot = r.spot;
        if r.token == epoch.0 && self.token < r.token {
            self.reachability.proven();
        }
        self.token = r.token;
        // Of a worker that came back without its token, older owners' answers count again.
        let confirmed = r.token == epoch.0;
        // And of one that shows ours for the first time they counted until now, whatever we granted.
        // (Found by the simulator, seed 173: a late copy of a report brought the new owner to command
        // a worker that an older one, cut off with it, still answered.)
        if confirmed && !self.confirmed && holds(Guard::FirstSight) {
            self.granted = self.granted.max(now);
        }
        self.confirmed = confirmed;
        self.notice = r.notice_s.map(|s| now.saturating_add((s.max(0.0) * 1000.0) as u64));
        for t in self.tasks.values_mut() {
            t.listed = false;
        }
        for t in &r.tasks {
            let Some(TaskId { job, task }) = t.task else {
                continue;
            };
            let key = (JobId(job), task, Attempt(t.attempt));
            let on = self
                .tasks
                .entry(key)
                .or_insert_with(|| TaskOnMachine::new(None, TaskPhase::Decided, r.incarnation));
            // Started by a command of ours.
            if on.phase == TaskPhase::Decided && (on.answered || on.risky || on.direct.is_some()) {
                self.reachability.proven();
            }
            on.listed = true;
            if on.phase == TaskPhase::Gone {
                continue;
            }
            on.phase = match t.state {
                TaskState::Exited => {
                    TaskPhase::Exited(t.why.unwrap_or(ExitReason::Other), t.saved.unwrap_or(false))
                }
                s => TaskPhase::On(s),
            };
            if matches!(t.state, TaskState::Running) && on.on_since.is_none() {
                on.on_since = Some(now);
            }
        }
        let confirmed = self.confirmed || !holds(Guard::TokenShown);
        for t in self.tasks.values_mut().filter(|t| !t.listed) {
            match t.phase {
                TaskPhase::Decided => {
                    // The answer that named it was dropped: a worker's reports follow one
                    // another, and it executes an answer before its next report.
                    if checkin {
                        t.answered = false;
                    }
                    let never = !t.answered && !t.risky && t.direct.is_none();
                    if (t.stop.is_some() || t.adopted)
                        && never
                        && confirmed
                        && t.incarnation <= r.incarnation
                    {
                        t.phase = TaskPhase::Gone;
                    }
                }
                TaskPhase::On(_) => t.phase = TaskPhase::Gone,
                TaskPhase::Exited(..) | TaskPhase::Gone => {}
            }
        }
        if self.tasks.values().any(|t| !t.over()) {
            self.busy_at = now;
        }
        self.sweep();
        self.recount();
        true
    }

    /// Drops what the coordinator has noted and the worker has forgotten.
    pub fn sweep(&mut self) {
        let open = |t: &TaskOnMachine| t.listed || t.risky || t.direct.is_some();
        self.tasks.retain(|_, t| !(t.acked && t.over() && !open(t)));
    }

    /// Everything on it is gone: its lease is over, or it was released.
    pub fn all_gone(&mut self) {
        for t in self.tasks.values_mut() {
            if !t.over() {
                t.phase = TaskPhase::Gone;
            }
            t.listed = false;
            t.risky = false;
            t.direct = None;
        }
        self.direct = None;
        self.sweep();
        self.recount();
    }

    fn sum_up(&self) -> Load {
        let mut l = Load::default();
        for t in self.tasks.values().filter(|t| !t.over()) {
            let Some(s) = &t.shape else {
                l.used = None;
                continue;
            };
            if let Some(u) = &mut l.used {
                u.add(s.need, 1);
            }
            if s.is_long_running() {
                l.lasting.add(s.need, 1);
            }
            l.gpu_work |= s.need.gpu > 0;
            match t.stop {
                Some(_) => l.stopping.add(s.need, 1),
                None => {
                    l.stoppable[s.wire.priority as usize][usize::from(s.need.gpu > 0)]
                        .add(s.need, 1);
                }
            }
        }
        l
    }

    /// To be called whenever a task comes, ends, is to stop, or its shape becomes known.
    pub fn recount(&mut self) {
        self.load = self.sum_up();
    }

    fn load(&self) -> Load {
        debug_assert_eq!(self.load, self.sum_up(), "a change was not counted");
        self.load
    }

    /// Room taken by what is, or may come to be, on it. None: something unknown is on it.
    pub fn used(&self) -> Option<Resources> {
        self.load().used
    }

    /// Room taken by services and GPU work.
    pub fn lasting(&self) -> Resources {
        self.load().lasting
    }

    /// The most room that work of this priority could get by stopping lesser tasks; those with
    /// GPUs only if it takes GPUs itself.
    pub fn yields(&self, priority: Priority, gpus: bool) -> Resources {
        let l = self.load();
        let mut room = Resources::default();
        for [without, with] in &l.stoppable[..priority as usize] {
            room.add(*without, 1);
            if gpus {
                room.add(*with, 1);
            }
        }
        room
    }

    /// Room of tasks that are being stopped.
    pub fn stopping(&self) -> Resources {
        self.load().stopping
    }

    pub fn has_gpu_work(&self) -> bool {
        self.load().gpu_work
    }

    /// Commands for the answer to a report; `starts`: the lease under which they are given is
    /// certainly not over.
    pub fn orders(&mut self, now: Timestamp, most: usize, starts: bool) -> Vec<Command> {
        let mut v = Vec::new();
        let incarnation = self.incarnation;
        let order = |op, k: &AttemptKey, grace_s| Command {
            op,
            task: TaskId { job: k.0 .0, task: k.1 },
            attempt: k.2 .0,
            grace_s,
        };
        for (k, t) in &mut self.tasks {
            if v.len() >= most {
                break;
            }
            match (t.phase, t.stop) {
                (TaskPhase::Decided, _) if !starts && holds(Guard::DoubtStarts) => {}
                (TaskPhase::On(_), Some(_)) if !starts && !holds(Guard::DoubtStops) => {}
                (TaskPhase::Decided, None) if t.in_session(incarnation) && t.may_start() => {
                    t.answered = true;
                    v.push(order(CommandKind::Start, k, None));
                }
                // A start command without an answer may be executed at any time. Started and
                // stopped at once, the attempt stays known to the worker, and a late copy does
                // nothing. Only for a while, since a cancelled job must not start late.
                (TaskPhase::Decided, Some(s)) if t.risky && t.incarnation == incarnation => {
                    if now < s.since + 8000 {
                        v.push(order(CommandKind::Start, k, None));
                    }
                    v.push(order(CommandKind::Stop, k, Some(0.0)));
                }
                (TaskPhase::On(s), Some(w)) if s != TaskState::Saving || w.grace_s == 0.0 => {
                    v.push(order(CommandKind::Stop, k, Some(w.grace_s)));
                }
                // Not while a direct copy of its start is under way: that would start it anew.
                // (Found by the simulator.)
                (TaskPhase::Exited(..), _) if t.acked && t.listed && !t.risky && !t.under_way() => {
                    v.push(order(CommandKind::Forget, k, None));
                }
                _ => {}
            }
        }
        v
    }

    /// Commands worth sending at once: starts and stops not on their way yet.
    pub fn direct_orders(&mut self, batch: u64, most: usize) -> Vec<Command> {
        let mut v = Vec::new();
        let incarnation = self.incarnation;
        for (k, t) in &mut self.tasks {
            if v.len() >= most {
                break;
            }
            let task = TaskId { job: k.0 .0, task: k.1 };
            match (t.phase, t.stop) {
                (TaskPhase::Decided, None)
                    if t.in_session(incarnation) && !t.risky && !t.answered && t.may_start() =>
                {
                    t.direct = Some(batch);
                    v.push(Command {
                        op: CommandKind::Start,
                        task,
                        attempt: k.2 .0,
                        grace_s: None,
                    });
                }
                (TaskPhase::On(s), Some(w)) if s != TaskState::Saving || w.grace_s == 0.0 => {
                    let grace_s = Some(w.grace_s);
                    v.push(Command { op: CommandKind::Stop, task, attempt: k.2 .0, grace_s });
                }
                _ => {}
            }
        }
        v
    }

    /// The direct commands of a batch have come to an end.
    pub fn direct_over(&mut self, batch: u64, unknown: bool) {
        if self.direct == Some(batch) {
            self.direct = None;
        }
        for t in self.tasks.values_mut().filter(|t| t.direct == Some(batch)) {
            t.direct = None;
            t.risky |= unknown && holds(Guard::Risky);
        }
    }

    /// Tasks of these jobs failed here, and then perhaps something ran well.
    pub fn note_failures(
        &mut self,
        jobs: &[JobId],
        ran_well: bool,
        now: Timestamp,
        forget_ms: u64,
    ) {
        if ran_well {
            self.failed.clear();
        }
        if jobs.is_empty() {
            return;
        }
        self.failed.retain(|f| now < f.1 + forget_ms);
        for &job in jobs {
            if !self.failed.iter().any(|f| f.0 == job) {
                self.failed.push((job, now));
            }
        }
    }

    pub fn note_image(&mut self, image: ImageIdx, gb: f64, cache_gb: f64) {
        self.cached.retain(|c| c.0 != image);
        self.cached.push_back((image, gb));
        while self.cached.len() > 1 && self.cached.iter().map(|c| c.1).sum::<f64>() > cache_gb {
            self.cached.pop_front();
        }
    }

    pub fn has_image(&self, image: ImageIdx) -> bool {
        self.cached.iter().any(|c| c.0 == image)
    }
}

#[cfg(test)]
mod tests;
