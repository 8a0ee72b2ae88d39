//! Runs one seed of the simulator: `cargo run --example seed -- SEED [SECONDS]`; `LEADDEAL_TRACE=1` prints the
//! events of the run. `seed -- FIRST --many COUNT` runs many seeds, several at once, and prints those that
//! break a rule. With `--storm` every controller crashes twenty times within a minute.
use clap::Parser;
use leaddeal_testkit::sim::{Plan, Sim};
use std::sync::atomic::{AtomicU64, Ordering};

/// Simulated seconds without faults that follow the faults.
const FAULT_FREE_SECONDS: u64 = 100;

#[derive(Parser)]
struct Cli {
    /// First seed.
    seed: u64,
    /// Time within which faults occur, in simulated seconds.
    #[arg(default_value_t = 240)]
    seconds: u64,
    /// Crash every controller twenty times within a minute.
    #[arg(long)]
    storm: bool,
    /// Number of seeds, from the first one on.
    #[arg(long, default_value_t = 1)]
    many: u64,
    /// Maximum number of seeds that run at once.
    #[arg(long, default_value_t = 6)]
    threads: usize,
}

fn main() {
    let cli = Cli::parse();
    let (next, broken) = (AtomicU64::new(cli.seed), AtomicU64::new(0));
    let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    std::thread::scope(|scope| {
        for _ in 0..cores.min(cli.threads) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= cli.seed + cli.many {
                    return;
                }
                if !keeps_rules(&cli, seed) {
                    broken.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    match broken.into_inner() {
        0 => println!("no rule broken"),
        _ => std::process::exit(1),
    }
}

/// Runs a seed and prints what went wrong in it. Returns whether no rule was broken.
fn keeps_rules(cli: &Cli, seed: u64) -> bool {
    let plan = if cli.storm { Plan::storm(seed) } else { Plan::new(seed) };
    let mut sim =
        Sim::new(Plan { seconds: cli.seconds, fault_free_seconds: FAULT_FREE_SECONDS, ..plan });
    let run = sim.run();
    for share in sim.groups_under_half_served().iter().filter(|_| run.is_ok()) {
        println!("seed {seed}: {share:?} is served less than half");
    }
    let starved = sim.rules.starvation.starved.len();
    if starved > 0 {
        println!("seed {seed}: {starved} neglected, with more work than room");
    }
    if let Err(error) = &run {
        println!("seed {seed}: {}", error.split(" script:").next().unwrap_or_default());
    }
    run.is_ok()
}
