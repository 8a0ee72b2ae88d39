//! Messages of the other controllers.
use super::{Node, MOST_CALLS};
use crate::ctx::{Ask, Ctx};
use crate::ids::{seat_of_job, Epoch, JobId, NodeIdx, Seat};
use crate::io::{Out, Output};
use crate::seat::Owner;
use leaddeal_wire::mesh::{NodeMsg, Told};

impl Node {
    pub(super) fn mesh(&mut self, out: &mut Out, from: &str, msg: NodeMsg) {
        let now = out.now;
        let Some(n) = self.nodes.iter().position(|x| x == from) else {
            return;
        };
        self.heard[n] = now;
        match msg {
            NodeMsg::Beat { owned } => {
                // A node that does not reach the state service still learns that its time is
                // over, and sends the workers to their new owner.
                for (seat, epoch) in owned {
                    let seat = Seat(seat);
                    let Some(v) = self.view.get_mut(seat.0 as usize) else { continue };
                    let node = NodeIdx(n as u8);
                    if v.claimed(Owner { node, boot: 0, epoch: Epoch(epoch) }) {
                        if self.owned[seat.0 as usize].is_some() {
                            self.drop_seat(out, seat);
                        }
                        self.spread_view();
                    }
                }
            }
            NodeMsg::Seat { from, from_epoch, to, to_epoch, msg } => {
                let len = self.view.len();
                if from as usize >= len || to as usize >= len {
                    return;
                }
                let mine = self.owned[to as usize].as_ref().map(|o| o.epoch.0);
                let newer = self.view[from as usize].owner.is_some_and(|o| o.epoch.0 > from_epoch);
                if mine == Some(to_epoch) && !newer {
                    self.deliver(out, Seat(from), Epoch(from_epoch), Seat(to), msg);
                }
            }
            NodeMsg::Ask { call, job, cancel } => {
                let id = JobId(job);
                let seat = seat_of_job(id, self.view.len());
                let valid = self.lease.valid(now);
                let mine = self.owned[seat.0 as usize].as_mut();
                let to = from.to_string();
                let Some(o) = mine.filter(|o| valid && o.coordinator.ready()) else {
                    let answer = Told::NotMine;
                    out.list.push(Output::Mesh { to, msg: NodeMsg::Told { call, answer } });
                    return;
                };
                if self.relays.len() > MOST_CALLS {
                    let answer = Told::Later;
                    out.list.push(Output::Mesh { to, msg: NodeMsg::Told { call, answer } });
                    return;
                }
                self.next_call += 1;
                let req = (1 << 62) | self.next_call;
                self.relays.insert(req, (to, call));
                let mut c = ctx!(self, out);
                if cancel {
                    if !o.coordinator.cancel(&mut c, req, id) {
                        c.reply_error(req, 404, "unknown", None);
                    }
                } else {
                    match o.coordinator.state(id) {
                        Some(s) => c.reply_state(req, 200, s),
                        None => c.reply_error(req, 404, "unknown", None),
                    }
                }
            }
            NodeMsg::Told { call, answer } => {
                let Some(k) = self.calls.remove(&call) else {
                    return;
                };
                match answer {
                    Told::State(s) => {
                        let mut c = ctx!(self, out);
                        c.reply_state(k.req, 200, s);
                    }
                    Told::Later if k.ask == Ask::Cancel => {
                        let mut c = ctx!(self, out);
                        c.reply_later(k.req, 503, 1);
                    }
                    Told::NotMine | Told::Unknown | Told::Later => {
                        self.read_job(out, k.req, k.id, k.ask);
                    }
                }
            }
            NodeMsg::WantSeat { seat } => {
                if seat as usize == n {
                    if let Some(o) = self.owned.get_mut(seat as usize).and_then(Option::as_mut) {
                        o.coordinator.leaving = true;
                        o.leave_until = now + 5000;
                    }
                }
            }
        }
    }
}
