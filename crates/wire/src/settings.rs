//! The platform's settings file.
use serde::Deserialize;
use std::collections::BTreeSet;
use thiserror::Error;

/// Teams go by their number in messages between controllers.
const MOST_TEAMS: usize = 255;
/// Processors or GPUs of a team.
const MOST_AMOUNT: f64 = 1e9;

#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("settings: {0}")]
    Parse(#[from] serde_json::Error),
    #[error("settings: {field}: {why}")]
    Field { field: &'static str, why: String },
}

#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    #[serde(rename = "node_name")]
    pub node: String,
    pub zone: String,
    #[serde(rename = "serve_on")]
    pub listen: String,
    #[serde(rename = "mesh_addr")]
    pub peer_listen: String,
    #[serde(rename = "siblings")]
    pub peers: Vec<Peer>,
    #[serde(rename = "external")]
    pub services: Services,
    #[serde(rename = "cluster")]
    pub params: Params,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    #[serde(rename = "node_name")]
    pub node: String,
    pub zone: String,
    #[serde(rename = "address")]
    pub addr: String,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    pub cloud: String,
    pub state: String,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Params {
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    #[serde(rename = "resources")]
    pub limits: Limits,
    #[serde(default)]
    pub clock_off_ms: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    pub class: String,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
    #[serde(default)]
    pub times: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    #[serde(rename = "core_share", default)]
    pub cpu_share: f64,
    #[serde(rename = "mem_mb", default)]
    pub memory_mb: f64,
    #[serde(rename = "fd_limit", default)]
    pub max_connections: usize,
}

impl Settings {
    /// Reads and checks the settings. Unknown fields are ignored.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let s: Settings = serde_json::from_str(text)?;
        let bad = |field, why: String| Err(SettingsError::Field { field, why });
        for (field, addr) in [
            ("serve_on", &s.listen),
            ("mesh_addr", &s.peer_listen),
            ("external.cloud", &s.services.cloud),
            ("external.state", &s.services.state),
        ] {
            if addr.parse::<std::net::SocketAddr>().is_err() {
                return bad(field, format!("{addr:?} is not ADDRESS:PORT"));
            }
        }
        for p in &s.peers {
            if p.addr.parse::<std::net::SocketAddr>().is_err() {
                return bad("siblings.address", format!("{:?} is not ADDRESS:PORT", p.addr));
            }
        }
        let names = s.nodes();
        if names.windows(2).any(|w| w[0] == w[1]) {
            return bad("siblings", "two nodes have the same name".into());
        }
        if s.params.zones.is_empty() || s.params.zones.len() > 64 {
            return bad("cluster.zones", "between 1 and 64 zones are needed".into());
        }
        if s.params.teams.is_empty() {
            return bad("cluster.teams", "there must be a team".into());
        }
        if s.params.teams.len() > MOST_TEAMS {
            return bad("cluster.teams", format!("there are more than {MOST_TEAMS}"));
        }
        let mut names = BTreeSet::new();
        for t in &s.params.teams {
            if t.name.is_empty() {
                return bad("cluster.teams.name", "a team has no name".into());
            }
            if !names.insert(&t.name) {
                return bad("cluster.teams.name", format!("{:?} is there twice", t.name));
            }
            for (field, v) in [
                ("cluster.teams.cpus", t.cpus),
                ("cluster.teams.cpus_max", t.cpus_max),
                ("cluster.teams.gpus", t.gpus),
                ("cluster.teams.gpus_max", t.gpus_max),
            ] {
                // Beyond, thousandths are not counted exactly.
                if !(0.0..=MOST_AMOUNT).contains(&v) {
                    return bad(field, format!("{v} of team {:?} is no amount", t.name));
                }
            }
            // Processors and GPUs are counted in thousandths: with less than one, no task could run.
            for (field, v) in
                [("cluster.teams.cpus_max", t.cpus_max), ("cluster.teams.gpus_max", t.gpus_max)]
            {
                if v > 0.0 && v < 0.001 {
                    return bad(field, format!("{v} of team {:?} is less than any task", t.name));
                }
            }
        }
        let w = &s.params.workers;
        for (field, v) in [
            ("cluster.workers.report_s", w.report_s),
            ("cluster.workers.lease_s", w.lease_s),
            ("cluster.workers.gang_wait_s", w.gang_wait_s),
            ("cluster.workers.gang_peer_s", w.gang_peer_s),
            ("cluster.workers.cancel_s", w.cancel_s),
            ("cluster.state.rps", s.params.state.rps),
            ("cluster.state.write_rps", s.params.state.write_rps),
            ("cluster.state.value_kb", s.params.state.value_kb),
            ("cluster.cloud.rps", s.params.cloud.rps),
        ] {
            if !(v.is_finite() && v > 0.0) {
                return bad(field, format!("{v} must be a positive number"));
            }
        }
        if s.params.state.txn_ops < 4 {
            return bad("cluster.state.txn_ops", "at least 4 are needed".into());
        }
        Ok(s)
    }

    /// All nodes' names, in the order that numbers them and the shards.
    pub fn nodes(&self) -> Vec<String> {
        let mut v: Vec<String> = self.peers.iter().map(|p| p.node.clone()).collect();
        v.push(self.node.clone());
        v.sort();
        v
    }
}
