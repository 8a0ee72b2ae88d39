//! What a user knows of its job, and which answers are older than that.
use crate::broken_rule::{BrokenRule, Rule};
use leaddeal_wire::user::JobStatus;

/// The newest thing that any controller told a user of its job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum UserKnowledge {
    /// No answer named the job so far.
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
    /// A submission, or its repetition.
    Submit,
    /// A query of the job's state.
    Poll,
    /// A cancellation.
    Cancel,
}

/// A request of a user. Several may be under way at once, so each one keeps what was known before it
/// was sent: only an answer that is older than this is wrong.
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
    /// The rule that an answer with this HTTP status and this state of the job breaks, if any.
    pub fn broken_by(&self, http_status: u16, reported: Option<JobStatus>) -> Option<BrokenRule> {
        let (id, kind) = (&self.job, self.kind);
        match (self.knew, reported) {
            (UserKnowledge::Nothing, None) => None,
            (knew, None) => matches!(http_status, 400 | 404 | 422).then(|| {
                Rule::Forgotten.broken(format!("{id} is answered {http_status} after {knew:?}"))
            }),
            (UserKnowledge::Over(was), Some(status)) if was != status => {
                Some(Rule::WentBack.broken(format!("{id} from {was:?} to {status:?}")))
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
