//! Injection of faults, and the end of all faults.
use super::after_write::{CrashAfterWrite, OutageAfterWrite};
use super::delayed_heartbeats::{DelayWindow, DelayedHeartbeats};
use super::event::Event;
use super::fault_windows::{draw_percent, extend, ActiveWindows};
use super::lost_messages::MessageLoss;
use super::query_bursts::UserWindow;
use super::{Sim, LIVENESS_CHECK_MS};
use crate::script::Fault;
use crate::worker::{TokenMemory, Worker};

impl Sim {
    /// Begins a fault. A plain table with one row for each kind of fault.
    pub(super) fn inject(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            // Controllers.
            Fault::Crash { nodes, back_ms } => self.crash_all(nodes, back_ms),
            Fault::CrashAfterWrite { what, after_ms, back_ms } => {
                self.crashes_after_writes.push(CrashAfterWrite { what, after_ms, back_ms });
            }
            Fault::FreezeNode { node, ms } => self.freeze(node, ms),
            Fault::PeerPartition { ms } => extend(&mut self.peer_partition_until, now + ms),
            Fault::PairPartition { nodes, ms } => self.windows.partition_pair(nodes, now + ms),
            Fault::WorkerPartition { node, ms } => self.partition_from_workers(node, ms),
            Fault::StoreAndPeerPartition { node, ms } => {
                self.partition_from_store_and_peers(node, ms);
            }
            Fault::ZonePartition { zone, ms } => self.windows.partition_zone(zone, None, now + ms),
            Fault::ZonePartitionWithNode { zone, node, ms } => {
                self.windows.partition_zone(zone, Some(node), now + ms);
                self.partition_from_store_and_peers(node, ms);
            }
            // The store.
            Fault::StoreOutage { ms } => extend(&mut self.store_outage_until, now + ms),
            Fault::StoreRefusesNode { node, ms } => self.refuse_at_store(node, ms),
            Fault::SlowStore { ms, by_ms } => self.windows.slow_store.add(by_ms, now + ms),
            Fault::FlakyStore { percent, ms } => {
                self.windows.flaky_store.add(percent.into(), now + ms);
            }
            Fault::NoWatches { ms } => self.windows.no_watches.add(1, now + ms),
            Fault::LateWrites { percent, ms } => {
                self.windows.late_writes.add(percent.into(), now + ms);
            }
            Fault::LostStoreAnswers { percent, ms } => {
                self.windows.lost_store_answers.add(percent.into(), now + ms);
            }
            Fault::OutageAfterWrite { what, slow_ms, after_ms, ms } => {
                self.outages_after_writes.push(OutageAfterWrite { what, slow_ms, after_ms, ms });
            }
            // Messages and requests of all kinds.
            Fault::LateCopies { of, percent, ms } => {
                let windows = self.windows.late_copies.entry(of).or_default();
                windows.add(percent.into(), now + ms);
            }
            // Messages between controllers.
            Fault::LosePeerMessages { percent, ms } => {
                self.windows.lost_peer_messages.add(percent.into(), now + ms);
            }
            Fault::LoseMessagesOfKind { kind, times } => {
                self.message_losses.push(MessageLoss { kind, times });
            }
            // Machines, and messages between machines and controllers.
            Fault::LoseMachines { machines } => {
                self.first_machines(machines).for_each(Worker::lose_machine);
            }
            Fault::HangMachines { machines, ms } => {
                let last = self.machines().rev().take(machines);
                last.for_each(|w| extend(&mut w.hung_until, now + ms));
            }
            Fault::InboundPartition { machines, ms } => self
                .first_machines(machines)
                .for_each(|w| extend(&mut w.inbound_partition_until, now + ms)),
            Fault::OutboundPartition { machines, ms } => self
                .first_machines(machines)
                .for_each(|w| extend(&mut w.outbound_partition_until, now + ms)),
            Fault::FailTasks { machines, ms } => {
                self.first_machines(machines).for_each(|w| extend(&mut w.failing_until, now + ms));
            }
            Fault::RestartWorkers { machines } => {
                self.first_machines(machines).for_each(|w| w.restart(now, TokenMemory::Lost));
            }
            Fault::LateHeartbeatCopies { percent, ms } => {
                self.windows.late_heartbeat_copies.add(percent.into(), now + ms);
            }
            Fault::DelayHeartbeats { percent, ms, owner_change, to_all } => {
                let until = now + ms;
                self.delayed_heartbeats.add(DelayWindow { percent, until, owner_change, to_all });
            }
            Fault::DelayCommands { by_ms, ms } => {
                self.windows.delayed_commands.add(by_ms, now + ms);
            }
            Fault::FastBoots { ms } => self.windows.fast_boots.add(1, now + ms),
            // Users.
            Fault::CancelJobs { percent } => self.cancel_open_jobs(percent),
            Fault::FrequentPolls { ms } => extend(&mut self.frequent_polls_until, now + ms),
            Fault::QueryBursts { percent, ms } => {
                self.query_bursts.after_answers = UserWindow { percent, until: now + ms };
            }
            Fault::QueriesAtCompletion { percent, ms } => {
                self.query_bursts.at_completion = UserWindow { percent, until: now + ms };
            }
            Fault::InvalidRequests { ms } => {
                self.schedule(0, Event::InvalidRequest { until: now + ms });
            }
            Fault::SingleTaskJobs { ms } => {
                self.schedule(0, Event::SingleTaskJob { until: now + ms });
            }
        }
    }

    fn crash_all(&mut self, nodes: Vec<usize>, back_ms: u64) {
        for node in nodes {
            self.crash(node, back_ms);
        }
    }

    /// Withholds CPU time from a controller: its ticks and inputs are late, and its lease may expire meanwhile.
    fn freeze(&mut self, node: usize, ms: u64) {
        extend(&mut self.controllers[node].faults.frozen_until, self.now + ms);
    }

    fn partition_from_workers(&mut self, node: usize, ms: u64) {
        extend(&mut self.controllers[node].faults.worker_partition_until, self.now + ms);
    }

    fn partition_from_store_and_peers(&mut self, node: usize, ms: u64) {
        extend(&mut self.controllers[node].faults.store_and_peer_partition_until, self.now + ms);
    }

    fn refuse_at_store(&mut self, node: usize, ms: u64) {
        extend(&mut self.controllers[node].faults.store_refuses_until, self.now + ms);
    }

    /// Returns the workers of the existing machines, in the order of their names.
    pub(super) fn machines(&mut self) -> impl DoubleEndedIterator<Item = &mut Worker> {
        self.workers.values_mut().filter(|w| !w.gone)
    }

    fn first_machines(&mut self, count: usize) -> impl Iterator<Item = &mut Worker> {
        self.machines().take(count)
    }

    /// Makes users cancel a share of their accepted jobs within a second, except the jobs whose terminal state they
    /// have been told.
    fn cancel_open_jobs(&mut self, percent: u32) {
        let is_open = |id: &&String| !self.rules.acknowledged.contains_key(*id);
        let open: Vec<String> = self.rules.accepted.iter().filter(is_open).cloned().collect();
        for id in open {
            if draw_percent(percent, &mut self.rng) {
                self.schedule_cancel(&id, 0..1000);
            }
        }
    }

    /// Ends all faults. From now on the liveness rules are checked: every user request must be answered.
    pub(super) fn end_all_faults(&mut self) {
        self.plan.random_faults = false;
        for controller in &mut self.controllers {
            controller.faults = super::controllers::ControllerFaults::default();
        }
        (self.peer_partition_until, self.frequent_polls_until) = (0, 0);
        self.windows = ActiveWindows::default();
        self.delayed_heartbeats = DelayedHeartbeats::default();
        self.crashes_after_writes.clear();
        self.outages_after_writes.clear();
        self.message_losses.clear();
        self.store_outage_until = self.store_outage_until.min(self.now);
        for worker in self.workers.values_mut() {
            worker.hung_until = worker.hung_until.min(self.now);
            worker.inbound_partition_until = 0;
            worker.outbound_partition_until = 0;
            worker.failing_until = 0;
        }
        self.rules.fault_free_since = Some(self.now);
        self.schedule(LIVENESS_CHECK_MS, Event::CheckLiveness);
    }
}
