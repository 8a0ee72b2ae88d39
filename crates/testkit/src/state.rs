//! Model of the state service, a key-value store with versions, leases and watches.
use leaddeal_core::io::{StoreCall, StoreResult};
use leaddeal_wire::state::{Change, Condition, Event, Events, Item, Page, Transaction};
use std::collections::BTreeMap;

/// A defect that is injected into the store, to show that the checker detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StoreDefect {
    /// No defect.
    #[default]
    None,
    /// Conditions are not checked.
    UncheckedConditions,
    /// Writes of decisions are lost.
    LostDecisions,
    /// A read of a single key returns the value of half a second ago.
    StaleReads,
}

/// Age of the value that a stale read returns, in milliseconds.
const STALE_READ_MS: u64 = 500;
/// Items per page of a listing: few, so that reading several pages is exercised.
const SMALL_PAGE_ITEMS: usize = 5;

/// A lease: its duration and when it expires, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl_ms: u64,
    expires_at: u64,
}

impl Lease {
    fn renew(&mut self, now: u64) {
        self.expires_at = now + self.ttl_ms;
    }
}

/// The value of a key before its last change; `item` is `None` if the key did not exist.
#[derive(Clone, Debug)]
struct Previous {
    changed_at: u64,
    item: Option<Item>,
}

/// The store: keys with versions, leases, and the log of changes. Times are in milliseconds.
#[derive(Default)]
pub struct StoreModel {
    /// Revision of the last change.
    pub revision: u64,
    keys: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    log: Vec<Event>,
    defect: StoreDefect,
    /// Previous values of changed keys, which stale reads return.
    previous: BTreeMap<String, Previous>,
    /// Items per page of a listing.
    pub page: usize,
    /// Changes per second that it accepts, with bursts of up to one second's worth; `None` means unlimited.
    pub max_changes_per_s: Option<f64>,
    /// Tokens left in the bucket of the rate limit: changes that it accepts now.
    tokens: f64,
    /// When the bucket was last refilled.
    refilled_at: u64,
    /// Number of changes that were committed.
    pub changes: u64,
    /// Number of transactions that the rate limit refused.
    pub refused: u64,
    /// The first committed write whose conditions still hold afterwards. A delayed duplicate of it would be
    /// committed again and overwrite newer values.
    pub repeatable: Option<String>,
}

impl StoreModel {
    /// Creates an empty store with small pages and without a rate limit.
    pub fn new(defect: StoreDefect) -> StoreModel {
        StoreModel { defect, page: SMALL_PAGE_ITEMS, ..StoreModel::default() }
    }

