//! What controllers send, and to whom it comes: workers, the cloud, the state service, siblings.
use super::*;
use leaddeal_wire::mesh::{NodeMessage, ShardMessage};

fn grants(msg: &NodeMessage) -> bool {
    matches!(msg, NodeMessage::Shard { msg: ShardMessage::TeamGrant { .. }, .. })
}

impl Sim {
    pub(super) fn machine_name(&mut self) -> String {
        self.next_machine += 1;
        format!("n-{:06}", self.next_machine)
    }

    pub(super) fn boot_machine(&mut self, name: &str, kind: &str, zone: &str, spot: bool) {
        let mut w = Worker::new(name, kind, zone, spot, self.now, self.plan.lease_ms);
        if let Some(t) = types(self.plan.has_gpus()).iter().find(|t| t.name == kind) {
            (w.cpus, w.gpus) = (t.cpus, t.gpus);
        }
        w.unstoppable = self.plan.sabotage == Sabotage::LostStops;
        w.node = self.rng.random_range(0..NODES);
        self.workers.insert(name.into(), w);
        self.at(10, Ev::Worker(name.into()));
    }

    pub(super) fn lag(&mut self) -> u64 {
        self.plan.slow_ms
            + match self.rng.random_range(0..100) {
                0..90 => self.rng.random_range(1..6),
                90..99 => self.rng.random_range(5..60),
                _ if self.plan.faults => self.rng.random_range(60..900),
                _ => 20,
            }
    }

    pub(super) fn output(&mut self, n: usize, o: Effect) -> Result<(), String> {
        let boot = self.boots[n].1;
        let lag = self.lag();
        match o {
            Effect::User { req, reply } => {
                if let Some(Req::User(q)) = self.reqs.remove(&(n, boot, req)) {
                    self.answer(&q, &reply)?;
                }
            }
            Effect::Worker { req, reply } => {
                if let Some(Req::Report(m, sent, incarnation)) = self.reqs.remove(&(n, boot, req)) {
                    let reaches = !self.cut[n] && self.now >= self.shut[n];
                    let reply = reaches.then_some(reply);
                    self.at(lag, Ev::Answered(m, sent, incarnation, reply));
                }
            }
            Effect::Mesh { to, msg } => {
                let to: usize = to[2..].parse().map_err(|_| "bad node name".to_string())?;
                let from = format!("n-{n}");
                let alone = |n: usize| self.cut[n] || self.now < self.lone[n];
                let between = self.troubles.parted(n, to, self.now);
                let unsaid = self.plan.sabotage == Sabotage::NoGrants && grants(&msg);
                let apart = self.now < self.apart_until;
                let lost = alone(n) || alone(to) || between || apart || unsaid;
                if !lost && self.nodes[to].is_some() {
                    // A connection keeps its order.
                    let t = (self.now + lag).max(*self.links.get(&(n, to)).unwrap_or(&0));
                    self.links.insert((n, to), t);
                    let b = self.boots[to].1;
                    let input = Input::Mesh { from, msg: Box::new(msg) };
                    self.at(t - self.now, Ev::In(to, b, input));
                }
            }
            Effect::Store { op, call } => {
                if let (true, StoreCall::Transaction(t)) = (self.trace, &call) {
                    if t.changes.len() < 9 {
                        eprintln!("{} n-{n} txn {t:?}", self.now);
                    }
                }
                self.send_to_store(n, op, lag, call);
            }
            Effect::Cloud { op, call } => {
                let result = if self.cut[n] { CloudResult::Refused } else { self.cloud(call)? };
                self.at(80 + lag, Ev::In(n, boot, Input::Cloud { op, result }));
            }
            Effect::Commands { machine, batch, direct, .. } => {
                if self.trace {
                    eprintln!("{} n-{n} direct {machine} {:?}", self.now, direct.orders);
                }
                self.commands(n, &machine);
                // Now and then the answer is lost, or the packets are held back for long.
                let (lose, held) = match self.rng.random_range(0..30) {
                    0 if self.plan.faults => (true, self.rng.random_range(0..20_000)),
                    _ => (false, 0),
                };
                // Held up for longer than whoever sent it waits, it is carried out all the same.
                let slow = self.troubles.slow_orders.now(self.now).unwrap_or(0);
                let (lose, held) = (lose || slow > 2500, held + slow);
                if lose {
                    let m = machine.clone();
                    let outcome = CommandOutcome::Unknown;
                    let input = Input::CommandOutcome { machine: m, batch, outcome };
                    self.at(2500, Ev::In(n, boot, input));
                }
                self.at(lag + held, Ev::Direct(n, boot, machine, batch, direct, lose));
            }
            Effect::Log { event, details: what, .. } => {
                if event == "seat_loaded" {
                    self.marks.loaded.push((self.now, n));
                }
                if self.trace {
                    eprintln!("{} n-{n} {event} {what}", self.now);
                }
                self.shard_changes_hands(n, event, &what);
            }
        }
        Ok(())
    }

