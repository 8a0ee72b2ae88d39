//! Real processes under many status queries of users, while a controller ends and its shard fails over. All
//! traffic is on loopback and limited in number and time.
use common::{http, job, start_cluster, wait_until};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::{Duration, Instant};

mod common;

const JOBS: u32 = 60;
const USERS: usize = 24;
/// Status queries of each user, sent before and during the failover.
const QUERIES_PER_USER: usize = 150;

/// Returns invalid submissions and the status with which each must be rejected.
fn invalid_submissions() -> Vec<(Value, u16)> {
    let with = |field: &str, value: Value| {
        let mut job = job("wk-900001", 1, "sweep");
        job[field] = value;
        job
    };
    let mut without_cores = job("wk-900001", 1, "sweep");
    without_cores.as_object_mut().expect("an object").remove("cores");
    vec![
        (json!([]), 400),
        (without_cores, 400),
        (with("hauls", json!("many")), 400),
        (with("hauls", json!(0)), 400),
        (with("hauls", json!(100_001)), 400),
        (with("rig", json!("circle")), 400),
        (with("crew", json!("nobody")), 422),
        (with("cores", json!(1000.0)), 422),
        (with("hulls", json!(["none"])), 422),
    ]
}

#[test]
fn answers_for_every_job_under_query_load() {
    let mut cluster = start_cluster(&json!({"core_share": 1.0, "mem_mb": 64, "fd_limit": 600}));
    let addrs: Vec<String> = cluster.addresses();
    for addr in &addrs {
        wait_until("a node is up", || http(addr, "GET", "/up", "").0 == 200);
    }
    let job_ids: Vec<String> = (0..JOBS).map(|n| format!("wk-{n:06}")).collect();
    for (i, id) in job_ids.iter().enumerate() {
        let body = job(id, 3, "sweep").to_string();
        wait_until("a job is accepted", || {
            matches!(http(&addrs[i % 3], "POST", "/submissions", &body).0, 200 | 201)
        });
    }
    let (answered, slowest) = (Mutex::new(BTreeSet::new()), Mutex::new(Duration::ZERO));
    let started_at = Instant::now();
    std::thread::scope(|scope| {
        for user in 0..USERS {
            let (addrs, job_ids, answered, slowest) = (&addrs, &job_ids, &answered, &slowest);
            scope.spawn(move || {
                for n in 0..QUERIES_PER_USER {
                    let id = &job_ids[(user * 7 + n) % job_ids.len()];
                    // Skips the node that is restarted, as a load balancer would.
                    let addr = &addrs[[0, 2][n % 2]];
                    let sent_at = Instant::now();
                    let (status, body) = http(addr, "GET", &format!("/submissions/{id}"), "");
                    let response_time = sent_at.elapsed();
                    let mut longest = slowest.lock().expect("the slowest response");
                    *longest = response_time.max(*longest);
                    assert!(matches!(status, 200 | 503), "{id}: {status} {body}");
                    if status == 200 {
                        answered.lock().expect("the answered jobs").insert(id.clone());
                    }
                }
            });
        }
        let addrs = &addrs;
        scope.spawn(move || {
            for (body, status) in invalid_submissions().iter().cycle().take(60) {
                let received = http(&addrs[0], "POST", "/submissions", &body.to_string()).0;
                assert!(
                    received == *status || received == 503,
                    "{body}: {received} instead of {status}"
                );
            }
        });
        // A shard fails over during the load.
        std::thread::sleep(Duration::from_millis(300));
        cluster.restart(1, Duration::from_millis(1500));
    });
    let slowest = slowest.into_inner().expect("the slowest response");
    let answered = answered.into_inner().expect("the answered jobs").len();
    println!(
        "{answered} of {JOBS} jobs answered in {:?}, the slowest after {slowest:?}",
        started_at.elapsed()
    );
    assert!(slowest < Duration::from_secs(3), "{slowest:?}: users wait for 2 s");
    // Each job's state is available: no job is refused forever, on any node.
    for (i, id) in job_ids.iter().enumerate() {
        wait_until("the state of each job is returned", || {
            http(&addrs[i % 3], "GET", &format!("/submissions/{id}"), "").0 == 200
        });
    }
    // No invalid submission is stored.
    let (status, _) = http(&addrs[2], "GET", "/submissions/wk-900001", "");
    assert_eq!(status, 404);
}
