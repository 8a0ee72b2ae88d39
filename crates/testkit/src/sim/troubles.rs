//! Troubles that last for a while. Of each kind several may overlap.
use super::*;

/// Spells of one kind: how strong each is, and until when it lasts.
#[derive(Default)]
pub(super) struct Spells(Vec<(u64, u64)>);

impl Spells {
    pub(super) fn add(&mut self, strength: u64, until: u64) {
        self.0.push((strength, until));
    }

    /// The strength of the strongest that lasts, if there is any.
    pub(super) fn now(&mut self, now: u64) -> Option<u64> {
        self.0.retain(|s| now < s.1);
        self.0.iter().map(|s| s.0).max()
    }

    /// Whether one of so many of a hundred things is struck.
    pub(super) fn strike(&mut self, now: u64, rng: &mut SmallRng) -> bool {
        self.now(now).is_some_and(|percent| rng.random_ratio(percent.min(100) as u32, 100))
    }
}

#[derive(Default)]
pub(super) struct Troubles {
    /// The state service refuses so many of a hundred calls.
    pub(super) flaky: Spells,
    /// It ends watches.
    pub(super) no_watch: Spells,
    /// So many of a hundred transactions get no answer, and are carried out late.
    pub(super) late_writes: Spells,
    /// Or are carried out at once.
    pub(super) lost_answers: Spells,
    /// Of so many of a hundred reports a copy arrives again.
    pub(super) late_reports: Spells,
    /// Commands are held up for so many milliseconds, and answers of the state service.
    pub(super) slow_orders: Spells,
    pub(super) slow_store: Spells,
    /// New machines are up soon.
    pub(super) quick_boots: Spells,
    /// Pairs of controllers that don't reach each other, until when.
    between: BTreeMap<(usize, usize), u64>,
    zones: Vec<CutOff>,
}

/// A zone that is cut off, with a controller inside or none.
struct CutOff {
    zone: &'static str,
    node: Option<usize>,
    until: u64,
}

impl Troubles {
    pub(super) fn part(&mut self, (a, b): (usize, usize), until: u64) {
        longer(self.between.entry((a.min(b), a.max(b))).or_default(), until);
    }

    pub(super) fn parted(&self, a: usize, b: usize, now: u64) -> bool {
        self.between.get(&(a.min(b), a.max(b))).is_some_and(|&until| now < until)
    }

    pub(super) fn cut_zone(&mut self, zone: &'static str, node: Option<usize>, until: u64) {
        self.zones.push(CutOff { zone, node, until });
    }

    /// So long what goes between a zone's machines and a controller is held back.
    pub(super) fn zone_cut_ms(&self, zone: &str, n: usize, now: u64) -> u64 {
        let between = self.zones.iter().filter(|c| (c.zone == zone) != (c.node == Some(n)));
        between.map(|c| c.until.saturating_sub(now)).max().unwrap_or(0)
    }
}

/// One that lasts already ends no sooner for another one.
pub(super) fn longer(until: &mut u64, other: u64) {
    *until = other.max(*until);
}
