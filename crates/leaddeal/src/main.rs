//! The leaddeal cluster scheduler: one controller.
use clap::{Parser, Subcommand};
use leaddeal_wire::settings::Settings;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

mod client;
mod driver;
mod event;
mod gateway;
mod link;
mod slow;

#[derive(Parser)]
#[command(name = "leaddeal", version, about = "A cluster scheduler: runs jobs on rented machines")]
struct Cli {
    /// Settings handed over by the platform (JSON); starts a controller
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    verb: Option<Verb>,
}

#[derive(Subcommand)]
enum Verb {
    /// Check the settings and say what is wrong with them
    Check {
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
}

fn read(path: &Path) -> Result<Settings, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Settings::parse(&text).map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let fail = |e: String| {
        eprintln!("leaddeal: {e}");
        ExitCode::from(2)
    };
    match (cli.verb, cli.config) {
        (Some(Verb::Check { config }), _) => match read(&config) {
            Ok(s) => {
                println!("{}: good, node {} of {}", config.display(), s.node, s.nodes().len());
                ExitCode::SUCCESS
            }
            Err(e) => fail(e),
        },
        (None, Some(config)) => match read(&config) {
            Ok(s) => match serve(s) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => {
                    eprintln!("leaddeal: {e}");
                    ExitCode::FAILURE
                }
            },
            Err(e) => fail(e),
        },
        (None, None) => fail("--config FILE is needed; see --help".into()),
    }
}

fn serve(settings: Settings) -> std::io::Result<()> {
    let level = match std::env::var("LOG_LEVEL").unwrap_or_default().as_str() {
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
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(driver::run(settings))
}
