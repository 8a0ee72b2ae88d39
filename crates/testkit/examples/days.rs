//! Generates further days (fault scenarios) and sites for the users' bench `fleetbench` from one of its site files:
//!
//!     cargo run -p leaddeal-testkit --example days -- SITE.toml --out DIR --times 1.5 --back 0.2
//!
//! writes the site with its machines and jobs multiplied by `--times` and with a restart delay of its controllers of
//! `--back` seconds, and next to it a file for each day, with counts, classes and zones taken from the site.
//! `fleetbench run DIR/SITE.toml DIR/DAY.toml` runs a day.
use clap::Parser;
use std::error::Error;
use std::path::{Path, PathBuf};
use toml::{Table, Value};

/// Seed of the first day; each later day takes the next number.
const FIRST_SEED: i64 = 700;

#[derive(Parser)]
struct Cli {
    /// Site file of the bench.
    site: PathBuf,
    /// Directory for the generated files.
    #[arg(long)]
    out: PathBuf,
    /// Factor by which the numbers of machines and jobs are multiplied.
    #[arg(long, default_value_t = 1.0)]
    times: f64,
    /// Seconds until a crashed controller is restarted; the site's own value if absent.
    #[arg(long)]
    back: Option<f64>,
}

/// Properties of a site from which its days are derived.
struct Site {
    /// Maximum number of machines.
    machines: i64,
    /// Zone that zone partitions hit.
    zone: String,
    /// Class of the gangs, of which the smallest share is served when capacity is short.
    gang_class: String,
    /// Class of the largest arrays.
    array_class: String,
    /// Seconds within which the tasks of a cancelled job must have ended.
    cancel_s: f64,
}

impl Site {
    /// Returns a share, from 0 to 1, of the number of machines; at least 1.
    fn machine_count(&self, share: f64) -> i64 {
        ((self.machines as f64 * share) as i64).max(1)
    }
}

/// A fault in the format of the bench's day files.
#[derive(Clone)]
struct Fault {
    /// Seconds from the start of the day.
    at_s: f64,
    kind: &'static str,
    /// Further fields of the fault, by name.
    fields: Vec<(&'static str, Value)>,
}

impl Fault {
    fn new(at_s: f64, kind: &'static str) -> Fault {
        Fault { at_s, kind, fields: Vec::new() }
    }

    fn with(mut self, field: &'static str, value: impl Into<Value>) -> Fault {
        self.fields.push((field, value.into()));
        self
    }

    /// Sets the duration in seconds.
    fn lasting(self, for_s: f64) -> Fault {
        self.with("for_s", for_s)
    }

    /// Makes the fault hit the `count` controllers with the most work.
    fn of_busiest(self, count: i64) -> Fault {
        self.with("count", count).with("busiest", true)
    }

