//! Commands sent directly to workers, on connections that are reused for a while.
use super::CONNECT_TIMEOUT;
use crate::http_client::{CallError, HttpClient};
use hyper::StatusCode;
use leaddeal_core::io::CommandOutcome;
use leaddeal_wire::worker::{CommandBatch, WorkerHeartbeat, COMMANDS_PATH};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const COMMAND_TIMEOUT: Duration = Duration::from_millis(2500);
/// A client that sent no command to its worker for this long is removed, and its connection closed. Opening a
/// connection costs as much as several commands, but one that was idle for longer may have failed unnoticed,
/// and then the outcome of the next command is unknown.
const WORKER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Client of one worker. Clones share its connections.
#[derive(Clone)]
pub(super) struct WorkerClient {
    http: HttpClient,
}

impl WorkerClient {
    fn new(addr: &str) -> WorkerClient {
        WorkerClient { http: HttpClient::new(addr, CONNECT_TIMEOUT) }
    }

    /// Sends a batch of commands. Does not retry on failure: the core decides on retries.
    pub async fn send(&self, batch: &CommandBatch) -> CommandOutcome {
        let response = match self.http.post_json(COMMANDS_PATH, batch, COMMAND_TIMEOUT).await {
            Ok(response) => response,
            Err(CallError::NotSent(_)) => return CommandOutcome::NotSent,
            Err(CallError::Unknown(_)) => return CommandOutcome::Unknown,
        };
        match (response.status, response.json::<WorkerHeartbeat>()) {
            (StatusCode::OK, Some(status)) => CommandOutcome::Executed(Box::new(status)),
            (StatusCode::CONFLICT, Some(status)) => CommandOutcome::Refused(Box::new(status)),
            _ => CommandOutcome::Unknown,
        }
    }
}

struct CachedClient {
    client: WorkerClient,
    last_used: Instant,
}

/// Clients of the workers to which commands were sent recently, by worker address.
pub(super) struct WorkerClients {
    cached: HashMap<String, CachedClient>,
    /// A client beyond this number is not cached: its connection is closed after one batch of commands.
    max_cached: usize,
}

impl WorkerClients {
    /// Creates an empty cache of at most `max_cached` clients.
    pub fn new(max_cached: usize) -> WorkerClients {
        WorkerClients { cached: HashMap::new(), max_cached }
    }

    /// Returns the client for a worker, with the connections of its recent commands if it is cached.
    pub fn client(&mut self, addr: &str) -> WorkerClient {
        let now = Instant::now();
        if let Some(cached) = self.cached.get_mut(addr) {
            cached.last_used = now;
            return cached.client.clone();
        }
        let client = WorkerClient::new(addr);
        if self.cached.len() < self.max_cached {
            let entry = CachedClient { client: client.clone(), last_used: now };
            self.cached.insert(addr.to_string(), entry);
        }
        client
    }

    /// Removes the clients that were not used for [`WORKER_IDLE_TIMEOUT`].
    pub fn remove_idle(&mut self) {
        let now = Instant::now();
        self.cached.retain(|_, cached| now.duration_since(cached.last_used) < WORKER_IDLE_TIMEOUT);
    }
}
