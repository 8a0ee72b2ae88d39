//! The cloud's list of instances, and the release of instances that failed, never came up or never
//! sent a heartbeat.
use super::inventory::InventoryView;
use super::Provisioner;
use crate::context::{Context, Operation, ProvisionerOperation};
use crate::ids::Timestamp;
use crate::io::CloudCall;
use leaddeal_wire::cloud::{Instance, InstanceList, InstanceStatus};
use std::collections::{BTreeMap, BTreeSet};

/// Interval between two list calls, in milliseconds.
const LIST_INTERVAL_MS: u64 = 3000;
/// Delay after a list call that failed, in milliseconds.
const LIST_RETRY_MS: u64 = 2000;
/// An instance that is listed as running, but has sent no heartbeat for this long, is released.
const SILENT_TIMEOUT_MS: u64 = 60_000;
/// For this long after the provisioner started, no instance is released for lack of heartbeats.
const SILENT_START_GRACE_MS: u64 = 90_000;
/// Time added to twice the lag of the cloud's list, after which a new instance should be listed.
const LIST_LAG_MARGIN_MS: u64 = 5000;

/// How to go on after a page of the list.
#[derive(Debug, PartialEq, Eq)]
enum ListProgress {
    /// The page that follows the instance `after` is needed.
    NextPage { after: String },
    /// That was the last page.
    Complete,
}

/// The last complete list of instances, and the list that is being read.
#[derive(Debug)]
pub(super) struct ListedInstances {
    /// The last complete list, by name, without instances that were released since.
    instances: BTreeMap<String, Instance>,
    /// The pages of the list that is being read.
    partial: BTreeMap<String, Instance>,
    call_in_flight: bool,
    next_at: Timestamp,
    /// A list was read completely since the provisioner started.
    is_known: bool,
}

impl ListedInstances {
    pub(super) fn new(now: Timestamp) -> ListedInstances {
        ListedInstances {
            instances: BTreeMap::new(),
            partial: BTreeMap::new(),
            call_in_flight: false,
            next_at: now,
            is_known: false,
        }
    }

    /// Returns whether a list was read completely since the provisioner started.
    pub(super) fn is_known(&self) -> bool {
        self.is_known
    }

    pub(super) fn len(&self) -> usize {
        self.instances.len()
    }

    pub(super) fn contains(&self, name: &str) -> bool {
        self.instances.contains_key(name)
    }

    pub(super) fn remove(&mut self, name: &str) {
        self.instances.remove(name);
    }

    fn is_due(&self, now: Timestamp) -> bool {
        !self.call_in_flight && now >= self.next_at
    }

    fn on_call(&mut self, now: Timestamp) {
        self.call_in_flight = true;
        self.next_at = now + LIST_INTERVAL_MS;
    }

    /// Handles a page. `released` names released instances, which the cloud may still list.
    fn on_page(&mut self, page: InstanceList, released: &BTreeSet<String>) -> ListProgress {
        self.call_in_flight = false;
        let last = page.machines.last().map(|instance| instance.id.clone());
        for instance in page.machines {
            self.partial.insert(instance.id.clone(), instance);
        }
        if let (true, Some(after)) = (page.more, last) {
            self.call_in_flight = true;
            return ListProgress::NextPage { after };
        }
        self.instances = std::mem::take(&mut self.partial);
        self.instances.retain(|name, _| !released.contains(name));
        self.is_known = true;
        ListProgress::Complete
    }

    fn on_failure(&mut self, now: Timestamp) {
        self.call_in_flight = false;
        self.partial.clear();
        self.next_at = now + LIST_RETRY_MS;
    }

    /// Returns the name of the instance that was created last. Names are given in the order of
    /// creation.
    fn newest(&self) -> Option<&String> {
        self.instances.keys().max_by_key(|name| (name.len(), *name))
    }
}

/// Instances that are listed as running, but have sent no heartbeat.
#[derive(Debug, Default)]
pub(super) struct SilentInstances {
    since: BTreeMap<String, Timestamp>,
}

