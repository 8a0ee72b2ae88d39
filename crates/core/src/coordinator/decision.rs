//! The second half of a round: the decision is written under the epoch, then the participants whose
//! offers were selected are told to place the tasks, and all are told that the negotiation is closed.
use super::negotiation::{PendingDecision, SelectedOffer};
use super::place_batch::{PlaceBatch, PlaceTarget};
use super::Coordinator;
use super::Ownership;
use crate::budget::WriteClass;
use crate::context::{Context, Operation};
use crate::guards::{holds, Guard};
use crate::ids::{Attempt, Epoch, NegotiationId, Shard, ZoneIdx};
use crate::io::StoreResult;
use crate::jobs::RequestOutcome;
use crate::keys;
use crate::placed::Placement;
use crate::quota::shard_of_team;
use crate::stored::{DecisionRecord, PlacementRecord};
use crate::writes::{PendingWrite, WriteOutcome};
use leaddeal_wire::mesh::{Assignment, ShardMessage, TaskPhase};
use leaddeal_wire::state::{Change, Condition};

/// Tasks of a decision that was not written are requested again after this time.
const DECISION_RETRY_INTERVAL_MS: u64 = 500;

impl Coordinator {
    /// Writes what was selected as the decision of a new round.
    pub(super) fn begin_decision(
        &mut self,
        ctx: &mut Context,
        negotiation: NegotiationId,
        holders: Vec<Shard>,
        selected: Vec<SelectedOffer>,
    ) {
        let round = self.next_round_id();
        let epoch_of_attempt = if holds(Guard::AttemptEpoch) { self.epoch } else { Epoch(0) };
        let attempt = Attempt::new(epoch_of_attempt, round);
        let (shard, epoch) = (self.shard, self.epoch);
        let slot = self.decision_log.take_slot(|| keys::decision_key(shard, epoch, round));
        self.decision_counts.add(selected.len());
        let value = self.decision_record(ctx, attempt, &selected);
        let put = Change::Put { key: slot.key.clone(), value, lease: None };
        let mut write = self.write(WriteClass::Decision, vec![put]);
        if holds(Guard::DecisionVersion) {
            write = write.with_idempotency_key(slot.key.clone(), slot.version);
        }
        let write = self.conditional_on_grants(ctx, write, &selected);
        self.pending_decision =
            Some(PendingDecision { slot, round, attempt, selected, holders, negotiation, write });
        self.write_decision(ctx);
    }

    /// The stored value of a decision.
    fn decision_record(
        &self,
        ctx: &Context,
        attempt: Attempt,
        selected: &[SelectedOffer],
    ) -> serde_json::Value {
        let placements = selected.iter().map(|choice| PlacementRecord {
            job: choice.job,
            task: choice.task,
            machine: &choice.offer.machine,
            incarnation: choice.offer.incarnation,
            zone: ZoneIdx(choice.offer.zone),
            quota: self.jobs.get(&choice.job).and_then(|job| ctx.team_use(job)),
        });
        DecisionRecord { attempt: attempt.0, placements: placements.collect() }.encode()
    }

    /// A grant of a team's shard ends with the owner that gave it: what is decided under it is written
    /// only if that owner's epoch is the present one.
    fn conditional_on_grants(
        &self,
        ctx: &Context,
        mut write: PendingWrite,
        selected: &[SelectedOffer],
    ) -> PendingWrite {
        for (team, grant) in &self.quota.grants {
            let is_used = selected.iter().any(|choice| {
                let quota = self.jobs.get(&choice.job).and_then(|job| ctx.team_use(job));
                quota.is_some_and(|quota| quota.team == *team)
            });
            if is_used && holds(Guard::GrantEpoch) {
                write = write.with_condition(Condition {
                    key: keys::shard_key(shard_of_team(*team, ctx.shards().count())),
                    version: grant.epoch.0,
                });
            }
        }
        write
    }

    /// Sends the decision to the store if it is time to: a first time, or again.
    pub(super) fn write_decision(&mut self, ctx: &mut Context) {
        let Some(decision) = self.pending_decision.as_mut().filter(|_| ctx.lease_valid) else {
            return;
        };
        if let Some(call) = decision.write.next_call(ctx.now, ctx.budget) {
            ctx.store(Operation::Decide { shard: self.shard, epoch: self.epoch }, call);
        }
    }

