//! The owner of a shard's machines. A participant grants the leases of the workers on its machines,
//! offers free capacity to coordinators, starts and stops the tasks that coordinators decide on, and
//! reports to coordinators which attempts can no longer be running.
//!
//! - `machine_registry`: the known machines, the expiry of their leases and their index entries;
//! - `heartbeats`, `observations`: heartbeats of workers and what they show of tasks;
//! - `command_batches`: commands sent directly to workers, and their outcomes;
//! - `holds`, `reservations`: capacity set aside for open negotiations and for single jobs;
//! - `gang_queue`, `gpu_demand`: waiting gangs, and GPU work that was requested recently;
//! - `eligibility`, `free_resources`: which machines a job may use, and what is free on them;
//! - `offer`, `machine_choice`: the offers that answer a coordinator's request;
//! - `preemption`, `replica_moves`: tasks that are stopped to make capacity for other work;
//! - `failure_attribution`: whether a failed task counts against its machine or its job;
//! - `task_commands`: placements, stops and acknowledgements sent by coordinators;
//! - `ownership_proof`: the fencing tokens that may be used for workers;
//! - `task_events`: events for coordinators;
//! - `capacity_notices`: notices of freed capacity for coordinators that are short of it;
//! - `inventory`, `release`: the machine list sent to the provisioner, and its drain and release
//!   requests;
//! - `statistics`, `offer_obstacles`, `command_log`: the operators' log.
use crate::context::{Context, Operation};
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, JobId, MachineIdx, NegotiationId, Shard, Timestamp, PROVISIONER_SHARD};
use crate::io::StoreCall;
use crate::keys;
use crate::machine::Machine;
use crate::shard::plus_clock_drift;
use leaddeal_wire::mesh::ShardMessage;
use leaddeal_wire::state::{Condition, Transaction};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod capacity_index;
mod capacity_notices;
mod command_batches;
mod command_log;
mod eligibility;
mod failure_attribution;
mod free_resources;
mod gang_queue;
mod gpu_demand;
mod heartbeats;
mod holds;
mod inventory;
mod machine_choice;
mod machine_registry;
mod observations;
mod offer;
mod offer_obstacles;
mod ownership_proof;
mod preemption;
mod queue_rank;
mod release;
mod replica_moves;
mod reservations;
mod statistics;
mod task_commands;
mod task_events;
#[cfg(test)]
mod tests;

use capacity_index::FreeCapacityIndex;
use capacity_notices::CapacityNotices;
use command_log::CommandCounts;
use failure_attribution::FailureAttribution;
use gang_queue::GangQueue;
use gpu_demand::GpuDemand;
use holds::Holds;
use inventory::InventoryPublisher;
use offer_obstacles::ObstacleCounts;
use ownership_proof::OwnershipProof;
use reservations::Reservations;

/// Maximum number of commands in one heartbeat response or command batch.
const MAX_COMMANDS: usize = 150;
/// Time in ms for which a failed task counts against the machine on which it failed.
const FAILURE_EVIDENCE_MS: u64 = 60_000;
/// Interval in ms at which the coordinators of open negotiations are asked for their decision.
const ASK_DECISION_INTERVAL_MS: u64 = 2000;

/// The owner of a shard's machines.
///
/// Invariants: `lease_checks` has exactly one entry for each machine, at the machine's
/// `next_check_at`; `capacity_index` is up to date for all machines that are not in
/// `changed_machines`.
#[derive(Debug)]
pub(crate) struct Participant {
    /// The shard that the machines belong to.
    pub shard: Shard,
    /// Epoch under which this participant owns the shard; also its first fencing token for workers.
    pub epoch: Epoch,
    /// When this participant acquired the shard.
    pub acquired_at: Timestamp,
    ownership_proof: OwnershipProof,
    /// Latest time at which a previous owner of the shard may have answered a worker.
    previous_owners_until: Timestamp,
    /// The machines from which a heartbeat was received or that a coordinator named.
    pub machines: BTreeMap<MachineIdx, Machine>,
    /// Name of the newest machine of the base fleet. The operator owns the machines created no later than
    /// it, and they are never released. `None` if it is not known.
    pub last_base: Option<String>,
    /// When to check next whether a machine's lease has expired, or whether the machine can be
    /// removed.
    lease_checks: BTreeSet<(Timestamp, MachineIdx)>,
    /// Machines with an attempt whose report awaits its coordinator's acknowledgement, with the time from
    /// which it is sent again; about in this order.
    resend_queue: VecDeque<(Timestamp, MachineIdx)>,
    inventory_publisher: InventoryPublisher,
    holds: Holds,
    reservations: Reservations,
    failure_attribution: FailureAttribution,
    capacity_index: FreeCapacityIndex,
    /// When the coordinators of open negotiations were last asked for their decisions.
    decisions_asked_at: Timestamp,
    /// Newest known epoch of each coordinator, by its shard.
    coordinator_epochs: Vec<Epoch>,
    /// Machines that may have events or commands to send, or an outdated index entry.
    changed_machines: BTreeSet<MachineIdx>,
    /// Number of the newest command batch.
    last_batch: u64,
    gpu_demand: GpuDemand,
    gang_queue: GangQueue,
    /// No replica of a service is moved before this time.
    next_move_at: Timestamp,
    capacity_notices: CapacityNotices,
    /// Counted since `obstacle_statistics` was last called.
    offer_obstacles: ObstacleCounts,
    /// Machines with events whose delivery was deferred, because no coordinator acts on them soon.
    deferred_machines: BTreeSet<MachineIdx>,
    /// Deferred events are not sent before this time.
    next_deferred_at: Timestamp,
    command_counts: CommandCounts,
}