impl SilentInstances {
    fn update(&mut self, ctx: &Context, listed: &ListedInstances, inventory: &InventoryView) {
        for (name, instance) in &listed.instances {
            let reports = inventory.contains(ctx.shard_of_machine(name), name);
            if instance.status == InstanceStatus::Running && !reports {
                self.since.entry(name.clone()).or_insert(ctx.now);
            } else {
                self.since.remove(name);
            }
        }
        self.since.retain(|name, _| listed.contains(name));
    }

    fn timed_out(&self, now: Timestamp) -> impl Iterator<Item = &String> {
        let timed_out = self.since.iter().filter(move |(_, &at)| now > at + SILENT_TIMEOUT_MS);
        timed_out.map(|(name, _)| name)
    }
}

impl Provisioner {
    /// Requests the list of instances, if that is due.
    pub(super) fn request_list(&mut self, ctx: &mut Context) {
        if self.listed.is_due(ctx.now) && self.call_pacing.is_ready(ctx.now) {
            self.call_pacing.on_call(ctx.now, ctx.config.cloud_call_interval_ms);
            self.listed.on_call(ctx.now);
            self.send_list_call(ctx, None);
        }
    }

    fn send_list_call(&self, ctx: &mut Context, after: Option<String>) {
        let operation = Operation::Provisioner(self.epoch, ProvisionerOperation::List);
        ctx.call_cloud(operation, CloudCall::List { after });
    }

    pub(super) fn on_list_page(&mut self, ctx: &mut Context, page: InstanceList) {
        match self.listed.on_page(page, self.scale_in.released()) {
            ListProgress::NextPage { after } => {
                self.call_pacing.on_unpaced_call(ctx.now, ctx.config.cloud_call_interval_ms);
                self.send_list_call(ctx, Some(after));
            }
            ListProgress::Complete => self.reconcile(ctx),
        }
    }

    pub(super) fn on_list_failure(&mut self, now: Timestamp) {
        self.listed.on_failure(now);
    }

    /// Compares a complete list with the tracked boots and the heartbeats.
    fn reconcile(&mut self, ctx: &mut Context) {
        let now = ctx.now;
        let mut release = self.reconcile_boots(ctx);
        self.silent.update(ctx, &self.listed, &self.inventory);
        if now > self.started_at + SILENT_START_GRACE_MS {
            release.extend(self.silent.timed_out(now).cloned());
        }
        // A launched instance that is not listed long after its launch, and has sent no heartbeat,
        // was interrupted before it came up.
        let listed_within_ms = ctx.config.list_lag_ms * 2 + LIST_LAG_MARGIN_MS;
        let (listed, inventory) = (&self.listed, &self.inventory);
        self.boots.retain(|name, boot| {
            let reports = inventory.contains(ctx.shard_of_machine(name), name);
            !reports && (listed.contains(name) || now < boot.since + listed_within_ms)
        });
        self.scale_in.mark_for_release(release);
        self.find_operator_machines(ctx);
    }

    /// Tracks the boots of listed instances. Returns the names of those that failed or did not come
    /// up in time.
    fn reconcile_boots(&mut self, ctx: &mut Context) -> Vec<String> {
        let mut release = Vec::new();
        for (name, instance) in &self.listed.instances {
            let reports = || self.inventory.contains(ctx.shard_of_machine(name), name);
            match instance.status {
                InstanceStatus::Failed => release.push(name.clone()),
                // The instance never came up, and is charged for until it is released.
                InstanceStatus::Starting if self.boots.is_given_up(ctx, instance) && !reports() => {
                    if !self.scale_in.is_releasing(name) {
                        self.boots.on_given_up(ctx, instance);
                    }
                    release.push(name.clone());
                }
                InstanceStatus::Starting => self.boots.on_listed_as_starting(instance, ctx.now),
                InstanceStatus::Running => {}
            }
        }
        release
    }

    /// Stores the name of the newest instance as that of the newest machine that existed before the
    /// service, or reads the name if it is stored already.
    fn find_operator_machines(&mut self, ctx: &mut Context) {
        if self.operator_machines.begin_read() {
            ctx.put_operator_machines(self.listed.newest().cloned().unwrap_or_default());
        }
    }
}
