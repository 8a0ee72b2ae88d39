//! The machines of a participant: when their workers' leases expire, when a machine is forgotten,
//! and where requests find it.
use super::capacity_index::{CapacityEntry, MachineGroup};
use super::Participant;
use crate::context::Context;
use crate::guards::{is_enforced, Guard};
use crate::ids::{JobId, MachineIdx, Timestamp};
use crate::io::LogLevel;
use crate::machine::Machine;
use crate::names::Names;

/// A machine that is gone is forgotten this long after its last heartbeat.
const FORGET_AFTER_MS: u64 = 300_000;
/// How long to wait before it is checked again whether a machine that is gone may be forgotten.
const FORGET_CHECK_INTERVAL_MS: u64 = 10_000;
/// How often an expired lease is looked at while the owner's own lease is uncertain.
const UNCERTAIN_CHECK_INTERVAL_MS: u64 = 500;
/// The whole index is checked in debug builds for fleets up to this size: with a large fleet it
/// would take all the time of a test.
const MAX_MACHINES_CHECKED: usize = 30;

/// Where requests find a machine: nowhere if no work may come to it any more.
fn capacity_entry(machine: &Machine, names: &Names) -> Option<CapacityEntry> {
    if machine.lease_expired || machine.released {
        return None;
    }
    let group = MachineGroup::of(machine)?;
    let mut free = names.resources_of_type(group.machine_type);
    let known = machine.used().map(|used| free.sub(used, 1));
    let images = machine.cached_images.iter().map(|cached| cached.image).collect();
    Some(CapacityEntry { group, free_cpu: known.map_or(0, |()| free.cpu), images })
}

impl Participant {
    /// The machine, known from now on.
    pub(super) fn machine(&mut self, idx: MachineIdx) -> &mut Machine {
        // Not heard of yet: an owner before us may have granted its worker a lease until now.
        let (since, lease_checks) = (self.since, &mut self.lease_checks);
        self.machines.entry(idx).or_insert_with(|| {
            let machine = Machine::new(since);
            lease_checks.insert((machine.next_check_at, idx));
            machine
        })
    }

    /// The jobs of which something is, or may be, on a machine.
    pub fn jobs_on(&self, idx: MachineIdx) -> impl Iterator<Item = JobId> + '_ {
        let tasks = self.machines.get(&idx).into_iter().flat_map(|machine| &machine.tasks);
        tasks.filter(|(_, task)| !task.is_over()).map(|(key, _)| key.job)
    }

    /// All controllers know our epoch: owners before us grant nothing any more. A machine that stays
    /// silent is waited for no longer than its worker's own lease. (Found on the bench: after a
    /// crash of all, hung machines' work was placed anew only 71 s later.)
    pub fn previous_owners_relinquished(&mut self, now: Timestamp) {
        if now >= self.previous_owners_until {
            return;
        }
        self.previous_owners_until = now;
        let unconfirmed = self.machines.iter().filter(|(_, machine)| !machine.token_confirmed);
        for idx in unconfirmed.map(|(&idx, _)| idx).collect::<Vec<_>>() {
            self.check_by(idx, now);
        }
    }

    /// Checks the machine's lease at that time, if not earlier.
    pub(super) fn check_by(&mut self, idx: MachineIdx, at: Timestamp) {
        let machine = self.machines.get_mut(&idx).filter(|machine| at < machine.next_check_at);
        if let Some(machine) = machine {
            self.lease_checks.remove(&(machine.next_check_at, idx));
            machine.next_check_at = at;
            self.lease_checks.insert((at, idx));
        }
    }

    /// Checks the machines whose lease may be over by now, or that may be forgotten.
    pub(super) fn check_due_machines(&mut self, ctx: &mut Context) {
        while let Some(&(at, idx)) = self.lease_checks.first().filter(|check| check.0 < ctx.now) {
            self.lease_checks.remove(&(at, idx));
            if let Some(next) = self.check_machine(ctx, idx) {
                if let Some(machine) = self.machines.get_mut(&idx) {
                    machine.next_check_at = next;
                }
                self.lease_checks.insert((next, idx));
            }
        }
    }

    /// Says when to check the machine again; none: it was forgotten.
    fn check_machine(&mut self, ctx: &mut Context, idx: MachineIdx) -> Option<Timestamp> {
        let now = ctx.now;
        let machine = self.machines.get_mut(&idx)?;
        let over_at =
            machine.lease_surely_expired_at(ctx.config.worker_lease_ms, self.previous_owners_until);
        let lease_over = !machine.lease_expired && !machine.released && now > over_at;
        // Not while our own lease is uncertain: a newer owner may answer the worker by now, and its
        // lease goes on. (Found by the simulator, seed 186: a task ran twice.)
        if lease_over && !ctx.lease_valid && is_enforced(Guard::MachineLossNeedsValidLease) {
            return Some(now + UNCERTAIN_CHECK_INTERVAL_MS);
        }
        if lease_over {
            machine.lease_expired = true;
            machine.mark_all_gone();
            let name = ctx.names.machine_name(idx).to_string();
            ctx.effects.log(LogLevel::Info, "worker_lease_expired", || name);
            self.changed_machines.insert(idx);
        }
        if !machine.released && !machine.lease_expired {
            return Some(over_at);
        }
        let forget_at = machine.last_heartbeat_at + FORGET_AFTER_MS;
        if machine.tasks.is_empty() && now > forget_at {
            self.machines.remove(&idx);
            self.inventory_publisher.gone(idx);
            return None;
        }
        Some(forget_at.max(now + FORGET_CHECK_INTERVAL_MS))
    }

    /// Brings the capacity index up to date for the machines that changed.
    pub(super) fn reindex(&mut self, names: &Names) {
        for &idx in &self.changed_machines {
            if let Some(machine) = self.machines.get(&idx) {
                self.capacity_index.set(idx, capacity_entry(machine, names));
            }
        }
        debug_assert!(
            self.machines.len() > MAX_MACHINES_CHECKED || self.is_indexed(names),
            "a change was not indexed"
        );
    }

    fn is_indexed(&self, names: &Names) -> bool {
        let entry = |idx| self.capacity_index.entry(idx);
        let mut machines = self.machines.iter();
        machines.all(|(&idx, machine)| entry(idx) == capacity_entry(machine, names).as_ref())
    }
}
