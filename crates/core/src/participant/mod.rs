//! A shard's machines: a participant grants their workers' leases, offers free capacity to
//! coordinators, starts what they decided, and proves what is gone.
//!
//! - `machine_registry`: the machines, their lease expiry and their place in the capacity index;
//! - `heartbeats`: heartbeats of workers and outcomes of command batches;
//! - `holds`, `reservations`: capacity that is kept for open negotiations and for jobs;
//! - `gang_queue`, `gpu_demand`: gangs that wait, and GPU work that was asked for recently;
//! - `eligibility`, `free_resources`: which machines a job may have, and what is free there for it;
//! - `offer`, `machine_choice`, `preemption`, `replica_moves`: which machines a job gets, and what is stopped for it;
//! - `task_commands`: what coordinators decided for a task;
//! - `task_events`: events for coordinators, command batches for workers;
//! - `capacity_notices`: notices of freed capacity for coordinators that are short of it;
//! - `inventory`, `release`: what the provisioner is told, and what it asks for.
use crate::context::Context;
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, JobId, MachineIdx, NegotiationId, Shard, Timestamp, PROVISIONER_SHARD};
use crate::machine::Machine;
use crate::shard::plus_clock_drift;
use leaddeal_wire::mesh::ShardMessage;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod capacity_index;
mod capacity_notices;
mod eligibility;
mod failure_attribution;
mod figures;
mod free_resources;
mod gang_queue;
mod gpu_demand;
mod heartbeats;
mod holds;
mod inventory;
mod machine_choice;
mod machine_registry;
mod offer;
mod offer_obstacles;
mod preemption;
mod queue_rank;
mod release;
mod replica_moves;
mod reservations;
mod task_commands;
mod task_events;
#[cfg(test)]
mod tests;

use capacity_index::FreeCapacityIndex;
use capacity_notices::CapacityNotices;
use failure_attribution::FailureAttribution;
use gang_queue::GangQueue;
use gpu_demand::GpuDemand;
use holds::Holds;
use inventory::InventoryPublisher;
use offer_obstacles::ObstacleCounts;
use reservations::Reservations;

/// A heartbeat response, or a command batch, has at most this many commands.
const MAX_COMMANDS: usize = 150;
/// How long a failed task counts against the machine that it failed on.
const FAILURE_EVIDENCE_MS: u64 = 60_000;
/// How often the coordinators of open negotiations are asked for their decision.
const ASK_DECISION_INTERVAL_MS: u64 = 2000;

/// Owner of a shard's machines.
///
/// Invariants: `lease_checks` has one entry for each machine, at its `next_check_at`;
/// `capacity_index` is up to date for all machines that are not in `changed_machines`.
#[derive(Debug)]
pub(crate) struct Participant {
    /// The shard that the machines belong to.
    pub shard: Shard,
    /// The owner's epoch, which is its fencing token for workers.
    pub epoch: Epoch,
    /// When the owner acquired the shard.
    pub since: Timestamp,
    /// Owners before us may have answered workers until this time, not later.
    previous_owners_until: Timestamp,
    /// The machines that a heartbeat came from, or that a coordinator named.
    pub machines: BTreeMap<MachineIdx, Machine>,
    /// Machines up to this name are the operator's own.
    pub base: Option<String>,
    /// When to check whether a machine's lease is over, or whether the machine may be forgotten.
    lease_checks: BTreeSet<(Timestamp, MachineIdx)>,
    /// Machines with an ended attempt whose end was sent, and when it is sent again unless its
    /// coordinator has acknowledged it; the earliest first.
    resend_queue: VecDeque<(Timestamp, MachineIdx)>,
    inventory_publisher: InventoryPublisher,
    holds: Holds,
    reservations: Reservations,
    failure_attribution: FailureAttribution,
    capacity_index: FreeCapacityIndex,
    /// When coordinators were last asked for decisions.
    decisions_asked_at: Timestamp,
    /// The newest epoch heard of, by coordinator's shard.
    coordinator_epochs: Vec<Epoch>,
    /// Machines with something to send or to index.
    changed_machines: BTreeSet<MachineIdx>,
    /// Number of the newest command batch.
    last_batch: u64,
    gpu_demand: GpuDemand,
    gang_queue: GangQueue,
    /// When a replica may next be moved.
    next_move_at: Timestamp,
    capacity_notices: CapacityNotices,
    /// Met since the figures were last asked for.
    offer_obstacles: ObstacleCounts,
    /// Machines with events that no coordinator acts on soon.
    deferred_machines: BTreeSet<MachineIdx>,
    /// When deferred events are next sent.
    next_deferred_at: Timestamp,
}

