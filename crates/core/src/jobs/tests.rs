use super::*;
use crate::ids::{Attempt, MachineIdx, Timestamp, ZoneIdx};
use crate::names::Names;
use crate::placed::Placement;
use leaddeal_wire::settings::Objective;
use leaddeal_wire::user::{JobKind, Priority};

#[test]
fn a_gang_waits_for_one_zone_until_that_has_nothing() {
    let mut names = Names::default();
    let mut job = Job::tombstone(JobId(7), &mut names);
    job.wire = user::Job {
        class: "c".into(),
        kind: JobKind::Gang,
        priority: Priority::Normal,
        tasks: 4,
        one_zone: true,
        ..job.wire
    };
    assert!(
        !job.queue_position(0).expect("a gang's").blocks_gangs_behind,
        "asks for the first time"
    );
    let room = [4, 4, 4];
    job.backoff.failed_tries = 1;
    job.choose_target_zone(&[0, 2, 1], &room);
    assert_eq!(job.target_zone, Some(ZoneIdx(1)));
    job.choose_target_zone(&[3, 1, 0], &room);
    assert_eq!(job.target_zone, Some(ZoneIdx(1)), "what is kept for it there is not kept in vain");
    assert!(job.queue_position(0).expect("a gang's").blocks_gangs_behind);
    job.choose_target_zone(&[3, 0, 0], &room);
    assert_eq!(job.target_zone, Some(ZoneIdx(0)));
    job.wire.tasks = 1;
    job.choose_target_zone(&[0, 0, 0], &room);
    assert_eq!(job.target_zone, None, "a lone task needs no zone to itself");
    assert!(!job.queue_position(0).expect("a gang's").blocks_gangs_behind);
}

/// Found by counting: with a fleet that was booting, asking in vain took most of the time.
#[test]
fn a_job_without_room_waits_to_be_told_and_asks_by_itself_less_and_less() {
    let mut names = Names::default();
    let mut job = Job::tombstone(JobId(7), &mut names);
    job.wire.priority = Priority::High;
    let (mut now, mut tries) = (10_000, 0);
    while now < 20_000 {
        assert!(job.record_unmet_demand(now), "it was its own time to try");
        (now, tries) = (job.not_before, tries + 1);
    }
    assert!((12..20).contains(&tries), "{tries} tries in 10 s");
    assert!(job.record_unmet_demand(now));
    job.capacity_freed(now + 10);
    assert_eq!(job.not_before, now + 10, "told of room, it asks at once");
    assert!(!job.record_unmet_demand(now + 20), "which is no try by itself");
    assert!(job.not_before > now + 20);
    job.not_before = now + 5000;
    job.capacity_freed(now + 30);
    assert_eq!(job.not_before, now + 5000, "after failures it waits all the same");
}

#[test]
fn a_job_that_fails_everywhere_is_tried_rarely_and_one_that_met_a_bad_machine_is_not() {
    let mut suspicion = FailureSuspicion::default();
    let at = |suspicion: &mut FailureSuspicion, m, now, before| {
        suspicion.failed(MachineIdx(m), now, before)
    };
    for _ in 0..50 {
        assert_eq!(at(&mut suspicion, 1, 1000, 0), 1200, "all on one machine");
    }
    at(&mut suspicion, 2, 1000, 0);
    let first = at(&mut suspicion, 3, 1000, 0);
    assert!(suspicion.is_suspected() && first > 2000);
    assert_eq!(at(&mut suspicion, 4, 1001, first), first.max(1001 + 2000), "one try, one wait");
    let (mut now, mut tries) = (first, 0);
    while now < 600_000 {
        (now, tries) = (at(&mut suspicion, 5, now, now), tries + 1);
    }
    assert!((10..20).contains(&tries), "{tries} tries in ten minutes, and never given up");
    suspicion.ran_well();
    assert_eq!(at(&mut suspicion, 1, now, now), now + 200);
}

#[test]
fn a_job_of_one_zone_that_may_be_in_two_gets_no_more_tasks() {
    use crate::ids::Shard;
    let mut names = Names::default();
    let mut job = Job::tombstone(JobId(7), &mut names);
    (job.wire.one_zone, job.wire.tasks) = (true, 9);
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

/// Found on a day of our own: of gangs that had missed all aims each took itself for later than
/// all others, so that none was ever first in line.
#[test]
fn gangs_that_missed_all_aims_keep_their_order() {
    let mut names = Names::default();
    let mut job = Job::tombstone(JobId(7), &mut names);
    job.wire.kind = JobKind::Gang;
    // When its turn was, as a participant reckons it from what it is told.
    let turn = |job: &Job, now: Timestamp| {
        let line = job.queue_position(now).expect("a gang's");
        (line.missed_objectives, now.saturating_add_signed(line.time_left_ms))
    };
    let (older, younger) = (1_000_000, 1_005_000);
    for now in [1_100_000, 1_900_000, 3_000_000] {
        job.created = older;
        let first = turn(&job, now);
        job.created = younger;
        assert!(first < turn(&job, now - 900), "asked earlier, and younger all the same");
    }
}

/// A job older than the process must keep its age, or its order and urgency are lost.
#[test]
fn urgency_counts_from_the_submission() {
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
    job.wire.class = "c".into();
    job.latest_starts_ms =
        Objectives::new(&[objective(80.0), objective(350.0)], 0.0).latest_starts_ms(&job.wire);
    job.created = 1_000_000;
    assert_eq!(job.urgency(1_050_000), urgency(0, 1_080_000));
    assert_eq!(job.urgency(1_100_000), urgency(1, 1_350_000));
    // One that has not begun comes first in the end, and then only until it has.
    assert_eq!(job.placement_urgency(1_109_000), job.urgency(1_109_000));
    assert_eq!(job.placement_urgency(1_200_000), urgency(0, 1_110_000));
    job.first_started_at = Some(1_200_000);
    assert_eq!(job.placement_urgency(1_200_000), job.urgency(1_200_000));
    // A large one takes so long to be placed that it is due earlier.
    job.wire.tasks = 25_000;
    job.latest_starts_ms =
        Objectives::new(&[objective(80.0), objective(350.0)], 4.0).latest_starts_ms(&job.wire);
    assert_eq!(job.urgency(1_050_000), urgency(1, 1_250_000));
}

#[cfg(feature = "guards")]
#[test]
fn its_guards_are_missed() {
    use crate::guards::{missed_by, Guard};
    missed_by(Guard::OneZone, a_job_of_one_zone_that_may_be_in_two_gets_no_more_tasks);
    missed_by(Guard::ZoneCounted, a_job_of_one_zone_that_may_be_in_two_gets_no_more_tasks);
}
