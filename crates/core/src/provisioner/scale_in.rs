//! Scale in: idle machines are drained, and released once their participant reports them empty.
use super::inventory::ReportedMachine;
use super::Provisioner;
use crate::context::{Context, Operation, ProvisionerOperation};
use crate::ids::{Timestamp, PROVISIONER_SHARD};
use crate::io::LogLevel;
use crate::io::{CloudCall, CloudResult};
use leaddeal_wire::mesh::ShardMessage;
use std::collections::{BTreeMap, BTreeSet};

/// If a machine's participant does not report it as empty within this time after it was asked to
/// drain the machine, it is asked again.
const DRAIN_RETRY_MS: u64 = 10_000;
/// Delay after a release call that failed, in milliseconds.
const RELEASE_RETRY_MS: u64 = 1000;
/// Maximum number of instances in one release call.
const MAX_INSTANCES_PER_RELEASE: usize = 100;
/// Maximum number of machines that one plan drains, plus one for each
/// [`INSTANCES_PER_FURTHER_DRAIN`] listed instances.
const MIN_DRAINS_PER_PLAN: usize = 5;
const INSTANCES_PER_FURTHER_DRAIN: usize = 100;
/// How long an idle machine that costs [`IDLE_KEEP_REFERENCE_PRICE`] an hour would be kept if the
/// factors below did not limit it. The time is inversely proportional to the price, between
/// [`MIN_IDLE_KEEP_FACTOR`] and [`MAX_IDLE_KEEP_FACTOR`] times this value.
const IDLE_KEEP_MS: f64 = 60_000.0;
const IDLE_KEEP_REFERENCE_PRICE: f64 = 2.0;
const MIN_IDLE_KEEP_FACTOR: f64 = 0.3;
const MAX_IDLE_KEEP_FACTOR: f64 = 0.7;
/// Lower prices count as this one, so that the division by the price is defined.
const MIN_PRICE: f64 = 0.01;
/// Price that is assumed for a type that is not in the catalog.
const UNKNOWN_TYPE_PRICE: f64 = 1.0;

/// Machines in the states of scale in: draining, then to be released, then in a release call, then
/// released.
#[derive(Debug, Default)]
pub(super) struct ScaleIn {
    /// When the participant was asked to drain each machine.
    draining: BTreeMap<String, Timestamp>,
    to_release: BTreeSet<String>,
    /// The machines of the release call that is in flight.
    releasing: Vec<String>,
    /// No release call is made before this time.
    release_retry_at: Timestamp,
    /// Released machines. They are remembered because the cloud's list lags and may still name them.
    released: BTreeSet<String>,
}

impl ScaleIn {
    /// Returns the names of the machines that were released.
    pub(super) fn released(&self) -> &BTreeSet<String> {
        &self.released
    }

    /// Returns whether the machine is to be released or is in a release call.
    pub(super) fn is_releasing(&self, machine: &str) -> bool {
        self.to_release.contains(machine) || self.releasing.iter().any(|name| name == machine)
    }

    pub(super) fn mark_for_release(&mut self, machines: Vec<String>) {
        self.to_release.extend(machines);
    }

    /// Marks a machine for release after its participant reported that it is empty and gets no new
    /// tasks.
    pub(super) fn on_drained(&mut self, machine: String) {
        self.draining.remove(&machine);
        self.to_release.insert(machine);
    }

    /// Returns the machines of the next release call, which counts as in flight from now on; `None`
    /// if none is due.
    fn next_release(&mut self, now: Timestamp) -> Option<Vec<String>> {
        let is_due = self.releasing.is_empty() && !self.to_release.is_empty();
        if !is_due || now < self.release_retry_at {
            return None;
        }
        let first = self.to_release.iter().take(MAX_INSTANCES_PER_RELEASE);
        let names: Vec<String> = first.cloned().collect();
        for name in &names {
            self.to_release.remove(name);
        }
        self.releasing.clone_from(&names);
        Some(names)
    }
}

