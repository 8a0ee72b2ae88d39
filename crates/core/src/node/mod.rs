//! One controller: the shards it owns, and what each input means for them.
//!
//! The node itself only routes. Each module below has one job; what they share is in
//! `shared::SharedState`, so that a part of an owned shard can be borrowed beside it.
use crate::coordinator::Coordinator;
use crate::ids::{Epoch, Shard, Timestamp};
use crate::io::{Effects, RequestId};
use crate::participant::Participant;
use crate::quota::QuotaManager;
use leaddeal_wire::settings::Settings;

/// Calls to the state service in flight beyond which requests of users are refused at once. They grow
/// with submissions and not with machines, and each may take a socket: at 500 requests a second, 300 are
/// what the service answers in 0.6 s.
const MAX_OPEN_STORE_CALLS: usize = 300;
/// Queries of jobs to siblings, and of siblings, in flight beyond which further ones are refused at once.
/// With 4,500 machines some 3,000 jobs are polled every 5 s: 280 are in flight while a sibling is silent.
const MAX_OPEN_QUERIES: usize = 2000;
/// Heartbeats being relayed beyond which workers are redirected instead: more than all workers of a
/// sibling's shard in a fleet of 4,500 machines.
const MAX_OPEN_RELAYS: usize = 5000;
/// The state service has refused or not answered anything for this long: a sibling may do better.
const STORE_UNAVAILABLE_AFTER_MS: u64 = 5000;
/// A new process listens to its siblings for this long before it takes itself for the best there is.
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

/// A shard that this node acts for, with the parts that do so.
///
/// Invariant: its epoch is newer than every epoch of the shard that this process gave up
/// ([`AcquisitionState::relinquished`]).
#[derive(Debug)]
struct ActiveShard {
    epoch: Epoch,
    coordinator: Coordinator,
    participant: Participant,
    quota: QuotaManager,
    /// The transaction that gives the shard back is in flight.
    releasing: bool,
    /// The handover that its home node asked for is called off after this time.
    handover_until: Timestamp,
}

/// A controller's core: a state machine without I/O (see the crate's documentation).
pub struct Node {
    shared: SharedState,
    /// By shard: the parts that act for it, if this node owns it.
    owned: Vec<Option<ActiveShard>>,
    provisioner: Option<ActiveProvisioner>,
    shard_list: ShardListState,
    /// By shard.
    acquisitions: Vec<AcquisitionState>,
    calls: SiblingCalls,
    /// Workers that don't reach their owners.
    relay_table: RelayTable,
    terminal_states: TerminalStates,
    timers: Timers,
    statistics: Statistics,
    /// When the state service last answered a call with more than a refusal.
    store_answered_at: Timestamp,
    /// Workers of a shard are relinquished, since what was cancelled is not known.
    workers_relinquished: bool,
    /// A coordinator may have work for a decision round.
    wake: bool,
}

impl Node {
    /// The node that the settings name. `boot` distinguishes this process from earlier ones of the
    /// node and grows from one to the next; `now` is the present time of the steady clock.
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
            statistics: Statistics::new(now),
            store_answered_at: now,
            workers_relinquished: false,
            wake: false,
        }
    }

    /// Whether this node can do what users ask for.
    fn ready(&self, now: Timestamp) -> bool {
        let store_available = now < self.store_answered_at + STORE_UNAVAILABLE_AFTER_MS;
        !self.shared.names.catalog.is_empty() && self.shard_list.known && store_available
    }

    /// Whether users' requests should be routed here: also while this node can only refuse them, if
    /// no sibling could do better, since a refusal with `Retry-After` is better than no answer.
    /// (Found on days of our own: after a crash of all in an outage users met no controller until its
    /// end.)
    ///
    /// A node that reaches neither the state service nor any sibling can't know whether they could: it
    /// is cut off, more likely than all of them.
    pub fn healthy(&self, now: Timestamp) -> bool {
        let health = &self.shared.health;
        let best = !health.has_ready_sibling(now) && health.reaches_any_sibling(now);
        self.ready(now) || (now >= self.timers.started + STARTUP_LISTEN_MS && best)
    }

    /// The shards that this node acts for, with the epochs under which it does.
    pub fn owned_shards(&self) -> Vec<(Shard, Epoch)> {
        self.owned
            .iter()
            .enumerate()
            .filter_map(|(shard, active)| Some((Shard(shard as u8), active.as_ref()?.epoch)))
            .collect()
    }

    /// How often a machine was evaluated for a job since the start: the work that grows with the fleet.
    pub fn machines_evaluated(&self) -> u64 {
        self.statistics.machines_evaluated
    }

    /// The parts that act for the shard, if this node owns it.
    fn active(&mut self, shard: Shard) -> Option<&mut ActiveShard> {
        self.owned.get_mut(shard.0 as usize).and_then(Option::as_mut)
    }

    /// The epoch under which this node acts for the shard, if it owns it.
    fn active_epoch(&self, shard: Shard) -> Option<Epoch> {
        self.owned.get(shard.0 as usize)?.as_ref().map(|active| active.epoch)
    }

    /// Refuses a user's request for now; it may be repeated after `after_s` seconds.
    fn reply_later(&mut self, effects: &mut Effects, req: RequestId, after_s: u32) {
        self.shared.context(effects).reply_later(req, 503, after_s);
    }
}