    /// Whether a transaction gets no answer and is carried out late.
    fn comes_late(&mut self) -> bool {
        (self.plan.faults && self.rng.random_range(0..150) == 0)
            || self.troubles.late_writes.strike(self.now, &mut self.rng)
    }

    /// What a controller asks of the state service is on its way.
    pub(super) fn send_to_store(&mut self, n: usize, op: u64, lag: u64, call: StoreCall) {
        let boot = self.boots[n].1;
        match call {
            StoreCall::Watch { prefix, after, wait_ms } => {
                let until = self.now + wait_ms;
                self.at(lag, Ev::Watch(n, boot, op, prefix, after, until));
            }
            // Executed late, after whoever sent it gave it up or ended.
            StoreCall::Transaction(t) if self.comes_late() => {
                let result = StoreResult::Unknown;
                self.at(2000, Ev::In(n, boot, Input::Store { op, result }));
                let held = self.rng.random_range(2000..25_000);
                self.at(held, Ev::Store(n, boot, 0, StoreCall::Transaction(t)));
            }
            call => self.at(lag, Ev::Store(n, boot, op, call)),
        }
    }

    pub(super) fn cloud(&mut self, call: CloudCall) -> Result<CloudResult, String> {
        Ok(match call {
            CloudCall::Catalog => {
                CloudResult::Catalog(Catalog { types: types(self.plan.has_gpus()) })
            }
            CloudCall::Launch(mut r) => {
                if self.plan.sabotage == Sabotage::NameTwice {
                    r.request = r.request.rsplit('-').next().unwrap_or_default().to_string();
                }
                // Asked again for the same, it answers the same; for something else, the name is
                // used twice, and whoever asked gets machines that it did not ask for.
                if let Some((first, names)) = self.rented.get(&r.request) {
                    if *first != r {
                        return Err(format!("name_reused: {} for {first:?} and {r:?}", r.request));
                    }
                    return Ok(CloudResult::Launched(names.clone()));
                }
                if self.spare == 0 {
                    return Ok(CloudResult::NoCapacity);
                }
                self.spare -= 1;
                let name = self.machine_name();
                self.rented.insert(r.request.clone(), (r.clone(), vec![name.clone()]));
                let up = format!("{name} {} {} {}", r.zone, r.spot, r.type_name);
                self.starting.insert(name.clone(), (r, self.now));
                if let Some(ms) = self.boot_ms() {
                    self.at(ms, Ev::Up(up));
                }
                CloudResult::Launched(vec![name])
            }
            CloudCall::Release(names) => {
                for n in names {
                    self.spare += u32::from(self.starting.remove(&n).is_some());
                    if let Some(w) = self.workers.get_mut(&n) {
                        self.spare += u32::from(!w.gone);
                        w.gone = true;
                        w.tasks.clear();
                    }
                }
                CloudResult::Released
            }
            CloudCall::List { .. } => CloudResult::InstanceList(InstanceList {
                machines: self
                    .workers
                    .values()
                    .filter(|w| !w.gone)
                    .map(|w| Instance {
                        id: w.name.clone(),
                        addr: None,
                        type_name: w.type_name.clone(),
                        zone: w.zone.clone(),
                        spot: w.spot,
                        status: InstanceStatus::Running,
                        age_s: 30.0,
                    })
                    .chain(self.starting.iter().map(|(name, (r, since))| Instance {
                        id: name.clone(),
                        addr: None,
                        type_name: r.type_name.clone(),
                        zone: r.zone.clone(),
                        spot: r.spot,
                        status: InstanceStatus::Starting,
                        age_s: (self.now - since) as f64 / 1000.0,
                    }))
                    .collect(),
                more: false,
            }),
        })
    }

