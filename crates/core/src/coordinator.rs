//! A seat's jobs: asks for offers, writes the choice under the epoch, then says yes and no.
use crate::bits::CHUNK;
use crate::ids::{Attempt, Epoch, JobId, Negotiation, Now, Seat, ZoneIdx};
use crate::io::{ReqId, StoreCall, StoreResult, UserReply};
use crate::jobs::{wire_shape, DoneOn, Job};
use crate::names::Room;
use crate::node::{Ctx, OpKind};
use crate::placed::Placement;
use crate::seat::seat_key;
use crate::teams::{self, seat_of_team};
use leaddeal_wire::mesh::{
    AttemptRef, Lack, Offer, Phase, Pick, SeatMsg, Shape as WireShape, TaskEvent, TeamUse, Wanted,
};
use leaddeal_wire::state::{Change, Cond, Item, Txn};
use leaddeal_wire::user::{self, JobState, Kind, Status};
use leaddeal_wire::worker::{TaskState, Why};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Answers to a request for offers are waited for no longer than this.
pub const OFFERS_MS: u64 = 2000;
const ITEMS: usize = 14;
/// A request names at most this many kinds of GPU work.
const GPU_KINDS: usize = 16;
const RESEND_MS: u64 = 2000;
const FOLD_MS: u64 = 300;

/// What a part is told yes to, for a job: its shape and the picks.
type Yes = (Arc<WireShape>, Vec<Pick>);

#[derive(Debug)]
enum Load {
    Decisions,
    Jobs,
    Runs,
    Ready,
}

#[derive(Debug)]
struct Talk {
    id: Negotiation,
    items: Vec<(JobId, u32)>,
    asked: Vec<Seat>,
    waiting: BTreeSet<Seat>,
    offers: Vec<(Seat, Offer)>,
    /// Items for which a part is making room.
    coming: BTreeSet<u16>,
    started: Now,
}

#[derive(Debug)]
struct Choice {
    job: JobId,
    task: u32,
    seat: Seat,
    offer: Offer,
}

#[derive(Debug)]
struct Writing {
    key: String,
    round: u64,
    attempt: Attempt,
    choices: Vec<Choice>,
    asked: Vec<Seat>,
    negotiation: Negotiation,
    txn: Txn,
    /// An earlier try may have been executed, or may yet be.
    unsure: bool,
    retry_at: Option<Now>,
}

#[derive(Debug)]
struct Fold {
    chunks: Vec<(JobId, Vec<u32>)>,
    acks: Vec<(JobId, Vec<DoneOn>)>,
    finals: Vec<(JobId, Status)>,
    rounds: Vec<String>,
}

#[derive(Debug)]
pub struct Coordinator {
    pub seat: Seat,
    pub epoch: Epoch,
    load: Load,
    loading: bool,
    retry_load_at: Now,
    after: Option<String>,
    decisions: Vec<Item>,
    pub jobs: BTreeMap<JobId, Job>,
    /// Jobs that are over, with their final state.
    pub closed: HashMap<JobId, (Status, u32)>,
    talk: Option<Talk>,
    writing: Option<Writing>,
    next_talk: u64,
    round: u64,
    rounds: BTreeMap<u64, (String, u32)>,
    finished_rounds: Vec<String>,
    fold: Option<Fold>,
    fold_after: Now,
    /// Revision of the list of jobs that was loaded.
    pub loaded_from: u64,
    pub watch_from: u64,
    pub watching: bool,
    pub watch_after: Now,
    /// Told to hand the seat over: no new rounds.
    pub leaving: bool,
    part_epochs: Vec<Epoch>,
    next_resend: Now,
    /// Grants by team, with the epoch of the team's seat.
    grants: BTreeMap<u8, (Epoch, u64, u64)>,
    team_serial: u64,
    team_at: Now,
}

fn decision_prefix(s: Seat) -> String {
    format!("d/{}/", s.0)
}
pub fn job_prefix(s: Seat) -> String {
    format!("j/{}/", s.0)
}
fn run_prefix(s: Seat) -> String {
    format!("r/{}/", s.0)
}
pub fn job_key(s: Seat, j: JobId) -> String {
    format!("j/{}/{}", s.0, j.0)
}
pub fn final_prefix(s: Seat) -> String {
    format!("f/{}/", s.0)
}
pub fn final_key(s: Seat, j: JobId) -> String {
    format!("f/{}/{}", s.0, j.0)
}
/// The job that a key of `j/` or `f/` is about.
pub fn job_of_key(key: &str) -> Option<JobId> {
    key.rsplit('/').next()?.parse().ok().map(JobId)
}
fn run_key(s: Seat, j: JobId, chunk: u32) -> String {
    format!("r/{}/{}.{}", s.0, j.0, chunk)
}

pub fn final_value(status: Status, done: u32) -> Value {
    json!([if status == Status::Done { "done" } else { "cancelled" }, done])
}

pub fn parse_final(v: &Value) -> Option<(Status, u32)> {
    let status = match v.get(0)?.as_str()? {
        "done" => Status::Done,
        "cancelled" => Status::Cancelled,
        _ => return None,
    };
    Some((status, v.get(1)?.as_u64()? as u32))
}

pub fn job_state(id: JobId, f: (Status, u32)) -> JobState {
    JobState { id: user::job_id(id.0), status: f.0, done: f.1, running: 0 }
}

