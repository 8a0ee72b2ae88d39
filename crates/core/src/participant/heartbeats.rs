//! Heartbeats of workers: grants leases, records the states of tasks, and suspects machines on which
//! tasks fail.
use super::command_log::CommandPath;
use super::observations::Observations;
use super::{Participant, FAILURE_EVIDENCE_MS, MAX_COMMANDS};
use crate::context::Context;
use crate::ids::{MachineIdx, Timestamp};
use crate::io::LogLevel;
use crate::machine::{AttemptKey, HeartbeatKind, Machine, OwnerLease, StopRequest, TokenDemand};
use crate::reachability::HeartbeatPath;
use leaddeal_wire::mesh::TaskPhase;
use leaddeal_wire::worker::{HeartbeatResponse, TaskState, WorkerHeartbeat};

/// Time in ms for which a machine is not offered after its worker refused a task for lack of free
/// resources.
const REFUSAL_QUARANTINE_MS: u64 = 2000;
/// Time in seconds that a task on a machine with an interruption notice gets in addition to the time
/// that it needs to save its progress.
const INTERRUPTION_GRACE_S: f64 = 5.0;

/// Stops the running tasks that can save their progress, so that they can restart elsewhere before the
/// cloud interrupts the machine. The other tasks run on: they may still complete in time.
fn save_before_interruption(machine: &mut Machine, now: Timestamp) {
    for task in machine.tasks.values_mut() {
        let running = matches!(task.phase, TaskPhase::On(TaskState::Running));
        let Some(shape) = task.shape.as_ref().filter(|_| running && task.stop.is_none()) else {
            continue;
        };
        if shape.wire.checkpoint_s > 0.0 {
            let grace_s = shape.wire.save_s + INTERRUPTION_GRACE_S;
            task.stop = Some(StopRequest { grace_s, since: now });
        }
    }
    machine.update_load();
}

impl Participant {
    /// Handles a periodic heartbeat and returns the response that renews the worker's lease. Returns
    /// `None` if the worker knows a newer owner or does not wait for a response to this heartbeat, or
    /// if the machine was released or its lease has expired.
    pub fn handle_heartbeat(
        &mut self,
        ctx: &mut Context,
        heartbeat: &WorkerHeartbeat,
        via: HeartbeatPath,
    ) -> Option<HeartbeatResponse> {
        if heartbeat.token > self.newest_token() {
            self.record_foreign_token(ctx, heartbeat);
            return None;
        }
        let idx = ctx.names.machine(&heartbeat.machine);
        let machine = self.machine_or_insert(idx);
        if machine.released || !machine.awaits_response(heartbeat) {
            return None;
        }
        machine.reachability.record_heartbeat(via, ctx.config.heartbeat_due_ms, ctx.now);
        self.apply_heartbeat(ctx, idx, heartbeat, HeartbeatKind::Periodic);
        let newest_token = self.newest_token();
        let machine = self.machine_or_insert(idx);
        // The worker's lease has expired and its tasks were declared gone. A late heartbeat of that
        // incarnation must not renew the lease.
        if machine.lease_expired {
            return None;
        }
        machine.lease_granted_at = ctx.now;
        let newest = (heartbeat.incarnation, heartbeat.seq) == (machine.incarnation, machine.seq);
        if !newest {
            return Some(HeartbeatResponse { token: machine.token, commands: Vec::new() });
        }
        let token_demand = machine.raise_token(newest_token);
        // Stops are still sent while this node's lease is uncertain: the decision to stop is durable
        // and holds under any owner. Otherwise a cancelled task runs on if an outage of the store
        // begins between the cancellation and the worker's first heartbeat to this owner.
        let lease = if ctx.lease_valid { OwnerLease::Valid } else { OwnerLease::Uncertain };
        let commands = machine.response_commands(ctx.now, MAX_COMMANDS, lease);
        let token = machine.token;
        if token_demand == TokenDemand::Unmet {
            self.ownership_proof.want();
        }
        self.command_counts.heartbeats += 1;
        self.record_commands(ctx, idx, &commands, CommandPath::Response);
        Some(HeartbeatResponse { token, commands })
    }

