//! Prints the fingerprints of simulated runs, a line each: `cargo run --release -p leaddeal-testkit
//! --example fingerprints`. Lines that stay the same from one version of the core to the next show that
//! it behaves alike on those runs: twenty ordinary seeds and five storms of restarts by default.
//!
//! To compare all runs of the test suite, set `LEADDEAL_FINGERPRINTS` to a file for `cargo test`, and
//! sort the lines that the runs append to it.
use clap::Parser;
use leaddeal_testkit::sim::{Plan, Sim};

#[derive(Parser)]
struct Cli {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// How many ordinary runs.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// How many storms of restarts.
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
                .map(|(kind, plan)| scope.spawn(move || line(kind, plan.clone())))
                .collect();
            running.into_iter().map(|r| r.join().expect("a run ends")).collect()
        });
        for line in lines {
            println!("{line}");
        }
    }
}

fn line(kind: &str, plan: Plan) -> String {
    let seed = plan.seed;
    let mut sim = Sim::new(plan);
    let outcome = match sim.run() {
        Ok(()) => "no rule broken",
        Err(_) => "a rule broken",
    };
    format!("{kind} {seed}: {} {outcome}", sim.fingerprint.text())
}
