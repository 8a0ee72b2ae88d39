//! The rule by itself, and a bounded search: every history of up to so many troubles, at every moment, of
//! three controllers, a store, one machine and one cancelled job, over the real transition functions.
use super::*;
use crate::shard::{Lease, Owner, LEASE_MS};

const NODES: usize = 3;
const CANCEL_MS: u64 = 16_000;
const WORKER_LEASE_MS: u64 = 6000;
const STEP_MS: u64 = 1000;
const JOB: JobId = JobId(7);
/// The shard of the job, and that of the machine.
const JOBS: Shard = Shard(1);
const MACHINES: Shard = Shard(0);

fn views() -> Vec<ShardView> {
    vec![ShardView::default(); NODES]
}

fn horizons(node: u8) -> Horizons {
    Horizons::new(NodeIdx(node), u64::from(node) + 1, NODES, CANCEL_MS, WORKER_LEASE_MS)
}

fn mine(shard: Shard, epoch: u64, doubt_ms: u64) -> Vec<Option<OwnedShard>> {
    let mut v = vec![None; NODES];
    v[shard.0 as usize] = Some(OwnedShard { epoch: Epoch(epoch), doubt_ms });
    v
}

/// One asks and the other answers; returns what the asker hears.
fn exchange(
    a: &mut Horizons,
    b: &mut Horizons,
    at: Timestamp,
    of_b: &[Option<OwnedShard>],
    v: &[ShardView],
) {
    let (me, other) = (a.me, b.me);
    let mut ask = NodeHeartbeat::default();
    a.tell(other, &[None; NODES], v, at, &mut ask);
    b.hear(me, &ask, v, at);
    let mut answer = NodeHeartbeat::default();
    b.tell(me, of_b, v, at, &mut answer);
    a.hear(other, &answer, v, at + 700);
}

#[test]
fn only_a_word_that_echoes_us_moves_a_horizon_on() {
    let (mut a, mut b, v) = (horizons(0), horizons(1), views());
    let of_b = mine(JOBS, 5, 0);
    let mut unasked = NodeHeartbeat::default();
    b.tell(NodeIdx(0), &of_b, &v, 50_000, &mut unasked);
    a.hear(NodeIdx(1), &unasked, &v, 90_000);
    assert!(!a.permits(JOBS, 90_000), "said when?");
    exchange(&mut a, &mut b, 90_000, &of_b, &v);
    assert_eq!(a.behind_ms(JOBS, 90_700), Some(700), "counted from what it echoes");
    let patience = a.patience_ms();
    assert!(a.permits(JOBS, 90_000 + patience - 1) && !a.permits(JOBS, 90_000 + patience));
    // Its lease in doubt for 3 s, it speaks of before.
    exchange(&mut a, &mut b, 95_000, &mine(JOBS, 5, 3000), &v);
    assert!((3900..4500).contains(&a.behind_ms(JOBS, 95_700).unwrap_or(0)));
    // A stamp of a process before this one is none of ours.
    let mut again = Horizons { boot: 99, ..horizons(0) };
    let mut late = NodeHeartbeat::default();
    b.tell(NodeIdx(0), &of_b, &v, 96_000, &mut late);
    again.hear(NodeIdx(1), &late, &v, 96_000);
    assert!(!again.permits(JOBS, 96_000));
}

#[test]
fn a_word_with_a_gap_tells_what_it_names_and_no_more() {
    let (mut a, mut b, v) = (horizons(0), horizons(1), views());
    let of_b = mine(JOBS, 5, 0);
    for n in 0..MOST_NAMED as u64 + 1 {
        b.cancelled(JOBS, Epoch(5), JobId(n), 1000);
    }
    exchange(&mut a, &mut b, 10_000, &of_b, &v);
    assert!(a.is_over(JobId(0)) && !a.permits(JOBS, 10_700), "there is more to tell");
    exchange(&mut a, &mut b, 11_000, &of_b, &v);
    assert!(a.is_over(JobId(MOST_NAMED as u64)) && a.permits(JOBS, 11_700));
    // A process that begins anew has heeded nothing: it is told all again.
    let mut again = Horizons { boot: 77, ..horizons(0) };
    exchange(&mut again, &mut b, 12_000, &of_b, &v);
    exchange(&mut again, &mut b, 13_000, &of_b, &v);
    assert!(again.is_over(JobId(0)) && again.is_over(JobId(MOST_NAMED as u64)));
    // Words of an owner whose time is over say nothing.
    let mut newer = views();
    newer[1].set_owner(Owner { node: NodeIdx(2), boot: 1, epoch: Epoch(9) }, 0);
    exchange(&mut a, &mut b, 20_000, &of_b, &newer);
    assert_eq!(a.behind_ms(JOBS, 20_700), Some(9700));
}

