//! Wire formats of leaddeal.
//!
//! Several protocols use field names that differ from the usual terms of the field. Only this crate
//! knows those names; all other code speaks of jobs, tasks, machines, leases and epochs.
//!
//! | module | what |
//! | --- | --- |
//! | [`user`] | between users and controllers: HTTP with JSON |
//! | [`worker`] | between workers and controllers: HTTP with JSON |
//! | [`mesh`] | between controllers: CBOR in length-prefixed frames |
//! | [`state`] | between controllers and the key-value store: HTTP with JSON |
//! | [`cloud`] | between controllers and the cloud: HTTP with JSON |
//! | [`settings`] | the settings file |

#![warn(missing_docs)]

pub mod cloud;
pub mod mesh;
pub mod settings;
pub mod state;
pub mod user;
pub mod worker;
