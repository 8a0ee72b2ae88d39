//! The seeded simulator: three cores, late, lost and held messages, crashes, hung machines,
//! outages. Time is simulated; the same seed gives the same run.
use crate::fingerprint::Fingerprint;
use crate::gangs::Gangs;
use crate::rules::Rules;
use crate::script::{Fault, Marks, Moment, Written};
use crate::served::Share;
use crate::state::{Broken, State};
use crate::tally::Tally;
use crate::told::{Question, What};
use crate::worker::{Done, Worker};
use endings::Ending;
use kept::Keeper;
use leaddeal_core::ids::{shard_of_job, JobId, Shard};
use leaddeal_core::io::{
    CloudCall, CloudResult, CommandOutcome, Effect, Input, StoreCall, StoreResult, WorkerReply,
};
use leaddeal_core::{keys, Node};
use leaddeal_wire::cloud::{
    Catalog, Instance, InstanceList, InstanceRequest, InstanceStatus, MachineType,
};
use leaddeal_wire::settings::{Settings, Team};
use leaddeal_wire::state::{Change, Transaction};
use leaddeal_wire::user::{parse_job_id, Job, Kind, Priority, Status};
use leaddeal_wire::worker::{HeartbeatResponse, TaskState, WorkerHeartbeat};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use troubles::Troubles;

mod endings;
mod faults;
mod kept;
mod looks;
mod network;
mod teams;
mod troubles;
mod users;

pub use teams::Teams;

pub const NODES: usize = 3;
/// Time of the beginning.
pub const BEGIN: u64 = 10_000;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Milliseconds until a controller is started again, where that is quick.
const QUICK: std::ops::Range<u64> = 20..900;
/// Between two looks at the gangs.
const GANGS_MS: u64 = 100;
/// Controllers' time of day is off by so much at the most, in milliseconds.
const WALL_OFF: u64 = 25;

/// What is broken on purpose, to see that the checker notices.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sabotage {
    None,
    /// The state service does not look at conditions: epochs fence nothing.
    NoFence,
    /// The core believes that workers' leases are much shorter than they are.
    ShortLease,
    /// The cores' clocks run three times too fast: after a takeover a silent machine is called
    /// lost while its lease still runs.
    HastyClock,
    /// The state service forgets decisions, as if they were folded away before what became of
    /// them is durable.
    LostDecisions,
    /// Nobody who asks about a job of one shard gets an answer.
    Mute,
    /// The core believes that a cancellation may take ten times as long as it may.
    LongCancel,
    /// Requests for machines are named without the epoch, so that a new provisioner uses old names.
    NameTwice,
    /// The state service gives single keys as they were a moment ago.
    StaleReads,
    /// What a submission lacks is made up, and one that can never run is called malformed.
    Misread,
    /// Cancellations come to the core as questions.
    Misroute,
    /// The core believes that teams have no limits.
    NoLimits,
    /// Commands to stop a task never reach its machine.
    LostStops,
    /// What teams are granted is told to no other controller.
    NoGrants,
    /// Gangs start without their last task.
    EagerGangs,
    /// The core believes that teams may use twice as many GPUs.
    LooseGpus,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub seconds: u64,
    pub faults: bool,
    pub sabotage: Sabotage,
    pub team_max: f64,
    /// So many times the usual machines and tasks; above 1 also GPU machines and gangs for them.
    pub scale: u32,
    /// An array has fewer tasks than this.
    pub array: u32,
    /// So many times the usual submissions.
    pub rate: u32,
    pub counted: bool,
    /// Faults at set times, in milliseconds from the beginning.
    pub script: Vec<(u64, Fault)>,
    /// Jobs that are in the store from the beginning: over, and open.
    pub closed: u64,
    pub open: u64,
    /// Changes a second that the state service takes; none: any.
    pub store: Option<f64>,
    /// A controller that ended is started again within a second at the most, each time.
    pub quick: bool,
    /// Of the workers.
    pub lease_ms: u64,
    /// So many seconds without any trouble follow those of the plan.
    pub calm: u64,
    /// Tasks run for one to two minutes.
    pub long: bool,
    /// In the store there are records from the beginning that do not decode, of each kind.
    pub garbled: bool,
    /// A gang has so many tasks at the most.
    pub gangs: u32,
    /// So many of the arrays and gangs want all their tasks in one zone.
    pub one_zone: f64,
    pub teams: Teams,
    /// All that is sent takes so much longer.
    pub slow_ms: u64,
}

