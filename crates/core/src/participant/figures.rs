//! What stands in the way of GPU work on a participant's machines, for the operators' log.
use super::free_resources::GpuMachine;
use super::Participant;
use crate::context::Context;
use crate::names::Resources;

/// What a machine with GPUs is used for.
enum GpuMachineUse {
    /// Nothing may come to it now, or what is on it is not known.
    Away,
    /// GPU work.
    Busy,
    /// It has capacity for GPU work that was asked for recently.
    Open,
    /// It has tasks on it that will end, and leave enough for GPU work.
    ShortTasks,
    /// Services or holds that stay, so that there would not be enough even then.
    Blocked,
}

/// Machines with GPUs by what they are used for.
#[derive(Debug, Default)]
struct GpuMachineCounts {
    busy: u32,
    open: u32,
    short_tasks: u32,
    blocked: u32,
    away: u32,
    /// Those with reservations, whatever else they are used for.
    reserved: u32,
}

impl GpuMachineCounts {
    fn add(&mut self, machine_use: &GpuMachineUse) {
        match machine_use {
            GpuMachineUse::Away => self.away += 1,
            GpuMachineUse::Busy => self.busy += 1,
            GpuMachineUse::Open => self.open += 1,
            GpuMachineUse::ShortTasks => self.short_tasks += 1,
            GpuMachineUse::Blocked => self.blocked += 1,
        }
    }
}

/// `needs`: of the GPU work that was asked for recently.
fn machine_use(ctx: &Context, gpu_machine: &GpuMachine, needs: &[Resources]) -> GpuMachineUse {
    let machine = gpu_machine.machine;
    let fits = |free: Resources| needs.iter().any(|&need| free.fit_count(need) > 0);
    let silent = ctx.now >= machine.last_heartbeat_at + ctx.config.max_silence_ms;
    let Some(used) = machine.used().filter(|_| machine.token_confirmed && !silent) else {
        return GpuMachineUse::Away;
    };
    let mut free = ctx.names.resources_of_type(gpu_machine.group.machine_type);
    free.sub(used, 1);
    if machine.has_gpu_work() {
        GpuMachineUse::Busy
    } else if fits(free) {
        GpuMachineUse::Open
    } else if fits(gpu_machine.lasting_free) {
        GpuMachineUse::ShortTasks
    } else {
        GpuMachineUse::Blocked
    }
}

impl Participant {
    /// A line of figures: what kept machines from being offered for jobs that got less than they asked
    /// for, since it was last asked for. None: nothing did.
    pub fn obstacle_figures(&mut self) -> Option<String> {
        let counts = std::mem::take(&mut self.offer_obstacles);
        Some(format!("shard={} {}", self.shard.0, counts.figures()?))
    }

    /// A line of figures: machines with GPUs by what they are used for, and the gangs that wait.
    pub fn figures(&self, ctx: &Context) -> String {
        let needs: Vec<Resources> = self.gpu_demand.needs().collect();
        let mut counts = GpuMachineCounts::default();
        for gpu_machine in self.gpu_machines(ctx.names) {
            counts.add(&machine_use(ctx, &gpu_machine, &needs));
            counts.reserved += u32::from(!self.reservations.on(gpu_machine.idx).is_empty());
        }
        let GpuMachineCounts { busy, open, short_tasks, blocked, away, reserved } = counts;
        format!(
            "shard={} machines={} gpu_busy={busy} gpu_open={open} gpu_short_tasks={short_tasks} \
             gpu_blocked={blocked} gpu_away={away} gpu_reserved={reserved} queued_gangs={}",
            self.shard.0,
            self.machines.len(),
            self.gang_queue.len(),
        )
    }
}
