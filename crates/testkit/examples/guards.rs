//! Disables guards of the core and prints, for each history, the first seed that violates an invariant as a result:
//! `cargo run --release -p leaddeal-testkit --example guards -- [NAME...] [--seeds N]`. `NAME+NAME` disables
//! several guards at once.
use clap::Parser;
use leaddeal_core::guards::{with_guards_disabled, Guard};
use leaddeal_testkit::histories::History;
use leaddeal_testkit::sim::Sim;
use std::sync::atomic::{AtomicUsize, Ordering};

#[derive(Parser)]
struct Cli {
    /// Guards to disable, one after another; all of them if none is named.
    names: Vec<String>,
    /// Number of seeds of each history.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Run only this history.
    #[arg(long)]
    history: Option<String>,
    /// Number of histories that run at once.
    #[arg(long, default_value_t = 2)]
    threads: usize,
}

/// Returns the sets of guards that are disabled together. Unknown names are ignored.
fn guard_sets(names: &[String]) -> Vec<Vec<Guard>> {
    if names.is_empty() {
        return Guard::ALL.iter().map(|guard| vec![*guard]).collect();
    }
    let by_name =
        |name: &str| Guard::ALL.iter().copied().find(|guard| format!("{guard:?}") == name);
    names.iter().map(|set| set.split('+').filter_map(by_name).collect()).collect()
}

/// Returns the first seed that violates an invariant without these guards, and the error.
fn first_broken(guards: &[Guard], history: History, seeds: u64) -> Option<(u64, String)> {
    (1..=seeds).find_map(|seed| {
        let run = with_guards_disabled(guards, || Sim::new(history.plan(seed)).run());
        Some((seed, run.err()?))
    })
}

fn main() {
    let cli = Cli::parse();
    let sets = guard_sets(&cli.names);
    let is_wanted =
        |history: &&History| cli.history.as_ref().is_none_or(|n| *n == format!("{history:?}"));
    let histories: Vec<History> = History::ALL.iter().filter(is_wanted).copied().collect();
    let rows: Vec<_> =
        sets.iter().flat_map(|set| histories.iter().map(move |&h| (set, h))).collect();
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..cli.threads {
            scope.spawn(|| {
                while let Some(&(guards, history)) = rows.get(next.fetch_add(1, Ordering::Relaxed))
                {
                    match first_broken(guards, history, cli.seeds) {
                        Some((seed, error)) => {
                            let rule = error.lines().next().unwrap_or("");
                            println!("{guards:?} {history:?} {seed} {rule}");
                        }
                        None => println!("{guards:?} {history:?} -"),
                    }
                }
            });
        }
    });
}
