use super::*;
use crate::ids::{Attempt, Epoch, MachineIdx, Timestamp, ZoneIdx};
use crate::names::Names;
use crate::placed::Placement;
use leaddeal_wire::settings::Objective;
use leaddeal_wire::user::{JobKind, Priority};

#[test]
fn gang_keeps_target_zone_while_it_offers_capacity() {
    let mut names = Names::default();
    let mut job = Job::tombstone(JobId(7), &mut names);
    job.spec = user::Job {
        class: "c".into(),
        kind: JobKind::Gang,
        priority: Priority::Normal,
        tasks: 4,
        one_zone: true,
        ..job.spec
    };
    assert!(
        !job.queue_position(0).expect("a gang has a position").blocks_gangs_behind,
        "first request"
    );
    let max_per_zone = [4, 4, 4];
    job.backoff.failed_retries = 1;
    job.choose_target_zone(&[0, 2, 1], &max_per_zone);
    assert_eq!(job.target_zone, Some(ZoneIdx(1)));
    job.choose_target_zone(&[3, 1, 0], &max_per_zone);
    assert_eq!(job.target_zone, Some(ZoneIdx(1)), "reservations in the zone are not wasted");
    assert!(job.queue_position(0).expect("a gang has a position").blocks_gangs_behind);
    job.choose_target_zone(&[3, 0, 0], &max_per_zone);
    assert_eq!(job.target_zone, Some(ZoneIdx(0)));
    job.spec.tasks = 1;
    job.choose_target_zone(&[0, 0, 0], &max_per_zone);
    assert_eq!(job.target_zone, None, "a single task needs no target zone");
    assert!(!job.queue_position(0).expect("a gang has a position").blocks_gangs_behind);
}

/// While a fleet was booting, requests that found no capacity took most of the time.
#[test]
fn retries_unmet_demand_with_backoff() {
    let mut names = Names::default();
    let mut job = Job::tombstone(JobId(7), &mut names);
    job.spec.priority = Priority::High;
    let (mut now, mut retries) = (10_000, 0);
    while now < 20_000 {
        assert!(job.record_unmet_demand(now), "a retry by timer");
        (now, retries) = (job.not_before, retries + 1);
    }
    assert!((12..20).contains(&retries), "{retries} retries in 10 s");
    assert!(job.record_unmet_demand(now));
    job.capacity_freed(now + 10);
    assert_eq!(job.not_before, now + 10, "freed capacity causes a retry at once");
    assert!(!job.record_unmet_demand(now + 20), "which is not a retry by timer");
    assert!(job.not_before > now + 20);
    job.not_before = now + 5000;
    job.capacity_freed(now + 30);
    assert_eq!(
        job.not_before,
        now + 5000,
        "freed capacity does not shorten the wait after failures"
    );
}

#[test]
fn backs_off_only_jobs_failing_on_several_machines() {
    let mut suspicion = FailureSuspicion::default();
    let record = |suspicion: &mut FailureSuspicion, m, now, before| {
        suspicion.record_failure(MachineIdx(m), now, before)
    };
    for _ in 0..50 {
        assert_eq!(record(&mut suspicion, 1, 1000, 0), 1200, "all failures on one machine");
    }
    record(&mut suspicion, 2, 1000, 0);
    let first = record(&mut suspicion, 3, 1000, 0);
    assert!(suspicion.is_suspected() && first > 2000);
    assert_eq!(
        record(&mut suspicion, 4, 1001, first),
        first.max(1001 + 2000),
        "tasks started together count as one retry"
    );
    let (mut now, mut retries) = (first, 0);
    while now < 600_000 {
        (now, retries) = (record(&mut suspicion, 5, now, now), retries + 1);
    }
    assert!((10..20).contains(&retries), "{retries} retries in ten minutes, without an end");
    suspicion.record_good_run();
    assert_eq!(record(&mut suspicion, 1, now, now), now + 200);
}

