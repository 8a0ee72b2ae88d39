//! Messages between users and controllers.
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;
use thiserror::Error;

/// Path of jobs: submit (POST), state (GET `/ID`), cancel (POST `/ID/abort`).
pub const JOBS: &str = "/submissions";
/// Last part of the path that cancels a job.
pub const CANCEL: &str = "abort";
/// Path of the health check, for the load balancer.
pub const HEALTH: &str = "/up";
/// Bytes of a submission; a longer one is refused (400).
pub const MAX_BODY: usize = 64 * 1024;
/// Tasks of a job.
pub const MAX_TASKS: u32 = 100_000;
/// Digits of a job's name; numbers with fewer get zeros in front.
const MIN_ID_DIGITS: usize = 6;
/// Digits of a job's name: any such number is less than 2^63.
const MAX_ID_DIGITS: usize = 18;
/// Any number of a job: processors, GPUs, GB or seconds.
const MAX_NUMBER: f64 = 1e9;
/// Bytes of any text of a job.
const MAX_TEXT_BYTES: usize = 200;
/// Machine types that a job names.
const MAX_TYPES: usize = 100;

/// How the tasks of a job belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A job array: tasks that run independently of each other.
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that only run all at once.
    #[serde(rename = "group")]
    Gang,
    /// Tasks that run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
}

/// Importance of a job, from the least to the most, so that `Ord` compares it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Runs on what others leave, and is preempted first.
    #[serde(rename = "best_effort")]
    Low,
    /// The usual one.
    #[serde(rename = "normal")]
    Normal,
    /// Before the usual ones.
    #[serde(rename = "high")]
    High,
    /// Before all others.
    #[serde(rename = "production")]
    Production,
}

/// A submission. [`Job::parse`] returns only ones whose values are in range.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Its name, as [`parse_job_id`] reads it.
    pub id: String,
    /// Its class, which the objectives of the settings refer to.
    #[serde(rename = "cargo")]
    pub class: String,
    /// Its team, which the settings name.
    #[serde(rename = "crew")]
    pub team: String,
    /// How its tasks belong together.
    #[serde(rename = "rig")]
    pub kind: Kind,
    /// How important it is.
    #[serde(rename = "precedence")]
    pub priority: Priority,
    /// Number of tasks, between 1 and [`MAX_TASKS`].
    #[serde(rename = "hauls")]
    pub tasks: u32,
    /// Processors of a task, more than 0.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs of a task.
    pub gpus: f64,
    /// Memory of a task, in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// Name of the image that its tasks run.
    #[serde(rename = "manifest")]
    pub image: String,
    /// The image's size, in GB.
    #[serde(rename = "imageGb")]
    pub image_gb: f64,
    /// Machine types that its tasks may run on; none: any.
    #[serde(rename = "hulls", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The zone that its tasks must run in; none: any.
    #[serde(rename = "harbor", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All its tasks must run in one zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// At most half of its tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// Its tasks may run on interruptible machines.
    #[serde(rename = "charter")]
    pub spot: bool,
    /// Expected run time of a task, in seconds.
    #[serde(rename = "passageS")]
    pub estimate_s: f64,
    /// Interval at which a task saves its progress by itself, in seconds; 0: it saves none.
    #[serde(rename = "fixS")]
    pub checkpoint_s: f64,
    /// Time that a task takes to save its progress when it is stopped, in seconds.
    #[serde(rename = "stowS")]
    pub save_s: f64,
    /// From the submission to when the job should be done, in seconds.
    #[serde(rename = "tideS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Why a submission is not a job. Always the caller's mistake (400): the same bytes never become one.
#[derive(Debug, Error)]
pub enum BadJob {
    /// Not JSON, or a field is missing or of another type.
    #[error("not a job: {0}")]
    Parse(#[from] serde_json::Error),
    /// JSON, but no object.
    #[error("not a job: not an object")]
    NotAnObject,
    /// The value of this field is not one that a job may have.
    #[error("{0}: out of range")]
    Range(&'static str),
}

impl Job {
    /// Reads a submission.
    ///
    /// # Errors
    /// If it is not the JSON of a job, or a value is out of range; then the first such field is named.
    pub fn parse(body: &[u8]) -> Result<Job, BadJob> {
        let value: Value = serde_json::from_slice(body)?;
        if !value.is_object() {
            return Err(BadJob::NotAnObject);
        }
        let job: Job = serde_json::from_value(value)?;
        match job.field_out_of_range() {
            Some(field) => Err(BadJob::Range(field)),
            None => Ok(job),
        }
    }

    /// The name on the wire of a field whose value no job may have.
    fn field_out_of_range(&self) -> Option<&'static str> {
        if parse_job_id(&self.id).is_none() {
            return Some("id");
        }
        self.number_out_of_range().or_else(|| self.text_out_of_range())
    }

    fn number_out_of_range(&self) -> Option<&'static str> {
        let numbers = [
            ("gpus", self.gpus),
            ("imageGb", self.image_gb),
            ("passageS", self.estimate_s),
            ("fixS", self.checkpoint_s),
            ("stowS", self.save_s),
            ("tideS", self.deadline_s.unwrap_or(0.0)),
            ("cores", self.cpus),
            ("memoryGb", self.memory_gb),
        ];
        let in_range = |number: f64| (0.0..=MAX_NUMBER).contains(&number);
        for (field, number) in numbers {
            if !in_range(number) || (number == 0.0 && field == "cores") {
                return Some(field);
            }
        }
        (!(1..=MAX_TASKS).contains(&self.tasks)).then_some("hauls")
    }

    fn text_out_of_range(&self) -> Option<&'static str> {
        let too_long = |text: &String| text.len() > MAX_TEXT_BYTES;
        let required = [("cargo", &self.class), ("crew", &self.team), ("manifest", &self.image)];
        for (field, text) in required {
            if text.is_empty() || too_long(text) {
                return Some(field);
            }
        }
        let types = self.types.as_ref();
        if types.is_some_and(|types| types.len() > MAX_TYPES || types.iter().any(too_long)) {
            return Some("hulls");
        }
        self.zone.as_ref().is_some_and(too_long).then_some("harbor")
    }
}

/// A job's state as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// Accepted, not done, and no task runs.
    #[serde(rename = "queued")]
    Queued,
    /// At least one task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by a user.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to a submission, a request for the state, or a cancellation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobState {
    /// The job's name.
    pub id: String,
    /// Its state.
    pub status: Status,
    /// Tasks that are done.
    #[serde(default)]
    pub done: u32,
    /// Tasks that run.
    #[serde(default)]
    pub running: u32,
}

/// A job's number from its name: `wk-` and at least six digits, without needless zeros, so that names and
/// numbers match one to one. None if it is not such a name.
pub fn parse_job_id(id: &str) -> Option<u64> {
    let digits = id.strip_prefix("wk-")?;
    let length = digits.len();
    if !(MIN_ID_DIGITS..=MAX_ID_DIGITS).contains(&length) {
        return None;
    }
    let needless_zero = length > MIN_ID_DIGITS && digits.starts_with('0');
    if needless_zero || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse().ok()
}

/// A job's name as text, from its number.
pub struct JobName(pub u64);

impl fmt::Display for JobName {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "wk-{:0width$}", self.0, width = MIN_ID_DIGITS)
    }
}

/// A job's name from its number; the reverse of [`parse_job_id`].
pub fn job_id(number: u64) -> String {
    JobName(number).to_string()
}
