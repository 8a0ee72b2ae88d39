//! Placement: what tasks need, what participants offer, and what coordinators assign.
use crate::user::{JobKind, Priority};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use std::sync::Arc;

/// What one task needs and where it may run.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Shape {
    /// How the tasks of the job belong together.
    pub kind: JobKind,
    /// Priority of the job.
    pub priority: Priority,
    /// Processors, in thousandths.
    pub cpu: u64,
    /// GPUs, in thousandths.
    pub gpu: u64,
    /// Memory, in MB.
    pub mem: u64,
    /// Machine types that the task may run on. `None`: any.
    pub types: Option<Vec<String>>,
    /// The task may run on spot machines, which the cloud may interrupt.
    pub spot: bool,
    /// Name of the image.
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Time that the task takes to save its progress when it is stopped, in seconds.
    pub save_s: f64,
    /// Interval at which the task saves its progress by itself, in seconds; 0: it does not.
    pub checkpoint_s: f64,
    /// Expected run time, in seconds.
    pub estimate_s: f64,
}

/// A request for offers of machines for tasks of one job.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct OfferRequest {
    /// Number of the job.
    pub job: u64,
    /// What each of the tasks needs.
    pub shape: Arc<Shape>,
    /// Number of tasks.
    pub count: u32,
    /// How many more tasks may run in each zone, by zone number.
    pub max_per_zone: Vec<u32>,
    /// No participant had capacity lately: preempt tasks of lower priority for the job, if that frees
    /// enough capacity.
    pub preempt: bool,
    /// More than a third of the time that the job's objective allows has passed.
    pub urgent: bool,
    /// The tasks may use capacity that GPU work could use.
    pub may_use_gpu_machines: bool,
    /// Position of a gang in the gang queue. `None`: the job is not a gang.
    pub queue_position: Option<QueuePosition>,
}

/// Position of a gang in the queue of waiting gangs. They are served in this order, so that no two
/// gangs each hold a part of the capacity that both need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct QueuePosition {
    /// Number of objectives that the gang has missed already.
    pub missed_objectives: u8,
    /// Time until the gang's next objective is missed, in milliseconds; negative if it is missed
    /// already.
    pub time_left_ms: i64,
    /// Gangs behind this one get no capacity in its zone until it is served. Not set by a gang that
    /// requests offers for the first time, or has one task.
    pub blocks_gangs_behind: bool,
    /// The zone that a gang of several tasks waits for.
    pub zone: Option<u8>,
}

/// Capacity of one machine, on hold for the negotiation until it is decided or abandoned.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Offer {
    /// Index into the items of the request.
    pub item: u16,
    /// Name of the machine.
    pub machine: String,
    /// Incarnation of the machine's worker.
    pub incarnation: u64,
    /// Number of the machine's zone.
    pub zone: u8,
    /// Number of tasks that there is capacity for.
    pub count: u32,
    /// The image is in the machine's cache.
    pub has_image: bool,
    /// Score among offers of equal `has_image`; a higher one is better.
    pub score: i64,
}

/// An attempt to start on a machine whose offer was accepted.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Assignment {
    /// Number of the task within the job.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: u64,
    /// Name of the machine.
    pub machine: String,
    /// Incarnation of the worker that the offer was made for.
    pub incarnation: u64,
}
