//! Fault histories that violate an invariant when a guard of the core is disabled. Each is a named plan that takes
//! any seed.
use crate::script::{CopiedKind, Fault};
use crate::sim::{Plan, TeamQuotas, NODES};

/// Duration of the workers' leases: the same share of a `cancel_s` of 30 s as in the operators' largest deployment.
const LEASE_MS: u64 = 17_000;
/// More than the number of machines, so that a fault hits all of them.
const ALL_MACHINES: usize = 99;

/// Faults with the times at which they begin, in milliseconds from the start of the run.
type Script = Vec<(u64, Fault)>;

/// A history of faults. The table in `docs/meetings.md` uses the same names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum History {
    /// Overlapping random faults.
    Ordinary,
    /// Random faults while every controller crashes twenty times within a minute.
    Storm,
    /// The store refuses one controller, the others confirm cancellations, then a store outage for all.
    Gap,
    /// Like `Gap`, while that controller is partitioned from the store and its siblings.
    GapAlone,
    /// Like `Gap`, and another controller, which may have confirmed cancellations, is partitioned from the refused
    /// controller and restarts before the outage.
    GapForgotten,
    /// Delayed copies of heartbeats arrive after new incarnations of the workers and changes of owner.
    OldReports,
    /// Inbound partitions of machines while their owner crashes.
    Deaf,
    /// Commands are delayed while machines hang and owners crash.
    HeldUp,
    /// Transactions get no answer and are committed late.
    LateWrites,
    /// Shards move to another owner and back, and all controllers crash.
    OverAndBack,
    /// A controller reaches only workers and users while its shard moves to another owner.
    Alone,
    /// All controllers are partitioned from each other, and users cancel.
    Apart,
    /// Controllers get no CPU time for longer than their leases last.
    Frozen,
    /// The store refuses one controller after another, and users cancel.
    Refused,
    /// All controllers are partitioned from each other, transactions are late, and users cancel and poll.
    ApartLate,
    /// Unanswered writes of terminal states are committed while the next owner loads from a slow store.
    LateFinals,
    /// An owner reaches only workers and users, and just before it gives up its workers these hang for about
    /// as long as their leases last.
    AloneThenCut,
    /// The store answers slowly, then the owner reaches only workers and users, and the users cancel and poll.
    SlowThenAlone,
    /// Controllers get no CPU time while their decisions and acquisitions are being written.
    FrozenDeciding,
    /// Controllers crash right after they have confirmed cancellations.
    ConfirmedThenEnded,
    /// Machines miss the commands to stop cancelled tasks; then a store outage.
    DeafThenOutage,
    /// Late copies of commands that were answered arrive after their tasks have failed and moved.
    CommandCopies,
}

impl History {
    /// All histories.
    pub const ALL: [History; 22] = [
        History::Ordinary,
        History::Storm,
        History::Gap,
        History::GapAlone,
        History::GapForgotten,
        History::OldReports,
        History::Deaf,
        History::HeldUp,
        History::LateWrites,
        History::OverAndBack,
        History::Alone,
        History::Apart,
        History::Frozen,
        History::Refused,
        History::ApartLate,
        History::LateFinals,
        History::AloneThenCut,
        History::SlowThenAlone,
        History::FrozenDeciding,
        History::ConfirmedThenEnded,
        History::DeafThenOutage,
        History::CommandCopies,
    ];

    /// Returns the scripted faults. A history with a script has no random faults.
    fn script(self) -> Script {
        match self {
            History::Ordinary | History::Storm => Vec::new(),
            History::Gap => gap(Vec::new()),
            History::GapAlone => gap_alone(),
            History::GapForgotten => gap_forgotten(),
            History::OldReports => old_reports(),
            History::Deaf => deaf(),
            History::HeldUp => held_up(),
            History::LateWrites => late_writes(),
            History::OverAndBack => over_and_back(),
            History::Alone => alone(),
            History::Apart => apart(),
            History::Frozen => frozen(),
            History::Refused => refused(),
            History::ApartLate => apart_late(),
            History::LateFinals => late_finals(),
            History::AloneThenCut => alone_then_cut(),
            History::SlowThenAlone => slow_then_alone(),
            History::FrozenDeciding => frozen_deciding(),
            History::ConfirmedThenEnded => confirmed_then_ended(),
            History::DeafThenOutage => deaf_then_outage(),
            History::CommandCopies => command_copies(),
        }
    }

