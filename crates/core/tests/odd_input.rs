//! Guards against panics, and acceptance of jobs that can't run, when workers, users or siblings send invalid
//! values.
use leaddeal_core::ids::JobId;
use leaddeal_core::io::{CloudCall, CloudResult, CommandOutcome, StoreCall, StoreResult};
use leaddeal_core::{Effect, Input, Node};
use leaddeal_wire::cloud::{Catalog, InstanceList, MachineType};
use leaddeal_wire::mesh::{
    Assignment, AttemptRef, FirstInQueue, JobAnswer, MachineInfo, NodeHeartbeat, NodeMessage,
    Offer, OfferRequest, QueuePosition, QuotaAmount, Shape, ShardAssertion, ShardMessage, Stamp,
    TaskEvent, TaskPhase, TeamGrant, TeamUsage, UnmetDemand,
};
use leaddeal_wire::settings::Settings;
use leaddeal_wire::state::{Events, Page};
use leaddeal_wire::user::{job_id, parse_job_id, Job, JobKind, JobState, JobStatus, Priority};
use leaddeal_wire::worker::{
    ExitReason, HeartbeatResponse, TaskId, TaskReport, TaskState, WorkerHeartbeat,
};
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;
use serde_json::json;
use std::sync::Arc;

fn settings() -> Settings {
    let sibling = |i: usize| json!({"node_name": format!("n-{i}"), "zone": "a", "address": format!("10.0.0.{}:81", i + 1)});
    let v = json!({
        "node_name": "n-0", "zone": "a", "serve_on": "10.0.0.1:80", "mesh_addr": "10.0.0.1:81",
        "siblings": [sibling(1), sibling(2)],
        "external": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"},
        "cluster": {
            "count": 3, "zones": ["a", "b"],
            "teams": [{"name": "free"}, {"name": "tight", "cpus_max": 6.0, "gpus_max": 1.0}],
            "workers": {"report_s": 1.5, "lease_s": 8.0, "gang_wait_s": 40.0,
                        "gang_peer_s": 8.0, "cancel_s": 30.0},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 5.0, "list_lag_s": 3.0},
            "resources": {}
        }
    });
    Settings::parse(&v.to_string()).expect("settings")
}

fn types() -> Vec<MachineType> {
    let small = MachineType {
        name: "small".into(),
        zones: vec!["a".into(), "b".into()],
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 1.0,
        boot_s: 1.0,
    };
    let gpu =
        MachineType { name: "gpu".into(), zones: vec!["b".into()], gpus: 2.0, ..small.clone() };
    vec![small, gpu]
}

/// Returns whether a task of the job fits a machine type in an allowed zone and the team's quota admits it.
/// Written from the protocol, independent of the code under test.
fn can_run(j: &Job) -> bool {
    let fits = types().iter().any(|t| {
        j.types.as_ref().is_none_or(|all| all.contains(&t.name))
            && j.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && j.cpus <= t.cpus
            && j.gpus <= t.gpus
            && j.memory_gb <= t.memory_gb
    });
    let at_once = if j.kind == JobKind::Array { 1.0 } else { f64::from(j.tasks) };
    let within = match j.team.as_str() {
        "free" => true,
        "tight" => j.cpus * at_once <= 6.0 && j.gpus * at_once <= 1.0,
        _ => false,
    };
    fits && within
}

/// A node with an empty store and an empty cloud, which accept every call.
struct TestNode {
    node: Node,
    now: u64,
    revision: u64,
    accepted: Vec<u64>,
}

impl TestNode {
    fn new() -> TestNode {
        let mut w = TestNode {
            node: Node::new(&settings(), 1_700_000_000_000, 1),
            now: 1,
            revision: 5,
            accepted: Vec::new(),
        };
        // The node acquires its home shard and, later, those of its absent siblings.
        for _ in 0..100 {
            w.advance(100);
        }
        w
    }

    fn advance(&mut self, ms: u64) {
        self.now += ms;
        self.step(Input::Tick);
    }

