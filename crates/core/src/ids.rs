//! Identifiers and counters as distinct types, so that the compiler catches a mix-up.
//!
//! Types that end in `Idx` are indices into tables of this process and are valid only in it. On the
//! wire and in the store, the name stands in place of the index.

macro_rules! id_type {
    ($(#[$m:meta])* $name:ident, $t:ty) => {
        $(#[$m])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $t);
    };
}

id_type!(
    /// Number of a job: the numeric part of the name that its submission gives it.
    JobId, u64);
id_type!(
    /// Index of a machine in [`crate::names::Names`].
    MachineIdx, u32);
id_type!(
    /// Index of an image in [`crate::names::Names`].
    ImageIdx, u32);
id_type!(
    /// Index of a machine type: its position in [`crate::names::Names::catalog`].
    MachineTypeIdx, u8);
id_type!(
    /// Index of a zone: its position in the settings.
    ZoneIdx, u8);
id_type!(
    /// Index of a controller: its position in the settings, which is the same on all controllers.
    NodeIdx, u8);
id_type!(
    /// Number of a shard, from 0. Jobs and machines are partitioned into as many shards as there
    /// are controllers.
    Shard, u8);
id_type!(
    /// Store revision at which a shard was acquired. The owner's writes are conditional on it, and
    /// it is the fencing token of the owner's commands to workers.
    Epoch, u64);
id_type!(
    /// Number of one attempt to run a task. It combines the epoch and the decision round, so a task
    /// never gets the same number twice.
    Attempt, u64);
id_type!(
    /// Number of one negotiation (an exchange of requests and offers between a coordinator and the
    /// participants), assigned by the coordinator.
    NegotiationId, u64);

/// The shard whose owner runs the provisioner, which scales the whole fleet.
pub const PROVISIONER_SHARD: Shard = Shard(0);

/// Time on this process's monotonic clock, in milliseconds.
pub type Timestamp = u64;

/// Number of low bits of an [`Attempt`] that hold the decision round within its epoch; the epoch is
/// in the bits above.
pub const ROUND_BITS: u32 = 20;
const ROUND_MASK: u64 = (1 << ROUND_BITS) - 1;

impl Attempt {
    /// Returns the number of the attempts that a decision round under this epoch starts. Only the
    /// low [`ROUND_BITS`] bits of the round are kept.
    pub fn new(epoch: Epoch, round: u64) -> Attempt {
        Attempt((epoch.0 << ROUND_BITS) | (round & ROUND_MASK))
    }

    /// Returns whether this attempt was decided no later than the other one of the same coordinator. The rounds of an
    /// epoch begin anew after `ROUND_MASK`, so that those of half their number count as earlier.
    pub fn is_up_to(self, other: Attempt) -> bool {
        let (epoch, other_epoch) = (self.0 >> ROUND_BITS, other.0 >> ROUND_BITS);
        let rounds_before = other.0.wrapping_sub(self.0) & ROUND_MASK;
        epoch < other_epoch || (epoch == other_epoch && rounds_before <= ROUND_MASK / 2)
    }
}

/// Hashes a number with the finalizer of `MurmurHash3`. The result must be the same on every node and
/// in every version, because it determines the shard of a job.
fn murmur3_finalizer(mut value: u64) -> u64 {
    value ^= value >> 33;
    value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^= value >> 33;
    value = value.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

/// Returns the shard whose coordinator schedules the job. `shards` must not be 0.
pub fn shard_of_job(job: JobId, shards: usize) -> Shard {
    Shard((murmur3_finalizer(job.0) % shards as u64) as u8)
}

/// Returns the shard whose participant manages the machine. `shards` must not be 0.
pub fn shard_of_machine(name: &str, shards: usize) -> Shard {
    // Machines are numbered consecutively, so the remainder distributes them evenly over the shards.
    let number = number_in_name(name).unwrap_or_else(|| murmur3_finalizer(hash_of_name(name)));
    Shard((number % shards as u64) as u8)
}

/// Returns all digits of a name as one number; `None` if there are none, or too many for 64 bits.
fn number_in_name(name: &str) -> Option<u64> {
    let digits = name.bytes().filter(u8::is_ascii_digit).map(|digit| u64::from(digit - b'0'));
    let mut digits = digits.peekable();
    digits.peek()?;
    digits.try_fold(0u64, |number, digit| number.checked_mul(10)?.checked_add(digit))
}

fn hash_of_name(name: &str) -> u64 {
    name.bytes().fold(7, |hash: u64, byte| hash.wrapping_mul(31).wrapping_add(u64::from(byte) + 1))
}
