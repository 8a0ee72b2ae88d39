//! Final states of a shard whose owner does not speak for it, read from the store.
use super::{Node, FINALS_BACK_MS};
use crate::context::{Context, Operation};
use crate::guards::{holds, Guard};
use crate::ids::{Shard, Timestamp};
use crate::io::{Effects, StoreCall, StoreResult};
use crate::keys;
use crate::records::RecordReader;

/// So long a watch for final states waits.
const WAIT_MS: u64 = 3000;

#[derive(Debug)]
pub(super) struct Reading {
    feed: RecordReader,
    /// When its last call was made, and the first one of what is being read.
    asked: Timestamp,
    as_of: Timestamp,
}

impl Node {
    /// A sibling that is alive but not heard can't tell which jobs were cancelled, nor can one that
    /// is gone: the store can. (Found on hunts: controllers reached all but each other for longer than
    /// a cancellation may take, and cancelled tasks ran on.)
    pub(super) fn tick_finals(&mut self, effects: &mut Effects) {
        let now = effects.now;
        let acts = self.lease.valid(now)
            && self.owned.iter().any(Option::is_some)
            && holds(Guard::SilentFinals);
        // What was cancelled before its horizon may have been told to another owner of our machines,
        // who did not come to act on it.
        let back =
            if holds(Guard::FinalsBack) { FINALS_BACK_MS + self.config.cancel_ms } else { 0 };
        for i in 0..self.view.len() {
            let shard = Shard(i as u8);
            let read_from = self.horizons.read_store_from(shard, back, now).filter(|_| acts);
            let Some(since) = read_from else {
                self.finals[i] = None;
                continue;
            };
            let mark = || self.marks.iter().rev().find(|m| m.0 <= since).map_or(0, |m| m.1);
            let r = self.finals[i].get_or_insert_with(|| Reading {
                feed: RecordReader::watch_since(
                    keys::terminal_state_prefix(shard),
                    mark(),
                    WAIT_MS,
                ),
                asked: now,
                as_of: now,
            });
            if let Some(call) = r.feed.next_call(now) {
                r.asked = now;
                // Later pages are as old as the first one.
                if !matches!(call, StoreCall::List { after: Some(_), .. }) {
                    r.as_of = now;
                }
                let mut c = ctx!(self, effects);
                c.store(Operation::Finals { shard, asked: now }, call);
            }
        }
    }

    /// `asked`: when. The answer to a call of a reading that was given up says nothing of a later one.
    pub(super) fn finals_read(
        &mut self,
        now: Timestamp,
        shard: Shard,
        asked: Timestamp,
        result: StoreResult,
    ) {
        let reading = self.finals.get_mut(shard.0 as usize).and_then(Option::as_mut);
        let Some(r) = reading.filter(|r| r.asked == asked) else { return };
        let told = matches!(result, StoreResult::Page(_) | StoreResult::Events(_));
        let records = r.feed.on_result(now, result);
        self.horizons
            .on_stored_terminal(records.iter().filter_map(|r| keys::parse_job_key(&r.key)), now);
        if told && r.feed.is_list_complete() {
            self.horizons.on_store_read(shard, r.as_of);
        }
    }
}
