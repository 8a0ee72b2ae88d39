//! Processors, GPUs and memory, of tasks and of machines.
use leaddeal_wire::mesh;

/// Amounts of the resources that a task needs or a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// Thousandths of processors.
    pub cpu: u64,
    /// Thousandths of GPUs.
    pub gpu: u64,
    /// Memory in MB.
    pub mem: u64,
}

/// Returns a value in thousandths, rounded down. For the resources that exist; those that tasks need
/// are rounded up.
pub fn thousandths(value: f64) -> u64 {
    // Many decimal fractions have no exact binary representation, and are stored as slightly less.
    const REPRESENTATION_ERROR: f64 = 1e-6;
    (value * 1000.0 + REPRESENTATION_ERROR).floor() as u64
}

impl Resources {
    /// Returns the resources that one task of this shape needs.
    pub fn of(shape: &mesh::Shape) -> Resources {
        Resources { cpu: shape.cpu, gpu: shape.gpu, mem: shape.mem }
    }

    /// Adds `other` `count` times. Saturates at the largest number.
    pub fn add(&mut self, other: Resources, count: u64) {
        self.cpu = self.cpu.saturating_add(other.cpu.saturating_mul(count));
        self.gpu = self.gpu.saturating_add(other.gpu.saturating_mul(count));
        self.mem = self.mem.saturating_add(other.mem.saturating_mul(count));
    }

    /// Subtracts `other` `count` times. Saturates at 0.
    pub fn sub(&mut self, other: Resources, count: u64) {
        self.cpu = self.cpu.saturating_sub(other.cpu.saturating_mul(count));
        self.gpu = self.gpu.saturating_sub(other.gpu.saturating_mul(count));
        self.mem = self.mem.saturating_sub(other.mem.saturating_mul(count));
    }

    /// Returns how many times `need` fits into these resources; `u64::MAX` if it needs nothing.
    pub fn fit_count(&self, need: Resources) -> u64 {
        let times = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        let cpu = times(self.cpu, need.cpu);
        let gpu = times(self.gpu, need.gpu);
        let mem = times(self.mem, need.mem);
        cpu.min(gpu).min(mem)
    }
}