impl Coordinator {
    pub fn new(seat: Seat, epoch: Epoch, seats: usize) -> Coordinator {
        Coordinator {
            seat,
            epoch,
            load: Load::Decisions,
            loading: false,
            retry_load_at: 0,
            after: None,
            decisions: Vec::new(),
            jobs: BTreeMap::new(),
            closed: HashMap::new(),
            talk: None,
            writing: None,
            next_talk: 0,
            round: 0,
            rounds: BTreeMap::new(),
            finished_rounds: Vec::new(),
            fold: None,
            fold_after: 0,
            loaded_from: 0,
            watch_from: 0,
            watching: false,
            watch_after: 0,
            leaving: false,
            part_epochs: vec![Epoch(0); seats],
            next_resend: 0,
            grants: BTreeMap::new(),
            team_serial: 0,
            team_at: 0,
        }
    }

    pub fn ready(&self) -> bool {
        matches!(self.load, Load::Ready)
    }

    pub fn quiet(&self) -> bool {
        self.talk.is_none()
            && self.writing.is_none()
            && self.fold.is_none()
            && self.jobs.values().all(|j| j.finishing.is_none())
    }

    fn mine(&self) -> Cond {
        Cond { key: seat_key(self.seat), version: self.epoch.0 }
    }

    // ---- loading -------------------------------------------------------------------------

    fn load_step(&mut self, ctx: &mut Ctx) {
        if self.loading || ctx.now < self.retry_load_at {
            return;
        }
        let prefix = match self.load {
            Load::Decisions => decision_prefix(self.seat),
            Load::Jobs => job_prefix(self.seat),
            Load::Runs => run_prefix(self.seat),
            Load::Ready => return,
        };
        self.loading = true;
        ctx.store(
            OpKind::Load { seat: self.seat, epoch: self.epoch },
            StoreCall::List { prefix, after: self.after.clone() },
        );
    }

    pub fn loaded(&mut self, ctx: &mut Ctx, result: StoreResult) {
        self.loading = false;
        let StoreResult::Page(page) = result else {
            self.retry_load_at = ctx.now + 300;
            return;
        };
        if matches!(self.load, Load::Jobs) && self.after.is_none() {
            self.watch_from = page.revision;
            self.loaded_from = page.revision;
        }
        self.after = page.items.last().map(|i| i.key.clone()).filter(|_| page.more);
        for item in page.items {
            match self.load {
                Load::Decisions => self.decisions.push(item),
                Load::Jobs => self.job_created(ctx, &item.key, &item.value),
                Load::Runs => self.run_loaded(&item),
                Load::Ready => {}
            }
        }
        if self.after.is_none() {
            self.load = match self.load {
                Load::Decisions => Load::Jobs,
                Load::Jobs => Load::Runs,
                Load::Runs | Load::Ready => Load::Ready,
            };
            if self.ready() {
                self.take_decisions(ctx);
                ctx.wake = true;
                let (s, n) = (self.seat.0, self.jobs.len());
                ctx.out.log(1, "seat_loaded", || format!("seat={s} jobs={n}"));
            }
        }
        self.load_step(ctx);
    }

    pub fn job_created(&mut self, ctx: &mut Ctx, key: &str, value: &Value) {
        let Some(id) = job_of_key(key) else {
            return;
        };
        if self.jobs.contains_key(&id) || self.closed.contains_key(&id) {
            return;
        }
        let Ok(wire) = serde_json::from_value::<user::Job>(value["job"].clone()) else {
            let k = key.to_string();
            ctx.out.log(0, "job_unreadable", || k);
            return;
        };
        let age = ctx.time_ms.saturating_sub(value["at"].as_u64().unwrap_or(ctx.time_ms));
        let shape = ctx.names.shape(&Arc::new(wire_shape(&wire)));
        self.jobs.insert(id, Job::new(id, wire, shape, ctx.now.saturating_sub(age), &ctx.cfg.aims));
        ctx.wake = true;
    }

    fn run_loaded(&mut self, item: &Item) {
        let Some((id, chunk)) = item.key.rsplit('/').next().and_then(|s| {
            let (a, b) = s.split_once('.')?;
            Some((JobId(a.parse().ok()?), b.parse::<u32>().ok()?))
        }) else {
            return;
        };
        if let (Some(j), Some(text)) = (self.jobs.get_mut(&id), item.value.as_str()) {
            j.done.add_chunk(chunk, text, j.wire.tasks);
        }
    }

    /// Decisions of older epochs: their winners may be on machines. Of several attempts of a
    /// task only the newest counts; it was decided after the older ones were proven gone.
    fn take_decisions(&mut self, ctx: &mut Ctx) {
        for item in std::mem::take(&mut self.decisions) {
            let Some(attempt) = item.value["a"].as_u64().map(Attempt) else {
                continue;
            };
            let round = self.next_round_id();
            self.rounds.insert(round, (item.key.clone(), 0));
            let empty = Vec::new();
            for p in item.value["p"].as_array().unwrap_or(&empty) {
                let (Some(job), Some(task), Some(machine), Some(session), Some(zone)) =
                    (p[0].as_u64(), p[1].as_u64(), p[2].as_str(), p[3].as_u64(), p[4].as_u64())
                else {
                    continue;
                };
                let (id, task) = (JobId(job), task as u32);
                let part = ctx.seat_of_machine(machine);
                let machine = ctx.names.machine(machine);
                let j = self.jobs.entry(id).or_insert_with(|| Job::leftover(id, ctx.names));
                if j.done.get(task) || j.placed.get(task).is_some_and(|o| o.attempt > attempt) {
                    continue;
                }
                let new = Placement {
                    attempt,
                    machine,
                    part,
                    session,
                    zone: ZoneIdx(zone as u8),
                    phase: Phase::Decided,
                    round,
                    placed_at: ctx.now,
                    sent_at: 0,
                    stop: None,
                    adopted: true,
                    team: p[5]
                        .as_u64()
                        .map(|t| (t as u8, p[6].as_u64().unwrap_or(0), p[7].as_u64().unwrap_or(0))),
                };
                if let Some(r) = self.rounds.get_mut(&round) {
                    r.1 += 1;
                }
                if let Some(old) = j.placed.insert(task, new) {
                    self.round_less(old.round);
                }
            }
            if self.rounds.get(&round).is_some_and(|r| r.1 == 0) {
                self.rounds.remove(&round);
                self.finished_rounds.push(item.key);
            }
        }
    }

