//! Periodic statistics for the log.
use super::Node;
use crate::budget::CLASSES;
use crate::ids::Timestamp;
use crate::io::{Effects, LogLevel};

/// The operators' figures are logged this often.
const STATISTICS_INTERVAL_MS: u64 = 60_000;

/// What was counted, and what of it was logged.
#[derive(Debug)]
pub(super) struct Statistics {
    /// How often a machine was evaluated for a job since the start.
    pub(super) machines_evaluated: u64,
    next_log: Timestamp,
    /// Changes by class that were logged already.
    logged_changes: [u64; CLASSES.len()],
}

impl Statistics {
    pub(super) fn new(now: Timestamp) -> Statistics {
        Statistics {
            machines_evaluated: 0,
            next_log: now + STATISTICS_INTERVAL_MS,
            logged_changes: [0; CLASSES.len()],
        }
    }
}

impl Node {
    /// What was written and what waits to be: in the log, once a minute.
    pub(super) fn tick_statistics(&mut self, effects: &mut Effects) {
        if effects.now < self.statistics.next_log {
            return;
        }
        self.statistics.next_log = effects.now + STATISTICS_INTERVAL_MS;
        self.log_changes(effects);
        let relayed = self.relay_table.relayed_workers(effects.now);
        if relayed > 0 {
            effects.log(LogLevel::Info, "relayed_workers", || format!("workers={relayed}"));
        }
        self.log_owned_shards(effects);
    }

    /// The changes written since the last time, by class.
    fn log_changes(&mut self, effects: &mut Effects) {
        let budget = &self.shared.budget;
        let spent = CLASSES.map(|class| budget.spent(class));
        let (rate, refusals) = (budget.rate(), budget.refusals());
        let logged = std::mem::replace(&mut self.statistics.logged_changes, spent);
        effects.log(LogLevel::Info, "writes", || {
            let by_class = CLASSES.iter().zip(spent.iter().zip(logged));
            let by_class: Vec<String> =
                by_class.map(|(class, (now, was))| format!("{class:?}={}", now - was)).collect();
            format!("{} rate={rate:.1}/s refused={refusals}", by_class.join(" ").to_lowercase())
        });
    }

    fn log_owned_shards(&mut self, effects: &mut Effects) {
        for active in self.owned.iter_mut().flatten() {
            let context = self.shared.context(effects);
            let coordinator = active.coordinator.figures(context.now);
            let participant = active.participant.statistics(&context);
            let served = active.coordinator.service_figures(context.now);
            let obstacles = active.participant.obstacle_statistics();
            let waiting = active.coordinator.wait_figures(&context);
            let limits = active.coordinator.limit_figures(&context);
            effects.log(LogLevel::Info, "service_levels", || served);
            effects.log(LogLevel::Info, "coordinator", || coordinator);
            effects.log(LogLevel::Info, "participant", || participant);
            let optional =
                [("quotas", limits), ("waiting_jobs", waiting), ("offer_obstacles", obstacles)];
            for (event, figures) in optional {
                if let Some(figures) = figures {
                    effects.log(LogLevel::Info, event, || figures);
                }
            }
        }
    }
}
