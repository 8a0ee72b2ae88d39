//! What a user knows of its job, and which answers are older than that.
use leaddeal_wire::user::Status;

/// The newest thing that any controller told a user of its job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum News {
    #[default]
    Nothing,
    Accepted,
    Over(Status),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    Submit,
    Poll,
    Cancel,
}

/// A request of a user. Several may be under way at once, so each one keeps what was known before it
/// was sent: only an answer that is older than this is wrong.
#[derive(Clone, Debug)]
pub struct Question {
    pub what: What,
    pub job: String,
    pub knew: News,
}

impl Question {
    /// The rule that such an answer breaks.
    pub fn broken_by(&self, status: u16, said: Option<Status>) -> Option<String> {
        let (id, what) = (&self.job, self.what);
        match (self.knew, said) {
            (News::Nothing, None) => None,
            (knew, None) => matches!(status, 400 | 404 | 422)
                .then(|| format!("forgotten: {id} is answered {status} after {knew:?}")),
            (News::Over(was), Some(s)) if was != s => {
                Some(format!("went_back: {id} from {was:?} to {s:?}"))
            }
            (knew, Some(_)) if status == 201 && knew != News::Nothing => {
                Some(format!("accepted_twice: {id} after {knew:?}"))
            }
            (_, Some(s)) if what == What::Cancel => {
                (!matches!(s, Status::Done | Status::Cancelled))
                    .then(|| format!("not_cancelled: {id} is answered {s:?}"))
            }
            _ => None,
        }
    }
}
