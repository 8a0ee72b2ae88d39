//! Jobs that are left waiting though a machine that fits has room and their team is under its limit.
use crate::worker::{Done, Worker};
use leaddeal_wire::settings::Team;
use leaddeal_wire::user::{Job, Kind};
use leaddeal_wire::worker::TaskState;
use std::collections::BTreeMap;

/// A job that waits for so long beside room is neglected.
pub const NEGLECTED_MS: u64 = 90_000;

/// Processors and GPUs.
type QuotaAmount = (f64, f64);

fn need(j: &Job) -> QuotaAmount {
    (j.cpus, j.gpus)
}

/// How often one goes into the other.
fn fits(room: QuotaAmount, need: QuotaAmount) -> usize {
    let times = |r: f64, n: f64| if n > 0.0 { ((r + 1e-9) / n).max(0.0) } else { f64::MAX };
    times(room.0, need.0).min(times(room.1, need.1)) as usize
}

/// What a machine has free by its worker's own books.
fn free(w: &Worker, jobs: &BTreeMap<String, Job>) -> QuotaAmount {
    let here = w.tasks.iter().filter(|(_, t)| t.state != TaskState::Exited);
    let here = here.filter_map(|((task, _), _)| jobs.get(task.split('/').next()?));
    here.fold((w.cpus, w.gpus), |(c, g), j| (c - j.cpus, g - j.gpus))
}

/// What is on machines now.
struct Books<'a> {
    /// Free room of each machine that works.
    room: Vec<(&'a Worker, QuotaAmount)>,
    used: BTreeMap<&'a str, QuotaAmount>,
    /// By job: the zones of its tasks.
    on: BTreeMap<&'a str, BTreeMap<&'a str, u32>>,
}

impl<'a> Books<'a> {
    fn new(
        now: u64,
        jobs: &'a BTreeMap<String, Job>,
        workers: &'a BTreeMap<String, Worker>,
    ) -> Books<'a> {
        let mut b = Books { room: Vec::new(), used: BTreeMap::new(), on: BTreeMap::new() };
        for w in workers.values().filter(|w| !w.gone) {
            let out = w.hang_until.max(w.deaf_until).max(w.mute_until);
            if now >= out.max(w.faulty_until) {
                b.room.push((w, free(w, jobs)));
            }
            for ((task, _), t) in &w.tasks {
                let id = task.split('/').next().unwrap_or_default();
                let Some((id, j)) = jobs.get_key_value(id) else { continue };
                if t.state != TaskState::Exited {
                    *b.on.entry(id).or_default().entry(&w.zone).or_default() += 1;
                    let used = b.used.entry(&j.team).or_default();
                    *used = (used.0 + j.cpus, used.1 + j.gpus);
                }
            }
        }
        b
    }

    /// How many tasks of the job go onto each machine that fits.
    fn places(&self, j: &Job) -> Places<'a> {
        let on = self.on.get(j.id.as_str());
        let mut places = Places::new();
        for (w, room) in &self.room {
            let type_ok = j.types.as_ref().is_none_or(|t| t.contains(&w.type_name));
            let zone_ok = j.zone.as_ref().is_none_or(|z| *z == w.zone);
            let with_others = !j.one_zone || on.is_none_or(|on| on.contains_key(w.zone.as_str()));
            if type_ok && zone_ok && with_others && (j.spot || !w.spot) {
                places.insert(&w.name, (&w.zone, fits(*room, need(j))));
            }
        }
        places
    }

    /// How many more tasks of the job its team may have.
    fn allowed(&self, j: &Job, team: &Team) -> usize {
        let used = self.used.get(j.team.as_str()).copied().unwrap_or_default();
        let most = |max: f64, used: f64| if max > 0.0 { max - used } else { f64::MAX };
        fits((most(team.cpus_max, used.0), most(team.gpus_max, used.1)), need(j))
    }

    /// There is room for one of its tasks, of a gang for all.
    fn enough(&self, j: &Job, places: &BTreeMap<String, (String, usize)>) -> bool {
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        for (zone, n) in places.values() {
            *zones.entry(zone).or_default() += n;
        }
        if j.spread {
            let on = self.on.get(j.id.as_str());
            for (zone, n) in &mut zones {
                let here = on.and_then(|on| on.get(zone)).copied().unwrap_or(0);
                *n = (*n).min(j.tasks.div_ceil(2).saturating_sub(here) as usize);
            }
        }
        let room: usize = if j.one_zone && j.kind == Kind::Gang {
            zones.into_values().max().unwrap_or(0)
        } else {
            zones.into_values().sum()
        };
        room >= least(j)
    }
}