    fn next_round_id(&mut self) -> u64 {
        self.round += 1;
        self.round
    }

    fn round_less(&mut self, round: u64) {
        if let Some(r) = self.rounds.get_mut(&round) {
            r.1 = r.1.saturating_sub(1);
            if r.1 == 0 {
                let key = std::mem::take(&mut r.0);
                self.rounds.remove(&round);
                self.finished_rounds.push(key);
            }
        }
    }

    // ---- the ordinary path ---------------------------------------------------------------

    /// Jobs that may have a task placed now, the most important first.
    fn order(&self, now: Now) -> Vec<JobId> {
        let mut v: Vec<_> = self
            .jobs
            .values()
            .filter(|j| {
                !j.cancelled && j.finishing.is_none() && j.not_before <= now && j.pending() > 0
            })
            .filter(|j| j.wire.kind != Kind::Gang || j.placed.is_empty())
            .map(|j| {
                let (late, due) = j.urgency(now);
                (std::cmp::Reverse(j.wire.priority), late, due, j.created, j.id)
            })
            .collect();
        v.sort_unstable();
        v.into_iter().take(ITEMS).map(|x| x.4).collect()
    }

    pub fn start_round(&mut self, ctx: &mut Ctx) {
        if !self.ready()
            || self.talk.is_some()
            || self.writing.is_some()
            || self.leaving
            || !ctx.valid
        {
            return;
        }
        let ids = self.order(ctx.now);
        if ids.is_empty() {
            return;
        }
        let mut items = Vec::new();
        let mut wanted = Vec::new();
        let mut turns = Vec::new();
        let most = ctx.cfg.max_picks as u32;
        let mut total = 0;
        for id in ids {
            let j = &self.jobs[&id];
            let zone_room = j.zone_room(&ctx.names.zones);
            // No job takes the whole round: others may fit where it does not.
            let mut count = j.pending().min(most - total).min(most / 3 + 1);
            if j.wire.kind == Kind::Gang {
                if j.pending() > most - total {
                    continue;
                }
                count = j.pending();
            }
            if count == 0 {
                break;
            }
            total += count;
            items.push((id, count));
            turns.push(j.make_room.filter(|_| j.wire.priority > user::Priority::Low));
            wanted.push(Wanted {
                job: id.0,
                shape: j.shape.wire.clone(),
                count,
                zone_room,
                make_room: false,
                pressing: j.pressing(ctx.now),
                anywhere: j.anywhere(ctx.now),
                line: j.line(ctx.now),
            });
        }
        if items.is_empty() {
            return;
        }
        self.next_talk += 1;
        let id = Negotiation((self.epoch.0 << 24) | self.next_talk);
        let gpu_work = self.gpu_work();
        // A seat known to be vacant is not waited for.
        let asked: Vec<Seat> = ctx.seats().filter(|s| ctx.reachable(*s)).collect();
        for &s in &asked {
            // Room is made by one part at a time, so that three do not stop thrice as much.
            let mut items = wanted.clone();
            for (w, turn) in items.iter_mut().zip(&turns) {
                w.make_room =
                    turn.is_some_and(|t| t as usize % ctx.seats().count() == s.0 as usize);
            }
            let gpu_work = gpu_work.clone();
            let msg = SeatMsg::Request { negotiation: id.0, items, gpu_work };
            ctx.send(self.seat, s, msg);
        }
        self.talk = Some(Talk {
            id,
            items,
            waiting: asked.iter().copied().collect(),
            asked,
            offers: Vec::new(),
            coming: BTreeSet::new(),
            started: ctx.now,
        });
        self.check_talk(ctx);
    }

    /// The kinds of GPU work there are, so that parts keep services from spoiling its machines
    /// before it gets its turn to be asked for.
    fn gpu_work(&self) -> Vec<(u64, u64, u64, user::Priority)> {
        let live = self.jobs.values().filter(|j| !j.cancelled && j.shape.need.gpu > 0);
        let kinds = live.map(|j| {
            let n = j.shape.need;
            (n.cpu, n.gpu, n.mem, j.wire.priority)
        });
        kinds.collect::<BTreeSet<_>>().into_iter().take(GPU_KINDS).collect()
    }

    fn check_talk(&mut self, ctx: &mut Ctx) {
        let Some(t) = &mut self.talk else { return };
        t.waiting.retain(|s| ctx.reachable(*s));
        if t.waiting.is_empty() || ctx.now >= t.started + OFFERS_MS {
            self.decide(ctx);
        }
    }

