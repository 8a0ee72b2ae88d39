//! Workers: who may be answered, and what.
use super::relay::Route;
use super::{Node, CALL_MS, MOST_CALLS};
use crate::context::Context;
use crate::health::lately;
use crate::ids::{shard_of_job, shard_of_machine, JobId, Shard, Timestamp};
use crate::io::{CommandOutcome, Effect, Effects, RequestId, WorkerReply};
use crate::reachability::HeartbeatPath;
use leaddeal_wire::mesh::NodeMessage;
use leaddeal_wire::worker::WorkerHeartbeat;

/// The first words of all owners are heard within this time.
const FIRST_WORDS_MS: u64 = 5000;

/// A worker's report that was passed on to the owner of its machine's shard.
#[derive(Debug)]
pub(super) struct PendingRelay {
    pub(super) req: RequestId,
    until: Timestamp,
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
    fn may_answer(&self, r: &WorkerHeartbeat, now: Timestamp) -> bool {
        let n = self.view.len();
        let permits = |shard| self.horizons.permits_answer(shard, now);
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
    pub(super) fn note_let_go(&mut self, effects: &mut Effects) {
        let now = effects.now;
        let shards = (0..self.view.len()).map(|i| Shard(i as u8));
        let behind: Vec<Shard> =
            shards.filter(|&s| !self.horizons.permits_answer(s, now)).collect();
        // A process that has just begun has to hear of all first.
        let acts = self.owned.iter().any(Option::is_some) && now >= self.started + FIRST_WORDS_MS;
        let lets_go = !behind.is_empty() && acts;
        if lets_go == std::mem::replace(&mut self.let_go, lets_go) {
            return;
        }
        if !lets_go {
            return effects
                .log(1, "workers_answered", || "all cancellations are known again".into());
        }
        let of = |s: &Shard| {
            let ms = self.horizons.age_ms(*s, now);
            format!("seat={} behind_ms={}", s.0, ms.map_or("ever".into(), |ms| ms.to_string()))
        };
        let what = behind.iter().map(of).collect::<Vec<_>>().join(" ");
        effects.log(1, "workers_let_go", || what);
    }

    pub(super) fn report(
        &mut self,
        effects: &mut Effects,
        req: RequestId,
        r: Box<WorkerHeartbeat>,
    ) {
        let reply = self.judge(effects, &r, None);
        match reply {
            WorkerReply::Redirect(Some(_)) => self.send_on(effects, req, r, reply),
            _ => effects.list.push(Effect::Worker { req, reply }),
        }
    }

    /// The shard is a sibling's: the worker is sent there, or its report is passed on.
    fn send_on(
        &mut self,
        effects: &mut Effects,
        req: RequestId,
        report: Box<WorkerHeartbeat>,
        direct: WorkerReply,
    ) {
        let now = effects.now;
        let shard = shard_of_machine(&report.machine, self.view.len());
        let view = self.view[shard.0 as usize];
        let heard = view.owner.filter(|o| lately(self.health.heard()[o.node.0 as usize], now));
        let owner = heard.filter(|_| self.pending_relays.len() < MOST_CALLS);
        let machine = self.names.machine(&report.machine);
        let owner_for = now.saturating_sub(view.owned_since);
        let way =
            owner.map(|_| self.relay_table.way(machine, !report.tasks.is_empty(), owner_for, now));
        let (Some(o), Some(Route::Detour)) = (owner, way) else {
            effects.list.push(Effect::Worker { req, reply: direct });
            return;
        };
        self.next_call += 1;
        let call = self.next_call;
        self.pending_relays.insert(call, PendingRelay { req, until: now + CALL_MS });
        let to = self.nodes[o.node.0 as usize].clone();
        effects.list.push(Effect::Mesh { to, msg: NodeMessage::RelayedHeartbeat { call, report } });
    }

    /// The owner has not answered in time: the worker asks the next node.
    pub(super) fn tick_detours(&mut self, effects: &mut Effects) {
        let now = effects.now;
        while let Some(e) = self.pending_relays.first_entry().filter(|e| now >= e.get().until) {
            let PendingRelay { req, .. } = e.remove();
            effects.list.push(Effect::Worker { req, reply: WorkerReply::Redirect(None) });
        }
    }

    /// What the report is worth here: an answer, if its machine's shard is ours.
    pub(super) fn judge(
        &mut self,
        effects: &mut Effects,
        r: &WorkerHeartbeat,
        via: HeartbeatPath,
    ) -> WorkerReply {
        let now = effects.now;
        let shard = shard_of_machine(&r.machine, self.view.len());
        let may = self.may_answer(r, now);
        let owner = self.view[shard.0 as usize].owner;
        let mut c = ctx!(self, effects);
        if let Some(o) = self.owned[shard.0 as usize].as_mut().filter(|_| may) {
            match o.participant.report(&mut c, r, via) {
                Some(a) => WorkerReply::HeartbeatResponse(a),
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
        effects: &mut Effects,
        machine: &str,
        batch: u64,
        outcome: &CommandOutcome,
    ) {
        let shard = shard_of_machine(machine, self.view.len());
        let mut c = ctx!(self, effects);
        let Some(o) = &mut self.owned[shard.0 as usize] else {
            return;
        };
        let (report, unknown) = match outcome {
            CommandOutcome::Executed(r) | CommandOutcome::Refused(r) => (Some(&**r), false),
            CommandOutcome::NotSent => (None, false),
            CommandOutcome::Unknown => (None, true),
        };
        o.participant.direct_outcome(&mut c, machine, batch, report, unknown);
    }
}
