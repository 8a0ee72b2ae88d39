//! Command batches that are sent directly to workers, and their outcomes.
use super::command_log::{CommandPath, SentUnder};
use super::{Participant, MAX_COMMANDS};
use crate::context::Context;
use crate::guards::{is_enforced, Guard};
use crate::ids::{MachineIdx, Timestamp};
use crate::io::CommandOutcome;
use crate::machine::{BatchOutcome, HeartbeatKind, Machine};
use leaddeal_wire::worker::{CommandBatch, WorkerHeartbeat};

/// Time in ms for which no command batch is sent to a worker after one that it did not answer.
const BATCH_RETRY_DELAY_MS: u64 = 2000;

/// Returns whether a command batch may be sent to the machine's worker now.
fn can_send_commands(ctx: &Context, machine: &Machine) -> bool {
    let is_silent = ctx.now >= machine.last_heartbeat_at + ctx.config.max_silence_ms;
    (ctx.lease_valid || !is_enforced(Guard::StartNeedsValidLease))
        && machine.direct_batch.is_none()
        && !machine.released
        && !machine.lease_expired
        && machine.incarnation > 0
        && ctx.now >= machine.next_direct_at
        && !is_silent
        && !machine.addr.is_empty()
}

impl Participant {
    /// Sends the commands that need not wait for the worker's next heartbeat, if there are any.
    pub(super) fn send_commands(&mut self, ctx: &mut Context, idx: MachineIdx) {
        let Some(machine) = self.machines.get_mut(&idx) else { return };
        if !can_send_commands(ctx, machine) {
            return;
        }
        self.last_batch += 1;
        let batch = self.last_batch;
        let commands = machine.direct_commands(batch, MAX_COMMANDS);
        if commands.is_empty() {
            return;
        }
        machine.direct_batch = Some(batch);
        let incarnation = machine.incarnation;
        self.command_counts.batches += 1;
        self.record_commands(ctx, idx, &commands, CommandPath::Direct);
        let Some(machine) = self.machines.get(&idx) else { return };
        let command_batch = CommandBatch { token: machine.token, incarnation, commands };
        ctx.send_commands(idx, machine.addr.clone(), batch, command_batch);
    }

    /// Handles the outcome of a command batch.
    pub fn handle_batch_outcome(
        &mut self,
        ctx: &mut Context,
        machine: &str,
        batch: u64,
        outcome: &CommandOutcome,
    ) {
        let Some(idx) = ctx.names.find_machine(machine) else { return };
        let Some(machine) = self.machines.get(&idx) else { return };
        let sent = SentUnder { token: machine.token, incarnation: machine.incarnation };
        match outcome {
            CommandOutcome::Executed(heartbeat) => {
                self.handle_answered_batch(ctx, idx, batch, heartbeat);
            }
            CommandOutcome::Refused(heartbeat) => {
                self.record_refusal(ctx, sent, heartbeat);
                self.handle_answered_batch(ctx, idx, batch, heartbeat);
                self.delay_refused_commands(idx, heartbeat.token, ctx.now);
            }
            CommandOutcome::NotSent => {
                self.handle_unanswered_batch(idx, batch, BatchOutcome::Known, ctx.now);
            }
            CommandOutcome::Unknown => {
                self.command_counts.batches_unanswered += 1;
                self.handle_unanswered_batch(idx, batch, BatchOutcome::Unknown, ctx.now);
            }
        }
        self.changed_machines.insert(idx);
    }

    fn handle_answered_batch(
        &mut self,
        ctx: &mut Context,
        idx: MachineIdx,
        batch: u64,
        heartbeat: &WorkerHeartbeat,
    ) {
        let machine = self.machine_or_insert(idx);
        // The effect of the commands shows in this heartbeat and in all newer ones.
        let known = (machine.incarnation, machine.seq);
        if (heartbeat.incarnation, heartbeat.seq) > known {
            self.apply_heartbeat(ctx, idx, heartbeat, HeartbeatKind::CommandResponse);
        }
        let machine = self.machine_or_insert(idx);
        machine.end_direct_batch(batch, BatchOutcome::Known);
        machine.reachability.record_proof();
    }

    fn handle_unanswered_batch(
        &mut self,
        idx: MachineIdx,
        batch: u64,
        outcome: BatchOutcome,
        now: Timestamp,
    ) {
        let machine = self.machine_or_insert(idx);
        machine.end_direct_batch(batch, outcome);
        machine.next_direct_at = now + BATCH_RETRY_DELAY_MS;
    }

    /// Delays further commands to a worker that has seen a token which is not this owner's: it would refuse them, again
    /// and again. Other refused commands are sent again at once.
    fn delay_refused_commands(&mut self, idx: MachineIdx, worker_token: u64, now: Timestamp) {
        if worker_token > self.newest_token() {
            self.machine_or_insert(idx).next_direct_at = now + BATCH_RETRY_DELAY_MS;
        }
    }
}
