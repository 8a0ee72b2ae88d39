//! Connections between controllers: CBOR in length-prefixed frames over TCP.
//!
//! Each node sends messages on the connections that it opened ([`dialer`]) and receives them on the connections
//! that its peers opened ([`listener`]). The first frame is a `Hello`, all others are `NodeMessage`s. The
//! receiving end writes only signals ([`signal`]): that it is reading, or that the sender's process is outdated.
//!
//! Messages may be lost, with the connection or when a queue is full. They are never reordered or duplicated: a
//! node receives only from the newest connection of a peer's newest process ([`boot`]).
use std::time::Duration;

mod boot;
mod dialer;
mod frame;
mod listener;
mod signal;

pub(crate) use boot::BootNumber;
pub(crate) use dialer::{Dialer, READ_SIGNAL_TIMEOUT};
pub(crate) use listener::{listen, PeerRestarts};

/// Time limit for writing a batch of messages or a signal, after which the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

#[cfg(test)]
mod tests;