impl Plan {
    pub fn new(seed: u64) -> Plan {
        Plan {
            seed,
            seconds: 240,
            faults: true,
            sabotage: Sabotage::None,
            team_max: 6.0,
            scale: 1,
            array: 12,
            rate: 1,
            counted: false,
            script: Vec::new(),
            closed: 0,
            open: 0,
            store: None,
            quick: false,
            lease_ms: 8000,
            calm: 0,
            long: false,
            garbled: false,
            gangs: 4,
            one_zone: 0.3,
            teams: Teams::Three,
            slow_ms: 0,
        }
    }

    /// Every controller ends twenty times within a minute, and is back within a second.
    pub fn storm(seed: u64) -> Plan {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5707);
        let mut script = Vec::new();
        for node in 0..NODES {
            for _ in 0..20 {
                let back_ms = rng.random_range(QUICK);
                let at = rng.random_range(40_000..100_000);
                script.push((at, Fault::Crash { nodes: vec![node], back_ms }));
            }
        }
        Plan { script, quick: true, ..Plan::new(seed) }
    }

    /// A fleet of the size of a large deployment, without faults, counted.
    pub fn large(seed: u64) -> Plan {
        let large = Plan { scale: 20, array: 240, rate: 4, ..Plan::new(seed) };
        let large = Plan { gangs: 1, teams: Teams::One, ..large };
        Plan { faults: false, team_max: 600.0, counted: true, ..large }
    }

    /// A fleet with its work, so many times: what grows with it should grow no faster.
    pub fn fleet(seed: u64, times: u32) -> Plan {
        let team_max = 300.0 * f64::from(times);
        let fleet = Plan { scale: 10 * times, array: 60, rate: 4 * times, ..Plan::large(seed) };
        Plan { team_max, seconds: 60, ..fleet }
    }
}

enum Ev {
    Tick(usize, u64),
    In(usize, u64, Input),
    Store(usize, u64, u64, StoreCall),
    Watch(usize, u64, u64, String, u64, u64),
    Worker(String),
    Report(usize, String, u64, WorkerHeartbeat),
    Answered(String, u64, u64, Option<WorkerReply>),
    Direct(usize, u64, String, u64, leaddeal_wire::worker::CommandBatch, bool),
    Up(String),
    Restart(usize),
    Fault,
    Scripted(Fault),
    Calm,
    Known,
    Gangs,
    UserNext,
    Poll(String),
    Cancel(String),
    /// Again, until the cancellation is answered.
    Insist(String),
    /// At this controller.
    Look(usize, What, String),
    Gaze,
    Odd(u64),
    One(u64),
}

enum Req {
    User(Question),
    Report(String, u64, u64),
}

