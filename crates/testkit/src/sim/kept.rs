//! Reports that are kept until a shard changes hands, and arrive then: copies, or the reports themselves.
use super::*;
use leaddeal_core::ids::shard_of_machine;

/// Reports are kept in a spell: of so many of a hundred, until then, and what becomes of them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Keeping {
    pub(super) percent: u32,
    pub(super) until: u64,
    pub(super) moment: Moment,
    pub(super) to_all: bool,
}

/// A report on its way to whoever owns its machine's shard by that moment, or to every controller.
struct Kept {
    report: WorkerHeartbeat,
    /// When it was sent; 0: a copy, whose answer nobody waits for.
    sent: u64,
    moment: Moment,
    to_all: bool,
}

#[derive(Default)]
pub(super) struct Keeper {
    spells: Vec<Keeping>,
    kept: Vec<Kept>,
    /// Controllers that have loaded a shard and commanded no machine of it yet.
    begun: BTreeMap<Shard, usize>,
}

impl Keeper {
    pub(super) fn add(&mut self, k: Keeping) {
        self.spells.push(k);
    }

    /// Keeps the report, or copies of it. True: it is not on its way otherwise.
    pub(super) fn keep(&mut self, report: &WorkerHeartbeat, now: u64, rng: &mut SmallRng) -> bool {
        self.spells.retain(|k| now < k.until);
        let mut held = false;
        for k in &self.spells {
            if rng.random_ratio(k.percent.min(100), 100) {
                let &Keeping { moment, to_all, .. } = k;
                let copy = moment != Moment::Acted;
                held |= !copy;
                let sent = if copy { 0 } else { now };
                self.kept.push(Kept { report: report.clone(), sent, moment, to_all });
            }
        }
        held
    }

    /// The moment has come for a shard: these reports arrive, at all controllers or at its owner.
    fn due(&mut self, moment: Moment, shard: Shard) -> Vec<Kept> {
        let is_due = |k: &mut Kept| {
            k.moment == moment && shard_of_machine(&k.report.machine, NODES) == shard
        };
        self.kept.extract_if(.., is_due).collect()
    }
}

impl Sim {
    /// A controller says that it has acquired or loaded a shard.
    pub(super) fn shard_changes_hands(&mut self, n: usize, event: &str, what: &str) {
        let shard = what.split_whitespace().find_map(|w| w.strip_prefix("seat=")?.parse().ok());
        let Some(shard) = shard.map(Shard) else { return };
        match event {
            "seat_acquired" => self.arrive(n, Moment::Acquired, shard),
            "seat_loaded" => {
                self.keeper.begun.insert(shard, n);
                self.arrive(n, Moment::Ready, shard);
            }
            _ => {}
        }
    }

    /// A controller commands a machine.
    pub(super) fn commands(&mut self, n: usize, machine: &str) {
        let shard = shard_of_machine(machine, NODES);
        if self.keeper.begun.get(&shard) == Some(&n) {
            self.keeper.begun.remove(&shard);
            self.arrive(n, Moment::Acted, shard);
        }
    }

    /// What was kept until this moment arrives in it.
    fn arrive(&mut self, owner: usize, moment: Moment, shard: Shard) {
        for k in self.keeper.due(moment, shard) {
            *self.marks.kept.entry(moment).or_default() += 1;
            for n in (0..NODES).filter(|&n| k.to_all || n == owner) {
                let r = k.report.clone();
                self.at(0, Ev::Report(n, r.machine.clone(), k.sent, r));
            }
        }
    }
}
