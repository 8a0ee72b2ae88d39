//! Reads terminal states from the store, for each shard whose owner does not confirm the shard's
//! cancellation horizon (see [`crate::horizon`]).
use super::Node;
use crate::context::Operation;
use crate::guards::{is_enforced, Guard};
use crate::ids::{Shard, Timestamp};
use crate::io::{Effects, StoreCall, StoreResult};
use crate::keys;
use crate::records::RecordReader;
use std::collections::VecDeque;

/// The state service answers a watch without events after this time, in ms.
const WATCH_WAIT_MS: u64 = 3000;
/// Terminal states are read from this long, and the time that a cancellation may take, before the
/// shard's horizon, in ms. What a sibling sent until it was last heard was received or was sent again.
const OVERLAP_MS: u64 = 5000;
/// Samples of the store's revision, one per second, that are kept in addition to those of the time that
/// a cancellation may take.
const EXTRA_REVISION_SAMPLES: usize = 20;

/// Reads one shard's terminal states.
#[derive(Debug)]
struct TerminalStateReader {
    reader: RecordReader,
    /// When the last call was made; it identifies the call.
    called_at: Timestamp,
    /// When the first call of the present list, or the last watch call, was made. Once the list or the
    /// watch call is answered completely, everything written before this time has been read.
    as_of: Timestamp,
}

/// The readers of terminal states, and the revisions from which they start.
#[derive(Debug)]
pub(super) struct TerminalStates {
    /// By shard; `None`: the shard's owner confirms its horizon, or this node has no use for it.
    readers: Vec<Option<TerminalStateReader>>,
    pub(super) revisions: RevisionHistory,
}

impl TerminalStates {
    pub(super) fn new(shards: usize) -> TerminalStates {
        let readers = (0..shards).map(|_| None).collect();
        TerminalStates { readers, revisions: RevisionHistory::default() }
    }
}

/// The newest revision of the store that this node knew, sampled over time.
#[derive(Debug, Default)]
pub(super) struct RevisionHistory {
    newest: u64,
    /// Oldest first, one per second.
    samples: VecDeque<RevisionSample>,
}

#[derive(Clone, Copy, Debug)]
struct RevisionSample {
    at: Timestamp,
    revision: u64,
}

impl RevisionHistory {
    /// Records a revision that an answer of the store contained.
    pub(super) fn observe(&mut self, revision: u64) {
        self.newest = self.newest.max(revision);
    }

    /// Samples the newest revision. Samples are kept for as long as a cancellation may take, and
    /// [`EXTRA_REVISION_SAMPLES`] longer. Must be called once per second.
    pub(super) fn sample(&mut self, now: Timestamp, cancel_ms: u64) {
        self.samples.push_back(RevisionSample { at: now, revision: self.newest });
        if self.samples.len() > EXTRA_REVISION_SAMPLES + cancel_ms as usize / 1000 {
            self.samples.pop_front();
        }
    }

    /// Returns a revision that the store had reached by that time; 0 if there is no sample so old.
    fn at(&self, time: Timestamp) -> u64 {
        let sample = self.samples.iter().rev().find(|sample| sample.at <= time);
        sample.map_or(0, |sample| sample.revision)
    }
}

impl Node {
    /// Reads the terminal states of shards whose horizon is not confirmed. Cancellations by a sibling
    /// that is unreachable, alive or not, can only be learned from the store. Without this, when
    /// controllers reached everything but each other for longer than a cancellation may take, cancelled
    /// tasks kept running.
    pub(super) fn tick_terminal_states(&mut self, effects: &mut Effects) {
        let now = effects.now;
        let is_active = self.shared.lease.is_valid(now)
            && self.owned.iter().any(Option::is_some)
            && is_enforced(Guard::SilentOwnerReadFromStore);
        // Cancellations before the horizon may have been sent to a previous owner of this node's
        // machines that failed before it acted on them.
        let margin_ms = if is_enforced(Guard::TerminalStatesReadWithMargin) {
            OVERLAP_MS + self.shared.config.cancel_ms
        } else {
            0
        };
        for shard in self.shared.shards() {
            let read_from = self.shared.horizons.read_store_from(shard, margin_ms, now);
            match read_from.filter(|_| is_active) {
                Some(since) => self.read_terminal_states(effects, shard, since),
                None => self.terminal_states.readers[shard.0 as usize] = None,
            }
        }
    }

    /// Continues to read a shard's terminal states, or begins with those written since that time.
    fn read_terminal_states(&mut self, effects: &mut Effects, shard: Shard, since: Timestamp) {
        let now = effects.now;
        let TerminalStates { readers, revisions } = &mut self.terminal_states;
        let state = readers[shard.0 as usize].get_or_insert_with(|| {
            let prefix = keys::terminal_state_prefix(shard);
            let reader = RecordReader::watch_since(prefix, revisions.at(since), WATCH_WAIT_MS);
            TerminalStateReader { reader, called_at: now, as_of: now }
        });
        let Some(call) = state.reader.next_call(now) else { return };
        state.called_at = now;
        // A page after the first one proves nothing newer than the first page's call.
        if !matches!(call, StoreCall::List { after: Some(_), .. }) {
            state.as_of = now;
        }
        let operation = Operation::ReadTerminalStates { shard, asked: now };
        self.shared.context(effects).call_store(operation, call);
    }

    /// Handles the answer to a reader's call that was made at `called_at`. It is ignored if the reader
    /// was dropped since.
    pub(super) fn on_terminal_states_read(
        &mut self,
        now: Timestamp,
        shard: Shard,
        called_at: Timestamp,
        result: StoreResult,
    ) {
        let readers = &mut self.terminal_states.readers;
        let state = readers.get_mut(shard.0 as usize).and_then(Option::as_mut);
        let Some(state) = state.filter(|state| state.called_at == called_at) else { return };
        let answered = matches!(result, StoreResult::Page(_) | StoreResult::Events(_));
        let records = state.reader.on_result(now, result);
        let jobs = records.iter().filter_map(|record| keys::parse_job_key(&record.key));
        self.shared.horizons.on_stored_terminal(jobs, now);
        if answered && state.reader.is_list_complete() {
            self.shared.horizons.on_store_read(shard, state.as_of);
        }
    }
}
