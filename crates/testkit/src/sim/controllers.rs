//! The simulated controllers: their processes, clocks and the faults that cut them off.
use super::event::Event;
use super::setup::settings;
use super::{InjectedDefect, Sim};
use crate::broken_rule::BrokenRule;
use leaddeal_core::io::{Input, LogLevel};
use leaddeal_core::Node;
use rand::Rng;

/// Interval between two ticks of a controller.
const TICK_INTERVAL_MS: u64 = 100;
/// Largest error of a controller's wall clock, in either direction.
const MAX_WALL_CLOCK_ERROR_MS: u64 = 25;
/// The monotonic clock of controller `i` runs fast by `i` parts in this many: clocks drift apart by up to 0.05%.
const CLOCK_DRIFT_DIVISOR: u64 = 4000;

/// One process of a controller, from a start to the next crash. Events for an earlier process are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Process {
    /// Index of the controller.
    pub(super) node: usize,
    /// Number of starts of the controller up to this process, which identifies the process.
    pub(super) boot: u64,
}

/// Faults that cut a controller off; times are simulated milliseconds, and 0 means that no such fault is set.
#[derive(Default)]
pub(super) struct ControllerFaults {
    /// It is partitioned from the store, the cloud, the other controllers, workers and users.
    pub(super) isolated: bool,
    /// The store refuses its calls.
    pub(super) store_refuses: bool,
    /// The store refuses its calls until this time.
    pub(super) store_refuses_until: u64,
    /// It gets no CPU time until this time: its ticks and inputs are deferred.
    pub(super) frozen_until: u64,
    /// It is partitioned from all workers until this time.
    pub(super) worker_partition_until: u64,
    /// It is partitioned from the store and the other controllers until this time.
    pub(super) store_and_peer_partition_until: u64,
}

/// A simulated controller.
#[derive(Default)]
pub(super) struct Controller {
    /// The running core; `None` while the controller is down.
    pub(super) core: Option<Node>,
    started_at: u64,
    boot: u64,
    pub(super) faults: ControllerFaults,
}

impl Controller {
    /// Returns whether the controller is partitioned from the store and the other controllers.
    pub(super) fn is_partitioned_from_store_and_peers(&self, now: u64) -> bool {
        self.faults.isolated || now < self.faults.store_and_peer_partition_until
    }

    /// Returns whether the controller and the workers can exchange messages.
    pub(super) fn reaches_workers(&self, now: u64) -> bool {
        !self.faults.isolated && now >= self.faults.worker_partition_until
    }

    /// Returns whether the controller is up and users can connect to it.
    pub(super) fn reaches_users(&self) -> bool {
        self.core.is_some() && !self.faults.isolated
    }

    /// Returns whether the controller gets CPU time.
    pub(super) fn has_cpu_time(&self, now: u64) -> bool {
        now >= self.faults.frozen_until
    }
}

impl Sim {
    /// Returns a controller's latest process, which may have ended.
    pub(super) fn process(&self, node: usize) -> Process {
        Process { node, boot: self.controllers[node].boot }
    }

    /// Returns whether a process still runs.
    pub(super) fn is_alive(&self, process: Process) -> bool {
        self.controllers[process.node].core.is_some() && self.process(process.node) == process
    }

    /// Starts a controller with an empty core.
    pub(super) fn start(&mut self, node: usize) {
        let settings = self.node_settings(node);
        let controller = &mut self.controllers[node];
        controller.started_at = self.now;
        controller.boot += 1;
        let wall_ms = self.draw_wall_clock_ms();
        let mut core = Node::new(&settings, wall_ms, 1);
        if self.trace {
            core.set_max_log_level(LogLevel::Debug);
        }
        self.controllers[node].core = Some(core);
        self.schedule(1, Event::Tick(self.process(node)));
    }

