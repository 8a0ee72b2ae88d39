//! Tests of a participant without a node: its offers, its reservations, and when it declares machines
//! lost.
use super::*;
use crate::budget::WriteBudget;
use crate::context::{Config, PendingOperations};
use crate::horizon::Horizons;
use crate::ids::NodeIdx;
use crate::io::{CommandOutcome, Effect, Effects};
use crate::jobs::Objectives;
use crate::names::Names;
use crate::shard::{Owner, ShardView};
use leaddeal_wire::cloud::{Catalog, MachineType};
use leaddeal_wire::mesh::{
    Assignment, AttemptRef, OfferRequest, QueuePosition, Shape as WireShape,
};
use leaddeal_wire::user::{JobKind, Priority};
use leaddeal_wire::worker::{ExitReason, TaskId, TaskReport, TaskState, WorkerHeartbeat};
use std::collections::HashMap;
use std::sync::Arc;

const LEASE_MS: u64 = 10_000;
const PREVIOUS_OWNER_GRACE_MS: u64 = 19_000;
const EPOCH: Epoch = Epoch(5);

/// The context of a participant: one shard, one zone, and one machine type, which has GPUs.
pub(super) struct World {
    pub(super) names: Names,
    config: Config,
    budget: WriteBudget,
    horizons: Horizons,
    view: Vec<ShardView>,
}

impl World {
    pub(super) fn new() -> World {
        let mut names = Names::default();
        names.zones = vec!["a".into()];
        let big = MachineType {
            name: "big".into(),
            zones: vec!["a".into()],
            cpus: 12.0,
            gpus: 2.0,
            memory_gb: 48.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 1.0,
            boot_s: 1.0,
        };
        names.set_catalog(Catalog { types: vec![big] });
        let config = Config {
            worker_lease_ms: LEASE_MS,
            cancel_ms: 30_000,
            max_silence_ms: 6000,
            heartbeat_due_ms: 4000,
            max_placements: 50,
            txn_ops: 12,
            list_lag_ms: 3000,
            cloud_call_interval_ms: 100,
            teams: Vec::new(),
            objectives: Objectives::default(),
        };
        let mut shard = ShardView::default();
        shard.set_owner(Owner { node: NodeIdx(0), boot: 1, epoch: EPOCH }, 0);
        let horizons = Horizons::new(NodeIdx(0), 1, 1, config.cancel_ms, LEASE_MS);
        World { names, config, budget: WriteBudget::new(50.0, 1, 1), horizons, view: vec![shard] }
    }

    /// Runs `f` with a context at `now`; returns the messages sent and the names of the events logged.
    fn at(
        &mut self,
        now: Timestamp,
        f: impl FnOnce(&mut Context),
    ) -> (Vec<ShardMessage>, Vec<&'static str>) {
        let mut effects = Effects::new(now);
        let mut operations = PendingOperations::default();
        let (mut outbox, mut relayed_requests) = (VecDeque::new(), HashMap::new());
        f(&mut Context {
            now,
            wall_clock_ms: now,
            lease_valid: true,
            needs_round: false,
            effects: &mut effects,
            names: &mut self.names,
            config: &self.config,
            budget: &mut self.budget,
            horizons: &mut self.horizons,
            me: NodeIdx(0),
            shard_views: &self.view,
            last_contact_at: &[0],
            operations: &mut operations,
            outbox: &mut outbox,
            relayed_requests: &mut relayed_requests,
        });
        let logged = effects.list.iter().filter_map(|o| match o {
            Effect::Log { event, .. } => Some(*event),
            _ => None,
        });
        (outbox.into_iter().map(|sent| sent.message).collect(), logged.collect())
    }
}

fn heartbeat(machine: &str, seq: u64) -> WorkerHeartbeat {
    WorkerHeartbeat {
        machine: machine.into(),
        addr: "10.9.0.1:1".into(),
        type_name: "big".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        seq,
        token: EPOCH.0,
        interruption_notice_s: None,
        tasks: Vec::new(),
    }
}

fn offer_request(
    job: u64,
    kind: JobKind,
    count: u32,
    queue_position: Option<QueuePosition>,
) -> OfferRequest {
    let gang = kind == JobKind::Gang;
    let shape = WireShape {
        kind,
        priority: Priority::Normal,
        cpu: if gang { 10_000 } else { 1000 },
        gpu: if gang { 2000 } else { 0 },
        mem: 1000,
        types: None,
        spot: true,
        image: "i".into(),
        image_gb: 1.0,
        save_s: 0.0,
        checkpoint_s: 0.0,
        estimate_s: 30.0,
    };
    OfferRequest {
        job,
        shape: Arc::new(shape),
        count,
        max_per_zone: vec![count],
        preempt: true,
        urgent: false,
        may_use_gpu_machines: false,
        queue_position,
    }
}

