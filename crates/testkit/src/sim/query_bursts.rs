//! Users that query all controllers repeatedly within milliseconds, act at the instant at which a job completes, or
//! send invalid requests.
use super::event::Event;
use super::fault_windows::draw_percent;
use super::{InjectedDefect, Sim, NODES};
use crate::broken_rule::BrokenRule;
use crate::invalid_submissions::{self, InvalidSubmission};
use crate::user_knowledge::RequestKind;
use leaddeal_core::ids::JobId;
use leaddeal_core::io::Input;
use leaddeal_wire::user::{job_id, parse_job_id, Job, JobError, JobKind};
use rand::Rng;
use std::ops::Range;

/// Delay of the queries of a burst.
const BURST_MS: Range<u64> = 0..30;
/// Delay of the repeated queries of a burst. The state that was answered is being written to the store during
/// this time, or has just been written.
const REPEAT_MS: Range<u64> = 100..1500;
/// Delay from the end of a job's last task until its user acts. The job's terminal state is being written to the
/// store during this time.
const COMPLETION_MS: Range<u64> = 0..800;
/// Interval between two random windows of bursts.
const BURST_WINDOW_INTERVAL_MS: Range<u64> = 5000..20_000;
/// Duration of a random window of bursts.
const BURST_WINDOW_MS: Range<u64> = 2000..15_000;
/// Interval between two invalid requests.
const INVALID_REQUEST_INTERVAL_MS: u64 = 250;
/// Interval between two submissions of jobs of a single task.
const SINGLE_TASK_JOB_INTERVAL_MS: u64 = 250;
/// First identifier of the submissions that are never accepted.
const FIRST_INVALID_JOB: u64 = 600_000;

/// A window in which the users of a share of the jobs act.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UserWindow {
    /// Share of the jobs.
    pub(super) percent: u32,
    /// Simulated time at which the window ends.
    pub(super) until: u64,
}

/// The state of what users do in addition to periodic queries.
#[derive(Debug, Default)]
pub(super) struct QueryBursts {
    /// Window of the bursts that follow an answer with new information.
    pub(super) after_answers: UserWindow,
    /// Window of the bursts at the instant at which a job completes.
    pub(super) at_completion: UserWindow,
    /// Number of invalid submissions so far.
    invalid_submissions: u64,
}

