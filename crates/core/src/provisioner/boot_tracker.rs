//! Tracks machines that are booting, and the cost of those that never came up.
use super::boot_times::{BootLocation, BootTimes};
use super::inventory::InventoryView;
use crate::context::Context;
use crate::ids::Timestamp;
use crate::io::LogLevel;
use leaddeal_wire::cloud::{Instance, InstanceRequest};
use std::collections::BTreeMap;

/// Boot time that is assumed of a type that is not in the catalog, in seconds.
const UNKNOWN_TYPE_BOOT_S: f64 = 60.0;

/// A machine that was launched and has sent no heartbeat yet.
#[derive(Clone, Debug)]
pub(super) struct BootingMachine {
    pub(super) type_name: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    /// When it was launched.
    pub(super) since: Timestamp,
}

impl BootingMachine {
    fn location(&self) -> BootLocation {
        BootLocation { type_name: self.type_name.clone(), zone: self.zone.clone() }
    }
}

/// Returns the boot time that the catalog states for a type, in milliseconds.
fn catalog_boot_ms(ctx: &Context, type_name: &str) -> u64 {
    let type_idx = ctx.names.type_idx(type_name);
    let boot_s =
        type_idx.map_or(UNKNOWN_TYPE_BOOT_S, |idx| ctx.names.catalog[idx.0 as usize].boot_s);
    (boot_s.max(0.0) * 1000.0) as u64
}

/// Tracks each machine from its launch to its first heartbeat.
#[derive(Debug, Default)]
pub(super) struct BootTracker {
    /// By name.
    booting: BTreeMap<String, BootingMachine>,
    boot_times: BootTimes,
    /// Cost of the machines that never came up, in the currency of the prices.
    spent_on_failed_boots: f64,
}

impl BootTracker {
    /// Starts tracking a machine that was launched for `request`.
    pub(super) fn on_launch(&mut self, name: String, request: &InstanceRequest, now: Timestamp) {
        let machine = BootingMachine {
            type_name: request.type_name.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            since: now,
        };
        self.booting.insert(name, machine);
    }

    /// Starts tracking an instance that the cloud lists as starting, unless it is tracked already. It
    /// may have been launched by a provisioner of an earlier epoch.
    pub(super) fn on_listed_as_starting(&mut self, instance: &Instance, now: Timestamp) {
        let age_ms = (instance.age_s * 1000.0) as u64;
        self.booting.entry(instance.id.clone()).or_insert_with(|| BootingMachine {
            type_name: instance.type_name.clone(),
            zone: instance.zone.clone(),
            spot: instance.spot,
            since: now.saturating_sub(age_ms),
        });
    }

    /// Returns whether a listed instance has been starting for so long that it is to be released.
    pub(super) fn is_given_up(&self, ctx: &Context, instance: &Instance) -> bool {
        let location =
            BootLocation { type_name: instance.type_name.clone(), zone: instance.zone.clone() };
        let catalog_ms = catalog_boot_ms(ctx, &instance.type_name);
        let give_up_ms = self.boot_times.give_up_ms(&location, catalog_ms);
        instance.age_s * 1000.0 > give_up_ms as f64
    }

    /// Adds the cost of an instance that is given up to the total, and logs both.
    pub(super) fn on_given_up(&mut self, ctx: &mut Context, instance: &Instance) {
        let type_idx = ctx.names.type_idx(&instance.type_name);
        let price = type_idx.map_or(0.0, |idx| ctx.names.price(idx, instance.spot));
        self.spent_on_failed_boots += price * instance.age_s / 3600.0;
        let spent = self.spent_on_failed_boots;
        ctx.effects.log(LogLevel::Info, "instance_never_up", || {
            format!(
                "{} {} {} after {:.0} s, spent on such {spent:.2}",
                instance.id, instance.type_name, instance.zone, instance.age_s
            )
        });
    }

    /// Stops tracking a machine that was released.
    pub(super) fn remove(&mut self, name: &str) {
        self.booting.remove(name);
    }

    /// Stops tracking the machines for which `keep` returns false.
    pub(super) fn retain(&mut self, mut keep: impl FnMut(&str, &BootingMachine) -> bool) {
        self.booting.retain(|name, machine| keep(name, machine));
    }

    /// Records the boot times of machines that came up, stops tracking them, and updates where boots
    /// are overdue.
    pub(super) fn update(&mut self, ctx: &Context, inventory: &InventoryView) {
        let boot_times = &mut self.boot_times;
        self.booting.retain(|name, machine| {
            let is_up = inventory.contains(ctx.shard_of_machine(name), name);
            if is_up {
                let took_ms = ctx.now.saturating_sub(machine.since);
                boot_times.on_boot(&machine.location(), ctx.now, took_ms);
            }
            !is_up
        });
        let overdue = self.booting.values().filter(|machine| self.is_overdue(ctx, machine));
        let overdue: Vec<BootLocation> = overdue.map(BootingMachine::location).collect();
        self.boot_times.set_overdue(overdue.into_iter());
    }

    /// Returns the booting machines that count as expected capacity, ordered by name.
    pub(super) fn expected<'a>(
        &'a self,
        ctx: &'a Context,
    ) -> impl Iterator<Item = &'a BootingMachine> {
        self.booting.values().filter(|machine| !self.is_overdue(ctx, machine))
    }

    /// Returns whether boots of this type fail in this zone at present.
    pub(super) fn is_failing(&self, location: &BootLocation) -> bool {
        self.boot_times.is_failing(location)
    }

    fn is_overdue(&self, ctx: &Context, machine: &BootingMachine) -> bool {
        let catalog_ms = catalog_boot_ms(ctx, &machine.type_name);
        let expected_ms = self.boot_times.expected_ms(&machine.location(), catalog_ms);
        ctx.now >= machine.since + expected_ms
    }
}
