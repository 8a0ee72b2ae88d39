//! ReadingState what is kept under a prefix: page by page, then as it changes.
//!
//! Invariant: whoever takes every item and change that a feed gives has seen each key that was
//! there when the first page was read, and each change since, some of them twice. What a service
//! no longer keeps (410) is read anew from the beginning; a truncated page is followed by the
//! next; a call without an answer is made again.
use crate::ids::Timestamp;
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
enum ReadingState {
    /// The next page: from the beginning, or after this key.
    Page(Option<String>),
    /// All pages are read; changes are not followed.
    Over,
    Changes,
}

#[derive(Debug)]
pub struct RecordReader {
    prefix: String,
    how: ReadingState,
    /// How long a watch waits; none: only the pages are read.
    wait_ms: Option<u64>,
    /// Revision of the first page, and then of the newest change.
    revision: u64,
    busy: bool,
    retry_at: Timestamp,
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

impl RecordReader {
    /// All there is, once.
    pub fn pages(prefix: String) -> RecordReader {
        let how = ReadingState::Page(None);
        RecordReader {
            prefix,
            how,
            wait_ms: None,
            revision: 0,
            busy: false,
            retry_at: 0,
            in_vain: 0,
        }
    }

    /// All there is, and then what is written.
    pub fn all(prefix: String, wait_ms: u64) -> RecordReader {
        RecordReader { wait_ms: Some(wait_ms), ..RecordReader::pages(prefix) }
    }

    /// What is written after this revision.
    pub fn since(prefix: String, revision: u64, wait_ms: u64) -> RecordReader {
        RecordReader { how: ReadingState::Changes, revision, ..RecordReader::all(prefix, wait_ms) }
    }

    /// Every page has been read.
    pub fn caught_up(&self) -> bool {
        !matches!(self.how, ReadingState::Page(_))
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
    pub fn call(&mut self, now: Timestamp) -> Option<StoreCall> {
        if self.busy || now < self.retry_at {
            return None;
        }
        let prefix = self.prefix.clone();
        let call = match (&self.how, self.wait_ms) {
            (ReadingState::Page(after), _) => StoreCall::List { prefix, after: after.clone() },
            (ReadingState::Changes, Some(wait_ms)) => {
                StoreCall::Watch { prefix, after: self.revision, wait_ms }
            }
            (ReadingState::Over | ReadingState::Changes, _) => return None,
        };
        self.busy = true;
        Some(call)
    }

    /// Takes an answer; returns what it tells of.
    pub fn take(&mut self, now: Timestamp, result: StoreResult) -> Vec<Record> {
        self.busy = false;
        let tries = std::mem::take(&mut self.in_vain);
        match result {
            StoreResult::Page(p) => {
                if self.how == ReadingState::Page(None) {
                    self.revision = p.revision;
                }
                let more = p.items.last().filter(|_| p.more).map(|i| i.key.clone());
                self.how = match (more, self.wait_ms) {
                    (Some(key), _) => ReadingState::Page(Some(key)),
                    (None, Some(_)) => ReadingState::Changes,
                    (None, None) => ReadingState::Over,
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
            StoreResult::Compacted => {
                self.how = ReadingState::Page(None);
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
mod tests;
