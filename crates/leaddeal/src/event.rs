//! Events from the HTTP gateway, the peers' connections and the external services to the event loop.
use leaddeal_core::io::{RequestId, UserReply, WorkerReply};
use leaddeal_core::Input;
use tokio::sync::oneshot;

/// A reply from the core to a request for which an HTTP handler is waiting.
pub(crate) enum Reply {
    User(UserReply),
    Worker(WorkerReply),
}

/// What the event loop processes in one iteration.
pub(crate) enum Event {
    /// An input that no HTTP handler is waiting on.
    Input(Input),
    /// A request from an HTTP handler. `input` contains `id`, and the core's reply to that `id` is sent to
    /// `reply_to`.
    Request { id: RequestId, reply_to: oneshot::Sender<Reply>, input: Input },
}
