use super::*;

fn report(incarnation: u64, token: u64) -> WorkerHeartbeat {
    WorkerHeartbeat {
        machine: "n-000001".into(),
        addr: String::new(),
        type_name: "small".into(),
        zone: "a".into(),
        spot: false,
        incarnation,
        seq: 1,
        token,
        notice_s: None,
        tasks: Vec::new(),
    }
}

#[test]
fn a_new_session_has_a_lease_of_its_own() {
    let mut m = Machine::new(1000);
    assert!(m.apply(&report(1, 5), Epoch(5), true, 2000));
    let first = m.lease_over_at(8000, 0);
    assert!(m.apply(&report(2, 5), Epoch(5), false, first - 10));
    assert!(m.lease_over_at(8000, 0) >= first - 10 + 8000, "it may have begun just now");
}

/// A machine that lost power for a moment has a worker that knows no token: whoever owned its shard
/// before may answer it again, and its lease is counted so.
#[test]
fn a_worker_that_forgot_our_token_is_not_sure_to_heed_us_alone() {
    let mut m = Machine::new(0);
    m.apply(&report(1, 5), Epoch(5), true, 1000);
    assert!(m.confirmed);
    m.apply(&report(2, 0), Epoch(5), true, 2000);
    assert!(!m.confirmed && m.lease_over_at(8000, 40_000) > 48_000);
}

/// Our token came with a command, which grants nothing; an older owner may have answered the worker until
/// then.
#[test]
fn a_worker_that_shows_our_token_at_last_may_have_been_answered_until_then() {
    let mut m = Machine::new(0);
    // A copy of a report from before the takeover: answered, but nobody waits for that.
    assert!(m.waits(&report(1, 4)) && m.apply(&report(1, 4), Epoch(5), true, 1000));
    m.granted = 1000;
    let shown = WorkerHeartbeat { seq: 9, ..report(1, 5) };
    assert!(m.apply(&shown, Epoch(5), false, 4000));
    assert!(
        m.confirmed && m.lease_over_at(8000, 90_000) >= 12_000,
        "it counts from our last answer"
    );
}

/// Guards a cancelled job's task against an owner whose lease is in doubt.
#[test]
fn in_doubt_nothing_is_started_and_stops_go_on() {
    let mut m = Machine::new(0);
    m.incarnation = 1;
    let key = |task| (JobId(7), task, Attempt(9));
    m.tasks.insert(key(0), TaskOnMachine::new(None, TaskPhase::Decided, 1));
    let mut runs = TaskOnMachine::new(None, TaskPhase::On(TaskState::Running), 1);
    runs.stop = Some(StopRequest { grace_s: 0.0, since: 0 });
    m.tasks.insert(key(1), runs);
    let ops = |m: &mut Machine, starts| -> Vec<(CommandKind, u32)> {
        m.orders(0, 9, starts).iter().map(|o| (o.op, o.task.task)).collect()
    };
    assert_eq!(ops(&mut m, false), [(CommandKind::Stop, 1)]);
    assert_eq!(ops(&mut m, true), [(CommandKind::Start, 0), (CommandKind::Stop, 1)]);
}

/// What an owner before us decided is kept if it is there, and what was offered in another session of the
/// worker is none of this one's.
#[test]
fn only_what_was_decided_here_for_this_session_is_started() {
    let starts = |adopted, incarnation| {
        let mut m = Machine::new(0);
        m.incarnation = 2;
        let task =
            TaskOnMachine { adopted, ..TaskOnMachine::new(None, TaskPhase::Decided, incarnation) };
        m.tasks.insert((JobId(7), 0, Attempt(9)), task);
        m.orders(0, 9, true).len() + m.direct_orders(1, 9).len()
    };
    assert_eq!((starts(true, 2), starts(false, 1)), (0, 0));
    assert_eq!(starts(false, 2), 1, "named in an answer, it is not commanded besides");
}

/// A direct copy of its start may come yet, which would start anew what was forgotten.
#[test]
fn nothing_is_forgotten_while_its_start_is_under_way() {
    let forgets = |direct| {
        let mut m = Machine::new(0);
        m.incarnation = 1;
        let ended = TaskOnMachine::new(None, TaskPhase::Exited(ExitReason::Done, false), 1);
        let task = TaskOnMachine { acked: true, listed: true, direct, ..ended };
        m.tasks.insert((JobId(7), 0, Attempt(9)), task);
        m.orders(0, 9, true).len()
    };
    assert_eq!((forgets(Some(3)), forgets(None)), (0, 1));
}

#[cfg(feature = "guards")]
#[test]
fn its_guards_are_missed() {
    use crate::guards::{missed_by, Guard};
    missed_by(
        Guard::FirstSight,
        a_worker_that_shows_our_token_at_last_may_have_been_answered_until_then,
    );
    missed_by(Guard::SessionLease, a_new_session_has_a_lease_of_its_own);
    missed_by(Guard::DoubtStarts, in_doubt_nothing_is_started_and_stops_go_on);
    missed_by(Guard::DoubtStops, in_doubt_nothing_is_started_and_stops_go_on);
    missed_by(Guard::Adopted, only_what_was_decided_here_for_this_session_is_started);
    missed_by(Guard::OfferSession, only_what_was_decided_here_for_this_session_is_started);
    missed_by(Guard::ForgetLater, nothing_is_forgotten_while_its_start_is_under_way);
}
