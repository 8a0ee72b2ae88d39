//! What the controller takes of its machine, from the settings' `cluster.resources`.
use leaddeal_wire::settings::Limits;

/// Without a limit in the settings: enough for 4,500 workers at one controller, and users.
const DEFAULT_MAX_CONNECTIONS: usize = 5000;
/// Of the allowed file descriptors, those for everything but users' and workers' connections.
const RESERVED_FILE_DESCRIPTORS: usize = 100;
/// One connection in this many of those allowed may be an idle one to a worker.
const WORKER_CONNECTIONS_DIVISOR: usize = 4;

/// Without a limit in the settings.
const DEFAULT_BODY_MEMORY_KIB: usize = 8 * 1024;
const MIN_BODY_MEMORY_KIB: usize = 1024;
/// An eighth of the controller's memory.
const BODY_MEMORY_KIB_PER_MB: f64 = 128.0;

/// The bounds of this controller.
pub(super) struct ResourceLimits {
    /// Connections of users and workers at a time; more are refused.
    pub max_connections: usize,
    /// Idle clients of workers.
    pub max_worker_clients: usize,
    /// KiB for the bodies of requests that are coming in; more are refused.
    pub body_memory_kib: usize,
}

impl ResourceLimits {
    /// The bounds for what the settings allow; a limit that is not set is 0 there.
    pub fn from_settings(limits: &Limits) -> ResourceLimits {
        let max_connections = max_connections(limits.max_connections);
        ResourceLimits {
            max_connections,
            max_worker_clients: max_connections / WORKER_CONNECTIONS_DIVISOR,
            body_memory_kib: body_memory_kib(limits.memory_mb),
        }
    }
}

fn max_connections(file_descriptors: usize) -> usize {
    if file_descriptors == 0 {
        return DEFAULT_MAX_CONNECTIONS;
    }
    file_descriptors.saturating_sub(RESERVED_FILE_DESCRIPTORS).max(file_descriptors / 2)
}

fn body_memory_kib(memory_mb: f64) -> usize {
    if memory_mb > 0.0 {
        ((memory_mb * BODY_MEMORY_KIB_PER_MB) as usize).max(MIN_BODY_MEMORY_KIB)
    } else {
        DEFAULT_BODY_MEMORY_KIB
    }
}

#[cfg(test)]
mod tests;