impl Sim {
    /// Opens a random window of bursts, of one kind or of two kinds at once, in runs with random faults, and schedules
    /// the next.
    pub(super) fn open_random_burst_window(&mut self) {
        if !self.plan.random_faults {
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

    fn is_user_drawn(&mut self, window: UserWindow) -> bool {
        self.now < window.until && draw_percent(window.percent, &mut self.rng)
    }

    /// Starts a burst of queries if the window for it is open and the user is drawn. Called when an answer has told a
    /// user something new about its job.
    pub(super) fn query_after_answer(&mut self, id: &str) {
        if !self.is_user_drawn(self.query_bursts.after_answers) {
            return;
        }
        self.query_all_nodes(id, BURST_MS);
        self.query_all_nodes(id, BURST_MS);
        self.query_all_nodes(id, REPEAT_MS);
        if self.rng.random_bool(0.2) {
            self.schedule_cancel(id, BURST_MS);
        }
    }

    /// Schedules a query and a repeated submission at each controller.
    fn query_all_nodes(&mut self, id: &str, within_ms: Range<u64>) {
        for node in 0..NODES {
            for kind in [RequestKind::Poll, RequestKind::Submit] {
                let wait_ms = self.rng.random_range(within_ms.clone());
                self.schedule(wait_ms, Event::RequestAt { node, kind, job: id.into() });
            }
        }
    }

    /// Schedules a user's cancellation of its job after a random delay within the range.
    pub(super) fn schedule_cancel(&mut self, id: &str, within_ms: Range<u64>) {
        let wait_ms = self.rng.random_range(within_ms);
        self.schedule(wait_ms, Event::Cancel { job: id.into() });
    }

    /// Schedules queries and cancellations by users whose jobs' last task has just ended.
    pub(super) fn query_completed_jobs(&mut self) {
        for id in self.done.take_recent() {
            let is_complete = self.rules.jobs.get(&id).is_some_and(|job| self.done.all_of(job));
            if is_complete && self.is_user_drawn(self.query_bursts.at_completion) {
                self.query_all_nodes(&id, BURST_MS);
                self.query_all_nodes(&id, COMPLETION_MS);
                if self.rng.random_bool(0.5) {
                    self.schedule_cancel(&id, COMPLETION_MS);
                }
            }
        }
    }

    /// Sends one of these requests: a repeated submission at one controller or at all of them, a cancellation of a
    /// job in a terminal state, or a submission that must not be accepted.
    pub(super) fn invalid_request(&mut self, until: u64) -> Result<(), BrokenRule> {
        if self.now < until {
            self.schedule(INVALID_REQUEST_INTERVAL_MS, Event::InvalidRequest { until });
        }
        let accepted: Vec<&String> = self.rules.accepted.iter().collect();
        let index = self.rng.random_range(0..accepted.len().max(1));
        let any = accepted.get(index).map(|id| (*id).clone());
        match (self.rng.random_range(0..4), any) {
            (0, Some(id)) => self.query_all_nodes(&id, BURST_MS),
            (1, Some(id)) => self.send_to_random_node(RequestKind::Submit, &id)?,
            (2, Some(id)) if self.rules.acknowledged.contains_key(&id) => {
                self.send_to_random_node(RequestKind::Cancel, &id)?;
            }
            _ => self.invalid_submission()?,
        }
        Ok(())
    }

    /// Submits a job that lacks a field, has an impossible value or can never run, and queries it.
    fn invalid_submission(&mut self) -> Result<(), BrokenRule> {
        let Some(node) = self.draw_reachable_node() else { return Ok(()) };
        self.query_bursts.invalid_submissions += 1;
        let number = FIRST_INVALID_JOB + self.query_bursts.invalid_submissions;
        let id = job_id(number);
        let job =
            Job { id: id.clone(), types: None, team: "tight".into(), ..Self::unplaceable_job() };
        let all = invalid_submissions::all(&job, self.plan.team_cpu_quota);
        let invalid = all[self.rng.random_range(0..all.len())].clone();
        self.rules.invalid.insert(id.clone(), (invalid.what.clone(), invalid.status));
        let parsed = self.parse_invalid(&invalid, job);
        // The gateway finds the identifier of a submission that it can't parse in the same way.
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

    /// Returns what the gateway passes to the core. With [`InjectedDefect::MisparsedSubmissions`], a malformed submission is
    /// taken for a valid one, and one that can never run for a malformed one.
    fn parse_invalid(&self, invalid: &InvalidSubmission, valid: Job) -> Result<Job, JobError> {
        if self.plan.defect != InjectedDefect::MisparsedSubmissions {
            return invalid.parse();
        }
        if invalid.status == 400 {
            Ok(valid)
        } else {
            Err(JobError::Range("any"))
        }
    }

    /// Submits a job of one task, which is cancelled soon with a probability of a quarter.
    pub(super) fn single_task_job(&mut self, until: u64) -> Result<(), BrokenRule> {
        if self.now < until {
            self.schedule(SINGLE_TASK_JOB_INTERVAL_MS, Event::SingleTaskJob { until });
        }
        let one_task = Job { kind: JobKind::Array, tasks: 1, cpus: 1.0, ..self.random_job() };
        let job = Job { spread: false, ..one_task };
        self.add_job(&job);
        if self.rng.random_ratio(1, 4) {
            self.schedule_cancel(&job.id, 0..8000);
        }
        self.send_to_random_node(RequestKind::Submit, &job.id)
    }
}
