//! The scheduler core: a state machine that takes inputs and returns what to send, write and
//! answer. No I/O, no clock, no async; time and randomness are passed in.

pub mod bits;
pub mod budget;
pub mod buyer;
pub mod coordinator;
pub mod ctx;
pub mod fleet;
pub mod health;
pub mod hearing;
pub mod horizon;
pub mod ids;
pub mod io;
pub mod jobs;
pub mod keys;
pub mod names;
pub mod node;
pub mod part;
pub mod placed;
pub mod preemption;
pub mod records;
pub mod seat;
pub mod teams;
pub mod writes;

pub use io::{Input, Output};
pub use node::Node;
