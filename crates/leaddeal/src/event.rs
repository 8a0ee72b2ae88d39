//! What reaches the event loop from the HTTP front, the peers' connections and the outside services.
use leaddeal_core::io::{RequestId, UserReply, WorkerReply};
use leaddeal_core::Input;
use tokio::sync::oneshot;

/// The core's reply to a request that the HTTP front waits for.
pub(crate) enum Reply {
    User(UserReply),
    Worker(WorkerReply),
}

/// One turn of the event loop.
pub(crate) enum Event {
    /// An input that nobody waits for.
    Input(Input),
    /// An input with a reply: `input` carries `id`, and so does the core's reply, which goes to `reply_to`.
    Request { id: RequestId, reply_to: oneshot::Sender<Reply>, input: Input },
}
