//! The keys of all records in the state service: they are made and parsed here, and nowhere else.
//!
//! | prefix | record | written by |
//! | --- | --- | --- |
//! | `seat/` | owners of shards | the node that acquires one, under its lease |
//! | `j/SHARD/` | jobs as submitted | any node, once |
//! | `d/SHARD/` | decisions | the shard's owner |
//! | `r/SHARD/` | completed tasks, in chunks | the shard's owner |
//! | `f/SHARD/` | terminal states | the shard's owner |
//! | `base` | newest machine that was there before the service | the provisioner, once |
//!
//! The parsers return `None` for a key that is not of the form that the maker beside them gives.
use crate::ids::{Epoch, JobId, Shard};

/// Prefix of the records of the shards' owners.
pub const SHARD_PREFIX: &str = "seat/";
/// Key of the newest machine that was there before the service.
pub const BASE_KEY: &str = "base";

/// Key of a shard's owner; its version is the owner's epoch.
pub fn shard_key(shard: Shard) -> String {
    format!("{SHARD_PREFIX}{}", shard.0)
}

/// The shard that a key of `seat/` is about.
pub fn parse_shard_key(key: &str) -> Option<Shard> {
    key.strip_prefix(SHARD_PREFIX)?.parse().ok().map(Shard)
}

/// Prefix of a shard's decisions.
pub fn decision_prefix(shard: Shard) -> String {
    format!("d/{}/", shard.0)
}

/// Key of the decision of one round under one epoch.
pub fn decision_key(shard: Shard, epoch: Epoch, round: u64) -> String {
    format!("{}{}-{round}", decision_prefix(shard), epoch.0)
}

/// Prefix of a shard's jobs as they were submitted.
pub fn job_prefix(shard: Shard) -> String {
    format!("j/{}/", shard.0)
}

/// Key of a job as it was submitted.
pub fn job_key(shard: Shard, job: JobId) -> String {
    format!("{}{}", job_prefix(shard), job.0)
}

/// Prefix of the terminal states of a shard's jobs.
pub fn terminal_state_prefix(shard: Shard) -> String {
    format!("f/{}/", shard.0)
}

/// Key of a job's terminal state.
pub fn terminal_state_key(shard: Shard, job: JobId) -> String {
    format!("{}{}", terminal_state_prefix(shard), job.0)
}

/// The job that a key of `j/` or `f/` is about.
pub fn parse_job_key(key: &str) -> Option<JobId> {
    key.rsplit('/').next()?.parse().ok().map(JobId)
}

/// Prefix of the completed tasks of a shard's jobs.
pub fn completion_prefix(shard: Shard) -> String {
    format!("r/{}/", shard.0)
}

/// Key of one chunk of a job's completed tasks.
pub fn completion_key(shard: Shard, job: JobId, chunk: u32) -> String {
    format!("{}{}.{}", completion_prefix(shard), job.0, chunk)
}

/// The job and the number of the chunk (from 0; see [`crate::task_set`]) that a key of `r/` is about.
pub fn parse_completion_key(key: &str) -> Option<(JobId, u32)> {
    let (job, chunk) = key.rsplit('/').next()?.split_once('.')?;
    Some((JobId(job.parse().ok()?), chunk.parse().ok()?))
}
