//! The write of a job's terminal state.
use crate::io::RequestId;
use crate::writes::PendingWrite;
use leaddeal_wire::user::JobStatus;

/// A terminal state that is being written, and the requests that wait for it.
#[derive(Debug, Default)]
pub struct Termination {
    /// The terminal state that is being written; `None`: there is none. It may be in the store
    /// already, so until the outcome is known no task of the job is started and its state is not
    /// reported.
    pub(crate) status: Option<JobStatus>,
    /// The transaction of a cancellation; `None` for a completed job, since completed jobs are
    /// written together in a compaction.
    pub(crate) write: Option<PendingWrite>,
    /// Cancellation requests that are answered after the terminal state is durable.
    pub(crate) requests: Vec<RequestId>,
}