pub struct Sim {
    plan: Plan,
    /// Prints what happens.
    pub trace: bool,
    rng: SmallRng,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Ev>,
    nodes: Vec<Option<Node>>,
    boots: Vec<(u64, u64)>,
    cut: Vec<bool>,
    blind: Vec<bool>,
    /// A node without processor time until then: what comes for it waits.
    stalled: Vec<u64>,
    apart_until: u64,
    /// By controller: until when it is cut from workers, and from all but workers and users.
    shut: Vec<u64>,
    lone: Vec<u64>,
    /// Until when the state service refuses it alone.
    refused: Vec<u64>,
    troubles: Troubles,
    keeper: Keeper,
    endings: Vec<Ending>,
    polls_until: u64,
    pub marks: Marks,
    /// What went into the cores and came out, if that is counted.
    pub tally: Option<Tally>,
    /// Of all that came out of the cores.
    pub fingerprint: Fingerprint,
    looks: u64,
    outage_until: u64,
    state: State,
    workers: BTreeMap<String, Worker>,
    /// By the request's name: what was asked for and given.
    rented: HashMap<String, (InstanceRequest, Vec<String>)>,
    /// Machines that were rented and have not come up, since when.
    starting: BTreeMap<String, (InstanceRequest, u64)>,
    next_machine: u64,
    spare: u32,
    reqs: HashMap<(usize, u64, u64), Req>,
    next_req: u64,
    gaze: looks::Gaze,
    pub rules: Rules,
    pub done: Done,
    pub gangs: Gangs,
    next_job: u64,
    /// Delivery times by link, to keep the order of a connection.
    links: HashMap<(usize, usize), u64>,
}

pub fn settings(node: usize, plan: &Plan) -> Settings {
    let peers: Vec<_> = (0..NODES)
        .filter(|&i| i != node)
        .map(|i| {
            serde_json::json!({"node_name": format!("n-{i}"), "zone": "a",
                               "address": format!("10.0.0.{}:81", i + 1)})
        })
        .collect();
    let v = serde_json::json!({
        "node_name": format!("n-{node}"), "zone": "a",
        "serve_on": "10.0.0.1:80", "mesh_addr": "10.0.0.1:81", "siblings": peers,
        "external": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"},
        "cluster": {
            "count": 3, "zones": ZONES,
            "teams": plan.teams(),
            "objectives": [],
            "workers": {"report_s": 1.5, "lease_s": 8.0, "gang_wait_s": 40.0,
                        "gang_peer_s": 8.0, "cancel_s": 30.0},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 5.0, "list_lag_s": 3.0},
            "resources": {}
        }
    });
    Settings::parse(&v.to_string()).expect("the simulator's own settings")
}

fn types(with_gpus: bool) -> Vec<MachineType> {
    let small = MachineType {
        name: "small".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 0.5,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 5.0,
        zones: ZONES.iter().map(ToString::to_string).collect(),
    };
    if !with_gpus {
        return vec![small];
    }
    let (name, price) = ("gpu".into(), 6.0);
    let gpu = MachineType { name, cpus: 12.0, gpus: 2.0, memory_gb: 48.0, price, ..small.clone() };
    vec![small, gpu]
}

impl Sim {
    pub fn new(plan: Plan) -> Sim {
        let mut s = Sim {
            trace: std::env::var("LEADDEAL_TRACE").is_ok(),
            rng: SmallRng::seed_from_u64(plan.seed),
            now: BEGIN,
            order: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            nodes: (0..NODES).map(|_| None).collect(),
            boots: vec![(0, 0); NODES],
            cut: vec![false; NODES],
            blind: vec![false; NODES],
            stalled: vec![0; NODES],
            apart_until: 0,
            shut: vec![0; NODES],
            lone: vec![0; NODES],
            refused: vec![0; NODES],
            troubles: Troubles::default(),
            keeper: Keeper::default(),
            endings: Vec::new(),
            polls_until: 0,
            marks: Marks::default(),
            tally: plan.counted.then(Tally::default),
            fingerprint: Fingerprint::default(),
            looks: 0,
            outage_until: 0,
            state: State::new(match plan.sabotage {
                Sabotage::NoFence => Broken::Conditions,
                Sabotage::LostDecisions => Broken::Decisions,
                Sabotage::StaleReads => Broken::Stale,
                _ => Broken::Nothing,
            }),
            workers: BTreeMap::new(),
            rented: HashMap::new(),
            starting: BTreeMap::new(),
            next_machine: 0,
            spare: 6 * plan.scale,
            reqs: HashMap::new(),
            next_req: 0,
            gaze: looks::Gaze::default(),
            rules: Rules::new(settings(0, &plan).params.teams, 30_000),
            done: Done::default(),
            gangs: Gangs::new(plan.sabotage == Sabotage::EagerGangs),
            next_job: 0,
            links: HashMap::new(),
            plan,
        };
        for i in 0..9 * s.plan.scale as usize {
            let name = s.machine_name();
            let kind = if s.plan.scale > 1 && i % 5 == 4 { "gpu" } else { "small" };
            s.boot_machine(&name, kind, ZONES[i % 3], i % 4 == 3);
        }
        s.boot_gpu_machines();
        s.preload();
        s.state.limit = s.plan.store;
        s.state.repeatable = None;
        for n in 0..NODES {
            s.start(n);
        }
        for (at, f) in s.plan.script.clone() {
            s.at(at, Ev::Scripted(f));
        }
        s.at(2000, Ev::UserNext);
        if s.plan.gangs > 1 {
            s.at(GANGS_MS, Ev::Gangs);
        }
        if s.plan.faults {
            s.at(8000, Ev::Fault);
            s.at(9000, Ev::Gaze);
        }
        if s.plan.calm > 0 {
            let quiet = !s.plan.faults && s.plan.script.is_empty();
            s.at(if quiet { 0 } else { s.plan.seconds * 1000 }, Ev::Calm);
        }
        s
    }

