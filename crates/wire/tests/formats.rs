//! The names on the wire must be those of the protocols.
use leaddeal_wire::mesh::{
    FirstInQueue, NodeMessage, QuotaAmount, ShardMessage, TaskEvent, TaskPhase, TeamGrant,
    TeamUsage,
};
use leaddeal_wire::user::{job_id, parse_job_id, Job, JobKind, Priority};
use leaddeal_wire::worker::{Command, CommandKind, ExitReason, TaskId, TaskState, WorkerHeartbeat};
use leaddeal_wire::{cloud, settings::Settings, state};
use serde_json::json;

#[test]
fn formats_use_the_names_of_the_protocols() {
    let job = Job::parse(
        br#"{"id":"wk-000412","cargo":"train","crew":"vision","rig":"group","precedence":"high",
        "hauls":16,"cores":8.0,"gpus":1.0,"memoryGb":64.0,"manifest":"img-07","imageGb":6.2,
        "hulls":["g8"],"harbor":null,"together":true,"scatter":false,"charter":true,
        "passageS":240.0,"fixS":30.0,"stowS":4.0,"tideS":900.0,"new":1}"#,
    )
    .expect("the protocol's example");
    assert_eq!((job.kind, job.priority, job.tasks), (JobKind::Gang, Priority::High, 16));
    assert_eq!(job.deadline_s, Some(900.0));

    let heartbeat: WorkerHeartbeat = serde_json::from_value(json!({"vessel":"n-000231",
        "endpoint":"10.1.0.232:9000","hull":"g8","harbor":"a","charter":true,"watch":1,
        "logline":88,"helm":41,"recallS":null,
        "hauls":[{"haul":"wk-000412/3","sailing":2,"status":"running"},
                 {"haul":"wk-000398/0","sailing":1,"status":"exited","cause":"new one"},
                 {"haul":"other","sailing":1,"status":"running"}]}))
    .expect("a heartbeat");
    assert_eq!((heartbeat.incarnation, heartbeat.seq, heartbeat.token), (1, 88, 41));
    assert_eq!(heartbeat.tasks[0].state, TaskState::Running);
    assert_eq!(heartbeat.tasks[1].exit_reason, Some(ExitReason::Other));
    let task = |job, task| TaskId { job, task };
    assert_eq!(heartbeat.tasks[0].task, Some(task(412, 3)));
    assert_eq!(heartbeat.tasks[2].task, None, "an unknown name does not invalidate the heartbeat");

    let stop =
        Command { kind: CommandKind::Stop, task: task(377, 1), attempt: 1, grace_s: Some(10.0) };
    let start = Command { kind: CommandKind::Start, grace_s: None, ..stop.clone() };
    assert_eq!(
        json!([stop, start]),
        json!([{"order":"stop","haul":"wk-000377/1","sailing":1,"mooringS":10.0},
               {"order":"launch","haul":"wk-000377/1","sailing":1}])
    );

    let list: cloud::InstanceList = serde_json::from_value(json!({"fleet":[{"id":"n-000231",
        "endpoint":"10.1.0.232:9000","hull":"g8","harbor":"a","charter":true,
        "status":"starting","heldS":61.5}],"truncated":false}))
    .expect("a list");
    assert_eq!(list.machines[0].status, cloud::InstanceStatus::Starting);

    let transaction = state::Transaction {
        conditions: vec![state::Condition { key: "a/b".into(), version: 0 }],
        changes: vec![
            state::Change::Put { key: "a/b".into(), value: json!({}), lease: Some(7) },
            state::Change::Delete { key: "c/d".into() },
        ],
    };
    assert_eq!(
        json!(transaction),
        json!({"when":[{"path":"a/b","entry":0}],
               "then":[{"write":"a/b","value":{},"permit":7},{"delete":"c/d"}]})
    );
}

#[test]
fn job_names_and_numbers_map_one_to_one() {
    for n in [0, 1, 999_999, 1_000_000, 123_456_789] {
        assert_eq!(parse_job_id(&job_id(n)), Some(n));
    }
    for bad in ["", "wk-", "wk-1", "wk-0000001", "wk-00000x", "job-000001", "wk-+00001"] {
        assert_eq!(parse_job_id(bad), None, "{bad}");
    }
}

#[test]
fn mesh_messages_round_trip_through_cbor() {
    let round_trip = |msg| {
        let message = NodeMessage::Shard { from: 1, from_epoch: 7, to: 2, to_epoch: 9, msg };
        let mut bytes = Vec::new();
        ciborium::into_writer(&message, &mut bytes).expect("written");
        assert_eq!(ciborium::from_reader::<NodeMessage, _>(&bytes[..]).expect("read"), message);
        bytes.len()
    };
    round_trip(ShardMessage::CloseNegotiation { negotiation: 1 << 40 });
    let most = QuotaAmount { cpu: u64::MAX, gpu: 1 };
    let first = Some(FirstInQueue { need: most, waited_ms: 9 });
    let usage =
        TeamUsage { first: [None, first, None, first], wanted: [most; 4], ..TeamUsage::of(3) };
    round_trip(ShardMessage::TeamUsage { serial: 2, usage: vec![usage, TeamUsage::of(0)] });
    let granted = vec![TeamGrant {
        team: 3,
        granted: most,
        granted_after_preemption: QuotaAmount::default(),
    }];
    round_trip(ShardMessage::TeamGrant { serial: 2, granted });
    let states = [TaskState::Fetching, TaskState::Waiting, TaskState::Running, TaskState::Saving];
    let reasons = [
        ExitReason::Done,
        ExitReason::Stopped,
        ExitReason::GangMembersLost,
        ExitReason::GangIncomplete,
        ExitReason::Error,
        ExitReason::InsufficientResources,
        ExitReason::OtherAttemptPresent,
    ];
    let ends = reasons
        .iter()
        .flat_map(|reason| [TaskPhase::Exited(*reason, false), TaskPhase::Exited(*reason, true)]);
    let others =
        [TaskPhase::Decided, TaskPhase::Gone, TaskPhase::Exited(ExitReason::JobNotFound, false)];
    let phases = states.into_iter().map(TaskPhase::On).chain(ends).chain(others);
    let events: Vec<TaskEvent> = phases
        .map(|phase| TaskEvent {
            job: 412,
            task: 3,
            attempt: 7 << 20,
            machine: "n-000231".into(),
            phase,
        })
        .collect();
    let n = events.len();
    let size = round_trip(ShardMessage::TaskEvents { events });
    assert!(size < 40 * n + 60, "{size} bytes for {n} events, which are most of the traffic");
    let bad = ciborium::Value::Integer(255.into());
    assert!(bad.deserialized::<TaskPhase>().is_err());
}

