//! The second half of a round: writes the decision under the coordinator's epoch, then tells the
//! participants whose offers were selected to place the tasks, and closes the negotiation.
use super::negotiation::{PendingDecision, SelectedOffer};
use super::place_batch::{PlaceBatch, PlaceTarget};
use super::Coordinator;
use super::Ownership;
use crate::budget::WriteClass;
use crate::context::{Context, Operation};
use crate::guards::{is_enforced, Guard};
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

/// Delay before the tasks of a decision that was not written are requested again.
const DECISION_RETRY_INTERVAL_MS: u64 = 500;

impl Coordinator {
    /// Starts to write the decision of a new round with the selected offers.
    pub(super) fn begin_decision(
        &mut self,
        ctx: &mut Context,
        negotiation: NegotiationId,
        holders: Vec<Shard>,
        selected: Vec<SelectedOffer>,
    ) {
        let round = self.next_round_id();
        let epoch_of_attempt =
            if is_enforced(Guard::AttemptNumberIncludesEpoch) { self.epoch } else { Epoch(0) };
        let attempt = Attempt::new(epoch_of_attempt, round);
        let (shard, epoch) = (self.shard, self.epoch);
        let slot = self.decision_log.take_slot(|| keys::decision_key(shard, epoch, round));
        self.decision_counts.add(selected.len());
        let value = self.decision_record(ctx, attempt, &selected);
        let put = Change::Put { key: slot.key.clone(), value, lease: None };
        let mut write = self.fenced_write(WriteClass::Decision, vec![put]);
        if is_enforced(Guard::DecisionWrittenOnce) {
            write = write.with_idempotency_key(slot.key.clone(), slot.version);
        }
        let write = self.conditional_on_grants(ctx, write, &selected);
        self.pending_decision =
            Some(PendingDecision { slot, round, attempt, selected, holders, negotiation, write });
        self.write_decision(ctx);
    }

    /// Returns the stored value of a decision.
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
            quota: self.jobs.get(&choice.job).and_then(|job| ctx.quota_use(job)),
        });
        DecisionRecord { attempt: attempt.0, placements: placements.collect() }.encode()
    }

    /// Makes the write conditional on the epochs of the quota managers whose grants it uses. A
    /// grant ends with the owner of the team's shard that gave it: a new owner grants the quota
    /// anew, so a decision under the old grant could exceed it.
    fn conditional_on_grants(
        &self,
        ctx: &Context,
        mut write: PendingWrite,
        selected: &[SelectedOffer],
    ) -> PendingWrite {
        for (team, grant) in &self.quota.grants {
            let is_used = selected.iter().any(|choice| {
                let quota = self.jobs.get(&choice.job).and_then(|job| ctx.quota_use(job));
                quota.is_some_and(|quota| quota.team == *team)
            });
            if is_used && is_enforced(Guard::GrantBoundToEpoch) {
                write = write.with_condition(Condition {
                    key: keys::shard_key(shard_of_team(*team, ctx.shards().count())),
                    version: grant.epoch.0,
                });
            }
        }
        write
    }

    /// Sends the pending decision to the store if a first try or a retry is due.
    pub(super) fn write_decision(&mut self, ctx: &mut Context) {
        let Some(decision) = self.pending_decision.as_mut().filter(|_| ctx.lease_valid) else {
            return;
        };
        if let Some(call) = decision.write.next_call(ctx.now, ctx.budget) {
            ctx.call_store(Operation::WriteDecision { shard: self.shard, epoch: self.epoch }, call);
        }
    }

    /// Handles the result of the decision's transaction.
    pub fn on_decision_result(&mut self, ctx: &mut Context, result: &StoreResult) -> Ownership {
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
                // Only this coordinator writes to the slot. If its version changed all the same,
                // the slot is not reused.
                if !slot_changed {
                    self.decision_log.return_slot(slot);
                }
                self.give_selected_back(ctx);
            }
            // Unknown whether it was executed: the tick retries it.
            WriteOutcome::Pending if is_enforced(Guard::DecisionDurableBeforeStart) => {}
            WriteOutcome::Pending => self.place_selected(ctx, 0),
        }
        Ownership::Kept
    }

    /// Places the tasks of the pending decision and tells their participants. The decision is
    /// durable, and its record has this version.
    fn place_selected(&mut self, ctx: &mut Context, version: u64) {
        let Some(decision) = self.pending_decision.take() else { return };
        let (attempt, round) = (decision.attempt, decision.round);
        let mut live = 0;
        let mut batch = PlaceBatch::default();
        for choice in decision.selected {
            live += u32::from(self.place_task(ctx, attempt, round, choice, &mut batch));
        }
        self.decision_log.add(round, decision.slot.key, Some(version), live);
        for request in batch.into_requests() {
            ctx.send(self.shard, request.target.participant, request.into_message());
        }
        self.close_negotiation(ctx, decision.negotiation, &decision.holders);
        ctx.needs_round = true;
    }

    /// Places one task and adds it to the batch. Returns false if the job was cancelled while the
    /// decision was being written: no participant has been told of the placement, so it is dropped.
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
        let mut placement = Placement {
            attempt,
            machine: ctx.names.machine(&offer.machine),
            participant,
            incarnation: offer.incarnation,
            zone: ZoneIdx(offer.zone),
            phase: TaskPhase::Decided,
            round,
            placed_at: ctx.now,
            sent_at: 0,
            sent_to: Epoch(0),
            reported_by: Epoch(0),
            awaits_report: false,
            stop: None,
            adopted: false,
            quota: ctx.quota_use(job),
        };
        if job.cancelled || job.termination.status.is_some() {
            job.return_task(task);
            self.unplaced_jobs.insert(id);
            return false;
        }
        placement.record_sent(ctx.owner_epoch(participant), ctx.now);
        job.placed.insert(task, placement);
        self.unsettled_jobs.insert(id);
        let (machine, incarnation) = (offer.machine, offer.incarnation);
        let assignment = Assignment { task, attempt: attempt.0, machine, incarnation };
        let target = PlaceTarget { participant, job: id, adopt: false };
        batch.add(target, &job.shape.wire, assignment);
        true
    }

    /// Returns the tasks of the pending decision, which was certainly not written, to their jobs.
    fn give_selected_back(&mut self, ctx: &mut Context) {
        let Some(decision) = self.pending_decision.take() else { return };
        for choice in &decision.selected {
            if let Some(job) = self.jobs.get_mut(&choice.job) {
                job.return_task(choice.task);
                job.last_request_outcome = Some(RequestOutcome::DecisionNotWritten);
                job.not_before = ctx.now + DECISION_RETRY_INTERVAL_MS;
                self.unplaced_jobs.insert(choice.job);
            }
        }
        self.close_negotiation(ctx, decision.negotiation, &decision.holders);
    }

    /// Tells participants that a negotiation is closed, so that they release their holds for it.
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
