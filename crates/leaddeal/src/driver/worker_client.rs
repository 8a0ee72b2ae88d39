//! Commands sent straight to workers, on connections that are kept for a while.
use super::CONNECT_TIMEOUT;
use crate::http_client::{CallError, HttpClient};
use hyper::StatusCode;
use leaddeal_core::io::CommandOutcome;
use leaddeal_wire::worker::{CommandBatch, WorkerHeartbeat, COMMANDS_PATH};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const COMMAND_TIMEOUT: Duration = Duration::from_millis(2500);
/// A connection to a worker is used again within this time. Making one takes as much as several commands;
/// but an older one may have died unnoticed, and then the outcome is unknown.
const WORKER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// One worker, with connections that clones share.
#[derive(Clone)]
pub(super) struct WorkerClient {
    http: HttpClient,
}

impl WorkerClient {
    fn new(addr: &str) -> WorkerClient {
        WorkerClient { http: HttpClient::new(addr, CONNECT_TIMEOUT) }
    }

    /// Sends a batch of commands. Not repeated on failure: the core decides on retries.
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

/// Clients of the workers that were commanded lately, by address.
pub(super) struct WorkerClients {
    cached: HashMap<String, CachedClient>,
    /// Beyond this number, a worker's client is used once and its connection is closed.
    max_cached: usize,
}

impl WorkerClients {
    /// An empty cache of at most `max_cached` clients.
    pub fn new(max_cached: usize) -> WorkerClients {
        WorkerClients { cached: HashMap::new(), max_cached }
    }

    /// The client for a worker, with the connection of its last command if that was lately.
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

    /// Forgets the clients that were not used for [`WORKER_IDLE_TIMEOUT`].
    pub fn remove_idle(&mut self) {
        let now = Instant::now();
        self.cached.retain(|_, cached| now.duration_since(cached.last_used) < WORKER_IDLE_TIMEOUT);
    }
}
