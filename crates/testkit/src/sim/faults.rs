//! What fails, at random and at set times.
use super::*;

impl Sim {
    pub(super) fn scripted(&mut self, f: Fault) {
        match f {
            Fault::Crash { nodes, back_ms } => {
                for n in nodes {
                    if self.nodes[n].take().is_some() {
                        self.at(back_ms, Ev::Restart(n));
                    }
                }
            }
            Fault::Die { machines } => {
                for w in self.workers.values_mut().filter(|w| !w.gone).take(machines) {
                    w.gone = true;
                    w.tasks.clear();
                }
            }
            Fault::Hang { machines, ms } => {
                for w in self.workers.values_mut().filter(|w| !w.gone).rev().take(machines) {
                    w.hang_until = self.now + ms;
                }
            }
            Fault::Freeze { node, ms } => self.stalled[node] = self.now + ms,
            Fault::Apart { ms } => self.apart_until = self.now + ms,
            Fault::Outage { ms } => self.outage_until = self.now + ms,
            Fault::SlowStore { ms, by_ms } => self.slow_store = (self.now + ms, by_ms),
            Fault::CutZone { zone, ms } => self.zone_cut = (zone, self.now + ms),
        }
    }

    /// So long what goes between controllers and that machine is held back.
    pub(super) fn held_back(&self, machine: &str) -> u64 {
        let (zone, until) = self.zone_cut;
        let inside = self.workers.get(machine).is_some_and(|w| w.zone == zone);
        if inside {
            until.saturating_sub(self.now)
        } else {
            0
        }
    }

    /// How long an ended controller stays away.
    pub(super) fn back_ms(&mut self) -> u64 {
        match self.plan.quick || self.rng.random_bool(0.3) {
            true => self.rng.random_range(QUICK),
            false => self.rng.random_range(2000..8000),
        }
    }

    pub(super) fn fault(&mut self) {
        let wait = self.rng.random_range(3000..15_000);
        self.at(wait, Ev::Fault);
        let n = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..12) {
            // Controllers reach all but each other, for longer than a cancellation may take.
            10 => self.apart_until = self.now + self.rng.random_range(5000..45_000),
            0 | 1 => {
                if self.nodes[n].take().is_some() {
                    let back = self.back_ms();
                    self.at(back, Ev::Restart(n));
                }
            }
            2 => {
                let back = self.back_ms();
                for i in 0..NODES {
                    if self.nodes[i].take().is_some() {
                        self.at(back, Ev::Restart(i));
                    }
                }
            }
            3 => self.outage_until = self.now + self.rng.random_range(2000..20_000),
            4 => self.cut[n] = !self.cut[n],
            5 => self.blind[n] = !self.blind[n],
            // No processor time for a while: whatever is due or comes is late, its lease over.
            6 | 7 => self.stalled[n] = self.now + self.rng.random_range(1000..25_000),
            8 | 9 => {
                let names: Vec<String> = self.workers.keys().cloned().collect();
                let m = &names[self.rng.random_range(0..names.len())];
                let long = self.rng.random_range(1000..20_000);
                if let Some(w) = self.workers.get_mut(m) {
                    w.hang_until = self.now + long;
                }
            }
            _ => {
                self.cut = vec![false; NODES];
                self.blind = vec![false; NODES];
            }
        }
    }
}
