//! Simulates a busy large fleet and prints the inputs and outputs of the cores by kind:
//! `cargo run --release --example load -- [SECONDS [TIMES]]`. With TIMES the fleet has TIMES * 90 machines, and
//! work in proportion.
use leaddeal_testkit::sim::{Plan, Sim};

const DEFAULT_SECONDS: u64 = 300;

fn main() {
    let argument = |index| std::env::args().nth(index).and_then(|text| text.parse().ok());
    let seconds = argument(1).unwrap_or(DEFAULT_SECONDS);
    let plan = argument(2).map_or_else(|| Plan::large(1), |times| Plan::fleet(1, times as u32));
    let mut sim = Sim::new(Plan { seconds, ..plan });
    if let Err(error) = sim.run() {
        println!("{error}");
        std::process::exit(1);
    }
    let starts = sim.rules.starts.max(1) as f64;
    println!(
        "{} tasks started in {seconds} s; machines looked at: {}",
        starts,
        sim.machines_evaluated()
    );
    println!("{:30} {:>9} {:>9} {:>12} {:>9}", "kind", "times", "a second", "bytes", "a start");
    let mut kinds: Vec<_> = sim.tally.iter().flat_map(|tally| &tally.by_kind).collect();
    kinds.sort_by_key(|(_, count)| std::cmp::Reverse((count.bytes, count.times)));
    for (kind, count) in kinds {
        let rate = count.times as f64 / seconds as f64;
        let bytes_per_start = count.bytes as f64 / starts;
        println!(
            "{kind:30} {:>9} {rate:>9.1} {:>12} {bytes_per_start:>9.0}",
            count.times, count.bytes
        );
    }
}