    fn step(&mut self, input: Input) {
        for o in self.node.step(self.now, 1_700_000_000_000 + self.now, input) {
            match o {
                Effect::Store { op, call } => {
                    if let Some(result) = self.store(&call) {
                        self.step(Input::Store { op, result });
                    }
                }
                Effect::Cloud { op, call } => {
                    let result = match call {
                        CloudCall::Catalog => CloudResult::Catalog(Catalog { types: types() }),
                        CloudCall::Launch(_) => CloudResult::NoCapacity,
                        CloudCall::Release(_) => CloudResult::Released,
                        CloudCall::List { .. } => CloudResult::InstanceList(InstanceList {
                            machines: Vec::new(),
                            more: false,
                        }),
                    };
                    self.step(Input::Cloud { op, result });
                }
                Effect::User { req, reply } if reply.status / 100 == 2 => self.accepted.push(req),
                _ => {}
            }
        }
    }

    fn store(&mut self, call: &StoreCall) -> Option<StoreResult> {
        self.revision += 1;
        let revision = self.revision;
        Some(match call {
            StoreCall::NewLease { .. } => StoreResult::Lease(1),
            StoreCall::RenewLease { .. } | StoreCall::EndLease { .. } => StoreResult::LeaseRenewed,
            StoreCall::Transaction(_) => StoreResult::Committed(revision),
            StoreCall::Get { .. } => StoreResult::Item(None),
            StoreCall::List { .. } => {
                StoreResult::Page(Page { items: Vec::new(), more: false, revision })
            }
            StoreCall::Watch { wait_ms: 0, .. } => {
                StoreResult::Events(Events { events: Vec::new(), revision })
            }
            StoreCall::Watch { .. } => return None,
        })
    }
}

fn number() -> impl Strategy<Value = u64> + Clone {
    prop_oneof![
        4 => 0u64..8,
        1 => select(vec![u64::MAX, u64::MAX - 1, i64::MAX as u64, 1 << 62, 1 << 20, 1 << 32]),
        1 => any::<u64>(),
    ]
}

fn small() -> impl Strategy<Value = u32> + Clone {
    prop_oneof![4 => 0u32..5, 1 => select(vec![u32::MAX, 100_000, 1 << 31])]
}

fn amount() -> impl Strategy<Value = f64> + Clone {
    let invalid = vec![0.0, -0.0, -1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e300, 1e-300];
    prop_oneof![4 => (0u8..20).prop_map(|n| f64::from(n) / 2.0), 1 => select(invalid)]
}

fn name() -> impl Strategy<Value = String> + Clone {
    let invalid =
        ["", "n-000001", "n-000002", "n-000003", "n-999999999999999999999", "n-x", "a/b c", "ü"];
    select(invalid.map(String::from).to_vec())
}

fn zone() -> impl Strategy<Value = String> + Clone {
    select(["a", "b", "c", ""].map(String::from).to_vec())
}

fn machine_type() -> impl Strategy<Value = String> + Clone {
    select(["small", "gpu", "none", ""].map(String::from).to_vec())
}

fn priority() -> impl Strategy<Value = Priority> + Clone {
    let all = vec![Priority::Low, Priority::Normal, Priority::High, Priority::Production];
    select(all)
}

fn kind() -> impl Strategy<Value = JobKind> + Clone {
    select(vec![JobKind::Array, JobKind::Gang, JobKind::Service])
}

fn state() -> impl Strategy<Value = TaskState> + Clone {
    let all = [TaskState::Fetching, TaskState::Waiting, TaskState::Running, TaskState::Saving];
    select([&all[..], &[TaskState::Exited]].concat())
}

fn exit_reason() -> impl Strategy<Value = ExitReason> + Clone {
    let all = [
        ExitReason::Done,
        ExitReason::Stopped,
        ExitReason::GangMembersLost,
        ExitReason::GangIncomplete,
        ExitReason::Error,
        ExitReason::InsufficientResources,
        ExitReason::OtherAttemptPresent,
    ];
    select([&all[..], &[ExitReason::JobNotFound, ExitReason::Other]].concat())
}