/// Guards against arrays that reserve, again and again, the machines on which they get no capacity
/// because these are kept for gangs: the gangs cannot use the reserved machines either.
#[test]
fn arrays_do_not_reserve_machines_kept_for_gangs() {
    let mut world = World::new();
    let mut participant = Participant::new(Shard(0), EPOCH, 1, 1, PREVIOUS_OWNER_GRACE_MS);
    world.at(100, |context| {
        for m in ["n-000001", "n-000002"] {
            participant.handle_heartbeat(context, &heartbeat(m, 1), None).expect("a response");
        }
    });
    let mut request_offers =
        |participant: &mut Participant, now, negotiation, item: OfferRequest| {
            let items = vec![item];
            let msg = ShardMessage::RequestOffers { negotiation, items, gpu_work: Vec::new() };
            let (sent, _) =
                world.at(now, |context| participant.handle(context, Shard(0), EPOCH, msg));
            let offered = sent.iter().find_map(|m| match m {
                ShardMessage::Offers { offers, .. } => {
                    Some(offers.iter().map(|o| o.count).sum::<u32>())
                }
                _ => None,
            });
            world.at(now, |context| {
                participant.handle(
                    context,
                    Shard(0),
                    EPOCH,
                    ShardMessage::CloseNegotiation { negotiation },
                );
            });
            offered.expect("a response")
        };
    // Two of the gang's four tasks would fit, so it is queued for the zone.
    let position = QueuePosition {
        missed_objectives: 0,
        time_left_ms: 9000,
        blocks_gangs_behind: true,
        zone: Some(0),
    };
    request_offers(&mut participant, 200, 1, offer_request(7, JobKind::Gang, 4, Some(position)));
    assert_eq!(
        request_offers(&mut participant, 300, 2, offer_request(8, JobKind::Array, 20, None)),
        0,
        "the machines are kept for the gang"
    );
    assert_eq!(participant.reservations.count(JobId(8)), 0, "the array reserves nothing");
    assert_eq!(
        request_offers(
            &mut participant,
            400,
            3,
            offer_request(7, JobKind::Gang, 4, Some(position))
        ),
        2,
        "the gang gets the machines"
    );
}

/// Late copies of a machine's heartbeats do not renew its lease after the machine has failed.
#[test]
fn late_heartbeat_copies_do_not_renew_lease() {
    let lost_at = |copies: bool| {
        let mut world = World::new();
        let mut participant = Participant::new(Shard(0), EPOCH, 1, 1, PREVIOUS_OWNER_GRACE_MS);
        for seq in 1..=3 {
            world.at(1000 * seq, |context| {
                participant
                    .handle_heartbeat(context, &heartbeat("n-000001", seq), None)
                    .expect("a response");
            });
        }
        (3100..100_000).step_by(100).find(|&now| {
            let (_, logged) = world.at(now, |context| {
                if copies && now % 700 == 0 {
                    let copy = heartbeat("n-000001", 1 + now % 3);
                    assert!(
                        participant.handle_heartbeat(context, &copy, None).is_none(),
                        "a copy was answered"
                    );
                }
                participant.tick(context);
            });
            logged.contains(&"worker_lease_expired")
        })
    };
    assert!(lost_at(false).is_some_and(|at| at > 3000 + LEASE_MS));
    assert_eq!(lost_at(true), lost_at(false));
}

/// A copy of a heartbeat from an ended incarnation arrives after the next incarnation has begun: it must
/// neither renew the lease nor change the known incarnation.
#[test]
fn ignores_heartbeat_of_ended_incarnation() {
    let mut world = World::new();
    let mut participant = Participant::new(Shard(0), EPOCH, 1, 1, PREVIOUS_OWNER_GRACE_MS);
    let new = WorkerHeartbeat { incarnation: 2, ..heartbeat("n-000001", 1) };
    world.at(1000, |context| {
        participant
            .handle_heartbeat(context, &heartbeat("n-000001", 7), None)
            .expect("a response to the first incarnation");
        participant
            .handle_heartbeat(context, &new, None)
            .expect("a response to the second incarnation");
    });
    let granted = |participant: &Participant| {
        participant.machines.values().next().map(|m| (m.lease_granted_at, m.incarnation))
    };
    let before = granted(&participant);
    world.at(9000, |context| {
        assert!(participant.handle_heartbeat(context, &heartbeat("n-000001", 9), None).is_none());
    });
    assert_eq!(granted(&participant), before);
}

