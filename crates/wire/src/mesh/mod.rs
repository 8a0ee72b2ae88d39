//! Messages between controllers: CBOR in length-prefixed frames.
//!
//! # Compatibility
//!
//! During an upgrade controllers of two versions must understand each other, so the encoding is fixed.
//! `tests/golden/mesh.txt` holds messages of earlier versions, which must be decoded, and encoded again
//! byte for byte.
//!
//! - Structs that derive `Serialize_tuple` are sent as arrays without field names, since the names took
//!   most of the bytes and of the time. A field is identified by its *position*. Fields are never
//!   moved, removed, added, or given another type.
//! - Enums and [`Hello`] are sent with the names of their variants and fields. A name may change in the
//!   source if `serde(rename)` keeps the name on the wire.
//! - A [`TaskPhase`] is sent as a number, derived from indices into two lists that are append-only.
//! - Shards, zones, teams and nodes are sent as numbers: indices into lists that all controllers derive
//!   from the same settings.
//! - A new kind of message is a new variant. An older version closes the connection when it receives a
//!   variant that it does not know, so a new one is sent only once all controllers know it.
use crate::user::{JobState, Priority};
use crate::worker::{HeartbeatResponse, WorkerHeartbeat};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

mod heartbeat;
mod machines;
mod placement;
mod quota;
mod task;

pub use heartbeat::{NodeHeartbeat, ShardAssertion, Stamp};
pub use machines::{MachineInfo, UnmetDemand};
pub use placement::{Assignment, Offer, OfferRequest, QueuePosition, Shape};
pub use quota::{ByPriority, FirstInQueue, QuotaAmount, TeamGrant, TeamUsage, PRIORITIES};
pub use task::{AttemptRef, TaskEvent, TaskPhase, UnknownPhase};

/// Maximum size of a frame in bytes, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// The first frame on a connection. A receiver accepts messages of a node only from the connection with
/// the newest (boot, generation), so that they may be lost but are never reordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the sending node.
    pub node: String,
    /// Boot number of the sending process; a larger one is newer.
    pub boot: u64,
    /// Number of the connection among those of the process to this receiver.
    pub generation: u64,
}

/// A message from node to node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeMessage {
    /// The sender's heartbeat, with what it knows of the owners of shards.
    #[serde(rename = "Beat")]
    Heartbeat(NodeHeartbeat),
    /// A message from the owner of one shard to the owner of another. A receiver that does not own the
    /// shard under `to_epoch` drops it.
    Shard {
        /// The sender's shard.
        from: u8,
        /// The epoch of the sender's shard.
        from_epoch: u64,
        /// The receiver's shard.
        to: u8,
        /// The epoch of the receiver's shard, as far as the sender knows.
        to_epoch: u64,
        /// The message.
        msg: ShardMessage,
    },
    /// Asks the owner of a job's shard for the state of the job.
    #[serde(rename = "Ask")]
    QueryJob {
        /// Number of the call, which the answer repeats.
        call: u64,
        /// Number of the job.
        job: u64,
        /// Cancel the job before answering.
        cancel: bool,
    },
    /// The answer to [`NodeMessage::QueryJob`].
    #[serde(rename = "Told")]
    JobAnswer {
        /// Number of the call.
        call: u64,
        /// What the owner knows.
        answer: JobAnswer,
    },
    /// The sender is the home node of this shard, and is ready to own it again.
    #[serde(rename = "WantShard")]
    ReclaimShard {
        /// The shard.
        shard: u8,
    },
    /// A worker's heartbeat, relayed to the owner of its machine's shard because the worker can't reach
    /// that owner.
    #[serde(rename = "Report")]
    RelayedHeartbeat {
        /// Number of the call, which the response repeats.
        call: u64,
        /// The heartbeat as received.
        report: Box<WorkerHeartbeat>,
    },
    /// The response to [`NodeMessage::RelayedHeartbeat`].
    #[serde(rename = "Answered")]
    RelayedResponse {
        /// Number of the call.
        call: u64,
        /// The owner's response to the worker. `None`: it sends none.
        answer: Option<HeartbeatResponse>,
    },
}

