//! The run loop: takes events in order of time, and checks the rules after each that concerns a machine.
use super::event::Event;
use super::{Sim, BEGIN};
use crate::broken_rule::BrokenRule;

/// The rules are checked at least once in this many events of workers, however large the fleet is.
const MAX_CHECK_INTERVAL: u64 = 20_000;

impl Sim {
    /// Runs to the end of the plan.
    ///
    /// # Errors
    /// The rule that was broken, when, and the plan with which to see it again.
    pub fn run(&mut self) -> Result<(), String> {
        self.run_to((self.plan.seconds + self.plan.calm_seconds) * 1000)
    }

    /// Runs until `ms` simulated milliseconds after the beginning.
    ///
    /// # Errors
    /// The rule that was broken, when, and the plan with which to see it again.
    pub fn run_to(&mut self, ms: u64) -> Result<(), String> {
        let end = BEGIN + ms;
        let mut is_outage = false;
        while let Some((time, event)) = self.events.next_until(end) {
            self.now = time;
            is_outage = self.expire_store_leases(is_outage);
            if let Some(event) = self.unless_frozen(event) {
                self.run_event(event).map_err(|error| {
                    format!("at {} ms: {error}\nagain: Sim::new({:?}).run()", self.now, self.plan)
                })?;
            }
        }
        Ok(())
    }

    /// Adds an event that is due after `delay_ms`.
    pub(super) fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.events.add(self.now + delay_ms, event);
    }

    /// Leases of the state service run out, but not during its outages: after one, each has its full
    /// duration again. Returns whether there is an outage now.
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

    /// Handles an event and checks the rules.
    fn run_event(&mut self, event: Event) -> Result<(), BrokenRule> {
        let is_checked = self.is_check_due(&event);
        let handled = self.handle(event);
        self.query_completed_jobs();
        let kept = if is_checked { self.rules.check(self.now, &self.workers) } else { Ok(()) };
        handled.and(kept)
    }

    /// Whether the rules are to be checked after an event. A large fleet is checked less often, or the
    /// checks would take all the time.
    fn is_check_due(&mut self, event: &Event) -> bool {
        let concerns_worker = matches!(
            event,
            Event::WorkerStep { .. } | Event::HeartbeatReply(_) | Event::Commands(_)
        );
        self.worker_events += u64::from(concerns_worker);
        let interval = u64::from(self.plan.scale).pow(2).min(MAX_CHECK_INTERVAL);
        concerns_worker && self.worker_events.is_multiple_of(interval)
    }

    /// The event, unless it is for a controller that gets no processor time: that one waits.
    fn unless_frozen(&mut self, event: Event) -> Option<Event> {
        let node = match &event {
            Event::Tick(process) | Event::NodeInput { process, .. } => process.node,
            Event::Heartbeat(sent) => sent.node,
            _ => return Some(event),
        };
        let frozen_until = self.controllers[node].partitions.frozen_until;
        if self.now >= frozen_until {
            return Some(event);
        }
        self.schedule(frozen_until - self.now, event);
        None
    }
}