#[test]
fn what_a_newer_owner_goes_on_with_was_not_cancelled() {
    let mut h = horizons(0);
    h.cancelled(JOBS, Epoch(5), JOB, 0);
    h.goes_on(JOB, Epoch(5));
    assert!(h.is_over(JOB), "the same owner's word, from before");
    h.goes_on(JOB, Epoch(6));
    assert!(!h.is_over(JOB));
    h.stored([JOB], 0);
    h.goes_on(JOB, Epoch(9));
    assert!(h.is_over(JOB), "it is in the store");
    h.expire(CANCEL_MS + KEEP_MS);
    assert!(!h.is_over(JOB));
}

/// Bad input: shards, epochs and stamps from nowhere change nothing and end nothing.
#[test]
fn impossible_words_change_nothing() {
    let (mut a, v) = (horizons(0), views());
    let word = ShardAssertion {
        shard: 99,
        epoch: u64::MAX,
        complete: true,
        up_to: u64::MAX,
        ..ShardAssertion::default()
    };
    let echo = Some(Stamp { boot: 1, at: u64::MAX });
    let acknowledged = vec![(200, u64::MAX, u64::MAX)];
    let beat = NodeHeartbeat {
        echo,
        newest: vec![0; 900],
        assertions: vec![word.clone()],
        acknowledged,
        ..NodeHeartbeat::default()
    };
    a.hear(NodeIdx(1), &beat, &v, 5000);
    a.hear(NodeIdx(77), &beat, &v, 5000);
    // Of the future, and with a doubt longer than the clock has run.
    let doubt = ShardAssertion { shard: 1, doubt_ms: 1 << 60, ..word };
    let said = Some(Stamp { boot: 1, at: 4000 });
    a.hear(
        NodeIdx(1),
        &NodeHeartbeat { echo: said, assertions: vec![doubt], ..NodeHeartbeat::default() },
        &v,
        5000,
    );
    a.advance(&[], &v, 5000);
    assert!((0..NODES as u8).all(|s| !a.permits(Shard(s), 5000)));
}

/// What goes wrong in a history, from a moment on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Outage(u64),
    /// The store refuses this controller.
    Refuse(usize),
    /// It ends, and is back after so many steps.
    Crash(usize, u64),
    Cut(usize, usize),
    /// It hears the worker, but neither the store nor a sibling.
    Lone(usize),
}

const TROUBLES: [Trouble; 14] = [
    Trouble::Outage(2),
    Trouble::Outage(20),
    Trouble::Refuse(0),
    Trouble::Refuse(1),
    Trouble::Refuse(2),
    Trouble::Crash(0, 1),
    Trouble::Crash(1, 1),
    Trouble::Crash(1, 99),
    Trouble::Crash(2, 1),
    Trouble::Cut(0, 1),
    Trouble::Cut(0, 2),
    Trouble::Cut(1, 2),
    Trouble::Lone(0),
    Trouble::Lone(1),
];

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    Nothing,
    /// A process that has not read the store vouches for those of its node before.
    Restarts,
    /// Whoever is heard is believed to know, as before there were horizons.
    Silence,
}

/// How the job is cancelled: at this step, and whether the transaction's answer is lost, so that it is
/// carried out later and told by whoever reads the store.
#[derive(Clone, Copy, Debug)]
struct Cancel {
    at: u64,
    late: bool,
}

struct Node {
    up_at: u64,
    boot: u64,
    h: Horizons,
    view: Vec<ShardView>,
    lease: Lease,
    lease_id: u64,
    owns: [Option<Epoch>; NODES],
    heard: [Timestamp; NODES],
}

#[derive(Clone, Copy)]
struct Key {
    node: usize,
    boot: u64,
    epoch: u64,
    lease: u64,
}

struct World {
    now: Timestamp,
    troubles: Vec<(u64, Trouble)>,
    broken: Broken,
    nodes: Vec<Node>,
    revision: u64,
    keys: [Option<Key>; NODES],
    /// When a key was there last.
    vacated: [Timestamp; NODES],
    /// Leases of the store, by number: until when.
    leases: Vec<Timestamp>,
    is_final: bool,
    pending: Option<(u64, u64)>,
    told: Option<Timestamp>,
    /// The worker: where it reports, its token, since when its lease runs; whether the task is on it.
    at: usize,
    token: u64,
    granted: Timestamp,
    on: bool,
}

