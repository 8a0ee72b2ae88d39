//! Takes guards of the core out and prints the first seed of each history that breaks a rule then:
//! `cargo run --release -p leaddeal-testkit --example guards -- [NAME...] [--seeds N]`, one by one or,
//! as `NAME+NAME`, several at once.
use clap::Parser;
use leaddeal_core::guards::{without, Guard};
use leaddeal_testkit::histories::History;
use leaddeal_testkit::sim::Sim;
use std::sync::atomic::{AtomicUsize, Ordering};

#[derive(Parser)]
struct Cli {
    /// None: all of them.
    names: Vec<String>,
    /// So many of each history.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Only this history.
    #[arg(long)]
    history: Option<String>,
    #[arg(long, default_value_t = 2)]
    threads: usize,
}

fn main() {
    let cli = Cli::parse();
    let one = |n: &str| Guard::ALL.iter().copied().find(|g| format!("{g:?}") == n);
    let sets: Vec<Vec<Guard>> = match cli.names.is_empty() {
        true => Guard::ALL.iter().map(|g| vec![*g]).collect(),
        false => cli.names.iter().map(|n| n.split('+').filter_map(one).collect()).collect(),
    };
    let named = |h: &&History| cli.history.as_ref().is_none_or(|n| *n == format!("{h:?}"));
    let histories: Vec<History> = History::ALL.iter().filter(named).copied().collect();
    let rows: Vec<_> = sets.iter().flat_map(|g| histories.iter().map(move |&h| (g, h))).collect();
    let next = AtomicUsize::new(0);
    std::thread::scope(|s| {
        for _ in 0..cli.threads {
            s.spawn(|| {
                while let Some(&(guards, history)) = rows.get(next.fetch_add(1, Ordering::Relaxed))
                {
                    let found = (1..=cli.seeds).find_map(|seed| {
                        let run = without(guards, || Sim::new(history.plan(seed)).run());
                        Some((seed, run.err()?))
                    });
                    match found {
                        Some((seed, e)) => {
                            println!(
                                "{guards:?} {history:?} {seed} {}",
                                e.lines().next().unwrap_or("")
                            );
                        }
                        None => println!("{guards:?} {history:?} -"),
                    }
                }
            });
        }
    });
}
