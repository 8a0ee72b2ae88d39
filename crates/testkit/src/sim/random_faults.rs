//! Faults that are drawn from the run's random number generator.
use super::event::Event;
use super::fault_windows::extend;
use super::{Sim, FAST_RESTART_MS, NODES, ZONES};
use crate::script::{Fault, OwnerChange, Written};
use crate::worker::{TokenMemory, Worker};
use rand::Rng;
use std::ops::Range;

/// Interval between two random faults.
const FAULT_INTERVAL_MS: Range<u64> = 3000..15_000;
/// Downtime of a crashed controller that is not restarted at once.
const SLOW_RESTART_MS: Range<u64> = 2000..8000;
/// Duration of the random faults for which [`Sim::draw_percent_and_ms`] draws it.
const SCRIPTED_FAULT_MS: Range<u64> = 3000..30_000;

/// Injects a random fault. Faults of a single controller affect the controller with the given index.
type RandomFault = fn(&mut Sim, usize);

/// All random faults; a more likely fault is listed more than once. The order is part of every seeded run.
const RANDOM_FAULTS: [RandomFault; 37] = [
    Sim::random_crash,
    Sim::random_crash,
    Sim::random_crash_of_all,
    Sim::random_store_outage,
    Sim::toggle_isolation,
    Sim::toggle_store_refusal,
    Sim::random_freeze,
    Sim::random_freeze,
    Sim::random_hang,
    Sim::random_hang,
    Sim::random_peer_partition,
    Sim::random_worker_partition,
    Sim::random_store_and_peer_partition,
    Sim::random_inbound_partitions,
    Sim::random_worker_restart,
    Sim::random_worker_restart,
    Sim::random_task_failures,
    Sim::random_frequent_polls,
    Sim::random_store_refusal,
    Sim::random_store_refusal,
    Sim::random_pair_partition,
    Sim::random_late_messages,
    Sim::random_command_delay,
    Sim::end_isolation,
    Sim::random_outbound_partitions,
    Sim::random_outbound_partitions,
    Sim::random_reclaim,
    Sim::random_lost_store_answers,
    Sim::random_heartbeat_delay,
    Sim::random_crash_after_write,
    Sim::random_fast_boots,
    Sim::random_zone_partition,
    Sim::random_end_of_watches,
    Sim::random_flaky_store,
    Sim::random_outage_after_write,
    Sim::random_outage_after_write,
    Sim::random_lost_peer_messages,
];

impl Sim {
    /// Draws and injects a fault, and schedules the next draw.
    pub(super) fn inject_random_fault(&mut self) {
        if !self.plan.random_faults {
            return;
        }
        let wait_ms = self.rng.random_range(FAULT_INTERVAL_MS);
        self.schedule(wait_ms, Event::RandomFault);
        let node = self.rng.random_range(0..NODES);
        let number = self.rng.random_range(0..RANDOM_FAULTS.len() as u32);
        if self.trace {
            eprintln!("{} fault {number} n-{node}", self.now);
        }
        RANDOM_FAULTS[number as usize](self, node);
    }

    fn draw_ms(&mut self, range: Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    /// Draws the downtime of a crashed controller.
    fn draw_restart_ms(&mut self) -> u64 {
        match self.plan.fast_restarts || self.rng.random_bool(0.3) {
            true => self.draw_ms(FAST_RESTART_MS),
            false => self.draw_ms(SLOW_RESTART_MS),
        }
    }

    /// Draws the share and the duration of a fault.
    fn draw_percent_and_ms(&mut self) -> (u32, u64) {
        let percent = self.rng.random_range(5..100);
        (percent, self.draw_ms(SCRIPTED_FAULT_MS))
    }
}

/// Faults of controllers.
impl Sim {
    fn random_crash(&mut self, node: usize) {
        if self.controllers[node].core.is_some() {
            let back_ms = self.draw_restart_ms();
            self.crash(node, back_ms);
        }
    }

    fn random_crash_of_all(&mut self, _: usize) {
        let back_ms = self.draw_restart_ms();
        self.inject(Fault::Crash { nodes: (0..NODES).collect(), back_ms });
    }

