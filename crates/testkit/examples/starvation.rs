//! Plays quiet days with long tasks and prints the jobs that wait 90 s beside free capacity that fits,
//! with their team under its limit: `starvation -- FIRST --many COUNT`. With `--limit 1000` no team
//! reaches its limit. `LEADDEAL_TRACE=1` prints what happens in them.
use clap::Parser;
use leaddeal_testkit::sim::{Plan, Sim};
use std::sync::atomic::{AtomicU64, Ordering};

#[derive(Parser)]
struct Cli {
    /// The first seed.
    seed: u64,
    /// How many seeds from this one on.
    #[arg(long, default_value_t = 1)]
    many: u64,
    /// How many processors a team with a limit may use.
    #[arg(long, default_value_t = 6.0)]
    limit: f64,
    /// A multiple of the usual rate of submissions.
    #[arg(long, default_value_t = 1)]
    rate: u32,
    /// How many seeds at once.
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

/// Plays a day and prints what was wrong in it.
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
