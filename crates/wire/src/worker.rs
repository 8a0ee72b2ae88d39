//! Messages between controllers and workers.
use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Path of workers' heartbeats at controllers (POST a [`WorkerHeartbeat`]).
pub const REPORT: &str = "/checkin";
/// Path of command batches at workers (POST a [`CommandBatch`]).
pub const COMMANDS: &str = "/orders";
/// Path of a worker's status at the worker (GET).
pub const STATUS: &str = "/show";

/// What a worker reports of itself, at an interval and on changes; also its answer to commands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// Its machine's name.
    #[serde(rename = "vessel")]
    pub machine: String,
    /// `ADDRESS:PORT` where it takes commands.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// The machine's type in the catalog.
    #[serde(rename = "hull")]
    pub type_name: String,
    /// The machine's zone.
    #[serde(rename = "harbor")]
    pub zone: String,
    /// The machine is interruptible.
    #[serde(rename = "charter", default)]
    pub spot: bool,
    /// Number of the worker process, counted up at each start on the machine.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// Counts the heartbeats of an incarnation: the larger, the newer.
    #[serde(rename = "logline")]
    pub seq: u64,
    /// The largest fencing token that it has seen. It refuses commands with a smaller one.
    #[serde(rename = "helm", default)]
    pub token: u64,
    /// The machine is taken back by the cloud in this many seconds; none: not that is known.
    #[serde(rename = "recallS", default)]
    pub notice_s: Option<f64>,
    /// All attempts on the machine that it has not been told to forget.
    #[serde(rename = "hauls", default)]
    pub tasks: Vec<TaskReport>,
}

/// One attempt's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task; none if the name is not one of this system.
    #[serde(rename = "haul", with = "task_or_none")]
    pub task: Option<TaskId>,
    /// Number of the attempt.
    #[serde(rename = "sailing")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it exited.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<ExitReason>,
    /// It saved its progress before it exited.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// An attempt's state at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Its image is being fetched.
    Fetching,
    /// A task of a gang that waits for the others to be ready.
    Waiting,
    /// It runs.
    Running,
    /// It was told to stop and saves its progress.
    Saving,
    /// It does not run any more, or never did.
    Exited,
}

/// Why an attempt exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExitReason {
    /// Its work is done.
    Done,
    /// It was told to stop.
    Stopped,
    /// Other tasks of its gang were lost while it ran.
    Peers,
    /// Other tasks of its gang did not come within the time that a gang waits.
    Alone,
    /// It failed.
    Error,
    /// Refused: the machine does not have the resources free.
    Full,
    /// Refused: another attempt of the task is still on the machine.
    Busy,
    /// Refused: the worker does not find the task's job.
    Unknown,
    /// A cause that this version does not know: treated like an error.
    #[serde(other)]
    Other,
}

/// One command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// What to do.
    #[serde(rename = "order")]
    pub op: CommandKind,
    /// The task.
    #[serde(rename = "haul")]
    pub task: TaskId,
    /// Number of the attempt.
    #[serde(rename = "sailing")]
    pub attempt: u64,
    /// With [`CommandKind::Stop`]: time to save its progress in, in seconds.
    #[serde(rename = "mooringS", default, skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

/// What a command does. Repeated, it has no further effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    /// Starts an attempt.
    #[serde(rename = "launch")]
    Start,
    /// Stops an attempt.
    Stop,
    /// Leaves an exited attempt out of the reports from now on.
    Forget,
}

/// Answer to a heartbeat (200). It renews the lease of the worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The sender's fencing token: the epoch of the machine's shard.
    #[serde(rename = "helm")]
    pub token: u64,
    /// Carried out in this order.
    #[serde(rename = "orders")]
    pub orders: Vec<Command>,
}

/// Answer to a heartbeat by a controller that does not own the machine (421).
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the node to report to; none: not known.
    #[serde(rename = "harbormaster", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Commands sent straight to a worker, between its heartbeats. They do not renew its lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The sender's fencing token. Refused (409) if the worker has seen a larger one.
    #[serde(rename = "helm")]
    pub token: u64,
    /// The incarnation that the commands are for. Refused (409) by another one.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// Carried out in this order.
    pub orders: Vec<Command>,
}

/// A task's name, `wk-000412/3`, read and written as text without a copy of it: heartbeats name every task of a
/// machine over and over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskId {
    /// The job's number.
    pub job: u64,
    /// The task's number within the job, from 0.
    pub task: u32,
}

impl TaskId {
    /// Reads a name; none if it is not of this form.
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
