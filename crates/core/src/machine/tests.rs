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

/// Returns a machine with attempts of one job that were started directly under the token 5, and have ended.
fn machine_with_ended_attempts(attempts: u32) -> Machine {
    let mut machine = Machine::new(0);
    (machine.incarnation, machine.token) = (1, 5);
    let ended = TaskOnMachine::new(None, TaskPhase::Exited(ExitReason::Done, false), 1);
    for task in 0..attempts {
        let started = TaskOnMachine { start_token: Some(5), ..ended.clone() };
        let task_on_machine = TaskOnMachine { end_acknowledged: true, reported: true, ..started };
        machine
            .tasks
            .insert(AttemptKey { job: JobId(7), task, attempt: Attempt(9) }, task_on_machine);
    }
    machine
}

/// Guards against a late copy of an answered start: a worker that has forgotten the attempt would start it again.
#[test]
fn forgets_attempt_only_under_newer_token_than_its_start() {
    let mut machine = machine_with_ended_attempts(1);
    let forgets = |machine: &mut Machine| machine.response_commands(0, 9, OwnerLease::Valid).len();
    assert_eq!((machine.raise_token(5), forgets(&mut machine)), (TokenDemand::Unmet, 0));
    machine.direct_batch = Some(3);
    assert_eq!(
        (machine.raise_token(8), machine.token),
        (TokenDemand::Met, 5),
        "a batch is in flight"
    );
    assert_eq!(forgets(&mut machine), 0);
    machine.direct_batch = None;
    assert_eq!((machine.raise_token(8), machine.token), (TokenDemand::Met, 8));
    assert_eq!(forgets(&mut machine), 1);
}

/// A token that no attempt needs would make each worker send a heartbeat for it.
#[test]
fn token_is_raised_only_when_needed() {
    let mut machine = machine_with_ended_attempts(1);
    machine.tasks.values_mut().for_each(|task| task.end_acknowledged = false);
    assert_eq!((machine.raise_token(8), machine.token), (TokenDemand::Met, 5));
}

#[test]
fn ended_attempts_that_await_a_newer_token_are_bounded() {
    let start = AttemptKey { job: JobId(8), task: 0, attempt: Attempt(10) };
    let sent = |retained| {
        let mut machine = machine_with_ended_attempts(retained);
        machine.tasks.insert(start, TaskOnMachine::new(None, TaskPhase::Decided, 1));
        let direct = machine.direct_commands(1, 9).len();
        let in_response = machine.response_commands(0, 9, OwnerLease::Valid).len();
        (direct, in_response)
    };
    assert_eq!(sent(99), (1, 1));
    assert_eq!(sent(100), (0, 1), "started in the response to a heartbeat, which is never late");
}

/// A worker refuses an unanswered start once it has shown a newer token, so that the attempt can no longer start.
#[test]
fn unanswered_start_is_over_once_worker_shows_newer_token() {
    let mut machine = Machine::new(0);
    (machine.incarnation, machine.token) = (1, 5);
    let key = AttemptKey { job: JobId(7), task: 0, attempt: Attempt(9) };
    let mut task = TaskOnMachine::new(None, TaskPhase::Decided, 1);
    task.stop = Some(StopRequest { grace_s: 0.0, since: 0 });
    (task.start_token, task.start_uncertain) = (Some(5), true);
    machine.tasks.insert(key, task);
    let phase_after = |machine: &mut Machine, seq, token| {
        let shown = WorkerHeartbeat { seq, ..heartbeat(1, token) };
        machine.apply_heartbeat(&shown, Epoch(5), HeartbeatKind::Periodic, 1000);
        machine.tasks[&key].phase
    };
    assert_eq!(phase_after(&mut machine, 1, 5), TaskPhase::Decided);
    assert_eq!((machine.raise_token(8), machine.token), (TokenDemand::Met, 8));
    assert_eq!(phase_after(&mut machine, 2, 5), TaskPhase::Decided, "the worker has not seen it");
    assert_eq!(phase_after(&mut machine, 3, 8), TaskPhase::Gone);
    assert!(machine.token_confirmed);
}

#[test]
fn rounds_that_begin_anew_do_not_count_as_removed() {
    let (shard, epoch) = (Shard(1), Epoch(4));
    let mut removed = RemovedAttempts::default();
    removed.record(shard, Attempt::new(epoch, (1 << 20) - 2));
    let is_removed =
        |removed: &RemovedAttempts, round| removed.contains(shard, Attempt::new(epoch, round));
    assert!(is_removed(&removed, (1 << 20) - 3) && !is_removed(&removed, (1 << 20) - 1));
    assert!(!is_removed(&removed, 1 << 20), "the first round of the next cycle");
    removed.record(shard, Attempt::new(epoch, 1 << 20));
    removed.record(shard, Attempt::new(epoch, (1 << 20) - 5));
    assert!(is_removed(&removed, 1 << 20) && !is_removed(&removed, (1 << 20) + 1));
    assert!(removed.contains(shard, Attempt::new(Epoch(3), 9)), "of an older epoch");
    assert!(!removed.contains(Shard(0), Attempt::new(Epoch(3), 9)), "of another coordinator");
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
    assert_fails_without(
        Guard::ForgetNeedsNewerToken,
        forgets_attempt_only_under_newer_token_than_its_start,
    );
}
