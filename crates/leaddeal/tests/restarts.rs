//! A process that ends may be started again within a fraction of a second: real processes, killed
//! under load.
use common::{http, job, start, until, Cluster};
use serde_json::json;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

mod common;

fn alive(c: &mut Cluster) -> bool {
    c.nodes.iter_mut().all(|n| {
        let ended = n.process.as_mut().map(std::process::Child::try_wait);
        matches!(ended, Some(Ok(None)))
    })
}

#[test]
fn killed_twenty_times_and_started_within_50_ms_all_serve_on() {
    let mut c = start(&json!({}));
    let at: Vec<String> = c.addresses();
    for a in &at {
        until("a node is up", || http(a, "GET", "/up", "").0 == 200);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU32::new(0));
    let load: Vec<_> = (0..6)
        .map(|i| {
            let (at, stop, answered) = (at[i % 3].clone(), stop.clone(), answered.clone());
            std::thread::spawn(move || {
                // Connections that linger: asked on once and then kept open.
                let mut kept = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let (status, _) = http(&at, "GET", "/submissions/wk-000900", "");
                    answered.fetch_add(u32::from(status > 0), Ordering::Relaxed);
                    kept.extend(TcpStream::connect(&at));
                    if kept.len() > 30 {
                        kept.clear();
                    }
                    std::thread::sleep(Duration::from_millis(5));
                }
            })
        })
        .collect();
    let kept = job("wk-000001", 1, "service");
    until("a job is accepted", || {
        matches!(http(&at[0], "POST", "/submissions", &kept.to_string()).0, 200 | 201)
    });
    for i in 0..20 {
        let n = i % 3;
        c.restart(n, Duration::from_millis(20 + i as u64));
        let began = Instant::now();
        until("a restarted node answers", || http(&at[n], "GET", "/up", "").0 > 0);
        let took = began.elapsed();
        assert!(took < Duration::from_secs(2), "the port was free after {took:?}");
        assert!(alive(&mut c), "a process ended by itself at restart {i}");
    }
    stop.store(true, Ordering::Relaxed);
    for thread in load {
        thread.join().expect("the load");
    }
    assert!(answered.load(Ordering::Relaxed) > 200, "there was no load to speak of");
    for (i, a) in at.iter().enumerate() {
        until("a restarted node is up again", || http(a, "GET", "/up", "").0 == 200);
        until("it knows the job", || {
            let (code, text) = http(a, "GET", "/submissions/wk-000001", "");
            code == 200 && text.contains("queued")
        });
        // By a node that may have to ask a sibling, which listens to its newest process.
        let id = format!("wk-00001{i}");
        until("a job is accepted and known to all", || {
            let new = job(&id, 1, "sweep").to_string();
            let sent = http(a, "POST", "/submissions", &new).0;
            let known =
                at.iter().all(|b| http(b, "GET", &format!("/submissions/{id}"), "").0 == 200);
            matches!(sent, 200 | 201) && known
        });
    }
    assert!(alive(&mut c));
}
