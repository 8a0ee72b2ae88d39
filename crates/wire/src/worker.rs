//! Messages between controllers and workers.
use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Path of worker heartbeats at controllers (POST a [`WorkerHeartbeat`]).
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Path of command batches at workers (POST a [`CommandBatch`]).
pub const COMMANDS_PATH: &str = "/orders";
/// Path of a worker's status at the worker (GET).
pub const STATUS_PATH: &str = "/show";

/// The heartbeat of a worker, sent at an interval and on changes. It is also the worker's response to a
/// command batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// Name of the machine.
    #[serde(rename = "vessel")]
    pub machine: String,
    /// `ADDRESS:PORT` where the worker takes command batches.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Name of the machine's type in the catalog.
    #[serde(rename = "hull")]
    pub type_name: String,
    /// Name of the machine's zone.
    #[serde(rename = "harbor")]
    pub zone: String,
    /// The machine is a spot instance, which the cloud may interrupt.
    #[serde(rename = "charter", default)]
    pub spot: bool,
    /// Number of the worker process, which increases with each start on the machine.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation; a larger one is newer.
    #[serde(rename = "logline")]
    pub seq: u64,
    /// The largest fencing token that the worker has seen. It refuses commands with a smaller one.
    #[serde(rename = "helm", default)]
    pub token: u64,
    /// Seconds until the cloud interrupts the machine. `None`: no interruption is announced.
    #[serde(rename = "recallS", default)]
    pub interruption_notice_s: Option<f64>,
    /// All attempts on the machine that the worker has not been told to forget.
    #[serde(rename = "hauls", default)]
    pub tasks: Vec<TaskReport>,
}

/// The state of an attempt in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task. `None` if the name is not a task's name of this system.
    #[serde(rename = "haul", with = "task_or_none")]
    pub task: Option<TaskId>,
    /// Number of the attempt.
    #[serde(rename = "sailing")]
    pub attempt: u64,
    /// State of the attempt.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why the attempt exited. `None`: it did not, or the worker gave no reason.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether the attempt saved its progress before it exited.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// State of an attempt at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Its image is being fetched.
    Fetching,
    /// It is a ready task of a gang that waits for the other tasks of the gang.
    Waiting,
    /// It is running.
    Running,
    /// It was told to stop, and is saving its progress.
    Saving,
    /// It is no longer running, or was never started.
    Exited,
}

/// Why an attempt exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExitReason {
    /// It completed its work.
    Done,
    /// It was told to stop.
    Stopped,
    /// Other tasks of its gang were lost while it was running.
    #[serde(rename = "peers")]
    GangMembersLost,
    /// Other tasks of its gang did not become ready within the time that a gang waits.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// It failed.
    Error,
    /// The worker refused it: the machine does not have the free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The worker refused it: another attempt of the task is still on the machine.
    #[serde(rename = "busy")]
    OtherAttemptPresent,
    /// The worker refused it: it does not find the task's job.
    #[serde(rename = "unknown")]
    JobNotFound,
    /// A reason that this version does not know, treated like an error.
    #[serde(other)]
    Other,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Kind of the command.
    #[serde(rename = "order")]
    pub kind: CommandKind,
    /// The task.
    #[serde(rename = "haul")]
    pub task: TaskId,
    /// Number of the attempt.
    #[serde(rename = "sailing")]
    pub attempt: u64,
    /// With [`CommandKind::Stop`]: seconds that the task has to save its progress.
    #[serde(rename = "mooringS", default, skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

/// What a command does. Commands are idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    /// Starts an attempt.
    #[serde(rename = "launch")]
    Start,
    /// Stops an attempt.
    Stop,
    /// Removes an exited attempt from the heartbeats from now on.
    Forget,
}

/// The response to a heartbeat (200). It renews the worker's lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The sender's fencing token: a store revision at which it owned the machine's shard.
    #[serde(rename = "helm")]
    pub token: u64,
    /// Commands, executed in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The response to a heartbeat by a controller that does not own the machine's shard (421).
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the node to send heartbeats to. `None`: not known.
    #[serde(rename = "harbormaster", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Commands sent directly to a worker, between its heartbeats. They do not renew its lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The sender's fencing token. The worker refuses the batch (409) if it has seen a larger one.
    #[serde(rename = "helm")]
    pub token: u64,
    /// The incarnation that the commands are for. Any other incarnation refuses the batch (409).
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// Commands, executed in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Identifies a task. On the wire it is text such as `wk-000412/3`, which is parsed and written without
/// an allocation, since every heartbeat names each task of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskId {
    /// Number of the job.
    pub job: u64,
    /// Number of the task within the job, from 0.
    pub task: u32,
}

impl TaskId {
    /// Parses a task's name; `None` if it does not have this form.
    pub fn parse(name: &str) -> Option<TaskId> {
        let (job, task) = name.split_once('/')?;
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

/// Reads a task's name from text; `None` if it does not have the form of a [`TaskId`].
struct TaskIdVisitor;

impl Visitor<'_> for TaskIdVisitor {
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
        d.deserialize_str(TaskIdVisitor)?.ok_or_else(|| de::Error::custom("not a task's name"))
    }
}

/// Serialization of a task's name that may have any form: a name that is not a [`TaskId`] is read as
/// `None`, so that it does not invalidate the whole heartbeat.
mod task_or_none {
    use super::{Deserializer, Serialize, Serializer, TaskId, TaskIdVisitor};

    pub fn serialize<S: Serializer>(
        task: &Option<TaskId>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match task {
            Some(task) => task.serialize(serializer),
            None => serializer.serialize_str(""),
        }
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<TaskId>, D::Error> {
        deserializer.deserialize_str(TaskIdVisitor)
    }
}
