//! When free quota is reserved for the first job, and when other jobs may use it.

/// The duration of one reserving phase and one backfilling phase together.
const PERIOD_MS: u64 = 30_000;
/// How long each period reserves free quota for the first job.
const KEEPING_MS: u64 = 25_000;

/// What happens to the free part of a team's quota that does not suffice for the first job.
///
/// The phases follow the wall clock, so that all coordinators of a team and its quota manager change
/// phase at the same time. Clocks may differ, which affects only fairness. When each coordinator
/// counted the phases from the time at which a job became the first, at least one coordinator was
/// always reserving the last processor of a quota, and small jobs that would have fitted waited for
/// minutes (seen in the simulator).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitPhase {
    /// It is reserved until it suffices, since smaller jobs would otherwise use it up bit by bit.
    #[default]
    Keeping,
    /// Any job that fits may use it.
    Filling,
}

impl LimitPhase {
    /// Returns the phase at this time of the wall clock.
    pub fn at(wall_clock_ms: u64) -> LimitPhase {
        match wall_clock_ms % PERIOD_MS < KEEPING_MS {
            true => LimitPhase::Keeping,
            false => LimitPhase::Filling,
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
            assert_eq!(LimitPhase::at(begin), LimitPhase::Keeping);
            assert_eq!(LimitPhase::at(begin + KEEPING_MS - 1), LimitPhase::Keeping);
            assert_eq!(LimitPhase::at(begin + KEEPING_MS), LimitPhase::Filling);
            assert_eq!(LimitPhase::at(begin + PERIOD_MS - 1), LimitPhase::Filling);
        }
    }
}
