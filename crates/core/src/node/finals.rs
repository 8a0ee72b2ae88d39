//! Final states of a seat whose owner is not heard, read from the store.
use super::{Node, FINALS_BACK_MS};
use crate::ctx::{Ctx, OpKind};
use crate::ids::{Now, Seat};
use crate::io::{Out, StoreCall, StoreResult};
use crate::keys;
#[derive(Debug, PartialEq)]
enum Reading {
    Changes,
    /// The changes are not kept for so long: all there is, from the beginning.
    Start,
    /// The next page, after this key.
    Page(String),
}

/// Reading the final states of a seat whose owner is not heard.
#[derive(Debug)]
pub(super) struct Finals {
    /// Revision that has been read up to.
    after: u64,
    how: Reading,
    busy: bool,
    retry_at: Now,
}

impl Node {
    /// A sibling that is alive but not heard can't tell which jobs were cancelled: the store can.
    /// (Found on hunts: controllers reached all but each other for longer than a cancellation may
    /// take, and cancelled tasks ran on.)
    pub(super) fn tick_finals(&mut self, out: &mut Out) {
        let now = out.now;
        for i in 0..self.view.len() {
            let seat = Seat(i as u8);
            let mut c = ctx!(self, out);
            let heard = c.owner(seat).filter(|o| o.node != c.me && !c.reachable(seat));
            let Some(owner) = heard.filter(|_| self.owned.iter().any(Option::is_some)) else {
                self.finals[i] = None;
                continue;
            };
            let since = self.heard[owner.node.0 as usize].saturating_sub(FINALS_BACK_MS);
            let mark = || self.marks.iter().rev().find(|m| m.0 <= since).map_or(0, |m| m.1);
            let f = self.finals[i].get_or_insert_with(|| Finals {
                after: mark(),
                how: Reading::Changes,
                busy: false,
                retry_at: now,
            });
            if f.busy || now < f.retry_at {
                continue;
            }
            f.busy = true;
            let prefix = keys::final_prefix(seat);
            let call = match &f.how {
                Reading::Changes => StoreCall::Watch { prefix, after: f.after, wait_ms: 3000 },
                Reading::Start => StoreCall::List { prefix, after: None },
                Reading::Page(after) => StoreCall::List { prefix, after: Some(after.clone()) },
            };
            c.store(OpKind::Finals { seat }, call);
        }
    }

    pub(super) fn finals_read(&mut self, out: &mut Out, seat: Seat, result: StoreResult) {
        let now = out.now;
        let Some(f) = self.finals.get_mut(seat.0 as usize).and_then(Option::as_mut) else {
            return;
        };
        f.busy = false;
        let keys: Vec<String> = match result {
            StoreResult::Events(e) => {
                f.after = e.revision;
                e.events.into_iter().filter_map(|e| e.put).collect()
            }
            StoreResult::Page(p) => {
                let keys: Vec<String> = p.items.into_iter().map(|i| i.key).collect();
                if f.how == Reading::Start {
                    f.after = p.revision;
                }
                let next = keys.last().filter(|_| p.more).cloned();
                f.how = next.map_or(Reading::Changes, Reading::Page);
                keys
            }
            StoreResult::TooOld => {
                f.how = Reading::Start;
                return;
            }
            _ => {
                f.retry_at = now + 300;
                return;
            }
        };
        for id in keys.iter().filter_map(|k| keys::job_of_key(k)) {
            let mut c = ctx!(self, out);
            for o in self.owned.iter_mut().flatten() {
                o.part.job_over(&mut c, id);
            }
        }
    }
}
