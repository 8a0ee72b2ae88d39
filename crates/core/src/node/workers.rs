//! Workers: who may be answered, and what.
use super::detour::Way;
use super::{Node, CALL_MS, MOST_CALLS};
use crate::ctx::Ctx;
use crate::health::lately;
use crate::hearing::Via;
use crate::ids::{shard_of_job, shard_of_machine, JobId, Now, Shard};
use crate::io::{DirectOutcome, Out, Output, ReqId, WorkerReply};
use leaddeal_wire::mesh::NodeMsg;
use leaddeal_wire::worker::Report;

/// The first words of all owners are heard within this time.
const FIRST_WORDS_MS: u64 = 5000;

/// A worker's report that was passed on to the owner of its machine's shard.
#[derive(Debug)]
pub(super) struct Passed {
    pub(super) req: ReqId,
    until: Now,
}

impl Node {
    /// Whether the worker may be answered: what was cancelled of its tasks' jobs is known here up to a
    /// moment from which its lease is over in time (`horizon.rs`), and its machine's shard is still
    /// ours by then. If not, it is let go, for whoever owns that shard by now.
    ///
    /// (Found by the simulator: workers stayed with a node that heard nobody for its whole grace; and,
    /// seed 1498, with one that heard a sibling again which knew as little, while the third had
    /// cancelled a job and could not be heard. Found by the operators: a store that refused one
    /// controller and then all, while workers still reported to that one.)
    fn may_answer(&self, r: &Report, now: Now) -> bool {
        let n = self.view.len();
        let permits = |shard| self.horizons.permits(shard, now);
        let home = shard_of_machine(&r.machine, n);
        if (0..n).all(|i| permits(Shard(i as u8))) {
            return true;
        }
        let listed = r.tasks.iter().filter_map(|t| Some(JobId(t.task?.job)));
        let participant = self.owned[home.0 as usize].as_ref().map(|o| &o.participant);
        let machine = self.names.find_machine(&r.machine);
        let placed = participant.zip(machine).map(|(p, m)| p.jobs_on(m)).into_iter().flatten();
        permits(home) && listed.chain(placed).all(|j| permits(shard_of_job(j, n)))
    }

    /// Says once when workers are let go, and when they are answered again.
    pub(super) fn note_let_go(&mut self, out: &mut Out) {
        let now = out.now;
        let shards = (0..self.view.len()).map(|i| Shard(i as u8));
        let behind: Vec<Shard> = shards.filter(|&s| !self.horizons.permits(s, now)).collect();
        // A process that has just begun has to hear of all first.
        let acts = self.owned.iter().any(Option::is_some) && now >= self.started + FIRST_WORDS_MS;
        let lets_go = !behind.is_empty() && acts;
        if lets_go == std::mem::replace(&mut self.let_go, lets_go) {
            return;
        }
        if !lets_go {
            return out.log(1, "workers_answered", || "all cancellations are known again".into());
        }
        let of = |s: &Shard| {
            let ms = self.horizons.behind_ms(*s, now);
            format!("seat={} behind_ms={}", s.0, ms.map_or("ever".into(), |ms| ms.to_string()))
        };
        let what = behind.iter().map(of).collect::<Vec<_>>().join(" ");
        out.log(1, "workers_let_go", || what);
    }

    pub(super) fn report(&mut self, out: &mut Out, req: ReqId, r: Box<Report>) {
        let reply = self.judge(out, &r, None);
        match reply {
            WorkerReply::Redirect(Some(_)) => self.send_on(out, req, r, reply),
            _ => out.list.push(Output::Worker { req, reply }),
        }
    }

    /// The shard is a sibling's: the worker is sent there, or its report is passed on.
    fn send_on(&mut self, out: &mut Out, req: ReqId, report: Box<Report>, direct: WorkerReply) {
        let now = out.now;
        let shard = shard_of_machine(&report.machine, self.view.len());
        let view = self.view[shard.0 as usize];
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

    /// What the report is worth here: an answer, if its machine's shard is ours.
    pub(super) fn judge(&mut self, out: &mut Out, r: &Report, via: Via) -> WorkerReply {
        let now = out.now;
        let shard = shard_of_machine(&r.machine, self.view.len());
        let may = self.may_answer(r, now);
        let owner = self.view[shard.0 as usize].owner;
        let mut c = ctx!(self, out);
        if let Some(o) = self.owned[shard.0 as usize].as_mut().filter(|_| may) {
            match o.participant.report(&mut c, r, via) {
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
        let shard = shard_of_machine(machine, self.view.len());
        let mut c = ctx!(self, out);
        let Some(o) = &mut self.owned[shard.0 as usize] else {
            return;
        };
        let (report, unknown) = match outcome {
            DirectOutcome::Executed(r) | DirectOutcome::Refused(r) => (Some(&**r), false),
            DirectOutcome::NotSent => (None, false),
            DirectOutcome::Unknown => (None, true),
        };
        o.participant.direct_outcome(&mut c, machine, batch, report, unknown);
    }
}
