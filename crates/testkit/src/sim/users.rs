//! Users, who submit, query and cancel jobs, and the answers that they get.
use super::event::{Event, PendingRequest};
use super::{InjectedDefect, Sim, NODES};
use crate::broken_rule::BrokenRule;
use crate::user_knowledge::{RequestKind, UserRequest};
use leaddeal_core::ids::{shard_of_job, JobId, Shard};
use leaddeal_core::io::{Input, UserReply};
use leaddeal_core::keys;
use leaddeal_core::stored::TerminalState;
use leaddeal_wire::state::{Change, Transaction};
use leaddeal_wire::user::{job_id, parse_job_id, Job, JobKind, JobStatus};
use rand::Rng;

/// Time from a submission to the first query.
const FIRST_POLL_MS: u64 = 1000;
/// Interval between two queries of a job.
const POLL_INTERVAL_MS: u64 = 4000;
/// Interval between two queries of a job while users poll often.
const FREQUENT_POLL_INTERVAL_MS: u64 = 500;
/// Time after which a cancellation that was not answered is repeated.
const CANCEL_RETRY_MS: u64 = 1500;
/// Time after which the cancellation of a job that is not accepted yet is tried again.
const CANCEL_WHEN_ACCEPTED_MS: u64 = 3000;
/// A job whose last task ended at least this long before its cancellation must not be reported as cancelled.
const ENDED_BEFORE_CANCEL_MS: u64 = 1000;
/// Interval between two submissions, at the usual rate.
const SUBMISSION_INTERVAL_MS: std::ops::Range<u64> = 500..4000;
/// One of this many queries is replaced by a repeated submission.
const RESUBMISSION_ODDS: u32 = 20;
/// With random faults, one of this many answers is lost.
const LOST_REPLY_ODDS: u32 = 50;

/// Returns a controller's input for a user's request about a job.
pub(super) fn request_input(kind: RequestKind, req: u64, id: JobId, job: Box<Job>) -> Input {
    match kind {
        RequestKind::Submit => Input::Submit { req, id: Some(id), job: Ok(job) },
        RequestKind::Poll => Input::Get { req, id },
        RequestKind::Cancel => Input::Cancel { req, id },
    }
}

impl Sim {
    /// Records, for each job that a committed transaction marks as done, how long after the end of the job's last
    /// task that happened.
    pub(super) fn note_terminal_states(&mut self, transaction: &Transaction) {
        for change in &transaction.changes {
            let Change::Put { key, value, .. } = change else { continue };
            let Some(id) = keys::parse_job_key(key).filter(|_| key.starts_with("f/")) else {
                continue;
            };
            if let (Ok(TerminalState { status: JobStatus::Done, .. }), Some(ended_at)) =
                (TerminalState::decode(value), self.done.last(&job_id(id.0)))
            {
                self.observations
                    .terminal_states
                    .push((self.now, self.now.saturating_sub(ended_at)));
            }
        }
    }

    /// Adds a new job, which its user queries periodically from now on.
    pub(super) fn add_job(&mut self, job: &Job) {
        self.rules.jobs.insert(job.id.clone(), job.clone());
        self.rules.served.submitted(job, self.now);
        self.schedule(FIRST_POLL_MS, Event::Poll { job: job.id.clone() });
    }

    /// Draws a controller that users can reach through the load balancer; `None` if there are none.
    pub(super) fn draw_reachable_node(&mut self) -> Option<usize> {
        let is_reachable = |&node: &usize| {
            self.controllers[node].reaches_users() && self.controllers[node].has_cpu_time(self.now)
        };
        let reachable: Vec<usize> = (0..NODES).filter(is_reachable).collect();
        if reachable.is_empty() {
            return None;
        }
        Some(reachable[self.rng.random_range(0..reachable.len())])
    }

    /// Sends a request to a random reachable controller. Without one, the request is lost.
    pub(super) fn send_to_random_node(
        &mut self,
        kind: RequestKind,
        id: &str,
    ) -> Result<(), BrokenRule> {
        match self.draw_reachable_node() {
            Some(node) => self.send_to_node(node, kind, id),
            None => Ok(()),
        }
    }

    /// Sends a request to a given controller. If that is unreachable, the request is lost.
    pub(super) fn send_to_node(
        &mut self,
        node: usize,
        kind: RequestKind,
        id: &str,
    ) -> Result<(), BrokenRule> {
        let Some(job) = self.rules.jobs.get(id) else { return Ok(()) };
        if !self.controllers[node].reaches_users() {
            return Ok(());
        }
        let job = Box::new(job.clone());
        let number = JobId(parse_job_id(id).unwrap_or(0));
        let is_misrouted = self.plan.defect == InjectedDefect::MisroutedCancellations;
        self.send_request(node, kind, id, |req| match kind {
            RequestKind::Cancel if is_misrouted => Input::Get { req, id: number },
            kind => request_input(kind, req, number, job),
        })
    }

