//! Messages between users and controllers.
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;
use thiserror::Error;

/// Path of jobs: submit (POST), read the state (GET `/ID`) and cancel (POST `/ID/abort`).
pub const JOBS_PATH: &str = "/submissions";
/// Last segment of the path that cancels a job.
pub const CANCEL_SEGMENT: &str = "abort";
/// Path of the health check, for the load balancer.
pub const HEALTH_PATH: &str = "/up";
/// Maximum size of a submission; a larger one is refused (400).
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;
/// Minimum number of digits in a job's name. Shorter numbers are padded with zeros.
const MIN_ID_DIGITS: usize = 6;
/// Maximum number of digits in a job's name, so that the number is less than 2^63.
const MAX_ID_DIGITS: usize = 18;
/// Maximum of each number in a job: processors, GPUs, GB or seconds.
const MAX_NUMBER: f64 = 1e9;
/// Maximum size of each text in a job.
const MAX_TEXT_BYTES: usize = 200;
/// Maximum number of machine types that a job may name.
const MAX_TYPES: usize = 100;

/// How the tasks of a job belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// A job array: tasks that run independently of each other.
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that run all at the same time or not at all.
    #[serde(rename = "group")]
    Gang,
    /// Tasks that run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
}

/// Priority of a job. The variants are in ascending order, which `Ord` uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Runs on capacity that no other job needs, and is preempted first.
    #[serde(rename = "best_effort")]
    Low,
    /// The usual priority.
    #[serde(rename = "normal")]
    Normal,
    /// Served before the usual priority.
    #[serde(rename = "high")]
    High,
    /// Served before all other priorities.
    #[serde(rename = "production")]
    Production,
}

/// A job as submitted. [`Job::parse`] returns only jobs whose values are all in range.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Name of the job, in the form that [`parse_job_id`] accepts.
    pub id: String,
    /// Class of the job, which the objectives in the settings refer to.
    #[serde(rename = "cargo")]
    pub class: String,
    /// Name of the team, which must be in the settings.
    #[serde(rename = "crew")]
    pub team: String,
    /// How the tasks belong together.
    #[serde(rename = "rig")]
    pub kind: JobKind,
    /// Priority of the job.
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
    /// Name of the image that the tasks run.
    #[serde(rename = "manifest")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(rename = "imageGb")]
    pub image_gb: f64,
    /// Machine types that the tasks may run on. `None`: any.
    #[serde(rename = "hulls", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The zone that the tasks must run in. `None`: any.
    #[serde(rename = "harbor", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks must run in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// The tasks may run on spot machines, which the cloud may interrupt.
    #[serde(rename = "charter")]
    pub spot: bool,
    /// Expected run time of a task, in seconds.
    #[serde(rename = "passageS")]
    pub estimate_s: f64,
    /// Interval at which a task saves its progress by itself, in seconds; 0: it does not.
    #[serde(rename = "fixS")]
    pub checkpoint_s: f64,
    /// Time that a task takes to save its progress when it is stopped, in seconds.
    #[serde(rename = "stowS")]
    pub save_s: f64,
    /// Time from the submission within which the job should be done, in seconds. `None`: any.
    #[serde(rename = "tideS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Why a submission is invalid. This is always the caller's mistake (400): a retry with the same bytes
/// can't succeed.
#[derive(Debug, Error)]
pub enum JobError {
    /// The body is not JSON, or a field is missing or has the wrong type.
    #[error("not a job: {0}")]
    Parse(#[from] serde_json::Error),
    /// The body is JSON, but not an object.
    #[error("not a job: not an object")]
    NotAnObject,
    /// The value of the named field is out of range.
    #[error("{0}: out of range")]
    Range(&'static str),
}

impl Job {
    /// Parses and checks a submission.
    ///
    /// # Errors
    /// Returns an error if the body is not the JSON of a job, or if a value is out of range. The error
    /// then names the first such field.
    pub fn parse(body: &[u8]) -> Result<Job, JobError> {
        let value: Value = serde_json::from_slice(body)?;
        if !value.is_object() {
            return Err(JobError::NotAnObject);
        }
        let job: Job = serde_json::from_value(value)?;
        match job.field_out_of_range() {
            Some(field) => Err(JobError::Range(field)),
            None => Ok(job),
        }
    }

    /// Returns the wire name of the first field whose value is out of range.
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

/// Status of a job as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// Accepted and not done, but no task is running.
    #[serde(rename = "queued")]
    Queued,
    /// At least one task is running.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by a user.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The response to a submission, a request for the state, or a cancellation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobState {
    /// Name of the job.
    pub id: String,
    /// Status of the job.
    pub status: JobStatus,
    /// Number of tasks that are done.
    #[serde(default)]
    pub done: u32,
    /// Number of tasks that are running.
    #[serde(default)]
    pub running: u32,
}

/// Returns the number of a job from its name: `wk-` and at least six digits, without further leading
/// zeros, so that names and numbers map one to one. `None` if the name does not have this form.
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

/// A job's number that is displayed as the job's name.
pub struct JobName(pub u64);

impl fmt::Display for JobName {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "wk-{:0width$}", self.0, width = MIN_ID_DIGITS)
    }
}

/// Returns the name of a job from its number; the inverse of [`parse_job_id`].
pub fn job_id(number: u64) -> String {
    JobName(number).to_string()
}
