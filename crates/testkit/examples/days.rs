//! Days and sites of our own for the users' bench, made from one of its site files:
//!
//!     cargo run -p leaddeal-testkit --example days -- SITE.toml --out DIR --times 1.5 --back 0.2
//!
//! writes the site with so many times the machines and jobs, its controllers back after so many
//! seconds, and beside it a file for each day of `DAYS`, with counts, classes and zones taken from
//! the site. A day is played by `fleetbench run DIR/SITE.toml DIR/DAY.toml`.
use clap::Parser;
use std::error::Error;
use std::path::{Path, PathBuf};
use toml::{Table, Value};

#[derive(Parser)]
struct Cli {
    /// Site file of the bench.
    site: PathBuf,
    /// Folder for what is made.
    #[arg(long)]
    out: PathBuf,
    /// So many times the machines and jobs.
    #[arg(long, default_value_t = 1.0)]
    times: f64,
    /// Seconds until an ended controller is started again; the site's own if absent.
    #[arg(long)]
    back: Option<f64>,
}

/// What a day needs to know of its site.
struct Site {
    /// Machines there may be.
    machines: i64,
    zone: String,
    /// Class of the gangs, which are served least when room is short.
    gangs: String,
    /// Class of the largest arrays.
    arrays: String,
    /// Within so many seconds the tasks of a cancelled job must be gone.
    cancel_s: f64,
}

type Fault = (f64, &'static str, Vec<(&'static str, Value)>);

fn crash(at: f64, count: i64) -> Fault {
    (at, "node_crash", vec![("count", count.into()), ("busiest", true.into())])
}

fn outage(at: f64, for_s: f64) -> Fault {
    (at, "state_outage", vec![("for_s", for_s.into())])
}

fn roll(at: f64, every_s: f64) -> Fault {
    (at, "node_roll", vec![("every_s", every_s.into())])
}

fn freeze(at: f64, for_s: f64) -> Fault {
    (
        at,
        "node_freeze",
        vec![("count", 1.into()), ("busiest", true.into()), ("for_s", for_s.into())],
    )
}

fn cut(at: f64, what: &'static str, for_s: f64) -> Fault {
    let mode = ("mode", Value::from("hold"));
    let who = [("count", Value::from(1)), ("busiest", true.into()), ("for_s", for_s.into()), mode];
    let mut who = who.to_vec();
    who.push((what, true.into()));
    (at, "node_cut", who)
}

fn burst(at: f64, class: &str, factor: f64, for_s: f64) -> Fault {
    let what = vec![("class", class.into()), ("factor", factor.into()), ("for_s", for_s.into())];
    (at, "job_burst", what)
}

fn machines(at: f64, kind: &'static str, count: i64, for_s: Option<f64>) -> Fault {
    let mut what = vec![("count", Value::from(count))];
    what.extend(for_s.map(|s| ("for_s", Value::from(s))));
    (at, kind, what)
}

/// Of a transaction's or report's kind, that share is late.
fn late(at: f64, kind: &'static str, share: f64, for_s: f64) -> Fault {
    (at, kind, vec![("share", share.into()), ("for_s", for_s.into())])
}

/// The state service refuses a controller alone; with `peers` it loses the others, too.
fn refused(at: f64, peers: bool, for_s: f64) -> Fault {
    let mut what = cut(at, "from_state", for_s).2;
    what.retain(|w| w.0 != "mode");
    let mode = if peers { "hold" } else { "refuse" };
    what.push(("mode", mode.into()));
    if peers {
        what.push(("from_peers", true.into()));
    }
    (at, "node_cut", what)
}

