//! The workers' side of the simulation: heartbeats, replies to heartbeats, and commands, with the faults that can
//! happen to these messages.
use super::event::{
    Event, HeartbeatRequest, PendingRequest, RequestId, SentCommands, SentHeartbeat,
    SentHeartbeatReply,
};
use super::setup::machine_types;
use super::{InjectedDefect, Sim, NODES};
use crate::broken_rule::BrokenRule;
use crate::worker::Worker;
use leaddeal_core::io::{CommandOutcome, Input, WorkerReply};
use leaddeal_wire::worker::HeartbeatResponse;
use rand::Rng;

/// Interval between two steps of a worker.
const WORKER_STEP_MS: u64 = 500;
/// Time from the reply to a heartbeat to the next heartbeat.
const HEARTBEAT_INTERVAL_MS: u64 = 1500;
/// How long a worker waits for the reply to a heartbeat.
const HEARTBEAT_TIMEOUT_MS: u64 = 4000;
/// Time after which a worker that got no usable reply tries the next controller.
const RETRY_INTERVAL_MS: u64 = 1000;
/// Time after which a worker sends a heartbeat to the controller that it was redirected to.
const REDIRECT_MS: u64 = 100;
/// How long a controller waits for the outcome of commands.
pub(super) const COMMAND_TIMEOUT_MS: u64 = 2500;
/// Time after which a controller learns that its commands could not be sent.
const COMMAND_REFUSED_MS: u64 = 800;
/// Additional delay of a late heartbeat.
const LATE_HEARTBEAT_MS: std::ops::Range<u64> = 3000..30_000;
/// With random faults, one of this many heartbeats is late.
const LATE_HEARTBEAT_ODDS: u32 = 200;
/// Delay of a copy of a heartbeat.
const HEARTBEAT_COPY_MS: std::ops::Range<u64> = 1000..30_000;
/// With random faults, one of this many heartbeats is copied.
const HEARTBEAT_COPY_ODDS: u32 = 40;

/// Makes a worker send its next heartbeat to the next controller.
fn try_next_node(worker: &mut Worker, now: u64) {
    worker.node = (worker.node + 1) % NODES;
    worker.next_heartbeat = now + RETRY_INTERVAL_MS;
}

impl Sim {
    pub(super) fn next_machine_name(&mut self) -> String {
        self.next_machine += 1;
        format!("n-{:06}", self.next_machine)
    }

    /// Boots a machine with a new worker.
    pub(super) fn boot_machine(&mut self, name: &str, type_name: &str, zone: &str, spot: bool) {
        let mut worker = Worker::new(name, type_name, zone, spot, self.now, self.plan.lease_ms);
        let types = machine_types(self.plan.has_gpus());
        if let Some(machine_type) = types.iter().find(|t| t.name == type_name) {
            (worker.cpus, worker.gpus) = (machine_type.cpus, machine_type.gpus);
        }
        worker.ignores_stops = self.plan.defect == InjectedDefect::IgnoredStops;
        worker.node = self.rng.random_range(0..NODES);
        self.workers.insert(name.into(), worker);
        self.schedule(10, Event::WorkerStep { machine: name.into() });
    }

    /// Returns for how many milliseconds a zone partition holds back messages between a machine and a controller; 0 if
    /// none does.
    fn zone_partition_delay_ms(&self, machine: &str, node: usize) -> u64 {
        let worker = self.workers.get(machine);
        worker.map_or(0, |w| self.windows.zone_partition_ms(&w.zone, node, self.now))
    }

    /// Advances a worker's tasks, sends a heartbeat if one is due, and schedules the next step. Does nothing if the
    /// machine is gone.
    pub(super) fn worker_step(&mut self, machine: String) {
        let Some(worker) = self.workers.get_mut(&machine).filter(|w| !w.gone) else { return };
        if self.now < worker.hung_until {
            let wait_ms = worker.hung_until - self.now + 1;
            self.schedule(wait_ms, Event::WorkerStep { machine });
            return;
        }
        worker.advance(self.now, &mut self.done, &self.rules.jobs);
        if worker.heartbeat_sent_at.is_some_and(|sent| self.now > sent + HEARTBEAT_TIMEOUT_MS) {
            worker.heartbeat_sent_at = None;
            try_next_node(worker, self.now);
        }
        let is_due = self.now >= worker.next_heartbeat || worker.has_news;
        if worker.heartbeat_sent_at.is_none() && is_due {
            self.send_heartbeat(&machine);
        }
        self.schedule(WORKER_STEP_MS, Event::WorkerStep { machine });
    }

