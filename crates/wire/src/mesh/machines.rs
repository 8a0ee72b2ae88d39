//! Messages to the provisioner: unmet demand, and the inventories of the participants.
use super::Shape;
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use std::sync::Arc;

/// Tasks of a job for which no machine has capacity.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct UnmetDemand {
    /// Number of the job.
    pub job: u64,
    /// What each of the tasks needs.
    pub shape: Arc<Shape>,
    /// Number of tasks.
    pub count: u32,
    /// How many more tasks may run in each zone, by zone number.
    pub max_per_zone: Vec<u32>,
    /// Time since the job's submission, in milliseconds.
    pub waited_ms: u64,
    /// More than a third of the time that the job's objective allows has passed.
    pub urgent: bool,
}

/// A machine as its participant reports it to the provisioner.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct MachineInfo {
    /// Name of the machine.
    pub machine: String,
    /// Name of its type in the catalog.
    pub type_name: String,
    /// Name of its zone.
    pub zone: String,
    /// It is a spot instance, which the cloud may interrupt.
    pub spot: bool,
    /// How long the machine had been idle when the message was sent, in milliseconds. `None`: it is
    /// busy.
    pub idle_ms: Option<u64>,
    /// The machine is unusable: it has sent no heartbeat for long, or is known to be broken.
    pub unusable: bool,
    /// The machine gets no new tasks, and is released when idle.
    pub draining: bool,
}
