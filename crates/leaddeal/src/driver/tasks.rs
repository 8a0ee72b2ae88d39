//! Tasks that run for as long as the process does.
use super::DriverError;
use std::collections::HashMap;
use std::future::Future;
use tokio::task::{Id, JoinSet};

/// A set of tasks that must never end, each with a name for the error if it does. Dropping the set aborts the
/// tasks.
#[derive(Default)]
pub(super) struct ServiceTasks {
    running: JoinSet<()>,
    names: HashMap<Id, String>,
}

impl ServiceTasks {
    /// Starts a task under this name.
    pub fn spawn(&mut self, name: String, task: impl Future<Output = ()> + Send + 'static) {
        let handle = self.running.spawn(task);
        self.names.insert(handle.id(), name);
    }

    /// Waits until one of the tasks ends, and returns its name and the cause. (In a release build, a panic ends
    /// the process instead.)
    pub async fn first_end(&mut self) -> DriverError {
        let (id, source) = match self.running.join_next_with_id().await {
            Some(Ok((id, ()))) => (Some(id), None),
            Some(Err(error)) => (Some(error.id()), Some(error)),
            None => (None, None),
        };
        let task = id.and_then(|id| self.names.remove(&id)).unwrap_or_default();
        DriverError::TaskEnded { task, source }
    }
}

#[cfg(test)]
mod tests;
