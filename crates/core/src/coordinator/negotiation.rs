//! The states of a negotiation: offers are requested, some are selected, the decision is written.
use super::decision_log::DecisionSlot;
use crate::ids::{Attempt, JobId, NegotiationId, Shard, Timestamp};
use crate::writes::PendingWrite;
use leaddeal_wire::mesh::Offer;
use std::collections::BTreeSet;

/// One item of a request for offers.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestedJob {
    pub job: JobId,
    /// Tasks that offers were requested for.
    pub count: u32,
}

/// An offer, and the participant that made it.
#[derive(Clone, Debug)]
pub(super) struct ReceivedOffer {
    pub participant: Shard,
    pub offer: Offer,
}

/// Offers are requested and collected.
///
/// Invariant: `unanswered` is a subset of `asked`.
#[derive(Debug)]
pub(super) struct NegotiationState {
    pub id: NegotiationId,
    /// In the order of the request: an offer names its item by the index in it.
    pub requested: Vec<RequestedJob>,
    /// Participants that the request was sent to.
    pub asked: Vec<Shard>,
    /// Participants whose answers are waited for.
    pub unanswered: BTreeSet<Shard>,
    /// In the order in which they were received.
    pub offers: Vec<ReceivedOffer>,
    /// Items for which a participant is making room by preemption.
    pub preempting: BTreeSet<u16>,
    pub started_at: Timestamp,
}

impl NegotiationState {
    /// Records that a participant has answered; false if no answer of it is waited for.
    pub fn take_answer(&mut self, negotiation: u64, participant: Shard) -> bool {
        self.id.0 == negotiation && self.unanswered.remove(&participant)
    }

    /// Adds a participant's offers, and the items for which it makes room.
    pub fn add_offers(&mut self, participant: Shard, offers: Vec<Offer>, preempting: Vec<u16>) {
        self.preempting.extend(preempting);
        let received = offers.into_iter().map(|offer| ReceivedOffer { participant, offer });
        self.offers.extend(received);
    }

    /// The participants that still hold, or may hold, capacity for it: those that have made an offer
    /// or not answered. One that answered without an offer holds nothing.
    pub fn holders(&self) -> Vec<Shard> {
        let offered: BTreeSet<Shard> = self.offers.iter().map(|offer| offer.participant).collect();
        let may_hold = |shard: &Shard| self.unanswered.contains(shard) || offered.contains(shard);
        self.asked.iter().copied().filter(may_hold).collect()
    }
}

/// A task and the offer that was selected for it.
#[derive(Debug)]
pub(super) struct SelectedOffer {
    pub job: JobId,
    pub task: u32,
    pub participant: Shard,
    pub offer: Offer,
}

/// A decision that is being written: no participant learns of it before it is durable.
#[derive(Debug)]
pub(super) struct PendingDecision {
    /// The record that it is written to.
    pub slot: DecisionSlot,
    /// Number of the decision, unique for the coordinator.
    pub round: u64,
    pub attempt: Attempt,
    pub selected: Vec<SelectedOffer>,
    /// Participants to be told that the negotiation is closed.
    pub holders: Vec<Shard>,
    pub negotiation: NegotiationId,
    pub write: PendingWrite,
}
