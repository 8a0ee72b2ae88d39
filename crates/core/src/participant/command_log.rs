//! What a participant logs of its workers, so that a double run can be traced: the commands with what allowed them,
//! refused command batches, and attempts that nobody here has placed.
use super::Participant;
use crate::context::Context;
use crate::ids::{MachineIdx, Timestamp};
use crate::io::LogLevel;
use crate::machine::{AttemptKey, Machine};
use leaddeal_wire::worker::{Command, CommandKind, WorkerHeartbeat};

/// Most lines about refused batches, about foreign tokens and about unexpected attempts, from one line of counts to the next. The others are
/// only counted.
const MAX_LINES_OF_KIND: u64 = 20;

/// How commands are sent to a worker.
#[derive(Clone, Copy, Debug)]
pub(super) enum CommandPath {
    /// In the response to a heartbeat.
    Response,
    /// In a command batch.
    Direct,
}

impl CommandPath {
    fn name(self) -> &'static str {
        match self {
            CommandPath::Response => "response",
            CommandPath::Direct => "direct",
        }
    }
}

/// The fencing token and the incarnation that a command batch was sent under.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentUnder {
    pub(super) token: u64,
    pub(super) incarnation: u64,
}

/// Counts since the last line of counts.
#[derive(Debug, Default)]
pub(super) struct CommandCounts {
    /// Heartbeats that were answered.
    pub(super) heartbeats: u64,
    /// Command batches that were sent.
    pub(super) batches: u64,
    /// Command batches that a worker refused.
    pub(super) batches_refused: u64,
    /// Command batches without an answer.
    pub(super) batches_unanswered: u64,
    /// Heartbeats with a token that this owner has not used.
    foreign_tokens: u64,
    /// Transactions that only prove the ownership.
    pub(super) ownership_proofs: u64,
    starts: u64,
    stops: u64,
    forgets: u64,
    unexpected_attempts: u64,
}

impl CommandCounts {
    fn add(&mut self, commands: &[Command]) {
        for command in commands {
            match command.kind {
                CommandKind::Start => self.starts += 1,
                CommandKind::Stop => self.stops += 1,
                CommandKind::Forget => self.forgets += 1,
            }
        }
    }
}

/// Returns what allowed a command.
fn reason(machine: &Machine, command: &Command) -> String {
    let key = AttemptKey::of_command(command);
    let Some(task) = machine.tasks.get(&key) else { return "none".into() };
    match command.kind {
        CommandKind::Start => format!("placed_by_epoch={}", task.acknowledged_by.0),
        CommandKind::Stop => {
            format!("stop_since_ms={}", task.stop.map_or(0, |stop| stop.since))
        }
        CommandKind::Forget => {
            let start_token = task.start_token.map_or("none".into(), |token| token.to_string());
            format!(
                "end_acknowledged_by_epoch={} start_token={start_token}",
                task.acknowledged_by.0
            )
        }
    }
}

impl Participant {
    /// Counts commands that are sent to a worker, and logs each with its token and what allowed it.
    pub(super) fn record_commands(
        &mut self,
        ctx: &mut Context,
        idx: MachineIdx,
        commands: &[Command],
        path: CommandPath,
    ) {
        self.command_counts.add(commands);
        if ctx.effects.max_log_level < LogLevel::Debug {
            return;
        }
        let Some(machine) = self.machines.get(&idx) else { return };
        for command in commands {
            let name = ctx.names.machine_name(idx);
            ctx.effects.log(LogLevel::Debug, "command", || {
                let Command { kind, task, attempt, .. } = command;
                let (path, reason) = (path.name(), reason(machine, command));
                let (token, incarnation) = (machine.token, machine.incarnation);
                format!(
                    "{kind:?} {task} attempt={attempt} machine={name} incarnation={incarnation} \
                     token={token} path={path} {reason}"
                )
            });
        }
    }

    /// Counts and logs a command batch that the worker refused, with both tokens.
    pub(super) fn record_refusal(
        &mut self,
        ctx: &mut Context,
        sent: SentUnder,
        heartbeat: &WorkerHeartbeat,
    ) {
        self.command_counts.batches_refused += 1;
        if self.command_counts.batches_refused > MAX_LINES_OF_KIND {
            return;
        }
        ctx.effects.log(LogLevel::Info, "commands_refused", || {
            let SentUnder { token, incarnation } = sent;
            format!(
                "machine={} token={token} incarnation={incarnation} worker_token={} worker_incarnation={}",
                heartbeat.machine, heartbeat.token, heartbeat.incarnation
            )
        });
    }

    /// Counts and logs a heartbeat with a larger token than this owner has: there is a newer owner, or the worker reports
    /// a token that nobody sent. It is not answered.
    pub(super) fn record_foreign_token(&mut self, ctx: &mut Context, heartbeat: &WorkerHeartbeat) {
        self.command_counts.foreign_tokens += 1;
        if self.command_counts.foreign_tokens > MAX_LINES_OF_KIND {
            return;
        }
        let newest_token = self.newest_token();
        ctx.effects.log(LogLevel::Info, "foreign_token", || {
            let WorkerHeartbeat { machine, token, .. } = heartbeat;
            format!("machine={machine} token={newest_token} worker_token={token}")
        });
    }

    /// Counts and logs attempts that a worker reports although it obeys this owner, who has not placed them or has had
    /// them forgotten. The previous heartbeat arrived at `previous_heartbeat_at`.
    pub(super) fn record_unexpected_attempts(
        &mut self,
        ctx: &mut Context,
        idx: MachineIdx,
        attempts: &[AttemptKey],
        previous_heartbeat_at: Timestamp,
    ) {
        let token = self.machines.get(&idx).map_or(0, |machine| machine.token);
        for key in attempts {
            self.command_counts.unexpected_attempts += 1;
            if self.command_counts.unexpected_attempts > MAX_LINES_OF_KIND {
                continue;
            }
            let removed_by = ctx.shard_of_job(key.job);
            let machine = self.machines.get(&idx);
            let was_removed =
                machine.is_some_and(|machine| machine.is_removed(removed_by, key.attempt));
            let within_ms = ctx.now.saturating_sub(previous_heartbeat_at);
            let name = ctx.names.machine_name(idx);
            ctx.effects.log(LogLevel::Info, "unexpected_attempt", || {
                let (task, attempt) = (key.task_id(), key.attempt.0);
                format!(
                    "{task} attempt={attempt} machine={name} token={token} appeared_within_ms={within_ms} \
                     removed_before={was_removed}"
                )
            });
        }
    }

    /// Returns a log line with the commands and what became of them since the last call, and resets the counts.
    pub fn command_statistics(&mut self) -> String {
        let counts = std::mem::take(&mut self.command_counts);
        let awaiting = self.machines.values().map(Machine::attempts_awaiting_token).sum::<usize>();
        format!(
            "shard={} epoch={} token={} heartbeats={} batches={} refused={} unanswered={} starts={} stops={} \
             forgets={} unexpected_attempts={} foreign_tokens={} ownership_proofs={} attempts_awaiting_token={awaiting}",
            self.shard.0,
            self.epoch.0,
            self.newest_token(),
            counts.heartbeats,
            counts.batches,
            counts.batches_refused,
            counts.batches_unanswered,
            counts.starts,
            counts.stops,
            counts.forgets,
            counts.unexpected_attempts,
            counts.foreign_tokens,
            counts.ownership_proofs,
        )
    }
}
