//! Users: what they submit, ask and cancel, and what is in the store from the beginning.
use super::*;
use leaddeal_core::io::UserReply;
use leaddeal_core::stored::TerminalState;
use serde_json::json;

impl Sim {
    /// Puts jobs into the store as controllers before these would have left them.
    pub(super) fn preload(&mut self) {
        let put = |state: &mut State, key: String, value| {
            let change = Change::Put { key, value, lease: None };
            state.call(
                0,
                &StoreCall::Transaction(Transaction {
                    conditions: Vec::new(),
                    changes: vec![change],
                }),
            );
        };
        if self.plan.garbled {
            let wrong = [
                json!(null),
                json!(7),
                json!("nonsense"),
                json!([1, "x"]),
                json!({"job": {"id": 5}, "at": "then", "a": -1}),
                json!({"a": 9, "p": [[1], "x", [u64::MAX, -4, "n-000001", 1, 0], null]}),
            ];
            for (shard, (i, v)) in
                (0..NODES as u8).flat_map(|s| wrong.iter().enumerate().map(move |w| (Shard(s), w)))
            {
                let id = JobId(700_000 + i as u64);
                put(&mut self.state, keys::job_key(shard, id), v.clone());
                put(&mut self.state, keys::completion_key(shard, id, 1), v.clone());
                put(&mut self.state, keys::terminal_state_key(shard, JobId(id.0 + 50)), v.clone());
                let key = format!("{}{i}", keys::decision_prefix(shard));
                put(&mut self.state, key, v.clone());
            }
        }
        if self.plan.open + self.plan.closed == 0 {
            return;
        }
        self.state.page = 300;
        for n in 0..self.plan.closed {
            let id = JobId(900_000 + n);
            let key = keys::terminal_state_key(shard_of_job(id, NODES), id);
            let over = TerminalState { status: Status::Done, done: 1 };
            put(&mut self.state, key, over.encode());
        }
        for n in 0..self.plan.open {
            let id = JobId(800_000 + n);
            let job = Job { id: leaddeal_wire::user::job_id(id.0), ..self.waiting_job() };
            let value = serde_json::json!({"job": job, "at": self.now});
            put(&mut self.state, keys::job_key(shard_of_job(id, NODES), id), value);
            self.rules.accepted.insert(job.id.clone());
            self.rules.jobs.insert(job.id.clone(), job);
        }
    }

    /// Of a type that nobody rents: it is there, and stays there.
    pub(super) fn waiting_job(&self) -> Job {
        Job {
            id: String::new(),
            class: "x".into(),
            team: "free".into(),
            kind: Kind::Array,
            priority: Priority::Low,
            tasks: 3,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
            image: "i-0".into(),
            image_gb: 1.0,
            types: Some(vec!["none".into()]),
            zone: None,
            one_zone: false,
            spread: false,
            spot: true,
            estimate_s: 5.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        }
    }

    /// How long after its last task was done a job's final state was written.
    pub(super) fn note_finals(&mut self, t: &Transaction) {
        for c in &t.changes {
            let Change::Put { key, value, .. } = c else { continue };
            let Some(id) = keys::parse_job_key(key).filter(|_| key.starts_with("f/")) else {
                continue;
            };
            let job = leaddeal_wire::user::job_id(id.0);
            if let (Ok(TerminalState { status: Status::Done, .. }), Some(at)) =
                (TerminalState::decode(value), self.done.last(&job))
            {
                self.marks.finals.push((self.now, self.now.saturating_sub(at)));
            }
        }
    }

    pub(super) fn random_job(&mut self) -> Job {
        self.next_job += 1;
        let kind =
            [Kind::Array, Kind::Array, Kind::Gang, Kind::Service][self.rng.random_range(0..4)];
        let tasks = match kind {
            Kind::Array => self.rng.random_range(1..self.plan.array),
            Kind::Gang if self.plan.gangs > 1 => self.rng.random_range(1..=self.plan.gangs),
            Kind::Gang => 1,
            Kind::Service => self.rng.random_range(1..4),
        };
        let gpu_work = kind == Kind::Gang && self.plan.scale > 1;
        let spread = kind == Kind::Service;
        let job = Job {
            id: leaddeal_wire::user::job_id(self.next_job * 7),
            class: "x".into(),
            team: self.random_team().into(),
            kind,
            priority: [Priority::Low, Priority::Normal, Priority::High, Priority::Production]
                [self.rng.random_range(0..4)],
            tasks,
            cpus: f64::from(self.rng.random_range(1..3)) * if gpu_work { 4.0 } else { 1.0 },
            gpus: if gpu_work { 2.0 } else { 0.0 },
            memory_gb: 1.0,
            image: format!("i-{}", self.rng.random_range(0..3)),
            image_gb: 1.0,
            types: None,
            zone: self.rng.random_bool(0.1).then(|| "b".to_string()),
            one_zone: !spread && self.rng.random_bool(self.plan.one_zone),
            spread,
            spot: kind != Kind::Service,
            estimate_s: f64::from(self.rng.random_range(1..9))
                * if self.plan.long { 15.0 } else { 1.0 },
            checkpoint_s: if self.rng.random_bool(0.3) { 3.0 } else { 0.0 },
            save_s: 1.0,
            deadline_s: None,
        };
        self.with_gpus(job)
    }

    /// A new job, which its user asks about from now on.
    pub(super) fn wants(&mut self, j: &Job) {
        self.rules.jobs.insert(j.id.clone(), j.clone());
        self.rules.served.asks(j, self.now);
        self.at(1000, Ev::Poll(j.id.clone()));
    }

