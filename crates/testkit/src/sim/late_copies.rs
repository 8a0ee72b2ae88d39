//! Late copies of messages that were delivered, and of requests that were carried out. Nobody waits for the answer to a
//! copy.
//!
//! Copies are drawn from a random number generator of their own, so that a copy without an effect leaves the run as it
//! would be without it.
use super::event::{Event, SentCommands, SentHeartbeat, SentStoreCall};
use super::users::request_input;
use super::{Sim, NODES};
use crate::broken_rule::BrokenRule;
use crate::script::CopiedKind;
use crate::user_knowledge::{RequestKind, UserRequest};
use leaddeal_core::ids::JobId;
use leaddeal_core::io::{CloudCall, Input, StoreCall};
use leaddeal_wire::mesh::NodeMessage;
use leaddeal_wire::user::parse_job_id;
use leaddeal_wire::worker::WorkerHeartbeat;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Combined with a run's seed to draw the copies from a different stream of random numbers than the run itself.
const COPY_SEED_MASK: u64 = 0xC0_91E5;
/// Shortest delay of a copy.
const MIN_DELAY_MS: f64 = 1000.0;
/// Longest delay of a copy, as a multiple of the shortest one.
const MAX_DELAY_RATIO: f64 = 180.0;
/// Number of a store call whose answer nobody waits for.
pub(super) const NO_SENDER: u64 = 0;

/// Returns the odds of a copy with random faults: one of this many messages of the kind is copied.
fn odds(kind: CopiedKind) -> u32 {
    match kind {
        CopiedKind::Commands | CopiedKind::StoreCalls => 20,
        CopiedKind::Heartbeats => 80,
        CopiedKind::PeerMessages => 100,
        CopiedKind::CloudCalls | CopiedKind::UserRequests => 5,
    }
}

/// A message between controllers that arrives once more.
pub(super) struct PeerMessageCopy {
    from: usize,
    to: usize,
    message: NodeMessage,
}

/// A user's request that arrives once more.
pub(super) struct UserRequestCopy {
    node: usize,
    kind: RequestKind,
    job: String,
}

/// A late copy, by who receives it. Copies of heartbeats are ordinary heartbeat events.
pub(super) enum LateCopy {
    Commands(SentCommands),
    PeerMessage(PeerMessageCopy),
    StoreCall(SentStoreCall),
    CloudCall(CloudCall),
    UserRequest(UserRequestCopy),
}

/// Draws which messages are copied, and when the copies arrive.
pub(super) struct CopyDraws(SmallRng);

impl CopyDraws {
    pub(super) fn new(seed: u64) -> CopyDraws {
        CopyDraws(SmallRng::seed_from_u64(seed ^ COPY_SEED_MASK))
    }

    /// Draws a delay. Short ones are as likely as long ones: the copies of one second and of minutes meet different
    /// states.
    fn delay_ms(&mut self) -> u64 {
        (MIN_DELAY_MS * MAX_DELAY_RATIO.powf(self.0.random::<f64>())) as u64
    }

    fn node(&mut self) -> usize {
        self.0.random_range(0..NODES)
    }
}

impl Sim {
    /// Draws the delay of a copy of a message; `None` if it is not copied.
    fn draw_copy_delay(&mut self, kind: CopiedKind) -> Option<u64> {
        let rng = &mut self.copy_draws.0;
        let windows = self.windows.late_copies.get_mut(&kind);
        let is_scripted = windows.is_some_and(|windows| windows.draw(self.now, rng));
        let is_copied =
            is_scripted || (self.plan.random_faults && rng.random_range(0..odds(kind)) == 0);
        *self.observations.late_copies.entry(kind).or_default() += u64::from(is_copied);
        is_copied.then(|| self.copy_draws.delay_ms())
    }

    fn schedule_copy(&mut self, delay_ms: u64, copy: LateCopy) {
        self.schedule(delay_ms, Event::LateCopy(copy));
    }

    /// May schedule a copy of commands that a worker has received.
    pub(super) fn copy_commands(&mut self, sent: &SentCommands) {
        if let Some(delay_ms) = self.draw_copy_delay(CopiedKind::Commands) {
            let copy = SentCommands { answer_lost: true, is_copy: true, ..sent.clone() };
            self.schedule_copy(delay_ms, LateCopy::Commands(copy));
        }
    }

