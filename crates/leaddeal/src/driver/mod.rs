//! Connects the core with the outside: passes inputs to it and carries out its effects.
//!
//! The core ([`leaddeal_core::Node`]) does no I/O and reads no clock. This module does both for it:
//!
//! - [`startup`]: opens the listeners and starts the tasks,
//! - [`event_loop`]: the only caller of the core,
//! - [`effects`]: carries out the effects that the core returns,
//! - [`store_client`], [`cloud_client`], [`worker_client`]: calls to the store, the cloud and the workers,
//! - [`clock`], [`limits`], [`tasks`]: clocks, resource limits and long-running tasks of the process.
//!
//! Everything runs on one thread. Each call to another service is a task that ends by sending one event to the
//! loop.
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::task::JoinError;

mod clock;
mod cloud_client;
mod effects;
mod event_loop;
mod limits;
mod startup;
mod store_client;
mod tasks;
mod worker_client;

pub(crate) use startup::run;

/// Time limit for opening a TCP connection to a service or a worker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a controller failed to start, or stopped.
#[derive(Debug, Error)]
pub(crate) enum DriverError {
    /// An address of the settings can't be listened on for connections of these clients.
    #[error("listening on {addr} for {clients}: {source}")]
    Listen { addr: String, clients: &'static str, source: io::Error },
    /// The event loop panicked.
    #[error("the event loop ended: {0}")]
    EventLoop(#[from] JoinError),
    /// A task that must never end did. `source` is `None` if it returned.
    #[error("the task {task:?} ended: {}", describe_task_end(source.as_ref()))]
    TaskEnded { task: String, source: Option<JoinError> },
}

fn describe_task_end(error: Option<&JoinError>) -> String {
    error.map_or_else(|| "it returned".to_string(), ToString::to_string)
}
