//! The machines of a participant: when the leases of their workers expire, when a machine is removed,
//! and the machine's entry in the capacity index.
use super::capacity_index::{CapacityEntry, MachineGroup};
use super::Participant;
use crate::context::Context;
use crate::guards::{is_enforced, Guard};
use crate::ids::{JobId, MachineIdx, Timestamp};
use crate::io::LogLevel;
use crate::machine::Machine;
use crate::names::Names;

/// A machine that was released or whose lease expired is removed this long after its last heartbeat,
/// in ms.
const FORGET_AFTER_MS: u64 = 300_000;
/// Minimum time in ms between two checks of whether such a machine can be removed.
const FORGET_CHECK_INTERVAL_MS: u64 = 10_000;
/// Interval in ms at which an expired worker lease is checked again while this node's own lease is
/// uncertain.
const UNCERTAIN_CHECK_INTERVAL_MS: u64 = 500;
/// Debug builds check the whole capacity index for up to this many machines. With a large fleet the
/// check would dominate the run time of a test.
const MAX_MACHINES_CHECKED: usize = 30;

/// Returns the index entry of a machine; `None` if the machine can get no more work, or its type or zone
/// is not known.
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
    /// Returns the machine, adding it if it is not known yet.
    pub(super) fn machine_or_insert(&mut self, idx: MachineIdx) -> &mut Machine {
        // This owner has received no heartbeat from the machine yet, but a previous owner may have
        // granted its worker a lease until this participant acquired the shard.
        let (acquired_at, lease_checks) = (self.acquired_at, &mut self.lease_checks);
        // This owner may have known the machine before and sent it a token as new as this one.
        let token = self.ownership_proof.newest_token();
        self.machines.entry(idx).or_insert_with(|| {
            let mut machine = Machine::new(acquired_at);
            machine.token = token;
            lease_checks.insert((machine.next_check_at, idx));
            machine
        })
    }

    /// Returns the job of each attempt that is, or may be, on a machine.
    pub fn jobs_on(&self, idx: MachineIdx) -> impl Iterator<Item = JobId> + '_ {
        let tasks = self.machines.get(&idx).into_iter().flat_map(|machine| &machine.tasks);
        tasks.filter(|(_, task)| !task.is_over()).map(|(key, _)| key.job)
    }

    /// Notes that all controllers have acknowledged this owner's epoch, so that no previous owner grants
    /// a lease any more. From now on a silent machine is lost when its worker's own lease expires.
    /// Without this, after a crash of all controllers, the work of hung machines was placed again only
    /// 71 s later.
    pub fn on_previous_owners_relinquished(&mut self, now: Timestamp) {
        if now >= self.previous_owners_until {
            return;
        }
        self.previous_owners_until = now;
        let unconfirmed = self.machines.iter().filter(|(_, machine)| !machine.token_confirmed);
        for idx in unconfirmed.map(|(&idx, _)| idx).collect::<Vec<_>>() {
            self.schedule_check(idx, now);
        }
    }

    /// Schedules the machine's next check for `at`, unless an earlier one is scheduled.
    pub(super) fn schedule_check(&mut self, idx: MachineIdx, at: Timestamp) {
        let machine = self.machines.get_mut(&idx).filter(|machine| at < machine.next_check_at);
        if let Some(machine) = machine {
            self.lease_checks.remove(&(machine.next_check_at, idx));
            machine.next_check_at = at;
            self.lease_checks.insert((at, idx));
        }
    }

    /// Checks the machines that are due: whether their lease has expired, or whether they can be
    /// removed.
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

    /// Expires the lease of a machine, or removes the machine, if the time for that has come. Returns
    /// when to check the machine again; `None` if it was removed.
    fn check_machine(&mut self, ctx: &mut Context, idx: MachineIdx) -> Option<Timestamp> {
        let now = ctx.now;
        let machine = self.machines.get_mut(&idx)?;
        let expires_at =
            machine.lease_surely_expired_at(ctx.config.worker_lease_ms, self.previous_owners_until);
        let has_expired = !machine.lease_expired && !machine.released && now > expires_at;
        // While this node's own lease is uncertain, a newer owner may already be renewing the worker's
        // lease, so the machine is not declared lost. Otherwise a task can run twice (simulator seed
        // 186).
        if has_expired && !ctx.lease_valid && is_enforced(Guard::MachineLossNeedsValidLease) {
            return Some(now + UNCERTAIN_CHECK_INTERVAL_MS);
        }
        if has_expired {
            machine.lease_expired = true;
            machine.end_all_attempts();
            let name = ctx.names.machine_name(idx).to_string();
            ctx.effects.log(LogLevel::Info, "worker_lease_expired", || name);
            self.changed_machines.insert(idx);
        }
        if !machine.released && !machine.lease_expired {
            return Some(expires_at);
        }
        let forget_at = machine.last_heartbeat_at + FORGET_AFTER_MS;
        if machine.tasks.is_empty() && now > forget_at {
            self.machines.remove(&idx);
            self.inventory_publisher.remove(idx);
            return None;
        }
        Some(forget_at.max(now + FORGET_CHECK_INTERVAL_MS))
    }

    /// Updates the capacity index for the machines that changed.
    pub(super) fn reindex(&mut self, names: &Names) {
        for &idx in &self.changed_machines {
            if let Some(machine) = self.machines.get(&idx) {
                self.capacity_index.set(idx, capacity_entry(machine, names));
            }
        }
        debug_assert!(
            self.machines.len() > MAX_MACHINES_CHECKED || self.is_index_current(names),
            "capacity index differs from the machines"
        );
    }

    fn is_index_current(&self, names: &Names) -> bool {
        let entry = |idx| self.capacity_index.entry(idx);
        let mut machines = self.machines.iter();
        machines.all(|(&idx, machine)| entry(idx) == capacity_entry(machine, names).as_ref())
    }
}
