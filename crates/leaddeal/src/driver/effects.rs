//! Carrying out what the core decides: replies, messages to peers, calls to the outside services.
use super::cloud_client::CloudClient;
use super::store_client::StoreClient;
use super::worker_client::WorkerClients;
use crate::event::{Event, Reply};
use leaddeal_core::io::LogLevel;
use leaddeal_core::io::RequestId;
use leaddeal_core::{Effect, Input};
use leaddeal_wire::mesh::NodeMessage;
use std::collections::HashMap;
use std::future::Future;
use tokio::sync::{mpsc, oneshot};

/// The world outside the core.
///
/// Nothing here waits: calls run in tasks of their own, which send their result to the event loop.
pub(super) struct EffectHandler {
    /// To the event loop.
    pub events: mpsc::Sender<Event>,
    pub store: StoreClient,
    pub cloud: CloudClient,
    pub workers: WorkerClients,
    /// Queues of messages to the peers, by node name.
    pub peers: HashMap<String, mpsc::Sender<NodeMessage>>,
    /// Where the replies to open requests go.
    pub open_requests: HashMap<RequestId, oneshot::Sender<Reply>>,
}

impl EffectHandler {
    /// Remembers where the reply to a request goes.
    pub fn await_reply(&mut self, id: RequestId, reply_to: oneshot::Sender<Reply>) {
        self.open_requests.insert(id, reply_to);
    }

    /// Forgets the requests that nobody waits for any more, and idle connections to workers.
    pub fn remove_expired(&mut self) {
        self.open_requests.retain(|_, reply_to| !reply_to.is_closed());
        self.workers.remove_idle();
    }

    /// Carries out one effect, or starts the task that does.
    pub fn handle(&mut self, effect: Effect) {
        match effect {
            Effect::User { req, reply } => self.reply(req, Reply::User(reply)),
            Effect::Worker { req, reply } => self.reply(req, Reply::Worker(reply)),
            Effect::Mesh { to, msg } => self.send_to_peer(&to, msg),
            Effect::Store { op, call } => {
                let store = self.store.clone();
                self.spawn_call(async move {
                    let result = store.execute(call).await;
                    Input::Store { op, result }
                });
            }
            Effect::Cloud { op, call } => {
                let cloud = self.cloud.clone();
                self.spawn_call(async move {
                    let result = cloud.execute(call).await;
                    Input::Cloud { op, result }
                });
            }
            Effect::Commands { machine, addr, batch, commands } => {
                let worker = self.workers.client(&addr);
                self.spawn_call(async move {
                    let outcome = worker.send(&commands).await;
                    Input::CommandOutcome { machine, batch, outcome }
                });
            }
            Effect::Log { level, event, details } => match level {
                LogLevel::Error => tracing::error!(event, "{details}"),
                LogLevel::Info => tracing::info!(event, "{details}"),
                LogLevel::Debug => tracing::debug!(event, "{details}"),
            },
        }
    }

    fn reply(&mut self, id: RequestId, reply: Reply) {
        if let Some(reply_to) = self.open_requests.remove(&id) {
            // Fails if the request has timed out meanwhile.
            let _ = reply_to.send(reply);
        }
    }

    /// Drops the message if the peer's queue is full, as a lossy network would.
    fn send_to_peer(&self, node: &str, message: NodeMessage) {
        if let Some(queue) = self.peers.get(node) {
            let _ = queue.try_send(message);
        }
    }

    /// Makes a call to an outside service in a task of its own, and gives its result to the core.
    fn spawn_call(&self, call: impl Future<Output = Input> + Send + 'static) {
        let events = self.events.clone();
        tokio::spawn(async move {
            let input = call.await;
            // Waits while the event queue is full. Fails only when the event loop has ended.
            let _ = events.send(Event::Input(input)).await;
        });
    }
}
