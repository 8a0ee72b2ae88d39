use super::*;
use leaddeal_wire::user::Priority;

fn claim(job: u64, until: Timestamp, patient: bool) -> Reservation {
    let rank = |due| (std::cmp::Reverse(Priority::Normal), 0, due, JobId(due));
    Reservation { job: JobId(job), need: Resources::default(), until, patient, rank: Some(rank(5)) }
}

/// Found on a grown deployment: gangs that each held some machines all stood still.
#[test]
fn set_aside_room_yields_to_older_gangs_only() {
    let rank = |due| (std::cmp::Reverse(Priority::Normal), 0, due, JobId(due));
    let claim = |patient| claim(5, 9, patient);
    assert!(!claim(true).bars(JobId(4), Some(rank(4))), "an older gang takes it");
    assert!(claim(true).bars(JobId(6), Some(rank(6))));
    assert!(claim(true).bars(JobId(4), None), "other work does not");
    assert!(!claim(true).bars(JobId(5), Some(rank(5))));
    assert!(claim(false).bars(JobId(4), Some(rank(4))), "tasks were stopped for it");
}

#[test]
fn claims_are_found_by_machine_and_by_job_until_they_end() {
    let mut all = Reservations::default();
    let (a, b) = (MachineIdx(1), MachineIdx(2));
    for (m, job, until) in [(a, 1, 10), (a, 2, 20), (b, 1, 30), (b, 1, 10)] {
        all.add(m, claim(job, until, true));
    }
    let rank = (std::cmp::Reverse(Priority::Normal), 1, 900, JobId(1));
    all.prolong(JobId(1), Some(rank), 25, |m| m == a);
    let first = (std::cmp::Reverse(Priority::Normal), 0, 905, JobId(7));
    let of = |c: &&Reservation| c.job == JobId(1);
    let late = all.on(a).iter().find(of).expect("a claim");
    assert!(!late.bars(JobId(7), Some(first)), "it missed an aim: who is first now may");
    all.expire(15);
    assert_eq!((all.count(JobId(1)), all.on(a).len(), all.on(b).len()), (2, 2, 1));
    all.give_up(JobId(1), a);
    assert_eq!((all.count(JobId(1)), all.on(b).len()), (1, 1));
    all.expire(30);
    assert_eq!((all.count(JobId(1)), all.count(JobId(2))), (0, 0));
    assert!(all.on(a).is_empty() && all.on(b).is_empty());
}
