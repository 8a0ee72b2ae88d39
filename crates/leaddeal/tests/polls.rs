//! Users ask about their jobs far more often than before, with the real program, while a controller
//! ends and its shard is taken over. All traffic is on loopback and bounded in number and time.
use common::{http, job, start, until};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::{Duration, Instant};

mod common;

const JOBS: u32 = 60;
const USERS: usize = 24;
/// Questions that each user asks before and during the storm's hard part.
const QUESTIONS: usize = 150;

/// Submissions that are wrong, and the answers that the protocol has for them.
fn wrong() -> Vec<(Value, u16)> {
    let with = |field: &str, value: Value| {
        let mut j = job("wk-900001", 1, "sweep");
        j[field] = value;
        j
    };
    let mut lacking = job("wk-900001", 1, "sweep");
    lacking.as_object_mut().expect("an object").remove("cores");
    vec![
        (json!([]), 400),
        (lacking, 400),
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
fn every_job_is_answered_about_in_a_storm_of_questions() {
    let mut c = start(&json!({"core_share": 1.0, "mem_mb": 64, "fd_limit": 600}));
    let at: Vec<String> = c.addresses();
    for a in &at {
        until("a node is up", || http(a, "GET", "/up", "").0 == 200);
    }
    let names: Vec<String> = (0..JOBS).map(|n| format!("wk-{n:06}")).collect();
    for (i, id) in names.iter().enumerate() {
        let body = job(id, 3, "sweep").to_string();
        until("accepted", || {
            matches!(http(&at[i % 3], "POST", "/submissions", &body).0, 200 | 201)
        });
    }
    let (answered, slowest) = (Mutex::new(BTreeSet::new()), Mutex::new(Duration::ZERO));
    let begun = Instant::now();
    std::thread::scope(|s| {
        for user in 0..USERS {
            let (at, names, answered, slowest) = (&at, &names, &answered, &slowest);
            s.spawn(move || {
                for n in 0..QUESTIONS {
                    let id = &names[(user * 7 + n) % names.len()];
                    // The one that ends is not asked: a load balancer would leave it out.
                    let addr = &at[[0, 2][n % 2]];
                    let asked = Instant::now();
                    let (status, body) = http(addr, "GET", &format!("/submissions/{id}"), "");
                    let took = asked.elapsed();
                    let mut most = slowest.lock().expect("the slowest");
                    *most = took.max(*most);
                    assert!(matches!(status, 200 | 503), "{id}: {status} {body}");
                    if status == 200 {
                        answered.lock().expect("who was answered").insert(id.clone());
                    }
                }
            });
        }
        let at = &at;
        s.spawn(move || {
            for (body, status) in wrong().iter().cycle().take(60) {
                let got = http(&at[0], "POST", "/submissions", &body.to_string()).0;
                assert!(got == *status || got == 503, "{body}: {got} instead of {status}");
            }
        });
        // A shard changes hands in the middle of it.
        std::thread::sleep(Duration::from_millis(300));
        c.restart(1, Duration::from_millis(1500));
    });
    let slowest = slowest.into_inner().expect("the slowest");
    let told = answered.into_inner().expect("who was answered").len();
    println!("{told} of {JOBS} jobs told in {:?}, the slowest after {slowest:?}", begun.elapsed());
    assert!(slowest < Duration::from_secs(3), "{slowest:?}: users wait for 2 s");
    // Nobody's job is the one that is always refused, whoever is asked.
    for (i, id) in names.iter().enumerate() {
        until("told of each job", || {
            http(&at[i % 3], "GET", &format!("/submissions/{id}"), "").0 == 200
        });
    }
    // Nothing of what was wrong is kept.
    let (status, _) = http(&at[2], "GET", "/submissions/wk-900001", "");
    assert_eq!(status, 404);
}
