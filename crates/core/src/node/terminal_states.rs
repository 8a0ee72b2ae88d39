//! Terminal states of a shard whose owner does not speak for it, read from the store.
use super::Node;
use crate::context::Operation;
use crate::guards::{is_enforced, Guard};
use crate::ids::{Shard, Timestamp};
use crate::io::{Effects, StoreCall, StoreResult};
use crate::keys;
use crate::records::RecordReader;
use std::collections::VecDeque;

/// A watch for terminal states without events is answered after this time.
const WATCH_WAIT_MS: u64 = 3000;
/// Terminal states are read from this long before a sibling was last heard: what it sent until then
/// was received, or was sent again.
const OVERLAP_MS: u64 = 5000;
/// Samples of the store's revision, one a second, beyond what a cancellation may take.
const EXTRA_REVISION_SAMPLES: usize = 20;

/// The reading of one shard's terminal states.
#[derive(Debug)]
struct TerminalStateReading {
    reader: RecordReader,
    /// When its last call was made.
    asked: Timestamp,
    /// When the first call of what is being read was made: what is read is as new as that.
    as_of: Timestamp,
}

/// The readings of terminal states, and what they begin from.
#[derive(Debug)]
pub(super) struct TerminalStates {
    /// By shard; none: its owner speaks for it.
    readings: Vec<Option<TerminalStateReading>>,
    pub(super) revisions: RevisionHistory,
}

impl TerminalStates {
    pub(super) fn new(shards: usize) -> TerminalStates {
        let readings = (0..shards).map(|_| None).collect();
        TerminalStates { readings, revisions: RevisionHistory::default() }
    }
}

/// Which revision of the store was the newest one known here at which time.
#[derive(Debug, Default)]
pub(super) struct RevisionHistory {
    newest: u64,
    /// From old to new, one a second.
    samples: VecDeque<RevisionSample>,
}

#[derive(Clone, Copy, Debug)]
struct RevisionSample {
    at: Timestamp,
    revision: u64,
}

impl RevisionHistory {
    /// The store has named this revision.
    pub(super) fn observe(&mut self, revision: u64) {
        self.newest = self.newest.max(revision);
    }

    /// Remembers the newest revision, for as long as a cancellation may take and somewhat longer.
    /// Called once a second.
    pub(super) fn sample(&mut self, now: Timestamp, cancel_ms: u64) {
        self.samples.push_back(RevisionSample { at: now, revision: self.newest });
        if self.samples.len() > EXTRA_REVISION_SAMPLES + cancel_ms as usize / 1000 {
            self.samples.pop_front();
        }
    }

    /// A revision that was reached at that time; 0 if it is not remembered.
    fn at(&self, time: Timestamp) -> u64 {
        let sample = self.samples.iter().rev().find(|sample| sample.at <= time);
        sample.map_or(0, |sample| sample.revision)
    }
}

impl Node {
    /// Which jobs were cancelled can't be learned from a sibling that is alive but unreachable, nor from
    /// one that is gone, but from the store. (Found on hunts: controllers reached all but each other for longer than
    /// a cancellation may take, and cancelled tasks ran on.)
    pub(super) fn tick_terminal_states(&mut self, effects: &mut Effects) {
        let now = effects.now;
        let acts = self.shared.lease.valid(now)
            && self.owned.iter().any(Option::is_some)
            && is_enforced(Guard::SilentOwnerReadFromStore);
        // Cancellations before the horizon may have been sent to another owner of our machines, which
        // did not come to act on them.
        let back_ms = if is_enforced(Guard::TerminalStatesReadWithMargin) {
            OVERLAP_MS + self.shared.config.cancel_ms
        } else {
            0
        };
        for shard in self.shared.shards() {
            let read_from = self.shared.horizons.read_store_from(shard, back_ms, now);
            match read_from.filter(|_| acts) {
                Some(since) => self.read_terminal_states(effects, shard, since),
                None => self.terminal_states.readings[shard.0 as usize] = None,
            }
        }
    }

    /// Goes on with the reading of a shard, or begins it with what was written since that time.
    fn read_terminal_states(&mut self, effects: &mut Effects, shard: Shard, since: Timestamp) {
        let now = effects.now;
        let TerminalStates { readings, revisions } = &mut self.terminal_states;
        let reading = readings[shard.0 as usize].get_or_insert_with(|| {
            let prefix = keys::terminal_state_prefix(shard);
            let reader = RecordReader::watch_since(prefix, revisions.at(since), WATCH_WAIT_MS);
            TerminalStateReading { reader, asked: now, as_of: now }
        });
        let Some(call) = reading.reader.next_call(now) else { return };
        reading.asked = now;
        // Later pages are as old as the first one.
        if !matches!(call, StoreCall::List { after: Some(_), .. }) {
            reading.as_of = now;
        }
        let operation = Operation::ReadTerminalStates { shard, asked: now };
        self.shared.context(effects).call_store(operation, call);
    }

    /// The answer to a reading's call that was made at `asked`. It is ignored if that reading was
    /// abandoned since.
    pub(super) fn terminal_states_read(
        &mut self,
        now: Timestamp,
        shard: Shard,
        asked: Timestamp,
        result: StoreResult,
    ) {
        let readings = &mut self.terminal_states.readings;
        let reading = readings.get_mut(shard.0 as usize).and_then(Option::as_mut);
        let Some(reading) = reading.filter(|reading| reading.asked == asked) else { return };
        let answered = matches!(result, StoreResult::Page(_) | StoreResult::Events(_));
        let records = reading.reader.on_result(now, result);
        let jobs = records.iter().filter_map(|record| keys::parse_job_key(&record.key));
        self.shared.horizons.on_stored_terminal(jobs, now);
        if answered && reading.reader.is_list_complete() {
            self.shared.horizons.on_store_read(shard, reading.as_of);
        }
    }
}