    fn into_table(self) -> Table {
        let mut table = Table::new();
        table.insert("at_s".into(), self.at_s.into());
        table.insert("kind".into(), self.kind.into());
        table.extend(self.fields.into_iter().map(|(name, value)| (name.to_string(), value)));
        table
    }
}

/// A day: its name and its faults.
struct Day {
    name: String,
    faults: Vec<Fault>,
}

impl Day {
    fn new(name: impl Into<String>, faults: Vec<Fault>) -> Day {
        Day { name: name.into(), faults }
    }
}

fn crash(at_s: f64, count: i64) -> Fault {
    Fault::new(at_s, "node_crash").of_busiest(count)
}

fn outage(at_s: f64, for_s: f64) -> Fault {
    Fault::new(at_s, "state_outage").lasting(for_s)
}

/// Returns a rolling restart: the controllers restart one after another, `every_s` seconds apart.
fn rolling_restart(at_s: f64, every_s: f64) -> Fault {
    Fault::new(at_s, "node_roll").with("every_s", every_s)
}

fn freeze(at_s: f64, for_s: f64) -> Fault {
    Fault::new(at_s, "node_freeze").of_busiest(1).lasting(for_s)
}

/// Returns a partition of a controller; `from` is the field of the bench that says from what.
fn partition(at_s: f64, from: &'static str, for_s: f64) -> Fault {
    let of_one = Fault::new(at_s, "node_cut").of_busiest(1).lasting(for_s);
    of_one.with("mode", "hold").with(from, true)
}

fn burst(at_s: f64, class: &str, factor: f64, for_s: f64) -> Fault {
    Fault::new(at_s, "job_burst").with("class", class).with("factor", factor).lasting(for_s)
}

/// Returns a fault that hits this number of machines.
fn machines(at_s: f64, kind: &'static str, count: i64) -> Fault {
    Fault::new(at_s, kind).with("count", count)
}

/// Returns a fault that hits a share, from 0 to 1, of the transactions, heartbeats or jobs, as `kind` says.
fn of_share(at_s: f64, kind: &'static str, share: f64, for_s: f64) -> Fault {
    Fault::new(at_s, kind).with("share", share).lasting(for_s)
}

/// Returns a fault in which the state service refuses a single controller.
fn store_refusal(at_s: f64, for_s: f64) -> Fault {
    let of_one = Fault::new(at_s, "node_cut").of_busiest(1).lasting(for_s);
    of_one.with("from_state", true).with("mode", "refuse")
}

/// Returns a partition of a controller from the state service and the other controllers.
fn store_and_peer_partition(at_s: f64, for_s: f64) -> Fault {
    let of_one = Fault::new(at_s, "node_cut").of_busiest(1).lasting(for_s);
    of_one.with("from_state", true).with("mode", "hold").with("from_peers", true)
}

/// Returns twice the same sequence: `partition` keeps a controller from learning of cancellations that another
/// controller confirms, and then the state service has an outage that is `more_s` seconds longer than a cancellation
/// may take.
fn gap_twice(site: &Site, partition: fn(f64, f64) -> Fault, more_s: f64) -> Vec<Fault> {
    let outage_s = site.cancel_s + more_s;
    let gap = |at_s: f64| [partition(at_s, 14.0), outage(at_s + 2.0, outage_s)];
    [gap(70.0), gap(70.0 + outage_s + 12.0)].concat()
}

/// Returns days that combine two kinds of faults. Most large arrays are cancelled on these days.
fn gap_days(site: &Site) -> Vec<Day> {
    let gap = |more: Vec<Fault>| [gap_twice(site, store_refusal, 12.0), more].concat();
    let peer_partition = Fault::new(70.5, "peers_refuse").lasting(site.cancel_s);
    let late_messages =
        vec![of_share(60.0, "late_writes", 0.3, 90.0), of_share(60.0, "late_reports", 0.3, 180.0)];
    vec![
        Day::new("own-gap", gap_twice(site, store_refusal, 25.0)),
        Day::new("own-gap-alone", gap_twice(site, store_and_peer_partition, 12.0)),
        Day::new("own-gap-short", gap_twice(site, store_refusal, -8.0)),
        Day::new("own-gap-crash", gap(vec![crash(71.5, 1), crash(80.0, 1)])),
        Day::new("own-gap-apart", gap(vec![peer_partition])),
        Day::new("own-gap-late", gap(late_messages)),
        Day::new("own-gap-frozen", gap(vec![freeze(71.0, 25.0)])),
        Day::new("own-alone", store_and_peer_partition_faults(site)),
        Day::new("own-late", late_faults()),
        Day::new("own-deaf", inbound_partition_faults(site)),
    ]
}

fn store_and_peer_partition_faults(site: &Site) -> Vec<Fault> {
    let first = store_and_peer_partition(70.0, site.cancel_s + 15.0);
    vec![first, crash(110.0, 1), store_and_peer_partition(150.0, 20.0)]
}

fn late_faults() -> Vec<Fault> {
    vec![
        of_share(60.0, "late_writes", 0.2, 150.0),
        of_share(60.0, "late_reports", 0.5, 150.0),
        crash(90.0, 2),
        rolling_restart(120.0, 9.0),
        crash(170.0, 3),
    ]
}

fn inbound_partition_faults(site: &Site) -> Vec<Fault> {
    let partition = machines(75.0, "machine_deaf", site.machine_count(0.1)).lasting(40.0);
    vec![partition, crash(80.0, 1), crash(100.0, 2), rolling_restart(130.0, 12.0)]
}

/// Returns the faults that the operators added later, each as a day of its own.
fn later_faults(site: &Site) -> Vec<Day> {
    let cancel = |at_s: f64, hang_s: f64| {
        machines(at_s, "cancel_now", site.machine_count(0.05)).with("hang_s", hang_s)
    };
    // Cancels shortly before a change of owner, and while the store refuses only the owner.
    let cancels = [70.1, 71.0, 79.8, 81.0, 100.5, 131.0].map(|at_s| cancel(at_s, 12.0)).to_vec();
    let outbound_partition = machines(75.0, "machine_mute", site.machine_count(0.1)).lasting(60.0);
    let close_polls = Fault::new(60.0, "close_looks").lasting(150.0);
    vec![
        Day::new("lost", vec![of_share(60.0, "late_writes", 0.3, 120.0).with("at_once", true)]),
        Day::new("kept", vec![of_share(60.0, "late_reports", 0.5, 120.0).with("for_next", true)]),
        Day::new("mute", vec![outbound_partition]),
        Day::new("called-off", cancels),
        Day::new("at-end", vec![of_share(60.0, "cancel_at_end", 0.3, 150.0)]),
        Day::new("odd", vec![Fault::new(60.0, "odd_requests").lasting(150.0)]),
        Day::new("looks", vec![close_polls, cancel(71.0, 0.0)]),
    ]
}

/// Returns days that combine each of the later faults with changes of owner and with [`gap_twice`], and a day with all
/// of them.
fn combined_days(site: &Site) -> Vec<Day> {
    let later = later_faults(site);
    let changes =
        vec![crash(80.0, 1), crash(100.0, 2), rolling_restart(130.0, 12.0), freeze(165.0, 7.0)];
    let gap = gap_twice(site, store_refusal, 12.0);
    let all: Vec<Fault> = later.iter().flat_map(|day| day.faults.clone()).collect();
    let mut days = Vec::new();
    for Day { name, faults } in later {
        days.push(Day::new(format!("own-{name}"), [faults.clone(), changes.clone()].concat()));
        days.push(Day::new(format!("own-gap-{name}"), [faults, gap.clone()].concat()));
    }
    days.push(Day::new("own-every", [all, changes].concat()));
    days
}

/// Returns the days of the operators' acceptance, and the difficult cases next to them.
fn acceptance_days(site: &Site) -> Vec<Day> {
    vec![
        Day::new("own-storm", storm_faults()),
        Day::new(
            "own-rolls",
            vec![
                rolling_restart(120.0, 1.0),
                rolling_restart(180.0, 3.0),
                rolling_restart(240.0, 1.0),
            ],
        ),
        Day::new("own-outages", outage_faults()),
        Day::new("own-cuts", partition_faults(site)),
        Day::new("own-handovers", handover_faults()),
        Day::new("own-loss", loss_faults(site)),
        Day::new("own-workers", vec![partition(150.0, "from_workers", 40.0)]),
        Day::new("own-hang", hang_faults(site)),
    ]
}

fn zone_partition(site: &Site, at_s: f64, for_s: f64) -> Fault {
    let of_zone = Fault::new(at_s, "zone_cut").with("zone", site.zone.as_str());
    of_zone.lasting(for_s).with("mode", "hold")
}

fn storm_faults() -> Vec<Fault> {
    let mut storm = Vec::new();
    for (i, at_s) in [120.0, 121.7, 123.4].into_iter().enumerate() {
        storm.push(crash(at_s, 1));
        storm.push(crash(at_s + 60.0, 3));
        // Crashes at intervals shorter than a lease, and shorter than the interval of its renewals.
        storm.push(crash(140.0 + 3.4 * i as f64, 1));
        storm.push(crash(210.0 + 0.8 * i as f64, 3));
    }
    storm
}

fn outage_faults() -> Vec<Fault> {
    vec![
        outage(130.0, 30.0),
        crash(133.0, 3),
        crash(150.0, 1),
        crash(219.0, 3),
        outage(220.0, 20.0),
        outage(242.0, 8.0),
    ]
}

fn partition_faults(site: &Site) -> Vec<Fault> {
    vec![
        partition(120.0, "from_state", 30.0),
        crash(126.0, 2),
        partition(190.0, "from_workers", 40.0),
        crash(200.0, 1),
        zone_partition(site, 250.0, 40.0),
        crash(255.0, 3),
    ]
}

fn handover_faults() -> Vec<Fault> {
    vec![
        crash(120.0, 1),
        freeze(122.0, 6.0),
        crash(131.0, 2),
        freeze(160.0, 7.0),
        crash(166.0, 1),
        freeze(200.0, 12.0),
        crash(208.0, 3),
    ]
}

fn loss_faults(site: &Site) -> Vec<Fault> {
    vec![
        burst(104.0, &site.gang_class, 5.0, 90.0),
        machines(109.0, "machine_hang", site.machine_count(0.04)).lasting(30.0),
        crash(110.0, 3),
        machines(182.0, "machine_die", site.machine_count(0.08)),
        crash(183.0, 3),
        zone_partition(site, 197.0, 60.0),
        machines(199.0, "machine_sick", site.machine_count(0.03)).lasting(60.0),
        burst(230.0, &site.array_class, 4.0, 60.0),
        crash(275.0, 2),
    ]
}

fn hang_faults(site: &Site) -> Vec<Fault> {
    let hang = machines(149.0, "machine_hang", site.machine_count(0.06)).lasting(60.0);
    vec![hang, crash(150.0, 3)]
}

/// Returns the settings of the class of the largest arrays: most of its jobs are cancelled, and they run for longer
/// than a cancellation may take.
fn cancelled_jobs(site: &Site) -> Table {
    let times = |n: f64| Value::from((site.cancel_s * n * 10.0).round() / 10.0);
    let run_s = [("median", times(2.4)), ("p95", times(3.0)), ("max", times(3.4))];
    let run_s: Table = run_s.map(|(name, value)| (name.to_string(), value)).into_iter().collect();
    let mut table = Table::new();
    table.insert("name".into(), site.array_class.as_str().into());
    table.insert("cancelled".into(), 0.8.into());
    table.insert("run_s".into(), run_s.into());
    table
}

/// Returns the content of a day's file.
fn day_table(day: Day, seed: i64) -> Table {
    let mut faults = day.faults;
    faults.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    let faults = faults.into_iter().map(|fault| Value::Table(fault.into_table())).collect();
    let mut table = Table::new();
    table.insert("name".into(), day.name.into());
    table.insert("slot".into(), "scale".into());
    table.insert("light".into(), false.into());
    table.insert("seed".into(), seed.into());
    table.insert("faults".into(), Value::Array(faults));
    table
}

fn tables<'a>(site: &'a mut Table, key: &str) -> Vec<&'a mut Table> {
    let list = site.get_mut(key).and_then(Value::as_array_mut);
    list.into_iter().flatten().filter_map(Value::as_table_mut).collect()
}

