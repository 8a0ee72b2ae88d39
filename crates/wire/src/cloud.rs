//! Messages between controllers and the cloud.
use serde::{Deserialize, Serialize};

pub const CATALOG: &str = "/catalog";
pub const MACHINES: &str = "/hosts";
pub const RELEASE: &str = "/hosts/release";

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalog {
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "label")]
    pub name: String,
    #[serde(rename = "cores")]
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    #[serde(default)]
    pub price: f64,
    #[serde(rename = "marketPrice", default)]
    pub spot_price: f64,
    #[serde(rename = "startupS", default)]
    pub boot_s: f64,
    #[serde(rename = "harbors", default)]
    pub zones: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct InstanceRequest {
    #[serde(rename = "charterRequest")]
    pub request: String,
    #[serde(rename = "hull")]
    pub type_name: String,
    #[serde(rename = "harbor")]
    pub zone: String,
    #[serde(rename = "charter")]
    pub spot: bool,
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// The names of machines: a rental's answer, and the body of a release.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceNames {
    #[serde(rename = "fleet")]
    pub machines: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceList {
    #[serde(rename = "fleet")]
    pub machines: Vec<Instance>,
    #[serde(rename = "truncated", default)]
    pub more: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Instance {
    pub id: String,
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    #[serde(rename = "hull")]
    pub type_name: String,
    #[serde(rename = "harbor")]
    pub zone: String,
    #[serde(rename = "charter", default)]
    pub spot: bool,
    pub status: InstanceStatus,
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceStatus {
    Starting,
    Running,
    Failed,
}