    /// Returns the plan of this history. In histories with a script odd seeds have long tasks.
    pub fn plan(self, seed: u64) -> Plan {
        let script = self.script();
        let plan = match self {
            History::Ordinary => Plan { fault_free_seconds: 100, ..Plan::new(seed) },
            History::Storm => Plan::storm(seed),
            _ => {
                let quiet = Plan { seconds: 150, script, random_faults: false, ..Plan::new(seed) };
                let long = !seed.is_multiple_of(2);
                Plan { long_tasks: long, team_cpu_quota: 20.0, lease_ms: LEASE_MS, ..quiet }
            }
        };
        // The seeds in the table of `docs/meetings.md` belong to this mix of jobs: gangs of one task only, and a
        // quota for one of two teams.
        Plan { max_gang_tasks: 1, teams: TeamQuotas::OneOfTwo, ..plan }
    }
}

fn crash(node: usize, back_ms: u64) -> Fault {
    Fault::Crash { nodes: vec![node], back_ms }
}

/// Users cancel about a third of their jobs.
fn cancel(at: u64) -> (u64, Fault) {
    (at, Fault::CancelJobs { percent: 35 })
}

/// The store refuses one controller, the others confirm cancellations, and then the store has an outage.
fn gap(more: Script) -> Script {
    let mut script = vec![
        (60_000, Fault::StoreRefusesNode { node: 0, ms: 14_000 }),
        (60_300, Fault::CancelJobs { percent: 60 }),
        (62_500, Fault::StoreOutage { ms: 45_000 }),
    ];
    script.extend(more);
    script
}

fn gap_alone() -> Script {
    gap(vec![(60_000, Fault::StoreAndPeerPartition { node: 0, ms: 60_000 })])
}

fn gap_forgotten() -> Script {
    let partition = (60_200, Fault::PairPartition { nodes: (0, 1), ms: 4000 });
    gap(vec![partition, (62_450, crash(1, 200))])
}

fn old_reports() -> Script {
    vec![
        (20_000, Fault::LateHeartbeatCopies { percent: 90, ms: 100_000 }),
        (40_000, Fault::RestartWorkers { machines: 4 }),
        (44_500, Fault::RestartWorkers { machines: 4 }),
        (45_000, crash(0, 3000)),
        (52_000, crash(1, 200)),
        (79_000, Fault::RestartWorkers { machines: 4 }),
        (80_000, crash(2, 9000)),
    ]
}

fn deaf() -> Script {
    vec![
        (41_000, Fault::InboundPartition { machines: 5, ms: 25_000 }),
        (42_000, crash(0, 60_000)),
        (80_000, Fault::InboundPartition { machines: 5, ms: 10_000 }),
        (81_000, crash(1, 200)),
        cancel(83_000),
    ]
}

fn held_up() -> Script {
    vec![
        (20_000, Fault::DelayCommands { by_ms: 9000, ms: 100_000 }),
        (40_000, Fault::HangMachines { machines: 5, ms: 12_000 }),
        cancel(45_000),
        (48_000, crash(0, 300)),
        (70_000, Fault::HangMachines { machines: 5, ms: 12_000 }),
        cancel(71_000),
        (73_000, crash(1, 9000)),
    ]
}

fn late_writes() -> Script {
    vec![
        (20_000, Fault::LateWrites { percent: 50, ms: 100_000 }),
        cancel(40_000),
        (50_000, crash(0, 300)),
        cancel(69_900),
        (70_000, crash(1, 9000)),
        (72_000, crash(2, 200)),
        cancel(90_000),
    ]
}

fn over_and_back() -> Script {
    let mut script = Vec::new();
    for at in (30_000..110_000).step_by(16_000) {
        script.push((at, crash(0, 300)));
        script.push((at + 5200, crash(1, 6000)));
        script.push((at + 9000, Fault::Crash { nodes: (0..NODES).collect(), back_ms: 4000 }));
        script.push((at + 9300, crash(2, 100)));
    }
    script
}

fn alone() -> Script {
    let polls = (40_000, Fault::FrequentPolls { ms: 90_000 });
    let partition = (40_000, Fault::StoreAndPeerPartition { node: 0, ms: 60_000 });
    let restart = (101_000, crash(0, 100));
    vec![polls, partition, cancel(46_000), cancel(50_000), cancel(60_000), restart]
}

fn apart() -> Script {
    let cancels = (42_000..80_000).step_by(4000).map(cancel);
    cancels.chain([(40_000, Fault::PeerPartition { ms: 60_000 })]).collect()
}

