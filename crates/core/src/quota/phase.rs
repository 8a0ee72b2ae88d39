//! When room under a limit is kept for the job that is first in turn, and when others may have it.

/// One phase of each kind takes this long together.
const PERIOD_MS: u64 = 30_000;
/// For this long of each period room is kept.
const KEEPING_MS: u64 = 25_000;

/// What becomes of room under a team's limit that is not enough for the job that is first in turn.
///
/// The phases follow the wall clock, so that all coordinators of a team and its quota manager change
/// them together, but for the difference of their clocks, which nothing but fairness depends on.
/// (Found by the simulator: when each coordinator counted them from the time at which a job became
/// first, somebody always kept the last processor of a limit, and small jobs waited beside it for
/// minutes.)
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitPhase {
    /// It is kept until there is enough, or smaller jobs would take it bit by bit.
    #[default]
    Keeping,
    /// Whatever fits may have it.
    Filling,
}

impl LimitPhase {
    /// The phase at this time of the wall clock.
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
    fn each_period_ends_with_a_time_in_which_gaps_are_filled() {
        for period in 0..3 {
            let begin = period * PERIOD_MS;
            assert_eq!(LimitPhase::at(begin), LimitPhase::Keeping);
            assert_eq!(LimitPhase::at(begin + KEEPING_MS - 1), LimitPhase::Keeping);
            assert_eq!(LimitPhase::at(begin + KEEPING_MS), LimitPhase::Filling);
            assert_eq!(LimitPhase::at(begin + PERIOD_MS - 1), LimitPhase::Filling);
        }
    }
}
