//! One controller: the shards that it owns, and the routing of inputs to their components.
//!
//! Each submodule handles one concern of the node. The state that they share is in
//! `shared::SharedState`, a field of its own beside the owned shards, so that a component of a shard
//! and the shared state can be borrowed at the same time.
use crate::coordinator::Coordinator;
use crate::ids::{Epoch, Shard, Timestamp};
use crate::io::{Effects, LogLevel, RequestId};
use crate::participant::Participant;
use crate::quota::QuotaManager;
use leaddeal_wire::settings::Settings;

/// Users' requests are refused at once while more calls than this to outside services are in flight.
/// Their number grows with submissions, not with machines, and each may take a socket. At 500
/// requests per second, the state service answers 300 in 0.6 s.
const MAX_OPEN_CALLS: usize = 300;
/// Further job queries are refused at once while more than this are in flight; queries to siblings
/// and queries from siblings are counted separately. With 4,500 machines some 3,000 jobs are polled
/// every 5 s, and 280 queries are in flight while a sibling does not answer.
const MAX_OPEN_QUERIES: usize = 2000;
/// Workers are redirected while this many heartbeats are being relayed. The bound exceeds the number
/// of workers of one sibling's shard in a fleet of 4,500 machines.
const MAX_OPEN_RELAYS: usize = 5000;
/// The state service counts as unavailable to this node after this time without an answer other than
/// a refusal, in ms. Another controller may still reach it.
const STORE_UNAVAILABLE_AFTER_MS: u64 = 5000;
/// For this long after its start, a process waits for its siblings' heartbeats before it may conclude
/// that no sibling is ready, in ms.
const STARTUP_LISTEN_MS: u64 = 1500;

mod calls;
mod delivery;
mod lease;
mod ownership;
mod provisioning;
mod relay;
mod shard_list;
mod shared;
mod siblings;
mod statistics;
mod step;
mod stored;
mod terminal_states;
#[cfg(test)]
mod tests;
mod timers;
mod unserved_shards;
mod users;
mod workers;

use calls::SiblingCalls;
use ownership::AcquisitionState;
use provisioning::ActiveProvisioner;
use relay::RelayTable;
use shard_list::ShardListState;
use shared::SharedState;
use statistics::Statistics;
use terminal_states::TerminalStates;
use timers::Timers;

/// A shard that this node owns, with the components that act for it.
///
/// Invariant: its epoch is newer than every epoch of the shard that this process relinquished
/// ([`AcquisitionState::relinquished_epoch`]).
#[derive(Debug)]
struct ActiveShard {
    epoch: Epoch,
    coordinator: Coordinator,
    participant: Participant,
    quota: QuotaManager,
    /// Whether the transaction that releases the shard is in flight.
    release_in_flight: bool,
    /// Deadline of the handover that the home node requested: after it the handover is abandoned.
    handover_deadline: Timestamp,
}

/// A controller's core: a state machine without I/O (see the crate's documentation).
pub struct Node {
    shared: SharedState,
    /// By shard: the components that act for it; `None` if this node does not own it.
    owned: Vec<Option<ActiveShard>>,
    /// `None` unless this node owns `PROVISIONER_SHARD`.
    provisioner: Option<ActiveProvisioner>,
    shard_list: ShardListState,
    /// By shard.
    acquisitions: Vec<AcquisitionState>,
    calls: SiblingCalls,
    /// Workers that reach this node but may not reach the owner of their machine's shard.
    relay_table: RelayTable,
    terminal_states: TerminalStates,
    timers: Timers,
    statistics: Statistics,
    /// When the state service last answered a call with anything but a refusal.
    store_answered_at: Timestamp,
    /// Whether heartbeats are refused at present because cancellations may be unknown here.
    heartbeats_refused: bool,
    /// Whether a coordinator may have work for a decision round.
    needs_round: bool,
    /// Log lines above this level are left out.
    max_log_level: LogLevel,
}