impl World {
    fn new(troubles: Vec<(u64, Trouble)>, broken: Broken) -> World {
        let node = |n: u8| Node {
            up_at: 0,
            boot: u64::from(n) + 1,
            h: horizons(n),
            view: views(),
            lease: Lease::default(),
            lease_id: 0,
            owns: [None; NODES],
            heard: [0; NODES],
        };
        World {
            now: 100_000,
            troubles,
            broken,
            nodes: (0..NODES as u8).map(node).collect(),
            revision: 10,
            keys: [None; NODES],
            vacated: [100_000; NODES],
            leases: Vec::new(),
            is_final: false,
            pending: None,
            told: None,
            at: 0,
            token: 0,
            granted: 100_000,
            on: true,
        }
    }

    fn step_no(&self) -> u64 {
        (self.now - 100_000) / STEP_MS
    }

    fn during(&self, for_steps: u64, at: u64) -> bool {
        (at..at + for_steps).contains(&self.step_no())
    }

    fn outage(&self) -> bool {
        self.troubles.iter().any(|t| matches!(t.1, Trouble::Outage(n) if self.during(n, t.0)))
    }

    fn stored(&self, n: usize) -> bool {
        let off = |t: &(u64, Trouble)| match t.1 {
            Trouble::Refuse(k) => k == n && self.during(9, t.0),
            Trouble::Lone(k) => k == n && self.during(16, t.0),
            _ => false,
        };
        !self.outage() && !self.troubles.iter().any(off)
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        let off = |t: &(u64, Trouble)| match t.1 {
            Trouble::Cut(x, y) => [(a, b), (b, a)].contains(&(x, y)) && self.during(12, t.0),
            Trouble::Lone(k) => (k == a || k == b) && self.during(16, t.0),
            _ => false,
        };
        !self.troubles.iter().any(off)
    }

    fn up(&self, n: usize) -> bool {
        self.step_no() >= self.nodes[n].up_at
    }

    fn crashes(&mut self) {
        let step = self.step_no();
        for (at, t) in self.troubles.clone() {
            let Trouble::Crash(n, back) = t else { continue };
            if at != step {
                continue;
            }
            let boot = self.nodes[n].boot + 10;
            let h = Horizons { boot, ..horizons(n as u8) };
            let (view, lease) = (views(), Lease::default());
            let (owns, heard) = ([None; NODES], [0; NODES]);
            self.nodes[n] =
                Node { up_at: step + back, boot, h, view, lease, lease_id: 0, owns, heard };
            if self.broken == Broken::Restarts {
                for s in 0..NODES as u8 {
                    self.nodes[n].h.first_seen(Shard(s), 0);
                }
            }
        }
    }

    /// Lease, keys, and what is vacant.
    fn keep_shards(&mut self, n: usize) {
        if !self.stored(n) {
            return;
        }
        let now = self.now;
        let node = &mut self.nodes[n];
        let live = node.lease.id.is_some() && self.leases[node.lease_id as usize] > now;
        if !live {
            node.owns = [None; NODES];
            self.leases.push(now + LEASE_MS);
            node.lease_id = self.leases.len() as u64 - 1;
            node.lease = Lease { id: Some(node.lease_id), renewed: now, ..Lease::default() };
        }
        self.leases[node.lease_id as usize] = now + LEASE_MS;
        node.lease.renewed = now;
        for s in 0..NODES {
            let shard = Shard(s as u8);
            match self.keys[s] {
                Some(k) => {
                    let owner =
                        Owner { node: NodeIdx(k.node as u8), boot: k.boot, epoch: Epoch(k.epoch) };
                    node.h.first_seen(shard, k.epoch);
                    node.view[s].set_owner(owner, now);
                    if (k.node, k.boot) != (n, node.boot) {
                        node.owns[s] = None;
                    }
                }
                None => {
                    node.h.first_seen(shard, self.revision);
                    node.view[s].vacate(self.revision, now);
                    node.owns[s] = None;
                }
            }
            let before = self.keys[s].is_some_and(|k| k.node == n && k.boot != node.boot);
            // The third takes what is vacant at once, before the others have seen that it is.
            let waited = now > self.vacated[s] + if n == 2 { 0 } else { STEP_MS };
            let home = s == n && now == 100_000;
            if (self.keys[s].is_none() && (home || (waited && now > 100_000))) || before {
                self.revision += 1;
                let epoch = self.revision;
                let key = Key { node: n, boot: node.boot, epoch, lease: node.lease_id };
                self.keys[s] = Some(key);
                node.owns[s] = Some(Epoch(epoch));
                node.h.begin(shard);
                let owner = Owner { node: NodeIdx(n as u8), boot: node.boot, epoch: Epoch(epoch) };
                node.view[s].set_owner(owner, now);
                if shard == JOBS && self.is_final {
                    node.h.cancelled(shard, Epoch(epoch), JOB, now);
                }
            }
        }
    }

