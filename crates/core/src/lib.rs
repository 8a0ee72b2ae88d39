//! The scheduler core: a state machine that takes inputs and returns what to send, write and
//! answer. No I/O, no clock, no async; time and randomness are passed in.

pub mod bits;
pub mod budget;
pub mod coordinator;
pub mod ctx;
pub mod fleet;
pub mod guards;
pub mod health;
pub mod hearing;
pub mod horizon;
pub mod ids;
pub mod io;
pub mod jobs;
pub mod keys;
pub mod names;
pub mod node;
pub mod participant;
pub mod placed;
pub mod preemption;
pub mod provisioner;
pub mod quota;
pub mod records;
pub mod shard;
pub mod writes;

pub use io::{Input, Output};
pub use node::Node;