    /// Sends a heartbeat, which may be late, copied or lost.
    fn send_heartbeat(&mut self, machine: &str) {
        let Some(worker) = self.workers.get_mut(machine) else { return };
        worker.heartbeat_sent_at = Some(self.now);
        worker.has_news = false;
        let heartbeat = worker.heartbeat();
        let node = worker.node;
        let is_partitioned = self.now < worker.outbound_partition_until;
        let latency_ms = self.draw_latency_ms();
        let is_late = self.plan.random_faults && self.rng.random_range(0..LATE_HEARTBEAT_ODDS) == 0;
        let held_ms = if is_late { self.rng.random_range(LATE_HEARTBEAT_MS) } else { 0 };
        // A copy may arrive late at any controller. No worker waits for its reply.
        let is_copied = self.windows.late_heartbeat_copies.draw(self.now, &mut self.rng);
        let is_copied_at_random = |sim: &mut Sim| {
            sim.plan.random_faults && sim.rng.random_range(0..HEARTBEAT_COPY_ODDS) == 0
        };
        if is_copied || is_copied_at_random(self) {
            let copy_ms = self.rng.random_range(HEARTBEAT_COPY_MS);
            let to = self.rng.random_range(0..NODES);
            let copy = SentHeartbeat { node: to, sent_at: 0, heartbeat: heartbeat.clone() };
            self.schedule(copy_ms, Event::Heartbeat(copy));
        }
        self.copy_heartbeat(&heartbeat);
        let sent_at = self.now;
        let is_delayed = self.delayed_heartbeats.hold(&heartbeat, sent_at, &mut self.rng);
        if !is_delayed && !is_partitioned {
            let sent = SentHeartbeat { node, sent_at, heartbeat };
            self.schedule(latency_ms + held_ms, Event::Heartbeat(sent));
        }
    }

    /// Delivers a heartbeat to a controller, or holds it back during a zone partition.
    pub(super) fn deliver_heartbeat(&mut self, sent: SentHeartbeat) -> Result<(), BrokenRule> {
        let node = sent.node;
        let held_ms = self.zone_partition_delay_ms(&sent.heartbeat.machine, node);
        if held_ms > 0 {
            self.schedule(held_ms, Event::Heartbeat(sent));
            return Ok(());
        }
        let controller = &self.controllers[node];
        if controller.core.is_none() || !controller.reaches_workers(self.now) {
            return Ok(());
        }
        let SentHeartbeat { sent_at, heartbeat, .. } = sent;
        let (machine, incarnation) = (heartbeat.machine.clone(), heartbeat.incarnation);
        let waiting = HeartbeatRequest { machine, sent_at, incarnation };
        let req = self.add_pending(node, PendingRequest::Heartbeat(waiting));
        self.step(node, Input::WorkerHeartbeat { req, heartbeat: Box::new(heartbeat) })
    }

    /// Sends a controller's reply to a heartbeat, which is lost if the controller doesn't reach the workers.
    pub(super) fn reply_to_worker(
        &mut self,
        node: usize,
        req: u64,
        reply: WorkerReply,
        latency_ms: u64,
    ) {
        let id = RequestId { process: self.process(node), number: req };
        if let Some(PendingRequest::Heartbeat(request)) = self.pending_requests.remove(&id) {
            let reply = self.controllers[node].reaches_workers(self.now).then_some(reply);
            let sent = SentHeartbeatReply { request, reply };
            self.schedule(latency_ms, Event::HeartbeatReply(sent));
        }
    }