    fn mine(&self, n: usize) -> Vec<Option<OwnedShard>> {
        let node = &self.nodes[n];
        let doubt_ms = node.lease.in_doubt_ms(self.now);
        node.owns.iter().map(|e| e.map(|epoch| OwnedShard { epoch, doubt_ms })).collect()
    }

    fn beats(&mut self) {
        for a in 0..NODES {
            for b in 0..NODES {
                if a == b || !self.up(a) || !self.up(b) || !self.linked(a, b) {
                    continue;
                }
                let (now, mine) = (self.now, self.mine(a));
                let from = &self.nodes[a];
                let mut beat = NodeHeartbeat::default();
                from.h.tell(NodeIdx(b as u8), &mine, &from.view, now, &mut beat);
                let last = from.view.iter().enumerate();
                let known: Vec<(usize, Owner)> =
                    last.filter_map(|(s, v)| Some((s, v.newest_owner?))).collect();
                let to = &mut self.nodes[b];
                to.heard[a] = now;
                for (s, o) in known {
                    if o.node.0 as usize != b
                        && to.view[s].accept_claim(Owner { boot: 0, ..o }, now)
                    {
                        to.owns[s] = None;
                    }
                }
                to.h.hear(NodeIdx(a as u8), &beat, &to.view, now);
            }
        }
    }

    fn cancels(&mut self, c: Cancel) {
        let step = self.step_no();
        if let Some((_, epoch)) = self.pending.filter(|p| step >= p.0) {
            let fenced = self.keys[JOBS.0 as usize].is_none_or(|k| k.epoch != epoch);
            if !self.outage() {
                self.is_final |= !fenced;
                self.pending = None;
            }
        }
        let reads = (0..NODES).any(|n| self.up(n) && self.stored(n));
        if self.is_final && self.told.is_none() && reads {
            self.told = Some(self.now);
        }
        if step != c.at {
            return;
        }
        let Some(key) = self.keys[JOBS.0 as usize] else { return };
        let n = key.node;
        let node = &mut self.nodes[n];
        let acts = node.owns[JOBS.0 as usize] == Some(Epoch(key.epoch));
        if !acts || !node.lease.valid(self.now) {
            return;
        }
        node.h.cancelled(JOBS, Epoch(key.epoch), JOB, self.now);
        if c.late {
            self.pending = Some((step + 3, key.epoch));
        } else if self.stored(n) && self.up(n) {
            self.is_final = true;
            self.told = Some(self.now);
        }
    }

    fn worker(&mut self) {
        let (now, n) = (self.now, self.at);
        let up = self.up(n);
        let node = &self.nodes[n];
        let all = (0..NODES).all(|k| k == n || now < node.heard[k] + 3000);
        let may = match self.broken {
            Broken::Silence => all && now < node.lease.renewed + 45_000,
            _ => node.h.permits(MACHINES, now) && node.h.permits(JOBS, now),
        };
        let epoch = node.owns[MACHINES.0 as usize].filter(|e| e.0 >= self.token);
        match epoch.filter(|_| up && may) {
            Some(e) => {
                (self.token, self.granted) = (e.0, now);
                self.on &= !node.h.is_over(JOB);
            }
            None => self.at = (n + 1) % NODES,
        }
    }

