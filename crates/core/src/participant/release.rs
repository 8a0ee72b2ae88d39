//! Draining and release of machines, at the request of the provisioner.
use super::Participant;
use crate::context::Context;

impl Participant {
    /// Drains an idle machine, so that it gets no new tasks. Returns false, and changes nothing, if the
    /// machine has a task or a hold.
    pub fn drain(&mut self, ctx: &mut Context, machine: &str) -> bool {
        let idx = ctx.names.machine(machine);
        if self.holds.has_any_on(idx) {
            return false;
        }
        let machine = self.machine_or_insert(idx);
        if machine.tasks.values().any(|task| !task.is_over()) {
            return false;
        }
        machine.draining = true;
        true
    }

    /// Records that the machine was released to the cloud: all attempts on it are gone.
    pub fn mark_released(&mut self, ctx: &mut Context, machine: &str) {
        let idx = ctx.names.machine(machine);
        let machine = self.machine_or_insert(idx);
        machine.released = true;
        machine.end_all_attempts();
        self.changed_machines.insert(idx);
    }
}
