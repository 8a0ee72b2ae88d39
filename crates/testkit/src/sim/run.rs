//! The run loop, which handles the events in order of time and checks the rules after events that concern a worker.
use super::event::Event;
use super::{Sim, START_MS};
use crate::broken_rule::BrokenRule;

/// Upper bound of the number of worker events from one check of the rules to the next, for any size of the fleet.
const MAX_CHECK_INTERVAL: u64 = 20_000;

impl Sim {
    /// Runs to the end of the plan.
    ///
    /// # Errors
    /// The rule that was broken, when, and the plan with which to see it again.
    pub fn run(&mut self) -> Result<(), String> {
        self.run_to((self.plan.seconds + self.plan.fault_free_seconds) * 1000)
    }

    /// Runs until `ms` simulated milliseconds after the beginning of the run.
    ///
    /// # Errors
    /// The rule that was broken, when, and the plan with which to see it again.
    pub fn run_to(&mut self, ms: u64) -> Result<(), String> {
        let end = START_MS + ms;
        let mut is_outage = false;
        while let Some((time, event)) = self.events.next_until(end) {
            self.now = time;
            is_outage = self.expire_store_leases(is_outage);
            if let Some(event) = self.defer_if_frozen(event) {
                self.run_event(event).map_err(|error| {
                    format!("at {} ms: {error}\nagain: Sim::new({:?}).run()", self.now, self.plan)
                })?;
            }
        }
        Ok(())
    }

    /// Schedules an event that is due after `delay_ms`.
    pub(super) fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.events.add(self.now + delay_ms, event);
    }

    /// Expires leases of the store, except during its outages. After an outage each lease has its full duration
    /// again. Returns whether there is an outage now.
    fn expire_store_leases(&mut self, was_outage: bool) -> bool {
        let is_outage = self.now < self.store_outage_until;
        if was_outage && !is_outage {
            self.state.renew_all(self.now);
        }
        if !is_outage {
            self.state.expire(self.now);
        }
        is_outage
    }

    /// Handles an event, and checks the rules if that is due.
    fn run_event(&mut self, event: Event) -> Result<(), BrokenRule> {
        let is_checked = self.is_check_due(&event);
        let handled = self.handle(event);
        self.query_completed_jobs();
        let rules_checked =
            if is_checked { self.rules.check(self.now, &self.workers) } else { Ok(()) };
        handled.and(rules_checked)
    }

    /// Returns whether to check the rules after an event. They are checked less often for a large fleet, where the
    /// checks would dominate the run time.
    fn is_check_due(&mut self, event: &Event) -> bool {
        let concerns_worker = matches!(
            event,
            Event::WorkerStep { .. }
                | Event::HeartbeatReply(_)
                | Event::Commands(_)
                | Event::LateCopy(_)
        );
        self.worker_events += u64::from(concerns_worker);
        let interval = u64::from(self.plan.scale).pow(2).min(MAX_CHECK_INTERVAL);
        concerns_worker && self.worker_events.is_multiple_of(interval)
    }

    /// Returns the event. If it is for a controller that gets no CPU time, reschedules it for the end of that fault and
    /// returns `None`.
    fn defer_if_frozen(&mut self, event: Event) -> Option<Event> {
        let node = match &event {
            Event::Tick(process) | Event::NodeInput { process, .. } => process.node,
            Event::Heartbeat(sent) => sent.node,
            _ => return Some(event),
        };
        let frozen_until = self.controllers[node].faults.frozen_until;
        if self.now >= frozen_until {
            return Some(event);
        }
        self.schedule(frozen_until - self.now, event);
        None
    }
}
