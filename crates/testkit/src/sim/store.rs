//! Calls to the simulated store, and their answers.
use super::event::{Event, OpenWatch, SentStoreAnswer, SentStoreCall};
use super::late_copies::NO_SENDER;
use super::Sim;
use crate::broken_rule::{BrokenRule, Rule};
use leaddeal_core::io::{Input, StoreCall, StoreResult};
use leaddeal_wire::state::Events;
use rand::Rng;

/// Longest time that a controller waits for the answer to a call.
pub(super) const STORE_TIMEOUT_MS: u64 = 2000;
/// Interval between two polls of a watch for changes.
const WATCH_INTERVAL_MS: u64 = 50;
/// Time until a watch is refused while the store ends all watches.
const WATCH_REFUSED_MS: u64 = 5;
/// Delay of a late transaction, whose sender gets no answer.
const LATE_WRITE_MS: std::ops::Range<u64> = 2000..25_000;
/// With random faults, one of this many transactions is late.
const LATE_WRITE_ODDS: u32 = 150;
/// With random faults, one of this many answers is lost.
const LOST_ANSWER_ODDS: u32 = 60;

impl Sim {
    /// Returns whether the store refuses a controller's calls now.
    fn store_refuses(&self, node: usize) -> bool {
        let faults = &self.controllers[node].faults;
        let refused_until = self.store_outage_until.max(faults.store_refuses_until);
        faults.store_refuses || self.now < refused_until
    }

    /// Draws whether a transaction gets no answer and is executed late.
    fn is_write_late(&mut self) -> bool {
        (self.plan.random_faults && self.rng.random_range(0..LATE_WRITE_ODDS) == 0)
            || self.windows.late_writes.draw(self.now, &mut self.rng)
    }

    /// Sends a controller's call to the store, where it arrives after `latency_ms`.
    pub(super) fn send_to_store(&mut self, node: usize, op: u64, latency_ms: u64, call: StoreCall) {
        let process = self.process(node);
        match call {
            StoreCall::Watch { prefix, after, wait_ms } => {
                let until = self.now + wait_ms;
                let watch = OpenWatch { process, op, prefix, after, until };
                self.schedule(latency_ms, Event::Watch(watch));
            }
            // Executed late: the sender has given it up or ended by then.
            StoreCall::Transaction(transaction) if self.is_write_late() => {
                let unknown = Input::Store { op, result: StoreResult::Unknown };
                self.schedule_input(STORE_TIMEOUT_MS, process, unknown);
                let held_ms = self.rng.random_range(LATE_WRITE_MS);
                let call = StoreCall::Transaction(transaction);
                self.schedule(
                    held_ms,
                    Event::Store(SentStoreCall { process, op: NO_SENDER, call }),
                );
            }
            call => self.schedule(latency_ms, Event::Store(SentStoreCall { process, op, call })),
        }
    }

    /// Executes a call at the store, and schedules the answer.
    ///
    /// # Errors
    /// [`Rule::TransactionRepeated`] if a late copy of the transaction would be executed again.
    pub(super) fn execute_store_call(&mut self, sent: SentStoreCall) -> Result<(), BrokenRule> {
        let (process, op, call) = (sent.process, sent.op, &sent.call);
        let mut result = self.store_result(process.node, call);
        if let (StoreCall::Transaction(transaction), StoreResult::Committed(revision)) =
            (call, &result)
        {
            self.note_terminal_states(transaction);
            self.note_acquisitions(process, transaction, *revision);
        }
        // The answer is lost: the call was executed, but the controller does not learn it.
        if self.plan.random_faults && self.rng.random_range(0..LOST_ANSWER_ODDS) == 0
            || self.draw_answer_loss(process.node, call, &result)
        {
            result = StoreResult::Unknown;
        }
        if let Some(transaction) = &self.state.repeatable {
            return Err(Rule::TransactionRepeated
                .broken(format!("a late copy would do it again: {transaction}")));
        }
        let is_executed = !matches!(
            result,
            StoreResult::Refused | StoreResult::RateLimited | StoreResult::Unknown
        );
        if is_executed && op != NO_SENDER {
            self.copy_store_call(&sent);
        }
        self.observations.store_calls += 1;
        self.observations.pages += u64::from(matches!(result, StoreResult::Page(_)));
        if matches!(result, StoreResult::Unknown) {
            self.schedule_input(STORE_TIMEOUT_MS, process, Input::Store { op, result });
            return Ok(());
        }
        let answer_ms = self.draw_store_answer_ms();
        let answer = SentStoreAnswer { process, op, result, executed_at: self.now };
        self.schedule(answer_ms, Event::StoreAnswer(answer));
        Ok(())
    }

