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

fn team_usage(used: u64, wanted: u64) -> TeamUsage {
    let mut u = TeamUsage::of(0);
    u.used[0] = cpus(used);
    u.wanted[0] = cpus(wanted);
    u
}

/// The quota manager of one team, with reports of its coordinators at intervals.
struct TeamShard {
    manager: QuotaManager,
    serial: u64,
    now: Timestamp,
}

impl TeamShard {
    fn new(t: Team) -> TeamShard {
        TeamShard { manager: QuotaManager::new(Shard(0), &[t], 3), serial: 0, now: 0 }
    }

    fn report(&mut self, from: u8, u: TeamUsage) -> Option<TeamGrant> {
        self.serial += 1;
        self.now += 100;
        let granted = self.manager.report(self.now, Shard(from), Epoch(5), self.serial, &[u]);
        granted.and_then(|g| g.first().copied())
    }

    fn granted(&mut self, from: u8, u: TeamUsage) -> QuotaAmount {
        self.report(from, u).map_or(NONE, |g| g.granted)
    }
}

#[test]
fn grants_stay_within_quota_and_await_reports() {
    let mut manager = QuotaManager::new(Shard(0), &[team(10.0, 0.0)], 3);
    let mut now = 0;
    let mut granted = |from: u8, epoch: u64, serial: u64, used, wanted| {
        now += 100;
        let g =
            manager.report(now, Shard(from), Epoch(epoch), serial, &[team_usage(used, wanted)])?;
        Some(g.first().map_or(0, |g| g.granted.cpu))
    };
    assert_eq!(granted(0, 5, 1, 0, 9000), Some(0), "the other coordinators have not reported yet");
    assert_eq!(granted(1, 6, 1, 4000, 0), Some(0));
    assert_eq!(granted(2, 7, 1, 0, 9000), Some(3000), "half of the free quota");
    assert_eq!(granted(0, 5, 2, 0, 9000), Some(3000), "the other half");
    assert_eq!(granted(2, 7, 2, 1000, 0), Some(1000), "unused quota is freed");
    assert_eq!(granted(0, 5, 3, 0, 9000), Some(5000));
    let granted_to_successor = granted(1, 9, 1, 9000, 0).expect("a newer epoch");
    assert!(
        granted_to_successor <= 10_000 - 5000,
        "a grant stays within the quota, whatever is in use"
    );
    assert_eq!(granted(1, 3, 9, 0, 0), None, "a report of an old epoch is ignored");
    assert_eq!(granted(1, 9, 1, 0, 0), None, "a late copy is ignored");
}

#[test]
fn grants_by_priority_then_placeable_demand() {
    let mut shard = TeamShard::new(team(10.0, 0.0));
    let mut low = team_usage(0, 50_000);
    let mut high = team_usage(0, 0);
    high.wanted[2] = cpus(8000);
    shard.report(0, low);
    shard.report(1, high);
    shard.report(2, low);
    assert_eq!(shard.granted(1, high), cpus(8000), "the higher priority gets all that it can use");
    assert_eq!(shard.granted(0, low), cpus(1000));
    assert_eq!(shard.granted(2, low), cpus(1000), "the rest is divided evenly");
    // Demand that no machine can take comes after demand that can be placed.
    high.unplaceable = high.wanted;
    high.wanted = Default::default();
    shard.report(1, high);
    low.wanted[0] = cpus(4000);
    shard.report(0, low);
    shard.report(2, low);
    assert_eq!(shard.granted(0, low), cpus(4000));
    assert_eq!(shard.granted(2, low), cpus(4000));
    assert_eq!(shard.granted(1, high), cpus(2000));
}

/// Each of three coordinators has a gang that needs more than half the quota. The gangs must not
/// get a part each, since then none could start.
#[test]
fn serves_first_job_as_a_whole() {
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
    assert_eq!(shard.granted(2, gang(2)), cpus(6000), "the longest waiting gang");
    assert_eq!(shard.granted(1, gang(1)), NONE, "the rest is reserved for the next gang");
    // Small tasks of lower priority do not use it up bit by bit.
    let mut small = team_usage(0, 9000);
    small.first[0] = Some(FirstInQueue { need: cpus(100), waited_ms: 9 });
    assert_eq!(shard.granted(0, small), NONE);
    assert_eq!(shard.granted(2, TeamUsage::of(0)), NONE);
    assert_eq!(shard.granted(1, gang(1)), cpus(6000));
    assert_eq!(shard.granted(0, small), cpus(4000));
}

