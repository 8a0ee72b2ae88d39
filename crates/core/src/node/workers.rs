//! Heartbeats of workers: which of them this node may answer, relay or redirect.
use super::relay::{MisdirectedHeartbeat, Route};
use super::Node;
use crate::ids::{shard_of_job, shard_of_machine, JobId, NodeIdx, Shard, Timestamp};
use crate::io::{CommandOutcome, Effect, Effects, LogLevel, RequestId, WorkerReply};
use crate::reachability::HeartbeatPath;
use leaddeal_wire::worker::WorkerHeartbeat;

/// Time after the start of a process within which it receives the first heartbeats of all shard
/// owners, in ms.
const FIRST_HEARTBEATS_MS: u64 = 5000;

impl Node {
    /// Whether the worker may be answered. An answer renews the worker's lease, so the cancellations of
    /// its tasks' jobs must be known here up to a time that is recent enough for the lease to expire
    /// before a cancelled task must be gone (see `horizon.rs`). The same condition on the machine's own
    /// shard ensures that this node still owned it at such a time. A worker that is not answered turns
    /// to the node that owns its machine's shard by now.
    ///
    /// Without this condition, workers that ran cancelled tasks stayed with a node that
    /// - received nothing from any sibling for its whole grace period;
    /// - received heartbeats again of a sibling that knew as little, while the third controller, which
    ///   had cancelled a job, was unreachable (simulator seed 1498);
    /// - still received heartbeats of workers while the store refused first this controller and then
    ///   all of them.
    fn can_answer_worker(&self, heartbeat: &WorkerHeartbeat, now: Timestamp) -> bool {
        let shards = self.shared.shard_count();
        let permits = |shard| self.shared.horizons.permits_answer(shard, now);
        let machine_shard = shard_of_machine(&heartbeat.machine, shards);
        if self.shared.shards().all(permits) {
            return true;
        }
        let reported = heartbeat.tasks.iter().filter_map(|task| Some(JobId(task.task?.job)));
        let participant =
            self.owned[machine_shard.0 as usize].as_ref().map(|active| &active.participant);
        let machine = self.shared.names.find_machine(&heartbeat.machine);
        let placed = participant
            .zip(machine)
            .map(|(participant, machine)| participant.jobs_on(machine))
            .into_iter()
            .flatten();
        permits(machine_shard)
            && reported.chain(placed).all(|job| permits(shard_of_job(job, shards)))
    }

    /// Logs once when this node begins to refuse heartbeats, and once when it answers all again.
    pub(super) fn log_refused_heartbeats(&mut self, effects: &mut Effects) {
        let now = effects.now;
        let horizons = &self.shared.horizons;
        let behind: Vec<Shard> =
            self.shared.shards().filter(|&shard| !horizons.permits_answer(shard, now)).collect();
        // A process that has just started first has to receive heartbeats of all shard owners.
        let is_active = self.owned.iter().any(Option::is_some)
            && now >= self.timers.started_at + FIRST_HEARTBEATS_MS;
        let refused = !behind.is_empty() && is_active;
        if refused == std::mem::replace(&mut self.heartbeats_refused, refused) {
            return;
        }
        if !refused {
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

    /// Handles a heartbeat that a worker sent to this node: answers it, relays it to the owner of the
    /// machine's shard, or refuses it.
    pub(super) fn on_heartbeat(
        &mut self,
        effects: &mut Effects,
        req: RequestId,
        heartbeat: Box<WorkerHeartbeat>,
    ) {
        let reply = self.answer_heartbeat(effects, &heartbeat, None);
        if matches!(reply, WorkerReply::Redirect(Some(_))) {
            if let Some(owner) = self.owner_to_relay_to(&heartbeat, effects.now) {
                return self.relay_heartbeat(effects, owner, req, heartbeat);
            }
        }
        effects.push(Effect::Worker { req, reply });
    }

    /// Returns the sibling to which the worker's heartbeat is to be relayed, because the worker does
    /// not reach it; `None`: the worker is redirected instead.
    fn owner_to_relay_to(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        now: Timestamp,
    ) -> Option<NodeIdx> {
        let shard = shard_of_machine(&heartbeat.machine, self.shared.shard_count());
        let view = self.shared.shard_views[shard.0 as usize];
        let reachable_owner =
            view.owner.filter(|owner| self.shared.health.is_reachable(owner.node, now));
        let machine = self.shared.names.machine(&heartbeat.machine);
        let owner = reachable_owner.filter(|_| self.calls.can_relay())?;
        let misdirected = MisdirectedHeartbeat {
            machine,
            has_tasks: !heartbeat.tasks.is_empty(),
            owner_age_ms: now.saturating_sub(view.owned_since),
        };
        (self.relay_table.route(misdirected, now) == Route::Relayed).then_some(owner.node)
    }

    /// Returns the reply to a worker's heartbeat: the participant's response if this node owns the
    /// machine's shard and may answer, else a redirect to the owner if it is known. `via` is the
    /// sibling that relayed the heartbeat; `None`: it came directly.
    pub(super) fn answer_heartbeat(
        &mut self,
        effects: &mut Effects,
        heartbeat: &WorkerHeartbeat,
        via: HeartbeatPath,
    ) -> WorkerReply {
        let shard = shard_of_machine(&heartbeat.machine, self.shared.shard_count());
        let may_answer = self.can_answer_worker(heartbeat, effects.now);
        if let Some(active) = self.owned[shard.0 as usize].as_mut().filter(|_| may_answer) {
            let mut context = self.shared.context(effects);
            return match active.participant.handle_heartbeat(&mut context, heartbeat, via) {
                Some(response) => WorkerReply::HeartbeatResponse(response),
                None => WorkerReply::Redirect(None),
            };
        }
        match self.shared.owner(shard) {
            Some(owner) if owner.node != self.shared.this_node => {
                WorkerReply::Redirect(Some(self.shared.node_name(owner.node)))
            }
            _ => WorkerReply::Unavailable,
        }
    }

    /// Handles the outcome of commands that were sent to a worker.
    pub(super) fn on_command_outcome(
        &mut self,
        effects: &mut Effects,
        machine: &str,
        batch: u64,
        outcome: &CommandOutcome,
    ) {
        let shard = shard_of_machine(machine, self.shared.shard_count());
        let Some(active) = &mut self.owned[shard.0 as usize] else { return };
        let mut context = self.shared.context(effects);
        active.participant.handle_batch_outcome(&mut context, machine, batch, outcome);
    }
}
