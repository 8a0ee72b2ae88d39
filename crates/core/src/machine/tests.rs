use super::*;
use crate::ids::{Attempt, Epoch};
use leaddeal_wire::mesh::TaskPhase;
use leaddeal_wire::worker::{CommandKind, ExitReason, TaskState, WorkerHeartbeat};

fn heartbeat(incarnation: u64, token: u64) -> WorkerHeartbeat {
    WorkerHeartbeat {
        machine: "n-000001".into(),
        addr: String::new(),
        type_name: "small".into(),
        zone: "a".into(),
        spot: false,
        incarnation,
        seq: 1,
        token,
        interruption_notice_s: None,
        tasks: Vec::new(),
    }
}

#[test]
fn new_incarnation_starts_a_new_lease() {
    let mut machine = Machine::new(1000);
    assert!(machine.apply_heartbeat(&heartbeat(1, 5), Epoch(5), HeartbeatKind::Periodic, 2000));
    let first = machine.lease_surely_expired_at(8000, 0);
    assert!(machine.apply_heartbeat(
        &heartbeat(2, 5),
        Epoch(5),
        HeartbeatKind::CommandResponse,
        first - 10
    ));
    assert!(
        machine.lease_surely_expired_at(8000, 0) >= first - 10 + 8000,
        "the incarnation may have started just now"
    );
}

/// After a power loss of its machine a worker knows no fencing token. Previous owners of the shard
/// may renew its lease again, so the lease must be counted from when they may last have done so.
#[test]
fn lease_counts_previous_owners_after_token_loss() {
    let mut machine = Machine::new(0);
    machine.apply_heartbeat(&heartbeat(1, 5), Epoch(5), HeartbeatKind::Periodic, 1000);
    assert!(machine.token_confirmed);
    machine.apply_heartbeat(&heartbeat(2, 0), Epoch(5), HeartbeatKind::Periodic, 2000);
    assert!(!machine.token_confirmed && machine.lease_surely_expired_at(8000, 40_000) > 48_000);
}

/// The worker learned our token from a command, which does not renew its lease. A previous owner may
/// have responded to the worker until then, so the lease must count from then on.
#[test]
fn first_report_of_token_restarts_lease() {
    let mut machine = Machine::new(0);
    // A copy of a heartbeat from before the failover: it gets a response, but nobody waits for it.
    assert!(
        machine.awaits_response(&heartbeat(1, 4))
            && machine.apply_heartbeat(&heartbeat(1, 4), Epoch(5), HeartbeatKind::Periodic, 1000)
    );
    machine.lease_granted_at = 1000;
    let shown = WorkerHeartbeat { seq: 9, ..heartbeat(1, 5) };
    assert!(machine.apply_heartbeat(&shown, Epoch(5), HeartbeatKind::CommandResponse, 4000));
    assert!(
        machine.token_confirmed && machine.lease_surely_expired_at(8000, 90_000) >= 12_000,
        "the lease counts from the first report of the token"
    );
}

/// An owner whose lease is uncertain could otherwise start a task of a job that was cancelled under a
/// newer owner.
#[test]
fn uncertain_lease_sends_stops_but_no_starts() {
    let mut machine = Machine::new(0);
    machine.incarnation = 1;
    let key = |task| AttemptKey { job: JobId(7), task, attempt: Attempt(9) };
    machine.tasks.insert(key(0), TaskOnMachine::new(None, TaskPhase::Decided, 1));
    let mut running = TaskOnMachine::new(None, TaskPhase::On(TaskState::Running), 1);
    running.stop = Some(StopRequest { grace_s: 0.0, since: 0 });
    machine.tasks.insert(key(1), running);
    let sent = |machine: &mut Machine, lease| -> Vec<(CommandKind, u32)> {
        machine
            .response_commands(0, 9, lease)
            .iter()
            .map(|command| (command.kind, command.task.task))
            .collect()
    };
    assert_eq!(sent(&mut machine, OwnerLease::Uncertain), [(CommandKind::Stop, 1)]);
    assert_eq!(
        sent(&mut machine, OwnerLease::Valid),
        [(CommandKind::Start, 0), (CommandKind::Stop, 1)]
    );
}

/// An attempt that was decided by a previous owner is kept if it is on the machine, but never started.
/// An attempt that was decided for another incarnation of the worker is not started in this one.
#[test]
fn starts_only_own_decisions_for_this_incarnation() {
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
    assert_eq!(starts(false, 2), 1, "a start in a heartbeat response is not also sent directly");
}

/// A start command that was sent directly may arrive late. If the worker had forgotten the attempt by
/// then, it would start it again.
#[test]
fn keeps_attempt_while_its_start_is_in_flight() {
    let forgets = |direct_batch| {
        let mut machine = Machine::new(0);
        machine.incarnation = 1;
        let ended = TaskOnMachine::new(None, TaskPhase::Exited(ExitReason::Done, false), 1);
        let task = TaskOnMachine { end_acknowledged: true, reported: true, direct_batch, ..ended };
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
        first_report_of_token_restarts_lease,
    );
    assert_fails_without(Guard::LeasePerIncarnation, new_incarnation_starts_a_new_lease);
    assert_fails_without(Guard::StartNeedsValidLease, uncertain_lease_sends_stops_but_no_starts);
    assert_fails_without(Guard::StopIgnoresLease, uncertain_lease_sends_stops_but_no_starts);
    assert_fails_without(
        Guard::AdoptedTaskNotStarted,
        starts_only_own_decisions_for_this_incarnation,
    );
    assert_fails_without(
        Guard::StartBoundToIncarnation,
        starts_only_own_decisions_for_this_incarnation,
    );
    assert_fails_without(
        Guard::StartInFlightRemembered,
        keeps_attempt_while_its_start_is_in_flight,
    );
}
