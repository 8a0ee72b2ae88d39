//! Users who look closely: at all controllers and again and again, at the moment of an end, and with
//! requests that are odd.
use super::*;
use crate::odd;
use leaddeal_wire::user::BadJob;

/// Milliseconds from the first to the last of the questions that are asked within a moment.
const MOMENT: std::ops::Range<u64> = 0..30;
/// When it is asked again, in milliseconds: while what was told is written, and after it.
const AGAIN: std::ops::Range<u64> = 100..1500;
/// How long after a job's last task ended its user acts, at the most: until then its final state is
/// surely being written.
const AT_END: std::ops::Range<u64> = 0..800;
const ODD_MS: u64 = 250;
const ONES_MS: u64 = 250;
/// Names of submissions that are never accepted begin here.
const ODD_JOBS: u64 = 600_000;

/// What users do beyond asking now and then: how many of a hundred, until when.
#[derive(Debug, Default)]
pub(super) struct Gaze {
    pub closely: (u32, u64),
    pub at_end: (u32, u64),
    odd: u64,
}

impl Sim {
    /// Drawn in seeded runs: one of it at a time, or some at once.
    pub(super) fn gaze(&mut self) {
        if !self.plan.faults {
            return;
        }
        let wait = self.rng.random_range(5000..20_000);
        self.at(wait, Ev::Gaze);
        let until = self.now + self.rng.random_range(2000..15_000);
        let percent = self.rng.random_range(10..60);
        match self.rng.random_range(0..4) {
            0 => self.gaze.closely = (percent, until),
            1 => self.gaze.at_end = (percent, until),
            2 => self.at(0, Ev::Odd(until)),
            _ => (self.gaze.closely, self.gaze.at_end) = ((percent, until), (percent, until)),
        }
    }

    fn draws(&mut self, (percent, until): (u32, u64)) -> bool {
        self.now < until && self.rng.random_ratio(percent.min(100), 100)
    }

    /// Its user was told something new.
    pub(super) fn look_closely(&mut self, id: &str) {
        if !self.draws(self.gaze.closely) {
            return;
        }
        self.look_around(id, MOMENT);
        self.look_around(id, MOMENT);
        self.look_around(id, AGAIN);
        if self.rng.random_bool(0.2) {
            let wait = self.rng.random_range(MOMENT);
            self.at(wait, Ev::Cancel(id.into()));
        }
    }

    /// Asks at each controller, and repeats the submission there.
    fn look_around(&mut self, id: &str, when: std::ops::Range<u64>) {
        for n in 0..NODES {
            for what in [What::Poll, What::Submit] {
                let wait = self.rng.random_range(when.clone());
                self.at(wait, Ev::Look(n, what, id.into()));
            }
        }
    }

    /// Jobs whose last task has just ended.
    pub(super) fn ends(&mut self) {
        for id in self.done.take_fresh() {
            let ended = self.rules.jobs.get(&id).is_some_and(|j| self.done.all_of(j));
            if ended && self.draws(self.gaze.at_end) {
                self.look_around(&id, MOMENT);
                self.look_around(&id, AT_END);
                if self.rng.random_bool(0.5) {
                    let wait = self.rng.random_range(AT_END);
                    self.at(wait, Ev::Cancel(id));
                }
            }
        }
    }

    /// A submission that is repeated at one or all controllers, or must not be accepted, or a
    /// cancellation of what is done.
    pub(super) fn odd_request(&mut self, until: u64) -> Result<(), String> {
        if self.now < until {
            self.at(ODD_MS, Ev::Odd(until));
        }
        let known: Vec<&String> = self.rules.accepted.iter().collect();
        let any = known.get(self.rng.random_range(0..known.len().max(1))).map(|id| id.to_string());
        match (self.rng.random_range(0..4), any) {
            (0, Some(id)) => self.look_around(&id, MOMENT),
            (1, Some(id)) => self.ask(What::Submit, &id)?,
            (2, Some(id)) if self.rules.told.contains_key(&id) => self.ask(What::Cancel, &id)?,
            _ => self.wrong_submission()?,
        }
        Ok(())
    }

    /// Lacks a field, has an impossible value, or can never run; and its user asks about it.
    fn wrong_submission(&mut self) -> Result<(), String> {
        let up = self.up();
        if up.is_empty() {
            return Ok(());
        }
        let n = up[self.rng.random_range(0..up.len())];
        self.gaze.odd += 1;
        let num = ODD_JOBS + self.gaze.odd;
        let id = leaddeal_wire::user::job_id(num);
        let job = Job { id: id.clone(), types: None, team: "tight".into(), ..self.waiting_job() };
        let all = odd::all(&job, self.plan.team_max);
        let wrong = all[self.rng.random_range(0..all.len())].clone();
        self.rules.odd.insert(id.clone(), (wrong.what.clone(), wrong.status));
        let mut read = wrong.parse();
        if self.plan.sabotage == Sabotage::Misread {
            read = if wrong.status == 400 { Ok(job) } else { Err(BadJob::Range("any")) };
        }
        // As the gateway finds the name of what it can't read.
        let named = match &read {
            Ok(j) => parse_job_id(&j.id),
            Err(_) => serde_json::from_slice::<serde_json::Value>(&wrong.body)
                .ok()
                .and_then(|v| parse_job_id(v.get("id")?.as_str()?)),
        };
        let (named, read) = (named.map(JobId), read.map(Box::new));
        self.request(n, What::Submit, &id, |req| Input::Submit { req, id: named, job: read })?;
        self.request(n, What::Poll, &id, |req| Input::Get { req, id: JobId(num) })
    }

    /// A job of one task, of which every fourth is cancelled soon.
    pub(super) fn one(&mut self, until: u64) -> Result<(), String> {
        if self.now < until {
            self.at(ONES_MS, Ev::One(until));
        }
        let j = Job { kind: Kind::Array, tasks: 1, cpus: 1.0, spread: false, ..self.random_job() };
        self.wants(&j);
        if self.rng.random_ratio(1, 4) {
            let wait = self.rng.random_range(0..8000);
            self.at(wait, Ev::Cancel(j.id.clone()));
        }
        self.ask(What::Submit, &j.id)
    }
}
