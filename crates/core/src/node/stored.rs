//! Routes each answer of the state service to the component that made the call.
use super::Node;
use crate::context::Operation;
use crate::coordinator::Ownership;
use crate::ids::{Epoch, JobId, Shard};
use crate::io::{Effects, StoreResult};

/// The write of a coordinator to which an answer belongs.
#[derive(Clone, Copy, Debug)]
enum CoordinatorWrite {
    Decision,
    Compaction,
    /// The cancellation of this job.
    Cancellation(JobId),
}

impl Node {
    /// Passes the result of a call to the component that made it.
    pub(super) fn route_store_result(
        &mut self,
        effects: &mut Effects,
        operation: Operation,
        result: StoreResult,
    ) {
        match operation {
            Operation::NewLease { sent } => self.on_lease_result(effects, sent, &result),
            Operation::RenewLease { sent, lease } => {
                self.on_renewal_result(effects, lease, sent, &result);
            }
            Operation::ListShards => self.on_shard_list(effects, &result),
            Operation::WatchShards { number } => self.on_shard_watch(effects, number, &result),
            Operation::Acquire { shard, lease } => {
                self.on_acquisition_result(effects, shard, lease, &result);
            }
            Operation::Release { shard, epoch } => {
                self.on_release_result(effects, shard, epoch, &result);
            }
            Operation::ProveOwnership { shard, epoch } => {
                self.on_ownership_result(effects, shard, epoch, &result);
            }
            Operation::ReadRecords { shard, epoch } => {
                self.on_records_read(effects, shard, epoch, result);
            }
            Operation::WriteDecision { shard, epoch } => {
                self.on_coordinator_write(
                    effects,
                    shard,
                    epoch,
                    CoordinatorWrite::Decision,
                    &result,
                );
            }
            Operation::WriteCompaction { shard, epoch } => {
                self.on_coordinator_write(
                    effects,
                    shard,
                    epoch,
                    CoordinatorWrite::Compaction,
                    &result,
                );
            }
            Operation::WriteCancellation { shard, epoch, job } => {
                self.on_coordinator_write(
                    effects,
                    shard,
                    epoch,
                    CoordinatorWrite::Cancellation(job),
                    &result,
                );
            }
            Operation::WriteSubmission { req, id, value } => {
                self.on_submission_result(effects, req, id, &value, &result);
            }
            Operation::ReadJob { lookup } => self.on_job_read(effects, lookup, &result),
            Operation::ReadTerminalState { lookup } => {
                self.on_terminal_state_read(effects, lookup, result);
            }
            Operation::ReadTerminalStates { shard, asked } => {
                self.on_terminal_states_read(effects.now, shard, asked, result);
            }
            Operation::PutOperatorMachines => self.on_operator_machines_put(effects, &result),
            Operation::GetOperatorMachines => self.on_operator_machines_read(result),
            Operation::Catalog | Operation::Provisioner(..) => {}
        }
    }

    /// Handles a page or the events of the records that a coordinator reads.
    fn on_records_read(
        &mut self,
        effects: &mut Effects,
        shard: Shard,
        epoch: Epoch,
        result: StoreResult,
    ) {
        let slot = &mut self.owned[shard.0 as usize];
        let Some(active) = slot.as_mut().filter(|active| active.epoch == epoch) else { return };
        let mut context = self.shared.context(effects);
        active.coordinator.on_records_result(&mut context, result);
        self.needs_round |= context.needs_round;
    }

    /// Handles the answer to a coordinator's write. If it shows that this node has lost the shard, the
    /// shard is dropped and the shards' keys are listed again.
    fn on_coordinator_write(
        &mut self,
        effects: &mut Effects,
        shard: Shard,
        epoch: Epoch,
        write: CoordinatorWrite,
        result: &StoreResult,
    ) {
        let slot = &mut self.owned[shard.0 as usize];
        let Some(active) = slot.as_mut().filter(|active| active.epoch == epoch) else { return };
        if let StoreResult::Committed(revision) = *result {
            active.participant.record_ownership(revision);
        }
        let mut context = self.shared.context(effects);
        let coordinator = &mut active.coordinator;
        let ownership = match write {
            CoordinatorWrite::Decision => coordinator.on_decision_result(&mut context, result),
            CoordinatorWrite::Compaction => coordinator.on_compaction_result(&mut context, result),
            CoordinatorWrite::Cancellation(job) => {
                coordinator.on_cancellation_result(&mut context, job, result)
            }
        };
        self.needs_round |= context.needs_round;
        if ownership == Ownership::Lost {
            self.lose_shard(effects, shard);
        }
    }

    /// Handles the answer to the transaction that only proves the ownership of a shard.
    fn on_ownership_result(
        &mut self,
        effects: &mut Effects,
        shard: Shard,
        epoch: Epoch,
        result: &StoreResult,
    ) {
        let slot = &mut self.owned[shard.0 as usize];
        let Some(active) = slot.as_mut().filter(|active| active.epoch == epoch) else { return };
        active.participant.end_ownership_call();
        match result {
            StoreResult::Committed(revision) => active.participant.record_ownership(*revision),
            StoreResult::Conflict(_) => self.lose_shard(effects, shard),
            _ => {}
        }
    }

    /// Stops acting for a shard that has another owner, and lists the shards' keys again.
    fn lose_shard(&mut self, effects: &mut Effects, shard: Shard) {
        self.drop_shard(effects, shard);
        self.shard_list.relist_from(effects.now);
    }
}
