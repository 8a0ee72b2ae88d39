//! The odd names on the wire, as the protocol gives them.
use leaddeal_wire::mesh::{NodeMsg, Phase, ShardMsg, TaskEvent};
use leaddeal_wire::user::{job_id, parse_job_id, Job, Kind, Priority};
use leaddeal_wire::worker::{Op, Order, Report, TaskId, TaskState, Why};
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

    let r: Report = serde_json::from_value(json!({"vessel":"n-000231",
        "endpoint":"10.1.0.232:9000","hull":"g8","harbor":"a","charter":true,"watch":1,
        "logline":88,"helm":41,"recallS":null,
        "hauls":[{"haul":"wk-000412/3","sailing":2,"status":"running"},
                 {"haul":"wk-000398/0","sailing":1,"status":"exited","cause":"new one"},
                 {"haul":"other","sailing":1,"status":"running"}]}))
    .expect("a report");
    assert_eq!((r.session, r.seq, r.token), (1, 88, 41));
    assert_eq!(r.tasks[0].state, TaskState::Running);
    assert_eq!(r.tasks[1].why, Some(Why::Other));
    let task = |job, task| TaskId { job, task };
    assert_eq!(r.tasks[0].task, Some(task(412, 3)));
    assert_eq!(r.tasks[2].task, None, "one odd name does not spoil the report");

    let stop = Order { op: Op::Stop, task: task(377, 1), attempt: 1, grace_s: Some(10.0) };
    let start = Order { op: Op::Start, grace_s: None, ..stop.clone() };
    assert_eq!(
        json!([stop, start]),
        json!([{"order":"stop","haul":"wk-000377/1","sailing":1,"mooringS":10.0},
               {"order":"launch","haul":"wk-000377/1","sailing":1}])
    );

    let l: cloud::Listing = serde_json::from_value(json!({"fleet":[{"id":"n-000231",
        "endpoint":"10.1.0.232:9000","hull":"g8","harbor":"a","charter":true,
        "status":"starting","heldS":61.5}],"truncated":false}))
    .expect("a list");
    assert_eq!(l.machines[0].status, cloud::ListedStatus::Starting);

    let t = state::Txn {
        conds: vec![state::Cond { key: "a/b".into(), version: 0 }],
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

/// Only what may be null may be absent.
#[test]
fn a_submission_that_lacks_a_field_is_refused() {
    let good = json!({"id":"wk-000412","cargo":"train","crew":"vision","rig":"group",
        "precedence":"high","hauls":16,"cores":8.0,"gpus":1.0,"memoryGb":64.0,"manifest":"img-07",
        "imageGb":6.2,"hulls":["g8"],"harbor":"a","together":true,"scatter":false,"charter":true,
        "passageS":240.0,"fixS":30.0,"stowS":4.0,"tideS":900.0});
    let fields: Vec<String> = good.as_object().expect("an object").keys().cloned().collect();
    for field in fields {
        let (mut without, mut null) = (good.clone(), good.clone());
        without.as_object_mut().expect("an object").remove(&field);
        null[&field] = json!(null);
        for v in [without, null] {
            let read = Job::parse(v.to_string().as_bytes());
            let may_be_null = ["hulls", "harbor", "tideS"].contains(&field.as_str());
            assert_eq!(read.is_ok(), may_be_null, "{v}");
        }
    }
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
        let m = NodeMsg::Shard { from: 1, from_epoch: 7, to: 2, to_epoch: 9, msg };
        let mut bytes = Vec::new();
        ciborium::into_writer(&m, &mut bytes).expect("written");
        assert_eq!(ciborium::from_reader::<NodeMsg, _>(&bytes[..]).expect("read"), m);
        bytes.len()
    };
    through(ShardMsg::Close { negotiation: 1 << 40 });
    let states = [TaskState::Fetching, TaskState::Waiting, TaskState::Running, TaskState::Saving];
    let whys = [Why::Done, Why::Stopped, Why::Peers, Why::Alone, Why::Error, Why::Full, Why::Busy];
    let ends = whys.iter().flat_map(|w| [Phase::Exited(*w, false), Phase::Exited(*w, true)]);
    let others = [Phase::Decided, Phase::Gone, Phase::Exited(Why::Unknown, false)];
    let phases = states.into_iter().map(Phase::On).chain(ends).chain(others);
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
    let size = through(ShardMsg::Events { events });
    assert!(size < 40 * n + 60, "{size} bytes for {n} events: most of the traffic is these");
    let bad = ciborium::Value::Integer(255.into());
    assert!(bad.deserialized::<Phase>().is_err());
}

#[test]
fn settings_name_the_field_that_is_wrong() {
    let e = Settings::parse("{}").expect_err("nothing is set").to_string();
    assert!(e.contains("node_name"), "{e}");
    let e = Settings::parse("not json").expect_err("not JSON").to_string();
    assert!(e.contains("line 1"), "{e}");
}
