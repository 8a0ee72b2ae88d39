//! The machines that were there before the service: the operator's own, which are never released.
use crate::names::created_no_later_than;

/// What is known of the operator's machines.
#[derive(Debug, Default)]
pub(super) struct OperatorMachines {
    /// The newest of them; empty if there were none. `None`: not known yet.
    newest: Option<String>,
    read_in_flight: bool,
}

impl OperatorMachines {
    /// Whether the newest is to be read now. It is read once at a time, and until it is known.
    pub(super) fn begin_read(&mut self) -> bool {
        let begins = self.newest.is_none() && !self.read_in_flight;
        self.read_in_flight |= begins;
        begins
    }

    /// Takes what was read.
    pub(super) fn on_read(&mut self, newest: Option<String>) {
        self.read_in_flight = false;
        if newest.is_some() {
            self.newest = newest;
        }
    }

    /// The newest of them, once it is known.
    pub(super) fn newest(&self) -> Option<&str> {
        self.newest.as_deref()
    }

    /// Whether the newest is known.
    pub(super) fn is_known(&self) -> bool {
        self.newest.is_some()
    }

    /// Whether the machine is known to be one of them.
    pub(super) fn contains(&self, machine: &str) -> bool {
        self.newest.as_ref().is_some_and(|newest| created_no_later_than(machine, newest))
    }
}
