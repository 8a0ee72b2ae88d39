//! A job's way to its terminal state.
use crate::io::RequestId;
use crate::writes::PendingWrite;
use leaddeal_wire::user::JobStatus;

/// The terminal state that is being written, and the users that wait for it.
#[derive(Debug, Default)]
pub struct Termination {
    /// The terminal state that is being written. It may be in the store already: until the outcome
    /// is known, no task of the job is started and its state is told to nobody.
    pub(crate) status: Option<JobStatus>,
    /// The transaction of a cancellation; completed jobs are written together in a compaction.
    pub(crate) write: Option<PendingWrite>,
    /// Cancellations to be answered once the terminal state is durable.
    pub(crate) requests: Vec<RequestId>,
}
