//! A bounded search over fault sequences: all sequences of up to a number of faults at given steps,
//! with three controllers, a store, one machine and one cancelled job, run on the real transition
//! functions.
use super::*;
use crate::shard::{Lease, LEASE_TTL_MS};

const STEP_MS: u64 = 1000;

/// A fault that begins at a step.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The store is down for this number of steps.
    StoreOutage(u64),
    /// The store refuses this controller.
    StoreRefuses(usize),
    /// This controller crashes, and restarts after this number of steps.
    Crash(usize, u64),
    /// These two controllers can't reach each other.
    LinkDown(usize, usize),
    /// This controller reaches the worker, but neither the store nor another controller.
    Isolated(usize),
}

const FAULTS: [Fault; 14] = [
    Fault::StoreOutage(2),
    Fault::StoreOutage(20),
    Fault::StoreRefuses(0),
    Fault::StoreRefuses(1),
    Fault::StoreRefuses(2),
    Fault::Crash(0, 1),
    Fault::Crash(1, 1),
    Fault::Crash(1, 99),
    Fault::Crash(2, 1),
    Fault::LinkDown(0, 1),
    Fault::LinkDown(0, 2),
    Fault::LinkDown(1, 2),
    Fault::Isolated(0),
    Fault::Isolated(1),
];

/// A bug that is introduced on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SeededBug {
    NoBug,
    /// A process that has not read the store makes statements about earlier processes of its node.
    IgnoresPredecessors,
    /// A worker is answered without regard to horizons, as before they existed, while the other
    /// controllers are heard.
    IgnoresHorizons,
}

/// How the job is cancelled.
#[derive(Clone, Copy, Debug)]
struct Cancellation {
    /// The step at which its user cancels it.
    at_step: u64,
    /// Whether the transaction's answer is lost, so that the transaction is executed later and any
    /// controller that reads the store acknowledges it.
    is_late: bool,
}

struct Node {
    up_from_step: u64,
    boot: u64,
    horizons: Horizons,
    view: Vec<ShardView>,
    lease: Lease,
    lease_id: u64,
    owned_epochs: [Option<Epoch>; NODES],
    last_contact_at: [Timestamp; NODES],
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
    faults: Vec<(u64, Fault)>,
    bug: SeededBug,
    nodes: Vec<Node>,
    revision: u64,
    keys: [Option<Key>; NODES],
    /// When each shard last had a key in the store, by shard.
    last_owned_at: [Timestamp; NODES],
    /// When the leases in the store end, by number.
    leases: Vec<Timestamp>,
    is_terminal_in_store: bool,
    /// The step at which a delayed cancellation is executed, and the epoch under which it was
    /// written.
    late_write: Option<(u64, u64)>,
    acknowledged_at: Option<Timestamp>,
    /// The controller that the worker sends heartbeats to.
    worker_at: usize,
    /// The newest fencing token that the worker saw.
    token: u64,
    /// When the worker's lease was last granted.
    lease_granted_at: Timestamp,
    /// Whether the task is on the machine.
    task_on_machine: bool,
}

impl World {
    fn new(faults: Vec<(u64, Fault)>, bug: SeededBug) -> World {
        let node = |n: u8| Node {
            up_from_step: 0,
            boot: u64::from(n) + 1,
            horizons: horizons(n),
            view: views(),
            lease: Lease::default(),
            lease_id: 0,
            owned_epochs: [None; NODES],
            last_contact_at: [0; NODES],
        };
        World {
            now: 100_000,
            faults,
            bug,
            nodes: (0..NODES as u8).map(node).collect(),
            revision: 10,
            keys: [None; NODES],
            last_owned_at: [100_000; NODES],
            leases: Vec::new(),
            is_terminal_in_store: false,
            late_write: None,
            acknowledged_at: None,
            worker_at: 0,
            token: 0,
            lease_granted_at: 100_000,
            task_on_machine: true,
        }
    }

    fn step_no(&self) -> u64 {
        (self.now - 100_000) / STEP_MS
    }

    fn is_active(&self, for_steps: u64, at: u64) -> bool {
        (at..at + for_steps).contains(&self.step_no())
    }

    fn store_is_down(&self) -> bool {
        self.faults.iter().any(|t| matches!(t.1, Fault::StoreOutage(n) if self.is_active(n, t.0)))
    }

