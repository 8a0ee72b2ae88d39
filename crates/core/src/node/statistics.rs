//! Periodic statistics in the log.
use super::Node;
use crate::budget::WRITE_CLASSES;
use crate::ids::Timestamp;
use crate::io::{Effects, LogLevel};

/// Interval between two logs of the statistics, in ms.
const STATISTICS_INTERVAL_MS: u64 = 60_000;

/// Counters, and the state of their logging.
#[derive(Debug)]
pub(super) struct Statistics {
    /// How often a machine was evaluated for a job since the start of the process.
    pub(super) machines_evaluated: u64,
    next_log_at: Timestamp,
    /// By class of the write budget: the number of changes at the last log.
    logged_changes: [u64; WRITE_CLASSES.len()],
    /// By shard: when the shard is logged as unserved, unless it is served by then; `None`: it is served
    /// or has another owner.
    pub(super) next_unserved_log_at: Vec<Option<Timestamp>>,
}

impl Statistics {
    pub(super) fn new(now: Timestamp, shards: usize) -> Statistics {
        Statistics {
            machines_evaluated: 0,
            next_log_at: now + STATISTICS_INTERVAL_MS,
            logged_changes: [0; WRITE_CLASSES.len()],
            next_unserved_log_at: vec![None; shards],
        }
    }
}

impl Node {
    /// Logs the statistics of this node and of the shards that it owns, when that is due.
    pub(super) fn tick_statistics(&mut self, effects: &mut Effects) {
        if effects.now < self.statistics.next_log_at {
            return;
        }
        self.statistics.next_log_at = effects.now + STATISTICS_INTERVAL_MS;
        self.log_changes(effects);
        let relayed = self.relay_table.relayed_workers(effects.now);
        if relayed > 0 {
            effects.log(LogLevel::Info, "relayed_workers", || format!("workers={relayed}"));
        }
        self.log_owned_shards(effects);
    }

    /// Logs the changes written since the last log, by class.
    fn log_changes(&mut self, effects: &mut Effects) {
        let budget = &self.shared.budget;
        let spent = WRITE_CLASSES.map(|class| budget.spent(class));
        let (rate, refusals) = (budget.rate(), budget.refusals());
        let logged = std::mem::replace(&mut self.statistics.logged_changes, spent);
        effects.log(LogLevel::Info, "writes", || {
            let by_class = WRITE_CLASSES.iter().zip(spent.iter().zip(logged));
            let by_class: Vec<String> = by_class
                .map(|(class, (total, logged))| format!("{class:?}={}", total - logged))
                .collect();
            format!("{} rate={rate:.1}/s refused={refusals}", by_class.join(" ").to_lowercase())
        });
    }

    fn log_owned_shards(&mut self, effects: &mut Effects) {
        for active in self.owned.iter_mut().flatten() {
            let context = self.shared.context(effects);
            let coordinator = active.coordinator.statistics(context.now);
            let participant = active.participant.statistics(&context);
            let starts = active.coordinator.service_statistics(context.now);
            let commands = active.participant.command_statistics();
            let obstacles = active.participant.obstacle_statistics();
            let waiting = active.coordinator.wait_statistics(&context);
            let quotas = active.coordinator.quota_statistics(&context);
            effects.log(LogLevel::Info, "service_levels", || starts);
            effects.log(LogLevel::Info, "coordinator", || coordinator);
            effects.log(LogLevel::Info, "participant", || participant);
            effects.log(LogLevel::Info, "commands", || commands);
            let optional =
                [("quotas", quotas), ("waiting_jobs", waiting), ("offer_obstacles", obstacles)];
            for (event, statistics) in optional {
                if let Some(statistics) = statistics {
                    effects.log(LogLevel::Info, event, || statistics);
                }
            }
        }
    }
}
