//! Real processes that are killed under load and restarted within a fraction of a second.
use common::{http, job, start_cluster, wait_until, Cluster};
use serde_json::json;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

mod common;

/// Returns whether all processes of the cluster are running.
fn all_running(cluster: &mut Cluster) -> bool {
    cluster.nodes.iter_mut().all(|node| {
        let exit_status = node.process.as_mut().map(std::process::Child::try_wait);
        matches!(exit_status, Some(Ok(None)))
    })
}

#[test]
fn serves_after_repeated_kills_and_quick_restarts() {
    let mut cluster = start_cluster(&json!({}));
    let addrs: Vec<String> = cluster.addresses();
    for addr in &addrs {
        wait_until("a node is up", || http(addr, "GET", "/up", "").0 == 200);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let responses = Arc::new(AtomicU32::new(0));
    let load_threads: Vec<_> = (0..6)
        .map(|i| {
            let (addr, stop, responses) = (addrs[i % 3].clone(), stop.clone(), responses.clone());
            std::thread::spawn(move || {
                // Connections that stay open without a request.
                let mut open_connections = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let (status, _) = http(&addr, "GET", "/submissions/wk-000900", "");
                    responses.fetch_add(u32::from(status > 0), Ordering::Relaxed);
                    open_connections.extend(TcpStream::connect(&addr));
                    if open_connections.len() > 30 {
                        open_connections.clear();
                    }
                    std::thread::sleep(Duration::from_millis(5));
                }
            })
        })
        .collect();
    let service = job("wk-000001", 1, "service");
    wait_until("a job is accepted", || {
        matches!(http(&addrs[0], "POST", "/submissions", &service.to_string()).0, 200 | 201)
    });
    for i in 0..20 {
        let n = i % 3;
        cluster.restart(n, Duration::from_millis(20 + i as u64));
        let restarted_at = Instant::now();
        wait_until("a restarted node responds", || http(&addrs[n], "GET", "/up", "").0 > 0);
        let response_time = restarted_at.elapsed();
        assert!(response_time < Duration::from_secs(2), "a response only after {response_time:?}");
        assert!(all_running(&mut cluster), "a process ended by itself at restart {i}");
    }
    stop.store(true, Ordering::Relaxed);
    for thread in load_threads {
        thread.join().expect("the load thread");
    }
    assert!(responses.load(Ordering::Relaxed) > 200, "too little load");
    for (i, addr) in addrs.iter().enumerate() {
        wait_until("a restarted node is up again", || http(addr, "GET", "/up", "").0 == 200);
        wait_until("the node knows the job", || {
            let (code, text) = http(addr, "GET", "/submissions/wk-000001", "");
            code == 200 && text.contains("queued")
        });
        // The node may have to query a peer, which must receive from the node's newest process.
        let id = format!("wk-00001{i}");
        wait_until("a job is accepted and known to all", || {
            let new_job = job(&id, 1, "sweep").to_string();
            let status = http(addr, "POST", "/submissions", &new_job).0;
            let is_known = addrs
                .iter()
                .all(|peer| http(peer, "GET", &format!("/submissions/{id}"), "").0 == 200);
            matches!(status, 200 | 201) && is_known
        });
    }
    assert!(all_running(&mut cluster));
}
