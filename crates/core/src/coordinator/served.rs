//! Who is served, for the operators' log: by class, by team, and the largest jobs.
//!
//! Counted from the jobs of one shard, since it was loaded: how many were asked for, how many have
//! begun, and of those that have not how long the one that waits longest does. A day on which less
//! than half of a class or a team is served counts as failed: this is where it shows first.
use super::Coordinator;
use crate::ids::{JobId, Timestamp};
use crate::jobs::Job;
use std::collections::BTreeMap;

/// Classes and teams that are told apart; more are counted together.
const MOST: usize = 60;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    asked: u64,
    begun: u64,
    /// The longest that one of them took to begin.
    longest_ms: u64,
}

#[derive(Debug, Default)]
pub(super) struct ServiceStatistics {
    groups: BTreeMap<String, Count>,
}

impl ServiceStatistics {
    fn of(&mut self, what: &str, name: &str) -> &mut Count {
        let key = format!("{what}.{name}");
        let known = self.groups.contains_key(&key) || self.groups.len() < MOST;
        self.groups.entry(if known { key } else { "others".to_string() }).or_default()
    }

    pub fn asks(&mut self, j: &Job) {
        self.of("class", &j.wire.class).asked += 1;
        self.of("team", &j.wire.team).asked += 1;
    }

    /// It had begun when the shard was loaded; when, is not known here.
    pub fn had_begun(&mut self, j: &Job) {
        self.of("class", &j.wire.class).begun += 1;
        self.of("team", &j.wire.team).begun += 1;
    }

    pub fn begins(&mut self, j: &Job, now: Timestamp) {
        let waited = now.saturating_sub(j.created);
        for (what, name) in [("class", &j.wire.class), ("team", &j.wire.team)] {
            let c = self.of(what, name);
            c.begun += 1;
            c.longest_ms = c.longest_ms.max(waited);
        }
    }
}

impl Coordinator {
    /// Groups as `class.x=begun/asked/longest wait in seconds`, and the largest job of all that has
    /// not begun, with how long it has waited.
    pub fn served(&self, now: Timestamp) -> String {
        let groups = self.served.groups.iter().map(|(who, c)| {
            format!("{who}={}/{}/{}", c.begun, c.asked, c.longest_ms.div_ceil(1000))
        });
        let mut words: Vec<String> = groups.collect();
        let waits = |id: &&JobId| self.jobs.get(id).is_some_and(|j| j.first_started_at.is_none());
        let waiting = self.pending.iter().filter(waits).filter_map(|id| self.jobs.get(id));
        if let Some(j) = waiting.max_by_key(|j| j.wire.tasks) {
            let (tasks, s) = (j.wire.tasks, now.saturating_sub(j.created) / 1000);
            words.push(format!("largest_waiting={} tasks={tasks} for_s={s}", j.wire.id));
        }
        format!("seat={} {}", self.shard.0, words.join(" "))
    }
}