fn multiply(table: &mut Table, key: &str, times: f64) {
    if let Some(value) = table.get_mut(key) {
        *value = match &*value {
            Value::Integer(number) => Value::Integer((*number as f64 * times).round() as i64),
            Value::Float(number) => Value::Float(number * times),
            other => other.clone(),
        };
    }
}

/// Multiplies the numbers of the site's machines and jobs.
fn enlarge(site: &mut Table, times: f64) {
    for key in ["capacity", "machines"] {
        for table in tables(site, key) {
            multiply(table, "count", times);
            multiply(table, "spot", times);
        }
    }
    for table in tables(site, "jobs") {
        multiply(table, "initial", times);
        if let Some(arrivals) = table.get_mut("arrivals").and_then(Value::as_table_mut) {
            multiply(arrivals, "rate", times);
        }
    }
}

/// Sets the restart delay of the controllers, if one is given, and adds the changes to the site's name. Returns the
/// new name.
fn apply_changes(site: &mut Table, cli: &Cli) -> Result<String, Box<dyn Error>> {
    let mut name = site.get("name").and_then(Value::as_str).ok_or("no name")?.to_string();
    if (cli.times - 1.0).abs() > f64::EPSILON {
        name = format!("{name}-x{}", cli.times);
    }
    if let Some(back) = cli.back {
        name = format!("{name}-back{back}");
        let nodes = site.get_mut("nodes").and_then(Value::as_table_mut).ok_or("no [nodes]")?;
        nodes.insert("restart_delay_s".into(), back.into());
    }
    site.insert("name".into(), name.as_str().into());
    Ok(name)
}

