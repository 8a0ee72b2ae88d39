//! Delivery of messages between shards, within this node and to siblings.
use super::{ActiveShard, Node};
use crate::context::{Context, OutgoingMessage};
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, Shard, PROVISIONER_SHARD};
use crate::io::{Effect, Effects};
use crate::quota::phase::QuotaPhase;
use leaddeal_wire::mesh::{NodeMessage, ShardMessage};

/// Upper bound of delivery rounds after one input. Messages left over are delivered after the next
/// input.
const MAX_DELIVERY_ROUNDS: usize = 50;

/// A message to a shard that this node owns.
pub(super) struct IncomingMessage {
    pub(super) from: Shard,
    /// The epoch under which the sending node owns the shard `from`.
    pub(super) from_epoch: Epoch,
    pub(super) to: Shard,
    pub(super) message: ShardMessage,
}

impl Node {
    /// Delivers messages between shards and starts decision rounds until there is neither a message nor
    /// a coordinator that may have work, in at most [`MAX_DELIVERY_ROUNDS`] iterations.
    pub(super) fn deliver_messages(&mut self, effects: &mut Effects) {
        for _ in 0..MAX_DELIVERY_ROUNDS {
            if std::mem::take(&mut self.needs_round) {
                self.start_rounds(effects);
            }
            while let Some(outgoing) = self.shared.outbox.pop_front() {
                self.dispatch(effects, outgoing);
            }
            self.stop_terminal_jobs(effects);
            for active in self.owned.iter_mut().flatten() {
                active.participant.flush(&mut self.shared.context(effects));
            }
            if self.shared.outbox.is_empty() && !self.needs_round {
                return;
            }
        }
    }

    fn start_rounds(&mut self, effects: &mut Effects) {
        for active in self.owned.iter_mut().flatten() {
            let mut context = self.shared.context(effects);
            active.coordinator.start_round(&mut context);
            self.needs_round |= context.needs_round;
        }
    }

    /// Stops the tasks, on all machines of the owned shards, of jobs that became known to be in a
    /// terminal state.
    fn stop_terminal_jobs(&mut self, effects: &mut Effects) {
        for job in self.shared.horizons.take_newly_terminal() {
            for active in self
                .owned
                .iter_mut()
                .flatten()
                .filter(|_| is_enforced(Guard::TerminalJobStoppedByParticipant))
            {
                active.participant.stop_job(&mut self.shared.context(effects), job);
            }
        }
    }

    /// Delivers a message on this node or sends it to the node that owns the receiving shard. The
    /// message is dropped if this node has lost the sending shard in the meantime, or if no owner of
    /// the receiving shard is known.
    fn dispatch(&mut self, effects: &mut Effects, outgoing: OutgoingMessage) {
        let OutgoingMessage { from, to, message } = outgoing;
        let Some(from_epoch) = self.active_epoch(from) else { return };
        let Some(owner) = self.shared.shard_views.get(to.0 as usize).and_then(|view| view.owner)
        else {
            return;
        };
        if owner.node == self.shared.this_node {
            if self.active_epoch(to) == Some(owner.epoch) {
                self.deliver(effects, IncomingMessage { from, from_epoch, to, message });
            }
            return;
        }
        let msg = NodeMessage::Shard {
            from: from.0,
            from_epoch: from_epoch.0,
            to: to.0,
            to_epoch: owner.epoch.0,
            msg: message,
        };
        effects.push(Effect::Mesh { to: self.shared.node_name(owner.node), msg });
    }

    /// Passes a message to the component of the shard that handles it.
    pub(super) fn deliver(&mut self, effects: &mut Effects, incoming: IncomingMessage) {
        let IncomingMessage { from, from_epoch, to, message } = incoming;
        let mut context = self.shared.context(effects);
        let Some(active) = &mut self.owned[to.0 as usize] else { return };
        match message {
            ShardMessage::RequestOffers { .. }
            | ShardMessage::CloseNegotiation { .. }
            | ShardMessage::Place { .. }
            | ShardMessage::Stop { .. }
            | ShardMessage::Forget { .. } => {
                active.participant.handle(&mut context, from, from_epoch, message);
            }
            ShardMessage::Offers { .. }
            | ShardMessage::AskDecision { .. }
            | ShardMessage::TeamGrant { .. }
            | ShardMessage::CapacityFreed { .. }
            | ShardMessage::TaskEvents { .. } => {
                active.coordinator.handle(&mut context, from, from_epoch, message);
            }
            ShardMessage::Drain { .. }
            | ShardMessage::OperatorMachines { .. }
            | ShardMessage::ResendInventory
            | ShardMessage::Released { .. } => {
                if from == PROVISIONER_SHARD {
                    active.on_provisioner_message(&mut context, to, message);
                }
            }
            ShardMessage::UnmetDemand { .. }
            | ShardMessage::Inventory { .. }
            | ShardMessage::Drained { .. } => {
                if let Some(provisioner) = &mut self.provisioner {
                    provisioner.provisioner.on_message(&mut context, from, message);
                }
            }
            ShardMessage::TeamUsage { serial, usage } => {
                let now = context.now;
                active.quota.set_phase(QuotaPhase::at(context.wall_clock_ms));
                if let Some(granted) = active.quota.report(now, from, from_epoch, serial, &usage) {
                    context.send(to, from, ShardMessage::TeamGrant { serial, granted });
                }
            }
        }
        self.needs_round |= context.needs_round;
    }
}

impl ActiveShard {
    /// Handles a message from the provisioner to this shard's participant.
    fn on_provisioner_message(
        &mut self,
        context: &mut Context,
        shard: Shard,
        message: ShardMessage,
    ) {
        match message {
            ShardMessage::Drain { machine } => self.drain(context, shard, machine),
            ShardMessage::OperatorMachines { newest } => self.participant.last_base = Some(newest),
            ShardMessage::ResendInventory => {
                self.participant.resend_inventory();
                for message in self.participant.inventory(context) {
                    context.send(shard, PROVISIONER_SHARD, message);
                }
            }
            ShardMessage::Released { machine } => self.participant.mark_released(context, &machine),
            _ => {}
        }
    }

    /// Drains an idle machine and confirms this to the provisioner. A machine that has work, or may
    /// get some, is left unchanged.
    fn drain(&mut self, context: &mut Context, shard: Shard, machine: String) {
        if self.participant.drain(context, &machine) {
            context.send(shard, PROVISIONER_SHARD, ShardMessage::Drained { machine });
        }
    }
}
