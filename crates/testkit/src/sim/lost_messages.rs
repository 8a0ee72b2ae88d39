//! Messages between controllers that are lost although no partition separates the two.
use super::Sim;
use crate::tally::peer_message_kind;
use leaddeal_wire::mesh::NodeMessage;

/// A scripted loss: the next `times` messages of this kind are lost.
pub(super) struct MessageLoss {
    pub(super) kind: &'static str,
    pub(super) times: u32,
}

impl Sim {
    /// Draws whether a message between controllers is lost, and counts it if it is.
    pub(super) fn is_peer_message_lost(&mut self, msg: &NodeMessage) -> bool {
        let kind = peer_message_kind(msg);
        let is_lost = self.take_scripted_loss(kind)
            || self.windows.lost_peer_messages.draw(self.now, &mut self.rng);
        if is_lost {
            *self.observations.lost_messages.entry(kind).or_default() += 1;
        }
        is_lost
    }

    /// Returns whether a scripted loss waits for a message of this kind, and counts the message against it.
    fn take_scripted_loss(&mut self, kind: &str) -> bool {
        let Some(loss) = self.message_losses.iter_mut().find(|loss| loss.kind == kind) else {
            return false;
        };
        loss.times -= 1;
        self.message_losses.retain(|loss| loss.times > 0);
        true
    }
}
