//! Messages between controllers, CBOR in length-prefixed frames. What is sent in numbers goes as
//! arrays, without the names of its fields: those took most of the bytes and of the time.
use crate::user::{JobState, Kind, Priority};
use crate::worker::{ExitReason, HeartbeatResponse, TaskState, WorkerHeartbeat};
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use std::sync::Arc;

pub const MAX_FRAME: usize = 1 << 20;

/// First frame on a connection. Only the newest (boot, generation) of a node is listened to, so
/// that messages of a node arrive in the order sent, with losses but never reordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub node: String,
    pub boot: u64,
    pub generation: u64,
}

/// What one task takes and where it may run.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Shape {
    pub kind: Kind,
    pub priority: Priority,
    /// Thousandths of a core and of a GPU, and MB.
    pub cpu: u64,
    pub gpu: u64,
    pub mem: u64,
    pub types: Option<Vec<String>>,
    pub spot: bool,
    pub image: String,
    pub image_gb: f64,
    pub save_s: f64,
    pub checkpoint_s: f64,
    pub estimate_s: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct OfferRequest {
    pub job: u64,
    pub shape: Arc<Shape>,
    pub count: u32,
    /// How many more tasks each zone may take, by zone number.
    pub zone_room: Vec<u32>,
    /// Nobody had room lately: stop less important tasks for it, if that helps.
    pub preempt: bool,
    /// More than a third of the time that its aim allows is over.
    pub urgent: bool,
    /// It may take room that GPU work could use.
    pub may_use_gpu_machines: bool,
    /// A gang's place in the line.
    pub queue_position: Option<QueuePosition>,
}

/// A gang's place among those that wait: they are served in this order, so that none holds
/// some of what it needs while another holds the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct QueuePosition {
    /// Aims that it has missed already, and the time left to the next.
    pub late: u8,
    pub time_left_ms: i64,
    /// Younger gangs get nothing in its zone until it is served. Not set by a gang that asks for
    /// the first time, or has one task.
    pub holds_position: bool,
    /// The zone that a gang of several tasks waits for.
    pub zone: Option<u8>,
}

#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Offer {
    /// Index into the request's items.
    pub item: u16,
    pub machine: String,
    pub incarnation: u64,
    pub zone: u8,
    pub count: u32,
    pub cached: bool,
    /// Higher is better among offers that do not have the image.
    pub score: i64,
}

#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Assignment {
    pub task: u32,
    pub attempt: u64,
    pub machine: String,
    pub incarnation: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum TaskPhase {
    /// Decided, start command not seen to be executed.
    Decided,
    On(TaskState),
    Exited(ExitReason, bool),
    /// Certainly off the machine.
    Gone,
}

/// Their places are their numbers on the wire.
const STATES: [TaskState; 5] = [
    TaskState::Fetching,
    TaskState::Waiting,
    TaskState::Running,
    TaskState::Saving,
    TaskState::Exited,
];
const WHYS: [ExitReason; 9] = [
    ExitReason::Done,
    ExitReason::Stopped,
    ExitReason::Peers,
    ExitReason::Alone,
    ExitReason::Error,
    ExitReason::Full,
    ExitReason::Busy,
    ExitReason::Unknown,
    ExitReason::Other,
];
const GONE: u8 = 1;
const ON: u8 = 8;
const EXITED: u8 = 16;

impl From<TaskPhase> for u8 {
    fn from(p: TaskPhase) -> u8 {
        let place = |at: Option<usize>| at.map_or(0, |i| i as u8);
        match p {
            TaskPhase::Decided => 0,
            TaskPhase::Gone => GONE,
            TaskPhase::On(s) => ON + place(STATES.iter().position(|x| *x == s)),
            TaskPhase::Exited(w, saved) => {
                EXITED + 2 * place(WHYS.iter().position(|x| *x == w)) + u8::from(saved)
            }
        }
    }
}

impl TryFrom<u8> for TaskPhase {
    type Error = String;