/// By machine: its zone, and how many tasks go there.
type Places<'a> = BTreeMap<&'a str, (&'a str, usize)>;

/// So many tasks start together.
fn least(j: &Job) -> usize {
    if j.kind == Kind::Gang {
        j.tasks as usize
    } else {
        1
    }
}

/// A job that waits beside room.
#[derive(Debug)]
struct Waits {
    since: u64,
    /// Its tasks that are done and on machines.
    placed: usize,
    /// By machine: its zone, and for how many of its tasks there was room all along. (What becomes free
    /// for a moment and goes to more important work is no room for it.)
    room: BTreeMap<String, (String, usize)>,
}

impl Waits {
    /// What of the room lasts.
    fn narrow(&mut self, places: &Places) {
        self.room.retain(|machine, (_, n)| {
            *n = (*n).min(places.get(machine.as_str()).map_or(0, |p| p.1));
            *n > 0
        });
    }
}

/// A job that was neglected.
#[derive(Clone, Debug)]
pub struct Neglected {
    pub team: String,
    /// Meanwhile a team wanted more than its limit, or all more than there is.
    pub crowded: bool,
}

#[derive(Debug, Default)]
pub struct Neglect {
    waits: BTreeMap<String, Waits>,
    /// When a team last wanted more than its limit, or all more than there is.
    crowded_at: Option<u64>,
    pub jobs: BTreeMap<String, Neglected>,
}

impl Neglect {
    /// Looks at the jobs that their users want.
    pub fn look<'a>(
        &mut self,
        now: u64,
        wanted: impl Iterator<Item = &'a Job>,
        jobs: &BTreeMap<String, Job>,
        workers: &BTreeMap<String, Worker>,
        teams: &[Team],
        done: &Done,
    ) {
        let books = Books::new(now, jobs, workers);
        let mut still = BTreeMap::new();
        let mut wanted_by: BTreeMap<&str, QuotaAmount> = BTreeMap::new();
        for j in wanted.filter(|j| !done.mistaken.contains(&j.id)) {
            let finished = (0..j.tasks).filter(|t| done.contains(&format!("{}/{t}", j.id))).count();
            let on: u32 = books.on.get(j.id.as_str()).map_or(0, |z| z.values().sum());
            let placed = finished + on as usize;
            let waits = placed < j.tasks as usize && (j.kind != Kind::Gang || on == 0);
            let team = teams.iter().find(|t| t.name == j.team);
            let more = wanted_by.entry(&j.team).or_default();
            let pending = (j.tasks as usize).saturating_sub(placed) as f64;
            *more = (more.0 + j.cpus * pending, more.1 + j.gpus * pending);
            if !waits || team.is_none_or(|t| books.allowed(j, t) < least(j)) {
                continue;
            }
            let places = books.places(j);
            let was = self.waits.remove(&j.id).filter(|w| w.placed == placed);
            let was = was.map(|mut w| {
                w.narrow(&places);
                w
            });
            let w = was.filter(|w| books.enough(j, &w.room)).unwrap_or_else(|| {
                let here = places.iter().filter(|p| p.1 .1 > 0);
                let room = here.map(|(m, (z, n))| (m.to_string(), (z.to_string(), *n))).collect();
                Waits { since: now, placed, room }
            });
            if now > w.since + NEGLECTED_MS {
                let crowded = self.crowded_at.is_some_and(|at| at >= w.since);
                self.jobs.insert(j.id.clone(), Neglected { team: j.team.clone(), crowded });
            }
            if books.enough(j, &w.room) {
                still.insert(j.id.clone(), w);
            }
        }
        let over = |max: QuotaAmount, used: QuotaAmount, more: QuotaAmount| {
            (max.0 > 0.0 && used.0 + more.0 > max.0 + 1e-9)
                || (max.1 > 0.0 && used.1 + more.1 > max.1 + 1e-9)
        };
        let of = |by: &BTreeMap<&str, QuotaAmount>, team: &str| {
            by.get(team).copied().unwrap_or_default()
        };
        let limits = teams.iter().any(|t| {
            let max = (t.cpus_max, t.gpus_max);
            over(max, of(&books.used, &t.name), of(&wanted_by, &t.name))
        });
        let sum = |all: &mut dyn Iterator<Item = QuotaAmount>| {
            all.fold((0.0, 0.0), |n, a| (n.0 + a.0, n.1 + a.1))
        };
        let left = sum(&mut books.room.iter().map(|r| r.1));
        if limits || over(left, (0.0, 0.0), sum(&mut wanted_by.values().copied())) {
            self.crowded_at = Some(now);
        }
        self.waits = still;
    }
}