    /// Controllers that the load balancer has a connection to.
    pub(super) fn up(&self) -> Vec<usize> {
        let up = |&n: &usize| self.reached(n) && self.now >= self.stalled[n];
        (0..NODES).filter(up).collect()
    }

    fn reached(&self, n: usize) -> bool {
        self.nodes[n].is_some() && !self.cut[n]
    }

    /// At any controller that is up.
    pub(super) fn ask(&mut self, what: What, id: &str) -> Result<(), String> {
        let up = self.up();
        if up.is_empty() {
            return Ok(());
        }
        let n = up[self.rng.random_range(0..up.len())];
        self.ask_at(n, what, id)
    }

    /// At this one, if it is there. One that gets no processor time takes it in when it goes on.
    pub(super) fn ask_at(&mut self, n: usize, what: What, id: &str) -> Result<(), String> {
        let Some(j) = self.rules.jobs.get(id).filter(|_| self.reached(n)) else { return Ok(()) };
        let job = Box::new(j.clone());
        let num = JobId(parse_job_id(id).unwrap_or(0));
        let misroute = self.plan.sabotage == Sabotage::Misroute;
        self.request(n, what, id, |req| match what {
            What::Cancel if misroute => Input::Get { req, id: num },
            What::Submit => Input::Submit { req, id: Some(num), job: Ok(job) },
            What::Poll => Input::Get { req, id: num },
            What::Cancel => Input::Cancel { req, id: num },
        })
    }

    /// Sends a request, and remembers what its user knew until then.
    pub(super) fn request(
        &mut self,
        n: usize,
        what: What,
        id: &str,
        make: impl FnOnce(u64) -> Input,
    ) -> Result<(), String> {
        self.next_req += 1;
        let req = self.next_req;
        let boot = self.boots[n].1;
        let q = Question { what, job: id.into(), knew: self.rules.news(id) };
        self.reqs.insert((n, boot, req), Req::User(q));
        let input = make(req);
        if self.now >= self.stalled[n] {
            return self.step(n, input);
        }
        self.at(0, Ev::In(n, boot, input));
        Ok(())
    }

    /// Somebody submits a job, and somebody else will.
    pub(super) fn user_next(&mut self) -> Result<(), String> {
        let j = self.random_job();
        self.wants(&j);
        if self.plan.faults && j.kind != Kind::Service && self.rng.random_bool(0.04) {
            self.done.mistaken.insert(j.id.clone());
            let wait = self.rng.random_range(20_000..60_000);
            self.at(wait, Ev::Cancel(j.id.clone()));
        } else if self.rng.random_bool(0.15) || j.kind == Kind::Service {
            let wait = self.rng.random_range(3000..40_000);
            self.at(wait, Ev::Cancel(j.id.clone()));
        }
        self.ask(What::Submit, &j.id)?;
        let wait = self.rng.random_range(500..4000);
        self.at(wait / u64::from(self.plan.rate), Ev::UserNext);
        Ok(())
    }

    pub(super) fn poll(&mut self, id: String) -> Result<(), String> {
        let often = self.now < self.polls_until;
        self.at(if often { 500 } else { 4000 }, Ev::Poll(id.clone()));
        // A retry may come at any later time, even when the job is over.
        let again = !self.rules.accepted.contains(&id) || self.rng.random_range(0..20) == 0;
        self.ask(if again { What::Submit } else { What::Poll }, &id)
    }

    /// Its user changes its mind. What it was told is done stays so, whatever it asks for.
    pub(super) fn cancel(&mut self, id: String) -> Result<(), String> {
        if !self.rules.accepted.contains(&id) {
            self.at(3000, Ev::Cancel(id));
            return Ok(());
        }
        let over = self.rules.told.contains_key(&id);
        if !over && self.rules.cancel_asked.insert(id.clone()) {
            self.rules.served.gives_up(&id);
            let ended = self.rules.jobs.get(&id).is_some_and(|j| self.done.all_of(j));
            if ended && self.done.last(&id).is_some_and(|at| self.now >= at + 1000) {
                self.rules.ended.insert(id.clone());
            }
            self.rules.unheeded.insert(id.clone(), self.now);
            self.at(1500, Ev::Insist(id.clone()));
        }
        self.ask(What::Cancel, &id)
    }

    pub(super) fn insist(&mut self, id: String) -> Result<(), String> {
        if !self.rules.unheeded.contains_key(&id) {
            return Ok(());
        }
        self.at(1500, Ev::Insist(id.clone()));
        self.ask(What::Cancel, &id)
    }

    /// What a controller answers a user.
    pub(super) fn answer(&mut self, q: &Question, reply: &UserReply) -> Result<(), String> {
        let id = q.job.as_str();
        let shard = shard_of_job(JobId(parse_job_id(id).unwrap_or(0)), NODES);
        let mute = self.plan.sabotage == Sabotage::Mute && shard == Shard(0);
        // The answer may be lost on its way to the user.
        let lost = self.plan.faults && self.rng.random_range(0..50) == 0;
        if lost || (mute && self.rules.accepted.contains(id)) {
            return Ok(());
        }
        let before = self.rules.news(id);
        self.rules.answer(self.now, q, reply.status, reply.state.as_ref(), &self.done)?;
        if self.rules.news(id) != before {
            self.look_closely(id);
        }
        Ok(())
    }
}
