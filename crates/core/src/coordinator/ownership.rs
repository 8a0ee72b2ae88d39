//! What the outcome of a write says of the shard's ownership.

/// Whether this controller still owns the shard, as far as the outcome of a write says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Ownership {
    /// Nothing says otherwise.
    Kept,
    /// The write was fenced: the shard has another owner, and nothing may be done for it any more.
    Lost,
}
