//! Answers of the state service, to whom they belong.
use super::Node;
use crate::context::{queued, Context, LookupPurpose, Operation};
use crate::coordinator::Ownership;
use crate::guards::{holds, Guard};
use crate::ids::{Epoch, Shard};
use crate::io::{Effects, StoreCall, StoreResult};
use crate::jobs::job_state;
use crate::keys;
use crate::shard::{Lease, Seen};
use crate::stored::{OperatorMachinesRecord, TerminalState};

impl Node {
    pub(super) fn coordinator(&mut self, shard: Shard, epoch: Epoch) -> Option<usize> {
        let i = shard.0 as usize;
        self.owned[i].as_ref().is_some_and(|o| o.epoch == epoch).then_some(i)
    }

    pub(super) fn stored(&mut self, effects: &mut Effects, kind: Operation, result: StoreResult) {
        let now = effects.now;
        match kind {
            Operation::NewLease { sent } => {
                self.lease.sent = None;
                // Counted from when this very request was sent, not a later try.
                if let (StoreResult::Lease(id), None) = (result, self.lease.id) {
                    self.lease.id = Some(id);
                    self.lease.renewed = sent;
                    self.tick_shards(effects);
                }
            }
            Operation::RenewLease { lease, .. } if self.lease.id != Some(lease) => {}
            Operation::RenewLease { sent, .. } => {
                self.lease.sent = None;
                match result {
                    StoreResult::LeaseRenewed => {
                        let from = if holds(Guard::LeaseFromSent) { sent } else { now };
                        self.lease.renewed = self.lease.renewed.max(from);
                    }
                    StoreResult::NoLease => {
                        effects.log(1, "lease_lost", String::new);
                        self.unsteady(now);
                        self.lease = Lease { next: now, ..Lease::default() };
                        self.drop_all(effects);
                    }
                    _ => self.lease.next = now + 300,
                }
            }
            Operation::Shards => {
                self.shards_busy = false;
                let StoreResult::Page(p) = result else {
                    self.shards_at = now + 300;
                    return;
                };
                for i in 0..self.view.len() {
                    let key = keys::shard_key(Shard(i as u8));
                    let item = p.items.iter().find(|x| x.key == key);
                    let seen =
                        item.map_or(Seen::Vacant(p.revision), |x| Seen::Owned(&x.value, x.version));
                    self.see_shard(effects, &key, seen);
                }
                self.view_known = true;
                self.watch_shards(effects, p.revision);
                self.tick_shards(effects);
            }
            Operation::ShardWatch => match result {
                StoreResult::Events(e) => {
                    for ev in &e.events {
                        if let Some(k) = &ev.put {
                            self.see_shard(effects, k, Seen::Owned(&ev.value, ev.version));
                        } else if let Some(k) = &ev.delete {
                            // Older than the acquisition we know of, it says nothing.
                            self.see_shard(effects, k, Seen::Vacant(ev.version));
                        }
                    }
                    self.watch_shards(effects, e.revision);
                    self.tick_shards(effects);
                }
                _ => {
                    self.view_known = false;
                    self.shards_at = now + 200;
                }
            },
            Operation::Acquire(shard) => {
                self.view[shard.0 as usize].trying = false;
                match result {
                    StoreResult::Committed(rev)
                        if self.lease.valid(now) || !holds(Guard::DoubtOwns) =>
                    {
                        self.own(effects, shard, Epoch(rev));
                    }
                    StoreResult::NoLease => {
                        self.lease = Lease { next: now, ..Lease::default() };
                        self.drop_all(effects);
                    }
                    // Whoever owns it, the watch will tell.
                    _ => {}
                }
            }
            Operation::Release(shard, epoch) => {
                let Some(i) = self.coordinator(shard, epoch) else {
                    return;
                };
                match result {
                    StoreResult::Committed(revision) => {
                        self.drop_shard(effects, shard);
                        self.view[i].vacate(revision, now);
                        self.next_acquire[i] = now + 2000;
                    }
                    StoreResult::Conflict(_) => self.drop_shard(effects, shard),
                    // It may be gone already: stop acting, and let the lease or the watch tell.
                    StoreResult::Unknown if holds(Guard::ReleaseUnsure) => {
                        self.drop_shard(effects, shard);
                    }
                    _ => {
                        if let Some(o) = &mut self.owned[i] {
                            o.releasing = false;
                        }
                    }
                }
            }
            Operation::Records { shard, epoch } => {
                let Some(i) = self.coordinator(shard, epoch) else {
                    return;
                };
                let mut c = ctx!(self, effects);
                if let Some(o) = &mut self.owned[i] {
                    o.coordinator.records(&mut c, result);
                }
                self.wake |= c.wake;
            }
            Operation::Decide { shard, epoch }
            | Operation::Compaction { shard, epoch }
            | Operation::Finish { shard, epoch, .. } => {
                let Some(i) = self.coordinator(shard, epoch) else {
                    return;
                };
                let mut c = ctx!(self, effects);
                let Some(o) = &mut self.owned[i] else { return };
                let k = &mut o.coordinator;
                let ownership = match kind {
                    Operation::Decide { .. } => k.decided(&mut c, &result),
                    Operation::Compaction { .. } => k.compaction_written(&mut c, &result),
                    Operation::Finish { job, .. } => k.cancellation_written(&mut c, job, &result),
                    _ => Ownership::Kept,
                };
                self.wake |= c.wake;
                if ownership == Ownership::Lost {
                    self.drop_shard(effects, shard);
                    self.view_known = false;
                    self.shards_at = now;
                }
            }
            Operation::Submit { req, id, value } => {
                self.submitted(effects, req, id, &value, result)
            }
            Operation::ReadJob { req, id, ask } => {
                let mut c = ctx!(self, effects);
                match result {
                    // Its owner does not answer, so it can't be cancelled now.
                    StoreResult::Item(Some(_)) if ask.0 == LookupPurpose::Cancel => {
                        c.reply_later(req, 503, 1);
                    }
                    StoreResult::Item(Some(_)) => c.reply_state(req, 200, queued(id)),
                    StoreResult::Item(None) if holds(Guard::KeyBeforeFinal) => {
                        c.read_final(req, id, ask);
                    }
                    StoreResult::Item(None) => c.unknown(req, ask),
                    _ => c.reply_later(req, 503, 1),
                }
            }
            Operation::ReadFinal { req, id, ask } => {
                let mut c = ctx!(self, effects);
                match result {
                    StoreResult::Item(Some(i)) => match TerminalState::decode(&i.value) {
                        Ok(f) => c.reply_state(req, 200, job_state(id, f)),
                        Err(_) => {
                            c.effects.log(0, "record_unreadable", || i.key);
                            c.reply_later(req, 503, 5);
                        }
                    },
                    StoreResult::Item(None) if holds(Guard::KeyBeforeFinal) => c.unknown(req, ask),
                    StoreResult::Item(None) => c.read_key(req, id, ask),
                    _ => c.reply_later(req, 503, 1),
                }
            }
            Operation::Finals { shard, asked } => self.finals_read(now, shard, asked, result),
            Operation::BasePut => {
                let mut c = ctx!(self, effects);
                match result {
                    StoreResult::Committed(_) | StoreResult::Conflict(_) => {
                        c.store(Operation::BaseGet, StoreCall::Get { key: keys::BASE.into() });
                    }
                    _ => {
                        if let Some((_, b)) = &mut self.provisioner {
                            b.set_base(None);
                        }
                    }
                }
            }
            Operation::BaseGet => {
                if let Some((_, b)) = &mut self.provisioner {
                    b.set_base(match result {
                        StoreResult::Item(Some(i)) => {
                            let r = OperatorMachinesRecord::decode(&i.value);
                            r.ok().map(|r| r.0.to_string())
                        }
                        _ => None,
                    });
                }
            }
            Operation::Catalog | Operation::Provisioner(..) => {}
        }
    }
}
