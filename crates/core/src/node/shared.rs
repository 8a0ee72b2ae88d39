//! What all parts of a node share, and the context of one input that is made of it.
use crate::budget::WriteBudget;
use crate::context::{Config, Context, OutgoingMessage, PendingOperations, RelayedRequest};
use crate::health::Health;
use crate::horizon::Horizons;
use crate::ids::{NodeIdx, Shard, Timestamp};
use crate::io::{Effects, RequestId};
use crate::jobs::Objectives;
use crate::names::Names;
use crate::shard::{Lease, Owner, ShardView};
use leaddeal_wire::settings::{Params, Settings};
use std::collections::{HashMap, VecDeque};

/// All that a [`Context`] borrows of the node. It is a struct of its own so that the parts of an
/// owned shard, which are beside it in the node, can be called with the context.
pub(super) struct SharedState {
    /// This node's place among the nodes, and the number of its home shard.
    pub(super) me: NodeIdx,
    /// Distinguishes this process from earlier ones of the same node.
    pub(super) boot: u64,
    /// Names of all nodes, in the order that the settings give to all of them alike.
    pub(super) nodes: Vec<String>,
    /// The wall clock at the input that is handled, in ms since 1970.
    pub(super) wall_clock_ms: u64,
    pub(super) config: Config,
    pub(super) names: Names,
    pub(super) budget: WriteBudget,
    pub(super) lease: Lease,
    /// By shard: its owner, as far as is known.
    pub(super) shard_views: Vec<ShardView>,
    pub(super) health: Health,
    /// What was cancelled, and up to when it is known.
    pub(super) horizons: Horizons,
    /// Calls to outside services that are not answered yet.
    pub(super) operations: PendingOperations,
    /// Messages between shards that are not delivered yet.
    pub(super) outbox: VecDeque<OutgoingMessage>,
    /// Siblings' requests that are not answered yet.
    pub(super) relayed_requests: HashMap<RequestId, RelayedRequest>,
}

/// A decision's record: what it takes beside its placements, and for each of them, in bytes.
const DECISION_OVERHEAD_BYTES: f64 = 200.0;
const PLACEMENT_BYTES: f64 = 64.0;
/// Placements in one decision, however large a record may be.
const MAX_PLACEMENTS: f64 = 150.0;
/// A machine is quiet after 2.5 heartbeat intervals, in ms for each second of the interval, and some
/// more ms.
const QUIET_MS_PER_INTERVAL_S: f64 = 2500.0;
const QUIET_EXTRA_MS: u64 = 500;
/// The next heartbeat of a worker that was answered is due within 1.25 intervals, in ms for each second
/// of the interval, and some more ms.
const REPORT_DUE_MS_PER_INTERVAL_S: f64 = 1250.0;
const REPORT_DUE_EXTRA_MS: u64 = 1500;
/// Between calls to a cloud that allows one call in a second, in ms: a tenth more than needed.
const CLOUD_GAP_AT_1_RPS_MS: f64 = 1100.0;

/// What the core needs of the settings of a cluster of `nodes` controllers.
fn config(params: &Params, nodes: usize) -> Config {
    let record_bytes = params.state.value_kb * 1024.0 - DECISION_OVERHEAD_BYTES;
    let max_placements = (record_bytes / PLACEMENT_BYTES).clamp(1.0, MAX_PLACEMENTS) as usize;
    // Tasks of one job that its shard may place in a second: half of the shard's changes go to
    // decisions, and no job takes more than a third of one.
    let placed_per_s = params.state.write_rps / nodes as f64 * 0.5 * max_placements as f64 / 3.0;
    Config {
        worker_lease_ms: (params.workers.lease_s * 1000.0) as u64,
        cancel_ms: (params.workers.cancel_s * 1000.0) as u64,
        max_silence_ms: (params.workers.report_s * QUIET_MS_PER_INTERVAL_S) as u64 + QUIET_EXTRA_MS,
        heartbeat_due_ms: (params.workers.report_s * REPORT_DUE_MS_PER_INTERVAL_S) as u64
            + REPORT_DUE_EXTRA_MS,
        max_placements,
        txn_ops: params.state.txn_ops,
        cloud_call_interval_ms: (CLOUD_GAP_AT_1_RPS_MS / params.cloud.rps) as u64,
        list_lag_ms: (params.cloud.list_lag_s * 1000.0) as u64,
        teams: params.teams.clone(),
        objectives: Objectives::new(&params.objectives, 1000.0 / placed_per_s.max(1.0)),
    }
}

impl SharedState {
    pub(super) fn new(settings: &Settings, boot: u64, now: Timestamp) -> SharedState {
        let nodes = settings.nodes();
        let count = nodes.len();
        let place = nodes.iter().position(|name| *name == settings.node).unwrap_or(0);
        let me = NodeIdx(place as u8);
        let config = config(&settings.params, count);
        let mut names = Names::default();
        names.zones.clone_from(&settings.params.zones);
        SharedState {
            me,
            boot,
            nodes,
            wall_clock_ms: 0,
            names,
            budget: WriteBudget::new(settings.params.state.write_rps, count, now),
            lease: Lease::default(),
            shard_views: vec![ShardView::default(); count],
            health: Health::new(me, count),
            horizons: Horizons::new(me, boot, count, config.cancel_ms, config.worker_lease_ms),
            operations: PendingOperations::default(),
            outbox: VecDeque::new(),
            relayed_requests: HashMap::new(),
            config,
        }
    }

    /// The context of one input. It is made anew for each call of a part, since its `valid` must be
    /// true at that moment.
    pub(super) fn context<'a>(&'a mut self, effects: &'a mut Effects) -> Context<'a> {
        Context {
            now: effects.now,
            wall_clock_ms: self.wall_clock_ms,
            lease_valid: self.lease.valid(effects.now),
            needs_round: false,
            effects,
            names: &mut self.names,
            config: &self.config,
            budget: &mut self.budget,
            horizons: &mut self.horizons,
            me: self.me,
            shard_views: &self.shard_views,
            last_contact_at: self.health.last_contact_at(),
            operations: &mut self.operations,
            outbox: &mut self.outbox,
            relayed_requests: &mut self.relayed_requests,
        }
    }

    /// As many shards as nodes.
    pub(super) fn shard_count(&self) -> usize {
        self.shard_views.len()
    }

    pub(super) fn shards(&self) -> impl Iterator<Item = Shard> + 'static {
        (0..self.shard_views.len()).map(|shard| Shard(shard as u8))
    }

    /// The shard that this node acts for whenever it can.
    pub(super) fn home_shard(&self) -> Shard {
        Shard(self.me.0)
    }

    pub(super) fn owner(&self, shard: Shard) -> Option<Owner> {
        self.shard_views[shard.0 as usize].owner
    }

    pub(super) fn node_name(&self, node: NodeIdx) -> String {
        self.nodes[node.0 as usize].clone()
    }

    /// Too many calls to outside services are in flight to begin another one for a user.
    pub(super) fn too_many_operations(&self) -> bool {
        self.operations.by_id.len() > super::MAX_OPEN_STORE_CALLS
    }
}