#[test]
fn task_larger_than_quota_reserves_nothing() {
    let mut shard = TeamShard::new(team(10.0, 0.0));
    let large = |cpu| {
        let mut u = TeamUsage::of(0);
        u.wanted[3] = cpus(cpu);
        u.first[3] = Some(FirstInQueue { need: cpus(cpu), waited_ms: 1 });
        u
    };
    shard.report(0, large(10_000));
    shard.report(1, team_usage(0, 5000));
    shard.report(2, team_usage(0, 5000));
    assert_eq!(shard.granted(1, team_usage(0, 5000)), NONE);
    assert_eq!(shard.granted(0, large(10_000)), cpus(10_000));
    shard.report(0, TeamUsage::of(0));
    let mut never = large(10_001);
    never.wanted = Default::default();
    shard.report(0, never);
    assert_eq!(shard.granted(1, team_usage(0, 5000)), cpus(5000));
}

/// One processor of the quota is free, and the first job of the highest priority needs two. The
/// processor is reserved for that job. In the backfilling phase it goes as a whole to a
/// lower-priority job, not in parts to jobs that need two.
#[test]
fn backfilling_grants_whole_tasks_that_fit() {
    let asks = |used: u64, priority: usize, need: u64| {
        let mut usage = team_usage(used, 0);
        usage.wanted[priority] = cpus(8000);
        usage.first[priority] = Some(FirstInQueue { need: cpus(need), waited_ms: 90_000 });
        usage
    };
    let (large, small) = (asks(4000, 3, 2000), asks(0, 2, 1000));
    let mut shard = TeamShard::new(team(5.0, 0.0));
    for (from, usage) in [(0, large), (1, small), (2, asks(0, 3, 2000))] {
        shard.report(from, usage);
    }
    assert_eq!(shard.granted(1, small), NONE, "reserved for the first job");
    shard.manager.set_phase(phase::QuotaPhase::Backfilling);
    assert_eq!(shard.granted(0, large), cpus(4000));
    assert_eq!(shard.granted(2, asks(0, 3, 2000)), NONE);
    assert_eq!(shard.granted(1, small), cpus(1000));
}

/// In the backfilling phase a coordinator reserves nothing for a job that its grant does not cover.
#[test]
fn admission_reserves_nothing_while_backfilling() {
    let gang = AdmissionRequest { all_or_nothing: true, ..request(Priority::High, 2000, 2) };
    let task = request(Priority::Low, 1000, 1);
    let status = quota_status(1000, 1000, [0; 4]);
    for (phase, admitted) in
        [(phase::QuotaPhase::Reserving, 0), (phase::QuotaPhase::Backfilling, 1)]
    {
        let mut admission = Admission::new(status).in_phase(phase);
        assert_eq!(admission.admit(&gang).now, 0);
        assert_eq!(admission.admit(&task).now, admitted, "{phase:?}");
    }
}

/// A used-up quota of GPUs must not block jobs that need only processors.
#[test]
fn processor_and_gpu_quotas_are_independent() {
    let mut shard = TeamShard::new(team(10.0, 2.0));
    let mut gpus = TeamUsage::of(0);
    let need = QuotaAmount { cpu: 3000, gpu: 2000 };
    gpus.wanted[3] = need;
    gpus.first[3] = Some(FirstInQueue { need, waited_ms: 1 });
    let mut busy = TeamUsage::of(0);
    busy.used[3] = QuotaAmount { cpu: 1000, gpu: 1000 };
    shard.report(0, gpus);
    shard.report(1, busy);
    shard.report(2, team_usage(0, 9000));
    assert_eq!(shard.granted(0, gpus), NONE, "one GPU is free");
    assert_eq!(
        shard.granted(2, team_usage(0, 9000)),
        cpus(6000),
        "all but what is reserved for the first job"
    );
}

