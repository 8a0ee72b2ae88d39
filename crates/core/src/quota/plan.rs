//! How a team's limit is shared out between its coordinators, by what they have told.
//!
//! By priority first; within one, the job that is first in each coordinator's order is served whole,
//! whoever has waited longest before the others, and what it lacks is kept for it, so that gangs
//! don't each hold a part of what they need; the rest is shared evenly. What found no machine
//! lately comes after all that could start now.
//!
//! Options weighed: evenly by amounts alone (three gangs of half the limit each get a third and none
//! starts), whoever asks first (a low array keeps all it can get), shares fixed by coordinator (what
//! one can't use is lost to the others).
use leaddeal_wire::mesh::{QuotaAmount, TeamUsage, PRIORITIES};
use std::cmp::Reverse;

/// Takes of `pool` what is wanted as far as it goes, all at the same pace.
fn evenly(pool: u64, wants: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|&i| wants[i]);
    let (mut left, mut got) = (pool, vec![0; wants.len()]);
    for (n, &i) in order.iter().enumerate() {
        got[i] = wants[i].min(left / (wants.len() - n) as u64);
        left -= got[i];
    }
    got
}

/// What it wants at this priority beyond its first need, which is served apart.
fn beyond_first(a: &TeamUsage, priority: usize, wants: QuotaAmount) -> QuotaAmount {
    wants.minus(a.first[priority].map_or(QuotaAmount::default(), |f| f.need))
}

/// What is given out, to whom.
struct Pool {
    left: QuotaAmount,
    got: Vec<QuotaAmount>,
}

impl Pool {
    fn give(&mut self, to: usize, what: QuotaAmount) {
        let what = what.least(self.left);
        self.left = self.left.minus(what);
        self.got[to] = self.got[to].plus(what);
    }

    fn share(&mut self, wants: &[QuotaAmount]) {
        let cpus: Vec<u64> = wants.iter().map(|w| w.cpu).collect();
        let gpus: Vec<u64> = wants.iter().map(|w| w.gpu).collect();
        let (cpus, gpus) = (evenly(self.left.cpu, &cpus), evenly(self.left.gpu, &gpus));
        for (i, (cpu, gpu)) in cpus.into_iter().zip(gpus).enumerate() {
            self.give(i, QuotaAmount { cpu, gpu });
        }
    }

    /// Those that are first in a coordinator's order and of this priority, whole. Who does not fit has
    /// what is left kept for it, and gets nothing yet: `whole` says so.
    fn firsts(&mut self, priority: usize, limit: QuotaAmount, asks: &[TeamUsage], whole: bool) {
        let mut firsts: Vec<_> = asks
            .iter()
            .enumerate()
            .filter_map(|(i, a)| Some((i, a.first[priority]?)))
            .filter(|(_, f)| f.need.within(limit))
            .collect();
        firsts.sort_by_key(|(i, f)| (Reverse(f.waited_ms), *i));
        for (i, f) in firsts {
            if whole && !f.need.within(self.left) {
                self.left = self.left.minus(f.need);
            } else {
                self.give(i, f.need);
            }
        }
    }
}

/// What each may take beyond what it uses.
pub(super) fn extras(limit: QuotaAmount, asks: &[TeamUsage]) -> Vec<QuotaAmount> {
    let used = asks.iter().fold(QuotaAmount::default(), |sum, a| sum.plus(a.in_use()));
    let mut pool = Pool { left: limit.minus(used), got: vec![QuotaAmount::default(); asks.len()] };
    for p in (0..PRIORITIES).rev() {
        pool.firsts(p, limit, asks, true);
        let wants: Vec<QuotaAmount> =
            asks.iter().map(|a| beyond_first(a, p, a.wanted[p])).collect();
        pool.share(&wants);
    }
    for p in (0..PRIORITIES).rev() {
        let wants: Vec<QuotaAmount> = asks.iter().map(|a| a.unplaceable[p]).collect();
        pool.share(&wants);
    }
    pool.got
}

/// What each would take if all lesser work of the team gave way: what is used and wanted at each
/// priority before anything of the next.
pub(super) fn dues(limit: QuotaAmount, asks: &[TeamUsage]) -> Vec<QuotaAmount> {
    let mut pool = Pool { left: limit, got: vec![QuotaAmount::default(); asks.len()] };
    for p in (0..PRIORITIES).rev() {
        for (i, a) in asks.iter().enumerate() {
            pool.give(i, a.used[p]);
        }
        pool.firsts(p, limit, asks, false);
        let wants = |a: &TeamUsage| beyond_first(a, p, a.wanted[p]).plus(a.unplaceable[p]);
        let wants: Vec<QuotaAmount> = asks.iter().map(wants).collect();
        pool.share(&wants);
    }
    pool.got
}