fn worker_heartbeat() -> impl Strategy<Value = WorkerHeartbeat> {
    let task =
        (prop::option::of((number(), small())), number(), state(), prop::option::of(exit_reason()))
            .prop_map(|(task, attempt, state, exit_reason)| TaskReport {
                task: task.map(|(job, task)| TaskId { job, task }),
                attempt,
                state,
                exit_reason,
                saved: None,
            });
    let machine = (name(), machine_type(), zone(), any::<bool>());
    let when = (number(), number(), number(), prop::option::of(amount()));
    (machine, when, prop::collection::vec(task, 0..4)).prop_map(
        |(
            (machine, type_name, zone, spot),
            (incarnation, seq, token, interruption_notice_s),
            tasks,
        )| {
            WorkerHeartbeat {
                machine,
                addr: "10.9.0.1:1".into(),
                type_name,
                zone,
                spot,
                incarnation,
                seq,
                token,
                interruption_notice_s,
                tasks,
            }
        },
    )
}

fn shape() -> impl Strategy<Value = Arc<Shape>> + Clone {
    let takes = (number(), number(), number());
    let allowed_places =
        (prop::option::of(prop::collection::vec(machine_type(), 0..3)), any::<bool>());
    let times = (amount(), amount(), amount(), amount());
    (kind(), priority(), takes, allowed_places, times).prop_map(
        |(
            kind,
            priority,
            (cpu, gpu, mem),
            (types, spot),
            (image_gb, save_s, checkpoint_s, estimate_s),
        )| {
            Arc::new(Shape {
                kind,
                priority,
                cpu,
                gpu,
                mem,
                types,
                spot,
                image: "i".into(),
                image_gb,
                save_s,
                checkpoint_s,
                estimate_s,
            })
        },
    )
}

fn attempt_ref() -> impl Strategy<Value = AttemptRef> {
    (number(), small(), number(), name(), prop::option::of(number())).prop_map(
        |(job, task, attempt, machine, incarnation)| AttemptRef {
            job,
            task,
            attempt,
            machine,
            incarnation,
        },
    )
}

fn wanted() -> impl Strategy<Value = OfferRequest> {
    let queue_position = (any::<u8>(), any::<i64>(), any::<bool>(), prop::option::of(any::<u8>()))
        .prop_map(|(missed_objectives, time_left_ms, blocks_gangs_behind, zone)| QueuePosition {
            missed_objectives,
            time_left_ms,
            blocks_gangs_behind,
            zone,
        });
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    let room = prop::collection::vec(small(), 0..4);
    (number(), shape(), small(), room, flags, prop::option::of(queue_position)).prop_map(
        |(
            job,
            shape,
            count,
            max_per_zone,
            (preempt, urgent, may_use_gpu_machines),
            queue_position,
        )| OfferRequest {
            job,
            shape,
            count,
            max_per_zone,
            preempt,
            urgent,
            may_use_gpu_machines,
            queue_position,
        },
    )
}

fn to_participant() -> impl Strategy<Value = ShardMessage> {
    let pick =
        (small(), number(), name(), number()).prop_map(|(task, attempt, machine, incarnation)| {
            Assignment { task, attempt, machine, incarnation }
        });
    let gpu_work = prop::collection::vec((number(), number(), number(), priority()), 0..3);
    prop_oneof![
        (number(), prop::collection::vec(wanted(), 0..3), gpu_work).prop_map(
            |(negotiation, items, gpu_work)| ShardMessage::RequestOffers {
                negotiation,
                items,
                gpu_work
            }
        ),
        number().prop_map(|negotiation| ShardMessage::CloseNegotiation { negotiation }),
        (number(), shape(), prop::collection::vec(pick, 0..3), any::<bool>()).prop_map(
            |(job, shape, picks, adopt)| ShardMessage::Place { job, shape, picks, adopt }
        ),
        (attempt_ref(), amount()).prop_map(|(what, grace_s)| ShardMessage::Stop { what, grace_s }),
        prop::collection::vec(attempt_ref(), 0..3).prop_map(|what| ShardMessage::Forget { what }),
    ]
}

