//! The resources that the attempts on a machine take.
use super::{Machine, TaskOnMachine};
use crate::names::Resources;
use leaddeal_wire::user::Priority;

/// Number of values of [`Priority`].
const PRIORITIES: usize = 4;

/// Whether tasks that take GPUs are counted too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GpuTasks {
    /// They are counted.
    Included,
    /// They are not.
    Excluded,
}

/// Resources of stoppable tasks of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Stoppable {
    without_gpus: Resources,
    with_gpus: Resources,
}

/// Sums over the attempts on a machine that are not over. They are kept up to date at each change,
/// since every request looks at every machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Load {
    /// None: there is an attempt of unknown shape.
    used: Option<Resources>,
    /// Of services and GPU work, which run for a long time.
    lasting: Resources,
    gpu_work: bool,
    /// Of tasks that are being stopped.
    stopping: Resources,
    /// Of the others, by priority.
    stoppable: [Stoppable; PRIORITIES],
}

impl Default for Load {
    fn default() -> Load {
        let none = Resources::default();
        Load {
            used: Some(none),
            lasting: none,
            gpu_work: false,
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
            self.lasting.add(shape.need, 1);
        }
        let takes_gpus = shape.need.gpu > 0;
        self.gpu_work |= takes_gpus;
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
    fn sum_up(&self) -> Load {
        let mut load = Load::default();
        for task in self.tasks.values().filter(|task| !task.is_over()) {
            load.add(task);
        }
        load
    }

    /// Sums up the load anew. To be called whenever a task comes, ends, is to stop, or its shape
    /// becomes known.
    pub fn update_load(&mut self) {
        self.load = self.sum_up();
    }

    fn load(&self) -> Load {
        debug_assert_eq!(self.load, self.sum_up(), "a change was not counted");
        self.load
    }

    /// Resources taken by what is, or may come to be, on it. None: there is a task of unknown shape.
    pub fn used(&self) -> Option<Resources> {
        self.load().used
    }

    /// Resources taken by services and GPU work, which run for a long time.
    pub fn lasting(&self) -> Resources {
        self.load().lasting
    }

    /// The most resources that work of this priority could get by stopping tasks of lower priority;
    /// tasks with GPUs are stopped only for work that takes GPUs itself.
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

    /// Resources of tasks that are being stopped.
    pub fn stopping(&self) -> Resources {
        self.load().stopping
    }

    /// Whether a task that takes GPUs is, or may come to be, on it.
    pub fn has_gpu_work(&self) -> bool {
        self.load().gpu_work
    }
}