    /// Prints the events of the run to the standard error output from now on, with the cores' debug log lines.
    pub fn trace_events(&mut self) {
        self.trace = true;
        for core in self.controllers.iter_mut().filter_map(|controller| controller.core.as_mut()) {
            core.set_max_log_level(LogLevel::Debug);
        }
    }

    /// Returns the settings that a controller is started with; an injected defect may have changed them.
    fn node_settings(&self, node: usize) -> leaddeal_wire::settings::Settings {
        let mut settings = settings(node, &self.plan);
        let params = &mut settings.params;
        params.workers.lease_s = self.plan.lease_ms as f64 / 1000.0;
        match self.plan.defect {
            InjectedDefect::ShortLease => params.workers.lease_s = 0.4,
            InjectedDefect::DoubleGpus => params.teams.iter_mut().for_each(|t| t.gpus_max *= 2.0),
            InjectedDefect::LongCancel => params.workers.cancel_s *= 10.0,
            InjectedDefect::NoCpuQuotas => params.teams.iter_mut().for_each(|t| t.cpus_max = 0.0),
            _ => {}
        }
        settings
    }

    /// Crashes a controller, which restarts `back_ms` later. Has no effect on a controller that is down.
    pub(super) fn crash(&mut self, node: usize, back_ms: u64) {
        if self.controllers[node].core.take().is_some() {
            self.schedule(back_ms, Event::Restart { node });
        }
    }

    /// Draws a controller's wall-clock time, with a random error; exact in runs without random faults.
    fn draw_wall_clock_ms(&mut self) -> u64 {
        if !self.plan.random_faults {
            return self.now;
        }
        let error = self.rng.random_range(0..2 * MAX_WALL_CLOCK_ERROR_MS);
        self.now + error - MAX_WALL_CLOCK_ERROR_MS
    }

    /// Returns the time of a controller's monotonic clock, which starts with its process.
    fn monotonic_clock_ms(&self, node: usize) -> u64 {
        let uptime_ms = self.now - self.controllers[node].started_at;
        let speed = if self.plan.defect == InjectedDefect::FastClock { 3 } else { 1 };
        (uptime_ms + uptime_ms * node as u64 / CLOCK_DRIFT_DIVISOR) * speed + 1
    }

    /// Passes an input to a controller's core, if it is up, and executes the effects that the core returns.
    ///
    /// # Errors
    /// The rule that an effect breaks.
    pub(super) fn step(&mut self, node: usize, input: Input) -> Result<(), BrokenRule> {
        let now = self.monotonic_clock_ms(node);
        let wall_ms = self.draw_wall_clock_ms();
        let Some(core) = self.controllers[node].core.as_mut() else { return Ok(()) };
        if let Some(tally) = &mut self.tally {
            tally.input(&input);
        }
        for effect in core.step(now, wall_ms, input) {
            if let Some(tally) = &mut self.tally {
                tally.output(&effect);
            }
            self.fingerprint.add(node, now, &effect);
            self.execute_effect(node, effect)?;
        }
        Ok(())
    }

    pub(super) fn tick(&mut self, process: Process) -> Result<(), BrokenRule> {
        if self.is_alive(process) {
            self.step(process.node, Input::Tick)?;
            self.schedule(TICK_INTERVAL_MS, Event::Tick(process));
        }
        Ok(())
    }

    pub(super) fn deliver_input(
        &mut self,
        process: Process,
        input: Input,
    ) -> Result<(), BrokenRule> {
        if self.is_alive(process) {
            self.step(process.node, input)?;
        }
        Ok(())
    }

    /// Schedules an input for a process, which is dropped if the process has ended by then.
    pub(super) fn schedule_input(&mut self, delay_ms: u64, process: Process, input: Input) {
        self.schedule(delay_ms, Event::NodeInput { process, input });
    }

    /// Returns how many times the running cores have evaluated a machine for a job.
    pub fn machines_evaluated(&self) -> u64 {
        self.controllers.iter().filter_map(|c| c.core.as_ref()).map(Node::machines_evaluated).sum()
    }
}
