//! The odd names on the wire, as the protocol gives them.
use leaddeal_wire::mesh::{
    FirstInQueue, NodeMessage, QuotaAmount, ShardMessage, TaskEvent, TaskPhase, TeamGrant,
    TeamUsage,
};
use leaddeal_wire::user::{job_id, parse_job_id, Job, Kind, Priority};
use leaddeal_wire::worker::{Command, CommandKind, ExitReason, TaskId, TaskState, WorkerHeartbeat};
use leaddeal_wire::{cloud, settings::Settings, state};
use serde_json::json;

#[test]
fn users_workers_cloud_and_state_speak_the_protocols_names() {
    let j = Job::parse(
        br#"{"id":"wk-000412","cargo":"train","crew":"vision","rig":"group","precedence":"high",
        "hauls":16,"cores":8.0,"gpus":1.0,"memoryGb":64.0,"manifest":"img-07","imageGb":6.2,
        "hulls":["g8"],"harbor":null,"together":true,"scatter":false,"charter":true,
        "passageS":240.0,"fixS":30.0,"stowS":4.0,"tideS":900.0,"new":1}"#,
    )
    .expect("the protocol's example");
    assert_eq!((j.kind, j.priority, j.tasks), (Kind::Gang, Priority::High, 16));
    assert_eq!(j.deadline_s, Some(900.0));

    let r: WorkerHeartbeat = serde_json::from_value(json!({"vessel":"n-000231",
        "endpoint":"10.1.0.232:9000","hull":"g8","harbor":"a","charter":true,"watch":1,
        "logline":88,"helm":41,"recallS":null,
        "hauls":[{"haul":"wk-000412/3","sailing":2,"status":"running"},
                 {"haul":"wk-000398/0","sailing":1,"status":"exited","cause":"new one"},
                 {"haul":"other","sailing":1,"status":"running"}]}))
    .expect("a report");
    assert_eq!((r.incarnation, r.seq, r.token), (1, 88, 41));
    assert_eq!(r.tasks[0].state, TaskState::Running);
    assert_eq!(r.tasks[1].why, Some(ExitReason::Other));
    let task = |job, task| TaskId { job, task };
    assert_eq!(r.tasks[0].task, Some(task(412, 3)));
    assert_eq!(r.tasks[2].task, None, "one odd name does not spoil the report");

    let stop =
        Command { op: CommandKind::Stop, task: task(377, 1), attempt: 1, grace_s: Some(10.0) };
    let start = Command { op: CommandKind::Start, grace_s: None, ..stop.clone() };
    assert_eq!(
        json!([stop, start]),
        json!([{"order":"stop","haul":"wk-000377/1","sailing":1,"mooringS":10.0},
               {"order":"launch","haul":"wk-000377/1","sailing":1}])
    );

    let l: cloud::InstanceList = serde_json::from_value(json!({"fleet":[{"id":"n-000231",
        "endpoint":"10.1.0.232:9000","hull":"g8","harbor":"a","charter":true,
        "status":"starting","heldS":61.5}],"truncated":false}))
    .expect("a list");
    assert_eq!(l.machines[0].status, cloud::InstanceStatus::Starting);

    let t = state::Transaction {
        conditions: vec![state::Condition { key: "a/b".into(), version: 0 }],
        changes: vec![
            state::Change::Put { key: "a/b".into(), value: json!({}), lease: Some(7) },
            state::Change::Delete { key: "c/d".into() },
        ],
    };
    assert_eq!(
        json!(t),
        json!({"when":[{"path":"a/b","entry":0}],
               "then":[{"write":"a/b","value":{},"permit":7},{"delete":"c/d"}]})
    );
}

#[test]
fn job_names_and_numbers_match_one_to_one() {
    for n in [0, 1, 999_999, 1_000_000, 123_456_789] {
        assert_eq!(parse_job_id(&job_id(n)), Some(n));
    }
    for bad in ["", "wk-", "wk-1", "wk-0000001", "wk-00000x", "job-000001", "wk-+00001"] {
        assert_eq!(parse_job_id(bad), None, "{bad}");
    }
}

