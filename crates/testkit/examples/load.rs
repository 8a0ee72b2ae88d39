//! A busy day of a large fleet, counted: `cargo run --release --example load -- [SECONDS [TIMES]]`;
//! with TIMES, of a fleet of so many times 90 machines and their work.
use leaddeal_testkit::sim::{Plan, Sim};

fn main() {
    let arg = |i| std::env::args().nth(i).and_then(|s| s.parse().ok());
    let seconds = arg(1).unwrap_or(300);
    let plan = arg(2).map_or_else(|| Plan::large(1), |times| Plan::fleet(1, times as u32));
    let mut sim = Sim::new(Plan { seconds, ..plan });
    if let Err(e) = sim.run() {
        println!("{e}");
        std::process::exit(1);
    }
    let starts = sim.rules.starts.max(1) as f64;
    println!("{} tasks started in {seconds} s; machines looked at: {}", starts, sim.looked());
    println!("{:30} {:>9} {:>9} {:>12} {:>9}", "kind", "times", "a second", "bytes", "a start");
    let mut kinds: Vec<_> = sim.tally.iter().flat_map(|t| &t.by_kind).collect();
    kinds.sort_by_key(|k| std::cmp::Reverse((k.1.bytes, k.1.times)));
    for (kind, c) in kinds {
        let rate = c.times as f64 / seconds as f64;
        println!(
            "{kind:30} {:>9} {rate:>9.1} {:>12} {:>9.0}",
            c.times,
            c.bytes,
            c.bytes as f64 / starts
        );
    }
}
