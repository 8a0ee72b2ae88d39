//! Real processes under overload: a controller refuses at once what exceeds its limits, stays within its memory
//! limit and does not end. All traffic is on loopback and limited in number and time.
use common::{http, job, start_cluster, wait_until, Cluster};
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

mod common;

/// File descriptor limit of each node.
const FD_LIMIT: usize = 300;
/// Connections of users and workers that a node accepts under [`FD_LIMIT`].
const MAX_CLIENT_CONNECTIONS: usize = 200;

/// Returns the resident memory of a node in MB, as the operating system reports it.
fn resident_memory_mb(cluster: &Cluster, node: usize) -> u64 {
    let pid = cluster.nodes[node].process.as_ref().expect("a process").id();
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.expect("a running process") / 1024
}

fn connect(addr: &str) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(8))).expect("a timeout");
    stream
}

/// Reads until the server closes the connection or sends nothing for the read timeout.
fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(n @ 1..) = stream.read(&mut buffer) {
        text.extend_from_slice(&buffer[..n]);
    }
    String::from_utf8_lossy(&text).into_owned()
}

fn submission_head(content_length: usize) -> String {
    format!("POST /submissions HTTP/1.1\r\nHost: x\r\nContent-Length: {content_length}\r\n\r\n")
}

#[test]
fn refuses_overload_at_once_and_stays_up() {
    let mut cluster =
        start_cluster(&json!({"core_share": 1.0, "mem_mb": 64, "fd_limit": FD_LIMIT}));
    let addrs: Vec<String> = cluster.addresses();
    for addr in &addrs {
        wait_until("a node is up", || http(addr, "GET", "/up", "").0 == 200);
    }
    let initial_memory_mb = resident_memory_mb(&cluster, 0);

    // A request head larger than any valid one.
    let mut stream = connect(&addrs[0]);
    let _ = write!(stream, "GET /{} HTTP/1.1\r\n", "x".repeat(100_000));
    let _ = write!(stream, "X: {}\r\n\r\n", "y".repeat(100_000));
    assert!(!read_to_end(&mut stream).contains(" 200 "), "a head of 200 KB");

    // Bodies of nearly the maximum size of which only the first byte is sent: the node waits for some of them,
    // and refuses the others with 503 without waiting for the body.
    let sent_at = Instant::now();
    let mut incomplete: Vec<TcpStream> = (0..MAX_CLIENT_CONNECTIONS - 20)
        .map(|_| {
            let mut stream = connect(&addrs[0]);
            write!(stream, "{}{{", submission_head(60_000)).expect("the request is sent");
            stream
        })
        .collect();
    let refused = incomplete.iter_mut().rev().take(20).filter(|stream| {
        let mut buffer = [0; 512];
        let n = stream.peek(&mut buffer).unwrap_or(0);
        let text = String::from_utf8_lossy(&buffer[..n]).to_lowercase();
        text.contains(" 503 ") && text.contains("retry-after")
    });
    assert_eq!(refused.count(), 20, "no memory for so many bodies");
    assert!(sent_at.elapsed() < Duration::from_secs(3), "refused after {:?}", sent_at.elapsed());
    let small = job("wk-000001", 1, "sweep").to_string();
    assert_eq!(http(&addrs[0], "POST", "/submissions", &small).0, 201, "a small body is accepted");
    // The node does not wait long for the other bodies either; a 503 tells the client to retry.
    let first = read_to_end(&mut incomplete[0]);
    assert!(first.contains(" 503 "), "an incomplete body: {first:?}");
    drop(incomplete);

    // More connections than the limit: the node answers those beyond it with 503 and closes them.
    wait_until("a connection is accepted again", || http(&addrs[0], "GET", "/up", "").0 == 200);
    let connections: Vec<TcpStream> =
        (0..MAX_CLIENT_CONNECTIONS + 30).map(|_| connect(&addrs[0])).collect();
    std::thread::sleep(Duration::from_millis(500));
    let mut last = connect(&addrs[0]);
    let text = read_to_end(&mut last).to_lowercase();
    assert!(
        text.contains(" 503 ") && text.contains("retry-after"),
        "a connection beyond the limit: {text:?}"
    );
    drop(connections);
    wait_until("the node is up after the excess connections", || {
        http(&addrs[0], "GET", "/up", "").0 == 200
    });

    // Thousands of submissions at once: each gets a response in time, most of them at the first attempt or with a
    // request to retry, and all are accepted in the end.
    let ids: Vec<u32> = (100..1900).collect();
    let started_at = Instant::now();
    std::thread::scope(|scope| {
        for (i, chunk) in ids.chunks(30).enumerate() {
            let addr = &addrs[i % 3];
            scope.spawn(move || {
                for id in chunk {
                    let body = job(&format!("wk-{id:06}"), 1, "sweep").to_string();
                    let deadline = Instant::now() + Duration::from_secs(60);
                    loop {
                        let sent_at = Instant::now();
                        let status = http(addr, "POST", "/submissions", &body).0;
                        assert!(sent_at.elapsed() < Duration::from_secs(5), "a late response");
                        match status {
                            200 | 201 => break,
                            503 => std::thread::sleep(Duration::from_millis(300)),
                            other => panic!("{id}: {other}"),
                        }
                        assert!(Instant::now() < deadline, "{id} is not accepted");
                    }
                }
            });
        }
    });
    println!("{} submissions in {:?}", ids.len(), started_at.elapsed());

    // All nodes stayed within the memory limit, and none ended.
    for n in 0..3 {
        let memory_mb = resident_memory_mb(&cluster, n);
        println!("node {n}: {memory_mb} MB ({initial_memory_mb} MB initially)");
        assert!(memory_mb < 64, "node {n} uses {memory_mb} MB, {initial_memory_mb} MB initially");
        let process = cluster.nodes[n].process.as_mut().expect("a process");
        assert!(process.try_wait().expect("the process state").is_none(), "node {n} ended");
    }
}