    /// Delivers the reply to a heartbeat, if the worker is reachable and still waits for it.
    pub(super) fn deliver_heartbeat_reply(&mut self, sent: SentHeartbeatReply) {
        let HeartbeatRequest { machine, sent_at, incarnation } = sent.request;
        let now = self.now;
        let asked_node = self.workers.get(&machine).map_or(0, |w| w.node);
        if self.zone_partition_delay_ms(&machine, asked_node) > 0 {
            return;
        }
        let Some(worker) = self.workers.get_mut(&machine) else { return };
        let is_reached = !worker.gone && now >= worker.unreachable_until();
        if !is_reached || worker.heartbeat_sent_at != Some(sent_at) {
            return;
        }
        let Some(reply) = sent.reply else { return };
        worker.heartbeat_sent_at = None;
        worker.next_heartbeat = now + HEARTBEAT_INTERVAL_MS;
        match reply {
            WorkerReply::HeartbeatResponse(HeartbeatResponse { token, commands }) => {
                worker.advance(now, &mut self.done, &self.rules.jobs);
                if worker.accepts(token, incarnation) {
                    worker.lease_granted_at = worker.lease_granted_at.max(sent_at);
                    worker.receive_commands(
                        now,
                        token,
                        &commands,
                        &mut self.done,
                        &self.rules.jobs,
                    );
                }
            }
            WorkerReply::Redirect(Some(to)) => {
                worker.node = to[2..].parse().unwrap_or(0);
                worker.next_heartbeat = now + REDIRECT_MS;
            }
            WorkerReply::Redirect(None) | WorkerReply::Unavailable => try_next_node(worker, now),
        }
    }

    /// Schedules the outcome of commands as an input of the controller that sent them.
    fn report_outcome(&mut self, sent: &SentCommands, outcome: CommandOutcome, delay_ms: u64) {
        let (machine, batch) = (sent.machine.clone(), sent.batch);
        let input = Input::CommandOutcome { machine, batch, outcome };
        self.schedule_input(delay_ms, sent.process, input);
    }

    /// Tells the sender of commands, after its timeout, that their outcome is unknown.
    pub(super) fn report_unknown_outcome(&mut self, sent: &SentCommands) {
        self.report_outcome(sent, CommandOutcome::Unknown, COMMAND_TIMEOUT_MS);
    }

    /// Delivers commands again later, when their sender no longer waits for the outcome.
    fn redeliver_commands(&mut self, sent: SentCommands, delay_ms: u64) {
        self.schedule(delay_ms, Event::Commands(SentCommands { answer_lost: true, ..sent }));
    }

    /// Delivers commands to a worker. During a partition or while the machine hangs, holds them back or drops them.
    pub(super) fn deliver_commands(&mut self, sent: SentCommands) {
        let held_ms = self.zone_partition_delay_ms(&sent.machine, sent.process.node);
        if held_ms > 0 {
            if !sent.answer_lost {
                self.report_unknown_outcome(&sent);
            }
            self.redeliver_commands(sent, held_ms);
            return;
        }
        let faults = &self.controllers[sent.process.node].faults;
        if self.now < faults.worker_partition_until && !sent.answer_lost {
            self.report_outcome(&sent, CommandOutcome::NotSent, COMMAND_REFUSED_MS);
            return;
        }
        let Some(worker) = self.workers.get(&sent.machine).filter(|w| !w.gone) else { return };
        let (hung_until, reached_at) = (worker.hung_until, worker.unreachable_until());
        if self.now < reached_at {
            if !sent.answer_lost {
                self.report_unknown_outcome(&sent);
            }
            // A hung machine receives the commands when it resumes. Across an inbound partition they are lost or
            // arrive when it ends, after their sender's timeout.
            if self.now < hung_until || self.rng.random_bool(0.5) {
                let wait_ms = reached_at - self.now + 1;
                self.redeliver_commands(sent, wait_ms);
            }
            return;
        }
        self.execute_commands(&sent);
    }

    /// Makes a worker execute commands, or refuse them as stale, and answer with its state.
    fn execute_commands(&mut self, sent: &SentCommands) {
        let Some(worker) = self.workers.get_mut(&sent.machine) else { return };
        let (now, jobs, commands) = (self.now, &self.rules.jobs, &sent.commands);
        worker.advance(now, &mut self.done, jobs);
        let is_accepted = worker.accepts(commands.token, commands.incarnation);
        if is_accepted {
            worker.receive_commands(now, commands.token, &commands.commands, &mut self.done, jobs);
        }
        let state = Box::new(worker.heartbeat());
        if !sent.is_copy {
            self.copy_commands(sent);
        }
        if sent.answer_lost {
            return;
        }
        if self.controllers[sent.process.node].faults.isolated {
            self.report_unknown_outcome(sent);
            return;
        }
        let outcome = match is_accepted {
            true => CommandOutcome::Executed(state),
            false => CommandOutcome::Refused(state),
        };
        let latency_ms = self.draw_latency_ms();
        self.report_outcome(sent, outcome, latency_ms);
    }
}
