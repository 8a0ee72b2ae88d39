//! Reads all records under a key prefix: a paginated list, then a watch stream.
//!
//! Invariant: a caller that takes every [`Record`] that a [`RecordReader`] returns has seen each key
//! that was there when the first page was read, and each change since then, some of them twice.
//! If the state service has compacted the revision to go on from (410), everything is listed again
//! from the beginning; a truncated page is followed by the next one; a call without an answer is
//! retried.
use crate::ids::Timestamp;
use crate::io::{StoreCall, StoreResult};
use leaddeal_wire::state::{Event, Item, Page};
use serde_json::Value;

/// Wait after the first call that was refused or not answered. Each further failure in a row
/// doubles it.
const RETRY_INITIAL_MS: u64 = 300;
/// The longest wait between two tries.
const RETRY_MAX_MS: u64 = 1200;
/// Bounds the shift that doubles the wait.
const MAX_RETRY_DOUBLINGS: u32 = 8;
/// From this number of failures in a row on, each power of two is worth a line in the log.
const FAILURES_WORTH_LOGGING: u32 = 8;

/// How far a reader has come.
#[derive(Clone, Debug, PartialEq)]
enum ReadingState {
    /// The next page is to be read: from the beginning, or after this key.
    Listing { after: Option<String> },
    /// All pages are read, and changes are not watched.
    Finished,
    /// All pages are read, and changes are watched.
    Watching,
}

/// Reads the records under one prefix. It makes no calls itself: [`RecordReader::next_call`] returns
/// the call that is due, and its result is handed back to [`RecordReader::on_result`].
#[derive(Debug)]
pub struct RecordReader {
    prefix: String,
    state: ReadingState,
    /// How long a watch call may wait for changes, in milliseconds; `None`: only the pages are read.
    watch_wait_ms: Option<u64>,
    /// Revision of the first page, and then of the newest change.
    revision: u64,
    /// A call is in flight; there is one at a time.
    call_in_flight: bool,
    retry_at: Timestamp,
    /// Calls in a row that were refused or had no answer.
    consecutive_failures: u32,
}

/// A key that was found in a page, or that was written.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The whole key, with its prefix.
    pub key: String,
    /// The value as it is stored.
    pub value: Value,
    /// Revision at which the key was last written.
    pub version: u64,
}

impl RecordReader {
    /// Reads all records once.
    pub fn list(prefix: String) -> RecordReader {
        RecordReader {
            prefix,
            state: ReadingState::Listing { after: None },
            watch_wait_ms: None,
            revision: 0,
            call_in_flight: false,
            retry_at: 0,
            consecutive_failures: 0,
        }
    }

    /// Reads all records, and then what is written. A watch call waits up to `wait_ms`.
    pub fn list_and_watch(prefix: String, wait_ms: u64) -> RecordReader {
        RecordReader { watch_wait_ms: Some(wait_ms), ..RecordReader::list(prefix) }
    }

    /// Reads what is written after this revision. A watch call waits up to `wait_ms`.
    pub fn watch_since(prefix: String, revision: u64, wait_ms: u64) -> RecordReader {
        let reader = RecordReader::list_and_watch(prefix, wait_ms);
        RecordReader { state: ReadingState::Watching, revision, ..reader }
    }

    /// Whether every page has been read.
    pub fn is_list_complete(&self) -> bool {
        !matches!(self.state, ReadingState::Listing { .. })
    }

    /// Fields for the log, if the last failure in a row is one that is worth a line.
    pub fn failures_to_log(&self) -> Option<String> {
        let failures = self.consecutive_failures;
        let worth_logging = failures >= FAILURES_WORTH_LOGGING && failures.is_power_of_two();
        worth_logging.then(|| format!("prefix={} tries={failures}", self.prefix))
    }

    /// Revision of the first page or, once changes are watched, of the newest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The next call, if one is due; its result goes to [`RecordReader::on_result`].
    pub fn next_call(&mut self, now: Timestamp) -> Option<StoreCall> {
        if self.call_in_flight || now < self.retry_at {
            return None;
        }
        let prefix = self.prefix.clone();
        let call = match (&self.state, self.watch_wait_ms) {
            (ReadingState::Listing { after }, _) => {
                StoreCall::List { prefix, after: after.clone() }
            }
            (ReadingState::Watching, Some(wait_ms)) => {
                StoreCall::Watch { prefix, after: self.revision, wait_ms }
            }
            (ReadingState::Finished | ReadingState::Watching, _) => return None,
        };
        self.call_in_flight = true;
        Some(call)
    }

    /// Takes the result of the last call; returns the records in it.
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
                self.state = ReadingState::Listing { after: None };
                Vec::new()
            }
            _ => {
                self.retry_later(now, earlier_failures);
                Vec::new()
            }
        }
    }

    fn on_page(&mut self, page: Page) -> Vec<Record> {
        if self.state == (ReadingState::Listing { after: None }) {
            self.revision = page.revision;
        }
        let last_key = page.items.last().filter(|_| page.more).map(|item| item.key.clone());
        self.state = match (last_key, self.watch_wait_ms) {
            (Some(key), _) => ReadingState::Listing { after: Some(key) },
            (None, Some(_)) => ReadingState::Watching,
            (None, None) => ReadingState::Finished,
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

    /// `None` for a deletion.
    fn from_event(event: Event) -> Option<Record> {
        Some(Record { key: event.put?, value: event.value, version: event.version })
    }
}

#[cfg(test)]
mod tests;
