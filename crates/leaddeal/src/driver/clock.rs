//! The two clocks that the core is given.
use leaddeal_core::ids::Timestamp;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Where the steady clock starts, in milliseconds: 100 days.
///
/// It does not start at 0, so that a job submitted before this process started has a time of its own on
/// it. Otherwise all jobs were new again after a restart, and their order and urgency lost.
pub(super) const STEADY_CLOCK_START_MS: Timestamp = 100 * 24 * 3_600_000;

/// The steady clock of this process: never set back, not comparable with that of another process.
#[derive(Clone, Copy)]
pub(super) struct SteadyClock {
    started: Instant,
}

impl SteadyClock {
    /// A clock that shows [`STEADY_CLOCK_START_MS`] now.
    pub fn start() -> SteadyClock {
        SteadyClock { started: Instant::now() }
    }

    /// Milliseconds, always later than [`STEADY_CLOCK_START_MS`].
    pub fn now_ms(self) -> Timestamp {
        STEADY_CLOCK_START_MS + self.started.elapsed().as_millis() as u64 + 1
    }
}

/// Milliseconds since 1970 by the machine's clock, which may be set back; 0 if it shows an earlier time.
pub(super) fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}
