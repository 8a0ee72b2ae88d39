//! The scheduler core: a state machine that takes inputs and returns what to send, write and
//! answer. No I/O, no clock, no async; time and randomness are passed in.

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