#[test]
fn single_zone_job_in_two_zones_gets_no_tasks() {
    use crate::ids::Shard;
    let mut names = Names::default();
    let mut job = Job::tombstone(JobId(7), &mut names);
    (job.spec.one_zone, job.spec.tasks) = (true, 9);
    let zones = ["a", "b", "c"].map(String::from);
    let placement = |zone| Placement {
        attempt: Attempt(1),
        machine: MachineIdx(0),
        participant: Shard(0),
        incarnation: 1,
        zone: ZoneIdx(zone),
        phase: mesh::TaskPhase::Decided,
        round: 1,
        placed_at: 0,
        sent_at: 0,
        sent_to: Epoch(0),
        reported_by: Epoch(0),
        awaits_report: false,
        stop: None,
        adopted: true,
        quota: None,
    };
    assert_eq!(job.max_per_zone(&zones), [9, 9, 9]);
    job.placed.insert(0, placement(1));
    assert_eq!(job.max_per_zone(&zones), [0, 9, 0]);
    job.placed.insert(3, placement(0));
    assert_eq!(job.max_per_zone(&zones), [0, 0, 0]);
    job.placed.remove(3);
    assert_eq!(job.max_per_zone(&zones), [0, 9, 0]);
}

/// Gangs that had missed all objectives must not each count as later than all others, since then no
/// gang is ever first in the queue. This happened in a simulated day.
#[test]
fn gangs_without_remaining_objectives_keep_order() {
    let mut names = Names::default();
    let mut job = Job::tombstone(JobId(7), &mut names);
    job.spec.kind = JobKind::Gang;
    // The due time as a participant computes it from the gang's queue position.
    let late_and_due = |job: &Job, now: Timestamp| {
        let position = job.queue_position(now).expect("a gang has a position");
        (position.missed_objectives, now.saturating_add_signed(position.time_left_ms))
    };
    let (older, younger) = (1_000_000, 1_005_000);
    for now in [1_100_000, 1_900_000, 3_000_000] {
        job.submitted_at = older;
        let first = late_and_due(&job, now);
        job.submitted_at = younger;
        assert!(first < late_and_due(&job, now - 900), "requested earlier, but submitted later");
    }
}

/// A job that was submitted before the process started must keep its age, since its order and
/// urgency depend on it.
#[test]
fn urgency_counts_from_submission() {
    let mut names = Names::default();
    let mut job = Job::tombstone(JobId(7), &mut names);
    let objective = |within_s| Objective {
        kind: "wait".into(),
        class: "c".into(),
        within_s: Some(within_s),
        share: Some(0.9),
        times: None,
    };
    let urgency = |missed_objectives, due| Urgency { missed_objectives, due };
    job.spec.class = "c".into();
    job.latest_starts_ms =
        Objectives::new(&[objective(80.0), objective(350.0)], 0.0).latest_starts_ms(&job.spec);
    job.submitted_at = 1_000_000;
    assert_eq!(job.urgency(1_050_000), urgency(0, 1_080_000));
    assert_eq!(job.urgency(1_100_000), urgency(1, 1_350_000));
    // A job that has waited too long for its first start comes first until it starts.
    assert_eq!(job.placement_urgency(1_109_000), job.urgency(1_109_000));
    assert_eq!(job.placement_urgency(1_200_000), urgency(0, 1_110_000));
    job.first_started_at = Some(1_200_000);
    assert_eq!(job.placement_urgency(1_200_000), job.urgency(1_200_000));
    // A large job takes longer to be placed, so it is due earlier.
    job.spec.tasks = 25_000;
    job.latest_starts_ms =
        Objectives::new(&[objective(80.0), objective(350.0)], 4.0).latest_starts_ms(&job.spec);
    assert_eq!(job.urgency(1_050_000), urgency(1, 1_250_000));
}

#[cfg(feature = "guards")]
#[test]
fn tests_fail_without_their_guards() {
    use crate::guards::{assert_fails_without, Guard};
    assert_fails_without(Guard::NoTasksWhileInTwoZones, single_zone_job_in_two_zones_gets_no_tasks);
    assert_fails_without(
        Guard::PossibleTasksCountedInZone,
        single_zone_job_in_two_zones_gets_no_tasks,
    );
}
