//! Task attempts on machines, and their phases.
use crate::worker::{ExitReason, TaskState};
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use thiserror::Error;

/// The phase of an attempt, as far as a participant knows. Sent as a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum TaskPhase {
    /// The attempt was decided, and no heartbeat showed yet that the start command was executed.
    Decided,
    /// The attempt is on the machine, in this state.
    On(TaskState),
    /// The attempt exited for this reason; true: it saved its progress.
    Exited(ExitReason, bool),
    /// The attempt is certainly no longer on the machine.
    Gone,
}

/// The index of a state determines its number on the wire: only append.
const TASK_STATES: [TaskState; 5] = [
    TaskState::Fetching,
    TaskState::Waiting,
    TaskState::Running,
    TaskState::Saving,
    TaskState::Exited,
];
/// The index of a reason determines its number on the wire: only append.
const EXIT_REASONS: [ExitReason; 9] = [
    ExitReason::Done,
    ExitReason::Stopped,
    ExitReason::GangMembersLost,
    ExitReason::GangIncomplete,
    ExitReason::Error,
    ExitReason::InsufficientResources,
    ExitReason::OtherAttemptPresent,
    ExitReason::JobNotFound,
    ExitReason::Other,
];
/// Number of [`TaskPhase::Decided`].
const DECIDED: u8 = 0;
/// Number of [`TaskPhase::Gone`].
const GONE: u8 = 1;
/// First number of [`TaskPhase::On`]; there is one for each of [`TASK_STATES`].
const FIRST_ON: u8 = 8;
/// First number of [`TaskPhase::Exited`]; there are two for each of [`EXIT_REASONS`]: not saved, then
/// saved.
const FIRST_EXITED: u8 = 16;

/// Returns the index of an item that the list contains.
fn index_in<T: PartialEq>(list: &[T], item: &T) -> u8 {
    list.iter().position(|other| other == item).map_or(0, |index| index as u8)
}

impl From<TaskPhase> for u8 {
    fn from(phase: TaskPhase) -> u8 {
        match phase {
            TaskPhase::Decided => DECIDED,
            TaskPhase::Gone => GONE,
            TaskPhase::On(state) => FIRST_ON + index_in(&TASK_STATES, &state),
            TaskPhase::Exited(reason, saved) => {
                FIRST_EXITED + 2 * index_in(&EXIT_REASONS, &reason) + u8::from(saved)
            }
        }
    }
}

/// A number on the wire that is not a [`TaskPhase`] of this version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no phase {0}")]
pub struct UnknownPhase(pub u8);

impl TryFrom<u8> for TaskPhase {
    type Error = UnknownPhase;

    fn try_from(number: u8) -> Result<TaskPhase, UnknownPhase> {
        let state = number.checked_sub(FIRST_ON).and_then(|n| TASK_STATES.get(n as usize));
        let reason =
            number.checked_sub(FIRST_EXITED).and_then(|n| EXIT_REASONS.get(n as usize / 2));
        match (number, state, reason) {
            (DECIDED, ..) => Ok(TaskPhase::Decided),
            (GONE, ..) => Ok(TaskPhase::Gone),
            (_, Some(state), _) => Ok(TaskPhase::On(*state)),
            (_, _, Some(reason)) => Ok(TaskPhase::Exited(*reason, number % 2 == 1)),
            _ => Err(UnknownPhase(number)),
        }
    }
}

/// A change of an attempt's phase, sent to the coordinator of its job.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct TaskEvent {
    /// Number of the job.
    pub job: u64,
    /// Number of the task within the job.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: u64,
    /// Name of the machine.
    pub machine: String,
    /// The new phase.
    pub phase: TaskPhase,
}

/// Identifies an attempt on a machine.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct AttemptRef {
    /// Number of the job.
    pub job: u64,
    /// Number of the task within the job.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: u64,
    /// Name of the machine.
    pub machine: String,
    /// Incarnation of the worker that the attempt was decided for. `None`: the sender does not know it.
    pub incarnation: Option<u64>,
}
