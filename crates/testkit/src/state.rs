//! A stand-in for the state service.
use leaddeal_core::io::{StoreCall, StoreResult};
use leaddeal_wire::state::{Change, Condition, Event, Events, Item, Page, Transaction};
use std::collections::BTreeMap;

/// What is broken on purpose, to see that the checker notices.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Broken {
    #[default]
    Nothing,
    /// Conditions are not looked at.
    Conditions,
    /// Decisions are not kept.
    Decisions,
    /// A single key is read as it was a moment ago.
    Stale,
}

/// So old is what a stale read gives.
const STALE_MS: u64 = 500;

#[derive(Default)]
pub struct State {
    pub revision: u64,
    keys: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    log: Vec<Event>,
    broken: Broken,
    /// Keys as they were before their last change, and when that was: for stale reads.
    before: BTreeMap<String, (u64, Option<Item>)>,
    /// Items a page: few, so that reading on is exercised.
    pub page: usize,
    /// Changes a second that it takes, with bursts of a second's worth; none: any.
    pub limit: Option<f64>,
    tokens: f64,
    at: u64,
    /// Changes taken, and transactions refused for the limit.
    pub changes: u64,
    pub refused: u64,
    /// A write that a late copy of it would do again, over newer ones: no condition of it fails once
    /// it is done.
    pub repeatable: Option<String>,
}

impl State {
    pub fn new(broken: Broken) -> State {
        State { broken, page: 5, ..State::default() }
    }

    /// Ends leases that ran out.
    pub fn expire(&mut self, now: u64) {
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.1 < now).map(|(k, _)| *k).collect();
        for l in over {
            self.end(l);
        }
    }

    /// After an outage every lease has its full time again.
    pub fn renew_all(&mut self, now: u64) {
        for l in self.leases.values_mut() {
            l.1 = now + l.0;
        }
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.keys.values().filter(|i| i.lease == Some(lease)).map(|i| i.key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for k in keys {
            self.remove(&k);
        }
    }

    /// How many keys there are under a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.keys.range(prefix.to_string()..).take_while(|k| k.0.starts_with(prefix)).count()
    }

    fn remove(&mut self, k: &str) {
        if self.keys.remove(k).is_some() {
            self.log.push(Event {
                put: None,
                delete: Some(k.to_string()),
                value: serde_json::Value::Null,
                version: self.revision,
            });
        }
    }

    pub fn events(&self, prefix: &str, after: u64) -> Events {
        let events = self
            .log
            .iter()
            .filter(|e| e.version > after)
            .filter(|e| e.put.as_ref().or(e.delete.as_ref()).is_some_and(|k| k.starts_with(prefix)))
            .cloned()
            .collect();
        Events { revision: self.revision, events }
    }

    /// Whether so many changes are within the limit now.
    fn takes(&mut self, now: u64, changes: usize) -> bool {
        let Some(limit) = self.limit else { return true };
        let came = now.saturating_sub(self.at) as f64 / 1000.0 * limit;
        self.tokens = (self.tokens + came).min(limit);
        self.at = now;
        let within = self.tokens >= changes as f64;
        if within {
            self.tokens -= changes as f64;
        } else {
            self.refused += 1;
        }
        within
    }

    /// The conditions of a transaction that don't hold.
    fn failed(&self, t: &Transaction) -> Vec<String> {
        let fails = |c: &&Condition| self.keys.get(&c.key).map_or(0, |i| i.version) != c.version;
        t.conditions.iter().filter(fails).map(|c| c.key.clone()).collect()
    }

    /// Executes a call other than a watch.
    pub fn call(&mut self, now: u64, call: &StoreCall) -> StoreResult {
        self.expire(now);
        match call {
            StoreCall::NewLease { ttl_ms } => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (*ttl_ms, now + ttl_ms));
                StoreResult::Lease(self.next_lease)
            }
            StoreCall::RenewLease { lease } => match self.leases.get_mut(lease) {
                Some(l) => {
                    l.1 = now + l.0;
                    StoreResult::LeaseRenewed
                }
                None => StoreResult::NoLease,
            },
            StoreCall::EndLease { lease } => {
                self.end(*lease);
                StoreResult::LeaseRenewed
            }
            StoreCall::Transaction(t) => {
                // Those whose conditions fail count as well.
                if !self.takes(now, t.changes.len()) {
                    return StoreResult::RateLimited;
                }
                let failed = self.failed(t);
                if !failed.is_empty() && self.broken != Broken::Conditions {
                    return StoreResult::Conflict(failed);
                }
                let dead = t.changes.iter().any(|c| match c {
                    Change::Put { lease: Some(l), .. } => !self.leases.contains_key(l),
                    _ => false,
                });
                if dead {
                    return StoreResult::NoLease;
                }
                self.revision += 1;
                self.changes += t.changes.len() as u64;
                if self.broken == Broken::Stale {
                    for c in &t.changes {
                        let (Change::Put { key, .. } | Change::Delete { key }) = c;
                        let was = self.keys.get(key).cloned();
                        self.before.insert(key.clone(), (now, was));
                    }
                }
                for c in &t.changes {
                    match c {
                        Change::Put { key, .. }
                            if self.broken == Broken::Decisions && key.starts_with("d/") => {}
                        Change::Put { key, value, lease } => {
                            let item = Item {
                                key: key.clone(),
                                value: value.clone(),
                                version: self.revision,
                                lease: *lease,
                            };
                            self.keys.insert(key.clone(), item);
                            self.log.push(Event {
                                put: Some(key.clone()),
                                delete: None,
                                value: value.clone(),
                                version: self.revision,
                            });
                        }
                        Change::Delete { key } => self.remove(key),
                    }
                }
                let writes = |c: &Change| matches!(c, Change::Put { .. });
                let sound = self.broken == Broken::Nothing;
                if sound && t.changes.iter().any(writes) && self.failed(t).is_empty() {
                    self.repeatable.get_or_insert_with(|| format!("{t:?}"));
                }
                StoreResult::Committed(self.revision)
            }
            StoreCall::Get { key } => StoreResult::Item(match self.before.get(key) {
                Some((at, was)) if now < at + STALE_MS => was.clone(),
                _ => self.keys.get(key).cloned(),
            }),
            StoreCall::List { prefix, after } => {
                let from = after.as_ref().filter(|a| *a >= prefix).unwrap_or(prefix);
                let under = self.keys.range(from.clone()..).map(|x| x.1);
                let mut items: Vec<Item> = under
                    .take_while(|i| i.key.starts_with(prefix.as_str()))
                    .filter(|i| after.as_ref().is_none_or(|a| i.key > *a))
                    .take(self.page + 1)
                    .cloned()
                    .collect();
                let more = items.len() > self.page;
                items.truncate(self.page);
                StoreResult::Page(Page { items, more, revision: self.revision })
            }
            StoreCall::Watch { .. } => StoreResult::Refused,
        }
    }
}