/// Returns for how long an idle machine of this type is kept, in milliseconds.
fn idle_keep_ms(ctx: &Context, type_name: &str) -> u64 {
    let type_idx = ctx.names.type_idx(type_name);
    let price = type_idx.map_or(UNKNOWN_TYPE_PRICE, |idx| ctx.names.catalog[idx.0 as usize].price);
    let factor = (IDLE_KEEP_REFERENCE_PRICE / price.max(MIN_PRICE))
        .clamp(MIN_IDLE_KEEP_FACTOR, MAX_IDLE_KEEP_FACTOR);
    (IDLE_KEEP_MS * factor) as u64
}

impl Provisioner {
    /// Sends the next release call, if one is due.
    pub(super) fn request_release(&mut self, ctx: &mut Context) {
        if !self.call_pacing.is_ready(ctx.now) {
            return;
        }
        let Some(names) = self.scale_in.next_release(ctx.now) else { return };
        self.call_pacing.on_call(ctx.now, ctx.config.cloud_call_interval_ms);
        let operation = Operation::Provisioner(self.epoch, ProvisionerOperation::Release);
        ctx.call_cloud(operation, CloudCall::Release(names));
    }

    pub(super) fn on_release_result(&mut self, ctx: &mut Context, result: &CloudResult) {
        let names = std::mem::take(&mut self.scale_in.releasing);
        if !matches!(result, CloudResult::Released) {
            self.scale_in.release_retry_at = ctx.now + RELEASE_RETRY_MS;
            self.scale_in.to_release.extend(names);
            return;
        }
        for machine in names {
            ctx.effects.log(LogLevel::Info, "instance_released", || machine.clone());
            self.boots.remove(&machine);
            self.listed.remove(&machine);
            self.scale_in.released.insert(machine.clone());
            let shard = ctx.shard_of_machine(&machine);
            ctx.send(PROVISIONER_SHARD, shard, ShardMessage::Released { machine });
        }
    }

    /// Drains machines that have been idle for long, and marks unusable ones for release.
    pub(super) fn drain_idle(&mut self, ctx: &mut Context) {
        let now = ctx.now;
        self.scale_in.draining.retain(|_, at| *at + DRAIN_RETRY_MS > now);
        let max_drains = MIN_DRAINS_PER_PLAN + self.listed.len() / INSTANCES_PER_FURTHER_DRAIN;
        for machine in self.idle_machines(ctx).into_iter().take(max_drains) {
            self.scale_in.draining.insert(machine.clone(), now);
            let shard = ctx.shard_of_machine(&machine);
            ctx.send(PROVISIONER_SHARD, shard, ShardMessage::Drain { machine });
        }
    }

    /// Returns the machines that may be drained, ordered by participant, and marks unusable ones for
    /// release.
    fn idle_machines(&mut self, ctx: &Context) -> Vec<String> {
        let mut idle = Vec::new();
        for machine in self.inventory.machines() {
            let info = &machine.info;
            let name = &info.machine;
            if self.scale_in.released.contains(name) || self.scale_in.to_release.contains(name) {
                continue;
            }
            if !info.unusable {
                if self.may_drain(ctx, machine) {
                    idle.push(name.clone());
                }
            } else if self.listed.contains(name) && !self.operator_machines.contains(name) {
                // The machine sent no heartbeat for long or is broken: it runs no tasks, but may
                // still be charged for.
                self.scale_in.to_release.insert(name.clone());
            }
        }
        idle
    }

    fn may_drain(&self, ctx: &Context, machine: &ReportedMachine) -> bool {
        let info = &machine.info;
        let since_received_ms = ctx.now.saturating_sub(machine.received_at);
        let idle_ms = info.idle_ms.map(|idle_ms| idle_ms.saturating_add(since_received_ms));
        idle_ms.is_some_and(|idle_ms| idle_ms > idle_keep_ms(ctx, &info.type_name))
            && self.operator_machines.is_known()
            && !self.operator_machines.contains(&info.machine)
            && !self.scale_in.draining.contains_key(&info.machine)
    }
}