    fn try_from(n: u8) -> Result<TaskPhase, String> {
        let state = n.checked_sub(ON).and_then(|i| STATES.get(i as usize));
        let why = n.checked_sub(EXITED).and_then(|i| WHYS.get(i as usize / 2));
        match (n, state, why) {
            (0, ..) => Ok(TaskPhase::Decided),
            (GONE, ..) => Ok(TaskPhase::Gone),
            (_, Some(s), _) => Ok(TaskPhase::On(*s)),
            (_, _, Some(w)) => Ok(TaskPhase::Exited(*w, n % 2 == 1)),
            _ => Err(format!("no phase {n}")),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct TaskEvent {
    pub job: u64,
    pub task: u32,
    pub attempt: u64,
    pub machine: String,
    pub phase: TaskPhase,
}

/// A named attempt on a machine.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct AttemptRef {
    pub job: u64,
    pub task: u32,
    pub attempt: u64,
    pub machine: String,
    /// The worker's session that it was decided for, where the sender knows it.
    pub incarnation: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct UnmetDemand {
    pub job: u64,
    pub shape: Arc<Shape>,
    pub count: u32,
    pub zone_room: Vec<u32>,
    pub waited_ms: u64,
    pub urgent: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct MachineInfo {
    pub machine: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    /// How long it has had nothing to do, when this was sent; none: busy.
    pub idle_ms: Option<u64>,
    /// Not heard from for long, or known to be broken: worth nothing.
    pub dead: bool,
    /// Set aside for its return.
    pub draining: bool,
}

/// Thousandths of cores and GPUs that count against a team's limit.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize_tuple, Deserialize_tuple,
)]
pub struct QuotaAmount {
    pub cpu: u64,
    pub gpu: u64,
}

impl QuotaAmount {
    pub fn plus(self, o: QuotaAmount) -> QuotaAmount {
        QuotaAmount { cpu: self.cpu.saturating_add(o.cpu), gpu: self.gpu.saturating_add(o.gpu) }
    }

    /// Nothing where there is less.
    pub fn minus(self, o: QuotaAmount) -> QuotaAmount {
        QuotaAmount { cpu: self.cpu.saturating_sub(o.cpu), gpu: self.gpu.saturating_sub(o.gpu) }
    }

    /// The lesser of each.
    pub fn least(self, o: QuotaAmount) -> QuotaAmount {
        QuotaAmount { cpu: self.cpu.min(o.cpu), gpu: self.gpu.min(o.gpu) }
    }

    /// The greater of each.
    pub fn most(self, o: QuotaAmount) -> QuotaAmount {
        QuotaAmount { cpu: self.cpu.max(o.cpu), gpu: self.gpu.max(o.gpu) }
    }

    pub fn times(self, n: u32) -> QuotaAmount {
        let n = u64::from(n);
        QuotaAmount { cpu: self.cpu.saturating_mul(n), gpu: self.gpu.saturating_mul(n) }
    }

    pub fn within(self, o: QuotaAmount) -> bool {
        self.cpu <= o.cpu && self.gpu <= o.gpu
    }

    /// How many times `o` fits in.
    pub fn fits(self, o: QuotaAmount) -> u64 {
        let f = |a: u64, b: u64| a.checked_div(b).unwrap_or(u64::MAX);
        f(self.cpu, o.cpu).min(f(self.gpu, o.gpu))
    }
}

/// So many priorities there are.
pub const PRIORITIES: usize = 4;

/// By priority, the least first.
pub type ByPriority = [QuotaAmount; PRIORITIES];

/// What a coordinator's tasks take of the limit of a team (by its place in the settings), and what
/// more they want.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct TeamUsage {
    pub team: u8,
    pub used: ByPriority,
    pub wanted: ByPriority,
    /// Wanted by what found no machine lately.
    pub unplaceable: ByPriority,
    /// Of each priority the first of those that wait, in the coordinator's order.
    pub first: [Option<FirstInQueue>; PRIORITIES],
}

/// A task, or a gang as a whole, that is the next to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct FirstInQueue {
    pub need: QuotaAmount,
    pub waited_ms: u64,
}

impl TeamUsage {
    pub fn of(team: u8) -> TeamUsage {
        let none = ByPriority::default();
        TeamUsage { team, used: none, wanted: none, unplaceable: none, first: [None; PRIORITIES] }
    }

