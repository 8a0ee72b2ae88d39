//! The resources that the attempts on a machine use.
use super::{Machine, TaskOnMachine};
use crate::names::Resources;
use leaddeal_wire::user::Priority;

/// Number of values of [`Priority`].
const PRIORITIES: usize = 4;

/// Whether tasks that use GPUs are counted too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GpuTasks {
    /// Tasks with GPUs are counted.
    Included,
    /// Only tasks without GPUs are counted.
    Excluded,
}

/// Resources of the tasks of one priority that are not being stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Stoppable {
    without_gpus: Resources,
    with_gpus: Resources,
}

/// Sums over the attempts on a machine that have not ended. They are updated at each change rather
/// than computed on demand, because every offer request reads those of every machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Load {
    /// Resources of all attempts. `None`: the shape of some attempt is unknown.
    used: Option<Resources>,
    /// Resources of services and tasks with GPUs, which run for a long time.
    long_running: Resources,
    /// Some attempt uses GPUs.
    has_gpu_work: bool,
    /// Resources of tasks that are being stopped.
    stopping: Resources,
    /// Resources of the other tasks, by priority.
    stoppable: [Stoppable; PRIORITIES],
}

impl Default for Load {
    fn default() -> Load {
        let none = Resources::default();
        Load {
            used: Some(none),
            long_running: none,
            has_gpu_work: false,
            stopping: none,
            stoppable: [Stoppable::default(); PRIORITIES],
        }
    }
}

impl Load {
    fn add(&mut self, task: &TaskOnMachine) {
        let Some(shape) = &task.shape else {
            self.used = None;
            return;
        };
        if let Some(used) = &mut self.used {
            used.add(shape.need, 1);
        }
        if shape.is_long_running() {
            self.long_running.add(shape.need, 1);
        }
        let takes_gpus = shape.need.gpu > 0;
        self.has_gpu_work |= takes_gpus;
        if task.stop.is_some() {
            self.stopping.add(shape.need, 1);
            return;
        }
        let stoppable = &mut self.stoppable[shape.wire.priority as usize];
        if takes_gpus {
            stoppable.with_gpus.add(shape.need, 1);
        } else {
            stoppable.without_gpus.add(shape.need, 1);
        }
    }
}

impl Machine {
    fn compute_load(&self) -> Load {
        let mut load = Load::default();
        for task in self.tasks.values().filter(|task| !task.is_over()) {
            load.add(task);
        }
        load
    }

    /// Recomputes the load. Must be called whenever a task is added, ends or is to stop, or its shape
    /// becomes known.
    pub fn update_load(&mut self) {
        self.load = self.compute_load();
    }

    fn load(&self) -> Load {
        debug_assert_eq!(self.load, self.compute_load(), "the load was not updated after a change");
        self.load
    }

    /// Returns the resources of all attempts that are, or may still start, on the machine. `None`:
    /// the shape of some attempt is unknown.
    pub fn used(&self) -> Option<Resources> {
        self.load().used
    }

    /// Returns the resources of services and tasks with GPUs, which run for a long time.
    pub fn long_running(&self) -> Resources {
        self.load().long_running
    }

    /// Returns the most resources that preempting tasks of lower priority could free for a task of
    /// this priority. Tasks with GPUs are preempted only for tasks that use GPUs themselves.
    pub fn preemptible(&self, priority: Priority, gpu_tasks: GpuTasks) -> Resources {
        let load = self.load();
        let mut resources = Resources::default();
        for lower in &load.stoppable[..priority as usize] {
            resources.add(lower.without_gpus, 1);
            if gpu_tasks == GpuTasks::Included {
                resources.add(lower.with_gpus, 1);
            }
        }
        resources
    }

    /// Returns the resources of tasks that are being stopped.
    pub fn stopping(&self) -> Resources {
        self.load().stopping
    }

    /// Returns whether an attempt that uses GPUs is, or may still start, on the machine.
    pub fn has_gpu_work(&self) -> bool {
        self.load().has_gpu_work
    }
}