fn to_coordinator() -> impl Strategy<Value = ShardMessage> {
    let offer = (any::<u16>(), name(), number(), any::<u8>(), small(), any::<i64>()).prop_map(
        |(item, machine, incarnation, zone, count, score)| {
            let has_image = score % 2 == 0;
            Offer { item, machine, incarnation, zone, count, has_image, score }
        },
    );
    let phase = prop_oneof![
        Just(TaskPhase::Decided),
        Just(TaskPhase::Gone),
        state().prop_map(TaskPhase::On),
        (exit_reason(), any::<bool>()).prop_map(|(w, saved)| TaskPhase::Exited(w, saved)),
    ];
    let event = (number(), small(), number(), name(), phase).prop_map(
        |(job, task, attempt, machine, phase)| TaskEvent { job, task, attempt, machine, phase },
    );
    prop_oneof![
        (number(), prop::collection::vec(offer, 0..3), prop::collection::vec(any::<u16>(), 0..3))
            .prop_map(|(negotiation, offers, preempting)| ShardMessage::Offers {
                negotiation,
                offers,
                preempting
            }),
        number().prop_map(|negotiation| ShardMessage::AskDecision { negotiation }),
        priority().prop_map(|priority| ShardMessage::CapacityFreed { priority }),
        prop::collection::vec(event, 0..4).prop_map(|events| ShardMessage::TaskEvents { events }),
    ]
}

fn to_provisioner() -> impl Strategy<Value = ShardMessage> {
    let lack = (number(), shape(), small(), prop::collection::vec(small(), 0..4), number())
        .prop_map(|(job, shape, count, max_per_zone, waited_ms)| UnmetDemand {
            job,
            shape,
            count,
            max_per_zone,
            waited_ms,
            urgent: waited_ms % 2 == 0,
        });
    let info = (name(), machine_type(), zone(), prop::option::of(number()), any::<bool>())
        .prop_map(|(machine, type_name, zone, idle_ms, dead)| MachineInfo {
            machine,
            type_name,
            zone,
            spot: dead,
            idle_ms,
            unusable: dead,
            draining: dead,
        });
    let gone = prop::collection::vec(name(), 0..3);
    prop_oneof![
        prop::collection::vec(lack, 0..4).prop_map(|lacks| ShardMessage::UnmetDemand { lacks }),
        (number(), any::<bool>(), prop::collection::vec(info, 0..4), gone).prop_map(
            |(serial, first, machines, gone)| ShardMessage::Inventory {
                serial,
                first,
                machines,
                gone
            }
        ),
        Just(ShardMessage::ResendInventory),
        name().prop_map(|newest| ShardMessage::OperatorMachines { newest }),
        name().prop_map(|machine| ShardMessage::Drain { machine }),
        name().prop_map(|machine| ShardMessage::Drained { machine }),
        name().prop_map(|machine| ShardMessage::Released { machine }),
    ]
}

fn amounts() -> impl Strategy<Value = QuotaAmount> + Clone {
    (number(), number()).prop_map(|(cpu, gpu)| QuotaAmount { cpu, gpu })
}

fn quota_message() -> impl Strategy<Value = ShardMessage> {
    let by = || [amounts(), amounts(), amounts(), amounts()];
    let first =
        (amounts(), number()).prop_map(|(need, waited_ms)| FirstInQueue { need, waited_ms });
    let first = prop::option::of(first);
    let firsts = [first.clone(), first.clone(), first.clone(), first];
    let used =
        (0u8..4, by(), by(), by(), firsts).prop_map(|(team, used, wanted, unplaceable, first)| {
            TeamUsage { team, used, wanted, unplaceable, first }
        });
    let granted =
        (0u8..4, amounts(), amounts()).prop_map(|(team, granted, granted_after_preemption)| {
            TeamGrant { team, granted, granted_after_preemption }
        });
    prop_oneof![
        (number(), prop::collection::vec(used, 0..4))
            .prop_map(|(serial, usage)| ShardMessage::TeamUsage { serial, usage }),
        (number(), prop::collection::vec(granted, 0..4))
            .prop_map(|(serial, granted)| ShardMessage::TeamGrant { serial, granted }),
    ]
}