    /// Removes expired leases and their keys.
    pub fn expire(&mut self, now: u64) {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at < now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    /// Renews all leases for their full duration, as after an outage of the store.
    pub fn renew_all(&mut self, now: u64) {
        self.leases.values_mut().for_each(|lease| lease.renew(now));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = self.keys.values().filter(|item| item.lease == Some(lease));
        let keys: Vec<String> = of_lease.map(|item| item.key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    /// Returns the number of keys under a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let from = self.keys.range(prefix.to_string()..);
        from.take_while(|(key, _)| key.starts_with(prefix)).count()
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.log.push(Event {
                put: None,
                delete: Some(key.to_string()),
                value: serde_json::Value::Null,
                version: self.revision,
            });
        }
    }

    /// Returns the changes of keys under a prefix after the revision `after`.
    pub fn events(&self, prefix: &str, after: u64) -> Events {
        let is_under_prefix = |event: &&Event| {
            let key = event.put.as_ref().or(event.delete.as_ref());
            key.is_some_and(|key| key.starts_with(prefix))
        };
        let later = self.log.iter().filter(|event| event.version > after);
        let events = later.filter(is_under_prefix).cloned().collect();
        Events { revision: self.revision, events }
    }

    /// Returns whether the rate limit allows that number of changes now, and takes the tokens if it does.
    fn is_within_rate(&mut self, now: u64, changes: usize) -> bool {
        let Some(limit) = self.max_changes_per_s else { return true };
        let refill = now.saturating_sub(self.refilled_at) as f64 / 1000.0 * limit;
        self.tokens = (self.tokens + refill).min(limit);
        self.refilled_at = now;
        let is_within = self.tokens >= changes as f64;
        if is_within {
            self.tokens -= changes as f64;
        } else {
            self.refused += 1;
        }
        is_within
    }

    /// Returns the keys of the transaction's conditions that don't hold.
    fn failed_conditions(&self, transaction: &Transaction) -> Vec<String> {
        let fails = |condition: &&Condition| {
            let version = self.keys.get(&condition.key).map_or(0, |item| item.version);
            version != condition.version
        };
        transaction.conditions.iter().filter(fails).map(|c| c.key.clone()).collect()
    }

    /// Executes a call other than a watch.
    pub fn call(&mut self, now: u64, call: &StoreCall) -> StoreResult {
        self.expire(now);
        match call {
            StoreCall::NewLease { ttl_ms } => {
                self.last_lease += 1;
                let lease = Lease { ttl_ms: *ttl_ms, expires_at: now + ttl_ms };
                self.leases.insert(self.last_lease, lease);
                StoreResult::Lease(self.last_lease)
            }
            StoreCall::RenewLease { lease } => match self.leases.get_mut(lease) {
                Some(lease) => {
                    lease.renew(now);
                    StoreResult::LeaseRenewed
                }
                None => StoreResult::NoLease,
            },
            StoreCall::EndLease { lease } => {
                self.end_lease(*lease);
                StoreResult::LeaseRenewed
            }
            StoreCall::Transaction(transaction) => self.transaction(now, transaction),
            StoreCall::Get { key } => StoreResult::Item(self.get(now, key)),
            StoreCall::List { prefix, after } => {
                StoreResult::Page(self.list(prefix, after.as_ref()))
            }
            StoreCall::Watch { .. } => StoreResult::Refused,
        }
    }

    fn transaction(&mut self, now: u64, transaction: &Transaction) -> StoreResult {
        // Transactions whose conditions fail count towards the rate limit as well.
        if !self.is_within_rate(now, transaction.changes.len()) {
            return StoreResult::RateLimited;
        }
        let failed = self.failed_conditions(transaction);
        if !failed.is_empty() && self.defect != StoreDefect::UncheckedConditions {
            return StoreResult::Conflict(failed);
        }
        let lacks_lease = |change: &Change| match change {
            Change::Put { lease: Some(lease), .. } => !self.leases.contains_key(lease),
            Change::Put { lease: None, .. } | Change::Delete { .. } => false,
        };
        if transaction.changes.iter().any(lacks_lease) {
            return StoreResult::NoLease;
        }
        // A transaction without changes only compares.
        if transaction.changes.is_empty() {
            return StoreResult::Committed(self.revision);
        }
        self.revision += 1;
        self.changes += transaction.changes.len() as u64;
        if self.defect == StoreDefect::StaleReads {
            self.keep_previous(now, transaction);
        }
        transaction.changes.iter().for_each(|change| self.apply(change));
        self.note_repeatable(transaction);
        StoreResult::Committed(self.revision)
    }

    /// Keeps the values before a transaction, for stale reads.
    fn keep_previous(&mut self, now: u64, transaction: &Transaction) {
        for change in &transaction.changes {
            let (Change::Put { key, .. } | Change::Delete { key }) = change;
            let item = self.keys.get(key).cloned();
            self.previous.insert(key.clone(), Previous { changed_at: now, item });
        }
    }

    fn apply(&mut self, change: &Change) {
        match change {
            Change::Put { key, .. }
                if self.defect == StoreDefect::LostDecisions && key.starts_with("d/") => {}
            Change::Put { key, value, lease } => {
                let (key, value, version) = (key.clone(), value.clone(), self.revision);
                let item = Item { key: key.clone(), value: value.clone(), version, lease: *lease };
                self.keys.insert(key.clone(), item);
                self.log.push(Event { put: Some(key), delete: None, value, version });
            }
            Change::Delete { key } => self.remove(key),
        }
    }

    /// Records the first committed write whose conditions still hold afterwards.
    fn note_repeatable(&mut self, transaction: &Transaction) {
        let is_put = |change: &Change| matches!(change, Change::Put { .. });
        let is_without_defect = self.defect == StoreDefect::None;
        if is_without_defect
            && transaction.changes.iter().any(is_put)
            && self.failed_conditions(transaction).is_empty()
        {
            self.repeatable.get_or_insert_with(|| format!("{transaction:?}"));
        }
    }

    fn get(&self, now: u64, key: &str) -> Option<Item> {
        match self.previous.get(key) {
            Some(previous) if now < previous.changed_at + STALE_READ_MS => previous.item.clone(),
            _ => self.keys.get(key).cloned(),
        }
    }

    /// Returns a page of the keys under a prefix that follow the key `after`.
    fn list(&self, prefix: &str, after: Option<&String>) -> Page {
        let from = after.map(String::as_str).filter(|after| *after >= prefix).unwrap_or(prefix);
        let mut items: Vec<Item> = self
            .keys
            .range(from.to_string()..)
            .map(|(_, item)| item)
            .take_while(|item| item.key.starts_with(prefix))
            .filter(|item| after.is_none_or(|after| item.key > *after))
            .take(self.page + 1)
            .cloned()
            .collect();
        let more = items.len() > self.page;
        items.truncate(self.page);
        Page { items, more, revision: self.revision }
    }
}
