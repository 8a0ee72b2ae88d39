//! Every key that is kept in the state service is made and read here, and nowhere else.
//!
//! | prefix | what | written by |
//! | --- | --- | --- |
//! | `seat/` | owners of shards | whoever acquires one, under its lease |
//! | `j/SHARD/` | jobs as submitted | any node, once |
//! | `d/SHARD/` | decisions | the shard's owner |
//! | `r/SHARD/` | done tasks, in chunks | the shard's owner |
//! | `f/SHARD/` | final states | the shard's owner |
//! | `base` | newest machine that was there before the service | the provisioner, once |
use crate::ids::{Epoch, JobId, Shard};

pub const SHARDS: &str = "seat/";
pub const BASE: &str = "base";

pub fn shard_key(s: Shard) -> String {
    format!("{SHARDS}{}", s.0)
}

pub fn parse_shard_key(k: &str) -> Option<Shard> {
    k.strip_prefix(SHARDS)?.parse().ok().map(Shard)
}

pub fn decision_prefix(s: Shard) -> String {
    format!("d/{}/", s.0)
}

pub fn job_prefix(s: Shard) -> String {
    format!("j/{}/", s.0)
}

pub fn run_prefix(s: Shard) -> String {
    format!("r/{}/", s.0)
}

pub fn job_key(s: Shard, j: JobId) -> String {
    format!("j/{}/{}", s.0, j.0)
}

pub fn final_prefix(s: Shard) -> String {
    format!("f/{}/", s.0)
}

pub fn final_key(s: Shard, j: JobId) -> String {
    format!("f/{}/{}", s.0, j.0)
}

/// The job that a key of `j/` or `f/` is about.
pub fn job_of_key(key: &str) -> Option<JobId> {
    key.rsplit('/').next()?.parse().ok().map(JobId)
}

pub fn run_key(s: Shard, j: JobId, chunk: u32) -> String {
    format!("r/{}/{}.{}", s.0, j.0, chunk)
}

pub fn decision_key(s: Shard, epoch: Epoch, round: u64) -> String {
    format!("{}{}-{round}", decision_prefix(s), epoch.0)
}

/// The job and chunk that a key of `r/` is about.
pub fn run_of_key(key: &str) -> Option<(JobId, u32)> {
    let (job, chunk) = key.rsplit('/').next()?.split_once('.')?;
    Some((JobId(job.parse().ok()?), chunk.parse().ok()?))
}
