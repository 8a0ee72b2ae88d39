//! What fails, at random and at set times.
use super::kept::Keeping;
use super::troubles::longer;
use super::*;

impl Sim {
    pub(super) fn scripted(&mut self, f: Fault) {
        let now = self.now;
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
                    longer(&mut w.hang_until, now + ms);
                }
            }
            Fault::Freeze { node, ms } => longer(&mut self.stalled[node], now + ms),
            Fault::Apart { ms } => longer(&mut self.apart_until, now + ms),
            Fault::Outage { ms } => longer(&mut self.outage_until, now + ms),
            Fault::SlowStore { ms, by_ms } => self.troubles.slow_store.add(by_ms, now + ms),
            Fault::CutZone { zone, ms } => self.troubles.cut_zone(zone, None, now + ms),
            Fault::CutZoneWith { zone, node, ms } => {
                self.troubles.cut_zone(zone, Some(node), now + ms);
                longer(&mut self.lone[node], now + ms);
            }
            Fault::Shut { node, ms } => longer(&mut self.shut[node], now + ms),
            Fault::Lone { node, ms } => longer(&mut self.lone[node], now + ms),
            Fault::Refuse { node, ms } => longer(&mut self.refused[node], now + ms),
            Fault::Flaky { percent, ms } => self.troubles.flaky.add(percent.into(), now + ms),
            Fault::NoWatch { ms } => self.troubles.no_watch.add(1, now + ms),
            Fault::Between { nodes, ms } => self.troubles.part(nodes, now + ms),
            Fault::LateWrites { percent, ms } => {
                self.troubles.late_writes.add(percent.into(), now + ms);
            }
            Fault::LostAnswers { percent, ms } => {
                self.troubles.lost_answers.add(percent.into(), now + ms);
            }
            Fault::LateReports { percent, ms } => {
                self.troubles.late_reports.add(percent.into(), now + ms);
            }
            Fault::Keep { percent, ms, moment, to_all } => {
                self.keeper.add(Keeping { percent, until: now + ms, moment, to_all });
            }
            Fault::EndsOn { what, after_ms, back_ms } => {
                self.endings.push(Ending { what, after_ms, back_ms });
            }
            Fault::QuickBoots { ms } => self.troubles.quick_boots.add(1, now + ms),
            Fault::SlowOrders { by_ms, ms } => self.troubles.slow_orders.add(by_ms, now + ms),
            Fault::Cancel { percent } => self.cancel_many(percent),
            Fault::Polls { ms } => longer(&mut self.polls_until, now + ms),
            Fault::CloseLooks { percent, ms } => self.gaze.closely = (percent, now + ms),
            Fault::AtEnd { percent, ms } => self.gaze.at_end = (percent, now + ms),
            Fault::OddRequests { ms } => self.at(0, Ev::Odd(now + ms)),
            Fault::Ones { ms } => self.at(0, Ev::One(now + ms)),
            Fault::Deaf { machines, ms } => {
                for w in self.workers.values_mut().filter(|w| !w.gone).take(machines) {
                    longer(&mut w.deaf_until, now + ms);
                }
            }
            Fault::Mute { machines, ms } => {
                for w in self.workers.values_mut().filter(|w| !w.gone).take(machines) {
                    longer(&mut w.mute_until, now + ms);
                }
            }
            Fault::Faulty { machines, ms } => {
                for w in self.workers.values_mut().filter(|w| !w.gone).take(machines) {
                    longer(&mut w.faulty_until, now + ms);
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
        (self.troubles, self.keeper) = (Troubles::default(), Keeper::default());
        self.endings.clear();
        self.outage_until = self.outage_until.min(self.now);
        for w in self.workers.values_mut() {
            w.hang_until = w.hang_until.min(self.now);
            (w.deaf_until, w.mute_until, w.faulty_until) = (0, 0, 0);
        }
        self.rules.calm_since = Some(self.now);
        self.at(1000, Ev::Known);
    }

    /// Tasks that run on machines which reach no controller.
    pub fn on_mute_machines(&self) -> Vec<String> {
        let mute = self.workers.values().filter(|w| !w.gone && self.now < w.mute_until);
        let up = mute.flat_map(|w| &w.tasks).filter(|(_, t)| t.state == TaskState::Running);
        up.map(|((task, _), _)| task.clone()).collect()
    }

    /// How long a machine takes to come up, if it ever does.
    pub(super) fn boot_ms(&mut self) -> Option<u64> {
        let quick = self.troubles.quick_boots.now(self.now).is_some();
        match self.rng.random_range(0..20) {
            _ if quick => Some(self.rng.random_range(200..2000)),
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

    /// So long what goes between that machine and a controller is held back.
    pub(super) fn held_back(&self, machine: &str, n: usize) -> u64 {
        let zone = self.workers.get(machine).map(|w| w.zone.as_str());
        zone.map_or(0, |z| self.troubles.zone_cut_ms(z, n, self.now))
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
        let what = self.rng.random_range(0..34);
        if self.trace {
            eprintln!("{} fault {what} n-{n}", self.now);
        }
        match what {
            // Controllers reach all but each other, for longer than a cancellation may take.
            10 => longer(&mut self.apart_until, self.now + self.rng.random_range(5000..45_000)),
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
            3 => longer(&mut self.outage_until, self.now + self.rng.random_range(2000..20_000)),
            4 => self.cut[n] = !self.cut[n],
            5 => self.blind[n] = !self.blind[n],
            // No processor time for a while: whatever is due or comes is late, its lease over.
            6 | 7 => longer(&mut self.stalled[n], self.now + self.rng.random_range(1000..25_000)),
            8 | 9 => {
                let until = self.now + self.rng.random_range(1000..20_000);
                if let Some(w) = self.any_machine() {
                    longer(&mut w.hang_until, until);
                }
            }
            11 => longer(&mut self.shut[n], self.now + self.rng.random_range(5000..40_000)),
            12 => longer(&mut self.lone[n], self.now + self.rng.random_range(5000..60_000)),
            13 => {
                let until = self.now + self.rng.random_range(5000..60_000);
                for _ in 0..self.workers.len() / 5 {
                    if let Some(w) = self.any_machine() {
                        longer(&mut w.deaf_until, until);
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
                    longer(&mut w.faulty_until, until);
                }
            }
            18 | 19 => longer(&mut self.refused[n], self.now + self.rng.random_range(5000..40_000)),
            20 => {
                let until = self.now + self.rng.random_range(5000..45_000);
                self.troubles.part((n, (n + 1) % NODES), until);
            }
            21 => {
                let until = self.now + self.rng.random_range(5000..30_000);
                let percent = self.rng.random_range(5..60);
                self.troubles.late_writes.add(percent, until);
                self.troubles.late_reports.add(percent, until);
            }
            22 => {
                let until = self.now + self.rng.random_range(3000..20_000);
                self.troubles.slow_orders.add(self.rng.random_range(500..9000), until);
            }
            17 => longer(&mut self.polls_until, self.now + self.rng.random_range(5000..30_000)),
            24 | 25 => {
                let until = self.now + self.rng.random_range(5000..60_000);
                for _ in 0..self.rng.random_range(1..5) {
                    if let Some(w) = self.any_machine() {
                        longer(&mut w.mute_until, until);
                    }
                }
            }
            26 => {
                // Taken away for good; others may be rented instead.
                if let Some(w) = self.any_machine() {
                    w.gone = true;
                    w.tasks.clear();
                    self.spare += 1;
                }
            }
            27..34 => {
                let f = self.drawn(what, n);
                self.scripted(f);
            }
            _ => {
                self.cut = vec![false; NODES];
                self.blind = vec![false; NODES];
            }
        }
    }

    /// Faults that are drawn with the same words as scripts have for them.
    fn drawn(&mut self, what: u32, n: usize) -> Fault {
        let rng = &mut self.rng;
        let percent = rng.random_range(5..100);
        let ms = rng.random_range(3000..30_000);
        match what {
            27 => Fault::LostAnswers { percent, ms },
            28 => {
                let moments = [Moment::Acquired, Moment::Ready, Moment::Acted];
                let moment = moments[rng.random_range(0..moments.len())];
                Fault::Keep { percent, ms, moment, to_all: rng.random_bool(0.5) }
            }
            29 => {
                let writes =
                    [Written::Acquisition, Written::Release, Written::Decision, Written::Final];
                let what = writes[rng.random_range(0..writes.len())];
                let after_ms = rng.random_range(0..600);
                Fault::EndsOn { what, after_ms, back_ms: self.back_ms() }
            }
            30 => {
                // Work comes to new machines at once, and what is written of it lags.
                let by_ms = rng.random_range(100..3000);
                self.troubles.slow_store.add(by_ms, self.now + ms);
                Fault::QuickBoots { ms: 2 * ms }
            }
            31 => {
                let zone = ZONES[rng.random_range(0..ZONES.len())];
                match rng.random_bool(0.5) {
                    true => Fault::CutZone { zone, ms },
                    false => Fault::CutZoneWith { zone, node: n, ms },
                }
            }
            32 => Fault::NoWatch { ms: ms / 4 },
            _ => Fault::Flaky { percent, ms },
        }
    }
}
