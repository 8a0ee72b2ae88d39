//! Statistics of a coordinator for the operators' log.
use super::Coordinator;
use crate::ids::Timestamp;

/// Decisions, and placements in them, since the statistics were last logged.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecisionCounts {
    placements: u64,
    decisions: u64,
}

impl DecisionCounts {
    /// Counts a decision with this many placements.
    pub fn add(&mut self, placements: usize) {
        self.placements += placements as u64;
        self.decisions += 1;
    }
}

impl Coordinator {
    /// Returns the log details about jobs, unwritten state and decisions, and resets the counts of
    /// decisions to 0.
    pub fn statistics(&mut self, now: Timestamp) -> String {
        let oldest_unwritten_ms =
            self.compaction.complete_jobs.values().min().map_or(0, |at| now.saturating_sub(*at));
        let uncompacted: usize = self
            .compaction
            .dirty_jobs
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .map(|job| job.completion.uncompacted.len())
            .sum();
        let records = self.decision_log.counts();
        let counts = std::mem::take(&mut self.decision_counts);
        format!(
            "shard={} jobs={} pending={} unwritten={} oldest_unwritten_ms={oldest_unwritten_ms} uncompacted={uncompacted} \
             decisions={} spare={} rounds={} placements={}",
            self.shard.0,
            self.jobs.len(),
            self.unplaced_jobs.len(),
            self.compaction.complete_jobs.len(),
            records.live,
            records.spare,
            counts.decisions,
            counts.placements,
        )
    }
}