    fn reaches_store(&self, n: usize) -> bool {
        let off = |t: &(u64, Fault)| match t.1 {
            Fault::StoreRefuses(k) => k == n && self.is_active(9, t.0),
            Fault::Isolated(k) => k == n && self.is_active(16, t.0),
            _ => false,
        };
        !self.store_is_down() && !self.faults.iter().any(off)
    }

    fn are_linked(&self, a: usize, b: usize) -> bool {
        let off = |t: &(u64, Fault)| match t.1 {
            Fault::LinkDown(x, y) => [(a, b), (b, a)].contains(&(x, y)) && self.is_active(12, t.0),
            Fault::Isolated(k) => (k == a || k == b) && self.is_active(16, t.0),
            _ => false,
        };
        !self.faults.iter().any(off)
    }

    fn is_up(&self, n: usize) -> bool {
        self.step_no() >= self.nodes[n].up_from_step
    }

    fn apply_crashes(&mut self) {
        let step = self.step_no();
        for (at, t) in self.faults.clone() {
            let Fault::Crash(n, back) = t else { continue };
            if at != step {
                continue;
            }
            let boot = self.nodes[n].boot + 10;
            let horizons = Horizons { boot, ..horizons(n as u8) };
            let (view, lease) = (views(), Lease::default());
            let (owned_epochs, last_contact_at) = ([None; NODES], [0; NODES]);
            self.nodes[n] = Node {
                up_from_step: step + back,
                boot,
                horizons,
                view,
                lease,
                lease_id: 0,
                owned_epochs,
                last_contact_at,
            };
            if self.bug == SeededBug::IgnoresPredecessors {
                for s in 0..NODES as u8 {
                    self.nodes[n].horizons.on_shard_key_read(Shard(s), 0);
                }
            }
        }
    }

    /// Renews the lease, reads the keys of the shards, and acquires those that are vacant.
    fn renew_and_acquire(&mut self, n: usize) {
        if !self.reaches_store(n) {
            return;
        }
        let now = self.now;
        let node = &mut self.nodes[n];
        let live = node.lease.id.is_some() && self.leases[node.lease_id as usize] > now;
        if !live {
            node.owned_epochs = [None; NODES];
            self.leases.push(now + LEASE_TTL_MS);
            node.lease_id = self.leases.len() as u64 - 1;
            node.lease = Lease { id: Some(node.lease_id), renewed_at: now, ..Lease::default() };
        }
        self.leases[node.lease_id as usize] = now + LEASE_TTL_MS;
        node.lease.renewed_at = now;
        for s in 0..NODES {
            let shard = Shard(s as u8);
            match self.keys[s] {
                Some(k) => {
                    let owner =
                        Owner { node: NodeIdx(k.node as u8), boot: k.boot, epoch: Epoch(k.epoch) };
                    node.horizons.on_shard_key_read(shard, k.epoch);
                    node.view[s].set_owner(owner, now);
                    if (k.node, k.boot) != (n, node.boot) {
                        node.owned_epochs[s] = None;
                    }
                }
                None => {
                    node.horizons.on_shard_key_read(shard, self.revision);
                    node.view[s].vacate(self.revision, now);
                    node.owned_epochs[s] = None;
                }
            }
            let before = self.keys[s].is_some_and(|k| k.node == n && k.boot != node.boot);
            // The third controller acquires a vacant shard at once, before the others have seen
            // that the shard is vacant.
            let waited = now > self.last_owned_at[s] + if n == 2 { 0 } else { STEP_MS };
            let home = s == n && now == 100_000;
            if (self.keys[s].is_none() && (home || (waited && now > 100_000))) || before {
                self.revision += 1;
                let epoch = self.revision;
                let key = Key { node: n, boot: node.boot, epoch, lease: node.lease_id };
                self.keys[s] = Some(key);
                node.owned_epochs[s] = Some(Epoch(epoch));
                node.horizons.on_shard_acquired(shard);
                let owner = Owner { node: NodeIdx(n as u8), boot: node.boot, epoch: Epoch(epoch) };
                node.view[s].set_owner(owner, now);
                if shard == JOBS && self.is_terminal_in_store {
                    node.horizons.on_cancelled(shard, Epoch(epoch), JOB, now);
                }
            }
        }
    }

    fn owned_shards(&self, n: usize) -> Vec<Option<OwnedShard>> {
        let node = &self.nodes[n];
        let lease_uncertain_ms = node.lease.uncertain_ms(self.now);
        node.owned_epochs
            .iter()
            .map(|e| e.map(|epoch| OwnedShard { epoch, lease_uncertain_ms }))
            .collect()
    }

