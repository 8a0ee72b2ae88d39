//! Newtypes for what is counted and named.

macro_rules! id {
    ($(#[$m:meta])* $name:ident, $t:ty) => {
        $(#[$m])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $t);
    };
}

id!(
    /// Number in a job's name.
    JobId, u64);
id!(MachineIdx, u32);
id!(ImageIdx, u32);
id!(TypeIdx, u8);
id!(ZoneIdx, u8);
id!(NodeIdx, u8);
id!(
    /// A share of the machines and of the jobs; there are as many as controllers.
    Shard, u8);
id!(
    /// Revision at which a shard was acquired: the condition of its owner's writes and the token
    /// of its commands to workers.
    Epoch, u64);
id!(
    /// One start of a task. Never used twice for a task: it contains the epoch and the round.
    Attempt, u64);
id!(Negotiation, u64);

/// The shard whose owner buys for all.
pub const PROVISIONER_SHARD: Shard = Shard(0);

/// Milliseconds of this process's steady clock.
pub type Timestamp = u64;

/// Decision rounds within one epoch; the rest of an attempt's number is the epoch.
pub const ROUND_BITS: u32 = 20;

impl Attempt {
    pub fn new(epoch: Epoch, round: u64) -> Attempt {
        Attempt((epoch.0 << ROUND_BITS) | (round & ((1 << ROUND_BITS) - 1)))
    }
}

/// A well-mixed hash that is the same on every node and in every version.
fn mix(mut x: u64) -> u64 {
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

/// The shard that coordinates a job.
pub fn shard_of_job(job: JobId, shards: usize) -> Shard {
    Shard((mix(job.0) % shards as u64) as u8)
}

/// The shard whose participant a machine belongs to.
pub fn shard_of_machine(name: &str, shards: usize) -> Shard {
    // Machines are named in order: going round shares them out evenly.
    let mut digits =
        name.bytes().filter(u8::is_ascii_digit).map(|b| u64::from(b - b'0')).peekable();
    let number = digits
        .peek()
        .is_some()
        .then(|| digits.try_fold(0u64, |n, d| n.checked_mul(10)?.checked_add(d)));
    let n = number.flatten().unwrap_or_else(|| {
        mix(name.bytes().fold(7u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b) + 1)))
    });
    Shard((n % shards as u64) as u8)
}
