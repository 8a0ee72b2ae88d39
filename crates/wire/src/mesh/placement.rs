//! Placement: what tasks need, what participants offer, which offers win.
use crate::user::{Kind, Priority};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use std::sync::Arc;

/// What one task takes and where it may run.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Shape {
    /// How the tasks of its job belong together.
    pub kind: Kind,
    /// Its job's priority.
    pub priority: Priority,
    /// Processors, in thousandths.
    pub cpu: u64,
    /// GPUs, in thousandths.
    pub gpu: u64,
    /// Memory, in MB.
    pub mem: u64,
    /// Machine types that it may run on; none: any.
    pub types: Option<Vec<String>>,
    /// It may run on interruptible machines.
    pub spot: bool,
    /// The image's name.
    pub image: String,
    /// The image's size, in GB.
    pub image_gb: f64,
    /// Time that it takes to save its progress when it is stopped, in seconds.
    pub save_s: f64,
    /// Interval at which it saves its progress by itself, in seconds; 0: it saves none.
    pub checkpoint_s: f64,
    /// Expected run time, in seconds.
    pub estimate_s: f64,
}

/// Asks for machines for tasks of one job.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct OfferRequest {
    /// The job's number.
    pub job: u64,
    /// What each of the tasks takes.
    pub shape: Arc<Shape>,
    /// Number of tasks.
    pub count: u32,
    /// How many more tasks each zone may take, by zone number.
    pub zone_room: Vec<u32>,
    /// No participant had capacity lately: stop tasks of lower priority for it, if that helps.
    pub preempt: bool,
    /// More than a third of the time that its objective allows is over.
    pub urgent: bool,
    /// It may take capacity that GPU work could use.
    pub may_use_gpu_machines: bool,
    /// A gang's position in the gang queue.
    pub queue_position: Option<QueuePosition>,
}

/// A gang's position in the queue of those that wait: they are served in this order, so that none holds some of
/// what it needs while another holds the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct QueuePosition {
    /// Objectives that it has missed already.
    pub late: u8,
    /// Time left to its next objective, in milliseconds.
    pub time_left_ms: i64,
    /// Younger gangs get nothing in its zone until it is served. Not set by a gang that asks for
    /// the first time, or has one task.
    pub holds_position: bool,
    /// The zone that a gang of several tasks waits for.
    pub zone: Option<u8>,
}

/// Capacity of one machine, held for the negotiation until it is decided or given up.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Offer {
    /// Index into the request's items.
    pub item: u16,
    /// The machine's name.
    pub machine: String,
    /// The worker's incarnation.
    pub incarnation: u64,
    /// The machine's zone, by its number.
    pub zone: u8,
    /// Tasks that it has capacity for.
    pub count: u32,
    /// It has the image already.
    pub cached: bool,
    /// Higher is better among offers that do not have the image.
    pub score: i64,
}

/// An offer that won: the attempt to start on the machine.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Assignment {
    /// The task's number within the job.
    pub task: u32,
    /// The attempt's number.
    pub attempt: u64,
    /// The machine's name.
    pub machine: String,
    /// The worker's incarnation that the offer was for.
    pub incarnation: u64,
}