/// Reads from the site's file the properties that its days depend on.
fn read_site(site: &mut Table) -> Result<Site, Box<dyn Error>> {
    let number = |table: &Table, key: &str| table.get(key).and_then(Value::as_integer).unwrap_or(0);
    let capacity = tables(site, "capacity");
    let machines = capacity.iter().map(|t| number(t, "count") + number(t, "spot")).sum();
    let zone = capacity.last().and_then(|t| t.get("zone")).and_then(Value::as_str);
    let zone = zone.ok_or("no [[capacity]] with a zone")?.to_string();
    let jobs = tables(site, "jobs");
    let class = |kind: &str| -> Result<String, String> {
        let is_kind = |t: &&&mut Table| t.get("kind").and_then(Value::as_str) == Some(kind);
        let name = jobs.iter().find(is_kind).and_then(|t| t.get("name")).and_then(Value::as_str);
        name.map(str::to_string).ok_or(format!("no [[jobs]] of kind {kind}"))
    };
    let (gang_class, array_class) = (class("gang")?, class("array")?);
    let workers = site.get("workers").and_then(|w| w.get("cancel_s"));
    let cancel_s = workers.and_then(Value::as_float).ok_or("no workers.cancel_s")?;
    Ok(Site { machines, zone, gang_class, array_class, cancel_s })
}

