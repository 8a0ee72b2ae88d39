//! Users and a worker on a cluster of real processes, one of which is killed.
use common::{http, job, start_cluster, wait_until};
use leaddeal_testkit::worker::{CompletedTasks, Worker};
use leaddeal_wire::user::Job;
use leaddeal_wire::worker::{HeartbeatResponse, Redirect};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

mod common;

/// Starts a worker that sends heartbeats and follows redirects until the test ends.
fn spawn_worker(nodes: Vec<(String, String)>, jobs: Vec<Job>) {
    std::thread::spawn(move || {
        let start = Instant::now();
        let now = || start.elapsed().as_millis() as u64;
        let jobs: BTreeMap<String, Job> = jobs.into_iter().map(|j| (j.id.clone(), j)).collect();
        let mut worker = Worker::new("m-000001", "small", "a", false, 0, 8000);
        let mut done = CompletedTasks::default();
        let mut target = 0;
        loop {
            worker.advance(now(), &mut done, &jobs);
            let body = serde_json::to_string(&worker.heartbeat()).expect("a heartbeat");
            let sent_at = now();
            let (status, text) = http(&nodes[target].1, "POST", "/checkin", &body);
            let report_to = serde_json::from_str::<Redirect>(&text).ok().and_then(|r| r.report_to);
            match (status, serde_json::from_str::<HeartbeatResponse>(&text)) {
                (200, Ok(response)) if response.token >= worker.token => {
                    worker.token = response.token;
                    worker.lease_granted_at = sent_at;
                    worker.execute(now(), &response.commands, &jobs);
                }
                _ => {
                    let named = nodes.iter().position(|node| Some(&node.0) == report_to.as_ref());
                    target = named.unwrap_or((target + 1) % nodes.len());
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    });
}

#[test]
fn serves_users_after_a_node_is_killed() {
    let mut cluster = start_cluster(&json!({}));
    let addrs: Vec<String> = cluster.addresses();
    for addr in &addrs {
        wait_until("a node is up", || http(addr, "GET", "/up", "").0 == 200);
    }

    // Invalid requests are rejected at once.
    let valid = job("wk-000001", 3, "sweep");
    let with = |k: &str, v: Value| {
        let mut job = valid.clone();
        job[k] = v;
        job["id"] = json!(if k == "id" { job["id"].clone() } else { json!("wk-000900") });
        job.to_string()
    };
    let submit = |body: &str| http(&addrs[0], "POST", "/submissions", body).0;
    for body in ["", "x", "[]", "3", "{}"] {
        assert_eq!(submit(body), 400, "{body}");
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
    assert_eq!(http(&addrs[1], "GET", "/submissions/wk-000001", "").0, 404);
    assert_eq!(http(&addrs[1], "GET", "/nowhere", "").0, 404);
    assert_eq!(http(&addrs[1], "DELETE", "/submissions", "").0, 405);

    // A job is accepted once and known to all nodes; a retry succeeds even if it is otherwise invalid.
    assert_eq!(submit(&valid.to_string()), 201);
    assert_eq!(http(&addrs[2], "POST", "/submissions", &valid.to_string()).0, 200);
    let mut invalid_retry = valid.clone();
    invalid_retry["hauls"] = json!(0);
    assert_eq!(submit(&invalid_retry.to_string()), 200);
    let service = job("wk-000002", 1, "service");
    assert_eq!(http(&addrs[1], "POST", "/submissions", &service.to_string()).0, 201);

    let parse = |v: &Value| Job::parse(v.to_string().as_bytes()).expect("a job");
    let nodes = cluster.nodes.iter().map(|n| (n.name.clone(), n.addr.clone())).collect();
    let job_after_kill = job("wk-000003", 2, "sweep");
    spawn_worker(nodes, vec![parse(&valid), parse(&service), parse(&job_after_kill)]);
    let has_status = |addr: &str, id: &str, status: &str| {
        let (code, text) = http(addr, "GET", &format!("/submissions/{id}"), "");
        code == 200 && text.contains(&format!("\"status\":\"{status}\""))
    };
    wait_until("the array is done", || has_status(&addrs[0], "wk-000001", "done"));
    wait_until("the service runs", || has_status(&addrs[1], "wk-000002", "running"));

    // One node is killed, and the others take over its shards.
    let mut killed = cluster.nodes[0].process.take().expect("a process");
    killed.kill().expect("killed");
    killed.wait().expect("ended");
    assert!(
        has_status(&addrs[1], "wk-000001", "done") || has_status(&addrs[2], "wk-000001", "done")
    );
    wait_until("a job after the kill is accepted", || {
        matches!(http(&addrs[1], "POST", "/submissions", &job_after_kill.to_string()).0, 200 | 201)
    });
    wait_until("a job after the kill is done", || has_status(&addrs[2], "wk-000003", "done"));
    wait_until("the service is cancelled", || {
        let (code, text) = http(&addrs[1], "POST", "/submissions/wk-000002/abort", "");
        code == 200 && text.contains("aborted")
    });
    assert!(has_status(&addrs[2], "wk-000002", "aborted"));
    assert!(has_status(&addrs[1], "wk-000001", "done"));
}
