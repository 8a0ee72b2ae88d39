use super::*;
use crate::ids::{Attempt, Epoch};
use leaddeal_wire::mesh::TaskPhase;
use leaddeal_wire::worker::{CommandKind, ExitReason, TaskState, WorkerHeartbeat};

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
    let mut machine = Machine::new(1000);
    assert!(machine.apply_heartbeat(&report(1, 5), Epoch(5), HeartbeatKind::Periodic, 2000));
    let first = machine.lease_over_at(8000, 0);
    assert!(machine.apply_heartbeat(
        &report(2, 5),
        Epoch(5),
        HeartbeatKind::CommandResponse,
        first - 10
    ));
    assert!(machine.lease_over_at(8000, 0) >= first - 10 + 8000, "it may have begun just now");
}

/// A machine that lost power for a moment has a worker that knows no token: previous owners of its
/// shard may answer it again, and its lease is counted accordingly.
#[test]
fn a_worker_that_forgot_our_token_is_not_sure_to_heed_us_alone() {
    let mut machine = Machine::new(0);
    machine.apply_heartbeat(&report(1, 5), Epoch(5), HeartbeatKind::Periodic, 1000);
    assert!(machine.token_confirmed);
    machine.apply_heartbeat(&report(2, 0), Epoch(5), HeartbeatKind::Periodic, 2000);
    assert!(!machine.token_confirmed && machine.lease_over_at(8000, 40_000) > 48_000);
}

/// Our token came with a command, which grants nothing; an older owner may have answered the worker until
/// then.
#[test]
fn a_worker_that_shows_our_token_at_last_may_have_been_answered_until_then() {
    let mut machine = Machine::new(0);
    // A copy of a report from before the takeover: answered, but nobody waits for that.
    assert!(
        machine.awaits_response(&report(1, 4))
            && machine.apply_heartbeat(&report(1, 4), Epoch(5), HeartbeatKind::Periodic, 1000)
    );
    machine.lease_granted_at = 1000;
    let shown = WorkerHeartbeat { seq: 9, ..report(1, 5) };
    assert!(machine.apply_heartbeat(&shown, Epoch(5), HeartbeatKind::CommandResponse, 4000));
    assert!(
        machine.token_confirmed && machine.lease_over_at(8000, 90_000) >= 12_000,
        "it counts from our last answer"
    );
}

/// Guards a cancelled job's task against an owner whose lease is uncertain.
#[test]
fn in_doubt_nothing_is_started_and_stops_go_on() {
    let mut machine = Machine::new(0);
    machine.incarnation = 1;
    let key = |task| AttemptKey { job: JobId(7), task, attempt: Attempt(9) };
    machine.tasks.insert(key(0), TaskOnMachine::new(None, TaskPhase::Decided, 1));
    let mut runs = TaskOnMachine::new(None, TaskPhase::On(TaskState::Running), 1);
    runs.stop = Some(StopRequest { grace_s: 0.0, since: 0 });
    machine.tasks.insert(key(1), runs);
    let ops = |machine: &mut Machine, lease| -> Vec<(CommandKind, u32)> {
        machine.response_commands(0, 9, lease).iter().map(|o| (o.op, o.task.task)).collect()
    };
    assert_eq!(ops(&mut machine, OwnerLease::Uncertain), [(CommandKind::Stop, 1)]);
    assert_eq!(
        ops(&mut machine, OwnerLease::Valid),
        [(CommandKind::Start, 0), (CommandKind::Stop, 1)]
    );
}

/// What an owner before us decided is kept if it is there, and what was offered in another incarnation of
/// the worker does not belong to this one.
#[test]
fn only_what_was_decided_here_for_this_session_is_started() {
    let starts = |adopted, incarnation| {
        let mut machine = Machine::new(0);
        machine.incarnation = 2;
        let task =
            TaskOnMachine { adopted, ..TaskOnMachine::new(None, TaskPhase::Decided, incarnation) };
        machine.tasks.insert(AttemptKey { job: JobId(7), task: 0, attempt: Attempt(9) }, task);
        machine.response_commands(0, 9, OwnerLease::Valid).len()
            + machine.direct_commands(1, 9).len()
    };
    assert_eq!((starts(true, 2), starts(false, 1)), (0, 0));
    assert_eq!(starts(false, 2), 1, "named in an answer, it is not commanded besides");
}

/// A direct copy of its start may come yet, which would start anew what was forgotten.
#[test]
fn nothing_is_forgotten_while_its_start_is_under_way() {
    let forgets = |direct| {
        let mut machine = Machine::new(0);
        machine.incarnation = 1;
        let ended = TaskOnMachine::new(None, TaskPhase::Exited(ExitReason::Done, false), 1);
        let task =
            TaskOnMachine { end_acknowledged: true, reported: true, direct_batch: direct, ..ended };
        machine.tasks.insert(AttemptKey { job: JobId(7), task: 0, attempt: Attempt(9) }, task);
        machine.response_commands(0, 9, OwnerLease::Valid).len()
    };
    assert_eq!((forgets(Some(3)), forgets(None)), (0, 1));
}

#[cfg(feature = "guards")]
#[test]
fn tests_fail_without_their_guards() {
    use crate::guards::{assert_fails_without, Guard};
    assert_fails_without(
        Guard::LeaseCountedFromTokenConfirmation,
        a_worker_that_shows_our_token_at_last_may_have_been_answered_until_then,
    );
    assert_fails_without(Guard::LeasePerIncarnation, a_new_session_has_a_lease_of_its_own);
    assert_fails_without(Guard::StartNeedsValidLease, in_doubt_nothing_is_started_and_stops_go_on);
    assert_fails_without(Guard::StopIgnoresLease, in_doubt_nothing_is_started_and_stops_go_on);
    assert_fails_without(
        Guard::AdoptedTaskNotStarted,
        only_what_was_decided_here_for_this_session_is_started,
    );
    assert_fails_without(
        Guard::StartBoundToIncarnation,
        only_what_was_decided_here_for_this_session_is_started,
    );
    assert_fails_without(
        Guard::StartInFlightRemembered,
        nothing_is_forgotten_while_its_start_is_under_way,
    );
}