    fn random_crash_after_write(&mut self, _: usize) {
        let writes =
            [Written::Acquisition, Written::Release, Written::Decision, Written::TerminalState];
        // The values are not used, but the draws are part of every seeded run.
        self.draw_percent_and_ms();
        let what = writes[self.rng.random_range(0..writes.len())];
        let after_ms = self.draw_ms(0..600);
        let back_ms = self.draw_restart_ms();
        self.inject(Fault::CrashAfterWrite { what, after_ms, back_ms });
    }

    /// Makes the store go down just after a write, mostly before its answer and its event are out.
    fn random_outage_after_write(&mut self, _: usize) {
        let writes = [Written::Acquisition, Written::Acquisition, Written::Decision];
        let what = writes[self.rng.random_range(0..writes.len())];
        let slow_ms = self.draw_ms(100..800);
        let after_ms = self.draw_ms(0..500);
        let ms = self.draw_ms(2000..20_000);
        self.inject(Fault::OutageAfterWrite { what, slow_ms, after_ms, ms });
    }

    fn random_lost_peer_messages(&mut self, _: usize) {
        let (percent, ms) = self.draw_percent_and_ms();
        self.inject(Fault::LosePeerMessages { percent, ms });
    }

    fn random_freeze(&mut self, node: usize) {
        let ms = self.draw_ms(1000..25_000);
        self.inject(Fault::FreezeNode { node, ms });
    }

    fn toggle_isolation(&mut self, node: usize) {
        self.controllers[node].faults.isolated ^= true;
    }

    /// Ends the faults of `toggle_isolation` and `toggle_store_refusal` for all controllers.
    fn end_isolation(&mut self, _: usize) {
        for controller in &mut self.controllers {
            controller.faults.isolated = false;
            controller.faults.store_refuses = false;
        }
    }

    /// Partitions all controllers from each other, possibly for longer than a cancellation may take (30 s).
    fn random_peer_partition(&mut self, _: usize) {
        let ms = self.draw_ms(5000..45_000);
        self.inject(Fault::PeerPartition { ms });
    }

    fn random_pair_partition(&mut self, node: usize) {
        let ms = self.draw_ms(5000..45_000);
        self.inject(Fault::PairPartition { nodes: (node, (node + 1) % NODES), ms });
    }

    fn random_worker_partition(&mut self, node: usize) {
        let ms = self.draw_ms(5000..40_000);
        self.inject(Fault::WorkerPartition { node, ms });
    }

    fn random_store_and_peer_partition(&mut self, node: usize) {
        let ms = self.draw_ms(5000..60_000);
        self.inject(Fault::StoreAndPeerPartition { node, ms });
    }

    fn random_zone_partition(&mut self, node: usize) {
        let (_, ms) = self.draw_percent_and_ms();
        let zone = ZONES[self.rng.random_range(0..ZONES.len())];
        let fault = match self.rng.random_bool(0.5) {
            true => Fault::ZonePartition { zone, ms },
            false => Fault::ZonePartitionWithNode { zone, node, ms },
        };
        self.inject(fault);
    }
}

/// Faults of the store, and of messages to and from the store.
impl Sim {
    fn random_store_outage(&mut self, _: usize) {
        let ms = self.draw_ms(2000..20_000);
        self.inject(Fault::StoreOutage { ms });
    }

    fn toggle_store_refusal(&mut self, node: usize) {
        self.controllers[node].faults.store_refuses ^= true;
    }

    fn random_store_refusal(&mut self, node: usize) {
        let ms = self.draw_ms(5000..40_000);
        self.inject(Fault::StoreRefusesNode { node, ms });
    }

    fn random_flaky_store(&mut self, _: usize) {
        let (percent, ms) = self.draw_percent_and_ms();
        self.inject(Fault::FlakyStore { percent, ms });
    }

    fn random_lost_store_answers(&mut self, _: usize) {
        let (percent, ms) = self.draw_percent_and_ms();
        self.inject(Fault::LostStoreAnswers { percent, ms });
    }

