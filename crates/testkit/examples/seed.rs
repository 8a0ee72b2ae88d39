//! Repeats one seed of the simulator: `cargo run --example seed -- SEED [SECONDS]`, with
//! `LEADDEAL_TRACE=1` for what happens in it; or plays many, some at once, and prints those that
//! break a rule: `seed -- FIRST --many COUNT`. With `--storm` every controller ends twenty times
//! within a minute.
use clap::Parser;
use leaddeal_testkit::sim::{Plan, Sim};
use std::sync::atomic::{AtomicU64, Ordering};

#[derive(Parser)]
struct Cli {
    seed: u64,
    #[arg(default_value_t = 240)]
    seconds: u64,
    #[arg(long)]
    storm: bool,
    /// So many seeds from this one on.
    #[arg(long, default_value_t = 1)]
    many: u64,
    /// So many at once.
    #[arg(long, default_value_t = 6)]
    threads: usize,
}

fn main() {
    let cli = Cli::parse();
    let (next, broken) = (AtomicU64::new(cli.seed), AtomicU64::new(0));
    let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    std::thread::scope(|s| {
        for _ in 0..cores.min(cli.threads) {
            s.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= cli.seed + cli.many {
                    return;
                }
                let plan = if cli.storm { Plan::storm(seed) } else { Plan::new(seed) };
                let mut sim = Sim::new(Plan { seconds: cli.seconds, calm_seconds: 100, ..plan });
                let run = sim.run();
                for s in sim.under_half().iter().filter(|_| run.is_ok()) {
                    println!("seed {seed}: {s:?} is served less than half");
                }
                let neglected = sim.rules.starvation.starved.len();
                if neglected > 0 {
                    println!("seed {seed}: {neglected} neglected, with more work than room");
                }
                if let Err(e) = run {
                    broken.fetch_add(1, Ordering::Relaxed);
                    println!("seed {seed}: {}", e.split(" script:").next().unwrap_or_default());
                }
            });
        }
    });
    match broken.into_inner() {
        0 => println!("no rule broken"),
        _ => std::process::exit(1),
    }
}
