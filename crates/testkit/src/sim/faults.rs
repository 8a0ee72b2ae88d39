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
            Fault::Shut { node, ms } => self.shut[node] = self.now + ms,
            Fault::Lone { node, ms } => self.lone[node] = self.now + ms,
            Fault::Refuse { node, ms } => self.refused[node] = self.now + ms,
            Fault::Flaky { percent, ms } => self.flaky = (percent, self.now + ms),
            Fault::Between { nodes, ms } => self.between = (nodes, self.now + ms),
            Fault::LateWrites { percent, ms } => self.late_writes = (percent, self.now + ms),
            Fault::LateReports { percent, ms } => self.late_reports = (percent, self.now + ms),
            Fault::SlowOrders { by_ms, ms } => self.slow_orders = (by_ms, self.now + ms),
            Fault::Cancel { percent } => self.cancel_many(percent),
            Fault::CloseLooks { percent, ms } => self.gaze.closely = (percent, self.now + ms),
            Fault::AtEnd { percent, ms } => self.gaze.at_end = (percent, self.now + ms),
            Fault::OddRequests { ms } => self.at(0, Ev::Odd(self.now + ms)),
            Fault::Ones { ms } => self.at(0, Ev::One(self.now + ms)),
            Fault::LostAnswers { percent, ms } => self.lost_answers = (percent, self.now + ms),
            Fault::Polls { ms } => self.polls_until = self.now + ms,
            Fault::Deaf { machines, ms } => {
                for w in self.workers.values_mut().filter(|w| !w.gone).take(machines) {
                    w.deaf_until = self.now + ms;
                }
            }
            Fault::Faulty { machines, ms } => {
                for w in self.workers.values_mut().filter(|w| !w.gone).take(machines) {
                    w.faulty_until = self.now + ms;
                }
            }
            Fault::Reborn { machines } => {
                for w in self.workers.values_mut().filter(|w| !w.gone).take(machines) {
                    w.restart(self.now, false);
                }
            }
        }
    }

    /// Users change their minds within a second, of what is neither over nor given up.
    fn cancel_many(&mut self, percent: u32) {
        let open = self.rules.accepted.iter().filter(|id| !self.rules.told.contains_key(*id));
        let open: Vec<String> = open.cloned().collect();
        for id in open {
            if self.rng.random_ratio(percent.min(100), 100) {
                let wait = self.rng.random_range(0..1000);
                self.at(wait, Ev::Cancel(id));
            }
        }
    }

    /// All troubles are over, and nobody may be forgotten from now on.
    pub(super) fn calm(&mut self) {
        self.cut = vec![false; NODES];
        self.blind = vec![false; NODES];
        self.plan.faults = false;
        let none = vec![0; NODES];
        (self.shut, self.lone, self.stalled) = (none.clone(), none.clone(), none);
        (self.apart_until, self.polls_until) = (0, 0);
        self.refused = vec![0; NODES];
        self.flaky.1 = 0;
        self.between.1 = 0;
        (self.late_writes.1, self.late_reports.1, self.slow_orders.1) = (0, 0, 0);
        self.lost_answers.1 = 0;
        self.outage_until = self.outage_until.min(self.now);
        for w in self.workers.values_mut() {
            w.hang_until = w.hang_until.min(self.now);
            w.deaf_until = 0;
            w.faulty_until = 0;
        }
        self.rules.calm_since = Some(self.now);
        self.at(1000, Ev::Known);
    }

    /// How long a machine takes to come up, if it ever does.
    pub(super) fn boot_ms(&mut self) -> Option<u64> {
        match self.rng.random_range(0..20) {
            0 if self.plan.faults => None,
            1 | 2 if self.plan.faults => Some(self.rng.random_range(15_000..40_000)),
            3 | 4 if self.plan.faults => Some(self.rng.random_range(100..1000)),
            _ => Some(5000),
        }
    }

    /// A machine that is there.
    fn any_machine(&mut self) -> Option<&mut Worker> {
        let names: Vec<String> =
            self.workers.values().filter(|w| !w.gone).map(|w| w.name.clone()).collect();
        let m = names.get(self.rng.random_range(0..names.len().max(1)))?;
        self.workers.get_mut(m)
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
        if !self.plan.faults {
            return;
        }
        let wait = self.rng.random_range(3000..15_000);
        self.at(wait, Ev::Fault);
        let n = self.rng.random_range(0..NODES);
        let what = self.rng.random_range(0..24);
        if self.trace {
            eprintln!("{} fault {what} n-{n}", self.now);
        }
        match what {
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
                let until = self.now + self.rng.random_range(1000..20_000);
                if let Some(w) = self.any_machine() {
                    w.hang_until = until;
                }
            }
            11 => self.shut[n] = self.now + self.rng.random_range(5000..40_000),
            12 => self.lone[n] = self.now + self.rng.random_range(5000..60_000),
            13 => {
                let until = self.now + self.rng.random_range(5000..60_000);
                for _ in 0..self.workers.len() / 5 {
                    if let Some(w) = self.any_machine() {
                        w.deaf_until = until;
                    }
                }
            }
            14 | 15 => {
                let (now, remembers) = (self.now, self.rng.random_bool(0.5));
                let trace = self.trace;
                if let Some(w) = self.any_machine() {
                    if trace {
                        eprintln!("{now} {} restarts, remembers: {remembers}", w.name);
                    }
                    w.restart(now, remembers);
                }
            }
            16 => {
                let until = self.now + self.rng.random_range(5000..60_000);
                if let Some(w) = self.any_machine() {
                    w.faulty_until = until;
                }
            }
            18 | 19 => self.refused[n] = self.now + self.rng.random_range(5000..40_000),
            20 => {
                let other = (n + 1) % NODES;
                self.between = ((n, other), self.now + self.rng.random_range(5000..45_000));
            }
            21 => {
                let until = self.now + self.rng.random_range(5000..30_000);
                let percent = self.rng.random_range(5..60);
                (self.late_writes, self.late_reports) = ((percent, until), (percent, until));
            }
            22 => {
                let until = self.now + self.rng.random_range(3000..20_000);
                self.slow_orders = (self.rng.random_range(500..9000), until);
            }
            17 => self.polls_until = self.now + self.rng.random_range(5000..30_000),
            _ => {
                self.cut = vec![false; NODES];
                self.blind = vec![false; NODES];
            }
        }
    }
}
