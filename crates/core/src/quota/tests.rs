use super::admission::{Admission, AdmissionRequest, QuotaStatus};
use super::*;
use leaddeal_wire::mesh::FirstInQueue;
use leaddeal_wire::user::Priority;
use proptest::prelude::*;

const NONE: QuotaAmount = QuotaAmount { cpu: 0, gpu: 0 };

fn team(cpus_max: f64, gpus_max: f64) -> Team {
    Team { name: "t".into(), cpus: 0.0, cpus_max, gpus: 0.0, gpus_max }
}

fn cpus(cpu: u64) -> QuotaAmount {
    QuotaAmount { cpu, gpu: 0 }
}

fn told(used: u64, wanted: u64) -> TeamUsage {
    let mut u = TeamUsage::of(0);
    u.used[0] = cpus(used);
    u.wanted[0] = cpus(wanted);
    u
}

/// The quota manager of one team, and its coordinators' reports by turns.
struct TeamShard {
    quota: QuotaManager,
    serial: u64,
    now: Timestamp,
}

impl TeamShard {
    fn new(t: Team) -> TeamShard {
        TeamShard { quota: QuotaManager::new(Shard(0), &[t], 3), serial: 0, now: 0 }
    }

    fn report(&mut self, from: u8, u: TeamUsage) -> Option<TeamGrant> {
        self.serial += 1;
        self.now += 100;
        let granted = self.quota.report(self.now, Shard(from), Epoch(5), self.serial, &[u]);
        granted.and_then(|g| g.first().copied())
    }

    fn may(&mut self, from: u8, u: TeamUsage) -> QuotaAmount {
        self.report(from, u).map_or(NONE, |g| g.granted)
    }
}

#[test]
fn shares_never_exceed_the_limit_and_wait_for_every_coordinator() {
    let mut manager = QuotaManager::new(Shard(0), &[team(10.0, 0.0)], 3);
    let mut now = 0;
    let mut may = |from: u8, epoch: u64, serial: u64, used, wanted| {
        now += 100;
        let g = manager.report(now, Shard(from), Epoch(epoch), serial, &[told(used, wanted)])?;
        Some(g.first().map_or(0, |g| g.granted.cpu))
    };
    assert_eq!(may(0, 5, 1, 0, 9000), Some(0), "others are unknown yet");
    assert_eq!(may(1, 6, 1, 4000, 0), Some(0));
    assert_eq!(may(2, 7, 1, 0, 9000), Some(3000), "half of what is left");
    assert_eq!(may(0, 5, 2, 0, 9000), Some(3000), "the other half");
    assert_eq!(may(2, 7, 2, 1000, 0), Some(1000), "unused is given up");
    assert_eq!(may(0, 5, 3, 0, 9000), Some(5000));
    let taken_over = may(1, 9, 1, 9000, 0).expect("a newer epoch");
    assert!(taken_over <= 10_000 - 5000, "a grant keeps to the limit, whatever is in use");
    assert_eq!(may(1, 3, 9, 0, 0), None, "an old epoch says nothing");
    assert_eq!(may(1, 9, 1, 0, 0), None, "nor does a late copy");
}

#[test]
fn by_priority_first_then_by_what_can_start_now_then_evenly() {
    let mut shard = TeamShard::new(team(10.0, 0.0));
    let mut low = told(0, 50_000);
    let mut high = told(0, 0);
    high.wanted[2] = cpus(8000);
    shard.report(0, low);
    shard.report(1, high);
    shard.report(2, low);
    assert_eq!(shard.may(1, high), cpus(8000), "the higher priority has all that it can use");
    assert_eq!(shard.may(0, low), cpus(1000));
    assert_eq!(shard.may(2, low), cpus(1000), "the rest is shared evenly");
    // What finds no machine is not kept from those that do.
    high.unplaceable = high.wanted;
    high.wanted = Default::default();
    shard.report(1, high);
    low.wanted[0] = cpus(4000);
    shard.report(0, low);
    shard.report(2, low);
    assert_eq!(shard.may(0, low), cpus(4000));
    assert_eq!(shard.may(2, low), cpus(4000));
    assert_eq!(shard.may(1, high), cpus(2000));
}