    fn exchange_heartbeats(&mut self) {
        for a in 0..NODES {
            for b in 0..NODES {
                if a == b || !self.is_up(a) || !self.is_up(b) || !self.are_linked(a, b) {
                    continue;
                }
                let (now, mine) = (self.now, self.owned_shards(a));
                let from = &self.nodes[a];
                let mut heartbeat = NodeHeartbeat::default();
                from.horizons.add_to_heartbeat(
                    NodeIdx(b as u8),
                    &mine,
                    &from.view,
                    now,
                    &mut heartbeat,
                );
                let last = from.view.iter().enumerate();
                let known: Vec<(usize, Owner)> =
                    last.filter_map(|(s, v)| Some((s, v.newest_owner?))).collect();
                let to = &mut self.nodes[b];
                to.last_contact_at[a] = now;
                for (s, o) in known {
                    if o.node.0 as usize != b
                        && to.view[s].accept_claim(Owner { boot: 0, ..o }, now)
                    {
                        to.owned_epochs[s] = None;
                    }
                }
                to.horizons.on_heartbeat(NodeIdx(a as u8), &heartbeat, &to.view, now);
            }
        }
    }

    fn cancel_job(&mut self, cancellation: Cancellation) {
        let step = self.step_no();
        if let Some((_, epoch)) = self.late_write.filter(|p| step >= p.0) {
            let fenced = self.keys[JOBS.0 as usize].is_none_or(|k| k.epoch != epoch);
            if !self.store_is_down() {
                self.is_terminal_in_store |= !fenced;
                self.late_write = None;
            }
        }
        let reads = (0..NODES).any(|n| self.is_up(n) && self.reaches_store(n));
        if self.is_terminal_in_store && self.acknowledged_at.is_none() && reads {
            self.acknowledged_at = Some(self.now);
        }
        if step != cancellation.at_step {
            return;
        }
        let Some(key) = self.keys[JOBS.0 as usize] else { return };
        let n = key.node;
        let node = &mut self.nodes[n];
        let acts = node.owned_epochs[JOBS.0 as usize] == Some(Epoch(key.epoch));
        if !acts || !node.lease.is_valid(self.now) {
            return;
        }
        node.horizons.on_cancelled(JOBS, Epoch(key.epoch), JOB, self.now);
        if cancellation.is_late {
            self.late_write = Some((step + 3, key.epoch));
        } else if self.reaches_store(n) && self.is_up(n) {
            self.is_terminal_in_store = true;
            self.acknowledged_at = Some(self.now);
        }
    }

    fn worker_heartbeat(&mut self) {
        let (now, n) = (self.now, self.worker_at);
        let up = self.is_up(n);
        let node = &self.nodes[n];
        let hears_all = (0..NODES).all(|k| k == n || now < node.last_contact_at[k] + 3000);
        let permits_answer = match self.bug {
            SeededBug::IgnoresHorizons => hears_all && now < node.lease.renewed_at + 45_000,
            _ => {
                node.horizons.permits_answer(MACHINES, now)
                    && node.horizons.permits_answer(JOBS, now)
            }
        };
        let epoch = node.owned_epochs[MACHINES.0 as usize].filter(|e| e.0 >= self.token);
        match epoch.filter(|_| up && permits_answer) {
            Some(e) => {
                (self.token, self.lease_granted_at) = (e.0, now);
                self.task_on_machine &= !node.horizons.is_terminal(JOB);
            }
            None => self.worker_at = (n + 1) % NODES,
        }
    }

