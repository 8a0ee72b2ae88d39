//! The simulated controllers: their processes, clocks and partitions.
use super::event::Event;
use super::setup::settings;
use super::{Sabotage, Sim};
use crate::broken_rule::BrokenRule;
use leaddeal_core::io::Input;
use leaddeal_core::Node;
use rand::Rng;

/// Between two ticks of a controller.
const TICK_INTERVAL_MS: u64 = 100;
/// The largest error of a controller's time of day.
const MAX_WALL_CLOCK_ERROR_MS: u64 = 25;
/// A steady clock gains its controller's index, divided by this: clocks drift apart by up to 0.05%.
const CLOCK_DRIFT_DIVISOR: u64 = 4000;

/// One start of a controller: what is meant for an earlier one does not reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Process {
    /// Index of the controller.
    pub(super) node: usize,
    /// How often the controller had started by then.
    pub(super) boot: u64,
}

/// What keeps a controller from others; times are simulated milliseconds.
#[derive(Default)]
pub(super) struct Partitions {
    /// It is partitioned from everything.
    pub(super) isolated: bool,
    /// The state service refuses it.
    pub(super) store_refuses: bool,
    /// The state service refuses it until then.
    pub(super) store_refuses_until: u64,
    /// It gets no processor time until then: what comes for it waits.
    pub(super) frozen_until: u64,
    /// It is partitioned from all workers until then.
    pub(super) workers_until: u64,
    /// It is partitioned from the state service and its siblings until then.
    pub(super) store_and_peers_until: u64,
}

/// A simulated controller.
#[derive(Default)]
pub(super) struct Controller {
    /// The core that runs, if the controller is up.
    pub(super) core: Option<Node>,
    started_at: u64,
    boot: u64,
    pub(super) partitions: Partitions,
}

impl Controller {
    /// Whether it reaches neither the state service nor its siblings.
    pub(super) fn lacks_store_and_peers(&self, now: u64) -> bool {
        self.partitions.isolated || now < self.partitions.store_and_peers_until
    }

    /// Whether workers reach it, and its replies them.
    pub(super) fn reaches_workers(&self, now: u64) -> bool {
        !self.partitions.isolated && now >= self.partitions.workers_until
    }

    /// Whether users have a connection to it.
    pub(super) fn reaches_users(&self) -> bool {
        self.core.is_some() && !self.partitions.isolated
    }

    /// Whether it gets processor time.
    pub(super) fn runs(&self, now: u64) -> bool {
        now >= self.partitions.frozen_until
    }
}

impl Sim {
    /// The latest start of a controller.
    pub(super) fn process(&self, node: usize) -> Process {
        Process { node, boot: self.controllers[node].boot }
    }

    /// Whether that process still runs.
    pub(super) fn is_alive(&self, process: Process) -> bool {
        self.controllers[process.node].core.is_some() && self.process(process.node) == process
    }

    /// Starts a controller.
    pub(super) fn start(&mut self, node: usize) {
        let settings = self.node_settings(node);
        let controller = &mut self.controllers[node];
        controller.started_at = self.now;
        controller.boot += 1;
        let wall_ms = self.wall_clock_ms();
        self.controllers[node].core = Some(Node::new(&settings, wall_ms, 1));
        self.schedule(1, Event::Tick(self.process(node)));
    }

    /// The settings that a controller is started with, which sabotage may have changed.
    fn node_settings(&self, node: usize) -> leaddeal_wire::settings::Settings {
        let mut settings = settings(node, &self.plan);
        let params = &mut settings.params;
        params.workers.lease_s = self.plan.lease_ms as f64 / 1000.0;
        match self.plan.sabotage {
            Sabotage::ShortLease => params.workers.lease_s = 0.4,
            Sabotage::LooseGpus => params.teams.iter_mut().for_each(|t| t.gpus_max *= 2.0),
            Sabotage::LongCancel => params.workers.cancel_s *= 10.0,
            Sabotage::NoLimits => params.teams.iter_mut().for_each(|t| t.cpus_max = 0.0),
            _ => {}
        }
        settings
    }

    /// Ends a controller, which starts again `back_ms` later. Without effect on one that is down.
    pub(super) fn crash(&mut self, node: usize, back_ms: u64) {
        if self.controllers[node].core.take().is_some() {
            self.schedule(back_ms, Event::Restart { node });
        }
    }

    /// A controller's time of day, which wanders within its bound; exact in runs without random faults.
    fn wall_clock_ms(&mut self) -> u64 {
        if !self.plan.faults {
            return self.now;
        }
        let error = self.rng.random_range(0..2 * MAX_WALL_CLOCK_ERROR_MS);
        self.now + error - MAX_WALL_CLOCK_ERROR_MS
    }

    /// A controller's steady clock.
    fn steady_clock_ms(&self, node: usize) -> u64 {
        let ran = self.now - self.controllers[node].started_at;
        let speed = if self.plan.sabotage == Sabotage::FastClock { 3 } else { 1 };
        (ran + ran * node as u64 / CLOCK_DRIFT_DIVISOR) * speed + 1
    }

    /// Gives an input to a controller, if it is up, and carries out what its core puts out.
    pub(super) fn step(&mut self, node: usize, input: Input) -> Result<(), BrokenRule> {
        let now = self.steady_clock_ms(node);
        let wall_ms = self.wall_clock_ms();
        let Some(core) = self.controllers[node].core.as_mut() else { return Ok(()) };
        if let Some(tally) = &mut self.tally {
            tally.input(&input);
        }
        for effect in core.step(now, wall_ms, input) {
            if let Some(tally) = &mut self.tally {
                tally.output(&effect);
            }
            self.fingerprint.add(node, now, &effect);
            self.carry_out(node, effect)?;
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

    pub(super) fn node_input(&mut self, process: Process, input: Input) -> Result<(), BrokenRule> {
        if self.is_alive(process) {
            self.step(process.node, input)?;
        }
        Ok(())
    }

    /// Schedules an input for a process.
    pub(super) fn schedule_input(&mut self, delay_ms: u64, process: Process, input: Input) {
        self.schedule(delay_ms, Event::NodeInput { process, input });
    }

    /// How often the cores that are up looked at a machine to judge it for a job.
    pub fn machines_evaluated(&self) -> u64 {
        self.controllers.iter().filter_map(|c| c.core.as_ref()).map(Node::machines_evaluated).sum()
    }
}
