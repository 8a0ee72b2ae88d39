//! How a team's limit is shared out between its coordinators, by what they have reported.
//!
//! By priority first; within one, the job that is first in each coordinator's order is served whole,
//! the one that has waited longest before the others, and what it lacks is kept for it, so that
//! gangs don't each hold a part of what they need; the rest is shared max-min fairly. What found no
//! machine lately comes after all that could start now.
//!
//! Options weighed: evenly by amounts alone (three gangs of half the limit each get a third and none
//! starts), first come first served (a low array keeps all it can get), shares fixed by coordinator
//! (what one can't use is lost to the others).
use leaddeal_wire::mesh::{QuotaAmount, TeamUsage, PRIORITIES};
use std::cmp::Reverse;

/// Max-min fair shares of `available`: nobody gets more than wanted, and what one doesn't want is
/// shared by the others.
fn max_min_fair(available: u64, wanted: &[u64]) -> Vec<u64> {
    let mut least_first: Vec<usize> = (0..wanted.len()).collect();
    least_first.sort_by_key(|&i| wanted[i]);
    let mut left = available;
    let mut shares = vec![0; wanted.len()];
    for (served, &i) in least_first.iter().enumerate() {
        let even_share = left / (wanted.len() - served) as u64;
        shares[i] = wanted[i].min(even_share);
        left -= shares[i];
    }
    shares
}

/// What a coordinator wants at this priority beyond its first need, which is served apart.
fn wanted_after_first(usage: &TeamUsage, priority: usize) -> QuotaAmount {
    let first = usage.first[priority].map_or(QuotaAmount::default(), |first| first.need);
    usage.wanted[priority].minus(first)
}

/// What happens to the first job of a coordinator that needs more than what is left.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FirstThatLacks {
    /// It gets nothing yet, and what is left is kept for it.
    Waits,
    /// It gets nothing yet, and what is left goes to others.
    IsPassedOver,
    /// It gets what is left.
    TakesPart,
}

/// A limit as it is shared out: the shares by the coordinators' places in the list of reports.
#[derive(Clone)]
struct Allocation {
    left: QuotaAmount,
    shares: Vec<QuotaAmount>,
}

impl Allocation {
    fn new(available: QuotaAmount, coordinators: usize) -> Allocation {
        Allocation { left: available, shares: vec![QuotaAmount::default(); coordinators] }
    }

    /// Gives a coordinator this amount, as far as it goes.
    fn give(&mut self, coordinator: usize, amount: QuotaAmount) {
        let amount = amount.component_min(self.left);
        self.left = self.left.minus(amount);
        self.shares[coordinator] = self.shares[coordinator].plus(amount);
    }

    /// Shares out what is left, processors and GPUs apart.
    fn share_fairly(&mut self, wanted: &[QuotaAmount]) {
        let cpus: Vec<u64> = wanted.iter().map(|amount| amount.cpu).collect();
        let gpus: Vec<u64> = wanted.iter().map(|amount| amount.gpu).collect();
        let cpus = max_min_fair(self.left.cpu, &cpus);
        let gpus = max_min_fair(self.left.gpu, &gpus);
        for (coordinator, (cpu, gpu)) in cpus.into_iter().zip(gpus).enumerate() {
            self.give(coordinator, QuotaAmount { cpu, gpu });
        }
    }

    /// The same in whole tasks of the size of each coordinator's first need at this priority: what is
    /// not enough for any goes to the next priority. (Found by the simulator: the last processor of a
    /// limit was shared by two coordinators whose tasks needed two each, beside others that needed one.)
    fn share_whole_tasks(&mut self, priority: usize, usages: &[TeamUsage], wanted: &[QuotaAmount]) {
        let mut fair = self.clone();
        fair.share_fairly(wanted);
        for (coordinator, usage) in usages.iter().enumerate() {
            let Some(first) = usage.first[priority] else { continue };
            let share = fair.shares[coordinator].minus(self.shares[coordinator]);
            self.give(coordinator, first.need.times(share.fit_count(first.need) as u32));
        }
        for (coordinator, usage) in usages.iter().enumerate() {
            let Some(first) = usage.first[priority] else { continue };
            let share = fair.shares[coordinator].minus(self.shares[coordinator]);
            if share != QuotaAmount::default() && first.need.is_within(self.left) {
                self.give(coordinator, first.need);
            }
        }
    }

    /// Serves the first job of each coordinator at this priority, the one that has waited longest
    /// first. Jobs larger than the limit are left out.
    fn give_to_first(
        &mut self,
        priority: usize,
        limit: QuotaAmount,
        usages: &[TeamUsage],
        lacking: FirstThatLacks,
    ) {
        let mut firsts: Vec<_> = usages
            .iter()
            .enumerate()
            .filter_map(|(coordinator, usage)| Some((coordinator, usage.first[priority]?)))
            .filter(|(_, first)| first.need.is_within(limit))
            .collect();
        firsts.sort_by_key(|(coordinator, first)| (Reverse(first.waited_ms), *coordinator));
        for (coordinator, first) in firsts {
            match lacking {
                _ if first.need.is_within(self.left) => self.give(coordinator, first.need),
                FirstThatLacks::Waits => self.left = self.left.minus(first.need),
                FirstThatLacks::IsPassedOver => {}
                FirstThatLacks::TakesPart => self.give(coordinator, first.need),
            }
        }
    }
}

/// What each coordinator may take now beyond what it uses. `lacking`: what becomes of first jobs that
/// need more than what is left.
pub(super) fn additional_shares(
    limit: QuotaAmount,
    usages: &[TeamUsage],
    lacking: FirstThatLacks,
) -> Vec<QuotaAmount> {
    let used = usages.iter().fold(QuotaAmount::default(), |sum, usage| sum.plus(usage.in_use()));
    let mut allocation = Allocation::new(limit.minus(used), usages.len());
    for priority in (0..PRIORITIES).rev() {
        allocation.give_to_first(priority, limit, usages, lacking);
        let wanted: Vec<QuotaAmount> =
            usages.iter().map(|usage| wanted_after_first(usage, priority)).collect();
        match lacking {
            FirstThatLacks::IsPassedOver => {
                allocation.share_whole_tasks(priority, usages, &wanted);
            }
            _ => allocation.share_fairly(&wanted),
        }
    }
    for priority in (0..PRIORITIES).rev() {
        let wanted: Vec<QuotaAmount> =
            usages.iter().map(|usage| usage.unplaceable[priority]).collect();
        allocation.share_fairly(&wanted);
    }
    allocation.shares
}

/// What each coordinator would take if all lesser work of the team were preempted: what is used and
/// wanted at each priority before anything of the next.
pub(super) fn shares_after_preemption(
    limit: QuotaAmount,
    usages: &[TeamUsage],
) -> Vec<QuotaAmount> {
    let mut allocation = Allocation::new(limit, usages.len());
    for priority in (0..PRIORITIES).rev() {
        for (coordinator, usage) in usages.iter().enumerate() {
            allocation.give(coordinator, usage.used[priority]);
        }
        allocation.give_to_first(priority, limit, usages, FirstThatLacks::TakesPart);
        let wanted = |usage: &TeamUsage| {
            wanted_after_first(usage, priority).plus(usage.unplaceable[priority])
        };
        let wanted: Vec<QuotaAmount> = usages.iter().map(wanted).collect();
        allocation.share_fairly(&wanted);
    }
    allocation.shares
}