    /// Tasks of services that run somewhere and are wanted.
    pub fn replicas(&self) -> BTreeSet<String> {
        let wanted = |task: &str| {
            let job = task.split('/').next().unwrap_or_default();
            self.rules.jobs.get(job).is_some_and(|j| j.kind == Kind::Service)
                && !self.rules.cancel_asked.contains(job)
        };
        let up = self.workers.values().filter(|w| !w.gone && self.now >= w.hang_until);
        up.flat_map(|w| &w.tasks)
            .filter(|((task, _), t)| t.state == TaskState::Running && wanted(task))
            .map(|((task, _), _)| task.clone())
            .collect()
    }

    /// Who is under half served, of the jobs asked for until the troubles ended. What a team's limit
    /// holds back had no room.
    pub fn under_half(&self) -> Vec<Share> {
        let unlimited = |t: &&Team| t.cpus_max == 0.0 && t.gpus_max == 0.0;
        let free = self.rules.teams.iter().filter(unlimited).map(|t| t.name.as_str()).collect();
        let shares = self.rules.served.shares(BEGIN + self.plan.seconds * 1000, &free);
        shares.into_iter().filter(Share::under_half).collect()
    }

    /// Whether its user still wants the task's job.
    pub fn wanted(&self, task: &str) -> bool {
        !self.rules.cancel_asked.contains(task.split('/').next().unwrap_or_default())
    }

    /// Whose users still were not told, so long after it, that their jobs are done, or called off as they
    /// asked.
    pub fn untold(&self, ms: u64) -> Vec<String> {
        self.rules.untold(self.now, ms, &self.done)
    }

    /// Workers whose lease ran out, each time counted.
    pub fn leases_ended(&self) -> u64 {
        self.workers.values().filter(|w| !w.gone).map(|w| w.incarnation - 1).sum()
    }

    /// What the state service was asked for: changes taken, transactions refused, keys under a
    /// prefix.
    pub fn store(&self, prefix: &str) -> (u64, u64, usize) {
        (self.state.changes, self.state.refused, self.state.count(prefix))
    }

    fn at(&mut self, delay: u64, e: Ev) {
        self.order += 1;
        self.queue.push(Reverse((self.now + delay, self.order)));
        self.events.insert(self.order, e);
    }

