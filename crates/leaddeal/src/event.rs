//! What reaches the core's loop from the gateway, the links and the answers of outside services.
use leaddeal_core::io::{RequestId, UserReply, WorkerReply};
use leaddeal_core::Input;
use tokio::sync::oneshot;

pub enum Reply {
    User(UserReply),
    Worker(WorkerReply),
}

pub enum Event {
    Input(Input),
    /// Somebody waits for the reply.
    Request(RequestId, oneshot::Sender<Reply>, Input),
}
