//! Messages between controllers and workers.
use serde::{Deserialize, Serialize};

pub const REPORT: &str = "/checkin";
pub const COMMANDS: &str = "/orders";
pub const STATUS: &str = "/show";

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
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
    pub session: u64,
    #[serde(rename = "logline")]
    pub seq: u64,
    #[serde(rename = "helm", default)]
    pub token: u64,
    #[serde(rename = "recallS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "hauls", default)]
    pub tasks: Vec<TaskReport>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskReport {
    #[serde(rename = "haul")]
    pub task: String,
    #[serde(rename = "sailing")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<Why>,
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
pub enum Why {
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
pub struct Order {
    #[serde(rename = "order")]
    pub op: Op,
    #[serde(rename = "haul")]
    pub task: String,
    #[serde(rename = "sailing")]
    pub attempt: u64,
    #[serde(rename = "mooringS", default, skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Op {
    #[serde(rename = "launch")]
    Start,
    Stop,
    Forget,
}

/// Answer to a report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    #[serde(rename = "helm")]
    pub token: u64,
    #[serde(rename = "orders")]
    pub orders: Vec<Order>,
}

/// Answer 421: report to that node.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "harbormaster", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Commands sent straight to a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Direct {
    #[serde(rename = "helm")]
    pub token: u64,
    #[serde(rename = "watch")]
    pub session: u64,
    pub orders: Vec<Order>,
}

/// `wk-000412/3` to (412, 3).
pub fn parse_task(s: &str) -> Option<(u64, u32)> {
    let (job, task) = s.split_once('/')?;
    Some((crate::user::parse_job_id(job)?, task.parse().ok()?))
}

pub fn task_name(job: u64, task: u32) -> String {
    format!("{}/{}", crate::user::job_id(job), task)
}
