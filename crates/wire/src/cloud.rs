//! Messages between controllers and the cloud.
use serde::{Deserialize, Serialize};

/// Path of the catalog of machine types (GET).
pub const CATALOG: &str = "/catalog";
/// Path of the instances: launch (POST an [`InstanceRequest`]) and list (GET, `after=NAME&limit=N`).
pub const MACHINES: &str = "/hosts";
/// Path to release instances (POST [`InstanceNames`]).
pub const RELEASE: &str = "/hosts/release";

/// The machine types that the cloud has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalog {
    /// All types, whether or not there is capacity now.
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

/// One machine type, with what it has and costs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name, unique in the catalog.
    #[serde(rename = "label")]
    pub name: String,
    /// Processors.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs; 0 if not given.
    #[serde(default)]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// Room for images on the machine, in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Rate at which it fetches images, in GB/s.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an instance that is not interruptible, per unit of time; only compared with other prices.
    #[serde(default)]
    pub price: f64,
    /// Price of an interruptible instance, in the same unit.
    #[serde(rename = "marketPrice", default)]
    pub spot_price: f64,
    /// Usual time from a launch to the first heartbeat, in seconds.
    #[serde(rename = "startupS", default)]
    pub boot_s: f64,
    /// Zones that have this type.
    #[serde(rename = "harbors", default)]
    pub zones: Vec<String>,
}

/// Launches instances. Repeated under the same name, it has no further effect.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct InstanceRequest {
    /// Name of the request, chosen by the caller: the idempotency key.
    #[serde(rename = "charterRequest")]
    pub request: String,
    /// A type of the catalog.
    #[serde(rename = "hull")]
    pub type_name: String,
    /// Where the instances are wanted.
    #[serde(rename = "harbor")]
    pub zone: String,
    /// Interruptible instances, at the spot price.
    #[serde(rename = "charter")]
    pub spot: bool,
    /// Number of instances.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// The names of instances: the answer to a launch, and the body of a release.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceNames {
    /// Their names.
    #[serde(rename = "fleet")]
    pub machines: Vec<String>,
}

/// One page of the list of instances, in the order of their names.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceList {
    /// The instances of this page.
    #[serde(rename = "fleet")]
    pub machines: Vec<Instance>,
    /// There are more, after the last name of this page.
    #[serde(rename = "truncated", default)]
    pub more: bool,
}

/// An instance as the cloud lists it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Instance {
    /// Its name, which is also the name of its machine.
    pub id: String,
    /// `ADDRESS:PORT` of its worker, once known.
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    /// Its type in the catalog.
    #[serde(rename = "hull")]
    pub type_name: String,
    /// Its zone.
    #[serde(rename = "harbor")]
    pub zone: String,
    /// It is interruptible.
    #[serde(rename = "charter", default)]
    pub spot: bool,
    /// What the cloud knows of its state.
    pub status: InstanceStatus,
    /// Time since its launch, in seconds.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// An instance's state at the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceStatus {
    /// Launched, not up yet.
    Starting,
    /// Up, whether or not its worker reports.
    Running,
    /// It does not come up, or broke: of no use.
    Failed,
}
