//! Commands to a machine's worker, either in the response to a heartbeat or sent directly as a batch.
use super::{AttemptKey, Machine, TaskOnMachine};
use crate::guards::{is_enforced, Guard};
use crate::ids::Timestamp;
use leaddeal_wire::mesh::TaskPhase;
use leaddeal_wire::worker::{Command, CommandKind, TaskState};

/// How long the start command of a stopped attempt is repeated, together with a stop, when an earlier
/// copy of the start command may still be executed.
const REPEAT_UNCERTAIN_START_MS: u64 = 8000;

/// Whether the lease under which the owner sends commands is certainly valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnerLease {
    /// The lease has certainly not expired.
    Valid,
    /// The lease may have expired, and a newer owner may exist.
    Uncertain,
}

/// How a command batch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BatchOutcome {
    /// The batch was executed, refused, or never sent.
    Known,
    /// There was no response: the commands may have been executed, or may still be.
    Unknown,
}

impl Machine {
    /// Returns the commands for the response to a heartbeat: at most `max`, and one more where a
    /// start and a stop belong together.
    pub fn response_commands(
        &mut self,
        now: Timestamp,
        max: usize,
        lease: OwnerLease,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        let response =
            ResponseContext { incarnation: self.incarnation, token: self.token, now, lease };
        for (key, task) in &mut self.tasks {
            if commands.len() >= max {
                break;
            }
            add_response_commands(&mut commands, key, task, response);
        }
        commands
    }

    /// Returns at most `max` commands that need not wait for the next heartbeat: starts that are not
    /// in flight, and stops. Records the starts as sent with this batch.
    pub fn direct_commands(&mut self, batch: u64, max: usize) -> Vec<Command> {
        let mut commands = Vec::new();
        let (incarnation, token) = (self.incarnation, self.token);
        let may_start_directly = self.may_start_directly();
        for (key, task) in &mut self.tasks {
            if commands.len() >= max {
                break;
            }
            match (task.phase, task.stop) {
                (TaskPhase::Decided, None)
                    if may_start_directly
                        && task.belongs_to(incarnation)
                        && !task.start_uncertain
                        && !task.in_last_response
                        && task.may_start() =>
                {
                    task.direct_batch = Some(batch);
                    task.start_token = Some(token);
                    commands.push(command(CommandKind::Start, key, None));
                }
                (TaskPhase::On(state), Some(stop)) if may_stop(state, stop.grace_s) => {
                    commands.push(command(CommandKind::Stop, key, Some(stop.grace_s)));
                }
                _ => {}
            }
        }
        commands
    }

    /// Records the end of a command batch. If its outcome is unknown, its starts may still be
    /// executed.
    pub fn end_direct_batch(&mut self, batch: u64, outcome: BatchOutcome) {
        if self.direct_batch == Some(batch) {
            self.direct_batch = None;
        }
        let in_batch = |task: &&mut TaskOnMachine| task.direct_batch == Some(batch);
        for task in self.tasks.values_mut().filter(in_batch) {
            task.direct_batch = None;
            task.start_uncertain |=
                outcome == BatchOutcome::Unknown && is_enforced(Guard::UnansweredStartRemembered);
        }
    }
}

fn command(kind: CommandKind, key: &AttemptKey, grace_s: Option<f64>) -> Command {
    Command { kind, task: key.task_id(), attempt: key.attempt.0, grace_s }
}

/// Returns whether a stop with this grace period may be sent to a task in this state. A task that
/// already saves its progress may only be killed.
fn may_stop(state: TaskState, grace_s: f64) -> bool {
    state != TaskState::Saving || grace_s == 0.0
}

/// Returns whether a worker that has seen this token may forget an attempt that has exited. It may not while it would
/// execute a start command that was sent directly: the command may be in flight, or a copy of it may arrive late.
fn may_forget(task: &TaskOnMachine, token: u64) -> bool {
    let start_possible =
        task.start_uncertain || task.start_in_flight() || !task.is_start_fenced(token);
    task.end_acknowledged && task.reported && !start_possible
}

/// What a response to a heartbeat is made for.
#[derive(Clone, Copy)]
struct ResponseContext {
    /// The worker's current incarnation.
    incarnation: u64,
    /// The token of the response.
    token: u64,
    now: Timestamp,
    lease: OwnerLease,
}

/// Appends the response commands for one attempt.
fn add_response_commands(
    commands: &mut Vec<Command>,
    key: &AttemptKey,
    task: &mut TaskOnMachine,
    response: ResponseContext,
) {
    let ResponseContext { incarnation, token, now, lease } = response;
    let uncertain = lease == OwnerLease::Uncertain;
    match (task.phase, task.stop) {
        (TaskPhase::Decided, _) if uncertain && is_enforced(Guard::StartNeedsValidLease) => {}
        (TaskPhase::On(_), Some(_)) if uncertain && !is_enforced(Guard::StopIgnoresLease) => {}
        (TaskPhase::Decided, None) if task.belongs_to(incarnation) && task.may_start() => {
            task.in_last_response = true;
            commands.push(command(CommandKind::Start, key, None));
        }
        // A start command without a response may be executed at any time. When the attempt is
        // started and stopped right away, the worker knows it from then on, and a delayed copy
        // of the start command has no effect. The start is repeated only for a while, since a
        // task of a cancelled job must not start late.
        (TaskPhase::Decided, Some(stop))
            if task.start_uncertain && task.incarnation == incarnation =>
        {
            if now < stop.since + REPEAT_UNCERTAIN_START_MS {
                commands.push(command(CommandKind::Start, key, None));
            }
            commands.push(command(CommandKind::Stop, key, Some(0.0)));
        }
        (TaskPhase::On(state), Some(stop)) if may_stop(state, stop.grace_s) => {
            commands.push(command(CommandKind::Stop, key, Some(stop.grace_s)));
        }
        (TaskPhase::Exited(..), _) if may_forget(task, token) => {
            commands.push(command(CommandKind::Forget, key, None));
        }
        _ => {}
    }
}
