//! Messages from the sibling controllers, and heartbeats to them.
use super::calls::JobQuery;
use super::delivery::IncomingMessage;
use super::Node;
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, JobId, NodeIdx, Shard, Timestamp};
use crate::io::{Effect, Effects, WorkerReply};
use crate::shard::Owner;
use leaddeal_wire::mesh::{NodeHeartbeat, NodeMessage};
use leaddeal_wire::worker::WorkerHeartbeat;

impl Node {
    /// Sends heartbeats to the siblings that `to` selects: which shards this node owns, and the newest
    /// owners of all shards that it knows. They are sent even while this node's lease is uncertain,
    /// because an older owner's epoch is over in any case.
    pub(super) fn send_heartbeats(&self, effects: &mut Effects, to: impl Fn(NodeIdx) -> bool) {
        let own_assertions = self.own_assertions(effects.now);
        let heartbeat = self.heartbeat(effects.now);
        for (index, name) in self.shared.node_names.iter().enumerate() {
            let node = NodeIdx(index as u8);
            if node == self.shared.this_node || !to(node) {
                continue;
            }
            let mut heartbeat = heartbeat.clone();
            let horizons = &self.shared.horizons;
            horizons.add_to_heartbeat(
                node,
                &own_assertions,
                &self.shared.shard_views,
                effects.now,
                &mut heartbeat,
            );
            let msg = NodeMessage::Heartbeat(heartbeat);
            effects.push(Effect::Mesh { to: name.clone(), msg });
        }
    }

    /// Returns the part of a heartbeat that is the same for all siblings.
    fn heartbeat(&self, now: Timestamp) -> NodeHeartbeat {
        let owned = self.owned_shards().iter().map(|(shard, epoch)| (shard.0, epoch.0)).collect();
        let views = self.shared.shard_views.iter().enumerate();
        let known = views.filter_map(|(shard, view)| {
            let newest = view.newest_owner?;
            Some((shard as u8, newest.node.0, newest.epoch.0))
        });
        NodeHeartbeat {
            owned,
            known_owners: known.collect(),
            ready: self.is_ready(now),
            ..NodeHeartbeat::default()
        }
    }

    /// Handles a sibling's heartbeat.
    fn on_node_heartbeat(
        &mut self,
        effects: &mut Effects,
        from: NodeIdx,
        heartbeat: &NodeHeartbeat,
    ) {
        let owned = heartbeat.owned.iter().map(|&(shard, epoch)| (shard, from.0, epoch));
        for (shard, node, epoch) in owned.chain(heartbeat.known_owners.iter().copied()) {
            let claimed = Owner { node: NodeIdx(node), boot: 0, epoch: Epoch(epoch) };
            self.on_owner_claim(effects, Shard(shard), claimed);
        }
        self.shared.health.record_heartbeat(from, heartbeat);
        if self.shared.horizons.on_heartbeat(from, heartbeat, &self.shared.shard_views, effects.now)
        {
            self.send_heartbeats(effects, |node| node == from);
        }
        let own_assertions = self.own_assertions(effects.now);
        self.shared.horizons.advance(&own_assertions, &self.shared.shard_views, effects.now);
        for active in self.owned.iter_mut().flatten() {
            if self.shared.health.all_siblings_know_epoch(active.participant.shard, active.epoch) {
                active.participant.on_previous_owners_relinquished(effects.now);
            }
        }
    }

    /// Handles a sibling's claim that a node owns a shard under that epoch.
    ///
    /// An owner that can't reach the state service learns in this way that its epoch is over, from the
    /// new owner or from any sibling that knows the new owner, and redirects the workers to it. The
    /// claim of another sibling is needed because the new owner may name no shards (simulator seed
    /// 1498): it had stalled and lost its lease, and the previous owner kept answering workers whose
    /// tasks had been cancelled in the meantime.
    fn on_owner_claim(&mut self, effects: &mut Effects, shard: Shard, claimed: Owner) {
        let known_node = (claimed.node.0 as usize) < self.shared.node_names.len();
        let view = self.shared.shard_views.get_mut(shard.0 as usize);
        let Some(view) = view.filter(|_| known_node) else { return };
        // This node knows its own present and former epochs already.
        if claimed.node == self.shared.this_node || !view.accept_claim(claimed, effects.now) {
            return;
        }
        if self.active_epoch(shard).is_some() && is_enforced(Guard::HeartbeatEndsOwnership) {
            self.drop_shard(effects, shard);
        }
        self.propagate_owners();
    }

    /// Handles a message from another controller. A message from a node that the settings don't name is
    /// ignored.
    pub(super) fn on_mesh_message(&mut self, effects: &mut Effects, from: &str, msg: NodeMessage) {
        let Some(index) = self.shared.node_names.iter().position(|name| name == from) else {
            return;
        };
        let node = NodeIdx(index as u8);
        self.shared.health.record_contact(node, effects.now);
        match msg {
            NodeMessage::Heartbeat(heartbeat) => self.on_node_heartbeat(effects, node, &heartbeat),
            NodeMessage::Shard { from, from_epoch, to, to_epoch, msg } => {
                let (from, to, from_epoch) = (Shard(from), Shard(to), Epoch(from_epoch));
                let incoming = IncomingMessage { from, from_epoch, to, message: msg };
                self.on_shard_message(effects, Epoch(to_epoch), incoming);
            }
            NodeMessage::QueryJob { call, job, cancel } => {
                self.answer_job_query(effects, from, call, JobQuery { id: JobId(job), cancel });
            }
            NodeMessage::JobAnswer { call, answer } => self.on_job_answer(effects, call, answer),
            NodeMessage::RelayedHeartbeat { call, report: heartbeat } => {
                self.answer_relayed_heartbeat(effects, node, call, &heartbeat);
            }
            NodeMessage::RelayedResponse { call, answer } => {
                self.on_relay_answer(effects, call, answer);
            }
            NodeMessage::ReclaimShard { shard } => {
                if shard as usize == index {
                    self.begin_handover(Shard(shard), effects.now);
                }
            }
        }
    }

    /// Handles a message to a shard that this node owns. It is dropped if it was sent to another epoch
    /// of the shard, or if a newer epoch of the sending shard is known.
    fn on_shard_message(
        &mut self,
        effects: &mut Effects,
        to_epoch: Epoch,
        incoming: IncomingMessage,
    ) {
        let shards = self.shared.shard_count();
        if incoming.from.0 as usize >= shards || incoming.to.0 as usize >= shards {
            return;
        }
        let sender = self.shared.owner(incoming.from);
        let is_outdated = sender.is_some_and(|owner| owner.epoch > incoming.from_epoch);
        if self.active_epoch(incoming.to) == Some(to_epoch)
            && (!is_outdated || !is_enforced(Guard::OutdatedSenderRejected))
        {
            self.deliver(effects, incoming);
        }
    }

    /// Answers a heartbeat that a sibling relays because the worker does not reach this node.
    fn answer_relayed_heartbeat(
        &mut self,
        effects: &mut Effects,
        via: NodeIdx,
        call: u64,
        heartbeat: &WorkerHeartbeat,
    ) {
        let answer = match self.answer_heartbeat(effects, heartbeat, Some(via)) {
            WorkerReply::HeartbeatResponse(response) => Some(response),
            WorkerReply::Redirect(_) | WorkerReply::Unavailable => None,
        };
        let to = self.shared.node_name(via);
        effects.push(Effect::Mesh { to, msg: NodeMessage::RelayedResponse { call, answer } });
    }
}