#[test]
fn mesh_messages_are_what_they_were_after_cbor() {
    let through = |msg| {
        let m = NodeMessage::Shard { from: 1, from_epoch: 7, to: 2, to_epoch: 9, msg };
        let mut bytes = Vec::new();
        ciborium::into_writer(&m, &mut bytes).expect("written");
        assert_eq!(ciborium::from_reader::<NodeMessage, _>(&bytes[..]).expect("read"), m);
        bytes.len()
    };
    through(ShardMessage::CloseNegotiation { negotiation: 1 << 40 });
    let most = QuotaAmount { cpu: u64::MAX, gpu: 1 };
    let first = Some(FirstInQueue { need: most, waited_ms: 9 });
    let usage =
        TeamUsage { first: [None, first, None, first], wanted: [most; 4], ..TeamUsage::of(3) };
    through(ShardMessage::TeamUsage { serial: 2, usage: vec![usage, TeamUsage::of(0)] });
    let granted = vec![TeamGrant { team: 3, may: most, due: QuotaAmount::default() }];
    through(ShardMessage::TeamGrant { serial: 2, granted });
    let states = [TaskState::Fetching, TaskState::Waiting, TaskState::Running, TaskState::Saving];
    let whys = [
        ExitReason::Done,
        ExitReason::Stopped,
        ExitReason::Peers,
        ExitReason::Alone,
        ExitReason::Error,
        ExitReason::Full,
        ExitReason::Busy,
    ];
    let ends =
        whys.iter().flat_map(|w| [TaskPhase::Exited(*w, false), TaskPhase::Exited(*w, true)]);
    let others =
        [TaskPhase::Decided, TaskPhase::Gone, TaskPhase::Exited(ExitReason::Unknown, false)];
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
    let size = through(ShardMessage::TaskEvents { events });
    assert!(size < 40 * n + 60, "{size} bytes for {n} events: most of the traffic is these");
    let bad = ciborium::Value::Integer(255.into());
    assert!(bad.deserialized::<TaskPhase>().is_err());
}

#[test]
fn settings_name_the_field_that_is_wrong() {
    let e = Settings::parse("{}").expect_err("nothing is set").to_string();
    assert!(e.contains("node_name"), "{e}");
    let e = Settings::parse("not json").expect_err("not JSON").to_string();
    assert!(e.contains("line 1"), "{e}");
}

#[test]
fn settings_with_impossible_teams_are_refused_by_their_key() {
    let with = |teams: serde_json::Value| {
        let mut s: serde_json::Value = serde_json::from_str(SETTINGS).expect("JSON");
        s["cluster"]["teams"] = teams;
        Settings::parse(&s.to_string()).map(|s| s.params.teams.len()).map_err(|e| e.to_string())
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
        let e = with(teams.clone()).expect_err(key);
        assert!(e.contains(key), "{teams}: {e}");
    }
    let nan = SETTINGS
        .replace(r#""teams": [{"name": "a"}]"#, r#""teams": [{"name": "a", "cpus_max": NaN}]"#);
    assert_ne!(nan, SETTINGS);
    assert!(Settings::parse(&nan).is_err());
}

/// What happens: a controller whose settings give it 1e300 MB of memory panics at its start, since the bound of its
/// buffers is more than a semaphore can count; one with a single file descriptor starts and accepts no connection.
/// Why: `cluster.resources` is read and not checked. What showed it: `leaddeal check` says "good" of both.
#[test]
fn settings_with_impossible_resources_are_refused_by_their_key() {
    let with = |resources: serde_json::Value| {
        let mut settings: serde_json::Value = serde_json::from_str(SETTINGS).expect("JSON");
        settings["cluster"]["resources"] = resources;
        Settings::parse(&settings.to_string()).map(|_| ()).map_err(|e| e.to_string())
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
