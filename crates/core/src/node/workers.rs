//! Workers: who may be answered, and what.
use super::detour::Way;
use super::{Node, CALL_MS, LET_GO_MS, MOST_CALLS};
use crate::ctx::Ctx;
use crate::health::lately;
use crate::hearing::Via;
use crate::ids::{seat_of_machine, Now};
use crate::io::{DirectOutcome, Out, Output, ReqId, WorkerReply};
use crate::seat::at_most;
use leaddeal_wire::mesh::NodeMsg;
use leaddeal_wire::worker::Report;

/// A worker's report that was passed on to the owner of its machine's seat.
#[derive(Debug)]
pub(super) struct Passed {
    pub(super) req: ReqId,
    until: Now,
}

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

    pub(super) fn report(&mut self, out: &mut Out, req: ReqId, r: Box<Report>) {
        let reply = self.judge(out, &r, None);
        match reply {
            WorkerReply::Redirect(Some(_)) => self.send_on(out, req, r, reply),
            _ => out.list.push(Output::Worker { req, reply }),
        }
    }

    /// The seat is a sibling's: the worker is sent there, or its report is passed on.
    fn send_on(&mut self, out: &mut Out, req: ReqId, report: Box<Report>, direct: WorkerReply) {
        let now = out.now;
        let seat = seat_of_machine(&report.machine, self.view.len());
        let view = self.view[seat.0 as usize];
        let heard = view.owner.filter(|o| lately(self.health.heard()[o.node.0 as usize], now));
        let owner = heard.filter(|_| self.passed.len() < MOST_CALLS);
        let machine = self.names.machine(&report.machine);
        let owner_for = now.saturating_sub(view.owned_since);
        let way =
            owner.map(|_| self.detours.way(machine, !report.tasks.is_empty(), owner_for, now));
        let (Some(o), Some(Way::Detour)) = (owner, way) else {
            out.list.push(Output::Worker { req, reply: direct });
            return;
        };
        self.next_call += 1;
        let call = self.next_call;
        self.passed.insert(call, Passed { req, until: now + CALL_MS });
        let to = self.nodes[o.node.0 as usize].clone();
        out.list.push(Output::Mesh { to, msg: NodeMsg::Report { call, report } });
    }

    /// The owner has not answered in time: the worker asks the next node.
    pub(super) fn tick_detours(&mut self, out: &mut Out) {
        let now = out.now;
        while let Some(e) = self.passed.first_entry().filter(|e| now >= e.get().until) {
            let Passed { req, .. } = e.remove();
            out.list.push(Output::Worker { req, reply: WorkerReply::Redirect(None) });
        }
    }

    /// What the report is worth here: an answer, if its machine's seat is ours.
    pub(super) fn judge(&mut self, out: &mut Out, r: &Report, via: Via) -> WorkerReply {
        let now = out.now;
        let seat = seat_of_machine(&r.machine, self.view.len());
        let grace = self.may_answer(now);
        let owner = self.view[seat.0 as usize].owner;
        let mut c = ctx!(self, out);
        if let Some(o) = self.owned[seat.0 as usize].as_mut().filter(|_| grace) {
            match o.part.report(&mut c, r, via) {
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
        }
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