/// One-way partition: heartbeats arrive, but responses do not reach the machine. It gets no new work after
/// the second heartbeat that shows this, until a heartbeat shows that a response arrived.
#[test]
fn offers_no_unreachable_machine() {
    let mut world = World::new();
    let mut participant = Participant::new(Shard(0), EPOCH, 1, 1, PREVIOUS_OWNER_GRACE_MS);
    let offered = |world: &mut World,
                   participant: &mut Participant,
                   now: Timestamp,
                   negotiation| {
        let items = vec![offer_request(8, JobKind::Array, 1, None)];
        let msg = ShardMessage::RequestOffers { negotiation, items, gpu_work: Vec::new() };
        let (sent, _) = world.at(now, |context| participant.handle(context, Shard(0), EPOCH, msg));
        world.at(now, |context| {
            participant.handle(
                context,
                Shard(0),
                EPOCH,
                ShardMessage::CloseNegotiation { negotiation },
            );
        });
        sent.iter().any(|m| matches!(m, ShardMessage::Offers { offers, .. } if !offers.is_empty()))
    };
    let send_heartbeat =
        |world: &mut World, participant: &mut Participant, now, seq, via: Option<u8>| {
            let via = via.map(NodeIdx);
            world.at(now, |context| {
                participant
                    .handle_heartbeat(context, &heartbeat("n-000001", seq), via)
                    .expect("a response");
            });
        };
    send_heartbeat(&mut world, &mut participant, 1000, 1, None);
    assert!(offered(&mut world, &mut participant, 1100, 1));
    send_heartbeat(&mut world, &mut participant, 3000, 2, None);
    // Without a response the worker tries one controller after the other, so its heartbeats come five
    // seconds apart and each by another path.
    send_heartbeat(&mut world, &mut participant, 8000, 3, Some(1));
    assert!(offered(&mut world, &mut participant, 8100, 2), "one unproven heartbeat is not enough");
    send_heartbeat(&mut world, &mut participant, 13_000, 4, Some(2));
    assert!(!offered(&mut world, &mut participant, 13_100, 3));
    send_heartbeat(&mut world, &mut participant, 18_000, 5, None);
    assert!(!offered(&mut world, &mut participant, 18_100, 4));
    send_heartbeat(&mut world, &mut participant, 20_000, 6, None);
    assert!(
        offered(&mut world, &mut participant, 20_100, 5),
        "the worker kept the path, so a response reached it"
    );
}

/// After a failover a silent machine is not declared lost while a previous owner may have answered its
/// worker. Once all previous owners have relinquished the shard, only the worker's lease counts.
#[test]
fn silent_machine_expires_after_previous_owners_relinquish() {
    let lost_at = |relinquished_at: Option<Timestamp>| {
        let mut world = World::new();
        let mut participant = Participant::new(Shard(0), EPOCH, 1000, 1, PREVIOUS_OWNER_GRACE_MS);
        let pick = Assignment { task: 0, attempt: 3, machine: "n-000001".into(), incarnation: 1 };
        let shape = offer_request(7, JobKind::Array, 1, None).shape;
        let place = ShardMessage::Place { job: 7, shape, picks: vec![pick], adopt: true };
        world.at(1100, |context| participant.handle(context, Shard(0), EPOCH, place));
        (1100..100_000).step_by(100).find(|&now| {
            if relinquished_at.is_some_and(|at| now >= at) {
                participant.on_previous_owners_relinquished(now);
            }
            let (_, logged) = world.at(now, |context| participant.tick(context));
            logged.contains(&"worker_lease_expired")
        })
    };
    let without_proof = lost_at(None).expect("lease expires");
    assert!(
        without_proof > 1000 + PREVIOUS_OWNER_GRACE_MS + LEASE_MS,
        "a previous owner may have answered the worker: {without_proof}"
    );
    let with_proof = lost_at(Some(3000)).expect("lease expires");
    assert!((3000 + LEASE_MS..3000 + LEASE_MS + 1000).contains(&with_proof), "at {with_proof}");
}