    /// Sends the input that `make_input` returns for the request's number, and records what the user knew before.
    /// A controller that gets no CPU time handles the input once it runs again.
    pub(super) fn send_request(
        &mut self,
        node: usize,
        kind: RequestKind,
        id: &str,
        make_input: impl FnOnce(u64) -> Input,
    ) -> Result<(), BrokenRule> {
        let request = UserRequest { kind, job: id.into(), knew: self.rules.knowledge(id) };
        let number = self.add_pending(node, PendingRequest::User(request));
        let input = make_input(number);
        if self.controllers[node].has_cpu_time(self.now) {
            return self.step(node, input);
        }
        self.schedule_input(0, self.process(node), input);
        Ok(())
    }

    /// Submits a new job, and schedules the next submission.
    pub(super) fn next_submission(&mut self) -> Result<(), BrokenRule> {
        let job = self.random_job();
        self.add_job(&job);
        let is_service = job.kind == JobKind::Service;
        if self.plan.random_faults && !is_service && self.rng.random_bool(0.04) {
            self.done.always_failing.insert(job.id.clone());
            self.schedule_cancel(&job.id, 20_000..60_000);
        } else if self.rng.random_bool(0.15) || is_service {
            self.schedule_cancel(&job.id, 3000..40_000);
        }
        self.send_to_random_node(RequestKind::Submit, &job.id)?;
        let wait_ms = self.rng.random_range(SUBMISSION_INTERVAL_MS);
        self.schedule(wait_ms / u64::from(self.plan.submission_rate), Event::NextSubmission);
        Ok(())
    }

    /// Sends a user's query or repeated submission of its job, and schedules the next one.
    pub(super) fn poll(&mut self, id: String) -> Result<(), BrokenRule> {
        let is_frequent = self.now < self.frequent_polls_until;
        let wait_ms = if is_frequent { FREQUENT_POLL_INTERVAL_MS } else { POLL_INTERVAL_MS };
        self.schedule(wait_ms, Event::Poll { job: id.clone() });
        // A repeated submission may come at any later time, even when the job is in a terminal state.
        let resubmits =
            !self.rules.accepted.contains(&id) || self.rng.random_range(0..RESUBMISSION_ODDS) == 0;
        let kind = if resubmits { RequestKind::Submit } else { RequestKind::Poll };
        self.send_to_random_node(kind, &id)
    }

    /// Sends a user's cancellation of its job. Once a user has been told a job's terminal state, a cancellation does
    /// not change that state.
    pub(super) fn cancel(&mut self, id: String) -> Result<(), BrokenRule> {
        if !self.rules.accepted.contains(&id) {
            self.schedule(CANCEL_WHEN_ACCEPTED_MS, Event::Cancel { job: id });
            return Ok(());
        }
        let is_over = self.rules.acknowledged.contains_key(&id);
        if !is_over && self.rules.cancel_requested.insert(id.clone()) {
            self.note_first_cancel(&id);
            self.schedule(CANCEL_RETRY_MS, Event::RepeatCancel { job: id.clone() });
        }
        self.send_to_random_node(RequestKind::Cancel, &id)
    }

    /// Records the first cancellation of a job whose user has not been told a terminal state.
    fn note_first_cancel(&mut self, id: &str) {
        self.rules.served.cancelled(id);
        let has_ended = self.rules.jobs.get(id).is_some_and(|job| self.done.all_of(job));
        let ended_at = self.done.last(id);
        if has_ended && ended_at.is_some_and(|at| self.now >= at + ENDED_BEFORE_CANCEL_MS) {
            self.rules.ended_before_cancel.insert(id.into());
        }
        self.rules.unanswered_cancels.insert(id.into(), self.now);
    }

    /// Repeats a cancellation that was not answered, and schedules the next repetition.
    pub(super) fn repeat_cancel(&mut self, id: String) -> Result<(), BrokenRule> {
        if !self.rules.unanswered_cancels.contains_key(&id) {
            return Ok(());
        }
        self.schedule(CANCEL_RETRY_MS, Event::RepeatCancel { job: id.clone() });
        self.send_to_random_node(RequestKind::Cancel, &id)
    }

    /// Delivers a controller's answer to a user, unless the answer is lost, and checks it against the rules.
    ///
    /// # Errors
    /// The rule that the answer breaks.
    pub(super) fn deliver_answer(
        &mut self,
        request: &UserRequest,
        reply: &UserReply,
    ) -> Result<(), BrokenRule> {
        let id = request.job.as_str();
        let shard = shard_of_job(JobId(parse_job_id(id).unwrap_or(0)), NODES);
        let is_answer_withheld =
            self.plan.defect == InjectedDefect::UnansweredShard && shard == Shard(0);
        let is_lost = self.plan.random_faults && self.rng.random_range(0..LOST_REPLY_ODDS) == 0;
        if is_lost || (is_answer_withheld && self.rules.accepted.contains(id)) {
            return Ok(());
        }
        let before = self.rules.knowledge(id);
        self.rules.check_answer(
            self.now,
            request,
            reply.status,
            reply.state.as_ref(),
            &self.done,
        )?;
        if matches!(reply.status, 200 | 201) {
            self.copy_user_request(request);
        }
        if self.rules.knowledge(id) != before {
            self.query_after_answer(id);
        }
        Ok(())
    }
}