/// Two troubles at once: a controller that knows less than another which confirms cancellations, and then
/// a state service that is down for longer than those may take. Most large arrays are cancelled here.
fn gaps(s: &Site) -> Vec<(&'static str, Vec<Fault>)> {
    let c = s.cancel_s;
    let part = |share: f64| ((s.machines as f64 * share) as i64).max(1);
    let gap = |at: f64, peers: bool, more_s: f64| {
        [refused(at, peers, 14.0), outage(at + 2.0, c + more_s)]
    };
    let twice = |peers, more_s| {
        let second = 70.0 + c + more_s + 12.0;
        [gap(70.0, peers, more_s), gap(second, peers, more_s)].concat()
    };
    let apart = (70.5, "peers_refuse", vec![("for_s", Value::from(c))]);
    let deaf = machines(75.0, "machine_deaf", part(0.1), Some(40.0));
    vec![
        ("own-gap", twice(false, 25.0)),
        ("own-gap-alone", twice(true, 12.0)),
        ("own-gap-short", twice(false, -8.0)),
        ("own-gap-crash", [twice(false, 12.0), vec![crash(71.5, 1), crash(80.0, 1)]].concat()),
        ("own-gap-apart", [twice(false, 12.0), vec![apart]].concat()),
        (
            "own-gap-late",
            [
                twice(false, 12.0),
                vec![late(60.0, "late_writes", 0.3, 90.0), late(60.0, "late_reports", 0.3, 180.0)],
            ]
            .concat(),
        ),
        ("own-gap-frozen", [twice(false, 12.0), vec![freeze(71.0, 25.0)]].concat()),
        (
            "own-alone",
            vec![refused(70.0, true, c + 15.0), crash(110.0, 1), refused(150.0, true, 20.0)],
        ),
        (
            "own-late",
            vec![
                late(60.0, "late_writes", 0.2, 150.0),
                late(60.0, "late_reports", 0.5, 150.0),
                crash(90.0, 2),
                roll(120.0, 9.0),
                crash(170.0, 3),
            ],
        ),
        ("own-deaf", vec![deaf, crash(80.0, 1), crash(100.0, 2), roll(130.0, 12.0)]),
    ]
}

/// Each trouble of the operators' later page: while leaders change, and over the gap.
fn meetings(s: &Site) -> Vec<(String, Vec<Fault>)> {
    let part = |share: f64| ((s.machines as f64 * share) as i64).max(1);
    let lasts = |at: f64, kind: &'static str, for_s: f64| (at, kind, vec![("for_s", for_s.into())]);
    let flagged = |(at, kind, mut what): Fault, flag| {
        what.push((flag, true.into()));
        (at, kind, what)
    };
    let cancel = |at: f64, hang_s: f64| {
        let count = ("count", Value::from(part(0.05)));
        (at, "cancel_now", vec![count, ("hang_s", hang_s.into())])
    };
    // A change of leader is about to come, or the store has refused the leader alone.
    let cancels = [70.1, 71.0, 79.8, 81.0, 100.5, 131.0].map(|at| cancel(at, 12.0)).to_vec();
    let troubles = [
        ("lost", vec![flagged(late(60.0, "late_writes", 0.3, 120.0), "at_once")]),
        ("kept", vec![flagged(late(60.0, "late_reports", 0.5, 120.0), "for_next")]),
        ("mute", vec![machines(75.0, "machine_mute", part(0.1), Some(60.0))]),
        ("called-off", cancels),
        ("at-end", vec![late(60.0, "cancel_at_end", 0.3, 150.0)]),
        ("odd", vec![lasts(60.0, "odd_requests", 150.0)]),
        ("looks", vec![lasts(60.0, "close_looks", 150.0), cancel(71.0, 0.0)]),
    ];
    let leaders = [crash(80.0, 1), crash(100.0, 2), roll(130.0, 12.0), freeze(165.0, 7.0)];
    let again = 70.0 + s.cancel_s + 24.0;
    let gap =
        [70.0, again].map(|at| [refused(at, false, 14.0), outage(at + 2.0, s.cancel_s + 12.0)]);
    let both = |(name, trouble): &(&str, Vec<Fault>)| {
        let over = [trouble.clone(), gap.concat()].concat();
        [
            (format!("own-{name}"), [trouble.clone(), leaders.to_vec()].concat()),
            (format!("own-gap-{name}"), over),
        ]
    };
    let every = troubles.iter().flat_map(|t| t.1.clone()).chain(leaders.clone());
    let all = ("own-every".to_string(), every.collect());
    troubles.iter().flat_map(both).chain([all]).collect()
}