impl Participant {
    /// Creates the participant of a shard that was just acquired; no machine is known yet. A
    /// previous owner answers workers for at most `previous_owner_grace_ms` after it lost the shard.
    pub fn new(
        shard: Shard,
        epoch: Epoch,
        now: Timestamp,
        shards: usize,
        previous_owner_grace_ms: u64,
    ) -> Participant {
        let previous_owners_until = if is_enforced(Guard::PreviousOwnersTimedOut) {
            now + plus_clock_drift(previous_owner_grace_ms)
        } else {
            now
        };
        Participant {
            shard,
            epoch,
            acquired_at: now,
            ownership_proof: OwnershipProof::new(epoch),
            previous_owners_until,
            machines: BTreeMap::new(),
            last_base: None,
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
            command_counts: CommandCounts::default(),
        }
    }

    /// Handles a message from the coordinator of shard `from`, sent under `epoch`.
    pub fn handle(&mut self, ctx: &mut Context, from: Shard, epoch: Epoch, msg: ShardMessage) {
        if !self.observe_coordinator_epoch(from, epoch) {
            return;
        }
        match msg {
            ShardMessage::RequestOffers { negotiation, items, gpu_work } => {
                for (cpu, gpu, mem, priority) in gpu_work {
                    self.gpu_demand.note(gpu_demand::GpuNeed { cpu, gpu, mem }, priority, ctx.now);
                }
                self.answer_offer_request(ctx, from, NegotiationId(negotiation), &items);
            }
            ShardMessage::CloseNegotiation { negotiation } => {
                self.holds.release(|hold| hold.belongs_to(from, NegotiationId(negotiation)));
            }
            ShardMessage::Place { job, shape, picks, adopt } => {
                let job = JobId(job);
                self.gang_queue.remove(job);
                ctx.horizons.on_job_continued(job, epoch);
                let command = task_commands::PlaceCommand {
                    from,
                    epoch,
                    job,
                    shape: ctx.names.resolve_shape(&shape),
                    adopt,
                };
                for assignment in &picks {
                    self.place_unless_terminal(ctx, &command, assignment);
                }
            }
            ShardMessage::Stop { what, grace_s } => {
                self.stop_attempt(ctx, &what, grace_s);
                self.acknowledge_attempt(ctx, &what, epoch);
            }
            ShardMessage::Forget { what } => self.record_end_acknowledgements(ctx, &what),
            _ => {}
        }
    }

    /// Records the epoch of a shard's coordinator. A newer epoch than the known one ends all open
    /// negotiations of that shard. Returns false if the epoch is older than the known one: the
    /// sender no longer owns the shard.
    pub fn observe_coordinator_epoch(&mut self, shard: Shard, epoch: Epoch) -> bool {
        let Some(known) = self.coordinator_epochs.get_mut(shard.0 as usize) else {
            return false;
        };
        if epoch < *known && is_enforced(Guard::OutdatedSenderRejected) {
            return false;
        }
        if epoch > *known {
            *known = epoch;
            if shard == PROVISIONER_SHARD {
                self.inventory_publisher.publish_all_again();
            }
            self.holds.release(|hold| hold.coordinator == shard);
            self.changed_machines.extend(self.machines.keys().copied());
        }
        true
    }

    /// Runs the periodic work that is due at `ctx.now`.
    pub fn tick(&mut self, ctx: &mut Context) {
        self.move_replicas(ctx);
        self.check_due_machines(ctx);
        self.queue_resends(ctx.now);
        self.ask_for_decisions(ctx);
        self.prove_ownership(ctx);
    }

    /// Records that a transaction conditional on this participant's epoch held at this revision.
    pub fn record_ownership(&mut self, revision: u64) {
        self.ownership_proof.record(revision);
    }

    /// Returns the newest fencing token that this participant may use.
    pub fn newest_token(&self) -> u64 {
        self.ownership_proof.newest_token()
    }

    /// Notes that the transaction that only proves the ownership was answered, or will not be.
    pub fn end_ownership_call(&mut self) {
        self.ownership_proof.end_call();
    }

    /// Sends a transaction that only proves the ownership, if workers need a newer fencing token and no other write
    /// of this shard has brought one. It changes nothing in the store.
    fn prove_ownership(&mut self, ctx: &mut Context) {
        if !ctx.lease_valid || !self.ownership_proof.take_due(ctx.now) {
            return;
        }
        self.command_counts.ownership_proofs += 1;
        let condition = Condition { key: keys::shard_key(self.shard), version: self.epoch.0 };
        let transaction = Transaction { conditions: vec![condition], changes: Vec::new() };
        let operation = Operation::ProveOwnership { shard: self.shard, epoch: self.epoch };
        ctx.call_store(operation, StoreCall::Transaction(transaction));
    }

    /// Asks the coordinators of open negotiations for their decisions. A hold ends only when its
    /// coordinator decides, so without this a lost message would leave the hold in place for good.
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
