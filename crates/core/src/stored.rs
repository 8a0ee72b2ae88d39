//! The records that are kept in the state service, as types. Their keys are made in [`crate::keys`].
//!
//! Invariant: a record is written byte for byte as the version in production writes it, and whatever that
//! version has written is read; `tests/golden/records.txt` holds examples of each kind. A field that a later
//! version adds is ignored.
use crate::ids::{Attempt, JobId, ZoneIdx};
use leaddeal_wire::mesh::QuotaAmount;
use leaddeal_wire::user::{self, Status};
use serde::ser::SerializeSeq;
use serde::{Deserialize, Serialize, Serializer};
use serde_json::Value;
use thiserror::Error;

/// Why a record can't be used.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The value, or what it contains, has another form than records of this kind.
    #[error("a {kind} record does not decode")]
    Undecodable {
        /// What the record should have been.
        kind: &'static str,
        /// What the decoder found.
        #[source]
        source: serde_json::Error,
    },
    /// A part of it is missing, or of another type.
    #[error("a {kind} record without a valid {part}")]
    InvalidPart {
        /// What the record should have been.
        kind: &'static str,
        /// The part that is missing or of another type.
        part: &'static str,
    },
}

/// A record that can be encoded always gives a value: there is no I/O, and all keys of maps are strings.
fn encode<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).unwrap_or_default()
}

fn decode<'a, T: Deserialize<'a>>(kind: &'static str, value: &'a Value) -> Result<T, RecordError> {
    T::deserialize(value).map_err(|source| RecordError::Undecodable { kind, source })
}

/// Who owns a shard; attached to the owner's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The owner's boot number, which differs between processes of one node.
    pub boot: u64,
    /// The owner's node name.
    pub node: String,
}

impl OwnerRecord {
    /// The value to store.
    pub fn encode(&self) -> Value {
        encode(self)
    }

    /// Reads a stored value.
    pub fn decode(value: &Value) -> Result<OwnerRecord, RecordError> {
        decode("owner", value)
    }
}

/// A job as it was submitted.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobRecord {
    /// When it was accepted, in milliseconds of the accepting controller's time of day; none: not
    /// recorded.
    #[serde(rename = "at")]
    pub accepted_at_ms: Option<u64>,
    /// The submission.
    pub job: user::Job,
}

impl JobRecord {
    /// The value to store.
    pub fn encode(&self) -> Value {
        encode(self)
    }

    /// Reads a stored value. A time that is missing or no number is no reason to lose the job.
    pub fn decode(value: &Value) -> Result<JobRecord, RecordError> {
        let job = decode("job", &value["job"])?;
        Ok(JobRecord { accepted_at_ms: value["at"].as_u64(), job })
    }
}

/// What a task takes of its team's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaUse {
    /// The team, by its place in the settings.
    pub team: u8,
    /// Thousandths of processors and GPUs.
    pub amount: QuotaAmount,
}

/// One placement of a decision: an array of five numbers and texts, and three more where the team has a
/// quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementRecord<'a> {
    /// The job.
    pub job: JobId,
    /// The task's number in the job.
    pub task: u32,
    /// The machine's name.
    pub machine: &'a str,
    /// The incarnation of the machine's worker in which alone the task may start.
    pub incarnation: u64,
    /// The machine's zone.
    pub zone: ZoneIdx,
    /// None: the team has no quota.
    pub quota: Option<QuotaUse>,
}

impl Serialize for PlacementRecord<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut parts = serializer.serialize_seq(None)?;
        parts.serialize_element(&self.job.0)?;
        parts.serialize_element(&self.task)?;
        parts.serialize_element(self.machine)?;
        parts.serialize_element(&self.incarnation)?;
        parts.serialize_element(&self.zone.0)?;
        if let Some(quota) = self.quota {
            parts.serialize_element(&quota.team)?;
            parts.serialize_element(&quota.amount.cpu)?;
            parts.serialize_element(&quota.amount.gpu)?;
        }
        parts.end()
    }
}

