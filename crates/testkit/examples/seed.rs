//! Repeats one seed of the simulator: `cargo run --example seed -- SEED [SECONDS]`, with
//! `LEADDEAL_TRACE=1` for what happens in it.
use leaddeal_testkit::sim::{Plan, Sim};

fn main() {
    let arg = |i| std::env::args().nth(i).and_then(|s| s.parse().ok());
    let (seed, seconds) = (arg(1).unwrap_or(1), arg(2).unwrap_or(240));
    let plan = Plan { seconds, ..Plan::new(seed) };
    match Sim::new(plan).run() {
        Ok(()) => println!("no rule broken"),
        Err(e) => {
            println!("{e}");
            std::process::exit(1);
        }
    }
}