    /// Runs the fault sequence. False: the cancelled task ran on its machine for too long.
    fn ends_task_in_time(&mut self, cancel: Cancellation) -> bool {
        for _ in 0..38 {
            let now = self.now;
            if !self.store_is_down() {
                // Leases expire at their time, but not while the store is down.
                for k in &mut self.keys {
                    if k.is_some_and(|k| self.leases[k.lease as usize] <= now) {
                        *k = None;
                        self.revision += 1;
                    }
                }
                for s in 0..NODES {
                    if self.keys[s].is_some() {
                        self.last_owned_at[s] = now;
                    }
                }
            } else {
                for l in &mut self.leases {
                    *l = (*l).max(now + LEASE_TTL_MS + STEP_MS).min(now + LEASE_TTL_MS + STEP_MS);
                }
            }
            for n in 0..NODES {
                if self.is_up(n) {
                    self.renew_and_acquire(n);
                    let mine = self.owned_shards(n);
                    let (stored, is_terminal_in_store) =
                        (self.reaches_store(n), self.is_terminal_in_store);
                    let node = &mut self.nodes[n];
                    node.horizons.advance(&mine, &node.view, now);
                    for s in (0..NODES as u8).map(Shard) {
                        if stored && node.horizons.read_store_from(s, 0, now).is_some() {
                            node.horizons.on_stored_terminal(
                                (s == JOBS && is_terminal_in_store).then_some(JOB),
                                now,
                            );
                            node.horizons.on_store_read(s, now);
                        }
                    }
                }
            }
            self.cancel_job(cancel);
            // A crash may follow right after the acknowledgement.
            self.apply_crashes();
            self.exchange_heartbeats();
            for n in 0..NODES {
                let mine = self.owned_shards(n);
                let node = &mut self.nodes[n];
                node.horizons.advance(&mine, &node.view, now);
            }
            self.worker_heartbeat();
            let lives = now <= self.lease_granted_at + WORKER_LEASE_MS;
            if self
                .acknowledged_at
                .is_some_and(|t| self.task_on_machine && lives && now > t + CANCEL_MS)
            {
                return false;
            }
            self.now += STEP_MS;
        }
        true
    }
}

/// Runs all sequences of up to `depth` faults at these steps. Returns their number, and one in
/// which the cancelled task ran for too long, if there is one.
fn search(depth: usize, steps: &[u64], bug: SeededBug) -> (u64, Option<String>) {
    let all: Vec<(u64, Fault)> = steps.iter().flat_map(|&at| FAULTS.map(|t| (at, t))).collect();
    let mut histories = 0;
    let mut open: Vec<(usize, Vec<(u64, Fault)>)> = vec![(0, Vec::new())];
    while let Some((from, faults)) = open.pop() {
        for is_late in [false, true] {
            let cancel = Cancellation { at_step: 6, is_late };
            histories += 1;
            if !World::new(faults.clone(), bug).ends_task_in_time(cancel) {
                return (histories, Some(format!("{cancel:?} {faults:?}")));
            }
        }
        if faults.len() < depth {
            for (i, t) in all.iter().enumerate().skip(from) {
                let more = faults.iter().copied().chain([*t]).collect();
                open.push((i + 1, more));
            }
        }
    }
    (histories, None)
}

#[test]
fn cancelled_task_ends_in_time_under_faults() {
    let (pairs, broken) = search(2, &[2, 3, 4, 5, 6, 7, 8, 9, 10], SeededBug::NoBug);
    assert_eq!(broken, None);
    let depth = std::env::var("LEADDEAL_DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(3);
    let (more, broken) = search(depth, &[3, 6, 7], SeededBug::NoBug);
    assert_eq!(broken, None);
    assert!(pairs > 15_000 && more > 20_000, "{pairs} and {more} sequences");
}

#[test]
fn search_finds_seeded_bugs() {
    for bug in [SeededBug::IgnoresHorizons, SeededBug::IgnoresPredecessors] {
        let found = search(3, &[3, 6, 7], bug).1;
        assert!(found.is_some(), "{bug:?} was not found");
    }
}

/// The search would prove nothing if tasks were stopped that may run on.
#[test]
fn uncancelled_task_survives_store_outage() {
    let mut world = World::new(vec![(4, Fault::StoreOutage(20))], SeededBug::NoBug);
    assert!(world.ends_task_in_time(Cancellation { at_step: 999, is_late: false }));
    assert!(
        world.task_on_machine && world.lease_granted_at + 2 * STEP_MS > world.now,
        "the worker got no answers"
    );
}

#[cfg(feature = "guards")]
#[test]
fn search_finds_disabled_guards() {
    use crate::guards::{with_guards_disabled, Guard};
    for guard in [
        Guard::AnswersStopAfterGracePeriod,
        Guard::HorizonExcludesUncertainLease,
        Guard::HorizonNeedsPeerStatements,
        Guard::HorizonNeedsPredecessorLimit,
        Guard::HeartbeatsNameCancellations,
    ] {
        let found = with_guards_disabled(&[guard], || search(3, &[3, 6, 7], SeededBug::NoBug).1);
        assert!(found.is_some(), "no failure with {guard:?} disabled");
    }
}
