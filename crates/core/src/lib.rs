//! The scheduler core of leaddeal: a deterministic state machine that takes inputs and returns the
//! messages, writes and replies to make. It does no I/O and has neither a clock nor threads; time
//! and randomness are passed in, so a whole cluster can be simulated from a seed.
//!
//! [`Node`] is one controller: it routes each [`Input`] to the component that handles it and
//! returns the resulting [`Effect`]s. All durable state is in the key-value store. The components
//! of a shard (coordinator, participant, quota manager) load it when their node acquires the shard
//! and drop it when the node loses the shard.
//!
//! Modules in dependency order, lowest first:
//!
//! | module | contents |
//! | --- | --- |
//! | [`ids`] | identifiers and counters; which shard a job or a machine belongs to |
//! | [`guards`] | safety conditions that tests can disable one by one |
//! | [`names`] | indices of names; resources; the catalog of machine types |
//! | [`task_set`] | sets of completed tasks, as bitmaps |
//! | [`io`] | inputs and effects of the core; calls to the store and the cloud |
//! | [`keys`], [`stored`] | keys of the records in the store, and their values |
//! | [`budget`] | this controller's share of the store's write rate |
//! | [`records`], [`writes`] | reading all records under a prefix; transactions whose outcome becomes known |
//! | [`shard`], [`health`], [`reachability`] | leases and shard owners; which controllers and workers are reachable |
//! | [`horizon`] | up to which time all cancellations are known, and so how long workers may be answered |
//! | [`quota`], [`preemption`] | the teams' quotas; which tasks are preempted for others |
//! | [`placed`], [`jobs`], [`machine`] | a job's placed tasks; jobs; machines |
//! | [`context`] | the node's state and functions that the components use while they handle an input |
//! | [`coordinator`] | the jobs of a shard: decides where tasks run, and records the decisions |
//! | [`participant`] | the machines of a shard: offers capacity, and commands the workers |
//! | [`provisioner`] | scales the fleet out and in, on the owner of one shard |
//! | [`node`] | one controller: routes inputs to its components, acquires and relinquishes shards |

#![warn(missing_docs)]

pub mod budget;
pub mod context;
pub mod coordinator;
pub mod guards;
pub mod health;
pub mod horizon;
pub mod ids;
pub mod io;
pub mod jobs;
pub mod keys;
pub mod machine;
pub mod names;
pub mod node;
pub mod participant;
pub mod placed;
pub mod preemption;
pub mod provisioner;
pub mod quota;
pub mod reachability;
pub mod records;
pub mod shard;
pub mod stored;
pub mod task_set;
pub mod writes;

pub use io::{Effect, Input};
pub use node::Node;
