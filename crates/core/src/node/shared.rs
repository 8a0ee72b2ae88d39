//! State that the components of a node share, from which the context of one input is built.
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

/// The fields of the node that a [`Context`] borrows. They are in a struct of their own so that the
/// components of an owned shard, which are another field of the node, can be called with the context.
pub(super) struct SharedState {
    /// This node's index, which is also the number of its home shard.
    pub(super) this_node: NodeIdx,
    /// Distinguishes this process from earlier ones of the same node.
    pub(super) boot: u64,
    /// Names of all nodes, in the order of the settings, which is the same on all nodes.
    pub(super) node_names: Vec<String>,
    /// Wall-clock time of the input that is being handled, in ms since 1970.
    pub(super) wall_clock_ms: u64,
    pub(super) config: Config,
    pub(super) names: Names,
    pub(super) budget: WriteBudget,
    pub(super) lease: Lease,
    /// By shard: its owner, as far as this node knows.
    pub(super) shard_views: Vec<ShardView>,
    pub(super) health: Health,
    /// The known cancellations, and up to which time all of them are known.
    pub(super) horizons: Horizons,
    /// Calls to outside services that are not answered yet.
    pub(super) operations: PendingOperations,
    /// Messages between shards that are not delivered yet.
    pub(super) outbox: VecDeque<OutgoingMessage>,
    /// Siblings' job queries that are not answered yet, by the request numbers they have on this node.
    pub(super) relayed_requests: HashMap<RequestId, RelayedRequest>,
}

/// Size of a decision's record without its placements, in bytes.
const DECISION_OVERHEAD_BYTES: f64 = 200.0;
/// Size of one placement in a decision's record, in bytes.
const PLACEMENT_BYTES: f64 = 64.0;
/// Upper bound of the placements in one decision, whatever the size of a record.
const MAX_PLACEMENTS: f64 = 150.0;
/// A machine counts as silent after 2.5 heartbeat intervals and an extra time. This is the first part,
/// in ms per second of the interval.
const MAX_SILENCE_MS_PER_INTERVAL_S: f64 = 2500.0;
/// The extra time after which a machine counts as silent, in ms.
const MAX_SILENCE_EXTRA_MS: u64 = 500;
/// The next heartbeat of a worker that was answered is due within 1.25 heartbeat intervals and an extra
/// time. This is the first part, in ms per second of the interval.
const HEARTBEAT_DUE_MS_PER_INTERVAL_S: f64 = 1250.0;
/// The extra time after which the next heartbeat of a worker is overdue, in ms.
const HEARTBEAT_DUE_EXTRA_MS: u64 = 1500;
/// Interval between calls to a cloud service that allows one call per second, in ms: 10% more than its
/// limit requires.
const CLOUD_CALL_INTERVAL_AT_1_RPS_MS: f64 = 1100.0;

/// Derives the core's configuration from the settings of a cluster of `nodes` controllers.
fn config(params: &Params, nodes: usize) -> Config {
    let record_bytes = params.state.value_kb * 1024.0 - DECISION_OVERHEAD_BYTES;
    let max_placements = (record_bytes / PLACEMENT_BYTES).clamp(1.0, MAX_PLACEMENTS) as usize;
    // Tasks of one job that its shard may place per second: half of the shard's changes go to
    // decisions, and a job takes at most a third of a decision.
    let placed_per_s = params.state.write_rps / nodes as f64 * 0.5 * max_placements as f64 / 3.0;
    Config {
        worker_lease_ms: (params.workers.lease_s * 1000.0) as u64,
        cancel_ms: (params.workers.cancel_s * 1000.0) as u64,
        max_silence_ms: (params.workers.report_s * MAX_SILENCE_MS_PER_INTERVAL_S) as u64
            + MAX_SILENCE_EXTRA_MS,
        heartbeat_due_ms: (params.workers.report_s * HEARTBEAT_DUE_MS_PER_INTERVAL_S) as u64
            + HEARTBEAT_DUE_EXTRA_MS,
        max_placements,
        txn_ops: params.state.txn_ops,
        cloud_call_interval_ms: (CLOUD_CALL_INTERVAL_AT_1_RPS_MS / params.cloud.rps) as u64,
        list_lag_ms: (params.cloud.list_lag_s * 1000.0) as u64,
        teams: params.teams.clone(),
        objectives: Objectives::new(&params.objectives, 1000.0 / placed_per_s.max(1.0)),
    }
}

impl SharedState {
    pub(super) fn new(settings: &Settings, boot: u64, now: Timestamp) -> SharedState {
        let node_names = settings.nodes();
        let count = node_names.len();
        let index = node_names.iter().position(|name| *name == settings.node).unwrap_or(0);
        let this_node = NodeIdx(index as u8);
        let config = config(&settings.params, count);
        let mut names = Names::default();
        names.zones.clone_from(&settings.params.zones);
        SharedState {
            this_node,
            boot,
            node_names,
            wall_clock_ms: 0,
            names,
            budget: WriteBudget::new(settings.params.state.write_rps, count, now),
            lease: Lease::default(),
            shard_views: vec![ShardView::default(); count],
            health: Health::new(this_node, count),
            horizons: Horizons::new(
                this_node,
                boot,
                count,
                config.cancel_ms,
                config.worker_lease_ms,
            ),
            operations: PendingOperations::default(),
            outbox: VecDeque::new(),
            relayed_requests: HashMap::new(),
            config,
        }
    }

    /// Returns the context in which a component handles an input. It is built anew for each call of a
    /// component, so that its `lease_valid` is up to date.
    pub(super) fn context<'a>(&'a mut self, effects: &'a mut Effects) -> Context<'a> {
        Context {
            now: effects.now,
            wall_clock_ms: self.wall_clock_ms,
            lease_valid: self.lease.is_valid(effects.now),
            needs_round: false,
            effects,
            names: &mut self.names,
            config: &self.config,
            budget: &mut self.budget,
            horizons: &mut self.horizons,
            me: self.this_node,
            shard_views: &self.shard_views,
            last_contact_at: self.health.last_contact_at(),
            operations: &mut self.operations,
            outbox: &mut self.outbox,
            relayed_requests: &mut self.relayed_requests,
        }
    }

    /// Returns the number of shards, which is the number of nodes.
    pub(super) fn shard_count(&self) -> usize {
        self.shard_views.len()
    }

    pub(super) fn shards(&self) -> impl Iterator<Item = Shard> + 'static {
        (0..self.shard_views.len()).map(|shard| Shard(shard as u8))
    }

    /// Returns the shard that this node owns whenever it can.
    pub(super) fn home_shard(&self) -> Shard {
        Shard(self.this_node.0)
    }

    pub(super) fn owner(&self, shard: Shard) -> Option<Owner> {
        self.shard_views[shard.0 as usize].owner
    }

    pub(super) fn node_name(&self, node: NodeIdx) -> String {
        self.node_names[node.0 as usize].clone()
    }

    /// Whether so many calls to outside services are in flight that none is begun for a user.
    pub(super) fn too_many_operations(&self) -> bool {
        self.operations.by_id.len() > super::MAX_OPEN_CALLS
    }
}
