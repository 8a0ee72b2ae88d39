//! Routes answers to the provisioner while this node owns its shard.
use super::Node;
use crate::context::{Operation, ProvisionerOperation};
use crate::ids::Epoch;
use crate::io::{CloudResult, Effects, StoreCall, StoreResult};
use crate::keys;
use crate::provisioner::Provisioner;
use crate::stored::OperatorMachinesRecord;

/// The provisioner, which runs on this node while the node owns `PROVISIONER_SHARD`.
#[derive(Debug)]
pub(super) struct ActiveProvisioner {
    /// The epoch under which the shard is owned. Answers to calls under other epochs are ignored.
    pub(super) epoch: Epoch,
    pub(super) provisioner: Provisioner,
}

impl Node {
    /// Handles the cloud's answer to a call of the provisioner. The answer is ignored unless the
    /// provisioner still acts under the epoch of the call.
    pub(super) fn on_provisioner_result(
        &mut self,
        effects: &mut Effects,
        epoch: Epoch,
        operation: ProvisionerOperation,
        result: CloudResult,
    ) {
        let Some(active) = self.provisioner.as_mut().filter(|p| p.epoch == epoch) else { return };
        active.provisioner.on_cloud_result(&mut self.shared.context(effects), operation, result);
    }

    /// Handles the answer to the creation of the record of the operator's newest machine. If the record
    /// was created or existed already, it is read back.
    pub(super) fn on_operator_machines_put(&mut self, effects: &mut Effects, result: &StoreResult) {
        match result {
            StoreResult::Committed(_) | StoreResult::Conflict(_) => {
                let call = StoreCall::Get { key: keys::OPERATOR_MACHINES_KEY.into() };
                self.shared.context(effects).call_store(Operation::GetOperatorMachines, call);
            }
            _ => self.set_operator_machines(None),
        }
    }

    /// Handles the answer to the read of the record of the operator's newest machine.
    pub(super) fn on_operator_machines_read(&mut self, result: StoreResult) {
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
