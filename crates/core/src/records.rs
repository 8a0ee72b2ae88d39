//! Reads all records under a key prefix: a paginated list, then a watch stream.
//!
//! Invariant: the [`Record`]s that a [`RecordReader`] returns include each key that existed when the
//! first page was read, and each write since then; some are returned twice. If the state service
//! has compacted the revision from which to watch (410), the reader lists everything again from the
//! beginning. It follows a truncated page with the next one, and retries a call that was refused or
//! not answered.
use crate::ids::Timestamp;
use crate::io::{StoreCall, StoreResult};
use leaddeal_wire::state::{Event, Item, Page};
use serde_json::Value;

/// Back-off after the first call that was refused or not answered, in ms. Each further consecutive
/// failure doubles it.
const RETRY_INITIAL_MS: u64 = 300;
/// Upper bound of the back-off, in ms.
const RETRY_MAX_MS: u64 = 1200;
/// Upper bound of the shift that doubles the back-off, which keeps it from overflowing.
const MAX_RETRY_DOUBLINGS: u32 = 8;
/// Consecutive failures are logged from this number on, at each power of two.
const MIN_LOGGED_FAILURES: u32 = 8;

/// How far a reader has progressed.
#[derive(Clone, Debug, PartialEq)]
enum ReaderState {
    /// The next page is to be read: after this key, or from the beginning if `None`.
    Listing { after: Option<String> },
    /// All pages have been read, and changes are not watched.
    Finished,
    /// All pages have been read, and changes are watched.
    Watching,
}

/// Reads the records under one prefix. It makes no calls itself: [`RecordReader::next_call`] returns
/// the call that is due, and the caller passes the result to [`RecordReader::on_result`].
#[derive(Debug)]
pub struct RecordReader {
    prefix: String,
    state: ReaderState,
    /// How long a watch call may wait for changes, in ms; `None`: the reader stops after the list.
    watch_wait_ms: Option<u64>,
    /// Revision of the first page or, once changes are watched, of the newest change.
    revision: u64,
    /// Whether a call is in flight. There is at most one at a time.
    call_in_flight: bool,
    /// No call is made before this time.
    retry_at: Timestamp,
    /// Consecutive calls that were refused or not answered.
    consecutive_failures: u32,
}

/// An item of a page, or a write that was watched.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The whole key, including the prefix.
    pub key: String,
    /// The value as it is stored.
    pub value: Value,
    /// Revision at which the key was last written.
    pub version: u64,
}

impl RecordReader {
    /// Creates a reader that lists all records once.
    pub fn list(prefix: String) -> RecordReader {
        RecordReader {
            prefix,
            state: ReaderState::Listing { after: None },
            watch_wait_ms: None,
            revision: 0,
            call_in_flight: false,
            retry_at: 0,
            consecutive_failures: 0,
        }
    }

    /// Creates a reader that lists all records and then watches for writes. A watch call waits up to
    /// `wait_ms`.
    pub fn list_and_watch(prefix: String, wait_ms: u64) -> RecordReader {
        RecordReader { watch_wait_ms: Some(wait_ms), ..RecordReader::list(prefix) }
    }

    /// Creates a reader that watches for writes after this revision, without a list. A watch call
    /// waits up to `wait_ms`.
    pub fn watch_since(prefix: String, revision: u64, wait_ms: u64) -> RecordReader {
        let reader = RecordReader::list_and_watch(prefix, wait_ms);
        RecordReader { state: ReaderState::Watching, revision, ..reader }
    }

    /// Whether every page has been read.
    pub fn is_list_complete(&self) -> bool {
        !matches!(self.state, ReaderState::Listing { .. })
    }

    /// Returns the fields of a log line about consecutive failures if one is due: at each power of
    /// two from the eighth failure on.
    pub fn failures_to_log(&self) -> Option<String> {
        let failures = self.consecutive_failures;
        let is_due = failures >= MIN_LOGGED_FAILURES && failures.is_power_of_two();
        is_due.then(|| format!("prefix={} tries={failures}", self.prefix))
    }

    /// Returns the revision of the first page or, once changes are watched, of the newest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the next call if one is due. The caller passes its result to
    /// [`RecordReader::on_result`].
    pub fn next_call(&mut self, now: Timestamp) -> Option<StoreCall> {
        if self.call_in_flight || now < self.retry_at {
            return None;
        }
        let prefix = self.prefix.clone();
        let call = match (&self.state, self.watch_wait_ms) {
            (ReaderState::Listing { after }, _) => StoreCall::List { prefix, after: after.clone() },
            (ReaderState::Watching, Some(wait_ms)) => {
                StoreCall::Watch { prefix, after: self.revision, wait_ms }
            }
            (ReaderState::Finished | ReaderState::Watching, _) => return None,
        };
        self.call_in_flight = true;
        Some(call)
    }

    /// Processes the result of the last call and returns the records in it.
    pub fn on_result(&mut self, now: Timestamp, result: StoreResult) -> Vec<Record> {
        self.call_in_flight = false;
        let earlier_failures = std::mem::take(&mut self.consecutive_failures);
        match result {
            StoreResult::Page(page) => self.on_page(page),
            StoreResult::Events(events) => {
                self.revision = events.revision;
                events.events.into_iter().filter_map(Record::from_event).collect()
            }
            StoreResult::Compacted => {
                self.state = ReaderState::Listing { after: None };
                Vec::new()
            }
            _ => {
                self.retry_later(now, earlier_failures);
                Vec::new()
            }
        }
    }

    fn on_page(&mut self, page: Page) -> Vec<Record> {
        if self.state == (ReaderState::Listing { after: None }) {
            self.revision = page.revision;
        }
        let last_key = page.items.last().filter(|_| page.more).map(|item| item.key.clone());
        self.state = match (last_key, self.watch_wait_ms) {
            (Some(key), _) => ReaderState::Listing { after: Some(key) },
            (None, Some(_)) => ReaderState::Watching,
            (None, None) => ReaderState::Finished,
        };
        page.items.into_iter().map(Record::from_item).collect()
    }

    fn retry_later(&mut self, now: Timestamp, earlier_failures: u32) {
        self.consecutive_failures = earlier_failures.saturating_add(1);
        let wait_ms = RETRY_INITIAL_MS << earlier_failures.min(MAX_RETRY_DOUBLINGS);
        self.retry_at = now + wait_ms.min(RETRY_MAX_MS);
    }
}

impl Record {
    fn from_item(item: Item) -> Record {
        Record { key: item.key, value: item.value, version: item.version }
    }

    /// Returns the record of a write; `None` for a deletion.
    fn from_event(event: Event) -> Option<Record> {
        Some(Record { key: event.put?, value: event.value, version: event.version })
    }
}

#[cfg(test)]
mod tests;
