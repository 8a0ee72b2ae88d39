//! Carries out the core's effects: replies, messages to peers, calls to workers and external services.
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

/// Carries out the effects of the core.
///
/// Nothing here blocks the event loop: calls run in tasks of their own, which send their results to it.
pub(super) struct EffectHandler {
    /// Queue of the event loop.
    pub events: mpsc::Sender<Event>,
    pub store: StoreClient,
    pub cloud: CloudClient,
    pub workers: WorkerClients,
    /// Outgoing message queues, by the peer's node name.
    pub peers: HashMap<String, mpsc::Sender<NodeMessage>>,
    /// Channels for the replies to requests that the core has not replied to yet.
    pub pending_requests: HashMap<RequestId, oneshot::Sender<Reply>>,
}

impl EffectHandler {
    /// Registers the channel for the reply to a request.
    pub fn register_request(&mut self, id: RequestId, reply_to: oneshot::Sender<Reply>) {
        self.pending_requests.insert(id, reply_to);
    }

    /// Removes requests whose HTTP handler no longer waits, and closes idle connections to workers.
    pub fn remove_expired(&mut self) {
        self.pending_requests.retain(|_, reply_to| !reply_to.is_closed());
        self.workers.remove_idle();
    }

    /// Carries out one effect, or starts a task that does.
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
        if let Some(reply_to) = self.pending_requests.remove(&id) {
            // Fails if the request has timed out in the meantime.
            let _ = reply_to.send(reply);
        }
    }

    /// Queues a message to a peer, or drops it if the queue is full: peers must tolerate lost messages anyway.
    fn send_to_peer(&self, node: &str, message: NodeMessage) {
        if let Some(queue) = self.peers.get(node) {
            let _ = queue.try_send(message);
        }
    }

    /// Makes a call in a task of its own, and sends its result to the event loop.
    fn spawn_call(&self, call: impl Future<Output = Input> + Send + 'static) {
        let events = self.events.clone();
        tokio::spawn(async move {
            let input = call.await;
            // Waits while the event queue is full. Fails only when the event loop has ended.
            let _ = events.send(Event::Input(input)).await;
        });
    }
}