    fn start(&mut self, n: usize) {
        let true_s = self.plan.lease_ms as f64 / 1000.0;
        let lease = if self.plan.sabotage == Sabotage::ShortLease { 0.4 } else { true_s };
        let mut s = settings(n, &self.plan);
        s.params.workers.lease_s = lease;
        for t in &mut s.params.teams {
            t.gpus_max *= if self.plan.sabotage == Sabotage::LooseGpus { 2.0 } else { 1.0 };
        }
        if self.plan.sabotage == Sabotage::LongCancel {
            s.params.workers.cancel_s *= 10.0;
        }
        if self.plan.sabotage == Sabotage::NoLimits {
            s.params.teams.iter_mut().for_each(|t| t.cpus_max = 0.0);
        }
        self.boots[n] = (self.now, self.boots[n].1 + 1);
        let wall = self.wall_ms();
        self.nodes[n] = Some(Node::new(&s, wall, 1));
        let boot = self.boots[n].1;
        self.at(1, Ev::Tick(n, boot));
    }

    /// A controller's time of day, which wanders within its bound, and back; not on quiet days.
    fn wall_ms(&mut self) -> u64 {
        if !self.plan.faults {
            return self.now;
        }
        self.now + self.rng.random_range(0..2 * WALL_OFF) - WALL_OFF
    }

    fn alive(&self, n: usize, boot: u64) -> bool {
        self.nodes[n].is_some() && self.boots[n].1 == boot
    }

    fn step(&mut self, n: usize, input: Input) -> Result<(), String> {
        // Steady clocks drift apart by up to 0.05%.
        let ran = self.now - self.boots[n].0;
        let hasty = if self.plan.sabotage == Sabotage::HastyClock { 3 } else { 1 };
        let now = (ran + ran * n as u64 / 4000) * hasty + 1;
        let wall = self.wall_ms();
        let Some(node) = self.nodes[n].as_mut() else { return Ok(()) };
        if let Some(t) = &mut self.tally {
            t.input(&input);
        }
        let outputs = node.step(now, wall, input);
        for o in outputs {
            if let Some(t) = &mut self.tally {
                t.output(&o);
            }
            self.fingerprint.add(n, now, &o);
            self.output(n, o)?;
        }
        Ok(())
    }