/// Gangs of half the limit, one in each coordinator: never a part each.
#[test]
fn the_first_job_of_a_coordinator_is_served_whole() {
    let gang = |waited_ms| {
        let mut u = TeamUsage::of(0);
        u.wanted[1] = cpus(6000);
        u.first[1] = Some(FirstInQueue { need: cpus(6000), waited_ms });
        u
    };
    let mut shard = TeamShard::new(team(10.0, 0.0));
    for s in 0..3 {
        shard.report(s, gang(u64::from(s)));
    }
    assert_eq!(shard.may(2, gang(2)), cpus(6000), "whoever has waited longest");
    assert_eq!(shard.may(1, gang(1)), NONE, "what is left is kept for the next");
    // Small work of lesser priority does not take it bit by bit.
    let mut small = told(0, 9000);
    small.first[0] = Some(FirstInQueue { need: cpus(100), waited_ms: 9 });
    assert_eq!(shard.may(0, small), NONE);
    assert_eq!(shard.may(2, TeamUsage::of(0)), NONE);
    assert_eq!(shard.may(1, gang(1)), cpus(6000));
    assert_eq!(shard.may(0, small), cpus(4000));
}

#[test]
fn a_task_as_large_as_the_limit_gets_all_of_it_and_a_larger_one_keeps_nothing() {
    let mut shard = TeamShard::new(team(10.0, 0.0));
    let large = |cpu| {
        let mut u = TeamUsage::of(0);
        u.wanted[3] = cpus(cpu);
        u.first[3] = Some(FirstInQueue { need: cpus(cpu), waited_ms: 1 });
        u
    };
    shard.report(0, large(10_000));
    shard.report(1, told(0, 5000));
    shard.report(2, told(0, 5000));
    assert_eq!(shard.may(1, told(0, 5000)), NONE);
    assert_eq!(shard.may(0, large(10_000)), cpus(10_000));
    shard.report(0, TeamUsage::of(0));
    let mut never = large(10_001);
    never.wanted = Default::default();
    shard.report(0, never);
    assert_eq!(shard.may(1, told(0, 5000)), cpus(5000));
}

/// A processor is left of the limit; the first job of the highest priority needs two. It is kept for that
/// one, and given whole to a lesser one while gaps are filled, not in parts to those that need two.
#[test]
fn what_is_not_enough_for_the_first_goes_to_what_fits_while_gaps_are_filled() {
    let asks = |used: u64, priority: usize, need: u64| {
        let mut usage = told(used, 0);
        usage.wanted[priority] = cpus(8000);
        usage.first[priority] = Some(FirstInQueue { need: cpus(need), waited_ms: 90_000 });
        usage
    };
    let (large, small) = (asks(4000, 3, 2000), asks(0, 2, 1000));
    let mut shard = TeamShard::new(team(5.0, 0.0));
    for (from, usage) in [(0, large), (1, small), (2, asks(0, 3, 2000))] {
        shard.report(from, usage);
    }
    assert_eq!(shard.may(1, small), NONE, "it is kept for the first");
    shard.quota.set_phase(phase::LimitPhase::Filling);
    assert_eq!(shard.may(0, large), cpus(4000));
    assert_eq!(shard.may(2, asks(0, 3, 2000)), NONE);
    assert_eq!(shard.may(1, small), cpus(1000));
}

/// While gaps are filled, a coordinator keeps nothing for a job that its grant doesn't cover.
#[test]
fn admission_keeps_nothing_for_a_gang_while_gaps_are_filled() {
    let gang = AdmissionRequest { all_or_nothing: true, ..asking(Priority::High, 2000, 2) };
    let task = asking(Priority::Low, 1000, 1);
    let status = standing(1000, 1000, [0; 4]);
    for (phase, let_in) in [(phase::LimitPhase::Keeping, 0), (phase::LimitPhase::Filling, 1)] {
        let mut admission = Admission::new(status).in_phase(phase);
        assert_eq!(admission.admit(&gang).now, 0);
        assert_eq!(admission.admit(&task).now, let_in, "{phase:?}");
    }
}

