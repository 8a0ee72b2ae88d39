//! Identifiers and counters as types of their own, so that one can't be taken for another.
//!
//! Those that end in `Idx` are indices into tables of one process: they mean nothing elsewhere, and
//! are sent and stored by name.

macro_rules! id {
    ($(#[$m:meta])* $name:ident, $t:ty) => {
        $(#[$m])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $t);
    };
}

id!(
    /// The number in a job's name, which is given to it when it is submitted.
    JobId, u64);
id!(
    /// Index of a machine in [`crate::names::Names`].
    MachineIdx, u32);
id!(
    /// Index of an image in [`crate::names::Names`].
    ImageIdx, u32);
id!(
    /// Index of a machine type: its position in [`crate::names::Names::catalog`].
    TypeIdx, u8);
id!(
    /// Index of a zone: its position in the settings.
    ZoneIdx, u8);
id!(
    /// Index of a controller: its position in the settings, the same on all controllers.
    NodeIdx, u8);
id!(
    /// A partition of the machines and of the jobs, from 0; there are as many as controllers.
    Shard, u8);
id!(
    /// Store revision at which a shard was acquired: the condition of its owner's writes and the
    /// fencing token of its commands to workers.
    Epoch, u64);
id!(
    /// One start of a task. No number is used twice for a task: it is made of the epoch and of the
    /// decision round.
    Attempt, u64);
id!(
    /// One exchange of offers between a coordinator and the participants, numbered by the
    /// coordinator.
    Negotiation, u64);

/// The shard whose owner scales the fleet for all of them.
pub const PROVISIONER_SHARD: Shard = Shard(0);

/// Milliseconds of this process's monotonic clock.
pub type Timestamp = u64;

/// Low bits of an [`Attempt`] that hold the decision round within its epoch; the epoch is above them.
pub const ROUND_BITS: u32 = 20;
const ROUND_MASK: u64 = (1 << ROUND_BITS) - 1;

impl Attempt {
    /// The attempt that a decision starts. Only the low [`ROUND_BITS`] bits of the round are kept.
    pub fn new(epoch: Epoch, round: u64) -> Attempt {
        Attempt((epoch.0 << ROUND_BITS) | (round & ROUND_MASK))
    }
}

/// A hash (the finalizer of `MurmurHash3`) that is the same on every node and in every version.
fn mix(mut value: u64) -> u64 {
    value ^= value >> 33;
    value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^= value >> 33;
    value = value.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

/// The shard that coordinates a job. `shards` must not be 0.
pub fn shard_of_job(job: JobId, shards: usize) -> Shard {
    Shard((mix(job.0) % shards as u64) as u8)
}

/// The shard whose participant a machine belongs to. `shards` must not be 0.
pub fn shard_of_machine(name: &str, shards: usize) -> Shard {
    // Machines are numbered in order: the remainder spreads them evenly.
    let number = number_in_name(name).unwrap_or_else(|| mix(hash_of_name(name)));
    Shard((number % shards as u64) as u8)
}

/// All digits of a name as one number; `None` if there are none, or too many for 64 bits.
fn number_in_name(name: &str) -> Option<u64> {
    let digits = name.bytes().filter(u8::is_ascii_digit).map(|digit| u64::from(digit - b'0'));
    let mut digits = digits.peekable();
    digits.peek()?;
    digits.try_fold(0u64, |number, digit| number.checked_mul(10)?.checked_add(digit))
}

fn hash_of_name(name: &str) -> u64 {
    name.bytes().fold(7, |hash: u64, byte| hash.wrapping_mul(31).wrapping_add(u64::from(byte) + 1))
}