    fn handle(&mut self, e: Ev) -> Result<(), String> {
        match e {
            Ev::Tick(n, boot) => {
                if self.alive(n, boot) {
                    self.step(n, Input::Tick)?;
                    self.at(100, Ev::Tick(n, boot));
                }
            }
            Ev::In(n, boot, input) => {
                if self.alive(n, boot) {
                    self.step(n, input)?;
                }
            }
            Ev::Store(n, boot, op, call) => {
                let flaky = self.troubles.flaky.strike(self.now, &mut self.rng);
                let refused = flaky || self.refuses(n);
                let cut = self.cut[n] || self.now < self.lone[n];
                let mut result = if refused || cut {
                    if cut {
                        StoreResult::Unknown
                    } else {
                        StoreResult::Refused
                    }
                } else {
                    self.state.call(self.now, &call)
                };
                if let (StoreCall::Transaction(t), StoreResult::Committed(_)) = (&call, &result) {
                    self.note_finals(t);
                }
                // An answer that is lost: executed, but the node does not know.
                if self.plan.faults && self.rng.random_range(0..60) == 0
                    || self.answer_lost(n, &call, &result)
                {
                    result = StoreResult::Unknown;
                }
                if let Some(t) = &self.state.repeatable {
                    return Err(format!("written_again: a late copy would do it again: {t}"));
                }
                self.marks.store_calls += 1;
                self.marks.pages += u64::from(matches!(result, StoreResult::Page(_)));
                let slow = self.troubles.slow_store.now(self.now).unwrap_or(0);
                let known = !matches!(result, StoreResult::Unknown);
                let lag = if known { self.lag() + slow } else { 2000 };
                self.at(lag, Ev::In(n, boot, Input::Store { op, result }));
            }
            Ev::Watch(n, boot, op, prefix, after, until) => {
                if !self.alive(n, boot) {
                    return Ok(());
                }
                if self.troubles.no_watch.now(self.now).is_some() {
                    let result = StoreResult::Refused;
                    self.at(5, Ev::In(n, boot, Input::Store { op, result }));
                    return Ok(());
                }
                let cut = self.cut[n] || self.now < self.lone[n];
                let shut = self.refuses(n) || cut;
                if !shut {
                    self.state.expire(self.now);
                }
                let e = self.state.events(&prefix, after);
                if !shut && (!e.events.is_empty() || self.now >= until) {
                    let lag = self.lag();
                    let result = StoreResult::Events(e);
                    self.at(lag, Ev::In(n, boot, Input::Store { op, result }));
                } else {
                    self.at(50, Ev::Watch(n, boot, op, prefix, after, until));
                }
            }
            Ev::Worker(m) => self.worker(&m)?,
            Ev::Report(n, m, sent, r) => {
                let held = self.held_back(&m, n);
                if held > 0 {
                    self.at(held, Ev::Report(n, m, sent, r));
                    return Ok(());
                }
                if self.nodes[n].is_some() && !self.cut[n] && self.now >= self.shut[n] {
                    self.next_req += 1;
                    let req = self.next_req;
                    let incarnation = r.incarnation;
                    let boot = self.boots[n].1;
                    self.reqs.insert((n, boot, req), Req::Report(m, sent, incarnation));
                    self.step(n, Input::WorkerHeartbeat { req, report: Box::new(r) })?;
                }
            }
            Ev::Answered(m, sent, incarnation, reply) => {
                self.answered(&m, sent, incarnation, reply)
            }
            Ev::Direct(n, boot, m, batch, d, lost) => {
                let held = self.held_back(&m, n);
                if held > 0 {
                    if !lost {
                        let outcome = CommandOutcome::Unknown;
                        let input = Input::CommandOutcome { machine: m.clone(), batch, outcome };
                        self.at(2500, Ev::In(n, boot, input));
                    }
                    self.at(held, Ev::Direct(n, boot, m, batch, d, true));
                    return Ok(());
                }
                if self.now < self.shut[n] && !lost {
                    let outcome = CommandOutcome::NotSent;
                    let input = Input::CommandOutcome { machine: m, batch, outcome };
                    self.at(800, Ev::In(n, boot, input));
                    return Ok(());
                }
                let jobs = &self.rules.jobs;
                let Some(w) = self.workers.get_mut(&m) else { return Ok(()) };
                if w.gone {
                    return Ok(());
                }
                // A machine that hangs takes it in when it wakes up; to one that is deaf it may come or
                // not, later than whoever sent it waits.
                let (hangs, until) = (self.now < w.hang_until, w.hang_until.max(w.deaf_until));
                if self.now < until {
                    if !lost {
                        let outcome = CommandOutcome::Unknown;
                        let input = Input::CommandOutcome { machine: m.clone(), batch, outcome };
                        self.at(2500, Ev::In(n, boot, input));
                    }
                    if hangs || self.rng.random_bool(0.5) {
                        let later = until - self.now + 1;
                        self.at(later, Ev::Direct(n, boot, m, batch, d, true));
                    }
                    return Ok(());
                }
                w.advance(self.now, &mut self.done, jobs);
                let good = d.token >= w.token && d.incarnation == w.incarnation;
                if good {
                    w.changed |= d.token > w.token;
                    w.token = d.token;
                    w.execute(self.now, &d.orders, jobs);
                    w.advance(self.now, &mut self.done, jobs);
                }
                let r = Box::new(w.report());
                if !lost && !self.cut[n] {
                    let outcome =
                        if good { CommandOutcome::Executed(r) } else { CommandOutcome::Refused(r) };
                    let lag = self.lag();
                    let input = Input::CommandOutcome { machine: m, batch, outcome };
                    self.at(lag, Ev::In(n, boot, input));
                } else if !lost {
                    let outcome = CommandOutcome::Unknown;
                    let input = Input::CommandOutcome { machine: m, batch, outcome };
                    self.at(2500, Ev::In(n, boot, input));
                }
            }
            Ev::Up(what) => {
                let mut p = what.split(' ');
                if let (Some(name), Some(zone), Some(spot), Some(kind)) =
                    (p.next(), p.next(), p.next(), p.next())
                {
                    if self.starting.remove(name).is_none() {
                        return Ok(());
                    }
                    self.boot_machine(name, kind, zone, spot == "true");
                }
            }
            Ev::Restart(n) => self.start(n),
            Ev::Fault => self.fault(),
            Ev::Scripted(f) => self.scripted(f),
            Ev::Calm => self.calm(),
            Ev::Known => {
                self.at(1000, Ev::Known);
                self.rules.known(self.now)?;
                self.rules.neglected(self.now, &self.workers, &self.done)?;
            }
            Ev::Gangs => {
                self.at(GANGS_MS, Ev::Gangs);
                let (workers, jobs) = (&mut self.workers, &self.rules.jobs);
                self.gangs.advance(self.now, workers, jobs, &mut self.done);
                let (jobs, workers) = (&self.rules.jobs, &self.workers);
                self.rules.together.check(self.now, jobs, workers, &self.done)?;
            }
            Ev::UserNext => self.user_next()?,
            Ev::Poll(id) => self.poll(id)?,
            Ev::Cancel(id) => self.cancel(id)?,
            Ev::Insist(id) => self.insist(id)?,
            Ev::Look(n, what, id) => self.ask_at(n, what, &id)?,
            Ev::Gaze => self.gaze(),
            Ev::Odd(until) => self.odd_request(until)?,
            Ev::One(until) => self.one(until)?,
        }
        Ok(())
    }