/// One limit reached does not keep work from the other.
#[test]
fn limits_of_gpus_and_of_processors_are_apart() {
    let mut shard = TeamShard::new(team(10.0, 2.0));
    let mut gpus = TeamUsage::of(0);
    let need = QuotaAmount { cpu: 3000, gpu: 2000 };
    gpus.wanted[3] = need;
    gpus.first[3] = Some(FirstInQueue { need, waited_ms: 1 });
    let mut busy = TeamUsage::of(0);
    busy.used[3] = QuotaAmount { cpu: 1000, gpu: 1000 };
    shard.report(0, gpus);
    shard.report(1, busy);
    shard.report(2, told(0, 9000));
    assert_eq!(shard.may(0, gpus), NONE, "there is one GPU left");
    assert_eq!(shard.may(2, told(0, 9000)), cpus(6000), "all but what is kept for the first");
}

/// Reports of impossible values, or of nobody.
#[test]
fn invalid_reports_change_nothing() {
    let mut shard = TeamShard::new(team(10.0, 0.0));
    for s in 0..3 {
        shard.report(s, told(0, 2000));
    }
    assert!(shard.report(7, told(0, 2000)).is_none());
    let mut other = told(0, 2000);
    other.team = 200;
    assert!(shard.report(0, other).is_none());
    assert_eq!(shard.may(1, told(2000, 1000)), cpus(3000), "nobody's report is not missed");
    assert!(shard.may(1, told(u64::MAX, u64::MAX)).is_within(cpus(10_000)));
    shard.report(0, TeamUsage::of(0));
    assert_eq!(shard.may(2, told(0, 2000)), NONE, "what is told to be in use counts");
}

/// Who is silent wants nothing any more, but what it may take stays counted.
#[test]
fn a_silent_coordinator_keeps_its_share_and_asks_for_no_more() {
    let mut shard = TeamShard::new(team(10.0, 0.0));
    shard.report(1, told(1000, 9000));
    shard.report(0, told(0, 9000));
    shard.report(2, TeamUsage::of(0));
    assert_eq!(shard.may(0, told(0, 9000)), cpus(4500));
    shard.now += 3000;
    assert_eq!(shard.may(0, told(0, 9000)), cpus(9000));
}

fn standing(may: u64, due: u64, used: [u64; 4]) -> QuotaStatus {
    QuotaStatus { may: cpus(may), due: cpus(due), used: used.map(cpus) }
}

fn asking(priority: Priority, cpu: u64, count: u32) -> AdmissionRequest {
    AdmissionRequest {
        priority,
        task: cpus(cpu),
        count,
        all_or_nothing: false,
        yields_quota: false,
    }
}

/// An array of 5,000 tasks at low priority fills the limit; a service of the same team comes first.
#[test]
fn lesser_work_of_the_team_gives_way_in_turn() {
    let service = asking(Priority::Production, 2000, 3);
    let array = asking(Priority::Low, 1000, 5000);
    let mut a = Admission::new(standing(10_000, 10_000, [10_000, 0, 0, 0]));
    let got = a.admit(&service);
    assert_eq!((got.now, got.in_turn, got.worth), (0, 3, 0), "{got:?}");
    let got = a.admit(&array);
    assert_eq!((got.now, got.in_turn), (0, 0), "what gives way is not asked for again");
    let mut a = Admission::new(standing(10_000, 10_000, [3000, 0, 0, 0]));
    assert_eq!(a.admit(&service).now, 3);
    assert_eq!(a.admit(&array).now, 1);
}

#[test]
fn what_a_gang_lacks_is_kept_for_it_unless_it_finds_no_machine() {
    let gang = AdmissionRequest { all_or_nothing: true, ..asking(Priority::Normal, 3000, 2) };
    let array = asking(Priority::Low, 1000, 50);
    let free = standing(5000, 5000, [0; 4]);
    let mut a = Admission::new(free);
    assert_eq!((a.admit(&gang).in_turn, a.admit(&array).now), (0, 0));
    let mut a = Admission::new(free);
    let got = a.admit(&AdmissionRequest { yields_quota: true, ..gang });
    assert_eq!((got.now, a.admit(&array).now), (0, 5));
    // It is worth a machine in turn, which nobody after it is then.
    let mut a = Admission::new(standing(6000, 6000, [6000, 0, 0, 0]));
    let got = a.admit(&AdmissionRequest { yields_quota: true, ..gang });
    assert_eq!((got.now, got.in_turn, got.worth), (0, 2, 2));
}

