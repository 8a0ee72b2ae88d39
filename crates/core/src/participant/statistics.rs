//! Lines for the operators' log about what keeps a participant's GPU machines from getting GPU work.
use super::free_resources::GpuMachine;
use super::Participant;
use crate::context::Context;
use crate::names::Resources;

/// How a machine with GPUs is used.
enum GpuMachineUse {
    /// The machine is silent or its worker has not confirmed the fencing token, or a task of unknown shape
    /// is on it.
    Unavailable,
    /// GPU work is on the machine.
    Busy,
    /// The machine has enough free for recently requested GPU work.
    Open,
    /// The machine will have enough free for GPU work once its short tasks have ended.
    ShortTasks,
    /// Services or holds for long-running tasks leave too little for GPU work even after the short tasks
    /// have ended.
    Blocked,
}

/// Number of machines with GPUs by their use.
#[derive(Debug, Default)]
struct GpuMachineCounts {
    busy: u32,
    open: u32,
    short_tasks: u32,
    blocked: u32,
    away: u32,
    /// Machines with reservations, whatever their use.
    reserved: u32,
}

impl GpuMachineCounts {
    fn add(&mut self, machine_use: &GpuMachineUse) {
        match machine_use {
            GpuMachineUse::Unavailable => self.away += 1,
            GpuMachineUse::Busy => self.busy += 1,
            GpuMachineUse::Open => self.open += 1,
            GpuMachineUse::ShortTasks => self.short_tasks += 1,
            GpuMachineUse::Blocked => self.blocked += 1,
        }
    }
}

/// Classifies a machine with GPUs. `needs` are the resources of one task of each recently requested kind
/// of GPU work.
fn machine_use(ctx: &Context, gpu_machine: &GpuMachine, needs: &[Resources]) -> GpuMachineUse {
    let machine = gpu_machine.machine;
    let fits = |free: Resources| needs.iter().any(|&need| free.fit_count(need) > 0);
    let is_silent = ctx.now >= machine.last_heartbeat_at + ctx.config.max_silence_ms;
    let Some(used) = machine.used().filter(|_| machine.token_confirmed && !is_silent) else {
        return GpuMachineUse::Unavailable;
    };
    let mut free = ctx.names.resources_of_type(gpu_machine.group.machine_type);
    free.sub(used, 1);
    if machine.has_gpu_work() {
        GpuMachineUse::Busy
    } else if fits(free) {
        GpuMachineUse::Open
    } else if fits(gpu_machine.long_term_free) {
        GpuMachineUse::ShortTasks
    } else {
        GpuMachineUse::Blocked
    }
}

impl Participant {
    /// Returns a log line with the obstacles that kept machines from being offered to jobs which got less
    /// than they asked for, and resets the counts. Returns `None` if there were none since the last call.
    pub fn obstacle_statistics(&mut self) -> Option<String> {
        let counts = std::mem::take(&mut self.offer_obstacles);
        Some(format!("shard={} {}", self.shard.0, counts.statistics()?))
    }

    /// Returns how many tasks on the machines have a shape that their coordinators have not sent yet.
    pub fn tasks_of_unknown_shape(&self) -> usize {
        let tasks = self.machines.values().flat_map(|machine| machine.tasks.values());
        tasks.filter(|task| !task.is_over() && task.shape.is_none()).count()
    }

    /// Returns a log line with the number of machines, of tasks of unknown shape, of GPU machines by their
    /// use, and of waiting gangs.
    pub fn statistics(&self, ctx: &Context) -> String {
        let needs: Vec<Resources> = self.gpu_demand.needs().collect();
        let mut counts = GpuMachineCounts::default();
        for gpu_machine in self.gpu_machines(ctx.names) {
            counts.add(&machine_use(ctx, &gpu_machine, &needs));
            counts.reserved += u32::from(!self.reservations.on(gpu_machine.idx).is_empty());
        }
        let GpuMachineCounts { busy, open, short_tasks, blocked, away, reserved } = counts;
        format!(
            "shard={} machines={} unknown_shapes={} gpu_busy={busy} gpu_open={open} gpu_short_tasks={short_tasks} \
             gpu_blocked={blocked} gpu_away={away} gpu_reserved={reserved} queued_gangs={}",
            self.shard.0,
            self.machines.len(),
            self.tasks_of_unknown_shape(),
            self.gang_queue.len(),
        )
    }
}
