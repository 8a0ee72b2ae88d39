//! Reading what is kept under a prefix: page by page, then as it changes.
//!
//! Invariant: whoever takes every item and change that a feed gives has seen each key that was
//! there when the first page was read, and each change since, some of them twice. What a service
//! no longer keeps (410) is read anew from the beginning; a truncated page is followed by the
//! next; a call without an answer is made again.
use crate::ids::Now;
use crate::io::{StoreCall, StoreResult};
use leaddeal_wire::state::{Event, Item};
use serde_json::Value;

/// After a call that was refused or had no answer; each further one in a row waits twice as long, up
/// to the second figure.
const AGAIN_MS: u64 = 300;
const AGAIN_AT_MOST_MS: u64 = 1200;
/// So many in a row are worth a line in the log, and twice as many another.
const WORTH_TELLING: u32 = 8;

#[derive(Clone, Debug, PartialEq)]
enum Reading {
    /// The next page: from the beginning, or after this key.
    Page(Option<String>),
    /// All pages are read; changes are not followed.
    Over,
    Changes,
}

#[derive(Debug)]
pub struct Feed {
    prefix: String,
    how: Reading,
    /// How long a watch waits; none: only the pages are read.
    wait_ms: Option<u64>,
    /// Revision of the first page, and then of the newest change.
    revision: u64,
    busy: bool,
    retry_at: Now,
    /// Calls in a row that were refused or had no answer.
    in_vain: u32,
}

/// A key that is there or was written.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub key: String,
    pub value: Value,
    pub version: u64,
}

impl Feed {
    /// All there is, once.
    pub fn pages(prefix: String) -> Feed {
        let how = Reading::Page(None);
        Feed { prefix, how, wait_ms: None, revision: 0, busy: false, retry_at: 0, in_vain: 0 }
    }

    /// All there is, and then what is written.
    pub fn all(prefix: String, wait_ms: u64) -> Feed {
        Feed { wait_ms: Some(wait_ms), ..Feed::pages(prefix) }
    }

    /// What is written after this revision.
    pub fn since(prefix: String, revision: u64, wait_ms: u64) -> Feed {
        Feed { how: Reading::Changes, revision, ..Feed::all(prefix, wait_ms) }
    }

    /// Every page has been read.
    pub fn caught_up(&self) -> bool {
        !matches!(self.how, Reading::Page(_))
    }

