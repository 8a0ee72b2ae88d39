//! The operator's own machines, which existed before the service and are never released.
use crate::names::created_no_later_than;

/// What the provisioner knows of the operator's machines.
#[derive(Debug, Default)]
pub(super) struct OperatorMachines {
    /// Name of the newest operator machine; empty if there were none. `None`: not known yet.
    newest: Option<String>,
    read_in_flight: bool,
}

impl OperatorMachines {
    /// Begins a read of the newest operator machine and returns true, unless its name is known or a
    /// read is in flight.
    pub(super) fn begin_read(&mut self) -> bool {
        let begins = self.newest.is_none() && !self.read_in_flight;
        self.read_in_flight |= begins;
        begins
    }

    /// Handles the result of a read. `None`: the read failed.
    pub(super) fn on_read(&mut self, newest: Option<String>) {
        self.read_in_flight = false;
        if newest.is_some() {
            self.newest = newest;
        }
    }

    /// Returns the name of the newest operator machine; `None` if it is not known yet.
    pub(super) fn newest(&self) -> Option<&str> {
        self.newest.as_deref()
    }

    /// Returns whether it is known which machines are the operator's.
    pub(super) fn is_known(&self) -> bool {
        self.newest.is_some()
    }

    /// Returns whether `machine` is known to be the operator's. Always false before the newest
    /// operator machine is known.
    pub(super) fn contains(&self, machine: &str) -> bool {
        self.newest.as_ref().is_some_and(|newest| created_no_later_than(machine, newest))
    }
}
