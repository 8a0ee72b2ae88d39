//! Who is served: by class, by team, and the largest jobs of each class. A day fails if it is less
//! than half of any of them.
use leaddeal_wire::user::{Job, Kind};
use std::collections::{BTreeMap, BTreeSet};

/// The largest jobs have to begin within so long.
pub const LARGEST_MS: u64 = 240_000;

#[derive(Debug)]
struct Line {
    class: &'static str,
    team: String,
    tasks: u32,
    asked: u64,
    begun: Option<u64>,
    started: BTreeSet<u32>,
}

impl Line {
    /// Every task of it was started once.
    fn served(&self) -> bool {
        self.started.len() as u32 == self.tasks
    }
}

#[derive(Debug, Default)]
pub struct Served {
    jobs: BTreeMap<String, Line>,
}

/// The share of a group of jobs, and how many there are.
#[derive(Debug)]
pub struct Share {
    pub who: String,
    pub served: usize,
    pub of: usize,
}

impl Share {
    pub fn under_half(&self) -> bool {
        self.served * 2 < self.of
    }
}

impl Served {
    /// A user wants it from now on.
    pub fn asks(&mut self, j: &Job, now: u64) {
        let class = match j.kind {
            Kind::Array => "array",
            Kind::Gang => "gang",
            Kind::Service => "service",
        };
        let (team, tasks) = (j.team.clone(), j.tasks);
        let line = Line { class, team, tasks, asked: now, begun: None, started: BTreeSet::new() };
        self.jobs.insert(j.id.clone(), line);
    }

    /// Its user wants it no more, so that it counts no more.
    pub fn gives_up(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    pub fn starts(&mut self, task: &str, now: u64) {
        let Some((job, n)) = task.split_once('/') else { return };
        if let (Some(l), Ok(n)) = (self.jobs.get_mut(job), n.parse()) {
            l.begun.get_or_insert(now);
            l.started.insert(n);
        }
    }

    /// Of these teams' jobs that were asked for until then: each class, each team, the largest tenth of each class, and
    /// how many of the largest began in time.
    pub fn shares(&self, until: u64, teams: &BTreeSet<&str>) -> Vec<Share> {
        let mut groups: BTreeMap<String, Vec<(&Line, bool)>> = BTreeMap::new();
        let mut classes: BTreeMap<&str, Vec<&Line>> = BTreeMap::new();
        let counts = |l: &&Line| l.asked <= until && teams.contains(l.team.as_str());
        for l in self.jobs.values().filter(counts) {
            groups.entry(format!("class {}", l.class)).or_default().push((l, l.served()));
            groups.entry(format!("team {}", l.team)).or_default().push((l, l.served()));
            classes.entry(l.class).or_default().push(l);
        }
        for (class, mut lines) in classes {
            lines.sort_by_key(|l| std::cmp::Reverse(l.tasks));
            for l in lines.iter().take(lines.len().div_ceil(10)) {
                let soon = l.begun.is_some_and(|at| at <= l.asked + LARGEST_MS);
                groups.entry(format!("largest {class}")).or_default().push((l, l.served()));
                groups.entry(format!("largest {class} begun")).or_default().push((l, soon));
            }
        }
        let share = |(who, all): (String, Vec<(&Line, bool)>)| Share {
            who,
            served: all.iter().filter(|x| x.1).count(),
            of: all.len(),
        };
        groups.into_iter().map(share).collect()
    }
}

#[cfg(test)]
mod tests;
