//! Three real processes on loopback: the gateway, a worker, a kill.
use common::{http, job, start, until};
use leaddeal_testkit::worker::{CompletedTasks, Worker};
use leaddeal_wire::user::Job;
use leaddeal_wire::worker::{HeartbeatResponse, Redirect};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

mod common;

/// Reports like a worker does, and follows redirects, until the test ends.
fn worker(nodes: Vec<(String, String)>, jobs: Vec<Job>) {
    std::thread::spawn(move || {
        let start = Instant::now();
        let now = || start.elapsed().as_millis() as u64;
        let jobs: BTreeMap<String, Job> = jobs.into_iter().map(|j| (j.id.clone(), j)).collect();
        let mut w = Worker::new("m-000001", "small", "a", false, 0, 8000);
        let mut done = CompletedTasks::default();
        let mut at = 0;
        loop {
            w.advance(now(), &mut done, &jobs);
            let body = serde_json::to_string(&w.heartbeat()).expect("a report");
            let sent = now();
            let (status, text) = http(&nodes[at].1, "POST", "/checkin", &body);
            let to = serde_json::from_str::<Redirect>(&text).ok().and_then(|r| r.report_to);
            match (status, serde_json::from_str::<HeartbeatResponse>(&text)) {
                (200, Ok(a)) if a.token >= w.token => {
                    w.token = a.token;
                    w.lease_granted_at = sent;
                    w.execute(now(), &a.commands, &jobs);
                }
                _ => {
                    let named = nodes.iter().position(|n| Some(&n.0) == to.as_ref());
                    at = named.unwrap_or((at + 1) % nodes.len());
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    });
}

#[test]
fn three_processes_serve_users_and_survive_a_kill() {
    let mut c = start(&json!({}));
    let at: Vec<String> = c.addresses();
    for a in &at {
        until("a node is up", || http(a, "GET", "/up", "").0 == 200);
    }

    // The gateway: what is wrong is refused at once.
    let good = job("wk-000001", 3, "sweep");
    let with = |k: &str, v: Value| {
        let mut j = good.clone();
        j[k] = v;
        j["id"] = json!(if k == "id" { j["id"].clone() } else { json!("wk-000900") });
        j.to_string()
    };
    let submit = |body: &str| http(&at[0], "POST", "/submissions", body).0;
    for bad in ["", "x", "[]", "3", "{}"] {
        assert_eq!(submit(bad), 400, "{bad}");
    }
    for (k, v) in [
        ("id", json!("wk-1")),
        ("id", json!(7)),
        ("rig", json!("fleet")),
        ("hauls", json!(0)),
        ("hauls", json!(100_001)),
        ("hauls", json!(-1)),
        ("hauls", json!(1.5)),
        ("cores", json!("many")),
        ("cores", json!(-1.0)),
        ("precedence", json!("utmost")),
        ("charter", json!(null)),
        ("manifest", json!("")),
        ("hulls", json!("small")),
    ] {
        assert_eq!(submit(&with(k, v.clone())), 400, "{k} = {v}");
    }
    assert_eq!(submit(&"x".repeat(70_000)), 400, "too large");
    for (k, v) in [
        ("crew", json!("nobody")),
        ("cores", json!(64.0)),
        ("hulls", json!(["large"])),
        ("harbor", json!("nowhere")),
    ] {
        assert_eq!(submit(&with(k, v.clone())), 422, "{k} = {v}");
    }
    assert_eq!(http(&at[1], "GET", "/submissions/wk-000001", "").0, 404);
    assert_eq!(http(&at[1], "GET", "/nowhere", "").0, 404);
    assert_eq!(http(&at[1], "DELETE", "/submissions", "").0, 405);

    // Accepted once, known everywhere, whatever else a retry says.
    assert_eq!(submit(&good.to_string()), 201);
    assert_eq!(http(&at[2], "POST", "/submissions", &good.to_string()).0, 200);
    let mut odd = good.clone();
    odd["hauls"] = json!(0);
    assert_eq!(submit(&odd.to_string()), 200);
    let service = job("wk-000002", 1, "service");
    assert_eq!(http(&at[1], "POST", "/submissions", &service.to_string()).0, 201);

    let parse = |v: &Value| Job::parse(v.to_string().as_bytes()).expect("a job");
    let names = c.nodes.iter().map(|n| (n.name.clone(), n.addr.clone())).collect();
    let later = job("wk-000003", 2, "sweep");
    worker(names, vec![parse(&good), parse(&service), parse(&later)]);
    let is = |a: &str, id: &str, status: &str| {
        let (code, text) = http(a, "GET", &format!("/submissions/{id}"), "");
        code == 200 && text.contains(&format!("\"status\":\"{status}\""))
    };
    until("the array is done", || is(&at[0], "wk-000001", "done"));
    until("the service runs", || is(&at[1], "wk-000002", "running"));

    // One node is killed; the others take its work over.
    let mut dead = c.nodes[0].process.take().expect("a process");
    dead.kill().expect("killed");
    dead.wait().expect("ended");
    assert!(is(&at[1], "wk-000001", "done") || is(&at[2], "wk-000001", "done"));
    until("a job after the kill is accepted", || {
        matches!(http(&at[1], "POST", "/submissions", &later.to_string()).0, 200 | 201)
    });
    until("a job after the kill is done", || is(&at[2], "wk-000003", "done"));
    until("the service is cancelled", || {
        let (code, text) = http(&at[1], "POST", "/submissions/wk-000002/abort", "");
        code == 200 && text.contains("aborted")
    });
    assert!(is(&at[2], "wk-000002", "aborted"));
    assert!(is(&at[1], "wk-000001", "done"));
}
