//! The types of the records in the key-value store. Their keys are defined in [`crate::keys`].
//!
//! Invariant: each record is encoded byte for byte as by the version in production, and whatever that
//! version has written is decoded. `tests/golden/records.txt` holds examples of each kind. Fields that
//! a later version adds are ignored.
use crate::ids::{Attempt, JobId, ZoneIdx};
use leaddeal_wire::mesh::QuotaAmount;
use leaddeal_wire::user::{self, JobStatus};
use serde::ser::SerializeSeq;
use serde::{Deserialize, Serialize, Serializer};
use serde_json::Value;
use thiserror::Error;

/// Why a record could not be decoded.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The value does not have the structure of a record of this kind.
    #[error("failed to decode {kind} record")]
    Undecodable {
        /// The kind of record that was expected.
        kind: &'static str,
        /// The error of the decoder.
        #[source]
        source: serde_json::Error,
    },
    /// A part of the record is missing or has the wrong type.
    #[error("{kind} record has no valid {part}")]
    InvalidPart {
        /// The kind of record that was expected.
        kind: &'static str,
        /// The part that is missing or has the wrong type.
        part: &'static str,
    },
}

/// Encodes a record. This can't fail: there is no I/O, and the keys of all maps are strings.
fn encode<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).unwrap_or_default()
}

fn decode<'a, T: Deserialize<'a>>(kind: &'static str, value: &'a Value) -> Result<T, RecordError> {
    T::deserialize(value).map_err(|source| RecordError::Undecodable { kind, source })
}

/// The owner of a shard. The record is attached to the owner's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The boot number of the owner's process, which differs between processes of the same node.
    pub boot: u64,
    /// The owner's node name.
    pub node: String,
}

impl OwnerRecord {
    /// Encodes the record as the value to store.
    pub fn encode(&self) -> Value {
        encode(self)
    }

    /// Decodes a stored value.
    pub fn decode(value: &Value) -> Result<OwnerRecord, RecordError> {
        decode("owner", value)
    }
}

/// A job as it was submitted.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobRecord {
    /// When the job was accepted, in milliseconds of the accepting controller's wall clock. `None`:
    /// not recorded.
    #[serde(rename = "at")]
    pub accepted_at_ms: Option<u64>,
    /// The submission.
    pub job: user::Job,
}

impl JobRecord {
    /// Encodes the record as the value to store.
    pub fn encode(&self) -> Value {
        encode(self)
    }

    /// Decodes a stored value. A job whose time is missing or not a number is still decoded, so that
    /// it is not lost.
    pub fn decode(value: &Value) -> Result<JobRecord, RecordError> {
        let job = decode("job", &value["job"])?;
        Ok(JobRecord { accepted_at_ms: value["at"].as_u64(), job })
    }
}

/// What a task uses of its team's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaUse {
    /// The team, by its index in the settings.
    pub team: u8,
    /// Processors and GPUs, in thousandths.
    pub amount: QuotaAmount,
}

/// One placement of a decision, stored as an array of five elements, or of eight if the team has a
/// quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementRecord<'a> {
    /// The job.
    pub job: JobId,
    /// The task's number in the job.
    pub task: u32,
    /// Name of the machine.
    pub machine: &'a str,
    /// The only incarnation of the machine's worker in which the task may start.
    pub incarnation: u64,
    /// The machine's zone.
    pub zone: ZoneIdx,
    /// What the task uses of its team's quota. `None`: the team has no quota.
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

/// The placements that were decided in one round.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DecisionRecord<'a> {
    /// The attempt number, which is the same for all placements of the decision.
    #[serde(rename = "a")]
    pub attempt: u64,
    /// The placements.
    #[serde(rename = "p")]
    pub placements: Vec<PlacementRecord<'a>>,
}

impl<'a> DecisionRecord<'a> {
    /// Encodes the record as the value to store.
    pub fn encode(&self) -> Value {
        encode(self)
    }

    /// Decodes the attempt number, and each placement separately, so that an invalid placement does
    /// not hide the others.
    pub fn decode(
        value: &'a Value,
    ) -> Result<(Attempt, Vec<Result<PlacementRecord<'a>, RecordError>>), RecordError> {
        let invalid = RecordError::InvalidPart { kind: "decision", part: "attempt" };
        let attempt = value["a"].as_u64().map(Attempt).ok_or(invalid)?;
        let placements = value["p"].as_array().into_iter().flatten();
        Ok((attempt, placements.map(PlacementRecord::decode).collect()))
    }
}

/// The terminal state of a job: its final status, and how many of its tasks are done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TerminalState {
    /// [`JobStatus::Done`] or [`JobStatus::Cancelled`].
    pub status: JobStatus,
    /// How many tasks are done.
    pub done: u32,
}

const DONE: &str = "done";
const CANCELLED: &str = "cancelled";

impl TerminalState {
    /// Encodes the record as the value to store.
    pub fn encode(&self) -> Value {
        let status = if self.status == JobStatus::Done { DONE } else { CANCELLED };
        encode(&(status, self.done))
    }

    /// Decodes a stored value.
    pub fn decode(value: &Value) -> Result<TerminalState, RecordError> {
        let invalid = |part| RecordError::InvalidPart { kind: "terminal state", part };
        let status = match value[0].as_str() {
            Some(DONE) => JobStatus::Done,
            Some(CANCELLED) => JobStatus::Cancelled,
            _ => return Err(invalid("status")),
        };
        let done = value[1].as_u64().ok_or_else(|| invalid("number of tasks"))?;
        Ok(TerminalState { status, done: done as u32 })
    }
}

/// A chunk of a job's completed tasks: a bitmap as text, encoded by [`crate::task_set::TaskSet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletionRecord<'a>(pub &'a str);

impl<'a> CompletionRecord<'a> {
    /// Encodes the record as the value to store.
    pub fn encode(self) -> Value {
        Value::from(self.0)
    }

    /// Decodes a stored value.
    pub fn decode(value: &'a Value) -> Result<CompletionRecord<'a>, RecordError> {
        let invalid = RecordError::InvalidPart { kind: "completion", part: "bitmap" };
        value.as_str().map(CompletionRecord).ok_or(invalid)
    }
}

/// The name of the newest machine that existed before the service. This machine and all older ones are
/// the operator's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperatorMachinesRecord<'a>(pub &'a str);

impl<'a> OperatorMachinesRecord<'a> {
    /// Encodes the record as the value to store.
    pub fn encode(self) -> Value {
        Value::from(self.0)
    }

    /// Decodes a stored value.
    pub fn decode(value: &'a Value) -> Result<OperatorMachinesRecord<'a>, RecordError> {
        let invalid = RecordError::InvalidPart { kind: "operator's machines", part: "name" };
        value.as_str().map(OperatorMachinesRecord).ok_or(invalid)
    }
}