    pub(super) fn worker(&mut self, m: &str) -> Result<(), String> {
        let Some(w) = self.workers.get_mut(m) else { return Ok(()) };
        if w.gone {
            return Ok(());
        }
        if self.now < w.hang_until {
            let wait = w.hang_until - self.now + 1;
            self.at(wait, Ev::Worker(m.into()));
            return Ok(());
        }
        w.advance(self.now, &mut self.done, &self.rules.jobs);
        if w.in_flight.is_some_and(|s| self.now > s + 4000) {
            w.in_flight = None;
            w.node = (w.node + 1) % NODES;
            w.next_report = self.now + 1000;
        }
        if w.in_flight.is_none() && (self.now >= w.next_report || w.changed) {
            w.in_flight = Some(self.now);
            w.changed = false;
            let r = w.report();
            let n = w.node;
            let mute = self.now < w.mute_until;
            let lag = self.lag();
            // Reports, too, may be held back for long.
            let late = self.plan.faults && self.rng.random_range(0..200) == 0;
            let held = if late { self.rng.random_range(3000..30_000) } else { 0 };
            let sent = self.now;
            // And a copy may come late, to any controller; nobody waits for its answer.
            let copied = self.troubles.late_reports.strike(self.now, &mut self.rng);
            if copied || (self.plan.faults && self.rng.random_range(0..40) == 0) {
                let late = self.rng.random_range(1000..30_000);
                let to = self.rng.random_range(0..NODES);
                self.at(late, Ev::Report(to, m.into(), 0, r.clone()));
            }
            let kept = self.keeper.keep(&r, sent, &mut self.rng);
            if !kept && !mute {
                self.at(lag + held, Ev::Report(n, m.into(), sent, r));
            }
        }
        self.at(500, Ev::Worker(m.into()));
        Ok(())
    }

    pub(super) fn answered(
        &mut self,
        m: &str,
        sent: u64,
        incarnation: u64,
        reply: Option<WorkerReply>,
    ) {
        let now = self.now;
        let asked = self.workers.get(m).map_or(0, |w| w.node);
        if self.held_back(m, asked) > 0 {
            return;
        }
        let Some(w) = self.workers.get_mut(m) else { return };
        if w.gone || now < w.hang_until.max(w.deaf_until) || w.in_flight != Some(sent) {
            return;
        }
        let Some(reply) = reply else { return };
        w.in_flight = None;
        w.next_report = now + 1500;
        match reply {
            WorkerReply::HeartbeatResponse(HeartbeatResponse { token, orders }) => {
                w.advance(now, &mut self.done, &self.rules.jobs);
                if token < w.token || incarnation != w.incarnation {
                    return;
                }
                w.changed |= token > w.token;
                w.token = token;
                w.granted = w.granted.max(sent);
                w.execute(now, &orders, &self.rules.jobs);
                w.advance(now, &mut self.done, &self.rules.jobs);
            }
            WorkerReply::Redirect(Some(to)) => {
                w.node = to[2..].parse().unwrap_or(0);
                w.next_report = now + 100;
            }
            WorkerReply::Redirect(None) | WorkerReply::Unavailable => {
                w.node = (w.node + 1) % NODES;
                w.next_report = now + 1000;
            }
        }
    }
}