    /// How often the cores that live looked at a machine to judge it for a job.
    pub fn looked(&self) -> u64 {
        self.nodes.iter().flatten().map(Node::looked).sum()
    }

    /// Whether the state service refuses this controller now.
    fn refuses(&self, n: usize) -> bool {
        self.blind[n] || self.now < self.outage_until.max(self.refused[n])
    }

    /// What comes for a node that gets no processor time waits.
    fn waits(&mut self, e: Ev) -> Option<Ev> {
        let n = match e {
            Ev::Tick(n, _) | Ev::In(n, ..) | Ev::Report(n, ..) => n,
            _ => return Some(e),
        };
        if self.now >= self.stalled[n] {
            return Some(e);
        }
        let wait = self.stalled[n] - self.now;
        self.at(wait, e);
        None
    }

    /// Runs to the end of the plan; an error names the broken rule and how to see it again.
    pub fn run(&mut self) -> Result<(), String> {
        self.run_to((self.plan.seconds + self.plan.calm) * 1000)
    }

    /// Runs until so many milliseconds after the beginning.
    pub fn run_to(&mut self, ms: u64) -> Result<(), String> {
        let end = BEGIN + ms;
        let mut outage = false;
        while let Some(&Reverse((t, id))) = self.queue.peek() {
            if t > end {
                break;
            }
            self.queue.pop();
            self.now = t;
            if outage && t >= self.outage_until {
                self.state.renew_all(t);
            }
            outage = t < self.outage_until;
            if !outage {
                self.state.expire(t);
            }
            let Some(e) = self.events.remove(&id) else { continue };
            let Some(e) = self.waits(e) else { continue };
            let look = matches!(e, Ev::Worker(_) | Ev::Answered(..) | Ev::Direct(..));
            // A large fleet is looked at less often, or the checks would take all the time.
            self.looks += u64::from(look);
            let look = look && self.looks.is_multiple_of(u64::from(self.plan.scale).pow(2));
            let handled = self.handle(e);
            self.ends();
            let checked = if look { self.rules.check(self.now, &self.workers) } else { Ok(()) };
            handled.and(checked).map_err(|e| {
                format!("at {} ms: {e}\nagain: Sim::new({:?}).run()", self.now, self.plan)
            })?;
        }
        Ok(())
    }
}

impl Drop for Sim {
    fn drop(&mut self) {
        self.fingerprint.append_to_file(self.plan.seed);
    }
}
