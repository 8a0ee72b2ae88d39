//! What fails, at random and at set times.
use super::crash_after_write::CrashAfterWrite;
use super::delayed_heartbeats::{DelayWindow, DelayedHeartbeats};
use super::event::Event;
use super::fault_windows::{draw_percent, extend, ActiveWindows};
use super::query_bursts::UserWindow;
use super::{Sim, FAST_RESTART_MS, LIVENESS_CHECK_MS, NODES, ZONES};
use crate::script::{Fault, OwnerChange, Written};
use crate::worker::{Memory, Worker};
use rand::Rng;
use std::ops::Range;

/// Between two random faults.
const FAULT_INTERVAL_MS: Range<u64> = 3000..15_000;
/// How long a controller stays away that is not started again at once.
const SLOW_RESTART_MS: Range<u64> = 2000..8000;

impl Sim {
    /// A fault begins. This is a plain table, one row for each kind of fault.
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
            // The state service.
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
            // Machines and what goes between them and controllers.
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
                self.first_machines(machines).for_each(|w| extend(&mut w.failing_until, now + ms))
            }
            Fault::RestartWorkers { machines } => {
                self.first_machines(machines).for_each(|w| w.restart(now, Memory::Lost));
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
            Fault::CancelJobs { percent } => self.cancel_many(percent),
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
        nodes.into_iter().for_each(|node| self.crash(node, back_ms));
    }

    /// A controller gets no processor time: whatever is due or comes is late, its lease over.
    fn freeze(&mut self, node: usize, ms: u64) {
        extend(&mut self.controllers[node].partitions.frozen_until, self.now + ms);
    }

    fn partition_from_workers(&mut self, node: usize, ms: u64) {
        extend(&mut self.controllers[node].partitions.workers_until, self.now + ms);
    }

    fn partition_from_store_and_peers(&mut self, node: usize, ms: u64) {
        extend(&mut self.controllers[node].partitions.store_and_peers_until, self.now + ms);
    }

    fn refuse_at_store(&mut self, node: usize, ms: u64) {
        extend(&mut self.controllers[node].partitions.store_refuses_until, self.now + ms);
    }

    /// The workers of the machines that are there, by name.
    fn machines(&mut self) -> impl DoubleEndedIterator<Item = &mut Worker> {
        self.workers.values_mut().filter(|w| !w.gone)
    }

    fn first_machines(&mut self, count: usize) -> impl Iterator<Item = &mut Worker> {
        self.machines().take(count)
    }

    /// Users cancel, within a second, what is neither over nor cancelled as far as they know.
    fn cancel_many(&mut self, percent: u32) {
        let is_open = |id: &&String| !self.rules.acknowledged.contains_key(*id);
        let open: Vec<String> = self.rules.accepted.iter().filter(is_open).cloned().collect();
        for id in open {
            if draw_percent(percent, &mut self.rng) {
                self.cancel_within(&id, 0..1000);
            }
        }
    }

    /// All faults are over, and nobody may be left without an answer from now on.
    pub(super) fn begin_calm(&mut self) {
        self.plan.faults = false;
        for controller in &mut self.controllers {
            controller.partitions = Default::default();
        }
        (self.peer_partition_until, self.frequent_polls_until) = (0, 0);
        self.windows = ActiveWindows::default();
        self.delayed_heartbeats = DelayedHeartbeats::default();
        self.crashes_after_writes.clear();
        self.store_outage_until = self.store_outage_until.min(self.now);
        for worker in self.workers.values_mut() {
            worker.hung_until = worker.hung_until.min(self.now);
            worker.inbound_partition_until = 0;
            worker.outbound_partition_until = 0;
            worker.failing_until = 0;
        }
        self.rules.calm_since = Some(self.now);
        self.schedule(LIVENESS_CHECK_MS, Event::CheckLiveness);
    }

    /// A machine that is there.
    fn random_machine(&mut self) -> Option<&mut Worker> {
        let names: Vec<String> = self.machines().map(|w| w.name.clone()).collect();
        let name = names.get(self.rng.random_range(0..names.len().max(1)))?;
        self.workers.get_mut(name)
    }

    /// How long an ended controller stays away.
    fn random_restart_ms(&mut self) -> u64 {
        match self.plan.fast_restarts || self.rng.random_bool(0.3) {
            true => self.rng.random_range(FAST_RESTART_MS),
            false => self.rng.random_range(SLOW_RESTART_MS),
        }
    }

    /// Draws a fault, and schedules the next draw. The numbers are the weights of the faults, too.
    pub(super) fn random_fault(&mut self) {
        if !self.plan.faults {
            return;
        }
        let wait_ms = self.rng.random_range(FAULT_INTERVAL_MS);
        self.schedule(wait_ms, Event::RandomFault);
        let node = self.rng.random_range(0..NODES);
        let number = self.rng.random_range(0..34);
        if self.trace {
            eprintln!("{} fault {number} n-{node}", self.now);
        }
        match number {
            8 | 9 | 13..=16 | 24..=26 => self.random_machine_fault(number),
            27..34 => {
                let fault = self.random_scripted_fault(number, node);
                self.inject(fault);
            }
            _ => self.random_node_fault(number, node),
        }
    }

    /// A duration from the range.
    fn draw_ms(&mut self, range: Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    /// Faults of controllers, and of what they reach.
    fn random_node_fault(&mut self, number: u32, node: usize) {
        match number {
            0 | 1 => self.random_crash(node),
            2 => {
                let back_ms = self.random_restart_ms();
                self.crash_all((0..NODES).collect(), back_ms);
            }
            3 => {
                let ms = self.draw_ms(2000..20_000);
                extend(&mut self.store_outage_until, self.now + ms);
            }
            4 => self.controllers[node].partitions.isolated ^= true,
            5 => self.controllers[node].partitions.store_refuses ^= true,
            6 | 7 => {
                let ms = self.draw_ms(1000..25_000);
                self.freeze(node, ms);
            }
            10..=12 | 20 => self.random_partition(number, node),
            17 => {
                let ms = self.draw_ms(5000..30_000);
                extend(&mut self.frequent_polls_until, self.now + ms);
            }
            18 | 19 => {
                let ms = self.draw_ms(5000..40_000);
                self.refuse_at_store(node, ms);
            }
            21 => self.random_late_messages(),
            22 => {
                let until = self.now + self.draw_ms(3000..20_000);
                let by_ms = self.draw_ms(500..9000);
                self.windows.delayed_commands.add(by_ms, until);
            }
            _ => self.end_isolation(),
        }
    }

    /// Partitions between controllers, and of a controller from others.
    fn random_partition(&mut self, number: u32, node: usize) {
        match number {
            // For longer than a cancellation may take.
            10 => {
                let ms = self.draw_ms(5000..45_000);
                extend(&mut self.peer_partition_until, self.now + ms);
            }
            11 => {
                let ms = self.draw_ms(5000..40_000);
                self.partition_from_workers(node, ms);
            }
            12 => {
                let ms = self.draw_ms(5000..60_000);
                self.partition_from_store_and_peers(node, ms);
            }
            _ => {
                let until = self.now + self.draw_ms(5000..45_000);
                self.windows.partition_pair((node, (node + 1) % NODES), until);
            }
        }
    }

    fn random_crash(&mut self, node: usize) {
        if self.controllers[node].core.is_some() {
            let back_ms = self.random_restart_ms();
            self.crash(node, back_ms);
        }
    }

    fn random_late_messages(&mut self) {
        let until = self.now + self.draw_ms(5000..30_000);
        let percent = self.rng.random_range(5..60);
        self.windows.late_writes.add(percent, until);
        self.windows.late_heartbeat_copies.add(percent, until);
    }

    /// Controllers reach everything again that random faults isolated, and the state service takes their
    /// calls.
    fn end_isolation(&mut self) {
        for controller in &mut self.controllers {
            controller.partitions.isolated = false;
            controller.partitions.store_refuses = false;
        }
    }

    /// Faults of machines.
    fn random_machine_fault(&mut self, number: u32) {
        match number {
            8 | 9 => {
                let until = self.now + self.draw_ms(1000..20_000);
                self.affect_random_machine(|w| extend(&mut w.hung_until, until));
            }
            13 => {
                let until = self.now + self.draw_ms(5000..60_000);
                for _ in 0..self.workers.len() / 5 {
                    self.affect_random_machine(|w| extend(&mut w.inbound_partition_until, until));
                }
            }
            14 | 15 => self.restart_random_worker(),
            16 => {
                let until = self.now + self.draw_ms(5000..60_000);
                self.affect_random_machine(|w| extend(&mut w.failing_until, until));
            }
            24 | 25 => {
                let until = self.now + self.draw_ms(5000..60_000);
                for _ in 0..self.rng.random_range(1..5) {
                    self.affect_random_machine(|w| extend(&mut w.outbound_partition_until, until));
                }
            }
            _ => self.reclaim_random_machine(),
        }
    }

    fn affect_random_machine(&mut self, fault: impl FnOnce(&mut Worker)) {
        if let Some(worker) = self.random_machine() {
            fault(worker);
        }
    }

    fn restart_random_worker(&mut self) {
        let (now, trace) = (self.now, self.trace);
        let remembers = self.rng.random_bool(0.5);
        let memory = if remembers { Memory::Kept } else { Memory::Lost };
        self.affect_random_machine(|worker| {
            if trace {
                eprintln!("{now} {} restarts, remembers: {remembers}", worker.name);
            }
            worker.restart(now, memory);
        });
    }

    /// The cloud takes a machine away for good; others may be launched instead.
    fn reclaim_random_machine(&mut self) {
        if let Some(worker) = self.random_machine() {
            worker.lose_machine();
            self.spare_instances += 1;
        }
    }

    /// Faults that are drawn as scripts have them.
    fn random_scripted_fault(&mut self, number: u32, node: usize) -> Fault {
        let percent = self.rng.random_range(5..100);
        let ms = self.rng.random_range(3000..30_000);
        match number {
            27 => Fault::LostStoreAnswers { percent, ms },
            28 => {
                let changes =
                    [OwnerChange::Acquired, OwnerChange::Loaded, OwnerChange::FirstCommand];
                let owner_change = changes[self.rng.random_range(0..changes.len())];
                let to_all = self.rng.random_bool(0.5);
                Fault::DelayHeartbeats { percent, ms, owner_change, to_all }
            }
            29 => {
                let writes = [
                    Written::Acquisition,
                    Written::Release,
                    Written::Decision,
                    Written::TerminalState,
                ];
                let what = writes[self.rng.random_range(0..writes.len())];
                let after_ms = self.rng.random_range(0..600);
                Fault::CrashAfterWrite { what, after_ms, back_ms: self.random_restart_ms() }
            }
            30 => {
                // Work comes to new machines at once, and what is written of it lags.
                let by_ms = self.rng.random_range(100..3000);
                self.windows.slow_store.add(by_ms, self.now + ms);
                Fault::FastBoots { ms: 2 * ms }
            }
            31 => {
                let zone = ZONES[self.rng.random_range(0..ZONES.len())];
                match self.rng.random_bool(0.5) {
                    true => Fault::ZonePartition { zone, ms },
                    false => Fault::ZonePartitionWithNode { zone, node, ms },
                }
            }
            32 => Fault::NoWatches { ms: ms / 4 },
            _ => Fault::FlakyStore { percent, ms },
        }
    }
}