#[test]
fn settings_errors_name_the_field() {
    let error = Settings::parse("{}").expect_err("nothing is set").to_string();
    assert!(error.contains("node_name"), "{error}");
    let error = Settings::parse("not json").expect_err("not JSON").to_string();
    assert!(error.contains("line 1"), "{error}");
}

#[test]
fn rejects_invalid_teams_and_names_the_key() {
    let with = |teams: serde_json::Value| {
        let mut settings: serde_json::Value = serde_json::from_str(SETTINGS).expect("JSON");
        settings["cluster"]["teams"] = teams;
        Settings::parse(&settings.to_string())
            .map(|settings| settings.params.teams.len())
            .map_err(|error| error.to_string())
    };
    assert_eq!(with(json!([{"name": "a", "cpus_max": 0.5}, {"name": "b", "gpus_max": 2}])), Ok(2));
    for (teams, key) in [
        (json!([]), "cluster.teams:"),
        (json!(vec![json!({"name": "a"}); 256]), "cluster.teams:"),
        (json!([{"name": ""}]), "cluster.teams.name:"),
        (json!([{"name": "a"}, {"name": "a"}]), "cluster.teams.name:"),
        (json!([{"name": "a", "cpus": -1.0}]), "cluster.teams.cpus:"),
        (json!([{"name": "a", "cpus_max": -1.0}]), "cluster.teams.cpus_max:"),
        (json!([{"name": "a", "cpus_max": 1e300}]), "cluster.teams.cpus_max:"),
        (json!([{"name": "a", "cpus_max": 0.0001}]), "cluster.teams.cpus_max:"),
        (json!([{"name": "a", "gpus": -0.5}]), "cluster.teams.gpus:"),
        (json!([{"name": "a", "gpus_max": 0.0009}]), "cluster.teams.gpus_max:"),
    ] {
        let error = with(teams.clone()).expect_err(key);
        assert!(error.contains(key), "{teams}: {error}");
    }
    let nan = SETTINGS
        .replace(r#""teams": [{"name": "a"}]"#, r#""teams": [{"name": "a", "cpus_max": NaN}]"#);
    assert_ne!(nan, SETTINGS);
    assert!(Settings::parse(&nan).is_err());
}

/// Without a check of `cluster.resources`, `leaddeal check` accepts settings with which a controller
/// can't work. With 1e300 MB of memory it panics at its start, since the limit of its buffers exceeds
/// what a semaphore can count. With a single file descriptor it starts, but accepts no connection.
#[test]
fn rejects_invalid_resources_and_names_the_key() {
    let with = |resources: serde_json::Value| {
        let mut settings: serde_json::Value = serde_json::from_str(SETTINGS).expect("JSON");
        settings["cluster"]["resources"] = resources;
        Settings::parse(&settings.to_string()).map(|_| ()).map_err(|error| error.to_string())
    };
    for possible in [
        json!({}),
        json!({"core_share": 0.0, "mem_mb": 0.0, "fd_limit": 0}),
        json!({"core_share": 0.024, "mem_mb": 30, "fd_limit": 300}),
        json!({"core_share": 64.0, "mem_mb": 1e9, "fd_limit": 10_000_000}),
    ] {
        assert_eq!(with(possible.clone()), Ok(()), "{possible}");
    }
    for (resources, key) in [
        (json!({"mem_mb": 1e300}), "cluster.resources.mem_mb:"),
        (json!({"mem_mb": -1.0}), "cluster.resources.mem_mb:"),
        (json!({"core_share": -0.5}), "cluster.resources.core_share:"),
        (json!({"core_share": 1e300}), "cluster.resources.core_share:"),
        (json!({"fd_limit": 1}), "cluster.resources.fd_limit:"),
        (json!({"fd_limit": 19}), "cluster.resources.fd_limit:"),
        (json!({"fd_limit": u64::MAX}), "cluster.resources.fd_limit:"),
    ] {
        let error = with(resources.clone()).expect_err(key);
        assert!(error.contains(key), "{resources}: {error}");
    }
}

const SETTINGS: &str = r#"{"node_name": "n-0", "zone": "a", "serve_on": "10.0.0.1:80",
    "mesh_addr": "10.0.0.1:81", "siblings": [],
    "external": {"cloud": "10.0.0.9:1", "state": "10.0.0.9:2"},
    "cluster": {"zones": ["a"], "teams": [{"name": "a"}],
        "workers": {"report_s": 2.0, "lease_s": 8.0, "gang_wait_s": 20.0, "gang_peer_s": 5.0,
            "cancel_s": 20.0},
        "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 20},
        "cloud": {"rps": 5.0, "list_lag_s": 5.0},
        "resources": {}}}"#;