    /// Draws how long the store takes to answer.
    fn draw_store_answer_ms(&mut self) -> u64 {
        let slow_ms = self.windows.slow_store.strongest(self.now).unwrap_or(0);
        self.draw_latency_ms() + slow_ms
    }

    /// Delivers the answer to a call. If the store has gone down since it executed the call, the answer is lost, and
    /// its sender waits until its timeout.
    pub(super) fn deliver_store_answer(&mut self, answer: SentStoreAnswer) {
        let SentStoreAnswer { process, op, result, executed_at } = answer;
        let is_outage = self.now < self.store_outage_until;
        if !is_outage || matches!(result, StoreResult::Refused) {
            self.schedule_input(0, process, Input::Store { op, result });
            return;
        }
        self.observations.answers_lost_in_outages += 1;
        let timeout_at = (executed_at + STORE_TIMEOUT_MS).max(self.now);
        let unknown = Input::Store { op, result: StoreResult::Unknown };
        self.schedule_input(timeout_at - self.now, process, unknown);
    }

    /// Executes a call, unless a partition or the store's refusal prevents that, and returns its result.
    fn store_result(&mut self, node: usize, call: &StoreCall) -> StoreResult {
        let flaky = self.windows.flaky_store.draw(self.now, &mut self.rng);
        if self.controllers[node].is_partitioned_from_store_and_peers(self.now) {
            return StoreResult::Unknown;
        }
        if flaky || self.store_refuses(node) {
            return StoreResult::Refused;
        }
        self.state.call(self.now, call)
    }

    /// Polls a watch for changes, and schedules the next poll if there are none and its time is not over.
    pub(super) fn poll_watch(&mut self, watch: OpenWatch) {
        if !self.is_alive(watch.process) {
            return;
        }
        let (process, op) = (watch.process, watch.op);
        if self.windows.no_watches.strongest(self.now).is_some() {
            let refused = Input::Store { op, result: StoreResult::Refused };
            self.schedule_input(WATCH_REFUSED_MS, process, refused);
            return;
        }
        let unreachable = self.is_store_unreachable(process.node);
        if !unreachable {
            self.state.expire(self.now);
        }
        let found = self.state.events(&watch.prefix, watch.after);
        if !unreachable && (!found.events.is_empty() || self.now >= watch.until) {
            let answer_ms = self.draw_store_answer_ms();
            self.schedule(answer_ms, Event::WatchAnswer { watch, found });
        } else {
            self.schedule(WATCH_INTERVAL_MS, Event::Watch(watch));
        }
    }

    /// Returns whether the store refuses a controller's calls, or a partition separates the two.
    fn is_store_unreachable(&self, node: usize) -> bool {
        self.store_refuses(node)
            || self.controllers[node].is_partitioned_from_store_and_peers(self.now)
    }

    /// Delivers the changes that a watch found. If the store has become unreachable meanwhile, the watch stays open
    /// and finds them again afterwards.
    pub(super) fn deliver_watch_answer(&mut self, watch: OpenWatch, found: Events) {
        if self.is_store_unreachable(watch.process.node) {
            self.schedule(WATCH_INTERVAL_MS, Event::Watch(watch));
            return;
        }
        let result = StoreResult::Events(found);
        self.schedule_input(0, watch.process, Input::Store { op: watch.op, result });
    }
}