    pub(super) fn apply_heartbeat(
        &mut self,
        ctx: &mut Context,
        idx: MachineIdx,
        heartbeat: &WorkerHeartbeat,
        kind: HeartbeatKind,
    ) {
        let (now, epoch, newest_token) = (ctx.now, self.epoch, self.newest_token());
        let machine = self.machine_or_insert(idx);
        machine.observe_token(heartbeat.token, newest_token);
        let ended = machine.tasks.iter().filter(|(_, task)| task.is_over());
        let ended_before: Vec<AttemptKey> = ended.map(|(key, _)| *key).collect();
        let (was_confirmed, previous_at) = (machine.token_confirmed, machine.last_heartbeat_at);
        if !machine.apply_heartbeat(heartbeat, epoch, kind, now) {
            return;
        }
        let unexpected = machine.take_unexpected_attempts();
        machine.machine_type = ctx.names.type_idx(&heartbeat.type_name);
        machine.zone = ctx.names.zone(&heartbeat.zone);
        let observed = Observations::of(machine, &ended_before, now);
        if observed.has_ended_attempt || (!was_confirmed && machine.token_confirmed) {
            self.capacity_notices.note_freed();
        }
        self.record_unexpected_attempts(ctx, idx, &unexpected, previous_at);
        self.apply_observations(ctx, idx, &observed);
        self.attribute_failures(ctx, idx, &observed);
        self.stop_terminal_jobs(idx, ctx.horizons, now);
        self.schedule_lease_check(ctx, idx);
        self.changed_machines.insert(idx);
    }

    fn apply_observations(&mut self, ctx: &Context, idx: MachineIdx, observed: &Observations) {
        let now = ctx.now;
        let machine = self.machine_or_insert(idx);
        if observed.lacked_resources {
            let until = now + REFUSAL_QUARANTINE_MS;
            machine.quarantined_until = machine.quarantined_until.max(until);
        }
        if !observed.succeeded.is_empty() {
            machine.clear_failures();
        }
        machine.record_failures(&observed.failed, now, FAILURE_EVIDENCE_MS);
        let machine_type = machine.machine_type;
        let cache_gb = machine_type.map_or(0.0, |t| ctx.names.catalog[t.0 as usize].cache_gb);
        for &image in &observed.images {
            machine.record_image_use(image, cache_gb);
        }
        if machine.interruption_at.is_some() {
            save_before_interruption(machine, now);
        }
    }

    fn schedule_lease_check(&mut self, ctx: &Context, idx: MachineIdx) {
        let previous_owners_until = self.previous_owners_until;
        let lease_ms = ctx.config.worker_lease_ms;
        let expires_at =
            self.machine_or_insert(idx).lease_surely_expired_at(lease_ms, previous_owners_until);
        self.schedule_check(idx, expires_at);
    }

    /// Records the failures and successes on a machine as evidence, and updates whether the machine
    /// is suspected.
    fn attribute_failures(&mut self, ctx: &mut Context, idx: MachineIdx, observed: &Observations) {
        for &job in &observed.failed {
            self.failure_attribution.note_failure(job, idx, ctx.now);
        }
        for &job in &observed.succeeded {
            self.failure_attribution.note_success(job, ctx.now);
        }
        let suspected = self.is_suspected(idx, ctx.now);
        let Some(machine) = self.machines.get_mut(&idx) else { return };
        if suspected && !machine.suspected {
            let name = ctx.names.machine_name(idx).to_string();
            ctx.effects.log(LogLevel::Info, "machine_quarantined", || name);
        }
        machine.suspected = suspected;
    }

    /// Returns whether the recent failures on a machine are attributed to the machine, judged by all
    /// evidence at `now`.
    pub(super) fn is_suspected(&self, idx: MachineIdx, now: Timestamp) -> bool {
        let Some(machine) = self.machines.get(&idx) else { return false };
        if machine.recent_failures.is_empty() {
            return false;
        }
        let failures = machine.recent_failures.iter();
        let recent = failures.filter(|failure| now < failure.first_at + FAILURE_EVIDENCE_MS);
        self.failure_attribution.suspects_machine(recent.map(|failure| failure.job))
    }
}
