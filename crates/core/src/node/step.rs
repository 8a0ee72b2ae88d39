//! Routes each input to the component that handles it.
use super::Node;
use crate::context::{LookupPurpose, Operation};
use crate::ids::Timestamp;
use crate::io::{CloudResult, Effect, Effects, Input, OperationId, StoreResult};

impl Node {
    /// Handles one input and returns the effects in the order in which they must be carried out. `now`
    /// is the monotonic clock; `wall_clock_ms` is the time in ms since 1970.
    pub fn step(&mut self, now: Timestamp, wall_clock_ms: u64, input: Input) -> Vec<Effect> {
        self.shared.wall_clock_ms = wall_clock_ms;
        self.shared.budget.refill(now);
        let mut effects = Effects { max_log_level: self.max_log_level, ..Effects::new(now) };
        self.route(&mut effects, input);
        self.deliver_messages(&mut effects);
        self.statistics.machines_evaluated += effects.machines_evaluated;
        effects.list
    }

    fn route(&mut self, effects: &mut Effects, input: Input) {
        match input {
            Input::Tick => self.tick(effects),
            Input::Submit { req, id, job } => self.submit(effects, req, id, job),
            Input::Get { req, id } => self.lookup(effects, req, id, LookupPurpose::GetState),
            Input::Cancel { req, id } => self.lookup(effects, req, id, LookupPurpose::Cancellation),
            Input::WorkerHeartbeat { req, heartbeat } => self.on_heartbeat(effects, req, heartbeat),
            Input::CommandOutcome { machine, batch, outcome } => {
                self.on_command_outcome(effects, &machine, batch, &outcome);
            }
            Input::Mesh { from, msg } => self.on_mesh_message(effects, &from, *msg),
            Input::Store { op, result } => self.on_store_result(effects, op, result),
            Input::Cloud { op, result } => self.on_cloud_result(effects, op, result),
        }
    }

    /// Handles an answer of the state service. It is ignored if this process made no such call, or if
    /// the call was answered already.
    fn on_store_result(&mut self, effects: &mut Effects, op: OperationId, result: StoreResult) {
        let Some(operation) = self.shared.operations.by_id.remove(&op) else { return };
        if !matches!(result, StoreResult::Refused | StoreResult::RateLimited | StoreResult::Unknown)
        {
            self.store_answered_at = effects.now;
        }
        if matches!(result, StoreResult::RateLimited) && operation.counts_as_write() {
            self.shared.budget.on_refusal(effects.now);
        }
        self.terminal_states.revisions.observe(match &result {
            StoreResult::Committed(revision) => *revision,
            StoreResult::Page(page) => page.revision,
            StoreResult::Events(events) => events.revision,
            _ => 0,
        });
        self.route_store_result(effects, operation, result);
    }

    /// Handles an answer of the cloud service. It is ignored if this process made no such call, or if
    /// the call was answered already.
    fn on_cloud_result(&mut self, effects: &mut Effects, op: OperationId, result: CloudResult) {
        let Some(operation) = self.shared.operations.by_id.remove(&op) else { return };
        match (operation, result) {
            (Operation::Catalog, CloudResult::Catalog(catalog)) => {
                self.shared.names.set_catalog(catalog);
                self.tick_ownership(effects);
            }
            (Operation::Provisioner(epoch, operation), result) => {
                self.on_provisioner_result(effects, epoch, operation, result);
            }
            _ => {}
        }
    }
}
