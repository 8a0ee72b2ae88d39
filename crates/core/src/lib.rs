//! The scheduler core of leaddeal: a state machine that takes inputs and returns what to send, write
//! and answer. It does no I/O, and has neither a clock nor threads; time and randomness are passed in,
//! so a whole cluster can be simulated from a seed.
//!
//! [`Node`] is one controller: it takes each [`Input`], routes it to its parts and returns the
//! [`Effect`]s. All durable state is in the key-value store; a part loads it when its node acquires a
//! shard, and drops it when the shard is lost.
//!
//! The modules in the order of their dependencies, the lowest first:
//!
//! | module | what |
//! | --- | --- |
//! | [`ids`] | identifiers and counters, and which shard a job or a machine belongs to |
//! | [`guards`] | the conditions that tests can disable one by one |
//! | [`names`] | indices of names; resources; the catalog of machine types |
//! | [`task_set`] | sets of completed tasks, as bitmaps |
//! | [`io`] | inputs and effects of the core, calls to the store and the cloud |
//! | [`keys`], [`stored`] | keys of the records in the store, and their values |
//! | [`budget`] | this controller's part of the changes that the store takes |
//! | [`records`], [`writes`] | reading all records of a prefix; transactions with a known outcome |
//! | [`shard`], [`health`], [`reachability`] | leases and owners; which controllers and workers are heard |
//! | [`horizon`] | until when all cancellations are known, and for how long workers are answered |
//! | [`quota`], [`preemption`] | the teams' limits; which tasks are preempted for others |
//! | [`placed`], [`jobs`], [`machine`] | a job's placed tasks; jobs; machines |
//! | [`context`] | what the parts need of the node while they handle an input |
//! | [`coordinator`] | the jobs of a shard: decides where tasks run, and records it |
//! | [`participant`] | the machines of a shard: offers capacity, and commands the workers |
//! | [`provisioner`] | scales the fleet, on the owner of one shard |
//! | [`node`] | one controller: routes inputs to the parts, acquires and relinquishes shards |

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
