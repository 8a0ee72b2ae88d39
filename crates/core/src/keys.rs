//! Builds and parses the keys of all records in the state service. No other module does either.
//!
//! | prefix | record | written by |
//! | --- | --- | --- |
//! | `seat/` | owners of shards | the node that acquires the shard, under its lease |
//! | `j/SHARD/` | jobs as submitted | any node, once for each job |
//! | `d/SHARD/` | decisions | the shard's owner |
//! | `r/SHARD/` | completed tasks, in chunks | the shard's owner |
//! | `f/SHARD/` | terminal states | the shard's owner |
//! | `base` | newest machine that existed before the service was first started | the provisioner, once |
//!
//! Each parser returns `None` for a key that does not have the form of the function that builds it.
use crate::ids::{Epoch, JobId, Shard};

/// Prefix of the shard keys, whose values are the records of the shards' owners.
pub const SHARD_PREFIX: &str = "seat/";
/// Key of the record of the newest machine that existed before the service was first started. That
/// machine and older ones belong to the operator.
pub const OPERATOR_MACHINES_KEY: &str = "base";

/// Returns the key of a shard's owner record. The version of the key is the owner's epoch.
pub fn shard_key(shard: Shard) -> String {
    format!("{SHARD_PREFIX}{}", shard.0)
}

/// Returns the shard of a key under `seat/`.
pub fn parse_shard_key(key: &str) -> Option<Shard> {
    key.strip_prefix(SHARD_PREFIX)?.parse().ok().map(Shard)
}

/// Returns the prefix of a shard's decisions.
pub fn decision_prefix(shard: Shard) -> String {
    format!("d/{}/", shard.0)
}

/// Returns the key of the decision of one round under one epoch.
pub fn decision_key(shard: Shard, epoch: Epoch, round: u64) -> String {
    format!("{}{}-{round}", decision_prefix(shard), epoch.0)
}

/// Returns the prefix of a shard's jobs as they were submitted.
pub fn job_prefix(shard: Shard) -> String {
    format!("j/{}/", shard.0)
}

/// Returns the key of a job as it was submitted.
pub fn job_key(shard: Shard, job: JobId) -> String {
    format!("{}{}", job_prefix(shard), job.0)
}

/// Returns the prefix of the terminal states of a shard's jobs.
pub fn terminal_state_prefix(shard: Shard) -> String {
    format!("f/{}/", shard.0)
}

/// Returns the key of a job's terminal state.
pub fn terminal_state_key(shard: Shard, job: JobId) -> String {
    format!("{}{}", terminal_state_prefix(shard), job.0)
}

/// Returns the job of a key under `j/` or `f/`.
pub fn parse_job_key(key: &str) -> Option<JobId> {
    key.rsplit('/').next()?.parse().ok().map(JobId)
}

/// Returns the prefix of the completed tasks of a shard's jobs.
pub fn completion_prefix(shard: Shard) -> String {
    format!("r/{}/", shard.0)
}

/// Returns the key of one chunk of a job's completed tasks.
pub fn completion_key(shard: Shard, job: JobId, chunk: u32) -> String {
    format!("{}{}.{}", completion_prefix(shard), job.0, chunk)
}

/// Returns the job and the chunk number (from 0; see [`crate::task_set`]) of a key under `r/`.
pub fn parse_completion_key(key: &str) -> Option<(JobId, u32)> {
    let (job, chunk) = key.rsplit('/').next()?.split_once('.')?;
    Some((JobId(job.parse().ok()?), chunk.parse().ok()?))
}
