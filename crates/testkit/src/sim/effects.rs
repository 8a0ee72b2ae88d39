//! Executes the effects that controllers return: messages to users, workers and other controllers, and calls to
//! the store and the cloud.
use super::cloud::CLOUD_CALL_MS;
use super::event::{Event, PendingRequest, RequestId, SentCommands};
use super::workers::COMMAND_TIMEOUT_MS;
use super::{InjectedDefect, Sim};
use crate::broken_rule::{BrokenRule, Rule};
use leaddeal_core::io::{CloudResult, Effect, Input, LogLevel, StoreCall, UserReply};
use leaddeal_wire::mesh::{NodeMessage, ShardMessage};
use rand::Rng;

/// With random faults, one of this many command batches loses its answer and may be late.
const LOST_COMMAND_ODDS: u32 = 30;
/// Additional delay of a command batch whose answer is lost.
const LATE_COMMANDS_MS: std::ops::Range<u64> = 0..20_000;
/// Transactions with more changes than this are left out of the trace.
const MAX_TRACED_CHANGES: usize = 8;

fn is_grant(msg: &NodeMessage) -> bool {
    matches!(msg, NodeMessage::Shard { msg: ShardMessage::TeamGrant { .. }, .. })
}

impl Sim {
    /// Draws the latency of a message.
    pub(super) fn draw_latency_ms(&mut self) -> u64 {
        self.plan.extra_latency_ms
            + match self.rng.random_range(0..100) {
                0..90 => self.rng.random_range(1..6),
                90..99 => self.rng.random_range(5..60),
                _ if self.plan.random_faults => self.rng.random_range(60..900),
                _ => 20,
            }
    }

    /// Records who waits for the answer to a request, and returns the request's number.
    pub(super) fn add_pending(&mut self, node: usize, pending: PendingRequest) -> u64 {
        self.next_request += 1;
        let number = self.next_request;
        self.pending_requests.insert(RequestId { process: self.process(node), number }, pending);
        number
    }

    /// Executes an effect of a controller's core.
    ///
    /// # Errors
    /// The rule that the effect breaks.
    pub(super) fn execute_effect(&mut self, node: usize, effect: Effect) -> Result<(), BrokenRule> {
        // Debug lines are there only in a traced run, which must be the same run.
        if let Effect::Log { level: LogLevel::Debug, event, details } = &effect {
            self.note_log(node, event, details);
            return Ok(());
        }
        let latency_ms = self.draw_latency_ms();
        match effect {
            Effect::User { req, reply } => self.reply_to_user(node, req, &reply)?,
            Effect::Worker { req, reply } => self.reply_to_worker(node, req, reply, latency_ms),
            Effect::Mesh { to, msg } => self.send_to_peer(node, &to, msg, latency_ms)?,
            Effect::Store { op, call } => {
                self.trace_transaction(node, &call);
                self.send_to_store(node, op, latency_ms, call);
            }
            Effect::Cloud { op, call } => {
                let result = match self.controllers[node].faults.isolated {
                    true => CloudResult::Refused,
                    false => {
                        self.copy_cloud_call(&call);
                        self.execute_cloud_call(call)?
                    }
                };
                let input = Input::Cloud { op, result };
                self.schedule_input(CLOUD_CALL_MS + latency_ms, self.process(node), input);
            }
            Effect::Commands { machine, batch, commands: command_batch, .. } => {
                let process = self.process(node);
                self.check_token(process, &machine, command_batch.token)?;
                let commands = command_batch;
                let (answer_lost, is_copy) = (false, false);
                let sent = SentCommands { process, machine, batch, commands, answer_lost, is_copy };
                self.send_commands(sent, latency_ms);
            }
            Effect::Log { event, details, .. } => self.note_log(node, event, &details),
        }
        Ok(())
    }

    fn reply_to_user(
        &mut self,
        node: usize,
        req: u64,
        reply: &UserReply,
    ) -> Result<(), BrokenRule> {
        let id = RequestId { process: self.process(node), number: req };
        match self.pending_requests.remove(&id) {
            Some(PendingRequest::User(request)) => self.deliver_answer(&request, reply),
            _ => Ok(()),
        }
    }

    fn send_to_peer(
        &mut self,
        from: usize,
        to_name: &str,
        msg: NodeMessage,
        latency_ms: u64,
    ) -> Result<(), BrokenRule> {
        let to: usize = to_name[2..].parse().map_err(|_| Rule::UnknownNode.broken(to_name))?;
        if let NodeMessage::Shard { msg: ShardMessage::Place { job, picks, .. }, .. } = &msg {
            self.observations.note_placed(self.now, from, *job, picks);
        }
        let not_sent = self.plan.defect == InjectedDefect::NoGrants && is_grant(&msg);
        if not_sent
            || self.is_peer_message_lost(&msg)
            || self.are_partitioned(from, to)
            || self.controllers[to].core.is_none()
        {
            return Ok(());
        }
        // Messages between two controllers share a connection, which keeps their order.
        let previous = self.last_delivery.get(&(from, to)).copied().unwrap_or(0);
        let time = (self.now + latency_ms).max(previous);
        self.last_delivery.insert((from, to), time);
        self.copy_peer_message(from, to, &msg);
        let input = Input::Mesh { from: format!("n-{from}"), msg: Box::new(msg) };
        self.schedule_input(time - self.now, self.process(to), input);
        Ok(())
    }

    /// Returns whether two controllers are unreachable from each other.
    fn are_partitioned(&self, one: usize, other: usize) -> bool {
        let is_partitioned =
            |node: usize| self.controllers[node].is_partitioned_from_store_and_peers(self.now);
        let is_pair = self.windows.is_pair_partitioned(one, other, self.now);
        is_pair
            || is_partitioned(one)
            || is_partitioned(other)
            || self.now < self.peer_partition_until
    }

    /// Sends commands to a worker. With random faults, some batches are late and their answers are lost.
    fn send_commands(&mut self, mut sent: SentCommands, latency_ms: u64) {
        let node = sent.process.node;
        if self.trace {
            let commands = &sent.commands.commands;
            eprintln!("{} n-{node} commands {} {commands:?}", self.now, sent.machine);
        }
        self.note_commands(node, &sent.machine);
        let (is_lost, held_ms) = match self.rng.random_range(0..LOST_COMMAND_ODDS) {
            0 if self.plan.random_faults => (true, self.rng.random_range(LATE_COMMANDS_MS)),
            _ => (false, 0),
        };
        // A batch that is delayed beyond its sender's timeout is executed all the same.
        let slow_ms = self.windows.delayed_commands.strongest(self.now).unwrap_or(0);
        sent.answer_lost = is_lost || slow_ms > COMMAND_TIMEOUT_MS;
        if sent.answer_lost {
            self.report_unknown_outcome(&sent);
        }
        self.schedule(latency_ms + held_ms + slow_ms, Event::Commands(sent));
    }

    fn note_log(&mut self, node: usize, event: &str, details: &str) {
        if event == "shard_loaded" {
            self.observations.loaded.push((self.now, node));
        }
        if self.trace {
            eprintln!("{} n-{node} {event} {details}", self.now);
        }
        self.note_owner_change(node, event, details);
    }

    fn trace_transaction(&self, node: usize, call: &StoreCall) {
        if let (true, StoreCall::Transaction(transaction)) = (self.trace, call) {
            if transaction.changes.len() <= MAX_TRACED_CHANGES {
                eprintln!("{} n-{node} txn {transaction:?}", self.now);
            }
        }
    }
}
