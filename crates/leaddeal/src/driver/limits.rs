//! Limits on the controller's own use of resources, from `cluster.resources` in the settings.
use leaddeal_wire::settings::Limits;

/// Used if the settings have no limit: enough for 4,500 workers at one controller, and users.
const DEFAULT_MAX_CONNECTIONS: usize = 5000;
/// Number of the allowed file descriptors kept for everything but the connections of users and workers.
const RESERVED_FILE_DESCRIPTORS: usize = 100;
/// Divides the connection limit; the result is the limit on cached clients of workers.
const WORKER_CONNECTIONS_DIVISOR: usize = 4;

/// Used if the settings have no memory limit.
const DEFAULT_BODY_MEMORY_KIB: usize = 8 * 1024;
const MIN_BODY_MEMORY_KIB: usize = 1024;
/// Makes an eighth of the controller's memory available for request bodies.
const BODY_MEMORY_KIB_PER_MB: f64 = 128.0;

/// The resource limits of this controller.
pub(super) struct ResourceLimits {
    /// Concurrent connections of users and workers; further ones are refused.
    pub max_connections: usize,
    /// Cached clients of workers, with their idle connections.
    pub max_worker_clients: usize,
    /// KiB for large request bodies that are being read; further ones are refused.
    pub body_memory_kib: usize,
}

impl ResourceLimits {
    /// Derives the limits from the settings, in which 0 means that a limit is not set.
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