impl<'a> PlacementRecord<'a> {
    fn decode(value: &'a Value) -> Result<PlacementRecord<'a>, RecordError> {
        let invalid = |part| RecordError::InvalidPart { kind: "placement", part };
        let number = |i: usize, part| value[i].as_u64().ok_or_else(|| invalid(part));
        let quota = value[5].as_u64().map(|team| QuotaUse {
            team: team as u8,
            amount: QuotaAmount {
                cpu: value[6].as_u64().unwrap_or(0),
                gpu: value[7].as_u64().unwrap_or(0),
            },
        });
        Ok(PlacementRecord {
            job: JobId(number(0, "job")?),
            task: number(1, "task")? as u32,
            machine: value[2].as_str().ok_or_else(|| invalid("machine"))?,
            incarnation: number(3, "incarnation")?,
            zone: ZoneIdx(number(4, "zone")? as u8),
            quota,
        })
    }
}

/// The placements that one round decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DecisionRecord<'a> {
    /// The attempt that all its placements are.
    #[serde(rename = "a")]
    pub attempt: u64,
    /// The placements.
    #[serde(rename = "p")]
    pub placements: Vec<PlacementRecord<'a>>,
}

impl<'a> DecisionRecord<'a> {
    /// The value to store.
    pub fn encode(&self) -> Value {
        encode(self)
    }

    /// Reads a stored value: the attempt, and each placement by itself, so that one that does not decode
    /// hides no other.
    pub fn decode(
        value: &'a Value,
    ) -> Result<(Attempt, Vec<Result<PlacementRecord<'a>, RecordError>>), RecordError> {
        let invalid = RecordError::InvalidPart { kind: "decision", part: "attempt" };
        let attempt = value["a"].as_u64().map(Attempt).ok_or(invalid)?;
        let placements = value["p"].as_array().into_iter().flatten();
        Ok((attempt, placements.map(PlacementRecord::decode).collect()))
    }
}

/// What became of a job: its status, and how many of its tasks are done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TerminalState {
    /// `Done` or `Cancelled`.
    pub status: Status,
    /// How many tasks are done.
    pub done: u32,
}

const DONE: &str = "done";
const CANCELLED: &str = "cancelled";

impl TerminalState {
    /// The value to store.
    pub fn encode(&self) -> Value {
        let status = if self.status == Status::Done { DONE } else { CANCELLED };
        encode(&(status, self.done))
    }

    /// Reads a stored value.
    pub fn decode(value: &Value) -> Result<TerminalState, RecordError> {
        let invalid = |part| RecordError::InvalidPart { kind: "terminal state", part };
        let status = match value[0].as_str() {
            Some(DONE) => Status::Done,
            Some(CANCELLED) => Status::Cancelled,
            _ => return Err(invalid("status")),
        };
        let done = value[1].as_u64().ok_or_else(|| invalid("number of tasks"))?;
        Ok(TerminalState { status, done: done as u32 })
    }
}

/// A chunk of a job's completed tasks: the text of a bitmap, as [`crate::task_set::TaskSet`] encodes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletionRecord<'a>(pub &'a str);

impl<'a> CompletionRecord<'a> {
    /// The value to store.
    pub fn encode(self) -> Value {
        Value::from(self.0)
    }

    /// Reads a stored value.
    pub fn decode(value: &'a Value) -> Result<CompletionRecord<'a>, RecordError> {
        let invalid = RecordError::InvalidPart { kind: "completion", part: "bitmap" };
        value.as_str().map(CompletionRecord).ok_or(invalid)
    }
}

/// The newest machine that was there before the service: it and all older ones are the operator's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperatorMachinesRecord<'a>(pub &'a str);

impl<'a> OperatorMachinesRecord<'a> {
    /// The value to store.
    pub fn encode(self) -> Value {
        Value::from(self.0)
    }

    /// Reads a stored value.
    pub fn decode(value: &'a Value) -> Result<OperatorMachinesRecord<'a>, RecordError> {
        let invalid = RecordError::InvalidPart { kind: "operator's machines", part: "name" };
        value.as_str().map(OperatorMachinesRecord).ok_or(invalid)
    }
}