/// A message between the owners of two shards. For its shard, an owner is the coordinator of the jobs
/// and the participant with the machines; it may also be the quota manager of a team, or the
/// provisioner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ShardMessage {
    /// Coordinator to participant: starts a negotiation.
    #[serde(rename = "Request")]
    RequestOffers {
        /// Number of the negotiation.
        negotiation: u64,
        /// The requests of the negotiation.
        items: Vec<OfferRequest>,
        /// GPU work at the sender, whether or not it is among the items: processors, GPUs and memory of
        /// a task, in the units of [`Shape`], and its priority.
        gpu_work: Vec<(u64, u64, u64, Priority)>,
    },
    /// Coordinator to participant: the negotiation has ended, so its holds are released. Accepted
    /// offers were named by [`ShardMessage::Place`] before.
    #[serde(rename = "Close")]
    CloseNegotiation {
        /// Number of the negotiation.
        negotiation: u64,
    },
    /// Coordinator to participant: attempts that were decided, and are to be started.
    Place {
        /// Number of the job.
        job: u64,
        /// What each of the tasks needs.
        shape: Arc<Shape>,
        /// The attempts.
        picks: Vec<Assignment>,
        /// The decision is from an older epoch, and the sender does not know whether the attempts were
        /// started, or have ended already. Those that are on their machines are kept, but none is
        /// started any more.
        adopt: bool,
    },
    /// Coordinator to participant: stops an attempt.
    Stop {
        /// The attempt.
        what: AttemptRef,
        /// Seconds that the task has to save its progress.
        grace_s: f64,
    },
    /// Coordinator to participant: the coordinator has recorded the end of these attempts. They are not
    /// reported to it any more.
    Forget {
        /// The attempts.
        what: Vec<AttemptRef>,
    },
    /// Participant to coordinator: the response to [`ShardMessage::RequestOffers`].
    Offers {
        /// Number of the negotiation.
        negotiation: u64,
        /// Capacity that is on hold for the negotiation.
        offers: Vec<Offer>,
        /// Indices of the items for which the participant is preempting tasks.
        #[serde(rename = "coming")]
        preempting: Vec<u16>,
    },
    /// Participant to coordinator: asks for the decision of a negotiation whose holds are old.
    AskDecision {
        /// Number of the negotiation.
        negotiation: u64,
    },
    /// Participant to coordinator: capacity became free after the participant offered less than was
    /// requested. The coordinator should request offers again for jobs of this priority or higher.
    #[serde(rename = "Room")]
    CapacityFreed {
        /// The lowest priority of jobs to request offers for.
        priority: Priority,
    },
    /// Participant to coordinator: new phases of attempts.
    #[serde(rename = "Events")]
    TaskEvents {
        /// The events of each machine in the order in which they happened.
        events: Vec<TaskEvent>,
    },
    /// Coordinator to the team's shard: what its tasks use, and what more they need. The coordinator
    /// gives up any part of its grant beyond that.
    TeamUsage {
        /// Number of the report, which the response repeats.
        serial: u64,
        /// The usage of each team.
        usage: Vec<TeamUsage>,
    },
    /// The response to [`ShardMessage::TeamUsage`]: what the coordinator's tasks may use in total until
    /// its next report.
    TeamGrant {
        /// Number of the report.
        serial: u64,
        /// The grant of each team.
        granted: Vec<TeamGrant>,
    },
    /// Coordinator to the provisioner's shard: all tasks for which no machine has capacity.
    #[serde(rename = "Lacks")]
    UnmetDemand {
        /// The unmet demand of each job.
        lacks: Vec<UnmetDemand>,
    },
    /// Participant to the provisioner's shard: what changed since the message with the previous serial
    /// number.
    #[serde(rename = "Machines")]
    Inventory {
        /// Serial number of the message.
        serial: u64,
        /// The message holds all machines, and replaces what was sent before.
        first: bool,
        /// Machines that are new or changed.
        machines: Vec<MachineInfo>,
        /// Names of machines that are no longer in the inventory.
        gone: Vec<String>,
    },
    /// Provisioner to participant: a message was lost, so all machines are to be sent again.
    #[serde(rename = "MachinesAgain")]
    ResendInventory,
    /// Provisioner to participant: which machines are the operator's own and are never released.
    #[serde(rename = "Base")]
    OperatorMachines {
        /// Name of the newest such machine; all older ones are the operator's too.
        newest: String,
    },
    /// Provisioner to participant: if this machine is idle, it is to get no new tasks, so that it can be
    /// released.
    Drain {
        /// Name of the machine.
        machine: String,
    },
    /// Participant to provisioner: the machine is idle, and gets no new tasks.
    Drained {
        /// Name of the machine.
        machine: String,
    },
    /// Provisioner to participant: the machine was released to the cloud.
    Released {
        /// Name of the machine.
        machine: String,
    },
}

/// What the owner of a shard knows of a job. Two answers are equal if they are of the same kind,
/// whatever the state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobAnswer {
    /// The state of the job.
    State(JobState),
    /// The receiver of the query does not own the job's shard.
    #[serde(rename = "NotMine")]
    NotOwner,
    /// The job does not exist.
    #[serde(rename = "Unknown")]
    NoSuchJob,
    /// The receiver does not know yet, and should be asked again.
    #[serde(rename = "Later")]
    NotReady,
}

impl PartialEq for JobAnswer {
    fn eq(&self, other: &JobAnswer) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }
}
