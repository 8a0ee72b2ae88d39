//! Workers: which of them may be answered, and what.
use super::relay::{Route, WorkerVisit};
use super::Node;
use crate::ids::{shard_of_job, shard_of_machine, JobId, NodeIdx, Shard, Timestamp};
use crate::io::{CommandOutcome, Effect, Effects, LogLevel, RequestId, WorkerReply};
use crate::reachability::HeartbeatPath;
use leaddeal_wire::worker::WorkerHeartbeat;

/// The first heartbeats of all owners are received within this time after a start.
const FIRST_HEARTBEATS_MS: u64 = 5000;

impl Node {
    /// Whether the worker may be answered: what was cancelled of its tasks' jobs is known here up to a
    /// moment from which its lease is over in time (`horizon.rs`), and its machine's shard is still
    /// ours by then. If not, it is relinquished, for the node that owns that shard by now.
    ///
    /// (Found by the simulator: workers stayed with a node that heard no sibling for its whole grace;
    /// and, seed 1498, with one that heard a sibling again which knew as little, while the third had
    /// cancelled a job and was unreachable. Found by the operators: a store that refused one
    /// controller and then all, while workers still reported to that one.)
    fn may_answer(&self, report: &WorkerHeartbeat, now: Timestamp) -> bool {
        let shards = self.shared.shard_count();
        let permits = |shard| self.shared.horizons.permits_answer(shard, now);
        let home = shard_of_machine(&report.machine, shards);
        if self.shared.shards().all(permits) {
            return true;
        }
        let listed = report.tasks.iter().filter_map(|task| Some(JobId(task.task?.job)));
        let participant = self.owned[home.0 as usize].as_ref().map(|active| &active.participant);
        let machine = self.shared.names.find_machine(&report.machine);
        let placed = participant
            .zip(machine)
            .map(|(participant, machine)| participant.jobs_on(machine))
            .into_iter()
            .flatten();
        permits(home) && listed.chain(placed).all(|job| permits(shard_of_job(job, shards)))
    }

    /// Logs once when workers are relinquished, and when they are answered again.
    pub(super) fn log_relinquished_workers(&mut self, effects: &mut Effects) {
        let now = effects.now;
        let horizons = &self.shared.horizons;
        let behind: Vec<Shard> =
            self.shared.shards().filter(|&shard| !horizons.permits_answer(shard, now)).collect();
        // A process that has just begun has to receive heartbeats of all owners first.
        let acts = self.owned.iter().any(Option::is_some)
            && now >= self.timers.started + FIRST_HEARTBEATS_MS;
        let relinquished = !behind.is_empty() && acts;
        if relinquished == std::mem::replace(&mut self.workers_relinquished, relinquished) {
            return;
        }
        if !relinquished {
            return effects.log(LogLevel::Info, "heartbeats_answered", || {
                "all cancellations are known again".into()
            });
        }
        let describe = |shard: &Shard| {
            let behind_ms = horizons.age_ms(*shard, now);
            let behind_ms = behind_ms.map_or("ever".into(), |ms| ms.to_string());
            format!("shard={} behind_ms={behind_ms}", shard.0)
        };
        let details = behind.iter().map(describe).collect::<Vec<_>>().join(" ");
        effects.log(LogLevel::Info, "heartbeats_refused", || details);
    }

    /// A worker's heartbeat that came straight from it.
    pub(super) fn worker_heartbeat(
        &mut self,
        effects: &mut Effects,
        req: RequestId,
        report: Box<WorkerHeartbeat>,
    ) {
        let reply = self.answer_heartbeat(effects, &report, None);
        if matches!(reply, WorkerReply::Redirect(Some(_))) {
            if let Some(owner) = self.owner_to_relay_to(&report, effects.now) {
                return self.relay_heartbeat(effects, owner, req, report);
            }
        }
        effects.push(Effect::Worker { req, reply });
    }

    /// The sibling that a worker's heartbeat is to be passed on to, since the worker does not reach
    /// it; none: the worker is sent there.
    fn owner_to_relay_to(&mut self, report: &WorkerHeartbeat, now: Timestamp) -> Option<NodeIdx> {
        let shard = shard_of_machine(&report.machine, self.shared.shard_count());
        let view = self.shared.shard_views[shard.0 as usize];
        let heard = view.owner.filter(|owner| self.shared.health.hears(owner.node, now));
        let machine = self.shared.names.machine(&report.machine);
        let owner = heard.filter(|_| self.calls.may_relay())?;
        let visit = WorkerVisit {
            machine,
            busy: !report.tasks.is_empty(),
            owner_for_ms: now.saturating_sub(view.owned_since),
        };
        (self.relay_table.route(visit, now) == Route::Relayed).then_some(owner.node)
    }

    /// The answer to a worker's heartbeat: the participant's, if its machine's shard is ours.
    pub(super) fn answer_heartbeat(
        &mut self,
        effects: &mut Effects,
        report: &WorkerHeartbeat,
        via: HeartbeatPath,
    ) -> WorkerReply {
        let shard = shard_of_machine(&report.machine, self.shared.shard_count());
        let may_answer = self.may_answer(report, effects.now);
        if let Some(active) = self.owned[shard.0 as usize].as_mut().filter(|_| may_answer) {
            let mut context = self.shared.context(effects);
            return match active.participant.handle_heartbeat(&mut context, report, via) {
                Some(response) => WorkerReply::HeartbeatResponse(response),
                None => WorkerReply::Redirect(None),
            };
        }
        match self.shared.owner(shard) {
            Some(owner) if owner.node != self.shared.me => {
                WorkerReply::Redirect(Some(self.shared.node_name(owner.node)))
            }
            _ => WorkerReply::Unavailable,
        }
    }

    /// What became of commands that were sent to a worker.
    pub(super) fn command_outcome(
        &mut self,
        effects: &mut Effects,
        machine: &str,
        batch: u64,
        outcome: &CommandOutcome,
    ) {
        let shard = shard_of_machine(machine, self.shared.shard_count());
        let Some(active) = &mut self.owned[shard.0 as usize] else { return };
        let (report, unknown) = match outcome {
            CommandOutcome::Executed(report) | CommandOutcome::Refused(report) => {
                (Some(&**report), false)
            }
            CommandOutcome::NotSent => (None, false),
            CommandOutcome::Unknown => (None, true),
        };
        let mut context = self.shared.context(effects);
        active.participant.handle_batch_outcome(&mut context, machine, batch, report, unknown);
    }
}
