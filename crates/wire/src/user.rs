//! Messages between users and controllers.
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;
use thiserror::Error;

pub const JOBS: &str = "/submissions";
pub const CANCEL: &str = "abort";
pub const HEALTH: &str = "/up";
pub const MAX_BODY: usize = 64 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    #[serde(rename = "sweep")]
    Array,
    #[serde(rename = "group")]
    Gang,
    #[serde(rename = "service")]
    Service,
}

/// From the least to the most important, so that `Ord` compares importance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "best_effort")]
    Low,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "production")]
    Production,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    pub id: String,
    #[serde(rename = "cargo")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    #[serde(rename = "rig")]
    pub kind: Kind,
    #[serde(rename = "precedence")]
    pub priority: Priority,
    #[serde(rename = "hauls")]
    pub tasks: u32,
    #[serde(rename = "cores")]
    pub cpus: f64,
    pub gpus: f64,
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    #[serde(rename = "manifest")]
    pub image: String,
    #[serde(rename = "imageGb")]
    pub image_gb: f64,
    #[serde(rename = "hulls", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "harbor", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub one_zone: bool,
    #[serde(rename = "scatter")]
    pub spread: bool,
    #[serde(rename = "charter")]
    pub spot: bool,
    #[serde(rename = "passageS")]
    pub estimate_s: f64,
    #[serde(rename = "fixS")]
    pub checkpoint_s: f64,
    #[serde(rename = "stowS")]
    pub save_s: f64,
    #[serde(rename = "tideS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

#[derive(Debug, Error, PartialEq)]
pub enum BadJob {
    #[error("not a job: {0}")]
    Parse(String),
    #[error("{0}: out of range")]
    Range(&'static str),
}

impl Job {
    /// Reads a submission. Whatever is wrong with it is the caller's mistake (400).
    pub fn parse(body: &[u8]) -> Result<Job, BadJob> {
        let v: Value = serde_json::from_slice(body).map_err(|e| BadJob::Parse(e.to_string()))?;
        if !v.is_object() {
            return Err(BadJob::Parse("not an object".into()));
        }
        let j: Job = serde_json::from_value(v).map_err(|e| BadJob::Parse(e.to_string()))?;
        if parse_job_id(&j.id).is_none() {
            return Err(BadJob::Range("id"));
        }
        let in_range = |v: f64, lo: f64| v.is_finite() && v >= lo && v <= 1e9;
        for (name, v) in [
            ("gpus", j.gpus),
            ("imageGb", j.image_gb),
            ("passageS", j.estimate_s),
            ("fixS", j.checkpoint_s),
            ("stowS", j.save_s),
            ("tideS", j.deadline_s.unwrap_or(0.0)),
        ] {
            if !in_range(v, 0.0) {
                return Err(BadJob::Range(name));
            }
        }
        for (name, v) in [("cores", j.cpus), ("memoryGb", j.memory_gb)] {
            if !in_range(v, 0.0) || (v == 0.0 && name == "cores") {
                return Err(BadJob::Range(name));
            }
        }
        if j.tasks == 0 || j.tasks > 100_000 {
            return Err(BadJob::Range("hauls"));
        }
        for (name, s) in [("cargo", &j.class), ("crew", &j.team), ("manifest", &j.image)] {
            if s.is_empty() || s.len() > 200 {
                return Err(BadJob::Range(name));
            }
        }
        if j.types.as_ref().is_some_and(|t| t.len() > 100 || t.iter().any(|s| s.len() > 200)) {
            return Err(BadJob::Range("hulls"));
        }
        if j.zone.as_ref().is_some_and(|z| z.len() > 200) {
            return Err(BadJob::Range("harbor"));
        }
        Ok(j)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    #[serde(rename = "queued")]
    Queued,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobState {
    pub id: String,
    pub status: Status,
    #[serde(default)]
    pub done: u32,
    #[serde(default)]
    pub running: u32,
}

/// `wk-` and at least six digits, without needless zeros: names and numbers match one to one.
pub fn parse_job_id(s: &str) -> Option<u64> {
    let d = s.strip_prefix("wk-")?;
    if d.len() < 6 || d.len() > 18 || !d.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    if d.len() > 6 && d.starts_with('0') {
        return None;
    }
    d.parse().ok()
}

/// A job's name as text.
pub struct JobName(pub u64);

impl fmt::Display for JobName {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "wk-{:06}", self.0)
    }
}

pub fn job_id(n: u64) -> String {
    JobName(n).to_string()
}