impl Node {
    /// Creates the node that the settings name. `boot` distinguishes this process from earlier ones
    /// of the node and increases from one process to the next; `now` is the present time on the
    /// monotonic clock.
    pub fn new(settings: &Settings, boot: u64, now: Timestamp) -> Node {
        let shared = SharedState::new(settings, boot, now);
        let shards = shared.shard_count();
        Node {
            shared,
            owned: (0..shards).map(|_| None).collect(),
            provisioner: None,
            shard_list: ShardListState::new(now),
            acquisitions: vec![AcquisitionState::default(); shards],
            calls: SiblingCalls::new(boot),
            relay_table: RelayTable::default(),
            terminal_states: TerminalStates::new(shards),
            timers: Timers::new(now),
            statistics: Statistics::new(now, shards),
            store_answered_at: now,
            heartbeats_refused: false,
            needs_round: false,
            max_log_level: LogLevel::Info,
        }
    }

    /// Sets up to which level the node writes log lines; [`LogLevel::Info`] unless it is called.
    pub fn set_max_log_level(&mut self, level: LogLevel) {
        self.max_log_level = level;
    }

    /// Whether this node can process users' requests.
    fn is_ready(&self, now: Timestamp) -> bool {
        let store_available = now < self.store_answered_at + STORE_UNAVAILABLE_AFTER_MS;
        !self.shared.names.catalog.is_empty() && self.shard_list.is_known && store_available
    }

    /// Whether users' requests should be routed to this node. This also holds while the node can only
    /// refuse them, if no sibling is known to be ready: a refusal with `Retry-After` is better than no
    /// answer. Without this rule, after all controllers had crashed during an outage, users reached
    /// none of them until the outage ended.
    ///
    /// A node that reaches neither the state service nor any sibling is not healthy. It can't know
    /// whether a sibling is ready, and it is more likely that this node is partitioned from the others
    /// than that all of them failed.
    pub fn is_healthy(&self, now: Timestamp) -> bool {
        let health = &self.shared.health;
        let is_best_available = !health.has_ready_sibling(now) && health.reaches_any_sibling(now);
        self.is_ready(now)
            || (now >= self.timers.started_at + STARTUP_LISTEN_MS && is_best_available)
    }

    /// Returns the shards that this node owns, with the epochs under which it owns them.
    pub fn owned_shards(&self) -> Vec<(Shard, Epoch)> {
        self.owned
            .iter()
            .enumerate()
            .filter_map(|(shard, active)| Some((Shard(shard as u8), active.as_ref()?.epoch)))
            .collect()
    }

    /// Returns how many tasks on the machines of the owned shards have a shape that is not known here, so
    /// that their machines are not offered.
    pub fn tasks_of_unknown_shape(&self) -> usize {
        let owned = self.owned.iter().flatten();
        owned.map(|active| active.participant.tasks_of_unknown_shape()).sum()
    }

    /// Returns how often a machine was evaluated for a job since the start of the process. This is
    /// the work that grows with the size of the fleet.
    pub fn machines_evaluated(&self) -> u64 {
        self.statistics.machines_evaluated
    }

    /// Returns the components that act for the shard, if this node owns it.
    fn active_shard(&mut self, shard: Shard) -> Option<&mut ActiveShard> {
        self.owned.get_mut(shard.0 as usize).and_then(Option::as_mut)
    }

    /// Returns the epoch under which this node owns the shard, if it does.
    fn active_epoch(&self, shard: Shard) -> Option<Epoch> {
        self.owned.get(shard.0 as usize)?.as_ref().map(|active| active.epoch)
    }

    /// Refuses a user's request temporarily (503); the user may retry after `after_s` seconds.
    fn reply_later(&mut self, effects: &mut Effects, req: RequestId, after_s: u32) {
        self.shared.context(effects).reply_later(req, 503, after_s);
    }
}
