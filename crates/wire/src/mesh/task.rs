//! Attempts of tasks on machines, and their phases.
use crate::worker::{ExitReason, TaskState};
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use thiserror::Error;

/// Where an attempt stands, as far as a participant knows. A number on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum TaskPhase {
    /// Decided, start command not seen to be executed.
    Decided,
    /// On the machine, in this state.
    On(TaskState),
    /// Exited for this reason; whether it saved its progress.
    Exited(ExitReason, bool),
    /// Certainly off the machine.
    Gone,
}

/// A state's place here is a part of its number on the wire: only append.
const STATES: [TaskState; 5] = [
    TaskState::Fetching,
    TaskState::Waiting,
    TaskState::Running,
    TaskState::Saving,
    TaskState::Exited,
];
/// A reason's place here is a part of its number on the wire: only append.
const EXIT_REASONS: [ExitReason; 9] = [
    ExitReason::Done,
    ExitReason::Stopped,
    ExitReason::Peers,
    ExitReason::Alone,
    ExitReason::Error,
    ExitReason::Full,
    ExitReason::Busy,
    ExitReason::Unknown,
    ExitReason::Other,
];
/// [`TaskPhase::Decided`].
const DECIDED: u8 = 0;
/// [`TaskPhase::Gone`].
const GONE: u8 = 1;
/// The first of [`TaskPhase::On`], one for each of [`STATES`].
const FIRST_ON: u8 = 8;
/// The first of [`TaskPhase::Exited`], two for each of [`EXIT_REASONS`]: not saved, saved.
const FIRST_EXITED: u8 = 16;

/// The place of an item that the list holds.
fn place_in<T: PartialEq>(list: &[T], item: &T) -> u8 {
    list.iter().position(|other| other == item).map_or(0, |place| place as u8)
}

impl From<TaskPhase> for u8 {
    fn from(phase: TaskPhase) -> u8 {
        match phase {
            TaskPhase::Decided => DECIDED,
            TaskPhase::Gone => GONE,
            TaskPhase::On(state) => FIRST_ON + place_in(&STATES, &state),
            TaskPhase::Exited(reason, saved) => {
                FIRST_EXITED + 2 * place_in(&EXIT_REASONS, &reason) + u8::from(saved)
            }
        }
    }
}

/// A number that is no [`TaskPhase`] of this version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no phase {0}")]
pub struct UnknownPhase(pub u8);

impl TryFrom<u8> for TaskPhase {
    type Error = UnknownPhase;

    fn try_from(number: u8) -> Result<TaskPhase, UnknownPhase> {
        let state = number.checked_sub(FIRST_ON).and_then(|n| STATES.get(n as usize));
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

/// News of an attempt, for its job's coordinator.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct TaskEvent {
    /// The job's number.
    pub job: u64,
    /// The task's number within the job.
    pub task: u32,
    /// The attempt's number.
    pub attempt: u64,
    /// The machine's name.
    pub machine: String,
    /// What became of it.
    pub phase: TaskPhase,
}

/// Names an attempt on a machine.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct AttemptRef {
    /// The job's number.
    pub job: u64,
    /// The task's number within the job.
    pub task: u32,
    /// The attempt's number.
    pub attempt: u64,
    /// The machine's name.
    pub machine: String,
    /// The worker's incarnation that it was decided for, where the sender knows it.
    pub incarnation: Option<u64>,
}
