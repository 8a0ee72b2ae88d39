//! Prints the fingerprint of each of several simulated runs: `cargo run --release -p leaddeal-testkit
//! --example fingerprints`. A line that is equal for two versions of the core shows that they behave the
//! same in that run. The default runs are twenty seeds with random faults and five crash storms.
//!
//! To compare all runs of the test suite, run `cargo test` with `LEADDEAL_FINGERPRINTS` set to the name of a
//! file, and sort the lines that the runs append to it.
use clap::Parser;
use leaddeal_testkit::sim::{Plan, Sim};

#[derive(Parser)]
struct Cli {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Number of seeds with random faults.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Number of seeds in which every controller crashes many times.
    #[arg(long, default_value_t = 5)]
    storms: u64,
}

fn main() {
    let cli = Cli::parse();
    let ordinary = (cli.from..cli.from + cli.seeds).map(|s| ("seed", Plan::new(s)));
    let storms = (cli.from..cli.from + cli.storms).map(|s| ("storm", Plan::storm(s)));
    let runs: Vec<_> = ordinary.chain(storms).collect();
    let threads = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    for group in runs.chunks(threads) {
        let lines: Vec<String> = std::thread::scope(|scope| {
            let running: Vec<_> = group
                .iter()
                .map(|(kind, plan)| scope.spawn(move || run_line(kind, plan.clone())))
                .collect();
            running.into_iter().map(|r| r.join().expect("a run ends")).collect()
        });
        for line in lines {
            println!("{line}");
        }
    }
}

fn run_line(kind: &str, plan: Plan) -> String {
    let seed = plan.seed;
    let mut sim = Sim::new(plan);
    let outcome = match sim.run() {
        Ok(()) => "no rule broken",
        Err(_) => "a rule broken",
    };
    format!("{kind} {seed}: {} {outcome}", sim.fingerprint.text())
}