    pub fn in_use(&self) -> QuotaAmount {
        self.used.iter().fold(QuotaAmount::default(), |sum, u| sum.plus(*u))
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct TeamGrant {
    pub team: u8,
    /// What the coordinator's tasks may take in all.
    pub may: QuotaAmount,
    /// What they would take if lesser work of the team gave way everywhere.
    pub due: QuotaAmount,
}

/// What goes between two shards. Every message names the epochs of both ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ShardMessage {
    /// Coordinator to participant.
    /// `gpu_work`: what GPU work there is at the sender, asked for or not: cores, GPUs and MB of
    /// a task as in `Shape`, and its priority.
    #[serde(rename = "Request")]
    RequestOffers {
        negotiation: u64,
        items: Vec<OfferRequest>,
        gpu_work: Vec<(u64, u64, u64, Priority)>,
    },
    /// The negotiation is over: its holds end. Winners were named by `Place` before.
    #[serde(rename = "Close")]
    CloseNegotiation {
        negotiation: u64,
    },
    /// Winners. With `adopt`, the sender took the decision over from an older epoch and does not
    /// know whether it was carried out, or is over already: it is not started any more.
    Place {
        job: u64,
        shape: Arc<Shape>,
        picks: Vec<Assignment>,
        adopt: bool,
    },
    Stop {
        what: AttemptRef,
        grace_s: f64,
    },
    Forget {
        what: Vec<AttemptRef>,
    },
    /// Participant to coordinator.
    /// `coming`: items for which room is being made here.
    Offers {
        negotiation: u64,
        offers: Vec<Offer>,
        #[serde(rename = "coming")]
        preempting: Vec<u16>,
    },
    AskDecision {
        negotiation: u64,
    },
    /// Room became free since this participant offered less than was asked for: ask again, for jobs of
    /// this priority or higher.
    #[serde(rename = "Room")]
    CapacityFreed {
        priority: Priority,
    },
    #[serde(rename = "Events")]
    TaskEvents {
        events: Vec<TaskEvent>,
    },
    /// Coordinator to the team's shard: what its tasks take, and what more it wants. It gives up
    /// whatever it was granted beyond that.
    TeamUsage {
        serial: u64,
        usage: Vec<TeamUsage>,
    },
    /// Back: how much its tasks may take in all, until its next report.
    TeamGrant {
        serial: u64,
        granted: Vec<TeamGrant>,
    },
    /// Coordinator and participant to the provisioner's shard, and back.
    #[serde(rename = "Lacks")]
    UnmetDemand {
        lacks: Vec<UnmetDemand>,
    },
    /// What changed since the message with the serial number before; with `first`, all there is.
    #[serde(rename = "Machines")]
    Inventory {
        serial: u64,
        first: bool,
        machines: Vec<MachineInfo>,
        gone: Vec<String>,
    },
    /// Back: a message was lost, all is to be told again.
    #[serde(rename = "MachinesAgain")]
    ResendInventory,
    /// Machines up to this name are the operator's own and stay.
    #[serde(rename = "Base")]
    OperatorMachines {
        newest: String,
    },
    Drain {
        machine: String,
    },
    Drained {
        machine: String,
    },
    Released {
        machine: String,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeMessage {
    /// Alive, and what the sender knows of who owns what.
    #[serde(rename = "Beat")]
    Heartbeat(NodeHeartbeat),
    Shard {
        from: u8,
        from_epoch: u64,
        to: u8,
        to_epoch: u64,
        msg: ShardMessage,
    },
    /// Asks the owner of a job's shard.
    #[serde(rename = "Ask")]
    QueryJob {
        call: u64,
        job: u64,
        cancel: bool,
    },
    #[serde(rename = "Told")]
    JobAnswer {
        call: u64,
        answer: JobAnswer,
    },
    /// The sender, at home on this shard, is ready to have it back.
    #[serde(rename = "WantShard")]
    ReclaimShard {
        shard: u8,
    },
    /// A worker's report, passed on to the owner of its machine's shard, which it does not reach.
    #[serde(rename = "Report")]
    RelayedHeartbeat {
        call: u64,
        report: Box<WorkerHeartbeat>,
    },
    /// Back: the owner's answer; none: it has none to give.
    #[serde(rename = "Answered")]
    RelayedResponse {
        call: u64,
        answer: Option<HeartbeatResponse>,
    },
}

/// Sent to every sibling once a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct NodeHeartbeat {
    /// Shards that the sender acts for, and under which epochs.
    pub owned: Vec<(u8, u64)>,
    /// The newest owner it knows of each shard: shard, node by the order of names, epoch. Whoever
    /// acted for a shard under an older epoch and says so here has let go of it.
    pub known: Vec<(u8, u8, u64)>,
    /// It can take users' requests.
    pub ready: bool,
    /// When this was said; and the newest that was heard of the receiver: it was said after that.
    pub stamp: Stamp,
    pub echo: Option<Stamp>,
    /// By shard: the sender has acted under no newer epoch than this, nor has a process of its before.
    /// Empty: it has not read the shards' keys yet.
    pub newest: Vec<u64>,
    /// Of the shards that it acts for and knows all of.
    pub assertions: Vec<ShardAssertion>,
    /// Up to which number it knows what was cancelled: shard, epoch, number.
    pub acknowledged: Vec<(u8, u64, u64)>,
}

/// A moment by the clock of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct Stamp {
    pub boot: u64,
    pub at: u64,
}

/// What the owner of a shard says of its jobs that were cancelled.
#[derive(Clone, Debug, Default, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct ShardAssertion {
    pub shard: u8,
    pub epoch: u64,
    /// For how long its lease has been in doubt; 0: it is not.
    pub doubt_ms: u64,
    /// Cancellations after the one with this number, up to that one; older ones are known, or were
    /// over long ago.
    pub after: u64,
    pub up_to: u64,
    /// There are no more.
    pub complete: bool,
    pub cancelled: Vec<u64>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobAnswer {
    State(JobState),
    NotMine,
    Unknown,
    Later,
}

impl PartialEq for JobAnswer {
    fn eq(&self, o: &JobAnswer) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(o)
    }
}
