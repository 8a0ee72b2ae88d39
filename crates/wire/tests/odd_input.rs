//! Invalid input from the wire must be refused without a panic, and accepted input must have every
//! field, in range.
use leaddeal_wire::cloud::InstanceList;
use leaddeal_wire::mesh::{Hello, NodeMessage};
use leaddeal_wire::settings::Settings;
use leaddeal_wire::state::{Events, Page};
use leaddeal_wire::user::{parse_job_id, Job};
use leaddeal_wire::worker::{HeartbeatResponse, WorkerHeartbeat};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};

fn job() -> Value {
    json!({"id":"wk-000412","cargo":"train","crew":"vision","rig":"group","precedence":"high",
        "hauls":16,"cores":8.0,"gpus":1.0,"memoryGb":64.0,"manifest":"img-07","imageGb":6.2,
        "hulls":["g8"],"harbor":"a","together":true,"scatter":false,"charter":true,
        "passageS":240.0,"fixS":30.0,"stowS":4.0,"tideS":900.0})
}

/// Fields of a job that may be null or absent.
const MAY_BE_NULL: [&str; 3] = ["hulls", "harbor", "tideS"];

fn parse(value: &Value) -> Option<Job> {
    Job::parse(value.to_string().as_bytes()).ok()
}

/// A job without `gpus` was once accepted as one that needs no GPUs.
#[test]
fn rejects_job_without_a_required_field() {
    let complete = job();
    assert!(parse(&complete).is_some());
    for name in complete.as_object().expect("an object").keys() {
        let may_lack = MAY_BE_NULL.contains(&name.as_str());
        let mut incomplete = complete.clone();
        incomplete.as_object_mut().expect("an object").remove(name);
        assert_eq!(parse(&incomplete).is_some(), may_lack, "without {name}");
        incomplete[name] = Value::Null;
        assert_eq!(parse(&incomplete).is_some(), may_lack, "{name} null");
    }
}

fn odd_value() -> impl Strategy<Value = Value> {
    let numbers = prop_oneof![
        Just(json!(-1)),
        Just(json!(0)),
        Just(json!(-0.0)),
        Just(json!(1e300)),
        Just(json!(u64::MAX)),
        Just(json!(i64::MIN)),
        Just(json!(0.5)),
        any::<f64>().prop_map(|f| json!(f)),
        any::<u64>().prop_map(|n| json!(n)),
    ];
    let texts = prop_oneof![
        Just(String::new()),
        Just("x".repeat(300)),
        "\\PC{0,8}".prop_map(|s| s),
        "wk-[0-9]{0,20}".prop_map(|s| s),
    ];
    prop_oneof![
        numbers,
        texts.prop_map(|s| json!(s)),
        Just(json!(true)),
        Just(json!([])),
        Just(json!([1, "x", null])),
        Just(json!({"a": {}})),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..Default::default() })]

    #[test]
    fn accepted_jobs_are_in_range(at in 0usize..20, value in odd_value()) {
        let mut submission = job();
        let names: Vec<String> = submission.as_object().expect("an object").keys().cloned().collect();
        submission[&names[at % names.len()]] = value;
        if let Some(job) = parse(&submission) {
            prop_assert!(parse_job_id(&job.id).is_some());
            prop_assert!((1..=100_000).contains(&job.tasks));
            let durations = [job.estimate_s, job.checkpoint_s, job.save_s, job.deadline_s.unwrap_or(0.0)];
            let amounts = [job.cpus, job.gpus, job.memory_gb, job.image_gb];
            for n in durations.into_iter().chain(amounts) {
                prop_assert!(n.is_finite() && n >= 0.0, "{n}");
            }
            prop_assert!(job.cpus > 0.0 && !job.team.is_empty() && !job.image.is_empty());
            // The stored record must decode to the same job after a failover.
            let kept = serde_json::to_value(&job).expect("written");
            prop_assert_eq!(serde_json::from_value::<Job>(kept).expect("read"), job);
        }
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Job::parse(&bytes);
        let _ = serde_json::from_slice::<WorkerHeartbeat>(&bytes);
        let _ = serde_json::from_slice::<HeartbeatResponse>(&bytes);
        let _ = serde_json::from_slice::<Page>(&bytes);
        let _ = serde_json::from_slice::<Events>(&bytes);
        let _ = serde_json::from_slice::<InstanceList>(&bytes);
        let _ = ciborium::from_reader::<NodeMessage, _>(&bytes[..]);
        let _ = ciborium::from_reader::<Hello, _>(&bytes[..]);
        let _ = Settings::parse(&String::from_utf8_lossy(&bytes));
    }

    /// A valid message with one byte changed or its end cut off.
    #[test]
    fn corrupted_messages_cause_no_panic(at in 0usize..400, byte in any::<u8>(), cut in any::<bool>()) {
        let heartbeat = json!({"vessel":"n-000231","endpoint":"10.1.0.232:9000","hull":"g8","harbor":"a",
            "charter":true,"watch":1,"logline":88,"helm":41,"recallS":null,
            "hauls":[{"haul":"wk-000412/3","sailing":2,"status":"running"}]});
        let report: WorkerHeartbeat = serde_json::from_value(heartbeat.clone()).expect("a heartbeat");
        let mut frame = Vec::new();
        let message = NodeMessage::RelayedHeartbeat { call: 7, report: Box::new(report) };
        ciborium::into_writer(&message, &mut frame).expect("written");
        for mut bytes in [frame, heartbeat.to_string().into_bytes()] {
            let at = at % bytes.len();
            if cut {
                bytes.truncate(at);
            } else {
                bytes[at] = byte;
            }
            let _ = ciborium::from_reader::<NodeMessage, _>(&bytes[..]);
            let _ = serde_json::from_slice::<WorkerHeartbeat>(&bytes);
        }
    }
}
