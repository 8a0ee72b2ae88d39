//! Messages between controllers and workers.
use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

pub const REPORT: &str = "/checkin";
pub const COMMANDS: &str = "/orders";
pub const STATUS: &str = "/show";

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    #[serde(rename = "vessel")]
    pub machine: String,
    #[serde(rename = "endpoint")]
    pub addr: String,
    #[serde(rename = "hull")]
    pub type_name: String,
    #[serde(rename = "harbor")]
    pub zone: String,
    #[serde(rename = "charter", default)]
    pub spot: bool,
    #[serde(rename = "watch")]
    pub incarnation: u64,
    #[serde(rename = "logline")]
    pub seq: u64,
    #[serde(rename = "helm", default)]
    pub token: u64,
    #[serde(rename = "recallS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "hauls", default)]
    pub tasks: Vec<TaskReport>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// None: no task of this system.
    #[serde(rename = "haul", with = "task_or_none")]
    pub task: Option<TaskId>,
    #[serde(rename = "sailing")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<ExitReason>,
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    Fetching,
    Waiting,
    Running,
    Saving,
    Exited,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExitReason {
    Done,
    Stopped,
    Peers,
    Alone,
    Error,
    Full,
    Busy,
    Unknown,
    /// A cause that this version does not know: treated like an error.
    #[serde(other)]
    Other,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    #[serde(rename = "order")]
    pub op: CommandKind,
    #[serde(rename = "haul")]
    pub task: TaskId,
    #[serde(rename = "sailing")]
    pub attempt: u64,
    #[serde(rename = "mooringS", default, skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    #[serde(rename = "launch")]
    Start,
    Stop,
    Forget,
}

/// Answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "helm")]
    pub token: u64,
    #[serde(rename = "orders")]
    pub orders: Vec<Command>,
}

/// Answer 421: report to that node.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "harbormaster", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Commands sent straight to a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommandBatch {
    #[serde(rename = "helm")]
    pub token: u64,
    #[serde(rename = "watch")]
    pub incarnation: u64,
    pub orders: Vec<Command>,
}

/// A task's name, `wk-000412/3`, read and written as text without a copy of it: reports name
/// every task of a machine over and over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskId {
    pub job: u64,
    pub task: u32,
}

impl TaskId {
    pub fn parse(s: &str) -> Option<TaskId> {
        let (job, task) = s.split_once('/')?;
        Some(TaskId { job: crate::user::parse_job_id(job)?, task: task.parse().ok()? })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{}", crate::user::JobName(self.job), self.task)
    }
}

impl Serialize for TaskId {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

struct TaskText;

impl Visitor<'_> for TaskText {
    type Value = Option<TaskId>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a task's name")
    }

    fn visit_str<E: de::Error>(self, s: &str) -> Result<Option<TaskId>, E> {
        Ok(TaskId::parse(s))
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<TaskId, D::Error> {
        d.deserialize_str(TaskText)?.ok_or_else(|| de::Error::custom("not a task's name"))
    }
}

mod task_or_none {
    use super::{Deserializer, Serialize, Serializer, TaskId, TaskText};

    pub fn serialize<S: Serializer>(t: &Option<TaskId>, s: S) -> Result<S::Ok, S::Error> {
        match t {
            Some(t) => t.serialize(s),
            None => s.serialize_str(""),
        }
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Option<TaskId>, D::Error> {
        d.deserialize_str(TaskText)
    }
}