/// A placement is sent before its job is cancelled, and the cancellation arrives first by another route:
/// the placement must start nothing, unless a coordinator of a newer epoch continues the job.
#[test]
fn late_placement_of_cancelled_job_starts_nothing() {
    let starts = |is_cancelled: bool, epoch: u64| {
        let mut world = World::new();
        let mut participant = Participant::new(Shard(0), EPOCH, 1, 1, PREVIOUS_OWNER_GRACE_MS);
        world.at(1000, |context| {
            participant.handle_heartbeat(context, &heartbeat("n-000001", 1), None);
        });
        if is_cancelled {
            world.horizons.on_cancelled(Shard(0), EPOCH, JobId(7), 1050);
        }
        let pick = Assignment { task: 0, attempt: 3, machine: "n-000001".into(), incarnation: 1 };
        let shape = offer_request(7, JobKind::Array, 1, None).shape;
        let place = ShardMessage::Place { job: 7, shape, picks: vec![pick], adopt: false };
        let mut sent = 0;
        world.at(1100, |context| {
            participant.handle(context, Shard(0), Epoch(epoch), place);
            participant.flush(context);
            sent = context
                .effects
                .list
                .iter()
                .filter(|o| matches!(o, Effect::Commands { .. }))
                .count();
        });
        sent
    };
    assert_eq!(starts(false, EPOCH.0), 1);
    assert_eq!(starts(true, EPOCH.0), 0, "the job is cancelled");
    assert_eq!(starts(true, EPOCH.0 + 1), 1, "the cancellation was never written");
}

/// Returns the message that places a task of one processor on the machine `n-000001`.
fn placement() -> ShardMessage {
    let pick = Assignment { task: 0, attempt: 3, machine: "n-000001".into(), incarnation: 1 };
    let shape = offer_request(7, JobKind::Array, 1, None).shape;
    ShardMessage::Place { job: 7, shape, picks: vec![pick], adopt: false }
}

/// Returns the worker's report of that task after it has failed.
fn exited_task() -> TaskReport {
    TaskReport {
        task: TaskId::parse("wk-000007/0"),
        attempt: 3,
        state: TaskState::Exited,
        exit_reason: Some(ExitReason::Error),
        saved: None,
    }
}

/// Returns the message that acknowledges the end of that task.
fn end_acknowledgement() -> ShardMessage {
    let ended = AttemptRef {
        job: 7,
        task: 0,
        attempt: 3,
        machine: "n-000001".into(),
        incarnation: Some(1),
    };
    ShardMessage::Forget { what: vec![ended] }
}

/// Guards against forgets under the start's own token, and against waiting for one that no write brings.
#[test]
fn ended_attempt_is_forgotten_under_newly_proven_token() {
    let mut world = World::new();
    let mut participant = Participant::new(Shard(0), EPOCH, 1, 1, PREVIOUS_OWNER_GRACE_MS);
    let exited = |seq, token| WorkerHeartbeat {
        token,
        tasks: vec![exited_task()],
        ..heartbeat("n-000001", seq)
    };
    world.at(1000, |context| {
        participant.handle_heartbeat(context, &heartbeat("n-000001", 1), None);
        participant.handle(context, Shard(0), EPOCH, placement());
        participant.flush(context);
    });
    let response = |participant: &mut Participant, context: &mut Context, seq, token| {
        let response = participant.handle_heartbeat(context, &exited(seq, token), None);
        response.map(|response| (response.token, response.commands.len()))
    };
    world.at(2000, |context| {
        let answered = CommandOutcome::Executed(Box::new(exited(2, EPOCH.0)));
        participant.handle_batch_outcome(context, "n-000001", (EPOCH.0 << 20) + 1, &answered);
        participant.handle(context, Shard(0), EPOCH, end_acknowledgement());
        assert_eq!(response(&mut participant, context, 3, EPOCH.0), Some((EPOCH.0, 0)));
        participant.tick(context);
        let proofs = context.effects.list.iter().filter(|effect| {
            matches!(effect, Effect::Store { call: StoreCall::Transaction(t), .. } if t.changes.is_empty())
        });
        assert_eq!(proofs.count(), 1, "no write of the shard has brought a newer token");
        participant.end_ownership_call();
        participant.record_ownership(EPOCH.0 + 7);
        assert_eq!(response(&mut participant, context, 4, EPOCH.0), Some((EPOCH.0 + 7, 1)));
        assert_eq!(response(&mut participant, context, 5, EPOCH.0 + 8), None, "a newer owner's");
        assert!(participant.command_statistics().contains(" foreign_tokens=1 "));
    });
}

