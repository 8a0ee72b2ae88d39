//! Messages between controllers and the cloud.
use serde::{Deserialize, Serialize};

/// Path of the catalog of machine types (GET, returns a [`Catalog`]).
pub const CATALOG_PATH: &str = "/catalog";
/// Path of the instances: launch (POST an [`InstanceRequest`]) and list (GET `?after=NAME&limit=N`).
pub const INSTANCES_PATH: &str = "/hosts";
/// Path for releasing instances (POST [`InstanceNames`]).
pub const RELEASE_PATH: &str = "/hosts/release";

/// The machine types that the cloud offers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalog {
    /// All types, whether or not the cloud has capacity for them now.
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

/// A machine type: its resources, prices and zones.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineType {
    /// Name, unique in the catalog.
    #[serde(rename = "label")]
    pub name: String,
    /// Number of processors.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// Number of GPUs; 0 if not given.
    #[serde(default)]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// Capacity of the image cache on the machine, in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB/s.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an instance that is not a spot instance, per unit of time. Only compared with other
    /// prices.
    #[serde(default)]
    pub price: f64,
    /// Price of a spot instance, which the cloud may interrupt, in the same unit.
    #[serde(rename = "marketPrice", default)]
    pub spot_price: f64,
    /// Usual time from the launch to the first heartbeat, in seconds.
    #[serde(rename = "startupS", default)]
    pub boot_s: f64,
    /// Names of the zones that have this type.
    #[serde(rename = "harbors", default)]
    pub zones: Vec<String>,
}

/// A request to launch instances. It is idempotent: repeated under the same name, it has no further
/// effect.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct InstanceRequest {
    /// Name of the request, chosen by the caller: the idempotency key.
    #[serde(rename = "charterRequest")]
    pub request: String,
    /// Name of a machine type in the catalog.
    #[serde(rename = "hull")]
    pub type_name: String,
    /// Name of the zone for the instances.
    #[serde(rename = "harbor")]
    pub zone: String,
    /// Spot instances are requested, which the cloud may interrupt.
    #[serde(rename = "charter")]
    pub spot: bool,
    /// Number of instances.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Names of instances: the response to a launch, and the body of a release.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceNames {
    /// The names.
    #[serde(rename = "fleet")]
    pub machines: Vec<String>,
}

/// One page of the list of instances, ordered by name.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceList {
    /// The instances of this page.
    #[serde(rename = "fleet")]
    pub machines: Vec<Instance>,
    /// More instances follow, after the last name of this page.
    #[serde(rename = "truncated", default)]
    pub more: bool,
}

/// An instance as the cloud lists it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance, which is also the name of its machine.
    pub id: String,
    /// `ADDRESS:PORT` of its worker. `None`: not known yet.
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    /// Name of its type in the catalog.
    #[serde(rename = "hull")]
    pub type_name: String,
    /// Name of its zone.
    #[serde(rename = "harbor")]
    pub zone: String,
    /// It is a spot instance, which the cloud may interrupt.
    #[serde(rename = "charter", default)]
    pub spot: bool,
    /// State of the instance.
    pub status: InstanceStatus,
    /// Time since the launch, in seconds.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// State of an instance as the cloud knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceStatus {
    /// Launched, but not up yet.
    Starting,
    /// Up, whether or not its worker sends heartbeats.
    Running,
    /// Unusable: it did not come up, or it broke.
    Failed,
}