fn node_heartbeat() -> impl Strategy<Value = NodeHeartbeat> {
    let stamp = || (number(), number()).prop_map(|(boot, at)| Stamp { boot, at });
    let assertion = (any::<u8>(), number(), number(), number(), number(), any::<bool>()).prop_map(
        |(shard, epoch, lease_uncertain_ms, after, up_to, is_complete)| ShardAssertion {
            shard,
            epoch,
            lease_uncertain_ms,
            after,
            up_to,
            is_complete,
            cancelled: vec![after, up_to],
        },
    );
    let owned = prop::collection::vec((0u8..5, number()), 0..3);
    let known_owners = prop::collection::vec((0u8..5, 0u8..5, number()), 0..3);
    let newest_epochs = prop::collection::vec(number(), 0..5);
    let assertions = prop::collection::vec(assertion, 0..3);
    let acknowledged = prop::collection::vec((0u8..5, number(), number()), 0..3);
    let times = (stamp(), prop::option::of(stamp()));
    (owned, known_owners, any::<bool>(), times, newest_epochs, (assertions, acknowledged)).prop_map(
        |(owned, known_owners, ready, (stamp, echo), newest_epochs, (assertions, acknowledged))| {
            NodeHeartbeat {
                owned,
                known_owners,
                ready,
                stamp,
                echo,
                newest_epochs,
                assertions,
                acknowledged,
            }
        },
    )
}

/// An input of a node. Messages between shards get the current epochs, so that they are not rejected as
/// outdated.
#[derive(Clone, Debug)]
enum InvalidInput {
    WorkerHeartbeat(WorkerHeartbeat),
    CommandOutcome(WorkerHeartbeat, bool),
    Job(Box<Job>),
    JobRequest(u64, bool),
    NodeHeartbeat(NodeHeartbeat),
    Shard(u8, u8, ShardMessage),
    Node(NodeMessage),
    Advance(u64),
}

fn job() -> impl Strategy<Value = Job> {
    let allowed_places = (
        prop::option::of(prop::collection::vec(machine_type(), 0..3)),
        prop::option::of(zone()),
        (any::<bool>(), any::<bool>(), any::<bool>()),
    );
    let good = (1u8..12).prop_map(|n| f64::from(n) / 2.0);
    let team = select(["free", "tight", "nobody"].map(String::from).to_vec());
    let takes = (good.clone(), (0u8..4).prop_map(f64::from), good.clone());
    (0u64..9, team, kind(), priority(), 1u32..5, takes, allowed_places, good).prop_map(
        |(id, team, kind, priority, tasks, (cpus, gpus, memory_gb), (types, zone, flags), s)| Job {
            id: job_id(id),
            class: "x".into(),
            team,
            kind,
            priority,
            tasks,
            cpus,
            gpus,
            memory_gb: memory_gb * 4.0,
            image: "i".into(),
            image_gb: 1.0,
            types,
            zone,
            one_zone: flags.0,
            spread: flags.1,
            spot: flags.2,
            estimate_s: s,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        },
    )
}