    /// May schedule a copy of a heartbeat, for any controller.
    pub(super) fn copy_heartbeat(&mut self, heartbeat: &WorkerHeartbeat) {
        if let Some(delay_ms) = self.draw_copy_delay(CopiedKind::Heartbeats) {
            let node = self.copy_draws.node();
            let copy = SentHeartbeat { node, sent_at: 0, heartbeat: heartbeat.clone() };
            self.schedule(delay_ms, Event::Heartbeat(copy));
        }
    }

    /// May schedule a copy of a message between controllers, for the process that then runs.
    pub(super) fn copy_peer_message(&mut self, from: usize, to: usize, message: &NodeMessage) {
        if let Some(delay_ms) = self.draw_copy_delay(CopiedKind::PeerMessages) {
            let copy = PeerMessageCopy { from, to, message: message.clone() };
            self.schedule_copy(delay_ms, LateCopy::PeerMessage(copy));
        }
    }

    /// May schedule a copy of a change to the store or to its leases that was carried out.
    pub(super) fn copy_store_call(&mut self, sent: &SentStoreCall) {
        let is_change = match &sent.call {
            StoreCall::Transaction(_)
            | StoreCall::NewLease { .. }
            | StoreCall::RenewLease { .. }
            | StoreCall::EndLease { .. } => true,
            StoreCall::Get { .. } | StoreCall::List { .. } | StoreCall::Watch { .. } => false,
        };
        if !is_change {
            return;
        }
        if let Some(delay_ms) = self.draw_copy_delay(CopiedKind::StoreCalls) {
            let copy =
                SentStoreCall { process: sent.process, op: NO_SENDER, call: sent.call.clone() };
            self.schedule_copy(delay_ms, LateCopy::StoreCall(copy));
        }
    }

    /// May schedule a copy of a launch or a release that was carried out.
    pub(super) fn copy_cloud_call(&mut self, call: &CloudCall) {
        if !matches!(call, CloudCall::Launch(_) | CloudCall::Release(_)) {
            return;
        }
        if let Some(delay_ms) = self.draw_copy_delay(CopiedKind::CloudCalls) {
            self.schedule_copy(delay_ms, LateCopy::CloudCall(call.clone()));
        }
    }

    /// May schedule a copy of a submission or cancellation that was answered with the job's state.
    pub(super) fn copy_user_request(&mut self, request: &UserRequest) {
        if request.kind == RequestKind::Poll {
            return;
        }
        if let Some(delay_ms) = self.draw_copy_delay(CopiedKind::UserRequests) {
            let (kind, job) = (request.kind, request.job.clone());
            let copy = UserRequestCopy { node: self.copy_draws.node(), kind, job };
            self.schedule_copy(delay_ms, LateCopy::UserRequest(copy));
        }
    }

    /// Delivers a copy.
    ///
    /// # Errors
    /// The rule that the receiver breaks.
    pub(super) fn deliver_copy(&mut self, copy: LateCopy) -> Result<(), BrokenRule> {
        match copy {
            LateCopy::Commands(sent) => self.deliver_commands(sent),
            LateCopy::PeerMessage(copy) => self.deliver_peer_message_copy(copy)?,
            LateCopy::StoreCall(sent) => self.execute_store_call(sent)?,
            LateCopy::CloudCall(call) => {
                self.execute_cloud_call(call)?;
            }
            LateCopy::UserRequest(copy) => self.deliver_user_request_copy(&copy)?,
        }
        Ok(())
    }

    fn deliver_peer_message_copy(&mut self, copy: PeerMessageCopy) -> Result<(), BrokenRule> {
        let PeerMessageCopy { from, to, message } = copy;
        if self.trace {
            eprintln!("{} copy for n-{to} {message:?}", self.now);
        }
        self.step(to, Input::Mesh { from: format!("n-{from}"), msg: Box::new(message) })
    }

    fn deliver_user_request_copy(&mut self, copy: &UserRequestCopy) -> Result<(), BrokenRule> {
        let Some(job) = self.rules.jobs.get(&copy.job) else { return Ok(()) };
        let id = JobId(parse_job_id(&copy.job).unwrap_or(0));
        let job = Box::new(job.clone());
        self.next_request += 1;
        let input = request_input(copy.kind, self.next_request, id, job);
        self.step(copy.node, input)
    }
}
