//! Messages between controllers: CBOR in length-prefixed frames.
//!
//! # What may never change
//!
//! Controllers of two versions understand each other while one replaces the other, so what is sent is fixed,
//! and `tests/golden/mesh.txt` holds messages of earlier versions that must be read and written byte for byte:
//!
//! - Structs that derive `Serialize_tuple` are sent as arrays, without the names of their fields: those took
//!   most of the bytes and of the time. A field's *place* is its name on the wire. Fields are never moved,
//!   removed, added, or given another type.
//! - Enums and [`Hello`] are sent with the names of their variants and fields. A name may change in the
//!   sources if `serde(rename)` keeps the one on the wire.
//! - A [`TaskPhase`] is a number, made of places in two lists to which one may only append.
//! - Shards, zones, teams and nodes are numbers: places in lists that all controllers derive from the same
//!   settings.
//! - A new kind of message is a new variant. An older version closes the connection on one that it does not
//!   know, so it is only sent once all controllers know it.
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

/// Bytes of a frame, without its length.
pub const MAX_FRAME: usize = 1 << 20;

/// First frame on a connection. Only the newest (boot, generation) of a node is listened to, so that messages
/// of a node arrive in the order sent, with losses but never reordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's name.
    pub node: String,
    /// Its process's boot number: the larger, the newer.
    pub boot: u64,
    /// Counts the connections of its process to this receiver.
    pub generation: u64,
}

/// What is sent from node to node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeMessage {
    /// Alive, and what the sender knows of who owns what.
    #[serde(rename = "Beat")]
    Heartbeat(NodeHeartbeat),
    /// From one shard's owner to another's. Dropped by a receiver that does not act under `to_epoch`.
    Shard {
        /// The sender's shard.
        from: u8,
        /// The epoch that the sender acts under.
        from_epoch: u64,
        /// The receiver's shard.
        to: u8,
        /// The epoch that the sender knows of the receiver's shard.
        to_epoch: u64,
        /// The message.
        msg: ShardMessage,
    },
    /// Asks the owner of a job's shard for its state.
    #[serde(rename = "Ask")]
    QueryJob {
        /// Number of the call, for its answer.
        call: u64,
        /// The job's number.
        job: u64,
        /// Cancel it, and then answer.
        cancel: bool,
    },
    /// Answer to [`NodeMessage::QueryJob`].
    #[serde(rename = "Told")]
    JobAnswer {
        /// Number of the call.
        call: u64,
        /// What the owner knows.
        answer: JobAnswer,
    },
    /// The sender, at home on this shard, is ready to have it back.
    #[serde(rename = "WantShard")]
    ReclaimShard {
        /// The shard.
        shard: u8,
    },
    /// A worker's heartbeat, relayed to the owner of its machine's shard, which the worker does not reach.
    #[serde(rename = "Report")]
    RelayedHeartbeat {
        /// Number of the call, for its answer.
        call: u64,
        /// The heartbeat as received.
        report: Box<WorkerHeartbeat>,
    },
    /// Answer to [`NodeMessage::RelayedHeartbeat`].
    #[serde(rename = "Answered")]
    RelayedResponse {
        /// Number of the call.
        call: u64,
        /// The owner's answer to the worker; none: it has none to give.
        answer: Option<HeartbeatResponse>,
    },
}

