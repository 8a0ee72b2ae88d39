//! Reads the shards' keys, and so their owners, from the state service: a list, then a watch stream.
use super::Node;
use crate::context::Operation;
use crate::ids::{Epoch, NodeIdx, Shard, Timestamp};
use crate::io::{Effects, StoreCall, StoreResult};
use crate::keys;
use crate::shard::{Owner, ShardKeyState};
use crate::stored::OwnerRecord;
use leaddeal_wire::state::Events;

/// The state service answers a watch without events after this time, in ms.
const WATCH_WAIT_MS: u64 = 15_000;
/// Delay before the next list after one that failed, in ms.
const LIST_RETRY_DELAY_MS: u64 = 300;
/// Delay before the shards' keys are listed again after a watch that failed, in ms.
const RELIST_DELAY_MS: u64 = 200;

/// Progress of reading the shards' keys.
///
/// Invariant: while they are known, the watch with the number `watch` is in flight.
#[derive(Debug)]
pub(super) struct ShardListState {
    /// Whether the keys were listed and every change since then was watched.
    pub(super) is_known: bool,
    /// The keys are not listed before this time.
    next_list_at: Timestamp,
    list_in_flight: bool,
    /// Whether the list in flight was requested before the time from which the keys are to be read again.
    is_list_outdated: bool,
    /// Number of the newest watch. Answers of older ones are ignored.
    watch: u64,
}

impl ShardListState {
    pub(super) fn new(now: Timestamp) -> ShardListState {
        ShardListState {
            is_known: false,
            next_list_at: now,
            list_in_flight: false,
            is_list_outdated: false,
            watch: 0,
        }
    }

    /// Schedules a new list of the shards' keys at that time. A list that is in flight already does not
    /// count, because it may show an older state.
    pub(super) fn relist_from(&mut self, at: Timestamp) {
        self.is_known = false;
        self.next_list_at = at;
        self.is_list_outdated = self.list_in_flight;
    }
}

impl Node {
    /// Lists the shards' keys when that is due.
    pub(super) fn tick_shard_list(&mut self, effects: &mut Effects) {
        let list = &mut self.shard_list;
        if list.is_known || list.list_in_flight || effects.now < list.next_list_at {
            return;
        }
        list.list_in_flight = true;
        let call = StoreCall::List { prefix: keys::SHARD_PREFIX.into(), after: None };
        self.shared.context(effects).call_store(Operation::ListShards, call);
    }

    /// Handles the list of the shards' keys, and starts the watch.
    pub(super) fn on_shard_list(&mut self, effects: &mut Effects, result: &StoreResult) {
        self.shard_list.list_in_flight = false;
        if std::mem::take(&mut self.shard_list.is_list_outdated) {
            return;
        }
        let StoreResult::Page(page) = result else {
            self.shard_list.next_list_at = effects.now + LIST_RETRY_DELAY_MS;
            return;
        };
        for shard in self.shared.shards() {
            let key = keys::shard_key(shard);
            let item = page.items.iter().find(|item| item.key == key);
            let state = match item {
                Some(item) => ShardKeyState::Owned { value: &item.value, version: item.version },
                None => ShardKeyState::Vacant { revision: page.revision },
            };
            self.observe_shard_key(effects, &key, state);
        }
        self.shard_list.is_known = true;
        self.watch_shards(effects, page.revision);
        self.tick_ownership(effects);
    }

    fn watch_shards(&mut self, effects: &mut Effects, after: u64) {
        let prefix = keys::SHARD_PREFIX.into();
        let call = StoreCall::Watch { prefix, after, wait_ms: WATCH_WAIT_MS };
        self.shard_list.watch += 1;
        let operation = Operation::WatchShards { number: self.shard_list.watch };
        self.shared.context(effects).call_store(operation, call);
    }

    /// Handles the events of the watch and continues it. After a failure the keys are listed again. While
    /// they are being listed, and once a newer watch has replaced this one, the answer is ignored.
    pub(super) fn on_shard_watch(
        &mut self,
        effects: &mut Effects,
        number: u64,
        result: &StoreResult,
    ) {
        if !self.shard_list.is_known || number != self.shard_list.watch {
            return;
        }
        match result {
            StoreResult::Events(events) => {
                self.observe_shard_events(effects, events);
                self.watch_shards(effects, events.revision);
                self.tick_ownership(effects);
            }
            _ => self.shard_list.relist_from(effects.now + RELIST_DELAY_MS),
        }
    }

    fn observe_shard_events(&mut self, effects: &mut Effects, events: &Events) {
        for event in &events.events {
            let version = event.version;
            if let Some(key) = &event.put {
                let state = ShardKeyState::Owned { value: &event.value, version };
                self.observe_shard_key(effects, key, state);
            } else if let Some(key) = &event.delete {
                // A deletion older than the known acquisition changes nothing.
                let state = ShardKeyState::Vacant { revision: version };
                self.observe_shard_key(effects, key, state);
            }
        }
    }

    /// Processes the state of one shard's key. A key or value that can't be parsed is ignored.
    fn observe_shard_key(&mut self, effects: &mut Effects, key: &str, state: ShardKeyState) {
        let Some(shard) = keys::parse_shard_key(key)
            .filter(|shard| (shard.0 as usize) < self.shared.shard_count())
        else {
            return;
        };
        self.shared.horizons.on_shard_key_read(shard, state.revision());
        match state {
            ShardKeyState::Owned { value, version } => {
                if let Some(owner) = self.parse_owner(value, version) {
                    self.observe_owner(effects, shard, owner);
                }
            }
            ShardKeyState::Vacant { revision } => {
                self.shared.shard_views[shard.0 as usize].vacate(revision, effects.now);
                if self.active_epoch(shard).is_some_and(|epoch| epoch.0 <= revision) {
                    self.drop_shard(effects, shard);
                }
            }
        }
    }

    fn parse_owner(&self, value: &serde_json::Value, version: u64) -> Option<Owner> {
        let record = OwnerRecord::decode(value).ok()?;
        let node = self.shared.node_names.iter().position(|name| *name == record.node)?;
        Some(Owner { node: NodeIdx(node as u8), boot: record.boot, epoch: Epoch(version) })
    }

    /// Records the owner that the store has shown, unless a newer state of the shard is known. If it is
    /// this process, [`Node::tick_ownership`] begins to act for the shard.
    fn observe_owner(&mut self, effects: &mut Effects, shard: Shard, owner: Owner) {
        let view = &mut self.shared.shard_views[shard.0 as usize];
        let is_outdated = view.owner.is_some_and(|known| known.epoch > owner.epoch)
            || owner.epoch.0 <= view.vacated_revision;
        if is_outdated {
            return;
        }
        view.set_owner(owner, effects.now);
        if !self.is_this_process(owner) && self.active_epoch(shard).is_some() {
            self.drop_shard(effects, shard);
        }
        self.propagate_owners();
        self.needs_round = true;
    }
}
