//! Users that query all controllers repeatedly within milliseconds, at the instant of a completion, and
//! with requests that are invalid.
use super::event::Event;
use super::fault_windows::draw_percent;
use super::{Sabotage, Sim, NODES};
use crate::broken_rule::BrokenRule;
use crate::invalid_submissions::{self, InvalidSubmission};
use crate::user_knowledge::RequestKind;
use leaddeal_core::ids::JobId;
use leaddeal_core::io::Input;
use leaddeal_wire::user::{job_id, parse_job_id, Job, JobError, JobKind};
use rand::Rng;
use std::ops::Range;

/// Milliseconds from the first to the last of the queries of a burst.
const BURST_MS: Range<u64> = 0..30;
/// When the queries are repeated, in milliseconds: while what was answered is written, and after it.
const REPEAT_MS: Range<u64> = 100..1500;
/// How long after a job's last task ended its user acts, at the most: until then its terminal state is
/// surely being written.
const COMPLETION_MS: Range<u64> = 0..800;
/// Between two random windows of bursts.
const BURST_WINDOW_INTERVAL_MS: Range<u64> = 5000..20_000;
/// How long such a window lasts.
const BURST_WINDOW_MS: Range<u64> = 2000..15_000;
/// Between two invalid requests.
const INVALID_REQUEST_INTERVAL_MS: u64 = 250;
/// Between two jobs of a single task.
const SINGLE_TASK_JOB_INTERVAL_MS: u64 = 250;
/// Identifiers of submissions that are never accepted begin here.
const FIRST_INVALID_JOB: u64 = 600_000;

/// Until a time, the users of a share of the jobs, in hundredths, do something.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UserWindow {
    pub(super) percent: u32,
    pub(super) until: u64,
}

/// What users do beyond a query now and then.
#[derive(Debug, Default)]
pub(super) struct QueryBursts {
    /// Bursts after an answer that told a user something new.
    pub(super) after_answers: UserWindow,
    /// Bursts at the instant of a completion.
    pub(super) at_completion: UserWindow,
    /// How many invalid submissions there were.
    invalid_submissions: u64,
}

impl Sim {
    /// Windows of bursts in runs with random faults: of one kind, or of two at once.
    pub(super) fn random_query_burst(&mut self) {
        if !self.plan.faults {
            return;
        }
        let wait_ms = self.rng.random_range(BURST_WINDOW_INTERVAL_MS);
        self.schedule(wait_ms, Event::RandomQueryBurst);
        let until = self.now + self.rng.random_range(BURST_WINDOW_MS);
        let percent = self.rng.random_range(10..60);
        let window = UserWindow { percent, until };
        match self.rng.random_range(0..4) {
            0 => self.query_bursts.after_answers = window,
            1 => self.query_bursts.at_completion = window,
            2 => self.schedule(0, Event::InvalidRequest { until }),
            _ => {
                self.query_bursts.after_answers = window;
                self.query_bursts.at_completion = window;
            }
        }
    }

    fn draw_user(&mut self, window: UserWindow) -> bool {
        self.now < window.until && draw_percent(window.percent, &mut self.rng)
    }

    /// A user was told something new of its job.
    pub(super) fn query_after_answer(&mut self, id: &str) {
        if !self.draw_user(self.query_bursts.after_answers) {
            return;
        }
        self.query_all_nodes(id, BURST_MS);
        self.query_all_nodes(id, BURST_MS);
        self.query_all_nodes(id, REPEAT_MS);
        if self.rng.random_bool(0.2) {
            self.cancel_within(id, BURST_MS);
        }
    }

    /// Queries each controller, and repeats the submission there.
    fn query_all_nodes(&mut self, id: &str, within_ms: Range<u64>) {
        for node in 0..NODES {
            for kind in [RequestKind::Poll, RequestKind::Submit] {
                let wait_ms = self.rng.random_range(within_ms.clone());
                self.schedule(wait_ms, Event::RequestAt { node, kind, job: id.into() });
            }
        }
    }

    /// A user cancels its job at a random time.
    pub(super) fn cancel_within(&mut self, id: &str, within_ms: Range<u64>) {
        let wait_ms = self.rng.random_range(within_ms);
        self.schedule(wait_ms, Event::Cancel { job: id.into() });
    }

