//! The two clocks whose times are passed to the core.
use leaddeal_core::ids::Timestamp;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Time at which the steady clock starts, in milliseconds: 100 days.
///
/// The clock does not start at 0, so that it has a distinct time for each job submitted before this process
/// started. Otherwise all jobs would count as new after a restart, and their order and urgency would be lost.
pub(super) const STEADY_CLOCK_START_MS: Timestamp = 100 * 24 * 3_600_000;

/// The steady clock of this process. It is never set back and can't be compared with that of another process.
#[derive(Clone, Copy)]
pub(super) struct SteadyClock {
    started: Instant,
}

impl SteadyClock {
    /// Starts a clock at [`STEADY_CLOCK_START_MS`].
    pub fn start() -> SteadyClock {
        SteadyClock { started: Instant::now() }
    }

    /// Returns the current time in milliseconds, always later than [`STEADY_CLOCK_START_MS`].
    pub fn now_ms(self) -> Timestamp {
        STEADY_CLOCK_START_MS + self.started.elapsed().as_millis() as u64 + 1
    }
}

/// Returns the milliseconds since 1970 by the machine's clock, which may be set back; 0 if the clock shows an
/// earlier time than 1970.
pub(super) fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}
