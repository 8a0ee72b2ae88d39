//! What reaches the core's loop from the gateway, the links and the answers of outside services.
use leaddeal_core::io::{ReqId, UserReply, WorkerReply};
use leaddeal_core::Input;
use tokio::sync::oneshot;

pub enum Reply {
    User(UserReply),
    Worker(WorkerReply),
}

pub enum Event {
    Input(Input),
    /// Somebody waits for the reply.
    Request(ReqId, oneshot::Sender<Reply>, Input),
}