fn frozen() -> Script {
    let freeze = |at, node| (at, Fault::FreezeNode { node, ms: 14_000 });
    let frozen = [freeze(30_000, 0), freeze(60_000, 1), freeze(90_000, 2)];
    let cancels = (32_000..120_000).step_by(5000).map(cancel);
    cancels.chain(frozen).chain([(30_000, Fault::FrequentPolls { ms: 90_000 })]).collect()
}

fn refused() -> Script {
    let refuse = |at, node| (at, Fault::StoreRefusesNode { node, ms: 35_000 });
    let refused = [refuse(30_000, 0), refuse(70_000, 1), refuse(110_000, 2)];
    let cancels = (32_000..140_000).step_by(5000).map(cancel);
    cancels.chain(refused).chain([(30_000, Fault::FrequentPolls { ms: 110_000 })]).collect()
}

fn apart_late() -> Script {
    let cancels = (42_000..100_000).step_by(2000).map(cancel);
    let polls = (40_000, Fault::FrequentPolls { ms: 65_000 });
    let late = (40_000, Fault::LateWrites { percent: 60, ms: 60_000 });
    cancels.chain([(40_000, Fault::PeerPartition { ms: 60_000 }), polls, late]).collect()
}

fn late_finals() -> Script {
    let at = |at: u64, node| {
        let late = Fault::LateWrites { percent: 90, ms: 2500 };
        let cancel = (at, Fault::CancelJobs { percent: 60 });
        let slow = Fault::SlowStore { by_ms: 1200, ms: 14_000 };
        let polls = Fault::FrequentPolls { ms: 20_000 };
        let crash = (at + 1500, crash(node, 20_000));
        [(at, late), cancel, crash, (at + 1500, slow), (at + 1500, polls)]
    };
    [at(30_000, 0), at(60_000, 1), at(90_000, 2)].concat()
}

fn alone_then_cut() -> Script {
    let at = |at: u64, node| {
        let partition = Fault::StoreAndPeerPartition { node, ms: 40_000 };
        [(at, partition), (at + 10_000, Fault::HangMachines { machines: ALL_MACHINES, ms: 15_500 })]
    };
    [at(40_000, 0), at(95_000, 1)].concat()
}

fn slow_then_alone() -> Script {
    let at = |at: u64, node| {
        let slow = Fault::SlowStore { by_ms: 1900, ms: 12_000 };
        let partition = Fault::StoreAndPeerPartition { node, ms: 20_000 };
        let polls = Fault::FrequentPolls { ms: 12_000 };
        // From the time at which the shard may have a new owner. Each step cancels few jobs, so that some are left
        // for the later steps.
        let cancel_few = |at| (at, Fault::CancelJobs { percent: 6 });
        let cancels = (at + 13_700..at + 18_700).step_by(150).map(cancel_few);
        let faults = [(at, slow), (at + 11_900, partition), (at + 12_000, polls)];
        cancels.chain(faults).collect::<Vec<_>>()
    };
    [at(30_000, 0), at(70_000, 1), at(110_000, 2)].concat()
}

fn frozen_deciding() -> Script {
    let slow = (25_000, Fault::SlowStore { by_ms: 700, ms: 110_000 });
    let freeze = |i: u64| {
        let node = i as usize % NODES;
        (30_000 + i * 16_000, Fault::FreezeNode { node, ms: 12_000 })
    };
    (0..7).map(freeze).chain([slow]).collect()
}

fn confirmed_then_ended() -> Script {
    let at = |at: u64, node| {
        let partition = Fault::InboundPartition { machines: ALL_MACHINES, ms: 2500 };
        let cancel = (at, Fault::CancelJobs { percent: 60 });
        [(at - 200, partition), cancel, (at + 700, crash(node, 60_000))]
    };
    [at(40_000, 0), at(110_000, 1)].concat()
}

fn deaf_then_outage() -> Script {
    vec![
        (59_500, Fault::InboundPartition { machines: ALL_MACHINES, ms: 5000 }),
        (60_300, Fault::CancelJobs { percent: 60 }),
        (61_800, Fault::StoreOutage { ms: 60_000 }),
    ]
}

fn command_copies() -> Script {
    let copies = Fault::LateCopies { of: CopiedKind::Commands, percent: 50, ms: 150_000 };
    let fail = |at| (at, Fault::FailTasks { machines: 4, ms: 6000 });
    (20_000..140_000).step_by(20_000).map(fail).chain([(0, copies)]).collect()
}
