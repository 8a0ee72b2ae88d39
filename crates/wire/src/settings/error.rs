//! Errors of the settings.
use super::checks::{
    MAX_FILE_DESCRIPTORS, MAX_TEAMS, MAX_ZONES, MIN_FILE_DESCRIPTORS, MIN_TXN_OPS,
};
use thiserror::Error;

/// Why the settings are invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not JSON, or a key is missing or has a value of the wrong type. Names the position
    /// in the text.
    #[error("settings: {0}")]
    Parse(#[from] serde_json::Error),
    /// The value of a key is invalid.
    #[error("settings: {field}: {why}")]
    Field {
        /// The path of the key in the file.
        field: &'static str,
        /// What is wrong with the value.
        why: FieldError,
    },
}

/// What is wrong with a value in the settings.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FieldError {
    /// The value is not an IP address with a port.
    #[error("{0:?} is not ADDRESS:PORT")]
    NotAnAddress(String),
    /// Nodes are identified by their names, so these must differ.
    #[error("two nodes have the same name")]
    DuplicateNodeName,
    /// There are no zones, or too many.
    #[error("there must be between 1 and {MAX_ZONES} zones")]
    ZoneCount,
    /// Without a team no job could be accepted.
    #[error("there must be at least one team")]
    NoTeam,
    /// There are more teams than messages can number.
    #[error("there are more than {MAX_TEAMS} teams")]
    TooManyTeams,
    /// No job could refer to a team without a name.
    #[error("a team has no name")]
    UnnamedTeam,
    /// Two teams have the same name.
    #[error("two teams have the name {0:?}")]
    DuplicateTeamName(String),
    /// The amount is negative, not a number, or too large to be counted exactly.
    #[error("{amount} is not a valid amount for team {team:?}")]
    InvalidTeamAmount {
        /// Processors or GPUs.
        amount: f64,
        /// Name of the team.
        team: String,
    },
    /// With this limit the team could not run any task.
    #[error("{amount} is too small a limit for team {team:?} to run any task")]
    TeamLimitTooSmall {
        /// Processors or GPUs.
        amount: f64,
        /// Name of the team.
        team: String,
    },
    /// The amount is negative, not a number, or so large that bounds derived from it would overflow.
    #[error("{0} is not a valid amount")]
    InvalidResourceAmount(f64),
    /// There are too few file descriptors for a controller to work, or more than a system can have.
    #[error("{0} is not between {MIN_FILE_DESCRIPTORS} and {MAX_FILE_DESCRIPTORS}")]
    FileDescriptorCount(usize),
    /// The value is zero, negative, infinite or not a number.
    #[error("{0} must be a positive number")]
    NotPositive(f64),
    /// The transactions of the controllers need more operations than the store allows.
    #[error("transactions need at least {MIN_TXN_OPS} operations")]
    TooFewTxnOps,
}
