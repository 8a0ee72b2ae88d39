//! Histories in which a guard that was taken out is missed: plans by name, each for any seed.
use crate::script::Fault;
use crate::sim::{Plan, Teams, NODES};

/// Of a `cancel_s` of 30 s, the leases of `Held` take as much as at the operators' largest deployment.
const LEASE_MS: u64 = 17_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum History {
    /// Faults at random, one upon the other.
    Ordinary,
    /// The same while every controller ends twenty times within a minute.
    Storm,
    /// The store refuses one controller, cancellations by the others, then an outage for all.
    Gap,
    /// The same while that controller hears nobody but workers.
    GapAlone,
    /// The same; who confirmed the cancellations was not heard and has forgotten them.
    GapForgotten,
    /// The same, with a controller that stands still.
    GapFrozen,
    /// Copies of old reports, new sessions, and changes of owner.
    OldReports,
    /// Machines can't be reached while their owner ends.
    OutOfReach,
    /// Machines don't hear while their owner ends.
    Deaf,
    /// Commands are held up while machines hang and owners end.
    HeldUp,
    /// Transactions without an answer are carried out late.
    LateWrites,
    /// A slow store, and cancellations.
    SlowStore,
    /// Shards are handed over and back, and all end.
    OverAndBack,
    /// A controller reaches only workers and users while its shard moves.
    Alone,
    /// Controllers reach all but each other, and users cancel.
    Apart,
    /// Two controllers don't reach each other, and users cancel.
    Between,
    /// Controllers stand still for longer than their lease.
    Frozen,
    /// The store refuses one controller after the other, and users cancel.
    Refused,
    /// New sessions on many machines, again and again, while owners change.
    Reborn,
    /// Controllers reach all but each other, transactions are late, and users cancel and ask.
    ApartLate,
    /// The same with a slow store instead.
    ApartSlow,
    /// Cancellations without an answer are carried out after their owner's end; then controllers
    /// don't reach each other.
    LateCancels,
    /// A leader reaches only workers and users, and just before it lets its workers go nobody reaches
    /// them for as long as their leases last.
    AloneThenCut,
    /// The store's answers are slow, then it refuses the leader alone, and users cancel and ask.
    SlowThenRefused,
    /// Controllers stand still while their decisions and their acquisitions are being written.
    FrozenDeciding,
    /// Controllers end right after they confirmed cancellations.
    ConfirmedThenEnded,
    /// Shards are handed back by transactions that are late, and the store refuses who hands them back.
    LateHandOver,
    /// Machines miss the stops of what is cancelled; then the store is down.
    DeafThenOutage,
    /// Machines with long tasks are cut off with their leader, which ends.
    CutLeader,
}

fn crash(node: usize, back_ms: u64) -> Fault {
    Fault::Crash { nodes: vec![node], back_ms }
}

fn cancel(at: u64) -> (u64, Fault) {
    (at, Fault::Cancel { percent: 35 })
}

fn gap(more: Vec<(u64, Fault)>) -> Vec<(u64, Fault)> {
    let mut script = vec![
        (60_000, Fault::Refuse { node: 0, ms: 14_000 }),
        (60_300, Fault::Cancel { percent: 60 }),
        (62_500, Fault::Outage { ms: 45_000 }),
    ];
    script.extend(more);
    script
}

impl History {
    pub const ALL: [History; 29] = [
        History::Ordinary,
        History::Storm,
        History::Gap,
        History::GapAlone,
        History::GapForgotten,
        History::GapFrozen,
        History::OldReports,
        History::OutOfReach,
        History::Deaf,
        History::HeldUp,
        History::LateWrites,
        History::SlowStore,
        History::OverAndBack,
        History::Alone,
        History::Apart,
        History::Between,
        History::Frozen,
        History::Refused,
        History::Reborn,
        History::ApartLate,
        History::ApartSlow,
        History::LateCancels,
        History::AloneThenCut,
        History::SlowThenRefused,
        History::FrozenDeciding,
        History::ConfirmedThenEnded,
        History::LateHandOver,
        History::DeafThenOutage,
        History::CutLeader,
    ];