    /// Plays it; false: the task was on its machine for too long.
    fn keeps_the_rule(&mut self, cancel: Cancel) -> bool {
        for _ in 0..38 {
            let now = self.now;
            if !self.outage() {
                // Leases ran out at their time, and none while the store was down.
                for k in &mut self.keys {
                    if k.is_some_and(|k| self.leases[k.lease as usize] <= now) {
                        *k = None;
                        self.revision += 1;
                    }
                }
                for s in 0..NODES {
                    if self.keys[s].is_some() {
                        self.vacated[s] = now;
                    }
                }
            } else {
                for l in &mut self.leases {
                    *l = (*l).max(now + LEASE_MS + STEP_MS).min(now + LEASE_MS + STEP_MS);
                }
            }
            for n in 0..NODES {
                if self.up(n) {
                    self.keep_shards(n);
                    let mine = self.mine(n);
                    let (stored, is_final) = (self.stored(n), self.is_final);
                    let node = &mut self.nodes[n];
                    node.h.advance(&mine, &node.view, now);
                    for s in (0..NODES as u8).map(Shard) {
                        if stored && node.h.to_be_read(s, 0, now).is_some() {
                            node.h.stored((s == JOBS && is_final).then_some(JOB), now);
                            node.h.read(s, now);
                        }
                    }
                }
            }
            self.cancels(cancel);
            // Right after it told the user, it may be.
            self.crashes();
            self.beats();
            for n in 0..NODES {
                let mine = self.mine(n);
                let node = &mut self.nodes[n];
                node.h.advance(&mine, &node.view, now);
            }
            self.worker();
            let lives = now <= self.granted + WORKER_LEASE_MS;
            if self.told.is_some_and(|t| self.on && lives && now > t + CANCEL_MS) {
                return false;
            }
            self.now += STEP_MS;
        }
        true
    }
}

/// All histories of up to that many troubles at these steps. Returns how many there were, and one that
/// broke the rule.
fn search(depth: usize, moments: &[u64], broken: Broken) -> (u64, Option<String>) {
    let all: Vec<(u64, Trouble)> =
        moments.iter().flat_map(|&at| TROUBLES.map(|t| (at, t))).collect();
    let mut played = 0;
    let mut open: Vec<(usize, Vec<(u64, Trouble)>)> = vec![(0, Vec::new())];
    while let Some((from, troubles)) = open.pop() {
        for late in [false, true] {
            let cancel = Cancel { at: 6, late };
            played += 1;
            if !World::new(troubles.clone(), broken).keeps_the_rule(cancel) {
                return (played, Some(format!("{cancel:?} {troubles:?}")));
            }
        }
        if troubles.len() < depth {
            for (i, t) in all.iter().enumerate().skip(from) {
                let more = troubles.iter().copied().chain([*t]).collect();
                open.push((i + 1, more));
            }
        }
    }
    (played, None)
}

#[test]
fn no_history_of_troubles_keeps_a_cancelled_task_for_too_long() {
    let (pairs, broken) = search(2, &[2, 3, 4, 5, 6, 7, 8, 9, 10], Broken::Nothing);
    assert_eq!(broken, None);
    let depth = std::env::var("LEADDEAL_DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(3);
    let (more, broken) = search(depth, &[3, 6, 7], Broken::Nothing);
    assert_eq!(broken, None);
    assert!(pairs > 15_000 && more > 20_000, "{pairs} and {more} histories");
}

#[test]
fn the_search_finds_what_is_broken() {
    for broken in [Broken::Silence, Broken::Restarts] {
        let found = search(3, &[3, 6, 7], broken).1;
        assert!(found.is_some(), "{broken:?} went unnoticed");
    }
}

/// The search would say nothing if no task lived on where it may.
#[test]
fn a_task_that_nobody_cancels_outlives_an_outage() {
    let mut w = World::new(vec![(4, Trouble::Outage(20))], Broken::Nothing);
    assert!(w.keeps_the_rule(Cancel { at: 999, late: false }));
    assert!(w.on && w.granted + 2 * STEP_MS > w.now, "its worker was let go");
}

#[cfg(feature = "guards")]
#[test]
fn its_guards_are_missed() {
    use crate::guards::{missed_by, Guard};
    missed_by(Guard::HorizonEchoed, only_a_word_that_echoes_us_moves_a_horizon_on);
    missed_by(Guard::HorizonDoubt, only_a_word_that_echoes_us_moves_a_horizon_on);
    missed_by(Guard::HorizonStops, only_a_word_that_echoes_us_moves_a_horizon_on);
    missed_by(Guard::BeatsName, a_word_with_a_gap_tells_what_it_names_and_no_more);
}

#[cfg(feature = "guards")]
#[test]
fn the_search_finds_a_guard_that_is_out() {
    use crate::guards::{without, Guard};
    for guard in [
        Guard::HorizonStops,
        Guard::HorizonDoubt,
        Guard::HorizonVouched,
        Guard::HorizonFloor,
        Guard::BeatsName,
    ] {
        let found = without(&[guard], || search(3, &[3, 6, 7], Broken::Nothing).1);
        assert!(found.is_some(), "{guard:?} is not missed");
    }
}
