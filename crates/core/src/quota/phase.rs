//! When free quota is reserved for the first job, and when other jobs may use it.

/// The duration of one reserving phase and one backfilling phase together.
const PERIOD_MS: u64 = 30_000;
/// How long each period reserves free quota for the first job.
const RESERVING_MS: u64 = 25_000;

/// What happens to the free part of a team's quota that does not suffice for the first job.
///
/// The phases follow the wall clock, so that all coordinators of a team and its quota manager
/// change phase at the same time. Clocks may differ, which affects only fairness. When each
/// coordinator counted the phases from the time at which a job became the first, at least one
/// coordinator was always reserving the last processor of a quota, and small jobs that would have
/// fitted waited for minutes (seen in the simulator).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QuotaPhase {
    /// It is reserved until it suffices, since smaller jobs would otherwise use it up bit by bit.
    #[default]
    Reserving,
    /// Any job that fits may use it.
    Backfilling,
}

impl QuotaPhase {
    /// Returns the phase at this time of the wall clock.
    pub fn at(wall_clock_ms: u64) -> QuotaPhase {
        match wall_clock_ms % PERIOD_MS < RESERVING_MS {
            true => QuotaPhase::Reserving,
            false => QuotaPhase::Backfilling,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_period_ends_with_backfilling() {
        for period in 0..3 {
            let begin = period * PERIOD_MS;
            assert_eq!(QuotaPhase::at(begin), QuotaPhase::Reserving);
            assert_eq!(QuotaPhase::at(begin + RESERVING_MS - 1), QuotaPhase::Reserving);
            assert_eq!(QuotaPhase::at(begin + RESERVING_MS), QuotaPhase::Backfilling);
            assert_eq!(QuotaPhase::at(begin + PERIOD_MS - 1), QuotaPhase::Backfilling);
        }
    }
}