/// Copies the JSON files next to the site's file, which the site refers to.
fn copy_files_of_site(cli: &Cli) -> std::io::Result<()> {
    let directory = cli.site.parent().unwrap_or(Path::new("."));
    for file in std::fs::read_dir(directory)?.flatten().map(|entry| entry.path()) {
        if file.extension().is_some_and(|extension| extension == "json") {
            std::fs::copy(&file, cli.out.join(file.file_name().unwrap_or_default()))?;
        }
    }
    Ok(())
}

fn write(cli: &Cli, name: &str, table: &Table) -> std::io::Result<()> {
    let path = cli.out.join(format!("{name}.toml"));
    std::fs::write(&path, table.to_string())?;
    println!("{}", path.display());
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let cli = Cli::parse();
    let mut site_table: Table = std::fs::read_to_string(&cli.site)?.parse()?;
    std::fs::create_dir_all(&cli.out)?;
    enlarge(&mut site_table, cli.times);
    let name = apply_changes(&mut site_table, &cli)?;
    let site = read_site(&mut site_table)?;
    write(&cli, &name, &site_table)?;
    copy_files_of_site(&cli)?;
    let short_days = acceptance_days(&site).into_iter().map(|day| (day, false));
    let long_days = gap_days(&site).into_iter().chain(combined_days(&site)).map(|day| (day, true));
    for ((day, is_long), seed) in short_days.chain(long_days).zip(FIRST_SEED..) {
        let name = day.name.clone();
        let mut table = day_table(day, seed);
        if is_long {
            table.insert("duration_s".into(), (110.0 + 3.5 * site.cancel_s).into());
            table.insert("jobs".into(), Value::Array(vec![cancelled_jobs(&site).into()]));
        }
        write(&cli, &name, &table)?;
    }
    Ok(())
}