    fn decide(&mut self, ctx: &mut Ctx) {
        let Some(mut talk) = self.talk.take() else { return };
        // Who answered and offered nothing holds nothing, and needs no word of the end.
        let offered: BTreeSet<Seat> = talk.offers.iter().map(|o| o.0).collect();
        talk.asked.retain(|s| talk.waiting.contains(s) || offered.contains(s));
        let now = ctx.now;
        let mut choices: Vec<Choice> = Vec::new();
        let mut offers = talk.offers;
        let used = self.team_usage(ctx);
        let mut left: BTreeMap<u8, (u64, u64)> = BTreeMap::new();
        for (i, &(id, count)) in talk.items.iter().enumerate() {
            let Some(j) = self.jobs.get_mut(&id) else {
                continue;
            };
            if j.cancelled || j.finishing.is_some() {
                continue;
            }
            let mut room = j.zone_room(&ctx.names.zones);
            let mut mine: Vec<&mut (Seat, Offer)> =
                offers.iter_mut().filter(|o| o.1.item as usize == i && o.1.count > 0).collect();
            mine.sort_by_key(|o| (!o.1.cached, -o.1.score));
            let mut want = count.min(j.pending());
            if let Some((team, cpu, gpu)) = ctx.team_use(j) {
                let epoch = ctx.owner(seat_of_team(team, ctx.seats().count())).map(|o| o.epoch);
                let left = left.entry(team).or_insert_with(|| match self.grants.get(&team) {
                    Some(g) if Some(g.0) == epoch => {
                        let u = used.get(&team).copied().unwrap_or((0, 0));
                        (g.1.saturating_sub(u.0), g.2.saturating_sub(u.1))
                    }
                    _ => (0, 0),
                });
                let n = Room { cpu: left.0, gpu: left.1, mem: 0 }.fits(Room { cpu, gpu, mem: 0 });
                want = want.min(n.min(u64::from(u32::MAX)) as u32);
            }
            let mut per = vec![0u32; room.len()];
            for o in &mine {
                if let Some(p) = per.get_mut(o.1.zone as usize) {
                    *p = p.saturating_add(o.1.count);
                }
            }
            let open = room.clone();
            if j.wire.one_zone {
                // All in one zone: the one that holds the most of it, if no task is in one yet.
                let best = (0..per.len()).max_by_key(|&z| per[z].min(room[z]));
                for (z, r) in room.iter_mut().enumerate() {
                    if Some(z) != best {
                        *r = 0;
                    }
                }
            }
            let mut picks: Vec<(Seat, Offer)> = Vec::new();
            // Replicas of a service go to different machines where they can.
            let each = if j.wire.kind == Kind::Service { 1 } else { u32::MAX };
            let mut progress = true;
            while progress && (picks.len() as u32) < want {
                progress = false;
                for o in &mut mine {
                    let Some(r) = room.get_mut(o.1.zone as usize) else {
                        continue;
                    };
                    let n = o.1.count.min(*r).min(each).min(want - picks.len() as u32);
                    for _ in 0..n {
                        picks.push((o.0, o.1.clone()));
                    }
                    o.1.count -= n;
                    *r -= n;
                    progress |= n > 0;
                }
            }
            let whole = j.wire.kind != Kind::Gang || picks.len() as u32 == j.pending();
            if picks.is_empty() || !whole {
                let tried = j.refused(now);
                j.aim_at(&per, &open);
                // Whoever is making room is asked on; else it is the next one's turn.
                let step = u32::from(tried && !talk.coming.contains(&(i as u16)));
                j.make_room = Some(j.make_room.map_or(0, |t| t + step));
                continue;
            }
            if let Some((team, cpu, gpu)) = ctx.team_use(j) {
                let n = picks.len() as u64;
                if let Some(l) = left.get_mut(&team) {
                    l.0 = l.0.saturating_sub(cpu * n);
                    l.1 = l.1.saturating_sub(gpu * n);
                }
            }
            j.served();
            let short = (picks.len() as u32) < want;
            let step = u32::from(!talk.coming.contains(&(i as u16)));
            j.make_room = short.then(|| j.make_room.map_or(0, |t| t + step));
            for (seat, offer) in picks {
                let Some(task) = j.take() else { break };
                choices.push(Choice { job: id, task, seat, offer });
            }
        }
        if choices.is_empty() {
            self.close(ctx, talk.id, &talk.asked);
            return;
        }
        let round = self.next_round_id();
        let attempt = Attempt::new(self.epoch, round);
        let key = format!("{}{}-{}", decision_prefix(self.seat), self.epoch.0, round);
        let picks: Vec<Value> = choices
            .iter()
            .map(|c| {
                let o = &c.offer;
                match self.jobs.get(&c.job).and_then(|j| ctx.team_use(j)) {
                    Some(t) => {
                        json!([c.job.0, c.task, o.machine, o.session, o.zone, t.0, t.1, t.2])
                    }
                    None => json!([c.job.0, c.task, o.machine, o.session, o.zone]),
                }
            })
            .collect();
        let mut conds = vec![self.mine(), Cond { key: key.clone(), version: 0 }];
        // A grant of a team's seat ends with the owner that gave it.
        for (team, g) in &self.grants {
            let used = choices.iter().any(|c| {
                let t = self.jobs.get(&c.job).and_then(|j| ctx.team_use(j));
                t.is_some_and(|t| t.0 == *team)
            });
            let cond =
                Cond { key: seat_key(seat_of_team(*team, ctx.seats().count())), version: g.0 .0 };
            if used && !conds.contains(&cond) {
                conds.push(cond);
            }
        }
        let txn = Txn {
            conds,
            changes: vec![Change::Put {
                key: key.clone(),
                value: json!({"a": attempt.0, "p": picks}),
                lease: None,
            }],
        };
        self.writing = Some(Writing {
            key,
            round,
            attempt,
            choices,
            asked: talk.asked,
            negotiation: talk.id,
            txn,
            unsure: false,
            retry_at: Some(now),
        });
        self.write_decision(ctx);
    }

    fn write_decision(&mut self, ctx: &mut Ctx) {
        let Some(w) = &mut self.writing else { return };
        if w.retry_at.is_none_or(|t| t > ctx.now) || !ctx.valid {
            return;
        }
        w.retry_at = None;
        ctx.budget.force(1);
        let kind = OpKind::Decide { seat: self.seat, epoch: self.epoch };
        ctx.store(kind, StoreCall::Txn(w.txn.clone()));
    }