/// The operators' acceptance and the hard cases beside it. Fractions are of all machines.
fn days(s: &Site) -> Vec<(&'static str, Vec<Fault>)> {
    let part = |share: f64| ((s.machines as f64 * share) as i64).max(1);
    let zone_cut = |at: f64, for_s: f64| {
        let (zone, mode) = (Value::from(s.zone.as_str()), Value::from("hold"));
        (at, "zone_cut", vec![("zone", zone), ("for_s", for_s.into()), ("mode", mode)])
    };
    let mut storm: Vec<Fault> = Vec::new();
    for (i, at) in [120.0, 121.7, 123.4].into_iter().enumerate() {
        storm.push(crash(at, 1));
        storm.push(crash(at + 60.0, 3));
        // Below a lease, and below a renewal.
        storm.push(crash(140.0 + 3.4 * i as f64, 1));
        storm.push(crash(210.0 + 0.8 * i as f64, 3));
    }
    let rolls = vec![roll(120.0, 1.0), roll(180.0, 3.0), roll(240.0, 1.0)];
    let outages = vec![
        outage(130.0, 30.0),
        crash(133.0, 3),
        crash(150.0, 1),
        crash(219.0, 3),
        outage(220.0, 20.0),
        outage(242.0, 8.0),
    ];
    let cuts = vec![
        cut(120.0, "from_state", 30.0),
        crash(126.0, 2),
        cut(190.0, "from_workers", 40.0),
        crash(200.0, 1),
        zone_cut(250.0, 40.0),
        crash(255.0, 3),
    ];
    let handovers = vec![
        crash(120.0, 1),
        freeze(122.0, 6.0),
        crash(131.0, 2),
        freeze(160.0, 7.0),
        crash(166.0, 1),
        freeze(200.0, 12.0),
        crash(208.0, 3),
    ];
    let loss = vec![
        burst(104.0, &s.gangs, 5.0, 90.0),
        machines(109.0, "machine_hang", part(0.04), Some(30.0)),
        crash(110.0, 3),
        machines(182.0, "machine_die", part(0.08), None),
        crash(183.0, 3),
        zone_cut(197.0, 60.0),
        machines(199.0, "machine_sick", part(0.03), Some(60.0)),
        burst(230.0, &s.arrays, 4.0, 60.0),
        crash(275.0, 2),
    ];
    let workers = vec![cut(150.0, "from_workers", 40.0)];
    let hang = vec![machines(149.0, "machine_hang", part(0.06), Some(60.0)), crash(150.0, 3)];
    vec![
        ("own-storm", storm),
        ("own-rolls", rolls),
        ("own-outages", outages),
        ("own-cuts", cuts),
        ("own-handovers", handovers),
        ("own-loss", loss),
        ("own-workers", workers),
        ("own-hang", hang),
    ]
}

/// Most jobs of the largest arrays are cancelled, and run for longer than that may take.
fn cancelled_jobs(s: &Site) -> Table {
    let times = |n: f64| Value::from((s.cancel_s * n * 10.0).round() / 10.0);
    let run_s = [("median", times(2.4)), ("p95", times(3.0)), ("max", times(3.4))];
    let run_s: Table = run_s.map(|(k, v)| (k.to_string(), v)).into_iter().collect();
    let mut t = Table::new();
    t.insert("name".into(), s.arrays.as_str().into());
    t.insert("cancelled".into(), 0.8.into());
    t.insert("run_s".into(), run_s.into());
    t
}

fn day(name: &str, seed: i64, faults: Vec<Fault>) -> Table {
    let mut faults = faults;
    faults.sort_by(|a, b| a.0.total_cmp(&b.0));
    let faults = faults.into_iter().map(|(at, kind, what)| {
        let mut f = Table::new();
        f.insert("at_s".into(), at.into());
        f.insert("kind".into(), kind.into());
        f.extend(what.into_iter().map(|(k, v)| (k.to_string(), v)));
        Value::Table(f)
    });
    let mut t = Table::new();
    t.insert("name".into(), name.into());
    t.insert("slot".into(), "scale".into());
    t.insert("light".into(), false.into());
    t.insert("seed".into(), seed.into());
    t.insert("faults".into(), Value::Array(faults.collect()));
    t
}

fn tables<'a>(site: &'a mut Table, key: &str) -> Vec<&'a mut Table> {
    let list = site.get_mut(key).and_then(Value::as_array_mut);
    list.into_iter().flatten().filter_map(Value::as_table_mut).collect()
}