    /// Users act on jobs whose last task has just ended.
    pub(super) fn query_completed_jobs(&mut self) {
        for id in self.done.take_recent() {
            let is_complete = self.rules.jobs.get(&id).is_some_and(|job| self.done.all_of(job));
            if is_complete && self.draw_user(self.query_bursts.at_completion) {
                self.query_all_nodes(&id, BURST_MS);
                self.query_all_nodes(&id, COMPLETION_MS);
                if self.rng.random_bool(0.5) {
                    self.cancel_within(&id, COMPLETION_MS);
                }
            }
        }
    }

    /// A submission that is repeated at one or all controllers, or must not be accepted, or a
    /// cancellation of what is done.
    pub(super) fn invalid_request(&mut self, until: u64) -> Result<(), BrokenRule> {
        if self.now < until {
            self.schedule(INVALID_REQUEST_INTERVAL_MS, Event::InvalidRequest { until });
        }
        let accepted: Vec<&String> = self.rules.accepted.iter().collect();
        let index = self.rng.random_range(0..accepted.len().max(1));
        let any = accepted.get(index).map(|id| (*id).clone());
        match (self.rng.random_range(0..4), any) {
            (0, Some(id)) => self.query_all_nodes(&id, BURST_MS),
            (1, Some(id)) => self.request(RequestKind::Submit, &id)?,
            (2, Some(id)) if self.rules.acknowledged.contains_key(&id) => {
                self.request(RequestKind::Cancel, &id)?;
            }
            _ => self.invalid_submission()?,
        }
        Ok(())
    }

    /// A submission lacks a field, has an impossible value, or can never run; and its user queries it.
    fn invalid_submission(&mut self) -> Result<(), BrokenRule> {
        let Some(node) = self.random_reachable_node() else { return Ok(()) };
        self.query_bursts.invalid_submissions += 1;
        let number = FIRST_INVALID_JOB + self.query_bursts.invalid_submissions;
        let id = job_id(number);
        let job = Job { id: id.clone(), types: None, team: "tight".into(), ..Self::waiting_job() };
        let all = invalid_submissions::all(&job, self.plan.team_cpu_limit);
        let invalid = all[self.rng.random_range(0..all.len())].clone();
        self.rules.invalid.insert(id.clone(), (invalid.what.clone(), invalid.status));
        let parsed = self.parse_invalid(&invalid, job);
        // As the gateway finds the name of what it can't parse.
        let named = match &parsed {
            Ok(job) => parse_job_id(&job.id),
            Err(_) => serde_json::from_slice::<serde_json::Value>(&invalid.body)
                .ok()
                .and_then(|body| parse_job_id(body.get("id")?.as_str()?)),
        };
        let (named, job) = (named.map(JobId), parsed.map(Box::new));
        let submit = |req| Input::Submit { req, id: named, job };
        self.send_request(node, RequestKind::Submit, &id, submit)?;
        let poll = |req| Input::Get { req, id: JobId(number) };
        self.send_request(node, RequestKind::Poll, &id, poll)
    }

    /// What the gateway gives to the core; with sabotage, what is wrong with the submission is mistaken.
    fn parse_invalid(&self, invalid: &InvalidSubmission, valid: Job) -> Result<Job, JobError> {
        if self.plan.sabotage != Sabotage::MisparsedSubmissions {
            return invalid.parse();
        }
        if invalid.status == 400 {
            Ok(valid)
        } else {
            Err(JobError::Range("any"))
        }
    }

    /// A job of one task, of which every fourth is cancelled soon.
    pub(super) fn single_task_job(&mut self, until: u64) -> Result<(), BrokenRule> {
        if self.now < until {
            self.schedule(SINGLE_TASK_JOB_INTERVAL_MS, Event::SingleTaskJob { until });
        }
        let one_task = Job { kind: JobKind::Array, tasks: 1, cpus: 1.0, ..self.random_job() };
        let job = Job { spread: false, ..one_task };
        self.add_job(&job);
        if self.rng.random_ratio(1, 4) {
            self.cancel_within(&job.id, 0..8000);
        }
        self.request(RequestKind::Submit, &job.id)
    }
}
