//! Answers of the state service: each goes to the part that made the call.
use super::Node;
use crate::context::Operation;
use crate::coordinator::Ownership;
use crate::ids::{Epoch, JobId, Shard};
use crate::io::{Effects, StoreResult};

/// Which of a coordinator's writes an answer belongs to.
#[derive(Clone, Copy, Debug)]
enum CoordinatorWrite {
    Decision,
    Compaction,
    Finish(JobId),
}

impl Node {
    pub(super) fn stored(
        &mut self,
        effects: &mut Effects,
        operation: Operation,
        result: StoreResult,
    ) {
        match operation {
            Operation::NewLease { sent } => self.lease_answered(effects, sent, &result),
            Operation::RenewLease { sent, lease } => {
                self.renewal_answered(effects, lease, sent, &result);
            }
            Operation::ListShards => self.shards_listed(effects, &result),
            Operation::WatchShards => self.shards_watched(effects, &result),
            Operation::Acquire { shard } => self.acquisition_answered(effects, shard, &result),
            Operation::Release { shard, epoch } => {
                self.release_answered(effects, shard, epoch, &result);
            }
            Operation::ReadRecords { shard, epoch } => {
                self.records_read(effects, shard, epoch, result);
            }
            Operation::WriteDecision { shard, epoch } => {
                self.written(effects, shard, epoch, CoordinatorWrite::Decision, &result);
            }
            Operation::WriteCompaction { shard, epoch } => {
                self.written(effects, shard, epoch, CoordinatorWrite::Compaction, &result);
            }
            Operation::WriteCancellation { shard, epoch, job } => {
                self.written(effects, shard, epoch, CoordinatorWrite::Finish(job), &result);
            }
            Operation::WriteSubmission { req, id, value } => {
                self.submitted(effects, req, id, &value, &result);
            }
            Operation::ReadJob { lookup } => self.job_read(effects, lookup, &result),
            Operation::ReadTerminalState { lookup } => {
                self.terminal_state_read(effects, lookup, result);
            }
            Operation::ReadTerminalStates { shard, asked } => {
                self.terminal_states_read(effects.now, shard, asked, result);
            }
            Operation::PutOperatorMachines => self.operator_machines_put(effects, &result),
            Operation::GetOperatorMachines => self.operator_machines_read(result),
            Operation::Catalog | Operation::Provisioner(..) => {}
        }
    }

    /// A page or an event of the records that a coordinator reads.
    fn records_read(
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
        self.wake |= context.needs_round;
    }

    /// The answer to a coordinator's write. If that was refused since the shard is another's, it is
    /// lost, and the owners are listed anew.
    fn written(
        &mut self,
        effects: &mut Effects,
        shard: Shard,
        epoch: Epoch,
        write: CoordinatorWrite,
        result: &StoreResult,
    ) {
        let slot = &mut self.owned[shard.0 as usize];
        let Some(active) = slot.as_mut().filter(|active| active.epoch == epoch) else { return };
        let mut context = self.shared.context(effects);
        let coordinator = &mut active.coordinator;
        let ownership = match write {
            CoordinatorWrite::Decision => coordinator.on_decision_result(&mut context, result),
            CoordinatorWrite::Compaction => coordinator.on_compaction_result(&mut context, result),
            CoordinatorWrite::Finish(job) => {
                coordinator.on_cancellation_result(&mut context, job, result)
            }
        };
        self.wake |= context.needs_round;
        if ownership == Ownership::Lost {
            self.drop_shard(effects, shard);
            self.shard_list.relist_from(effects.now);
        }
    }
}
