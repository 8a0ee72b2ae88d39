//! Commands to a machine's worker: in the response to a heartbeat, or sent directly as a batch.
use super::{AttemptKey, Machine, TaskOnMachine};
use crate::guards::{is_enforced, Guard};
use crate::ids::Timestamp;
use leaddeal_wire::mesh::TaskPhase;
use leaddeal_wire::worker::{Command, CommandKind, TaskState};

/// How long a start whose outcome is unknown is repeated, in order to be stopped with effect.
const REPEAT_UNCERTAIN_START_MS: u64 = 8000;

/// Whether the owner's lease, under which it gives commands, is certainly not over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnerLease {
    /// It is certainly not over.
    Valid,
    /// It may be over: a newer owner may be there.
    Uncertain,
}

/// How a command batch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BatchEnd {
    /// Executed, refused, or never sent.
    Known,
    /// There was no answer: its commands may have been executed, or may be executed yet.
    Unknown,
}

impl Machine {
    /// Commands for the response to a heartbeat, `max` at most (and one more where a start and a
    /// stop go together).
    pub fn response_commands(
        &mut self,
        now: Timestamp,
        max: usize,
        lease: OwnerLease,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        let incarnation = self.incarnation;
        for (key, task) in &mut self.tasks {
            if commands.len() >= max {
                break;
            }
            add_response_commands(&mut commands, key, task, incarnation, now, lease);
        }
        commands
    }

    /// Commands worth sending at once, `max` at most: starts and stops that are not on their way.
    /// The starts are noted as sent with this batch.
    pub fn direct_commands(&mut self, batch: u64, max: usize) -> Vec<Command> {
        let mut commands = Vec::new();
        let incarnation = self.incarnation;
        for (key, task) in &mut self.tasks {
            if commands.len() >= max {
                break;
            }
            match (task.phase, task.stop) {
                (TaskPhase::Decided, None)
                    if task.belongs_to(incarnation)
                        && !task.start_uncertain
                        && !task.in_last_response
                        && task.may_start() =>
                {
                    task.direct_batch = Some(batch);
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

    /// The command batch is no longer in flight.
    pub fn end_direct_batch(&mut self, batch: u64, end: BatchEnd) {
        if self.direct_batch == Some(batch) {
            self.direct_batch = None;
        }
        let in_batch = |task: &&mut TaskOnMachine| task.direct_batch == Some(batch);
        for task in self.tasks.values_mut().filter(in_batch) {
            task.direct_batch = None;
            task.start_uncertain |=
                end == BatchEnd::Unknown && is_enforced(Guard::UnansweredStartRemembered);
        }
    }
}

fn command(op: CommandKind, key: &AttemptKey, grace_s: Option<f64>) -> Command {
    Command { op, task: key.task_id(), attempt: key.attempt.0, grace_s }
}

/// Whether a stop is sent to a task in this state: one that saves its progress is only killed.
fn may_stop(state: TaskState, grace_s: f64) -> bool {
    state != TaskState::Saving || grace_s == 0.0
}

/// Whether the worker may forget an attempt that has exited. Not while a direct copy of its start is
/// in flight: that would start it anew. (Found by the simulator.)
fn may_forget(task: &TaskOnMachine) -> bool {
    let start_possible = task.start_uncertain || task.start_in_flight();
    task.end_acknowledged && task.reported && !start_possible
}

/// Adds the commands for one attempt, for the worker's `incarnation`.
fn add_response_commands(
    commands: &mut Vec<Command>,
    key: &AttemptKey,
    task: &mut TaskOnMachine,
    incarnation: u64,
    now: Timestamp,
    lease: OwnerLease,
) {
    let uncertain = lease == OwnerLease::Uncertain;
    match (task.phase, task.stop) {
        (TaskPhase::Decided, _) if uncertain && is_enforced(Guard::StartNeedsValidLease) => {}
        (TaskPhase::On(_), Some(_)) if uncertain && !is_enforced(Guard::StopIgnoresLease) => {}
        (TaskPhase::Decided, None) if task.belongs_to(incarnation) && task.may_start() => {
            task.in_last_response = true;
            commands.push(command(CommandKind::Start, key, None));
        }
        // A start command without an answer may be executed at any time. Started and
        // stopped at once, the attempt stays known to the worker, and a late copy does
        // nothing. Only for a while, since a cancelled job must not start late.
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
        (TaskPhase::Exited(..), _) if may_forget(task) => {
            commands.push(command(CommandKind::Forget, key, None));
        }
        _ => {}
    }
}