fn invalid_input() -> impl Strategy<Value = InvalidInput> {
    let answers = prop_oneof![
        Just(JobAnswer::NotOwner),
        Just(JobAnswer::NoSuchJob),
        Just(JobAnswer::NotReady),
        Just(JobAnswer::State(JobState {
            id: "x".into(),
            status: JobStatus::Done,
            done: 1,
            running: 9
        })),
    ];
    let answer = number().prop_map(|token| HeartbeatResponse { token, commands: Vec::new() });
    let node =
        prop_oneof![
            (number(), number(), any::<bool>())
                .prop_map(|(call, job, cancel)| NodeMessage::QueryJob { call, job, cancel }),
            (number(), answers).prop_map(|(call, answer)| NodeMessage::JobAnswer { call, answer }),
            any::<u8>().prop_map(|shard| NodeMessage::ReclaimShard { shard }),
            (number(), worker_heartbeat())
                .prop_map(|(call, r)| NodeMessage::RelayedHeartbeat { call, report: Box::new(r) }),
            (number(), prop::option::of(answer))
                .prop_map(|(call, answer)| NodeMessage::RelayedResponse { call, answer }),
        ];
    let shard = prop_oneof![to_participant(), to_coordinator(), to_provisioner(), quota_message()];
    prop_oneof![
        worker_heartbeat().prop_map(InvalidInput::WorkerHeartbeat),
        (worker_heartbeat(), any::<bool>())
            .prop_map(|(r, done)| InvalidInput::CommandOutcome(r, done)),
        job().prop_map(|j| InvalidInput::Job(Box::new(j))),
        (number(), any::<bool>()).prop_map(|(id, cancel)| InvalidInput::JobRequest(id, cancel)),
        node_heartbeat().prop_map(InvalidInput::NodeHeartbeat),
        (0u8..4, 0u8..4, shard).prop_map(|(from, to, m)| InvalidInput::Shard(from, to, m)),
        node.prop_map(InvalidInput::Node),
        (0u64..9000).prop_map(InvalidInput::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..Default::default() })]

    #[test]
    fn invalid_input_causes_no_panic_or_wrong_acceptance(inputs in prop::collection::vec(invalid_input(), 1..40)) {
        let mut w = TestNode::new();
        let mut can_run_ids = Vec::new();
        for (i, input) in inputs.into_iter().enumerate() {
            let req = i as u64;
            let from = format!("n-{}", 1 + i % 2);
            let sent = |msg| Input::Mesh { from: from.clone(), msg: Box::new(msg) };
            let input = match input {
                InvalidInput::WorkerHeartbeat(r) => Input::WorkerHeartbeat { req, heartbeat: Box::new(r) },
                InvalidInput::CommandOutcome(r, done) => {
                    let machine = r.machine.clone();
                    let heartbeat = Box::new(r);
                    let outcome = match done {
                        true => CommandOutcome::Executed(heartbeat),
                        false => CommandOutcome::Refused(heartbeat),
                    };
                    Input::CommandOutcome { machine, batch: req, outcome }
                }
                InvalidInput::Job(mut job) => {
                    // A unique id, since a repeated one would be answered with the job that was accepted before.
                    job.id = job_id(req);
                    can_run_ids.extend(can_run(&job).then_some(req));
                    Input::Submit { req, id: parse_job_id(&job.id).map(JobId), job: Ok(job) }
                }
                InvalidInput::JobRequest(id, cancel) => match cancel {
                    true => Input::Cancel { req: 1000 + req, id: JobId(id) },
                    false => Input::Get { req: 1000 + req, id: JobId(id) },
                },
                InvalidInput::NodeHeartbeat(b) => sent(NodeMessage::Heartbeat(b)),
                InvalidInput::Shard(from, to, msg) => {
                    let epoch = |s: u8| {
                        let owned = w.node.owned_shards();
                        owned.iter().find(|o| o.0 .0 == s).map_or(0, |o| o.1 .0)
                    };
                    let (from_epoch, to_epoch) = (epoch(from), epoch(to));
                    sent(NodeMessage::Shard { from, from_epoch, to, to_epoch, msg })
                }
                InvalidInput::Node(msg) => sent(msg),
                InvalidInput::Advance(ms) => {
                    w.advance(ms);
                    Input::Tick
                }
            };
            w.step(input);
            w.advance(100);
        }
        let wrong: Vec<_> = w.accepted.iter().filter(|r| **r < 1000 && !can_run_ids.contains(r)).collect();
        prop_assert!(wrong.is_empty(), "accepted though they can't run: {wrong:?}; can run: {can_run_ids:?}");
    }
}