/// Reports with impossible values, or of coordinators that don't exist.
#[test]
fn ignores_invalid_reports() {
    let mut shard = TeamShard::new(team(10.0, 0.0));
    for s in 0..3 {
        shard.report(s, team_usage(0, 2000));
    }
    assert!(shard.report(7, team_usage(0, 2000)).is_none());
    let mut other = team_usage(0, 2000);
    other.team = 200;
    assert!(shard.report(0, other).is_none());
    assert_eq!(
        shard.granted(1, team_usage(2000, 1000)),
        cpus(3000),
        "no report of a missing coordinator is waited for"
    );
    assert!(shard.granted(1, team_usage(u64::MAX, u64::MAX)).is_within(cpus(10_000)));
    shard.report(0, TeamUsage::of(0));
    assert_eq!(shard.granted(2, team_usage(0, 2000)), NONE, "the reported usage counts");
}

/// The demand of a silent coordinator is dropped, but its share stays counted.
#[test]
fn silent_coordinator_keeps_share_without_demand() {
    let mut shard = TeamShard::new(team(10.0, 0.0));
    shard.report(1, team_usage(1000, 9000));
    shard.report(0, team_usage(0, 9000));
    shard.report(2, TeamUsage::of(0));
    assert_eq!(shard.granted(0, team_usage(0, 9000)), cpus(4500));
    shard.now += 3000;
    assert_eq!(shard.granted(0, team_usage(0, 9000)), cpus(9000));
}

fn quota_status(granted: u64, granted_after_preemption: u64, used: [u64; 4]) -> QuotaStatus {
    QuotaStatus {
        granted: cpus(granted),
        granted_after_preemption: cpus(granted_after_preemption),
        used: used.map(cpus),
    }
}

fn request(priority: Priority, cpu: u64, count: u32) -> AdmissionRequest {
    AdmissionRequest {
        priority,
        amount_per_task: cpus(cpu),
        tasks: count,
        all_or_nothing: false,
        yields_quota: false,
    }
}

/// A low-priority array of 5,000 tasks uses the whole quota when a service of the same team
/// arrives.
#[test]
fn admits_tasks_after_preempting_lower_priority() {
    let service = request(Priority::Production, 2000, 3);
    let array = request(Priority::Low, 1000, 5000);
    let mut a = Admission::new(quota_status(10_000, 10_000, [10_000, 0, 0, 0]));
    let got = a.admit(&service);
    assert_eq!((got.now, got.after_preemption, got.launchable), (0, 3, 0), "{got:?}");
    let got = a.admit(&array);
    assert_eq!((got.now, got.after_preemption), (0, 0), "preempted quota is not admitted again");
    let mut a = Admission::new(quota_status(10_000, 10_000, [3000, 0, 0, 0]));
    assert_eq!(a.admit(&service).now, 3);
    assert_eq!(a.admit(&array).now, 1);
}

#[test]
fn reserves_quota_for_gang_unless_it_yields() {
    let gang = AdmissionRequest { all_or_nothing: true, ..request(Priority::Normal, 3000, 2) };
    let array = request(Priority::Low, 1000, 50);
    let free = quota_status(5000, 5000, [0; 4]);
    let mut a = Admission::new(free);
    assert_eq!((a.admit(&gang).after_preemption, a.admit(&array).now), (0, 0));
    let mut a = Admission::new(free);
    let got = a.admit(&AdmissionRequest { yields_quota: true, ..gang });
    assert_eq!((got.now, a.admit(&array).now), (0, 5));
    // The gang would be admitted after preemption, so it is worth an instance.
    let mut a = Admission::new(quota_status(6000, 6000, [6000, 0, 0, 0]));
    let got = a.admit(&AdmissionRequest { yields_quota: true, ..gang });
    assert_eq!((got.now, got.after_preemption, got.launchable), (0, 2, 2));
}