impl Participant {
    /// A participant that has just acquired the shard, with no machine known. An owner before us
    /// answers workers for at most `patience_ms` after it lost the shard.
    pub fn new(
        shard: Shard,
        epoch: Epoch,
        now: Timestamp,
        shards: usize,
        patience_ms: u64,
    ) -> Participant {
        let patience_ends = if is_enforced(Guard::PreviousOwnersTimedOut) {
            now + plus_clock_drift(patience_ms)
        } else {
            now
        };
        Participant {
            shard,
            epoch,
            since: now,
            previous_owners_until: patience_ends,
            machines: BTreeMap::new(),
            base: None,
            lease_checks: BTreeSet::new(),
            resend_queue: VecDeque::new(),
            inventory_publisher: InventoryPublisher::default(),
            holds: Holds::default(),
            reservations: Reservations::default(),
            failure_attribution: FailureAttribution::default(),
            capacity_index: FreeCapacityIndex::default(),
            decisions_asked_at: now,
            coordinator_epochs: vec![Epoch(0); shards],
            changed_machines: BTreeSet::new(),
            last_batch: epoch.0 << 20,
            gpu_demand: GpuDemand::default(),
            gang_queue: GangQueue::default(),
            next_move_at: now,
            capacity_notices: CapacityNotices::new(shards),
            offer_obstacles: ObstacleCounts::default(),
            deferred_machines: BTreeSet::new(),
            next_deferred_at: now,
        }
    }

    /// Handles a message of a coordinator. `epoch` is the sender's.
    pub fn handle(&mut self, ctx: &mut Context, from: Shard, epoch: Epoch, msg: ShardMessage) {
        if !self.see_coordinator(from, epoch) {
            return;
        }
        match msg {
            ShardMessage::RequestOffers { negotiation, items, gpu_work } => {
                for (cpu, gpu, mem, priority) in gpu_work {
                    self.gpu_demand.note(gpu_demand::GpuNeed { cpu, gpu, mem }, priority, ctx.now);
                }
                self.offer(ctx, from, NegotiationId(negotiation), &items);
            }
            ShardMessage::CloseNegotiation { negotiation } => {
                self.holds.release(|hold| hold.belongs_to(from, NegotiationId(negotiation)));
            }
            ShardMessage::Place { job, shape, picks, adopt } => {
                let job = JobId(job);
                self.gang_queue.remove(job);
                ctx.horizons.on_job_continued(job, epoch);
                let order =
                    task_commands::PlaceOrder { from, job, shape: ctx.names.shape(&shape), adopt };
                for assignment in &picks {
                    self.place_unless_over(ctx, &order, assignment);
                }
            }
            ShardMessage::Stop { what, grace_s } => self.stop(ctx, &what, grace_s),
            ShardMessage::Forget { what } => self.acknowledge_ends(ctx, &what),
            _ => {}
        }
    }

    /// Notes a coordinator's epoch. A new epoch of its shard is a no to every open negotiation of
    /// older ones. False: the sender no longer owns the shard.
    pub fn see_coordinator(&mut self, shard: Shard, epoch: Epoch) -> bool {
        let Some(known) = self.coordinator_epochs.get_mut(shard.0 as usize) else {
            return false;
        };
        if epoch < *known && is_enforced(Guard::OutdatedSenderRejected) {
            return false;
        }
        if epoch > *known {
            *known = epoch;
            if shard == PROVISIONER_SHARD {
                self.inventory_publisher.start_again();
            }
            self.holds.release(|hold| hold.shard == shard);
            self.changed_machines.extend(self.machines.keys().copied());
        }
        true
    }

    /// Does what is due by now.
    pub fn tick(&mut self, ctx: &mut Context) {
        self.move_replicas(ctx);
        self.check_due_machines(ctx);
        self.queue_resends(ctx.now);
        self.ask_for_decisions(ctx);
    }

    /// Holds end by decision. If none came, the message was lost: asks for it.
    fn ask_for_decisions(&mut self, ctx: &mut Context) {
        if ctx.now < self.decisions_asked_at + ASK_DECISION_INTERVAL_MS {
            return;
        }
        self.decisions_asked_at = ctx.now;
        self.failure_attribution.expire(ctx.now);
        for (shard, negotiation) in self.holds.open_negotiations() {
            let ask = ShardMessage::AskDecision { negotiation: negotiation.0 };
            ctx.send(self.shard, shard, ask);
        }
    }
}
