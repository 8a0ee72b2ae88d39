//! More than a controller can take, with the real program: refused at once, within its memory, and
//! it stays up. All traffic is on loopback and bounded in number and time.
use common::{http, job, start, until, Cluster};
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

mod common;

/// Sockets that each node is given; it keeps some of them for others than clients.
const SOCKETS: usize = 300;
const FOR_CLIENTS: usize = 200;

/// Resident memory of a node in MB, as the system tells it.
fn memory_mb(c: &Cluster, node: usize) -> u64 {
    let pid = c.nodes[node].process.as_ref().expect("a process").id();
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.expect("a process that is still there") / 1024
}

fn connect(addr: &str) -> TcpStream {
    let s = TcpStream::connect(addr).expect("a connection");
    s.set_read_timeout(Some(Duration::from_secs(8))).expect("a limit");
    s
}

/// What comes until the other side closes, or nothing more comes for the limit.
fn rest(s: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut some = [0; 4096];
    while let Ok(n @ 1..) = s.read(&mut some) {
        text.extend_from_slice(&some[..n]);
    }
    String::from_utf8_lossy(&text).into_owned()
}

fn head(length: usize) -> String {
    format!("POST /submissions HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n")
}

#[test]
fn too_much_is_refused_at_once_and_the_node_stays_up() {
    let mut c = start(&json!({"core_share": 1.0, "mem_mb": 64, "fd_limit": SOCKETS}));
    let at: Vec<String> = c.addresses();
    for a in &at {
        until("a node is up", || http(a, "GET", "/up", "").0 == 200);
    }
    let before = memory_mb(&c, 0);

    // Heads and lines longer than any of the protocol.
    let mut s = connect(&at[0]);
    let _ = write!(s, "GET /{} HTTP/1.1\r\n", "x".repeat(100_000));
    let _ = write!(s, "X: {}\r\n\r\n", "y".repeat(100_000));
    assert!(!rest(&mut s).contains(" 200 "), "a head of 200 KB");

    // Bodies of the largest size that begin and do not go on: some are let in, the others are
    // told to come later, before anything of the body is waited for.
    let asked = Instant::now();
    let mut slow: Vec<TcpStream> = (0..FOR_CLIENTS - 20)
        .map(|_| {
            let mut s = connect(&at[0]);
            write!(s, "{}{{", head(60_000)).expect("the beginning");
            s
        })
        .collect();
    let refused = slow.iter_mut().rev().take(20).filter(|s| {
        let mut some = [0; 512];
        let n = s.peek(&mut some).unwrap_or(0);
        let text = String::from_utf8_lossy(&some[..n]).to_lowercase();
        text.contains(" 503 ") && text.contains("retry-after")
    });
    assert_eq!(refused.count(), 20, "no memory for so many bodies");
    assert!(asked.elapsed() < Duration::from_secs(3), "at once: {:?}", asked.elapsed());
    let small = job("wk-000001", 1, "sweep").to_string();
    assert_eq!(http(&at[0], "POST", "/submissions", &small).0, 201, "small ones come through");
    // Those let in are not held for long either; the client is to try again, not to give up.
    let first = rest(&mut slow[0]);
    assert!(first.contains(" 503 "), "a body that never came: {first:?}");
    drop(slow);

    // More connections than sockets: the node answers those beyond, and closes them.
    until("the slots are free again", || http(&at[0], "GET", "/up", "").0 == 200);
    let many: Vec<TcpStream> = (0..FOR_CLIENTS + 30).map(|_| connect(&at[0])).collect();
    std::thread::sleep(Duration::from_millis(500));
    let mut last = connect(&at[0]);
    let text = rest(&mut last).to_lowercase();
    assert!(text.contains(" 503 ") && text.contains("retry-after"), "beyond the sockets: {text:?}");
    drop(many);
    until("the node is up after the crowd", || http(&at[0], "GET", "/up", "").0 == 200);

    // Thousands of submissions at once: each is answered in time, most at the first try or told
    // when to come again, and all are accepted in the end.
    let ids: Vec<u32> = (100..1900).collect();
    let started = Instant::now();
    std::thread::scope(|scope| {
        for (i, chunk) in ids.chunks(30).enumerate() {
            let addr = &at[i % 3];
            scope.spawn(move || {
                for id in chunk {
                    let body = job(&format!("wk-{id:06}"), 1, "sweep").to_string();
                    let end = Instant::now() + Duration::from_secs(60);
                    loop {
                        let asked = Instant::now();
                        let status = http(addr, "POST", "/submissions", &body).0;
                        assert!(asked.elapsed() < Duration::from_secs(5), "answered in time");
                        match status {
                            200 | 201 => break,
                            503 => std::thread::sleep(Duration::from_millis(300)),
                            other => panic!("{id}: {other}"),
                        }
                        assert!(Instant::now() < end, "{id} is accepted some time");
                    }
                }
            });
        }
    });
    println!("{} submissions in {:?}", ids.len(), started.elapsed());

    // All of it within memory, and nobody ended.
    for n in 0..3 {
        let now = memory_mb(&c, n);
        println!("node {n}: {now} MB ({before} MB at first)");
        assert!(now < 64, "node {n} holds {now} MB, {before} MB at first");
        let child = c.nodes[n].process.as_mut().expect("a process");
        assert!(child.try_wait().expect("its state").is_none(), "node {n} ended");
    }
}
