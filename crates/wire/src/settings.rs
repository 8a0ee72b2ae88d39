//! The platform's settings file.
use serde::Deserialize;

mod checks;
mod error;

pub use error::{FieldError, SettingsError};

/// The settings of one controller. Those under `params` are the same for all of them.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This node's name.
    #[serde(rename = "node_name")]
    pub node: String,
    /// The zone that it runs in.
    pub zone: String,
    /// `ADDRESS:PORT` for users, workers and the load balancer.
    #[serde(rename = "serve_on")]
    pub listen: String,
    /// `ADDRESS:PORT` for the other controllers.
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
    /// Its name.
    #[serde(rename = "node_name")]
    pub node: String,
    /// The zone that it runs in.
    pub zone: String,
    /// `ADDRESS:PORT` where it listens for this one.
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
    /// Names of the zones, between 1 and 64. Messages between controllers refer to them by their place here.
    pub zones: Vec<String>,
    /// The teams, between 1 and 255. Messages between controllers refer to them by their place here.
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Times that the workers are set to.
    pub workers: Workers,
    /// Limits of the key-value store.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// What a controller may take of its machine.
    #[serde(rename = "resources")]
    pub limits: Limits,
    /// How far the controllers' wall clocks may be apart, in milliseconds. Not used.
    #[serde(default)]
    pub clock_off_ms: f64,
}

/// A team and its limits.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Its name, as jobs give it.
    pub name: String,
    /// Processors that are its own.
    #[serde(default)]
    pub cpus: f64,
    /// Processors that its tasks may take at the most; 0: no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs that are its own.
    #[serde(default)]
    pub gpus: f64,
    /// GPUs that its tasks may take at the most; 0: no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective of a class of jobs. One that lacks what its kind needs is ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// `wait` (to the start), `finished` (to the end) or `deadline`; others are ignored.
    pub kind: String,
    /// The class of jobs that it is for.
    pub class: String,
    /// With `wait` and `finished`: seconds from the submission.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share of the jobs that it should hold for, between 0 and 1.
    #[serde(default)]
    pub share: Option<f64>,
    /// With `deadline`: the multiple of a job's own deadline that counts; 1 if not given.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Times that the workers are set to, all in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// Interval of heartbeats.
    pub report_s: f64,
    /// A worker ends its tasks this long after it sent the last heartbeat that was answered.
    pub lease_s: f64,
    /// A ready task of a gang waits this long for the others.
    pub gang_wait_s: f64,
    /// A running task of a gang ends this long after it lost another one.
    pub gang_peer_s: f64,
    /// All tasks of a job must be gone this long after its user was told that it is cancelled.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// Changes per second, of all controllers together.
    pub write_rps: f64,
    /// Size of a value, in KiB.
    pub value_kb: f64,
    /// Operations of a transaction, at least 4.
    pub txn_ops: usize,
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// A list may be this many seconds old.
    pub list_lag_s: f64,
}

/// What a controller may take of its machine; 0: not limited.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Processors.
    #[serde(rename = "core_share", default)]
    pub cpu_share: f64,
    /// Memory, in MB.
    #[serde(rename = "mem_mb", default)]
    pub memory_mb: f64,
    /// File descriptors, and so connections.
    #[serde(rename = "fd_limit", default)]
    pub max_connections: usize,
}

impl Settings {
    /// Reads and checks the settings. Unknown fields are ignored.
    ///
    /// # Errors
    /// If the text is not the JSON of settings, or a value can't be meant; then its key is named.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = serde_json::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// All nodes' names, in the order that numbers them and the shards.
    pub fn nodes(&self) -> Vec<String> {
        let mut names: Vec<String> = self.peers.iter().map(|peer| peer.node.clone()).collect();
        names.push(self.node.clone());
        names.sort();
        names
    }
}
