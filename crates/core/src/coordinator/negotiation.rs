//! The two states of a negotiation: offers are being collected ([`NegotiationState`]), then the
//! decision is being written ([`PendingDecision`]).
use super::decision_log::DecisionSlot;
use crate::ids::{Attempt, JobId, NegotiationId, Shard, Timestamp};
use crate::writes::PendingWrite;
use leaddeal_wire::mesh::Offer;
use std::collections::BTreeSet;

/// One item of a request for offers: a job that has tasks to place.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestedJob {
    pub job: JobId,
    /// Number of tasks for which offers were requested.
    pub count: u32,
}

/// An offer with the participant that made it.
#[derive(Clone, Debug)]
pub(super) struct ReceivedOffer {
    pub participant: Shard,
    pub offer: Offer,
}

/// A negotiation whose offers are being collected.
///
/// Invariant: `unanswered` is a subset of `participants`.
#[derive(Debug)]
pub(super) struct NegotiationState {
    pub id: NegotiationId,
    /// The items of the request, in its order: an offer refers to its item by the index.
    pub requested: Vec<RequestedJob>,
    /// Participants that the request was sent to.
    pub participants: Vec<Shard>,
    /// Participants that have not answered yet.
    pub unanswered: BTreeSet<Shard>,
    /// The offers, in the order in which they were received.
    pub offers: Vec<ReceivedOffer>,
    /// Items for which a participant is freeing capacity by preemption.
    pub preempting: BTreeSet<u16>,
    pub started_at: Timestamp,
}

impl NegotiationState {
    /// Records that a participant has answered; returns false if its answer is not awaited.
    pub fn take_answer(&mut self, negotiation: u64, participant: Shard) -> bool {
        self.id.0 == negotiation && self.unanswered.remove(&participant)
    }

    /// Adds a participant's offers, and the items for which it is freeing capacity.
    pub fn add_offers(&mut self, participant: Shard, offers: Vec<Offer>, preempting: Vec<u16>) {
        self.preempting.extend(preempting);
        let received = offers.into_iter().map(|offer| ReceivedOffer { participant, offer });
        self.offers.extend(received);
    }

    /// Returns the participants that hold or may hold capacity for the negotiation: those that have
    /// made an offer or have not answered. One that answered without an offer holds nothing.
    pub fn holders(&self) -> Vec<Shard> {
        let offered: BTreeSet<Shard> = self.offers.iter().map(|offer| offer.participant).collect();
        let may_hold = |shard: &Shard| self.unanswered.contains(shard) || offered.contains(shard);
        self.participants.iter().copied().filter(may_hold).collect()
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

/// A decision that is being written. No participant is told of it before it is durable.
#[derive(Debug)]
pub(super) struct PendingDecision {
    /// The record to which it is written.
    pub slot: DecisionSlot,
    /// Number of the decision, unique within the coordinator.
    pub round: u64,
    pub attempt: Attempt,
    pub selected: Vec<SelectedOffer>,
    /// Participants to tell that the negotiation is closed.
    pub holders: Vec<Shard>,
    pub negotiation: NegotiationId,
    pub write: PendingWrite,
}