/// A coordinator of the model, with its usage, demand and grant.
#[derive(Clone, Debug, Default)]
struct ModelCoordinator {
    epoch: u64,
    serial: u64,
    used: [u64; 4],
    wanted: [u64; 4],
    /// The epoch of the team's shard under which the grant was made, and the granted amount.
    grant: Option<(u64, QuotaAmount)>,
    /// Earlier reports, which may arrive again.
    sent: Vec<(u64, (u64, u64, TeamUsage))>,
}

impl ModelCoordinator {
    fn sum(&self) -> u64 {
        self.used.iter().sum()
    }

    fn usage(&self) -> TeamUsage {
        let mut u = TeamUsage::of(0);
        u.used = self.used.map(cpus);
        u.wanted = self.wanted.map(cpus);
        for (p, first) in u.first.iter_mut().enumerate() {
            let need = cpus(self.wanted[p].min(700));
            *first = (self.wanted[p] > 0).then_some(FirstInQueue { need, waited_ms: self.serial });
        }
        u
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// A coordinator reports; the flags say whether the report and its answer arrive.
    Report(usize, bool, bool),
    /// An earlier report arrives again.
    Duplicate(usize, usize),
    /// A coordinator starts as much as its grant allows at this priority.
    Start(usize, usize),
    /// A coordinator's usage at this priority decreases by this amount.
    Release(usize, usize, u64),
    /// A coordinator's demand at this priority becomes this amount.
    SetDemand(usize, usize, u64),
    /// The coordinator's shard gets a new owner; its usage stays.
    CoordinatorFailover(usize),
    /// The team's shard gets a new owner.
    TeamShardFailover,
}

fn step() -> impl Strategy<Value = Step> {
    let c = 0..3usize;
    let p = 0..4usize;
    prop_oneof![
        6 => (c.clone(), prop::bool::weighted(0.9), prop::bool::weighted(0.8))
            .prop_map(|(c, a, b)| Step::Report(c, a, b)),
        1 => (c.clone(), 0..20usize).prop_map(|(c, n)| Step::Duplicate(c, n)),
        6 => (c.clone(), p.clone()).prop_map(|(c, p)| Step::Start(c, p)),
        3 => (c.clone(), p.clone(), 0..900u64).prop_map(|(c, p, n)| Step::Release(c, p, n)),
        3 => (c.clone(), p, 0..1500u64).prop_map(|(c, p, n)| Step::SetDemand(c, p, n)),
        1 => c.prop_map(Step::CoordinatorFailover),
        1 => Just(Step::TeamShardFailover),
    ]
}

/// The team's shard and three coordinators, with lost, late and duplicate messages and new owners.
struct Model {
    quota: u64,
    manager: QuotaManager,
    owner: u64,
    now: Timestamp,
    coordinators: Vec<ModelCoordinator>,
}

impl Model {
    fn new(quota: u64) -> Model {
        let manager = Model::new_manager(quota);
        Model {
            quota,
            manager,
            owner: 1,
            now: 0,
            coordinators: vec![ModelCoordinator::default(); 3],
        }
    }

    fn new_manager(quota: u64) -> QuotaManager {
        QuotaManager::new(Shard(0), &[team(quota as f64 / 1000.0, 0.0)], 3)
    }

    fn receive(&mut self, c: usize, r: (u64, u64, TeamUsage)) -> Option<QuotaAmount> {
        let g = self.manager.report(self.now, Shard(c as u8), Epoch(r.0), r.1, &[r.2])?;
        g.first().map(|g| g.granted)
    }

    fn report(&mut self, c: usize, arrives: bool, answered: bool) {
        let coordinator = &mut self.coordinators[c];
        coordinator.serial += 1;
        coordinator.grant = None;
        let r = (coordinator.epoch, coordinator.serial, coordinator.usage());
        coordinator.sent.push((self.owner, r));
        if arrives {
            let may = self.receive(c, r);
            if answered {
                self.coordinators[c].grant = may.map(|m| (self.owner, m));
            }
        }
    }

