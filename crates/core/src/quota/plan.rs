//! How a team's quota is divided among its coordinators, from what they have reported.
//!
//! Higher priorities are served first. Within a priority, the first job of each coordinator is
//! served as a whole, in the order of waiting time, longest first. What is left is reserved for a
//! first job that it does not cover, so that gangs don't each hold a part of what they need. The
//! rest is divided max-min fairly. Demand for which no machine had capacity lately comes after all
//! demand that could start now.
//!
//! Alternatives that were considered: equal amounts (three gangs that need half the quota each get
//! a third and none starts), first come first served (a low-priority array keeps all it can get),
//! and fixed shares by coordinator (what one coordinator can't use is lost to the others).
use leaddeal_wire::mesh::{QuotaAmount, TeamUsage, PRIORITIES};
use std::cmp::Reverse;

/// Returns max-min fair shares of `available`: no share exceeds what is wanted, and what one
/// coordinator doesn't want is divided among the others.
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

/// Returns what a coordinator wants at this priority beyond the need of its first job, which is
/// served separately.
fn wanted_after_first(usage: &TeamUsage, priority: usize) -> QuotaAmount {
    let first = usage.first[priority].map_or(QuotaAmount::default(), |first| first.need);
    usage.wanted[priority].minus(first)
}

/// What happens to the first job of a coordinator if it needs more than what is left.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum UncoveredFirstJob {
    /// It gets nothing yet, and what is left is reserved for it.
    Waits,
    /// It gets nothing yet, and what is left goes to other jobs.
    Skipped,
    /// It gets what is left.
    TakesRemainder,
}

/// The division of a quota. Shares are indexed by the coordinators' positions in the list of
/// reports.
#[derive(Clone)]
struct Allocation {
    left: QuotaAmount,
    shares: Vec<QuotaAmount>,
}

impl Allocation {
    fn new(available: QuotaAmount, coordinators: usize) -> Allocation {
        Allocation { left: available, shares: vec![QuotaAmount::default(); coordinators] }
    }

    /// Adds an amount to a coordinator's share, limited to what is left.
    fn allocate(&mut self, coordinator: usize, amount: QuotaAmount) {
        let amount = amount.component_min(self.left);
        self.left = self.left.minus(amount);
        self.shares[coordinator] = self.shares[coordinator].plus(amount);
    }

    /// Divides what is left max-min fairly, processors and GPUs independently.
    fn share_fairly(&mut self, wanted: &[QuotaAmount]) {
        let cpus: Vec<u64> = wanted.iter().map(|amount| amount.cpu).collect();
        let gpus: Vec<u64> = wanted.iter().map(|amount| amount.gpu).collect();
        let cpus = max_min_fair(self.left.cpu, &cpus);
        let gpus = max_min_fair(self.left.gpu, &gpus);
        for (coordinator, (cpu, gpu)) in cpus.into_iter().zip(gpus).enumerate() {
            self.allocate(coordinator, QuotaAmount { cpu, gpu });
        }
    }

    /// Divides what is left in whole tasks of the size of each coordinator's first job at this
    /// priority. What does not suffice for one task goes to the next priority. Without this, the
    /// last processor of a quota was divided between two coordinators whose tasks needed two
    /// processors each, while tasks of other coordinators needed one (seen in the simulator).
    fn share_whole_tasks(&mut self, priority: usize, usages: &[TeamUsage], wanted: &[QuotaAmount]) {
        let mut fair = self.clone();
        fair.share_fairly(wanted);
        for (coordinator, usage) in usages.iter().enumerate() {
            let Some(first) = usage.first[priority] else { continue };
            let share = fair.shares[coordinator].minus(self.shares[coordinator]);
            self.allocate(coordinator, first.need.times(share.fit_count(first.need) as u32));
        }
        for (coordinator, usage) in usages.iter().enumerate() {
            let Some(first) = usage.first[priority] else { continue };
            let share = fair.shares[coordinator].minus(self.shares[coordinator]);
            if share != QuotaAmount::default() && first.need.is_within(self.left) {
                self.allocate(coordinator, first.need);
            }
        }
    }

    /// Serves the first job of each coordinator at this priority, in the order of waiting time,
    /// longest first. Jobs larger than the quota are skipped.
    fn allocate_to_first(
        &mut self,
        priority: usize,
        quota: QuotaAmount,
        usages: &[TeamUsage],
        uncovered_first: UncoveredFirstJob,
    ) {
        let mut firsts: Vec<_> = usages
            .iter()
            .enumerate()
            .filter_map(|(coordinator, usage)| Some((coordinator, usage.first[priority]?)))
            .filter(|(_, first)| first.need.is_within(quota))
            .collect();
        firsts.sort_by_key(|(coordinator, first)| (Reverse(first.waited_ms), *coordinator));
        for (coordinator, first) in firsts {
            match uncovered_first {
                _ if first.need.is_within(self.left) => self.allocate(coordinator, first.need),
                UncoveredFirstJob::Waits => self.left = self.left.minus(first.need),
                UncoveredFirstJob::Skipped => {}
                UncoveredFirstJob::TakesRemainder => self.allocate(coordinator, first.need),
            }
        }
    }
}

/// Returns what each coordinator may use now beyond its usage. `uncovered_first` says what happens
/// to first jobs that need more than what is left.
pub(super) fn additional_shares(
    quota: QuotaAmount,
    usages: &[TeamUsage],
    uncovered_first: UncoveredFirstJob,
) -> Vec<QuotaAmount> {
    let used = usages.iter().fold(QuotaAmount::default(), |sum, usage| sum.plus(usage.in_use()));
    let mut allocation = Allocation::new(quota.minus(used), usages.len());
    for priority in (0..PRIORITIES).rev() {
        allocation.allocate_to_first(priority, quota, usages, uncovered_first);
        let wanted: Vec<QuotaAmount> =
            usages.iter().map(|usage| wanted_after_first(usage, priority)).collect();
        match uncovered_first {
            UncoveredFirstJob::Skipped => {
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

/// Returns what each coordinator could use if all lower-priority work of the team were preempted:
/// each priority's usage and demand is served before the next lower priority.
pub(super) fn shares_after_preemption(
    quota: QuotaAmount,
    usages: &[TeamUsage],
) -> Vec<QuotaAmount> {
    let mut allocation = Allocation::new(quota, usages.len());
    for priority in (0..PRIORITIES).rev() {
        for (coordinator, usage) in usages.iter().enumerate() {
            allocation.allocate(coordinator, usage.used[priority]);
        }
        allocation.allocate_to_first(priority, quota, usages, UncoveredFirstJob::TakesRemainder);
        let wanted = |usage: &TeamUsage| {
            wanted_after_first(usage, priority).plus(usage.unplaceable[priority])
        };
        let wanted: Vec<QuotaAmount> = usages.iter().map(wanted).collect();
        allocation.share_fairly(&wanted);
    }
    allocation.shares
}