/// A coordinator of the model: what it takes and, by its own belief, may take.
#[derive(Clone, Debug, Default)]
struct ModelCoordinator {
    epoch: u64,
    serial: u64,
    used: [u64; 4],
    wants: [u64; 4],
    /// With the epoch of the team's shard that gave it.
    grant: Option<(u64, QuotaAmount)>,
    /// Reports that may come again.
    sent: Vec<(u64, (u64, u64, TeamUsage))>,
}

impl ModelCoordinator {
    fn sum(&self) -> u64 {
        self.used.iter().sum()
    }

    fn told(&self) -> TeamUsage {
        let mut u = TeamUsage::of(0);
        u.used = self.used.map(cpus);
        u.wanted = self.wants.map(cpus);
        for (p, first) in u.first.iter_mut().enumerate() {
            let need = cpus(self.wants[p].min(700));
            *first = (self.wants[p] > 0).then_some(FirstInQueue { need, waited_ms: self.serial });
        }
        u
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// A report, and whether it and its answer arrive.
    Report(usize, bool, bool),
    /// An older report arrives again.
    Duplicate(usize, usize),
    /// As much as may be is started, of a priority.
    Start(usize, usize),
    End(usize, usize, u64),
    Want(usize, usize, u64),
    /// The coordinator's shard has a new owner; what is decided stays.
    Moves(usize),
    /// The team's shard has.
    NewOwner,
}

fn step() -> impl Strategy<Value = Step> {
    let c = 0..3usize;
    let p = 0..4usize;
    prop_oneof![
        6 => (c.clone(), prop::bool::weighted(0.9), prop::bool::weighted(0.8))
            .prop_map(|(c, a, b)| Step::Report(c, a, b)),
        1 => (c.clone(), 0..20usize).prop_map(|(c, n)| Step::Duplicate(c, n)),
        6 => (c.clone(), p.clone()).prop_map(|(c, p)| Step::Start(c, p)),
        3 => (c.clone(), p.clone(), 0..900u64).prop_map(|(c, p, n)| Step::End(c, p, n)),
        3 => (c.clone(), p, 0..1500u64).prop_map(|(c, p, n)| Step::Want(c, p, n)),
        1 => c.prop_map(Step::Moves),
        1 => Just(Step::NewOwner),
    ]
}

/// The team's shard and three coordinators, over lost, late and doubled messages and new owners.
struct Model {
    limit: u64,
    quota: QuotaManager,
    owner: u64,
    now: Timestamp,
    coordinators: Vec<ModelCoordinator>,
}

impl Model {
    fn new(limit: u64) -> Model {
        let quota = Model::fresh(limit);
        Model { limit, quota, owner: 1, now: 0, coordinators: vec![ModelCoordinator::default(); 3] }
    }

    fn fresh(limit: u64) -> QuotaManager {
        QuotaManager::new(Shard(0), &[team(limit as f64 / 1000.0, 0.0)], 3)
    }

    fn receive(&mut self, c: usize, r: (u64, u64, TeamUsage)) -> Option<QuotaAmount> {
        let g = self.quota.report(self.now, Shard(c as u8), Epoch(r.0), r.1, &[r.2])?;
        g.first().map(|g| g.granted)
    }

    fn report(&mut self, c: usize, arrives: bool, answered: bool) {
        let coordinator = &mut self.coordinators[c];
        coordinator.serial += 1;
        coordinator.grant = None;
        let r = (coordinator.epoch, coordinator.serial, coordinator.told());
        coordinator.sent.push((self.owner, r));
        if arrives {
            let may = self.receive(c, r);
            if answered {
                self.coordinators[c].grant = may.map(|m| (self.owner, m));
            }
        }
    }

