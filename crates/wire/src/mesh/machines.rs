//! What the provisioner is told: tasks without a machine, and machines without tasks.
use super::Shape;
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use std::sync::Arc;

/// Tasks of a job for which no machine has capacity.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct UnmetDemand {
    /// The job's number.
    pub job: u64,
    /// What each of the tasks takes.
    pub shape: Arc<Shape>,
    /// Number of tasks.
    pub count: u32,
    /// How many more tasks each zone may take, by zone number.
    pub zone_room: Vec<u32>,
    /// Time since the job's submission, in milliseconds.
    pub waited_ms: u64,
    /// More than a third of the time that its objective allows is over.
    pub urgent: bool,
}

/// A machine, as its participant tells the provisioner.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct MachineInfo {
    /// Its name.
    pub machine: String,
    /// Its type in the catalog.
    pub type_name: String,
    /// Its zone's name.
    pub zone: String,
    /// It is interruptible.
    pub spot: bool,
    /// How long it has had nothing to do when this was sent, in milliseconds; none: it is busy.
    pub idle_ms: Option<u64>,
    /// Not heard from for long, or known to be broken: of no use.
    pub dead: bool,
    /// It gets no new tasks, and is released when idle.
    pub draining: bool,
}