    fn random_end_of_watches(&mut self, _: usize) {
        let (_, ms) = self.draw_percent_and_ms();
        self.inject(Fault::NoWatches { ms: ms / 4 });
    }

    /// Makes transactions, and copies of heartbeats, arrive late.
    fn random_late_messages(&mut self, _: usize) {
        let ms = self.draw_ms(5000..30_000);
        let percent = self.rng.random_range(5..60_u64) as u32;
        self.inject(Fault::LateWrites { percent, ms });
        self.inject(Fault::LateHeartbeatCopies { percent, ms });
    }
}

/// Faults of machines, and of messages to and from machines.
impl Sim {
    /// Draws an existing machine; `None` if there are none.
    fn random_machine(&mut self) -> Option<&mut Worker> {
        let names: Vec<String> = self.machines().map(|w| w.name.clone()).collect();
        let name = names.get(self.rng.random_range(0..names.len().max(1)))?;
        self.workers.get_mut(name)
    }

    fn affect_random_machine(&mut self, fault: impl FnOnce(&mut Worker)) {
        if let Some(worker) = self.random_machine() {
            fault(worker);
        }
    }

    fn random_hang(&mut self, _: usize) {
        let until = self.now + self.draw_ms(1000..20_000);
        self.affect_random_machine(|w| extend(&mut w.hung_until, until));
    }

    fn random_inbound_partitions(&mut self, _: usize) {
        let until = self.now + self.draw_ms(5000..60_000);
        for _ in 0..self.workers.len() / 5 {
            self.affect_random_machine(|w| extend(&mut w.inbound_partition_until, until));
        }
    }

    fn random_outbound_partitions(&mut self, _: usize) {
        let until = self.now + self.draw_ms(5000..60_000);
        for _ in 0..self.rng.random_range(1..5) {
            self.affect_random_machine(|w| extend(&mut w.outbound_partition_until, until));
        }
    }

    fn random_task_failures(&mut self, _: usize) {
        let until = self.now + self.draw_ms(5000..60_000);
        self.affect_random_machine(|w| extend(&mut w.failing_until, until));
    }

    fn random_worker_restart(&mut self, _: usize) {
        let (now, trace) = (self.now, self.trace);
        let remembers = self.rng.random_bool(0.5);
        let memory = if remembers { TokenMemory::Kept } else { TokenMemory::Lost };
        self.affect_random_machine(|worker| {
            if trace {
                eprintln!("{now} {} restarts, remembers: {remembers}", worker.name);
            }
            worker.restart(now, memory);
        });
    }

    /// Makes the cloud reclaim a machine for good; another one can be launched instead.
    fn random_reclaim(&mut self, _: usize) {
        if let Some(worker) = self.random_machine() {
            worker.lose_machine();
            self.spare_instances += 1;
        }
    }

    fn random_command_delay(&mut self, _: usize) {
        let ms = self.draw_ms(3000..20_000);
        let by_ms = self.draw_ms(500..9000);
        self.inject(Fault::DelayCommands { by_ms, ms });
    }

    fn random_heartbeat_delay(&mut self, _: usize) {
        let (percent, ms) = self.draw_percent_and_ms();
        let changes = [OwnerChange::Acquired, OwnerChange::Loaded, OwnerChange::FirstCommand];
        let owner_change = changes[self.rng.random_range(0..changes.len())];
        let to_all = self.rng.random_bool(0.5);
        self.inject(Fault::DelayHeartbeats { percent, ms, owner_change, to_all });
    }

    /// Makes new machines boot fast, so that they get assignments early, while the store is slow to acknowledge the
    /// writes about them.
    fn random_fast_boots(&mut self, _: usize) {
        let (_, ms) = self.draw_percent_and_ms();
        let by_ms = self.draw_ms(100..3000);
        self.inject(Fault::SlowStore { ms, by_ms });
        self.inject(Fault::FastBoots { ms: 2 * ms });
    }
}

/// Faults of users.
impl Sim {
    fn random_frequent_polls(&mut self, _: usize) {
        let ms = self.draw_ms(5000..30_000);
        self.inject(Fault::FrequentPolls { ms });
    }
}
