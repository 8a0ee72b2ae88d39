//! Wire formats of leaddeal. The only place that knows the odd names used on the wire;
//! everything else speaks of jobs, tasks, machines, leases and epochs.

#![warn(missing_docs)]

pub mod cloud;
pub mod mesh;
pub mod settings;
pub mod state;
pub mod user;
pub mod worker;