/// What is sent between the owners of two shards, in the roles that they have for each: coordinator of jobs,
/// participant with machines, quota manager of a team, provisioner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ShardMessage {
    /// Coordinator to participant: starts a negotiation.
    #[serde(rename = "Request")]
    RequestOffers {
        /// Number of the negotiation.
        negotiation: u64,
        /// What is asked for.
        items: Vec<OfferRequest>,
        /// GPU work at the sender, asked for or not: processors, GPUs and memory of a task in the units of
        /// [`Shape`], and its priority.
        gpu_work: Vec<(u64, u64, u64, Priority)>,
    },
    /// Coordinator to participant: the negotiation is over, its holds end. Winners were named by
    /// [`ShardMessage::Place`] before.
    #[serde(rename = "Close")]
    CloseNegotiation {
        /// Number of the negotiation.
        negotiation: u64,
    },
    /// Coordinator to participant: attempts that were decided.
    Place {
        /// The job's number.
        job: u64,
        /// What each of the tasks takes.
        shape: Arc<Shape>,
        /// The attempts.
        picks: Vec<Assignment>,
        /// The sender took the decision over from an older epoch and does not know whether it was carried out,
        /// or is over already: it is not started any more.
        adopt: bool,
    },
    /// Coordinator to participant: stops an attempt.
    Stop {
        /// The attempt.
        what: AttemptRef,
        /// Time to save its progress in, in seconds.
        grace_s: f64,
    },
    /// Coordinator to participant: these attempts are over for the coordinator; they are not reported any more.
    Forget {
        /// The attempts.
        what: Vec<AttemptRef>,
    },
    /// Participant to coordinator: answer to [`ShardMessage::RequestOffers`].
    Offers {
        /// Number of the negotiation.
        negotiation: u64,
        /// Capacity that is held for it.
        offers: Vec<Offer>,
        /// Indexes of the items for which tasks are being preempted here.
        #[serde(rename = "coming")]
        preempting: Vec<u16>,
    },
    /// Participant to coordinator: asks how a negotiation was decided whose holds are old.
    AskDecision {
        /// Number of the negotiation.
        negotiation: u64,
    },
    /// Participant to coordinator: capacity became free since it offered less than was asked for. Ask again,
    /// for jobs of this priority or higher.
    #[serde(rename = "Room")]
    CapacityFreed {
        /// The least priority that it is for.
        priority: Priority,
    },
    /// Participant to coordinator: news of attempts.
    #[serde(rename = "Events")]
    TaskEvents {
        /// In the order in which they happened on each machine.
        events: Vec<TaskEvent>,
    },
    /// Coordinator to the team's shard: what its tasks take, and what more it wants. It gives up whatever it
    /// was granted beyond that.
    TeamUsage {
        /// Number of the report, for its answer.
        serial: u64,
        /// By team.
        usage: Vec<TeamUsage>,
    },
    /// Answer to [`ShardMessage::TeamUsage`]: how much its tasks may take in all, until its next report.
    TeamGrant {
        /// Number of the report.
        serial: u64,
        /// By team.
        granted: Vec<TeamGrant>,
    },
    /// Coordinator to the provisioner's shard: all tasks for which no machine has capacity.
    #[serde(rename = "Lacks")]
    UnmetDemand {
        /// By job.
        lacks: Vec<UnmetDemand>,
    },
    /// Participant to the provisioner's shard: what changed since the message with the serial number before.
    #[serde(rename = "Machines")]
    Inventory {
        /// Counts these messages.
        serial: u64,
        /// These are all machines, whatever was sent before.
        first: bool,
        /// Machines that are new or changed.
        machines: Vec<MachineInfo>,
        /// Names of machines that are not there any more.
        gone: Vec<String>,
    },
    /// Provisioner to participant: a message was lost, send all machines again.
    #[serde(rename = "MachinesAgain")]
    ResendInventory,
    /// Provisioner to participant: machines up to this name are the operator's own and stay.
    #[serde(rename = "Base")]
    OperatorMachines {
        /// The last such name.
        newest: String,
    },
    /// Provisioner to participant: give this machine no new tasks, if it is idle: it is to be released.
    Drain {
        /// The machine's name.
        machine: String,
    },
    /// Participant to provisioner: the machine is idle, and gets no new tasks.
    Drained {
        /// The machine's name.
        machine: String,
    },
    /// Provisioner to participant: the machine was given back to the cloud.
    Released {
        /// The machine's name.
        machine: String,
    },
}

/// What a shard's owner knows of a job. Two answers are equal if they are of the same kind, whatever the state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobAnswer {
    /// Its state.
    State(JobState),
    /// The receiver of the question does not own the job's shard.
    NotMine,
    /// There is no such job.
    Unknown,
    /// Not known yet: ask again.
    Later,
}

impl PartialEq for JobAnswer {
    fn eq(&self, other: &JobAnswer) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }
}
