//! What the outcome of a write reveals about the ownership of the shard.

/// Whether this coordinator still owns the shard, as far as the outcome of a write shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Ownership {
    /// The outcome does not show another owner.
    Kept,
    /// The write was fenced: the shard has another owner, and this coordinator must stop acting.
    Lost,
}