/// Guards against a task that runs twice by a copy of its placement, after its attempt has ended and was removed.
#[test]
fn copy_of_placement_starts_no_removed_attempt() {
    let mut world = World::new();
    let mut participant = Participant::new(Shard(0), EPOCH, 1, 1, PREVIOUS_OWNER_GRACE_MS);
    let batches = |context: &Context| {
        let effects = context.effects.list.iter();
        effects.filter(|effect| matches!(effect, Effect::Commands { .. })).count()
    };
    world.at(1000, |context| {
        participant.handle_heartbeat(context, &heartbeat("n-000001", 1), None);
        participant.handle(context, Shard(0), EPOCH, placement());
        participant.flush(context);
        assert_eq!(batches(context), 1);
        let exited = WorkerHeartbeat { tasks: vec![exited_task()], ..heartbeat("n-000001", 2) };
        participant.handle_batch_outcome(
            context,
            "n-000001",
            (EPOCH.0 << 20) + 1,
            &CommandOutcome::Executed(Box::new(exited)),
        );
        participant.handle(context, Shard(0), EPOCH, end_acknowledgement());
        participant.handle_heartbeat(context, &heartbeat("n-000001", 3), None);
        assert!(participant.machines.values().all(|machine| machine.tasks.is_empty()));
    });
    world.at(2000, |context| {
        participant.handle(context, Shard(0), EPOCH, placement());
        participant.flush(context);
        assert_eq!(batches(context), 0, "the attempt has ended");
    });
}

/// A worker that obeys this owner reports an attempt that nobody has placed, as after a late copy of a start.
#[test]
fn logs_unexpected_attempts_and_refused_batches_up_to_a_bound() {
    let mut world = World::new();
    let mut participant = Participant::new(Shard(0), EPOCH, 1, 1, PREVIOUS_OWNER_GRACE_MS);
    let report = |seq, tasks: std::ops::Range<u32>| {
        let of = |task| TaskReport { task: Some(TaskId { job: 7, task }), ..exited_task() };
        WorkerHeartbeat { tasks: tasks.map(of).collect(), ..heartbeat("n-000001", seq) }
    };
    let count = |logged: &[&str], event| logged.iter().filter(|name| **name == event).count();
    let (_, logged) = world.at(1000, |context| {
        participant.handle_heartbeat(context, &report(1, 0..3), None);
    });
    assert_eq!(count(&logged, "unexpected_attempt"), 0, "an earlier owner may have started them");
    let (_, logged) = world.at(2000, |context| {
        participant.handle_heartbeat(context, &report(2, 0..5), None);
    });
    assert_eq!(count(&logged, "unexpected_attempt"), 2);
    let (_, logged) = world.at(3000, |context| {
        participant.handle_heartbeat(context, &report(3, 0..500), None);
        for batch in 0..50 {
            let refused = CommandOutcome::Refused(Box::new(report(3, 0..0)));
            participant.handle_batch_outcome(context, "n-000001", batch, &refused);
        }
    });
    assert_eq!(count(&logged, "unexpected_attempt"), 18);
    assert_eq!(count(&logged, "commands_refused"), 20);
    let counts = participant.command_statistics();
    assert!(
        counts.contains(" refused=50 ") && counts.contains(" unexpected_attempts=497 "),
        "{counts}"
    );
}

/// A machine that was removed and comes back may have seen any token that its owner has used.
#[test]
fn machine_that_comes_back_is_not_sent_an_older_token() {
    let mut world = World::new();
    let mut participant = Participant::new(Shard(0), EPOCH, 1, 1, PREVIOUS_OWNER_GRACE_MS);
    participant.record_ownership(EPOCH.0 + 7);
    world.at(1000, |context| {
        let back = WorkerHeartbeat { token: EPOCH.0 + 7, ..heartbeat("n-000001", 1) };
        let response = participant.handle_heartbeat(context, &back, None);
        assert_eq!(response.map(|response| response.token), Some(EPOCH.0 + 7));
        assert!(participant.machines.values().all(|machine| machine.token_confirmed));
    });
}

#[cfg(feature = "guards")]
#[test]
fn tests_fail_without_their_guards() {
    use crate::guards::{assert_fails_without, Guard};
    assert_fails_without(
        Guard::LateHeartbeatGrantsNoLease,
        late_heartbeat_copies_do_not_renew_lease,
    );
    assert_fails_without(
        Guard::PreviousOwnersTimedOut,
        silent_machine_expires_after_previous_owners_relinquish,
    );
    assert_fails_without(
        Guard::LateAssignmentStopped,
        late_placement_of_cancelled_job_starts_nothing,
    );
    assert_fails_without(
        Guard::RemovedAttemptNotPlaced,
        copy_of_placement_starts_no_removed_attempt,
    );
}
