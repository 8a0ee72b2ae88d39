//! Final states of a seat whose owner is not heard, read from the store.
use super::{Node, FINALS_BACK_MS};
use crate::ctx::{Ctx, OpKind};
use crate::ids::Seat;
use crate::io::{Out, StoreResult};
use crate::keys;
use crate::records::Feed;

/// So long a watch for final states waits.
const WAIT_MS: u64 = 3000;

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
                if self.finals[i].take().is_some() {
                    for o in self.owned.iter_mut().flatten() {
                        o.part.hears(seat, c.view.len());
                    }
                }
                continue;
            };
            // What was cancelled just before it was last heard may have been told to another owner
            // of our machines, who did not come to act on it.
            let back = FINALS_BACK_MS + self.cfg.cancel_ms;
            let since = self.health.heard()[owner.node.0 as usize].saturating_sub(back);
            let mark = || self.marks.iter().rev().find(|m| m.0 <= since).map_or(0, |m| m.1);
            let feed = self.finals[i]
                .get_or_insert_with(|| Feed::since(keys::final_prefix(seat), mark(), WAIT_MS));
            if let Some(call) = feed.call(now) {
                c.store(OpKind::Finals { seat }, call);
            }
        }
    }

    pub(super) fn finals_read(&mut self, out: &mut Out, seat: Seat, result: StoreResult) {
        let now = out.now;
        let Some(feed) = self.finals.get_mut(seat.0 as usize).and_then(Option::as_mut) else {
            return;
        };
        for r in feed.take(now, result) {
            let Some(id) = keys::job_of_key(&r.key) else { continue };
            let mut c = ctx!(self, out);
            for o in self.owned.iter_mut().flatten() {
                o.part.job_over(&mut c, id);
            }
        }
    }
}