    fn apply(&mut self, s: &Step) {
        self.now += 100;
        match *s {
            Step::Report(c, arrives, answered) => self.report(c, arrives, answered),
            Step::Duplicate(c, n) => {
                let sent = &self.coordinators[c].sent;
                let again = sent.get(sent.len().saturating_sub(n + 1)).copied();
                // Messages name the epochs of both ends: a new owner hears none of before. The
                // answer is not listened to: the serial is old.
                if let Some((_, r)) = again.filter(|a| a.0 == self.owner) {
                    self.receive(c, r);
                }
            }
            Step::Start(c, p) => {
                let owner = self.owner;
                let coordinator = &mut self.coordinators[c];
                if let Some((_, may)) = coordinator.grant.filter(|g| g.0 == owner) {
                    let n = may.cpu.saturating_sub(coordinator.sum()).min(coordinator.wants[p]);
                    coordinator.used[p] += n;
                    coordinator.wants[p] -= n;
                }
            }
            Step::End(c, p, n) => {
                let used = &mut self.coordinators[c].used[p];
                *used = used.saturating_sub(n);
            }
            Step::Want(c, p, n) => self.coordinators[c].wants[p] = n,
            Step::Moves(c) => {
                let coordinator = &mut self.coordinators[c];
                coordinator.epoch += 1;
                coordinator.serial = 0;
                coordinator.grant = None;
            }
            Step::NewOwner => {
                self.owner += 1;
                self.quota = Model::fresh(self.limit);
            }
        }
    }

    fn total(&self) -> u64 {
        self.coordinators.iter().map(ModelCoordinator::sum).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn what_may_run_never_passes_the_limit(
        limit in 500..4000u64,
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut model = Model::new(limit);
        for step in &steps {
            model.apply(step);
            prop_assert!(model.total() <= limit, "{} of {limit} after {step:?}", model.total());
        }
    }

    /// Whatever went before: once reports and answers arrive again, room under the limit goes to
    /// somebody who asks within two seconds.
    #[test]
    fn room_is_granted_within_two_seconds_of_calm(
        limit in 500..4000u64,
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut model = Model::new(limit);
        for step in &steps {
            model.apply(step);
        }
        let asks: u64 = model.coordinators.iter().flat_map(|c| c.wants).sum();
        // A whole first need is waited for; there is always one that is no larger than this.
        prop_assume!(asks > 0 && limit - model.total() >= 700);
        let before = model.total();
        for _ in 0..5 {
            for c in 0..3 {
                model.apply(&Step::Report(c, true, true));
                for p in (0..4).rev() {
                    model.apply(&Step::Start(c, p));
                }
            }
        }
        prop_assert!(model.total() > before, "nothing of {} is granted: {:?}", limit - before, model.coordinators);
    }

    /// Nothing is let in now beyond the grant, in any order of jobs.
    #[test]
    fn admission_keeps_to_the_grant(
        may in 0..9000u64, due in 0..9000u64, used in prop::array::uniform4(0..3000u64),
        jobs in prop::collection::vec((0..4usize, 1..900u64, 1..9u32, any::<bool>()), 1..20),
    ) {
        let mut a = Admission::new(standing(may, due, used));
        let mut taken = used.iter().sum::<u64>();
        let started = taken;
        let mut jobs = jobs;
        jobs.sort_by_key(|j| std::cmp::Reverse(j.0));
        for (p, cpu, count, whole) in jobs {
            let priority =
                [Priority::Low, Priority::Normal, Priority::High, Priority::Production][p];
            let got = a.admit(&AdmissionRequest { all_or_nothing: whole, ..asking(priority, cpu, count) });
            prop_assert!(got.in_turn <= count && got.now <= got.in_turn);
            prop_assert!(!whole || got.now == 0 || got.now == count);
            taken += cpu * u64::from(got.now);
            prop_assert!(taken == started || taken <= may);
        }
    }
}

#[cfg(feature = "guards")]
#[test]
fn its_guards_are_missed() {
    use crate::guards::{missed_by, Guard};
    missed_by(Guard::GrantsComplete, shares_never_exceed_the_limit_and_wait_for_every_coordinator);
    missed_by(Guard::GrantsShared, shares_never_exceed_the_limit_and_wait_for_every_coordinator);
}
