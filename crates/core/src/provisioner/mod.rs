//! Scales the fleet out and in, on behalf of all participants. It runs on the owner of one fixed
//! shard.
//!
//! Coordinators report their unmet demand, participants report their inventories, and the cloud
//! lists the instances. Once a second the provisioner makes a plan from these. The modules, in the
//! order in which a machine passes through them:
//!
//! | module | what |
//! | --- | --- |
//! | `scale_out` | unmet demand, and which instances to request for it |
//! | `instance_requests` | pending requests, each retried until its outcome is known |
//! | `boot_tracker`, `boot_times` | booting machines, and how long boots take |
//! | `inventory` | the machines that the participants have reported |
//! | `instance_list` | the cloud's list, and the release of instances that failed |
//! | `scale_in` | idle machines: draining and release |
//! | `operator_machines` | machines that existed before the service, which are never released |
//! | `call_pacing` | keeps to the rate limit of the cloud |
//!
//! Invariants:
//! - A machine is released only if the cloud lists it as failed, if it did not come up in time, if
//!   it sent no heartbeat for a long time, or if its participant reported that it is empty and gets
//!   no new tasks.
//! - No plan is made while a participant is silent, since its free capacity is unknown.
use crate::context::{Context, Operation, ProvisionerOperation};
use crate::ids::{Epoch, Shard, Timestamp, PROVISIONER_SHARD};
use crate::io::LogLevel;
use crate::io::{CloudCall, CloudResult};
use leaddeal_wire::mesh::ShardMessage;

mod boot_times;
mod boot_tracker;
mod call_pacing;
mod instance_list;
mod instance_requests;
mod inventory;
mod operator_machines;
mod scale_in;
mod scale_out;

use boot_tracker::BootTracker;
use call_pacing::CallPacing;
use instance_list::{ListedInstances, SilentInstances};
use instance_requests::{InstanceRequests, RequestOutcome};
use inventory::{InventoryUpdate, InventoryView, MissedUpdate};
use operator_machines::OperatorMachines;
use scale_in::ScaleIn;
use scale_out::Demand;

/// Interval between two plans, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 1000;
/// Interval at which the catalog is read again, since prices change.
const CATALOG_INTERVAL_MS: u64 = 60_000;

/// Scales the fleet under one epoch of its shard.
///
/// It stores no records: after a failover the new provisioner learns everything again from the
/// coordinators, the participants and the cloud.
#[derive(Debug)]
pub struct Provisioner {
    epoch: Epoch,
    started_at: Timestamp,
    demand: Demand,
    inventory: InventoryView,
    listed: ListedInstances,
    silent: SilentInstances,
    boots: BootTracker,
    instance_requests: InstanceRequests,
    scale_in: ScaleIn,
    operator_machines: OperatorMachines,
    call_pacing: CallPacing,
    next_plan_at: Timestamp,
    next_catalog_at: Timestamp,
}

impl Provisioner {
    /// Returns the provisioner of a node that acquired the provisioner's shard under `epoch`.
    pub fn new(epoch: Epoch, now: Timestamp) -> Provisioner {
        Provisioner {
            epoch,
            started_at: now,
            demand: Demand::default(),
            inventory: InventoryView::default(),
            listed: ListedInstances::new(now),
            silent: SilentInstances::default(),
            boots: BootTracker::default(),
            instance_requests: InstanceRequests::default(),
            scale_in: ScaleIn::default(),
            operator_machines: OperatorMachines::default(),
            call_pacing: CallPacing::new(now),
            next_plan_at: now,
            next_catalog_at: now + CATALOG_INTERVAL_MS,
        }
    }

    /// Handles a message from a coordinator or a participant.
    pub fn on_message(&mut self, ctx: &mut Context, from: Shard, message: ShardMessage) {
        match message {
            ShardMessage::UnmetDemand { lacks } => self.demand.set(from, lacks),
            ShardMessage::Inventory { serial, first, machines, gone } => {
                let update = InventoryUpdate { serial, is_full: first, machines, gone };
                if let Err(MissedUpdate) = self.inventory.on_update(from, update, ctx.now) {
                    ctx.send(PROVISIONER_SHARD, from, ShardMessage::ResendInventory);
                }
            }
            ShardMessage::Drained { machine } => self.scale_in.on_drained(machine),
            _ => {}
        }
    }