    /// Handles the result of the decision's transaction.
    pub fn decision_written(&mut self, ctx: &mut Context, result: &StoreResult) -> Ownership {
        let Some(decision) = &mut self.pending_decision else {
            return Ownership::Kept;
        };
        match decision.write.on_result(ctx.now, result) {
            WriteOutcome::Committed(revision) => self.place_selected(ctx, revision),
            WriteOutcome::Fenced => return Ownership::Lost,
            WriteOutcome::NotCommitted => {
                let slot = decision.slot.clone();
                let slot_changed =
                    matches!(result, StoreResult::Conflict(failed) if failed.contains(&slot.key));
                // Somebody else wrote to it, which nobody does: it is left alone.
                if !slot_changed {
                    self.decision_log.not_written(slot);
                }
                self.give_selected_back(ctx);
            }
            // Whether it was executed is not known: the tick sends it again.
            WriteOutcome::Pending if holds(Guard::DecidedDurable) => {}
            WriteOutcome::Pending => self.place_selected(ctx, 0),
        }
        Ownership::Kept
    }

    /// The decision is durable, in this version of its record: its tasks are placed, and their
    /// participants told.
    fn place_selected(&mut self, ctx: &mut Context, version: u64) {
        let Some(decision) = self.pending_decision.take() else { return };
        let (attempt, round) = (decision.attempt, decision.round);
        let mut live = 0;
        let mut batch = PlaceBatch::default();
        for choice in decision.selected {
            live += u32::from(self.place_task(ctx, attempt, round, choice, &mut batch));
        }
        self.decision_log.open(round, decision.slot.key, Some(version), live);
        for request in batch.into_requests() {
            ctx.send(self.shard, request.target.participant, request.into_message());
        }
        self.close_negotiation(ctx, decision.negotiation, &decision.holders);
        ctx.wake = true;
    }

    /// Places one task and adds it to the batch. False if its job was cancelled while the decision was
    /// being written: no participant has learned of the placement.
    fn place_task(
        &mut self,
        ctx: &mut Context,
        attempt: Attempt,
        round: u64,
        choice: SelectedOffer,
        batch: &mut PlaceBatch,
    ) -> bool {
        let SelectedOffer { job: id, task, participant, offer } = choice;
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        let placement = Placement {
            attempt,
            machine: ctx.names.machine(&offer.machine),
            participant,
            incarnation: offer.incarnation,
            zone: ZoneIdx(offer.zone),
            phase: TaskPhase::Decided,
            round,
            placed_at: ctx.now,
            sent_at: ctx.now,
            stop: None,
            adopted: false,
            quota: ctx.team_use(job),
        };
        if job.cancelled || job.termination.status.is_some() {
            job.give_back(task);
            self.unplaced_jobs.insert(id);
            return false;
        }
        job.placed.insert(task, placement);
        self.unsettled_jobs.insert(id);
        let (machine, incarnation) = (offer.machine, offer.incarnation);
        let assignment = Assignment { task, attempt: attempt.0, machine, incarnation };
        let target = PlaceTarget { participant, job: id, adopt: false };
        batch.add(target, &job.shape.wire, assignment);
        true
    }

    /// The decision was certainly not written: its tasks are to be placed anew.
    fn give_selected_back(&mut self, ctx: &mut Context) {
        let Some(decision) = self.pending_decision.take() else { return };
        for choice in &decision.selected {
            if let Some(job) = self.jobs.get_mut(&choice.job) {
                job.give_back(choice.task);
                job.last_request = Some(RequestOutcome::DecisionNotWritten);
                job.not_before = ctx.now + DECISION_RETRY_INTERVAL_MS;
                self.unplaced_jobs.insert(choice.job);
            }
        }
        self.close_negotiation(ctx, decision.negotiation, &decision.holders);
    }

    /// Tells participants that a negotiation is over: what they hold for it is free again.
    pub(super) fn close_negotiation(
        &self,
        ctx: &mut Context,
        negotiation: NegotiationId,
        holders: &[Shard],
    ) {
        for &participant in holders {
            let message = ShardMessage::CloseNegotiation { negotiation: negotiation.0 };
            ctx.send(self.shard, participant, message);
        }
    }
}
