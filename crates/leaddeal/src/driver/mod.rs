//! Connects the core with the world: feeds it inputs and carries out its effects.
//!
//! The core ([`leaddeal_core::Node`]) does no I/O and reads no clock. Here is all that it needs for that:
//!
//! - [`startup`]: opens the listeners and starts the tasks,
//! - [`event_loop`]: the only place that calls the core,
//! - [`effects`]: what the core decided, carried out,
//! - [`store_client`], [`cloud_client`], [`worker_client`]: calls to others, with typed results,
//! - [`clock`], [`limits`], [`tasks`]: time, bounds and the tasks of the process.
//!
//! Everything runs on one thread. A call to another service is a task that ends with one event to the loop.
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

/// For a TCP connection to a service or a worker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a controller could not start, or ended.
#[derive(Debug, Error)]
pub(crate) enum DriverError {
    /// A port of the settings can't be listened on.
    #[error("listening on {addr} for {from}: {source}")]
    Listen { addr: String, from: &'static str, source: io::Error },
    /// The event loop panicked.
    #[error("the event loop ended: {0}")]
    EventLoop(#[from] JoinError),
    /// A task that is never meant to end did; without a source it returned.
    #[error("the task {task:?} ended: {}", end_of_task(source.as_ref()))]
    TaskEnded { task: String, source: Option<JoinError> },
}

fn end_of_task(error: Option<&JoinError>) -> String {
    error.map_or_else(|| "it returned".to_string(), ToString::to_string)
}