    fn apply(&mut self, step: &Step) {
        self.now += 100;
        match *step {
            Step::Report(c, arrives, answered) => self.report(c, arrives, answered),
            Step::Duplicate(c, n) => {
                let sent = &self.coordinators[c].sent;
                let again = sent.get(sent.len().saturating_sub(n + 1)).copied();
                // Messages carry the epochs of sender and receiver, so a new owner receives no
                // earlier ones. The answer is ignored, since the serial is old.
                if let Some((_, r)) = again.filter(|a| a.0 == self.owner) {
                    self.receive(c, r);
                }
            }
            Step::Start(c, p) => {
                let owner = self.owner;
                let coordinator = &mut self.coordinators[c];
                if let Some((_, may)) = coordinator.grant.filter(|g| g.0 == owner) {
                    let n = may.cpu.saturating_sub(coordinator.sum()).min(coordinator.wanted[p]);
                    coordinator.used[p] += n;
                    coordinator.wanted[p] -= n;
                }
            }
            Step::Release(c, p, n) => {
                let used = &mut self.coordinators[c].used[p];
                *used = used.saturating_sub(n);
            }
            Step::SetDemand(c, p, n) => self.coordinators[c].wanted[p] = n,
            Step::CoordinatorFailover(c) => {
                let coordinator = &mut self.coordinators[c];
                coordinator.epoch += 1;
                coordinator.serial = 0;
                coordinator.grant = None;
            }
            Step::TeamShardFailover => {
                self.owner += 1;
                self.manager = Model::new_manager(self.quota);
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
    fn usage_never_exceeds_quota(
        quota in 500..4000u64,
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut model = Model::new(quota);
        for step in &steps {
            model.apply(step);
            prop_assert!(model.total() <= quota, "{} of {quota} after {step:?}", model.total());
        }
    }

    /// After any sequence of steps: once reports and answers arrive again, free quota is granted to
    /// a coordinator with demand within two seconds.
    #[test]
    fn free_quota_is_granted_after_recovery(
        quota in 500..4000u64,
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut model = Model::new(quota);
        for step in &steps {
            model.apply(step);
        }
        let asks: u64 = model.coordinators.iter().flat_map(|c| c.wanted).sum();
        // Free quota is reserved until it covers a first job, which needs at most this much in the
        // model.
        prop_assume!(asks > 0 && quota - model.total() >= 700);
        let before = model.total();
        for _ in 0..5 {
            for c in 0..3 {
                model.apply(&Step::Report(c, true, true));
                for p in (0..4).rev() {
                    model.apply(&Step::Start(c, p));
                }
            }
        }
        prop_assert!(model.total() > before, "none of the free {} is granted: {:?}", quota - before, model.coordinators);
    }

    /// Admission never exceeds the grant, whatever the jobs.
    #[test]
    fn admission_stays_within_grant(
        may in 0..9000u64, due in 0..9000u64, used in prop::array::uniform4(0..3000u64),
        jobs in prop::collection::vec((0..4usize, 1..900u64, 1..9u32, any::<bool>()), 1..20),
    ) {
        let mut a = Admission::new(quota_status(may, due, used));
        let mut taken = used.iter().sum::<u64>();
        let started = taken;
        let mut jobs = jobs;
        jobs.sort_by_key(|j| std::cmp::Reverse(j.0));
        for (p, cpu, count, whole) in jobs {
            let priority =
                [Priority::Low, Priority::Normal, Priority::High, Priority::Production][p];
            let got = a.admit(&AdmissionRequest { all_or_nothing: whole, ..request(priority, cpu, count) });
            prop_assert!(got.after_preemption <= count && got.now <= got.after_preemption);
            prop_assert!(!whole || got.now == 0 || got.now == count);
            taken += cpu * u64::from(got.now);
            prop_assert!(taken == started || taken <= may);
        }
    }
}

#[cfg(feature = "guards")]
#[test]
fn tests_fail_without_their_guards() {
    use crate::guards::{assert_fails_without, Guard};
    assert_fails_without(Guard::GrantsAwaitAllReports, grants_stay_within_quota_and_await_reports);
    assert_fails_without(Guard::GrantsCountOtherShares, grants_stay_within_quota_and_await_reports);
}
