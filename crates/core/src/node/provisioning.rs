//! The provisioner's calls and their answers, while this node owns its shard.
use super::Node;
use crate::context::{Operation, ProvisionerOperation};
use crate::ids::Epoch;
use crate::io::{CloudResult, Effects, StoreCall, StoreResult};
use crate::keys;
use crate::provisioner::Provisioner;
use crate::stored::OperatorMachinesRecord;

/// The provisioner, which is here while this node owns `PROVISIONER_SHARD`.
#[derive(Debug)]
pub(super) struct ActiveProvisioner {
    /// The epoch of its shard: answers to calls under other epochs are not for it.
    pub(super) epoch: Epoch,
    pub(super) provisioner: Provisioner,
}

impl Node {
    /// The cloud's answer to a call that the provisioner of that epoch made.
    pub(super) fn provisioner_answered(
        &mut self,
        effects: &mut Effects,
        epoch: Epoch,
        operation: ProvisionerOperation,
        result: CloudResult,
    ) {
        let Some(active) = self.provisioner.as_mut().filter(|p| p.epoch == epoch) else { return };
        active.provisioner.on_cloud_result(&mut self.shared.context(effects), operation, result);
    }

    /// The record of the newest machine of the operator was created, or was there: it is read back.
    pub(super) fn operator_machines_put(&mut self, effects: &mut Effects, result: &StoreResult) {
        match result {
            StoreResult::Committed(_) | StoreResult::Conflict(_) => {
                let call = StoreCall::Get { key: keys::BASE_KEY.into() };
                self.shared.context(effects).call_store(Operation::GetOperatorMachines, call);
            }
            _ => self.set_operator_machines(None),
        }
    }

    pub(super) fn operator_machines_read(&mut self, result: StoreResult) {
        let newest = match result {
            StoreResult::Item(Some(item)) => {
                let record = OperatorMachinesRecord::decode(&item.value);
                record.ok().map(|record| record.0.to_string())
            }
            _ => None,
        };
        self.set_operator_machines(newest);
    }

    fn set_operator_machines(&mut self, newest: Option<String>) {
        if let Some(active) = &mut self.provisioner {
            active.provisioner.on_operator_machines_read(newest);
        }
    }
}
