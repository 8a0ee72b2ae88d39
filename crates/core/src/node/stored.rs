//! Answers of the state service, to whom they belong.
use super::Node;
use crate::ctx::{Ask, Ctx, OpKind};
use crate::ids::{Epoch, Seat};
use crate::io::{Out, StoreCall, StoreResult};
use crate::jobs::job_state;
use crate::keys;
use crate::seat::{Lease, Seen};
use leaddeal_wire::user::{self, JobState, Status};

impl Node {
    pub(super) fn coordinator(&mut self, seat: Seat, epoch: Epoch) -> Option<usize> {
        let i = seat.0 as usize;
        self.owned[i].as_ref().is_some_and(|o| o.epoch == epoch).then_some(i)
    }

    pub(super) fn stored(&mut self, out: &mut Out, kind: OpKind, result: StoreResult) {
        let now = out.now;
        match kind {
            OpKind::NewLease { sent } => {
                self.lease.sent = None;
                // Counted from when this very request was sent, not a later try.
                if let (StoreResult::Lease(id), None) = (result, self.lease.id) {
                    self.lease.id = Some(id);
                    self.lease.renewed = sent;
                    self.tick_seats(out);
                }
            }
            OpKind::Touch { lease, .. } if self.lease.id != Some(lease) => {}
            OpKind::Touch { sent, .. } => {
                self.lease.sent = None;
                match result {
                    StoreResult::Touched => self.lease.renewed = self.lease.renewed.max(sent),
                    StoreResult::NoLease => {
                        out.log(1, "lease_lost", String::new);
                        self.unsteady(now);
                        self.lease = Lease { next: now, ..Lease::default() };
                        self.drop_all(out);
                    }
                    _ => self.lease.next = now + 300,
                }
            }
            OpKind::Seats => {
                self.seats_busy = false;
                let StoreResult::Page(p) = result else {
                    self.seats_at = now + 300;
                    return;
                };
                for i in 0..self.view.len() {
                    let key = keys::seat_key(Seat(i as u8));
                    let item = p.items.iter().find(|x| x.key == key);
                    let seen =
                        item.map_or(Seen::Vacant(p.revision), |x| Seen::Owned(&x.value, x.version));
                    self.see_seat(out, &key, seen);
                }
                self.view_known = true;
                self.watch_seats(out, p.revision);
                self.tick_seats(out);
            }
            OpKind::SeatWatch => match result {
                StoreResult::Events(e) => {
                    for ev in &e.events {
                        if let Some(k) = &ev.put {
                            self.see_seat(out, k, Seen::Owned(&ev.value, ev.version));
                        } else if let Some(k) = &ev.delete {
                            // Older than the acquisition we know of, it says nothing.
                            self.see_seat(out, k, Seen::Vacant(ev.version));
                        }
                    }
                    self.watch_seats(out, e.revision);
                    self.tick_seats(out);
                }
                _ => {
                    self.view_known = false;
                    self.seats_at = now + 200;
                }
            },
            OpKind::Acquire(seat) => {
                self.view[seat.0 as usize].trying = false;
                match result {
                    StoreResult::Committed(rev) if self.lease.valid(now) => {
                        self.own(out, seat, Epoch(rev));
                    }
                    StoreResult::NoLease => {
                        self.lease = Lease { next: now, ..Lease::default() };
                        self.drop_all(out);
                    }
                    // Whoever owns it, the watch will tell.
                    _ => {}
                }
            }
            OpKind::Release(seat, epoch) => {
                let Some(i) = self.coordinator(seat, epoch) else {
                    return;
                };
                match result {
                    StoreResult::Committed(revision) => {
                        self.drop_seat(out, seat);
                        self.view[i].vacate(revision, now);
                        self.next_acquire[i] = now + 2000;
                    }
                    StoreResult::Conflict(_) => self.drop_seat(out, seat),
                    StoreResult::Refused | StoreResult::TooMany => {
                        if let Some(o) = &mut self.owned[i] {
                            o.releasing = false;
                        }
                    }
                    // It may be gone already: stop acting, and let the lease or the watch tell.
                    _ => self.drop_seat(out, seat),
                }
            }
            OpKind::Records { seat, epoch } => {
                let Some(i) = self.coordinator(seat, epoch) else {
                    return;
                };
                let mut c = ctx!(self, out);
                if let Some(o) = &mut self.owned[i] {
                    o.coordinator.records(&mut c, result);
                }
                self.wake |= c.wake;
            }
            OpKind::Decide { seat, epoch }
            | OpKind::Fold { seat, epoch }
            | OpKind::Finish { seat, epoch, .. } => {
                let Some(i) = self.coordinator(seat, epoch) else {
                    return;
                };
                let mut c = ctx!(self, out);
                let Some(o) = &mut self.owned[i] else { return };
                let k = &mut o.coordinator;
                let kept = match kind {
                    OpKind::Decide { .. } => k.decided(&mut c, &result),
                    OpKind::Fold { .. } => k.folded(&mut c, &result),
                    OpKind::Finish { job, .. } => k.finished(&mut c, job, &result),
                    _ => true,
                };
                self.wake |= c.wake;
                if !kept {
                    self.drop_seat(out, seat);
                    self.view_known = false;
                    self.seats_at = now;
                }
            }
            OpKind::Submit { req, id, value } => self.submitted(out, req, id, &value, result),
            OpKind::ReadJob { req, id, ask } => {
                let mut c = ctx!(self, out);
                let seat = c.seat_of_job(id);
                match result {
                    // Its owner does not answer, so it can't be cancelled now.
                    StoreResult::Item(Some(_)) if ask.0 == Ask::Cancel => {
                        c.reply_later(req, 503, 1);
                    }
                    StoreResult::Item(Some(_)) => {
                        let state = JobState {
                            id: user::job_id(id.0),
                            status: Status::Queued,
                            done: 0,
                            running: 0,
                        };
                        c.reply_state(req, 200, state);
                    }
                    StoreResult::Item(None) => {
                        let key = keys::final_key(seat, id);
                        c.store(OpKind::ReadFinal { req, id, ask }, StoreCall::Get { key });
                    }
                    _ => c.reply_later(req, 503, 1),
                }
            }
            OpKind::ReadFinal { req, id, ask } => {
                let mut c = ctx!(self, out);
                match result {
                    StoreResult::Item(Some(i)) => match keys::parse_final(&i.value) {
                        Some(f) => c.reply_state(req, 200, job_state(id, f)),
                        None => {
                            c.out.log(0, "record_unreadable", || i.key);
                            c.reply_later(req, 503, 5);
                        }
                    },
                    StoreResult::Item(None) => match ask.0 {
                        Ask::Wrong(400) => c.reply_error(req, 400, "malformed", None),
                        Ask::Wrong(s) => c.reply_error(req, s, "can never run", None),
                        Ask::Known => c.reply_later(req, 503, 1),
                        Ask::Get | Ask::Cancel => c.reply_error(req, 404, "unknown job", None),
                    },
                    _ => c.reply_later(req, 503, 1),
                }
            }
            OpKind::Finals { seat, asked } => self.finals_read(now, seat, asked, result),
            OpKind::BasePut => {
                let mut c = ctx!(self, out);
                match result {
                    StoreResult::Committed(_) | StoreResult::Conflict(_) => {
                        c.store(OpKind::BaseGet, StoreCall::Get { key: keys::BASE.into() });
                    }
                    _ => {
                        if let Some((_, b)) = &mut self.buyer {
                            b.set_base(None);
                        }
                    }
                }
            }
            OpKind::BaseGet => {
                if let Some((_, b)) = &mut self.buyer {
                    b.set_base(match result {
                        StoreResult::Item(Some(i)) => i.value.as_str().map(str::to_string),
                        _ => None,
                    });
                }
            }
            OpKind::Catalog | OpKind::Buyer(..) => {}
        }
    }
}
