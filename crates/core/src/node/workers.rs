//! Workers: who may be answered, and what.
use super::{Node, LET_GO_MS};
use crate::ctx::Ctx;
use crate::ids::{seat_of_machine, Now};
use crate::io::{DirectOutcome, Out, Output, ReqId, WorkerReply};
use crate::seat::at_most;
use leaddeal_wire::worker::Report;

impl Node {
    /// Whether workers may be answered. Who hears neither the store nor all siblings can't learn
    /// what was cancelled: it lets its workers go in time for whoever owns its seats by then. (Found
    /// by the simulator: workers stayed with a node that heard nobody for its whole grace; and, seed
    /// 1498, with one that heard a sibling again which knew as little, while the third had cancelled
    /// a job and could not be heard.)
    pub(super) fn may_answer(&self, now: Now) -> bool {
        let uninformed = !self.health.hears_all(now);
        let in_time = self.cfg.cancel_ms.saturating_sub(LET_GO_MS);
        self.lease.in_grace(now) && !(uninformed && now >= self.lease.renewed + at_most(in_time))
    }

    pub(super) fn report(&mut self, out: &mut Out, req: ReqId, r: &Report) {
        let now = out.now;
        let seat = seat_of_machine(&r.machine, self.view.len());
        let grace = self.may_answer(now);
        let owner = self.view[seat.0 as usize].owner;
        let mut c = ctx!(self, out);
        let reply = if let Some(o) = self.owned[seat.0 as usize].as_mut().filter(|_| grace) {
            match o.part.report(&mut c, r) {
                Some(a) => WorkerReply::Answer(a),
                None => WorkerReply::Redirect(None),
            }
        } else {
            match owner {
                Some(o) if o.node != self.me => {
                    WorkerReply::Redirect(Some(self.nodes[o.node.0 as usize].clone()))
                }
                _ => WorkerReply::Unavailable,
            }
        };
        out.list.push(Output::Worker { req, reply });
    }

    pub(super) fn direct_outcome(
        &mut self,
        out: &mut Out,
        machine: &str,
        batch: u64,
        outcome: &DirectOutcome,
    ) {
        let seat = seat_of_machine(machine, self.view.len());
        let mut c = ctx!(self, out);
        let Some(o) = &mut self.owned[seat.0 as usize] else {
            return;
        };
        let (report, unknown) = match outcome {
            DirectOutcome::Executed(r) | DirectOutcome::Refused(r) => (Some(&**r), false),
            DirectOutcome::NotSent => (None, false),
            DirectOutcome::Unknown => (None, true),
        };
        o.part.direct_outcome(&mut c, machine, batch, report, unknown);
    }
}
