//! Users: what they submit, ask and cancel, and what is in the store from the beginning.
use super::*;
use serde_json::json;

impl Sim {
    /// Puts jobs into the store as controllers before these would have left them.
    pub(super) fn preload(&mut self) {
        let put = |state: &mut State, key: String, value| {
            let change = Change::Put { key, value, lease: None };
            state.call(0, &StoreCall::Txn(Txn { conds: Vec::new(), changes: vec![change] }));
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
                put(&mut self.state, keys::run_key(shard, id, 1), v.clone());
                put(&mut self.state, keys::final_key(shard, JobId(id.0 + 50)), v.clone());
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
            let key = keys::final_key(shard_of_job(id, NODES), id);
            put(&mut self.state, key, keys::final_value(Status::Done, 1));
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
    pub(super) fn note_finals(&mut self, t: &Txn) {
        for c in &t.changes {
            let Change::Put { key, value, .. } = c else { continue };
            let Some(id) = keys::job_of_key(key).filter(|_| key.starts_with("f/")) else {
                continue;
            };
            let job = leaddeal_wire::user::job_id(id.0);
            if let (Some((Status::Done, _)), Some(at)) =
                (keys::parse_final(value), self.done.last(&job))
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
            Kind::Gang => 1,
            Kind::Service => self.rng.random_range(1..4),
        };
        let gpu_work = kind == Kind::Gang && self.plan.scale > 1;
        let spread = kind == Kind::Service;
        Job {
            id: leaddeal_wire::user::job_id(self.next_job * 7),
            class: "x".into(),
            team: if self.rng.random_bool(0.4) { "tight" } else { "free" }.into(),
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
            one_zone: !spread && self.rng.random_bool(0.3),
            spread,
            spot: kind != Kind::Service,
            estimate_s: f64::from(self.rng.random_range(1..9))
                * if self.plan.long { 15.0 } else { 1.0 },
            checkpoint_s: if self.rng.random_bool(0.3) { 3.0 } else { 0.0 },
            save_s: 1.0,
            deadline_s: None,
        }
    }

    pub(super) fn ask(&mut self, req: Req, make: impl FnOnce(u64) -> Input) -> Result<(), String> {
        let up: Vec<usize> = (0..NODES)
            .filter(|&n| self.nodes[n].is_some() && !self.cut[n] && self.now >= self.stalled[n])
            .collect();
        if up.is_empty() {
            match req {
                Req::Cancel(id) => self.at(2000, Ev::Cancel(id)),
                Req::Submit(_) | Req::Poll(_) | Req::Report(..) => {}
            }
            return Ok(());
        }
        let n = up[self.rng.random_range(0..up.len())];
        self.next_req += 1;
        let id = self.next_req;
        if let Req::Submit(job) | Req::Poll(job) | Req::Cancel(job) = &req {
            self.latest.insert(job.clone(), id);
        }
        self.reqs.insert((n, self.boots[n].1, id), req);
        self.step(n, make(id))
    }

    pub(super) fn submit(&mut self, j: &Job) -> Result<(), String> {
        let id = j.id.clone();
        let num = parse_job_id(&id).map(JobId);
        let job = Ok(Box::new(j.clone()));
        self.ask(Req::Submit(id), |req| Input::Submit { req, id: num, job })
    }
}
