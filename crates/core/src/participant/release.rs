//! Machines that the provisioner gives back to the cloud.
use super::Participant;
use crate::context::Context;

impl Participant {
    /// Drains an idle machine: it gets no new tasks. False: it has work, or may get some.
    pub fn drain(&mut self, ctx: &mut Context, machine: &str) -> bool {
        let idx = ctx.names.machine(machine);
        if self.holds.any_on(idx) {
            return false;
        }
        let machine = self.machine(idx);
        if machine.tasks.values().any(|task| !task.is_over()) {
            return false;
        }
        machine.draining = true;
        true
    }

    /// The machine was given back to the cloud: everything on it is gone.
    pub fn released(&mut self, ctx: &mut Context, machine: &str) {
        let idx = ctx.names.machine(machine);
        let machine = self.machine(idx);
        machine.released = true;
        machine.mark_all_gone();
        self.changed_machines.insert(idx);
    }
}
