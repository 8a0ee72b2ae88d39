//! What a user has been told about its job, and which later answers contradict it.
use crate::broken_rule::{BrokenRule, Rule};
use leaddeal_wire::user::JobStatus;

/// The latest state of a job that any controller has reported to its user.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum UserKnowledge {
    /// No answer has confirmed the job yet.
    #[default]
    Nothing,
    /// The job was accepted.
    Accepted,
    /// The job has reached this terminal state.
    Over(JobStatus),
}

/// The kinds of requests that users send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestKind {
    /// A submission, or a retry of it.
    Submit,
    /// A query of the job's state.
    Poll,
    /// A cancellation.
    Cancel,
}

/// A request of a user. Several requests may be in flight at once, so each one records what the user knew when it
/// was sent: an answer is wrong only if it contradicts that knowledge.
#[derive(Clone, Debug)]
pub struct UserRequest {
    /// What was sent.
    pub kind: RequestKind,
    /// Identifier of the job.
    pub job: String,
    /// What the user knew of the job when it sent the request.
    pub knew: UserKnowledge,
}

impl UserRequest {
    /// Returns the rule that an answer with this HTTP status and this reported state of the job breaks, if any.
    pub fn broken_by(&self, http_status: u16, reported: Option<JobStatus>) -> Option<BrokenRule> {
        let (id, kind) = (&self.job, self.kind);
        match (self.knew, reported) {
            (UserKnowledge::Nothing, None) => None,
            (knew, None) => matches!(http_status, 400 | 404 | 422).then(|| {
                Rule::Forgotten.broken(format!("{id} is answered {http_status} after {knew:?}"))
            }),
            (UserKnowledge::Over(was), Some(status)) if was != status => {
                Some(Rule::TerminalStateChanged.broken(format!("{id} from {was:?} to {status:?}")))
            }
            (knew, Some(_)) if http_status == 201 && knew != UserKnowledge::Nothing => {
                Some(Rule::AcceptedTwice.broken(format!("{id} after {knew:?}")))
            }
            (_, Some(status)) if kind == RequestKind::Cancel => {
                (!matches!(status, JobStatus::Done | JobStatus::Cancelled))
                    .then(|| Rule::NotCancelled.broken(format!("{id} is answered {status:?}")))
            }
            _ => None,
        }
    }
}
