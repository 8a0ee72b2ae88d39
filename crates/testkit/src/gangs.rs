//! Gangs of several tasks, as their workers run them together. Tasks of an attempt start once the last
//! has its image, complete together, and notice when one of them is lost.
use crate::worker::{Done, On, Worker};
use leaddeal_wire::user::Job;
use leaddeal_wire::worker::{ExitReason, TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// Within so long the tasks of a gang notice that one of them is gone.
pub const PEER_MS: u64 = 8000;

/// A gang that has started.
#[derive(Debug)]
struct Run {
    since: u64,
    /// Progress saved by earlier attempts.
    before: u64,
    /// When the first of its tasks was told to stop and save.
    stopped: Option<u64>,
    /// Since when one of its tasks is gone, or its machine hangs.
    lost: Option<u64>,
}

impl Run {
    fn progress(&self, now: u64) -> u64 {
        let end = now.min(self.stopped.unwrap_or(now)).min(self.lost.unwrap_or(now));
        self.before + end.saturating_sub(self.since)
    }
}

/// A task of an attempt and the machine that it is on.
pub type Member = ((String, u64), String);

#[derive(Debug, Default)]
pub struct Gangs {
    running: BTreeMap<(String, u64), Run>,
    /// Progress that is safe, by job.
    saved: BTreeMap<String, u64>,
    /// Broken on purpose: they start without the last one.
    eager: bool,
    pub started: usize,
    /// Gangs that went on from saved progress.
    pub resumed: usize,
    pub completed: usize,
    /// Gangs that were stopped in order, and saved.
    pub stopped: usize,
    /// Tasks that waited for the others in vain.
    pub alone: BTreeSet<Member>,
}

impl Gangs {
    pub fn new(eager: bool) -> Gangs {
        Gangs { eager, ..Gangs::default() }
    }

    pub fn advance(
        &mut self,
        now: u64,
        workers: &mut BTreeMap<String, Worker>,
        jobs: &BTreeMap<String, Job>,
        done: &mut Done,
    ) {
        let mut gangs: BTreeMap<(String, u64), Vec<Member>> = BTreeMap::new();
        for w in workers.values().filter(|w| !w.gone) {
            for (key, t) in w.tasks.iter().filter(|(_, t)| t.gang) {
                if t.why == Some(ExitReason::Alone) {
                    self.alone.insert((key.clone(), w.name.clone()));
                }
                if matches!(t.state, TaskState::Waiting | TaskState::Running | TaskState::Saving) {
                    let job = key.0.split('/').next().unwrap_or_default().to_string();
                    gangs.entry((job, key.1)).or_default().push((key.clone(), w.name.clone()));
                }
            }
        }
        self.running.retain(|gang, _| gangs.contains_key(gang));
        for (gang, members) in gangs {
            if let Some(j) = jobs.get(&gang.0) {
                self.one(now, &gang, &members, workers, j, done);
            }
        }
    }

    fn one(
        &mut self,
        now: u64,
        gang: &(String, u64),
        members: &[Member],
        workers: &mut BTreeMap<String, Worker>,
        j: &Job,
        done: &mut Done,
    ) {
        let all = j.tasks as usize;
        let acts = |m: &Member| {
            workers.get(&m.1).is_some_and(|w| now >= w.hang_until && now <= w.granted + w.lease_ms)
        };
        let in_state = |m: &Member, s| task(workers, m).is_some_and(|t| t.state == s);
        let whole = members.len() == all && members.iter().all(acts);
        let Some(run) = self.running.get_mut(gang) else {
            let enough = whole || (self.eager && members.len() + 1 == all);
            if enough && members.iter().all(|m| in_state(m, TaskState::Waiting)) {
                let before = self.saved.get(&gang.0).copied().unwrap_or(0);
                let run = Run { since: now, before, stopped: None, lost: None };
                self.running.insert(gang.clone(), run);
                self.started += 1;
                self.resumed += usize::from(before > 0);
                each(workers, members, |t| (t.state, t.until) = (TaskState::Running, u64::MAX));
            }
            return;
        };
        let saving = members.iter().filter(|m| in_state(m, TaskState::Saving)).count();
        if saving > 0 {
            run.stopped.get_or_insert(now);
        }
        if !whole {
            run.lost.get_or_insert(now);
        } else if saving == 0 {
            run.lost = None;
        }
        let progress = run.progress(now);
        let saved = whole && saving == all;
        let over = |from: u64, ms: u64| now >= from + ms;
        if saved && members.iter().all(|m| task(workers, m).is_some_and(|t| now >= t.until)) {
            self.saved.insert(gang.0.clone(), progress);
            self.stopped += 1;
            exit(workers, members, ExitReason::Stopped, true);
        } else if saved {
        } else if run.stopped.or(run.lost).is_some_and(|from| over(from, noticed_ms(gang, run))) {
            let checkpoint = (j.checkpoint_s * 1000.0) as u64;
            let safe = progress.checked_div(checkpoint).unwrap_or(0) * checkpoint;
            let safe = safe.max(self.saved.get(&gang.0).copied().unwrap_or(0));
            self.saved.insert(gang.0.clone(), safe);
            // A machine that hangs notices when it goes on.
            let here: Vec<Member> = members.iter().filter(|m| acts(m)).cloned().collect();
            exit(workers, &here, ExitReason::Peers, false);
        } else if run.stopped.or(run.lost).is_none() && progress >= (j.estimate_s * 1000.0) as u64 {
            members.iter().for_each(|m| done.insert(&m.0 .0, now));
            self.completed += 1;
            exit(workers, members, ExitReason::Done, false);
        }
    }
}

/// An orderly stop has its whole time; that one is lost is noticed sooner by some gangs than by others.
fn noticed_ms(gang: &(String, u64), run: &Run) -> u64 {
    match run.stopped {
        Some(_) => PEER_MS,
        None => PEER_MS / 4 * (1 + gang.1 % 4),
    }
}

fn task<'a>(workers: &'a BTreeMap<String, Worker>, m: &Member) -> Option<&'a On> {
    workers.get(&m.1)?.tasks.get(&m.0)
}

fn each(workers: &mut BTreeMap<String, Worker>, members: &[Member], f: impl Fn(&mut On)) {
    for (key, machine) in members {
        let Some(w) = workers.get_mut(machine) else { continue };
        w.changed = true;
        w.tasks.get_mut(key).into_iter().for_each(&f);
    }
}

fn exit(workers: &mut BTreeMap<String, Worker>, members: &[Member], why: ExitReason, saved: bool) {
    each(workers, members, |t| (t.state, t.why, t.saved) = (TaskState::Exited, Some(why), saved));
}