fn multiply(t: &mut Table, key: &str, times: f64) {
    if let Some(v) = t.get_mut(key) {
        *v = match &*v {
            Value::Integer(n) => Value::Integer((*n as f64 * times).round() as i64),
            Value::Float(f) => Value::Float(f * times),
            other => other.clone(),
        };
    }
}

fn enlarge(site: &mut Table, times: f64) {
    for key in ["capacity", "machines"] {
        for t in tables(site, key) {
            multiply(t, "count", times);
            multiply(t, "spot", times);
        }
    }
    for t in tables(site, "jobs") {
        multiply(t, "initial", times);
        if let Some(a) = t.get_mut("arrivals").and_then(Value::as_table_mut) {
            multiply(a, "rate", times);
        }
    }
}

fn look(site: &mut Table) -> Result<Site, Box<dyn Error>> {
    let number = |t: &Table, k: &str| t.get(k).and_then(Value::as_integer).unwrap_or(0);
    let capacity = tables(site, "capacity");
    let machines = capacity.iter().map(|t| number(t, "count") + number(t, "spot")).sum();
    let zone = capacity.last().and_then(|t| t.get("zone")).and_then(Value::as_str);
    let zone = zone.ok_or("no [[capacity]] with a zone")?.to_string();
    let jobs = tables(site, "jobs");
    let class = |kind: &str| -> Result<String, String> {
        let named = |t: &&&mut Table| t.get("kind").and_then(Value::as_str) == Some(kind);
        let name = jobs.iter().find(named).and_then(|t| t.get("name")).and_then(Value::as_str);
        name.map(str::to_string).ok_or(format!("no [[jobs]] of kind {kind}"))
    };
    let (gangs, arrays) = (class("gang")?, class("array")?);
    let workers = site.get("workers").and_then(|w| w.get("cancel_s"));
    let cancel_s = workers.and_then(Value::as_float).ok_or("no workers.cancel_s")?;
    Ok(Site { machines, zone, gangs, arrays, cancel_s })
}

fn main() -> Result<(), Box<dyn Error>> {
    let cli = Cli::parse();
    let mut site: Table = std::fs::read_to_string(&cli.site)?.parse()?;
    std::fs::create_dir_all(&cli.out)?;
    enlarge(&mut site, cli.times);
    let mut name = site.get("name").and_then(Value::as_str).ok_or("no name")?.to_string();
    if cli.times != 1.0 {
        name += &format!("-x{}", cli.times);
    }
    if let Some(back) = cli.back {
        name += &format!("-back{back}");
        let nodes = site.get_mut("nodes").and_then(Value::as_table_mut).ok_or("no [nodes]")?;
        nodes.insert("restart_delay_s".into(), back.into());
    }
    site.insert("name".into(), name.as_str().into());
    let known = look(&mut site)?;
    let path = cli.out.join(format!("{name}.toml"));
    std::fs::write(&path, site.to_string())?;
    println!("{}", path.display());
    // The site names files that lie beside it.
    let beside = cli.site.parent().unwrap_or(Path::new("."));
    for f in std::fs::read_dir(beside)?.flatten().map(|f| f.path()) {
        if f.extension().is_some_and(|e| e == "json") {
            std::fs::copy(&f, cli.out.join(f.file_name().unwrap_or_default()))?;
        }
    }
    let named = |(name, faults): (&str, Vec<Fault>)| (name.to_string(), faults);
    let plain = days(&known).into_iter().map(named).map(|d| (d, false));
    let gaps = gaps(&known).into_iter().map(named).chain(meetings(&known));
    let all = plain.chain(gaps.map(|d| (d, true)));
    for (i, ((name, faults), gap)) in all.enumerate() {
        let path = cli.out.join(format!("{name}.toml"));
        let mut day = day(&name, 700 + i as i64, faults);
        if gap {
            day.insert("duration_s".into(), (110.0 + 3.5 * known.cancel_s).into());
            day.insert("jobs".into(), Value::Array(vec![cancelled_jobs(&known).into()]));
        }
        std::fs::write(&path, day.to_string())?;
        println!("{}", path.display());
    }
    Ok(())
}
