//! Connections between controllers: length-framed CBOR over TCP.
//!
//! Each node sends on the connections that it opened ([`dialer`]) and listens on those that others opened
//! ([`listener`]). The first frame is a `Hello`, all others are `NodeMessage`s. The listening end writes back
//! only signals ([`signal`]): that it reads, or that the sender's process is outdated.
//!
//! Messages may be lost, with the connection or when a queue is full. They are never reordered or repeated:
//! a node listens only to the newest connection of a peer's newest process ([`boot`]).
use std::time::Duration;

mod boot;
mod dialer;
mod frame;
mod listener;
mod signal;

pub(crate) use boot::BootNumber;
pub(crate) use dialer::{Dialer, READ_SIGNAL_TIMEOUT};
pub(crate) use listener::{listen, PeerRestarts};

/// For a batch of messages, or a signal. After it the connection is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

#[cfg(test)]
mod tests;
