//! Runs seeds with long tasks and without faults, and prints the jobs that wait for 90 s although suitable capacity
//! is free and their team's quota allows them: `starvation -- FIRST --many COUNT`. With `--limit 1000` no team
//! reaches its quota. `LEADDEAL_TRACE=1` prints the events of the runs.
use clap::Parser;
use leaddeal_testkit::sim::{Plan, Sim};
use std::sync::atomic::{AtomicU64, Ordering};

#[derive(Parser)]
struct Cli {
    /// First seed.
    seed: u64,
    /// Number of seeds, from the first one on.
    #[arg(long, default_value_t = 1)]
    many: u64,
    /// Quota of CPUs of a team that has a quota.
    #[arg(long, default_value_t = 6.0)]
    limit: f64,
    /// Factor by which the usual rate of submissions is multiplied.
    #[arg(long, default_value_t = 1)]
    rate: u32,
    /// Number of seeds that run at once.
    #[arg(long, default_value_t = 4)]
    threads: usize,
}

impl Cli {
    fn plan(&self, seed: u64) -> Plan {
        Plan { team_cpu_quota: self.limit, submission_rate: self.rate, ..Plan::quiet(seed) }
    }
}

fn main() {
    let cli = Cli::parse();
    let (next, failed) = (AtomicU64::new(cli.seed), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for _ in 0..cli.threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= cli.seed + cli.many {
                    return;
                }
                if starves(cli.plan(seed), seed) {
                    failed.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    println!("{} of {} seeds fail", failed.load(Ordering::Relaxed), cli.many);
    if failed.into_inner() > 0 {
        std::process::exit(1);
    }
}

/// Runs a seed and prints the broken rule or the jobs that starved. Returns whether there were any.
fn starves(plan: Plan, seed: u64) -> bool {
    let mut sim = Sim::new(plan);
    if let Err(error) = sim.run() {
        println!("seed {seed}: {}", error.split(" script:").next().unwrap_or_default());
        return true;
    }
    for (id, starved) in &sim.rules.starvation.starved {
        println!("seed {seed}: {id} starved, {starved:?}, {:?}", sim.rules.jobs.get(id));
    }
    !sim.rules.starvation.starved.is_empty()
}