    /// Outcome of the decision's transaction. False: the seat is lost.
    pub fn decided(&mut self, ctx: &mut Ctx, result: StoreResult) -> bool {
        let Some(w) = &mut self.writing else {
            return true;
        };
        match result {
            StoreResult::Committed(_) => self.winners(ctx),
            StoreResult::Conflict(failed) => {
                if failed.contains(&seat_key(self.seat)) {
                    return false;
                }
                // Only this owner writes this key: an earlier try was executed after all.
                if w.unsure && failed.contains(&w.key) {
                    self.winners(ctx);
                } else {
                    self.losers(ctx);
                }
            }
            StoreResult::Refused if !w.unsure => self.losers(ctx),
            // Never guessed: the same creation is tried again until its outcome is known.
            StoreResult::Unknown => {
                w.unsure = true;
                w.retry_at = Some(ctx.now + 200);
            }
            _ => w.retry_at = Some(ctx.now + 300),
        }
        true
    }

    fn winners(&mut self, ctx: &mut Ctx) {
        let Some(w) = self.writing.take() else { return };
        self.rounds.insert(w.round, (w.key.clone(), 0));
        let mut yes: BTreeMap<(Seat, JobId), Yes> = BTreeMap::new();
        for c in w.choices {
            let Some(j) = self.jobs.get_mut(&c.job) else {
                continue;
            };
            let p = Placement {
                attempt: w.attempt,
                machine: ctx.names.machine(&c.offer.machine),
                part: c.seat,
                session: c.offer.session,
                zone: ZoneIdx(c.offer.zone),
                phase: Phase::Decided,
                round: w.round,
                placed_at: ctx.now,
                sent_at: ctx.now,
                stop: None,
                adopted: false,
                team: ctx.team_use(j),
            };
            // Cancelled while the decision was being written: it was never said.
            if j.cancelled || j.finishing.is_some() {
                j.give_back(c.task);
                continue;
            }
            j.placed.insert(c.task, p);
            if let Some(r) = self.rounds.get_mut(&w.round) {
                r.1 += 1;
            }
            let e = yes.entry((c.seat, c.job)).or_insert((j.shape.wire.clone(), Vec::new()));
            e.1.push(Pick {
                task: c.task,
                attempt: w.attempt.0,
                machine: c.offer.machine,
                session: c.offer.session,
            });
        }
        if self.rounds.get(&w.round).is_some_and(|r| r.1 == 0) {
            self.rounds.remove(&w.round);
            self.finished_rounds.push(w.key);
        }
        for ((seat, job), (shape, picks)) in yes {
            ctx.send(self.seat, seat, SeatMsg::Place { job: job.0, shape, picks, adopt: false });
        }
        self.close(ctx, w.negotiation, &w.asked);
        ctx.wake = true;
    }

    fn losers(&mut self, ctx: &mut Ctx) {
        let Some(w) = self.writing.take() else { return };
        for c in &w.choices {
            if let Some(j) = self.jobs.get_mut(&c.job) {
                j.give_back(c.task);
                j.not_before = ctx.now + 500;
            }
        }
        self.close(ctx, w.negotiation, &w.asked);
    }

    fn close(&mut self, ctx: &mut Ctx, n: Negotiation, asked: &[Seat]) {
        for &s in asked {
            ctx.send(self.seat, s, SeatMsg::Close { negotiation: n.0 });
        }
    }

    // ---- team limits ---------------------------------------------------------------------

