use super::*;
use leaddeal_wire::user::Priority;
use std::cmp::Reverse;

fn rank_of(job: u64, missed_objectives: u8, due_at: Timestamp) -> QueueRank {
    QueueRank { priority: Reverse(Priority::Normal), missed_objectives, due_at, job: JobId(job) }
}

/// Returns the rank of a job that missed no objective and whose number equals `due_at`.
fn rank(due_at: Timestamp) -> QueueRank {
    rank_of(due_at, 0, due_at)
}

fn reservation(job: u64, expires_at: Timestamp, is_waiting: bool) -> Reservation {
    let need = Resources::default();
    Reservation { job: JobId(job), need, expires_at, is_waiting, rank: Some(rank(5)) }
}

/// Guards against a deadlock of gangs that each have a reservation on some of the machines.
#[test]
fn waiting_reservation_yields_to_earlier_gangs_only() {
    let reservation = |is_waiting| reservation(5, 9, is_waiting);
    assert!(
        !reservation(true).blocks(JobId(4), Some(rank(4))),
        "a gang served before takes the capacity"
    );
    assert!(reservation(true).blocks(JobId(6), Some(rank(6))));
    assert!(reservation(true).blocks(JobId(4), None), "work outside the queue does not");
    assert!(!reservation(true).blocks(JobId(5), Some(rank(5))));
    assert!(
        reservation(false).blocks(JobId(4), Some(rank(4))),
        "tasks were preempted for the reservation"
    );
}

#[test]
fn indexes_reservations_until_they_expire() {
    let mut reservations = Reservations::default();
    let (a, b) = (MachineIdx(1), MachineIdx(2));
    for (m, job, until) in [(a, 1, 10), (a, 2, 20), (b, 1, 30), (b, 1, 10)] {
        reservations.add(m, reservation(job, until, true));
    }
    let rank = rank_of(1, 1, 900);
    reservations.extend_waiting(JobId(1), Some(rank), 25, |m| m == a);
    let first = rank_of(7, 0, 905);
    let of_job = |c: &&Reservation| c.job == JobId(1);
    let reservation = reservations.on(a).iter().find(of_job).expect("a reservation");
    assert!(
        !reservation.blocks(JobId(7), Some(first)),
        "the job missed an objective, so the gang that is first now may use the capacity"
    );
    reservations.expire(15);
    assert_eq!(
        (reservations.count(JobId(1)), reservations.on(a).len(), reservations.on(b).len()),
        (2, 2, 1)
    );
    reservations.remove_one(JobId(1), a);
    assert_eq!((reservations.count(JobId(1)), reservations.on(b).len()), (1, 1));
    reservations.expire(30);
    assert_eq!((reservations.count(JobId(1)), reservations.count(JobId(2))), (0, 0));
    assert!(reservations.on(a).is_empty() && reservations.on(b).is_empty());
}
