//! The leaddeal cluster scheduler. Each process is one controller.
#![warn(missing_docs)]

use clap::{Parser, Subcommand};
use driver::DriverError;
use leaddeal_wire::settings::{Settings, SettingsError};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

mod driver;
mod event;
mod gateway;
mod http_client;
mod link;
mod sync;
mod write_timeout;

/// Environment variable with the log level: `debug` or `info`; with any other value or none, only errors are
/// logged.
const LOG_LEVEL_VARIABLE: &str = "LOG_LEVEL";
/// Exit code if the command line or the settings are invalid; no controller was started.
const EXIT_USAGE: u8 = 2;

#[derive(Parser)]
#[command(name = "leaddeal", version, about = "A cluster scheduler: runs jobs on rented machines")]
struct Cli {
    /// Start a controller with this settings file (JSON), which the platform provides
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    verb: Option<Verb>,
}

#[derive(Subcommand)]
enum Verb {
    /// Check a settings file and report what is wrong with it
    Check {
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
}

/// Why the program exits with an error.
#[derive(Debug, Error)]
enum ProgramError {
    #[error("--config FILE is needed; see --help")]
    NoConfig,
    #[error("{}: {source}", path.display())]
    ReadSettings { path: PathBuf, source: io::Error },
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("starting the runtime: {0}")]
    Runtime(#[source] io::Error),
    #[error(transparent)]
    Driver(#[from] DriverError),
}

impl ProgramError {
    fn exit_code(&self) -> ExitCode {
        match self {
            ProgramError::NoConfig
            | ProgramError::ReadSettings { .. }
            | ProgramError::Settings(_) => ExitCode::from(EXIT_USAGE),
            ProgramError::Runtime(_) | ProgramError::Driver(_) => ExitCode::FAILURE,
        }
    }
}

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("leaddeal: {error}");
            error.exit_code()
        }
    }
}

fn run(cli: Cli) -> Result<(), ProgramError> {
    match (cli.verb, cli.config) {
        (Some(Verb::Check { config }), _) => check(&config),
        (None, Some(config)) => serve(read_settings(&config)?),
        (None, None) => Err(ProgramError::NoConfig),
    }
}

fn read_settings(path: &Path) -> Result<Settings, ProgramError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ProgramError::ReadSettings { path: path.to_path_buf(), source })?;
    Ok(Settings::parse(&text)?)
}

fn check(path: &Path) -> Result<(), ProgramError> {
    let settings = read_settings(path)?;
    let nodes = settings.nodes().len();
    println!("{}: good, node {} of {nodes}", path.display(), settings.node);
    Ok(())
}

fn serve(settings: Settings) -> Result<(), ProgramError> {
    start_logging();
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ProgramError::Runtime)?
        .block_on(driver::run(settings))?;
    Ok(())
}

fn start_logging() {
    let level = match std::env::var(LOG_LEVEL_VARIABLE).unwrap_or_default().as_str() {
        "debug" => tracing::Level::DEBUG,
        "info" => tracing::Level::INFO,
        _ => tracing::Level::ERROR,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
}