    /// What the tasks that are or may be on machines take of the teams' limits.
    fn team_usage(&self, ctx: &Ctx) -> BTreeMap<u8, (u64, u64)> {
        if ctx.cfg.teams.iter().all(|t| teams::limit(t).is_none()) {
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

    /// Tells the teams' seats what is used and wanted.
    pub fn report_teams(&mut self, ctx: &mut Ctx) {
        // While a decision is being written it is neither used nor free.
        if !self.ready() || self.writing.is_some() || ctx.now < self.team_at {
            return;
        }
        let mut m: BTreeMap<u8, TeamUse> = BTreeMap::new();
        for (i, t) in ctx.cfg.teams.iter().enumerate() {
            if teams::limit(t).is_some() {
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
        for s in ctx.seats() {
            let msg = SeatMsg::TeamUsage { serial: self.team_serial, usage: usage.clone() };
            ctx.send(self.seat, s, msg);
        }
    }

    // ---- messages ------------------------------------------------------------------------

    pub fn handle(&mut self, ctx: &mut Ctx, from: Seat, msg: SeatMsg) {
        match msg {
            SeatMsg::Offers { negotiation, offers, coming } => {
                let current = self
                    .talk
                    .as_mut()
                    .filter(|t| t.id.0 == negotiation)
                    .is_some_and(|t| t.waiting.remove(&from));
                if let Some(t) = self.talk.as_mut().filter(|_| current) {
                    t.coming.extend(coming);
                    t.offers.extend(offers.into_iter().map(|o| (from, o)));
                } else {
                    // Too late: a no is due once the negotiation is over.
                    self.answer_decision(ctx, from, negotiation);
                }
                self.check_talk(ctx);
            }
            SeatMsg::TeamGrant { serial, granted } if serial == self.team_serial => {
                if let Some(o) = ctx.owner(from) {
                    for g in granted {
                        self.grants.insert(g.team, (o.epoch, g.cpu, g.gpu));
                    }
                    ctx.wake = true;
                }
            }
            SeatMsg::AskDecision { negotiation } => self.answer_decision(ctx, from, negotiation),
            SeatMsg::Room { priority } => {
                for j in self.jobs.values_mut().filter(|j| j.wire.priority >= priority) {
                    j.room_somewhere(ctx.now);
                }
                ctx.wake = true;
            }
            SeatMsg::Events { events } if self.ready() => {
                let mut over = Vec::new();
                for e in events {
                    over.extend(self.event(ctx, from, e));
                }
                // The participant keeps telling until it is told to forget.
                if !over.is_empty() {
                    ctx.send(self.seat, from, SeatMsg::Forget { what: over });
                }
            }
            _ => {}
        }
    }

    fn answer_decision(&mut self, ctx: &mut Ctx, from: Seat, negotiation: u64) {
        let open = self.talk.as_ref().is_some_and(|t| t.id.0 == negotiation)
            || self.writing.as_ref().is_some_and(|w| w.negotiation.0 == negotiation);
        if !open {
            ctx.send(self.seat, from, SeatMsg::Close { negotiation });
        }
    }

    /// Returns the attempt if the participant may forget it.
    fn event(&mut self, ctx: &mut Ctx, from: Seat, e: TaskEvent) -> Option<AttemptRef> {
        let now = ctx.now;
        let id = JobId(e.job);
        let what = AttemptRef {
            job: e.job,
            task: e.task,
            attempt: e.attempt,
            machine: e.machine.clone(),
            session: None,
        };
        let over = matches!(e.phase, Phase::Exited(..) | Phase::Gone);
        let known = self.jobs.get(&id).and_then(|j| j.placed.get(e.task)).is_some_and(|p| {
            p.attempt.0 == e.attempt && ctx.names.machine_name(p.machine) == e.machine
        });
        if !known {
            // Already noted as done, but not durably yet: the worker must not forget it.
            let unfolded =
                self.jobs.get(&id).is_some_and(|j| {
                    j.unfolded.iter().any(|u| u.0 == e.task && u.1 .0 == e.attempt)
                }) || self.fold.as_ref().is_some_and(|f| {
                    f.acks.iter().any(|(j, l)| {
                        *j == id && l.iter().any(|u| u.0 == e.task && u.1 .0 == e.attempt)
                    })
                });
            if over {
                return (!unfolded).then_some(what);
            }
            ctx.send(self.seat, from, SeatMsg::Stop { what, grace_s: 0.0 });
            return None;
        }
        let j = self.jobs.get_mut(&id)?;
        if !over {
            j.placed.set_phase(e.task, e.phase);
            // A gang that is to save must be stopped whole, and soon.
            if e.phase == Phase::On(TaskState::Saving) && j.wire.kind == Kind::Gang {
                let grace = j.wire.save_s + 2.0;
                j.placed.stop_rest(grace);
                self.next_resend = now;
                self.resend(ctx);
            }
            return None;
        }
        let p = j.placed.remove(e.task)?;
        if let Phase::Exited(Why::Done, _) = e.phase {
            if j.wire.kind != Kind::Service && !j.cancelled {
                j.errors = 0;
                j.set_done(e.task);
                j.unfolded.push((e.task, p.attempt, p.machine, p.round));
                ctx.wake = true;
                return None;
            }
        }
        match e.phase {
            Phase::Exited(Why::Error | Why::Other | Why::Unknown, _) => {
                j.errors += 1;
                let wait = 500u64 << j.errors.min(7);
                j.not_before = now + if j.errors < 3 { 200 } else { wait };
            }
            Phase::Exited(Why::Full | Why::Busy, _) => j.not_before = now + 300,
            _ => j.not_before = j.not_before.min(now),
        }
        j.give_back(e.task);
        if j.wire.kind == Kind::Gang {
            // Won whole or not at all: the rest of the attempt stops.
            j.placed.stop_rest(0.0);
            self.next_resend = now;
        }
        let empty_leftover = j.cancelled && j.placed.is_empty();
        self.round_less(p.round);
        if empty_leftover {
            self.drop_cancelled(id);
        }
        ctx.wake = true;
        Some(what)
    }

    /// A cancelled job without tasks left: only its final state remains.
    fn drop_cancelled(&mut self, id: JobId) {
        if let Some(j) = self.jobs.remove(&id) {
            if !j.wire.class.is_empty() {
                self.closed.insert(id, (Status::Cancelled, j.done.len()));
            }
        }
    }

    // ---- users ---------------------------------------------------------------------------

    pub fn state(&self, id: JobId) -> Option<JobState> {
        if let Some(f) = self.closed.get(&id) {
            return Some(job_state(id, *f));
        }
        let j = self.jobs.get(&id)?;
        // A leftover stands for a job whose final state is in the store. And a final state that
        // is being written may be there already, and may have been told by a node that read it.
        (!j.wire.class.is_empty() && j.finishing.is_none()).then(|| j.state())
    }

    /// True if the job is known here; the answer follows once it is durable.
    pub fn cancel(&mut self, ctx: &mut Ctx, req: ReqId, id: JobId) -> bool {
        if let Some(f) = self.closed.get(&id) {
            ctx.reply_state(req, 200, job_state(id, *f));
            return true;
        }
        let Some(j) = self.jobs.get_mut(&id) else {
            return false;
        };
        if j.wire.class.is_empty() {
            return false;
        }
        if j.cancelled {
            let s = j.state();
            ctx.reply_state(req, 200, s);
            return true;
        }
        if j.cancel_reqs.len() > 100 {
            ctx.reply_later(req, 503, 1);
            return true;
        }
        j.cancel_reqs.push(req);
        if j.finishing.is_none() && !j.complete() {
            j.finishing = Some(Status::Cancelled);
            self.write_final(ctx, id, Status::Cancelled);
        }
        true
    }

    fn final_changes(&self, id: JobId, status: Status) -> Vec<Change> {
        let Some(j) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let mut v = vec![
            Change::Put {
                key: final_key(self.seat, id),
                value: final_value(status, j.done.len()),
                lease: None,
            },
            Change::Delete { key: job_key(self.seat, id) },
        ];
        if !j.done.is_empty() {
            for c in 0..j.wire.tasks.div_ceil(CHUNK) {
                v.push(Change::Delete { key: run_key(self.seat, id, c) });
            }
        }
        v
    }

    fn write_final(&mut self, ctx: &mut Ctx, id: JobId, status: Status) {
        let changes = self.final_changes(id, status);
        ctx.budget.force(changes.len());
        let kind = OpKind::Finish { seat: self.seat, epoch: self.epoch, job: id };
        ctx.store(kind, StoreCall::Txn(Txn { conds: vec![self.mine()], changes }));
    }

    /// Outcome of writing a cancellation. False: the seat is lost.
    pub fn finished(&mut self, ctx: &mut Ctx, id: JobId, result: StoreResult) -> bool {
        match result {
            StoreResult::Committed(_) => {
                let Some(j) = self.jobs.get_mut(&id) else {
                    return true;
                };
                j.finishing = None;
                j.cancelled = true;
                // What it had done counts no more; its machines may forget it.
                let acks = std::mem::take(&mut j.unfolded);
                j.placed.stop_all();
                let s = j.state();
                let empty = j.placed.is_empty();
                for r in std::mem::take(&mut j.cancel_reqs) {
                    ctx.reply_state(r, 200, s.clone());
                }
                self.acknowledge(ctx, id, acks);
                if empty {
                    self.drop_cancelled(id);
                }
                self.next_resend = 0;
                self.resend(ctx);
            }
            StoreResult::Conflict(_) => return false,
            _ => {
                // It may have been executed: until that is known, the job is neither started
                // further nor called anything. Tried again by the tick.
                if let Some(j) = self.jobs.get_mut(&id) {
                    for r in std::mem::take(&mut j.cancel_reqs) {
                        ctx.reply_later(r, 503, 1);
                    }
                    j.not_before = ctx.now + 500;
                    j.refusals = u32::MAX;
                }
            }
        }
        true
    }

    // ---- folding -------------------------------------------------------------------------

    fn acknowledge(&mut self, ctx: &mut Ctx, id: JobId, acks: Vec<DoneOn>) {
        let mut by_seat: BTreeMap<Seat, Vec<AttemptRef>> = BTreeMap::new();
        for (task, attempt, m, round) in acks {
            self.round_less(round);
            let machine = ctx.names.machine_name(m).to_string();
            let seat = ctx.seat_of_machine(&machine);
            let what = AttemptRef { job: id.0, task, attempt: attempt.0, machine, session: None };
            by_seat.entry(seat).or_default().push(what);
        }
        for (seat, all) in by_seat {
            for c in all.chunks(200) {
                ctx.send(self.seat, seat, SeatMsg::Forget { what: c.to_vec() });
            }
        }
    }

    /// Writes what is done, and deletes decisions that nothing depends on any more.
    fn start_fold(&mut self, ctx: &mut Ctx) {
        if !self.ready() || self.fold.is_some() || ctx.now < self.fold_after || !ctx.valid {
            return;
        }
        let most = ctx.cfg.txn_ops.min(ctx.budget.available());
        let mut f =
            Fold { chunks: Vec::new(), acks: Vec::new(), finals: Vec::new(), rounds: Vec::new() };
        let mut changes: Vec<Change> = Vec::new();
        let mut bytes = 0;
        let full = |c: &Vec<Change>, b: usize, n: usize| c.len() + n > most || b > 40_000;
        let done: Vec<JobId> = self
            .jobs
            .values()
            .filter(|j| j.complete() && j.finishing != Some(Status::Cancelled) && !j.cancelled)
            .map(|j| j.id)
            .collect();
        for id in done {
            let c = self.final_changes(id, Status::Done);
            if full(&changes, bytes, c.len()) {
                break;
            }
            changes.extend(c);
            if let Some(j) = self.jobs.get_mut(&id) {
                j.finishing = Some(Status::Done);
                f.acks.push((id, std::mem::take(&mut j.unfolded)));
            }
            f.finals.push((id, Status::Done));
        }
        let seat = self.seat;
        for j in self.jobs.values_mut() {
            if j.dirty.is_empty() || j.cancelled || j.finishing.is_some() || j.complete() {
                continue;
            }
            if full(&changes, bytes, j.dirty.len()) {
                break;
            }
            let chunks: Vec<u32> = std::mem::take(&mut j.dirty).into_iter().collect();
            for &c in &chunks {
                let text = j.done.encode_chunk(c);
                bytes += text.len();
                let key = run_key(seat, j.id, c);
                changes.push(Change::Put { key, value: Value::String(text), lease: None });
            }
            f.chunks.push((j.id, chunks));
            f.acks.push((j.id, std::mem::take(&mut j.unfolded)));
        }
        while changes.len() < most {
            let Some(key) = self.finished_rounds.pop() else {
                break;
            };
            changes.push(Change::Delete { key: key.clone() });
            f.rounds.push(key);
        }
        if changes.is_empty() {
            return;
        }
        // Deletions alone can wait for company.
        if f.finals.is_empty() && f.chunks.is_empty() && changes.len() < most.min(8) {
            self.finished_rounds.append(&mut f.rounds);
            return;
        }
        self.fold_after = ctx.now + if f.finals.is_empty() { 1200 } else { FOLD_MS };
        ctx.budget.force(changes.len());
        self.fold = Some(f);
        let kind = OpKind::Fold { seat: self.seat, epoch: self.epoch };
        ctx.store(kind, StoreCall::Txn(Txn { conds: vec![self.mine()], changes }));
    }

    /// False: the seat is lost.
    pub fn folded(&mut self, ctx: &mut Ctx, result: StoreResult) -> bool {
        let Some(f) = self.fold.take() else {
            return true;
        };
        match result {
            StoreResult::Committed(_) => {
                for (id, acks) in f.acks {
                    self.acknowledge(ctx, id, acks);
                }
                for (id, status) in f.finals {
                    if let Some(j) = self.jobs.remove(&id) {
                        let fin = (status, j.done.len());
                        for r in j.cancel_reqs {
                            ctx.reply_state(r, 200, job_state(id, fin));
                        }
                        self.closed.insert(id, fin);
                    }
                }
            }
            StoreResult::Conflict(_) => return false,
            _ => {
                // Every change of a fold may be repeated: whatever happened, try again.
                self.fold_after = ctx.now + 500;
                self.finished_rounds.extend(f.rounds);
                for (id, chunks) in f.chunks {
                    if let Some(j) = self.jobs.get_mut(&id) {
                        j.dirty.extend(chunks);
                    }
                }
                for (id, acks) in f.acks {
                    if let Some(j) = self.jobs.get_mut(&id) {
                        j.unfolded.extend(acks);
                    }
                }
                // The final states, perhaps written, stay in the making and are tried again.
            }
        }
        true
    }

    // ---- time ----------------------------------------------------------------------------

    fn resend(&mut self, ctx: &mut Ctx) {
        if !self.ready() || ctx.now < self.next_resend {
            return;
        }
        self.next_resend = ctx.now + 500;
        let now = ctx.now;
        let mut yes: BTreeMap<(Seat, JobId, bool), Yes> = BTreeMap::new();
        let mut stops = Vec::new();
        let mut fresh = Vec::new();
        for s in ctx.seats() {
            let e = ctx.owner(s).map_or(Epoch(0), |o| o.epoch);
            fresh.push(e != self.part_epochs[s.0 as usize]);
            self.part_epochs[s.0 as usize] = e;
        }
        for j in self.jobs.values_mut() {
            let id = j.id;
            for (task, p) in j.placed.iter_mut() {
                let seat = p.part;
                let renew = fresh[seat.0 as usize];
                let attempt = p.attempt.0;
                if let Some((grace_s, sent)) = &mut p.stop {
                    if renew || now >= *sent + RESEND_MS {
                        *sent = now;
                        let machine = ctx.names.machine_name(p.machine).to_string();
                        let what = AttemptRef {
                            job: id.0,
                            task,
                            attempt,
                            machine,
                            session: Some(p.session),
                        };
                        stops.push((seat, SeatMsg::Stop { what, grace_s: *grace_s }));
                    }
                    continue;
                }
                if j.cancelled {
                    p.stop = Some((0.0, 0));
                    continue;
                }
                if renew || (p.phase == Phase::Decided && now >= p.sent_at + RESEND_MS) {
                    p.sent_at = now;
                    let e = yes
                        .entry((seat, id, p.adopted))
                        .or_insert_with(|| (j.shape.wire.clone(), Vec::new()));
                    e.1.push(Pick {
                        task,
                        attempt,
                        machine: ctx.names.machine_name(p.machine).to_string(),
                        session: p.session,
                    });
                }
            }
        }
        for ((seat, job, adopt), (shape, picks)) in yes {
            for c in picks.chunks(200) {
                let picks = c.to_vec();
                ctx.send(
                    self.seat,
                    seat,
                    SeatMsg::Place { job: job.0, shape: shape.clone(), picks, adopt },
                );
            }
        }
        for (seat, msg) in stops {
            ctx.send(self.seat, seat, msg);
        }
    }

    pub fn tick(&mut self, ctx: &mut Ctx) {
        self.load_step(ctx);
        if !self.ready() {
            return;
        }
        let again: Vec<JobId> = self
            .jobs
            .values_mut()
            .filter(|j| {
                j.finishing == Some(Status::Cancelled)
                    && j.refusals == u32::MAX
                    && ctx.now >= j.not_before
            })
            .map(|j| {
                j.refusals = 0;
                j.id
            })
            .collect();
        for id in again {
            if ctx.valid {
                self.write_final(ctx, id, Status::Cancelled);
            } else if let Some(j) = self.jobs.get_mut(&id) {
                j.refusals = u32::MAX;
            }
        }
        self.check_talk(ctx);
        self.write_decision(ctx);
        self.resend(ctx);
        self.start_fold(ctx);
        self.report_teams(ctx);
        self.start_round(ctx);
    }

    /// Work without a place, for the buyer.
    pub fn lacks(&self, ctx: &Ctx) -> Vec<Lack> {
        if !self.ready() {
            return Vec::new();
        }
        self.jobs
            .values()
            .filter(|j| !j.cancelled && j.finishing.is_none() && j.pending() > 0 && j.errors < 4)
            .take(60)
            .map(|j| Lack {
                job: j.id.0,
                shape: j.shape.wire.clone(),
                count: j.pending(),
                zone_room: j.zone_room(&ctx.names.zones),
                waited_ms: ctx.now.saturating_sub(j.created),
                pressing: j.pressing(ctx.now),
            })
            .collect()
    }

    /// The seat is lost: whoever waits for an answer has to ask again.
    pub fn abandon(&mut self, ctx: &mut Ctx) {
        for j in self.jobs.values_mut() {
            for r in std::mem::take(&mut j.cancel_reqs) {
                ctx.reply_later(r, 503, 1);
            }
        }
    }
}

pub fn known(state: JobState, created: bool) -> UserReply {
    UserReply {
        status: if created { 201 } else { 200 },
        state: Some(state),
        error: None,
        retry_after_s: None,
    }
}
