//! The settings file.
use serde::Deserialize;

mod checks;
mod error;

pub use error::{FieldError, SettingsError};

/// The settings of one controller. `params` is the same for all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of this node.
    #[serde(rename = "node_name")]
    pub node: String,
    /// Name of the zone that this node runs in.
    pub zone: String,
    /// `ADDRESS:PORT` to listen on for users, workers and the load balancer.
    #[serde(rename = "serve_on")]
    pub listen: String,
    /// `ADDRESS:PORT` to listen on for the other controllers.
    #[serde(rename = "mesh_addr")]
    pub peer_listen: String,
    /// The other controllers.
    #[serde(rename = "siblings")]
    pub peers: Vec<Peer>,
    /// The services that the controllers use.
    #[serde(rename = "external")]
    pub services: Services,
    /// The parameters of the cluster.
    #[serde(rename = "cluster")]
    pub params: Params,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Name of its node.
    #[serde(rename = "node_name")]
    pub node: String,
    /// Name of the zone that it runs in.
    pub zone: String,
    /// `ADDRESS:PORT` where it listens for other controllers.
    #[serde(rename = "address")]
    pub addr: String,
}

/// The services that the controllers use.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// `ADDRESS:PORT` of the cloud.
    pub cloud: String,
    /// `ADDRESS:PORT` of the key-value store.
    pub state: String,
}

/// The parameters of the cluster.
#[derive(Clone, Debug, Deserialize)]
pub struct Params {
    /// Names of the zones, between 1 and 64. Messages between controllers refer to a zone by its index
    /// in this list.
    pub zones: Vec<String>,
    /// The teams, between 1 and 255. Messages between controllers refer to a team by its index in this
    /// list.
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Time limits that the workers are configured with.
    pub workers: Workers,
    /// Limits of the key-value store.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// What a controller may use of its machine.
    #[serde(rename = "resources")]
    pub limits: Limits,
    /// How far the wall clocks of the controllers may differ, in milliseconds. Not used.
    #[serde(default)]
    pub clock_off_ms: f64,
}

/// A team and its limits.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Name of the team, which jobs refer to.
    pub name: String,
    /// Number of processors that the team owns.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of processors that the team's tasks may use; 0: no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Number of GPUs that the team owns.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs that the team's tasks may use; 0: no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective for a class of jobs. An objective that lacks a field that its kind needs
/// is ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// `wait` (limits the time to the start), `finished` (limits the time to the end) or `deadline`.
    /// Objectives of other kinds are ignored.
    pub kind: String,
    /// The class of jobs that the objective applies to.
    pub class: String,
    /// For `wait` and `finished`: the time limit, in seconds from the submission.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share of the jobs that should meet the objective, between 0 and 1.
    #[serde(default)]
    pub share: Option<f64>,
    /// For `deadline`: the time limit as a multiple of the job's own deadline; 1 if not given.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Time limits that the workers are configured with, all in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// Interval between two heartbeats.
    pub report_s: f64,
    /// Length of a worker's lease: the worker ends its tasks this long after it sent the last
    /// heartbeat that got a response.
    pub lease_s: f64,
    /// How long a ready task of a gang waits for the other tasks of the gang.
    pub gang_wait_s: f64,
    /// How long a task of a gang keeps running after another task of the gang was lost.
    pub gang_peer_s: f64,
    /// How long after its user was told that a job is cancelled all tasks of the job must have ended.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests per second, for all controllers together.
    pub rps: f64,
    /// Changes per second, for all controllers together.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of operations in a transaction, at least 4.
    pub txn_ops: usize,
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Maximum age of a list of instances when it is returned, in seconds.
    pub list_lag_s: f64,
}

/// What a controller may use of its machine. 0: no limit.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Number of processors.
    #[serde(rename = "core_share", default)]
    pub cpu_share: f64,
    /// Memory, in MB.
    #[serde(rename = "mem_mb", default)]
    pub memory_mb: f64,
    /// Number of file descriptors, which limits the number of connections.
    #[serde(rename = "fd_limit", default)]
    pub max_connections: usize,
}

impl Settings {
    /// Parses and checks the settings. Unknown fields are ignored.
    ///
    /// # Errors
    /// Returns an error if the text is not the JSON of settings, or if a value is invalid. The error
    /// then names its key.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = serde_json::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the names of all nodes, sorted. Nodes and shards are numbered in this order.
    pub fn nodes(&self) -> Vec<String> {
        let mut names: Vec<String> = self.peers.iter().map(|peer| peer.node.clone()).collect();
        names.push(self.node.clone());
        names.sort();
        names
    }
}