    /// What to log, if the last call was one more in vain of many.
    pub fn in_vain(&self) -> Option<String> {
        let tell = self.in_vain >= WORTH_TELLING && self.in_vain.is_power_of_two();
        tell.then(|| format!("prefix={} tries={}", self.prefix, self.in_vain))
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The next call, if it is time for one; its answer goes to `take`.
    pub fn call(&mut self, now: Now) -> Option<StoreCall> {
        if self.busy || now < self.retry_at {
            return None;
        }
        let prefix = self.prefix.clone();
        let call = match (&self.how, self.wait_ms) {
            (Reading::Page(after), _) => StoreCall::List { prefix, after: after.clone() },
            (Reading::Changes, Some(wait_ms)) => {
                StoreCall::Watch { prefix, after: self.revision, wait_ms }
            }
            (Reading::Over | Reading::Changes, _) => return None,
        };
        self.busy = true;
        Some(call)
    }

    /// Takes an answer; returns what it tells of.
    pub fn take(&mut self, now: Now, result: StoreResult) -> Vec<Record> {
        self.busy = false;
        let tries = std::mem::take(&mut self.in_vain);
        match result {
            StoreResult::Page(p) => {
                if self.how == Reading::Page(None) {
                    self.revision = p.revision;
                }
                let more = p.items.last().filter(|_| p.more).map(|i| i.key.clone());
                self.how = match (more, self.wait_ms) {
                    (Some(key), _) => Reading::Page(Some(key)),
                    (None, Some(_)) => Reading::Changes,
                    (None, None) => Reading::Over,
                };
                let record = |i: Item| Record { key: i.key, value: i.value, version: i.version };
                p.items.into_iter().map(record).collect()
            }
            StoreResult::Events(e) => {
                self.revision = e.revision;
                let record =
                    |e: Event| Some(Record { key: e.put?, value: e.value, version: e.version });
                e.events.into_iter().filter_map(record).collect()
            }
            StoreResult::TooOld => {
                self.how = Reading::Page(None);
                Vec::new()
            }
            _ => {
                self.in_vain = tries.saturating_add(1);
                self.retry_at = now + (AGAIN_MS << tries.min(8)).min(AGAIN_AT_MOST_MS);
                Vec::new()
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use leaddeal_wire::state::{Events, Page};

    fn page(keys: &[&str], more: bool, revision: u64) -> StoreResult {
        let item =
            |k: &&str| Item { key: (*k).into(), value: Value::Null, version: 1, lease: None };
        StoreResult::Page(Page { items: keys.iter().map(item).collect(), more, revision })
    }

    fn keys(r: Vec<Record>) -> Vec<String> {
        r.into_iter().map(|x| x.key).collect()
    }

    #[test]
    fn truncated_pages_lost_answers_and_forgotten_changes_lose_nothing() {
        let mut f = Feed::all("j/".into(), 9);
        assert!(matches!(f.call(0), Some(StoreCall::List { after: None, .. })));
        assert!(f.call(0).is_none(), "one call at a time");
        assert_eq!(keys(f.take(0, page(&["j/1", "j/2"], true, 5))), ["j/1", "j/2"]);
        assert!(matches!(f.call(0), Some(StoreCall::List { after: Some(a), .. }) if a == "j/2"));
        f.take(0, StoreResult::Unknown);
        assert!(f.call(AGAIN_MS - 1).is_none() && !f.caught_up());
        assert!(matches!(f.call(AGAIN_MS), Some(StoreCall::List { after: Some(_), .. })));
        f.take(AGAIN_MS, page(&["j/3"], false, 8));
        // What changed while later pages were read is told from the first page's revision on.
        assert!(f.caught_up() && f.revision() == 5);
        assert!(matches!(f.call(1000), Some(StoreCall::Watch { after: 5, .. })));
        let put = Event { put: Some("j/4".into()), delete: None, value: Value::Null, version: 9 };
        let events = StoreResult::Events(Events { revision: 9, events: vec![put] });
        assert_eq!(keys(f.take(1000, events)), ["j/4"]);
        assert!(matches!(f.call(1000), Some(StoreCall::Watch { after: 9, .. })));
        f.take(1000, StoreResult::TooOld);
        assert!(matches!(f.call(1000), Some(StoreCall::List { after: None, .. })), "all anew");
    }

    /// A page that is refused time and again is asked for ever more rarely, and told of.
    #[test]
    fn what_is_refused_is_tried_again_with_longer_waits() {
        let mut f = Feed::pages("d/".into());
        let mut now = 0;
        let mut calls = Vec::new();
        while calls.len() < 8 {
            now += 50;
            if f.call(now).is_some() {
                calls.push(now);
                assert!(f.in_vain().is_none());
                f.take(now, StoreResult::Refused);
            }
        }
        let waits: Vec<u64> = calls.windows(2).map(|w| w[1] - w[0]).collect();
        assert_eq!(waits[..4], [300, 600, 1200, 1200]);
        assert_eq!(f.in_vain().as_deref(), Some("prefix=d/ tries=8"));
        f.call(now + 5000);
        f.take(now + 5000, page(&[], false, 3));
        assert!(f.caught_up() && f.in_vain().is_none());
    }

    #[test]
    fn a_feed_of_pages_ends() {
        let mut f = Feed::pages("d/".into());
        f.call(0);
        f.take(0, page(&[], false, 3));
        assert!(f.caught_up() && f.call(0).is_none());
    }
}
