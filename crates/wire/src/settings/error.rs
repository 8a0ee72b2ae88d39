//! What can be wrong with the settings.
use super::checks::{
    MAX_FILE_DESCRIPTORS, MAX_TEAMS, MAX_ZONES, MIN_FILE_DESCRIPTORS, MIN_TXN_OPS,
};
use thiserror::Error;

/// Why the settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// Not JSON, or a key is missing or has a value of another type. Names the place in the text.
    #[error("settings: {0}")]
    Parse(#[from] serde_json::Error),
    /// The value of a key can't be meant.
    #[error("settings: {field}: {why}")]
    Field {
        /// The key in the file, with those above it.
        field: &'static str,
        /// What is wrong with its value.
        why: FieldError,
    },
}

/// What is wrong with a value of the settings.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FieldError {
    /// Not an IP address with a port.
    #[error("{0:?} is not ADDRESS:PORT")]
    NotAnAddress(String),
    /// Nodes are told apart by their names.
    #[error("two nodes have the same name")]
    SameNodeNames,
    /// No zones, or too many.
    #[error("between 1 and {MAX_ZONES} zones are needed")]
    ZoneCount,
    /// No job could be accepted.
    #[error("there must be a team")]
    NoTeam,
    /// More teams than messages can number.
    #[error("there are more than {MAX_TEAMS}")]
    TooManyTeams,
    /// No job could name this team.
    #[error("a team has no name")]
    UnnamedTeam,
    /// Two teams have this name.
    #[error("{0:?} is there twice")]
    SameTeamNames(String),
    /// Negative, not a number, or too large to be counted exactly.
    #[error("{amount} of team {team:?} is no amount")]
    NotAnAmount {
        /// Processors or GPUs.
        amount: f64,
        /// The team's name.
        team: String,
    },
    /// With this limit the team could run nothing.
    #[error("{amount} of team {team:?} is less than any task")]
    LessThanAnyTask {
        /// Processors or GPUs.
        amount: f64,
        /// The team's name.
        team: String,
    },
    /// Negative, not a number, or too large to be counted.
    #[error("{0} is no amount")]
    NotAResource(f64),
    /// Too few for a controller to work, or more than a system has.
    #[error("{0} is not between {MIN_FILE_DESCRIPTORS} and {MAX_FILE_DESCRIPTORS}")]
    FileDescriptors(usize),
    /// Zero, negative, infinite or not a number.
    #[error("{0} must be a positive number")]
    NotPositive(f64),
    /// With fewer, the transactions of the controllers are impossible.
    #[error("at least {MIN_TXN_OPS} are needed")]
    TooFewTxnOps,
}