    /// Handles the result of reading the name of the newest machine that existed before the service.
    /// `None`: the read failed.
    pub fn on_operator_machines_read(&mut self, newest: Option<String>) {
        self.operator_machines.on_read(newest);
    }

    /// Handles the result of a call to the cloud.
    pub fn on_cloud_result(
        &mut self,
        ctx: &mut Context,
        operation: ProvisionerOperation,
        result: CloudResult,
    ) {
        match (operation, result) {
            (ProvisionerOperation::List, CloudResult::InstanceList(page)) => {
                self.on_list_page(ctx, page);
            }
            (ProvisionerOperation::List, _) => self.on_list_failure(ctx.now),
            (ProvisionerOperation::Launch(number), result) => {
                self.on_launch_result(ctx, number, result);
            }
            (ProvisionerOperation::Release, result) => self.on_release_result(ctx, &result),
        }
    }

    fn on_launch_result(&mut self, ctx: &mut Context, number: u64, result: CloudResult) {
        let now = ctx.now;
        match self.instance_requests.on_result(now, number, result) {
            RequestOutcome::Launched { request, instances } => {
                if (instances.len() as u32) < request.count {
                    self.demand.on_no_capacity(now, &request);
                }
                ctx.effects.log(LogLevel::Info, "instances_launched", || {
                    format!(
                        "{} {} {} spot={} {instances:?}",
                        request.request, request.type_name, request.zone, request.spot
                    )
                });
                for name in instances {
                    self.boots.on_launch(name, &request, now);
                }
                self.plan_now(now);
            }
            RequestOutcome::NoCapacity(request) => {
                self.demand.on_no_capacity(now, &request);
                // The cloud may have capacity of another type, or in another zone: it is requested
                // without waiting for the next regular plan.
                self.plan_now(now);
            }
            RequestOutcome::Pending => {}
        }
    }

    fn plan_now(&mut self, now: Timestamp) {
        self.next_plan_at = self.next_plan_at.min(now);
    }

    /// Makes the calls that are due, and a plan if one is due. Does nothing while this node's lease is
    /// uncertain.
    pub fn tick(&mut self, ctx: &mut Context) {
        let now = ctx.now;
        if !ctx.lease_valid {
            return;
        }
        self.request_list(ctx);
        if now >= self.next_catalog_at {
            self.next_catalog_at = now + CATALOG_INTERVAL_MS;
            ctx.call_cloud(Operation::Catalog, CloudCall::Catalog);
        }
        self.request_launch(ctx);
        self.request_release(ctx);
        if now >= self.next_plan_at {
            self.next_plan_at = now + PLAN_INTERVAL_MS;
            self.plan(ctx);
        }
    }

    /// Sends the next instance request, if one is due.
    fn request_launch(&mut self, ctx: &mut Context) {
        if !self.call_pacing.is_ready(ctx.now) {
            return;
        }
        let Some((number, request)) = self.instance_requests.next_to_send(ctx.now) else { return };
        self.call_pacing.on_call(ctx.now, ctx.config.cloud_call_interval_ms);
        let operation = Operation::Provisioner(self.epoch, ProvisionerOperation::Launch(number));
        ctx.call_cloud(operation, CloudCall::Launch(request));
    }

    fn plan(&mut self, ctx: &mut Context) {
        // Without a recent inventory of every participant, the plan would request instances for
        // tasks that fit on machines of the silent one.
        let all_fresh = ctx.shards().all(|shard| self.inventory.is_fresh(shard, ctx.now));
        if !all_fresh || !self.listed.is_known() {
            return;
        }
        self.demand.expire(ctx.now);
        self.drain_idle(ctx);
        self.announce_operator_machines(ctx);
        // While requests wait to be sent, a new plan would have no more information than the plan
        // that made them.
        if self.instance_requests.has_unsent() || self.instance_requests.available() == 0 {
            return;
        }
        self.boots.update(ctx, &self.inventory);
        for request in self.demand.plan(ctx, &self.boots, &self.instance_requests) {
            self.instance_requests.add(self.epoch, request, ctx.now);
        }
    }

    /// Tells all participants which machines are the operator's own.
    fn announce_operator_machines(&self, ctx: &mut Context) {
        let Some(newest) = self.operator_machines.newest() else { return };
        for shard in ctx.shards() {
            let message = ShardMessage::OperatorMachines { newest: newest.to_string() };
            ctx.send(PROVISIONER_SHARD, shard, message);
        }
    }
}