    /// Without a plan's faults at random, a history has its own alone.
    fn script(self) -> Vec<(u64, Fault)> {
        match self {
            History::Ordinary | History::Storm => Vec::new(),
            History::Gap => gap(Vec::new()),
            History::GapAlone => gap(vec![(60_000, Fault::Lone { node: 0, ms: 60_000 })]),
            History::GapForgotten => {
                let cut = (60_200, Fault::Between { nodes: (0, 1), ms: 4000 });
                gap(vec![cut, (62_450, crash(1, 200))])
            }
            History::GapFrozen => gap(vec![(61_000, Fault::Freeze { node: 0, ms: 35_000 })]),
            History::OldReports => vec![
                (20_000, Fault::LateReports { percent: 90, ms: 100_000 }),
                (40_000, Fault::Reborn { machines: 4 }),
                (44_500, Fault::Reborn { machines: 4 }),
                (45_000, crash(0, 3000)),
                (52_000, crash(1, 200)),
                (79_000, Fault::Reborn { machines: 4 }),
                (80_000, crash(2, 9000)),
            ],
            History::OutOfReach => vec![
                (41_000, Fault::CutZone { zone: "a", ms: 16_500 }),
                (42_000, crash(0, 60_000)),
                (58_000, Fault::Hang { machines: 5, ms: 16_500 }),
                (59_000, crash(1, 200)),
            ],
            History::Deaf => vec![
                (41_000, Fault::Deaf { machines: 5, ms: 25_000 }),
                (42_000, crash(0, 60_000)),
                (80_000, Fault::Deaf { machines: 5, ms: 10_000 }),
                (81_000, crash(1, 200)),
                cancel(83_000),
            ],
            History::HeldUp => vec![
                (20_000, Fault::SlowOrders { by_ms: 9000, ms: 100_000 }),
                (40_000, Fault::Hang { machines: 5, ms: 12_000 }),
                cancel(45_000),
                (48_000, crash(0, 300)),
                (70_000, Fault::Hang { machines: 5, ms: 12_000 }),
                cancel(71_000),
                (73_000, crash(1, 9000)),
            ],
            History::LateWrites => vec![
                (20_000, Fault::LateWrites { percent: 50, ms: 100_000 }),
                cancel(40_000),
                (50_000, crash(0, 300)),
                cancel(69_900),
                (70_000, crash(1, 9000)),
                (72_000, crash(2, 200)),
                cancel(90_000),
            ],
            History::SlowStore => {
                let slow = (30_000, Fault::SlowStore { ms: 100_000, by_ms: 1500 });
                let polls = (30_000, Fault::Polls { ms: 100_000 });
                let ends = [(50_000, crash(0, 300)), (80_000, crash(1, 4000))];
                let cancels = (40_000..110_000).step_by(5000).map(cancel);
                cancels.chain([slow, polls]).chain(ends).collect()
            }
            History::OverAndBack => {
                let mut script = Vec::new();
                for at in (30_000..110_000).step_by(16_000) {
                    script.push((at, crash(0, 300)));
                    script.push((at + 5200, crash(1, 6000)));
                    script.push((
                        at + 9000,
                        Fault::Crash { nodes: (0..NODES).collect(), back_ms: 4000 },
                    ));
                    script.push((at + 9300, crash(2, 100)));
                }
                script
            }
            History::Alone => {
                let polls = (40_000, Fault::Polls { ms: 90_000 });
                let alone = (40_000, Fault::Lone { node: 0, ms: 60_000 });
                let back = (101_000, crash(0, 100));
                vec![polls, alone, cancel(46_000), cancel(50_000), cancel(60_000), back]
            }
            History::Apart => {
                let cancels = (42_000..80_000).step_by(4000).map(cancel);
                cancels.chain([(40_000, Fault::Apart { ms: 60_000 })]).collect()
            }
            History::Between => {
                let cut = |at, a, b| (at, Fault::Between { nodes: (a, b), ms: 40_000 });
                let cuts = [cut(30_000, 0, 1), cut(72_000, 1, 2), cut(114_000, 0, 2)];
                let cancels = (32_000..140_000).step_by(4000).map(cancel);
                cancels.chain(cuts).collect()
            }
            History::Frozen => {
                let freeze = |at, node| (at, Fault::Freeze { node, ms: 14_000 });
                let frozen = [freeze(30_000, 0), freeze(60_000, 1), freeze(90_000, 2)];
                let cancels = (32_000..120_000).step_by(5000).map(cancel);
                cancels.chain(frozen).chain([(30_000, Fault::Polls { ms: 90_000 })]).collect()
            }
            History::Refused => {
                let refuse = |at, node| (at, Fault::Refuse { node, ms: 35_000 });
                let refused = [refuse(30_000, 0), refuse(70_000, 1), refuse(110_000, 2)];
                let cancels = (32_000..140_000).step_by(5000).map(cancel);
                cancels.chain(refused).chain([(30_000, Fault::Polls { ms: 110_000 })]).collect()
            }
            History::ApartLate => {
                let cancels = (42_000..100_000).step_by(2000).map(cancel);
                let polls = (40_000, Fault::Polls { ms: 65_000 });
                let late = (40_000, Fault::LateWrites { percent: 60, ms: 60_000 });
                cancels.chain([(40_000, Fault::Apart { ms: 60_000 }), polls, late]).collect()
            }
            History::ApartSlow => {
                let cancels = (42_000..100_000).step_by(2000).map(cancel);
                let polls = (40_000, Fault::Polls { ms: 65_000 });
                let slow = (40_000, Fault::SlowStore { by_ms: 1200, ms: 60_000 });
                cancels.chain([(40_000, Fault::Apart { ms: 60_000 }), polls, slow]).collect()
            }
            History::LateCancels => {
                let at = |at: u64, node| {
                    vec![
                        (at, Fault::LateWrites { percent: 90, ms: 2500 }),
                        (at, Fault::Cancel { percent: 60 }),
                        (at + 1500, crash(node, 20_000)),
                        (at + 14_000, Fault::Polls { ms: 12_000 }),
                        (at + 14_000, Fault::Apart { ms: 12_000 }),
                    ]
                };
                [at(30_000, 0), at(60_000, 1), at(90_000, 2)].concat()
            }
            History::AloneThenCut => {
                let at = |at: u64, node| {
                    let alone = Fault::Lone { node, ms: 40_000 };
                    [(at, alone), (at + 10_000, Fault::Hang { machines: 99, ms: 15_500 })]
                };
                [at(40_000, 0), at(95_000, 1)].concat()
            }
            History::SlowThenRefused => {
                let at = |at: u64, node| {
                    let slow = Fault::SlowStore { by_ms: 2800, ms: 12_000 };
                    let polls = Fault::Polls { ms: 12_000 };
                    let refuse = Fault::Refuse { node, ms: 20_000 };
                    let cancels = (at + 15_600..at + 20_000).step_by(200).map(cancel);
                    let faults = [(at, slow), (at + 11_900, refuse), (at + 12_000, polls)];
                    cancels.chain(faults).collect::<Vec<_>>()
                };
                [at(30_000, 0), at(70_000, 1), at(110_000, 2)].concat()
            }
            History::FrozenDeciding => {
                let slow = (25_000, Fault::SlowStore { by_ms: 700, ms: 110_000 });
                let freeze = |i: u64| {
                    let node = i as usize % NODES;
                    (30_000 + i * 16_000, Fault::Freeze { node, ms: 12_000 })
                };
                (0..7).map(freeze).chain([slow]).collect()
            }
            History::ConfirmedThenEnded => {
                let at = |at: u64, node| {
                    let deaf = Fault::Deaf { machines: 99, ms: 2500 };
                    let cancel = (at, Fault::Cancel { percent: 60 });
                    [(at - 200, deaf), cancel, (at + 700, crash(node, 60_000))]
                };
                [at(40_000, 0), at(110_000, 1)].concat()
            }
            History::LateHandOver => {
                let at = |at: u64, node, by| {
                    let late = Fault::LateWrites { percent: 90, ms: 9000 };
                    let refuse = Fault::Refuse { node: by, ms: 8000 };
                    let polls = Fault::Polls { ms: 14_000 };
                    let cancels = (at + 9000..at + 19_000).step_by(300).map(cancel);
                    let faults = [(at, crash(node, 6000)), (at + 7500, late)];
                    let more = [(at + 10_500, refuse), (at + 8000, polls)];
                    cancels.chain(faults).chain(more).collect::<Vec<_>>()
                };
                [at(30_000, 0, 1), at(70_000, 1, 2), at(110_000, 2, 0)].concat()
            }
            History::DeafThenOutage => vec![
                (59_500, Fault::Deaf { machines: 99, ms: 5000 }),
                (60_300, Fault::Cancel { percent: 60 }),
                (61_800, Fault::Outage { ms: 60_000 }),
            ],
            History::CutLeader => vec![
                (40_000, Fault::Hang { machines: 6, ms: 16_000 }),
                (41_000, crash(0, 5000)),
                (46_500, crash(1, 5000)),
                (52_000, crash(2, 5000)),
                (90_000, Fault::CutZone { zone: "b", ms: 16_000 }),
                (91_000, crash(2, 5000)),
                (96_500, crash(0, 5000)),
                (102_000, crash(1, 5000)),
            ],
            History::Reborn => {
                let mut script = Vec::new();
                for at in (30_000..120_000).step_by(4500) {
                    script.push((at, Fault::Reborn { machines: 6 }));
                }
                let ends =
                    [(44_900, crash(0, 300)), (66_000, crash(1, 200)), (88_000, crash(2, 200))];
                script.into_iter().chain(ends).collect()
            }
        }
    }

    /// Within the history controllers have their lease, and machines long tasks.
    pub fn plan(self, seed: u64) -> Plan {
        let script = self.script();
        let plan = match self {
            History::Ordinary => Plan { calm: 100, ..Plan::new(seed) },
            History::Storm => Plan::storm(seed),
            _ => {
                let quiet = Plan { seconds: 150, script, faults: false, ..Plan::new(seed) };
                let long = !seed.is_multiple_of(2);
                Plan { long, team_max: 20.0, lease_ms: LEASE_MS, ..quiet }
            }
        };
        // The seeds in the table were found with few kinds of jobs.
        Plan { gangs: 1, teams: Teams::One, ..plan }
    }
}
