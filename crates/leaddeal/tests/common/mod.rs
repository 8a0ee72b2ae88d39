//! Three real processes on loopback, with stand-ins for the state service and the cloud behind
//! real sockets.
use axum::body::Bytes;
use axum::extract::{Path, Query, State as Ext};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use leaddeal_core::io::{StoreCall, StoreResult};
use leaddeal_testkit::state::{Broken, State};
use leaddeal_wire::state::Transaction;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path as FilePath, PathBuf};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

type Store = Arc<(Mutex<State>, Instant)>;

fn answer(r: StoreResult) -> Response {
    match r {
        StoreResult::Lease(id) => Json(json!({ "permit": id })).into_response(),
        StoreResult::LeaseRenewed => Json(json!({})).into_response(),
        StoreResult::NoLease => (StatusCode::NOT_FOUND, "{}").into_response(),
        StoreResult::Committed(v) => Json(json!({ "logbook": v })).into_response(),
        StoreResult::Conflict(f) => {
            (StatusCode::CONFLICT, Json(json!({"failed": f, "logbook": 0}))).into_response()
        }
        StoreResult::Item(Some(i)) => Json(i).into_response(),
        StoreResult::Item(None) => (StatusCode::NOT_FOUND, "{}").into_response(),
        StoreResult::Page(p) => Json(p).into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn call(s: &Store, c: &StoreCall) -> Response {
    let now = s.1.elapsed().as_millis() as u64;
    answer(s.0.lock().expect("the store").call(now, c))
}

async fn list(Ext(s): Ext<Store>, Query(q): Query<HashMap<String, String>>) -> Response {
    let prefix = q.get("under").cloned().unwrap_or_default();
    call(&s, &StoreCall::List { prefix, after: q.get("after").cloned() })
}

async fn changes(Ext(s): Ext<Store>, Query(q): Query<HashMap<String, String>>) -> Response {
    let number = |k: &str| q.get(k).and_then(|v| v.parse().ok()).unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(number("waitMs"));
    loop {
        let e = {
            let mut state = s.0.lock().expect("the store");
            state.expire(s.1.elapsed().as_millis() as u64);
            state.events(&q["under"], number("after"))
        };
        if !e.events.is_empty() || Instant::now() >= until {
            return Json(e).into_response();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn services(l: TcpListener) {
    let store: Store = Arc::new((Mutex::new(State::new(Broken::Nothing)), Instant::now()));
    let catalog = json!({"hulls": [{"label": "small", "cores": 4, "gpus": 0, "memoryGb": 16,
        "localGb": 50, "pullGbPerS": 1.0, "price": 1.0, "marketPrice": 0.4, "startupS": 5,
        "harbors": ["a"]}]});
    let full = (StatusCode::SERVICE_UNAVAILABLE, Json(json!({"error": "no capacity"})));
    let none = Json(json!({"fleet": [], "truncated": false}));
    let app = Router::new()
        .route("/catalog", get(move || async move { Json(catalog) }))
        .route("/hosts", get(move || async move { none }).post(move || async move { full }))
        .route("/hosts/release", post(|| async { "{}" }))
        .route("/store", get(list))
        .route(
            "/store/{*key}",
            get(|Ext(s): Ext<Store>, Path(key): Path<String>| async move {
                call(&s, &StoreCall::Get { key })
            }),
        )
        .route(
            "/multi",
            post(|Ext(s): Ext<Store>, Json(t): Json<Transaction>| async move {
                call(&s, &StoreCall::Transaction(t))
            }),
        )
        .route(
            "/holds",
            post(|Ext(s): Ext<Store>, Json(v): Json<Value>| async move {
                let ttl_ms = v["lifeMs"].as_u64().unwrap_or(0);
                call(&s, &StoreCall::NewLease { ttl_ms })
            }),
        )
        .route(
            "/holds/{id}/touch",
            post(|Ext(s): Ext<Store>, Path(lease): Path<u64>, _: Bytes| async move {
                call(&s, &StoreCall::RenewLease { lease })
            }),
        )
        .route("/changes", get(changes))
        .with_state(store);
    std::thread::spawn(move || {
        let rt = tokio::runtime::Builder::new_current_thread().enable_all().build();
        rt.expect("a runtime").block_on(async move {
            l.set_nonblocking(true).expect("a socket");
            let l = tokio::net::TcpListener::from_std(l).expect("a socket");
            axum::serve(l, app).await.expect("a server");
        });
    });
}

/// One request on a connection of its own; status 0 if there is no answer.
pub fn http(addr: &str, method: &str, path: &str, body: &str) -> (u16, String) {
    let go = || -> std::io::Result<String> {
        let mut s = TcpStream::connect(addr)?;
        s.set_read_timeout(Some(Duration::from_secs(5)))?;
        write!(
            s,
            "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
        let mut text = String::new();
        s.read_to_string(&mut text)?;
        Ok(text)
    };
    let Ok(text) = go() else { return (0, String::new()) };
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let body = text.split_once("\r\n\r\n").map(|x| x.1.to_string()).unwrap_or_default();
    (status, body)
}

pub struct Cluster {
    /// Name, address and process of each node.
    pub nodes: Vec<(String, String, Option<Child>)>,
    /// Their settings, in the same order.
    files: Vec<PathBuf>,
}

fn run(file: &FilePath) -> Child {
    let mut program = Command::new(env!("CARGO_BIN_EXE_leaddeal"));
    program.arg("--config").arg(file).spawn().expect("the program starts")
}

impl Cluster {
    /// Kills a node's process and starts the next one so much later.
    #[allow(dead_code)]
    pub fn restart(&mut self, n: usize, after: Duration) {
        if let Some(mut c) = self.nodes[n].2.take() {
            c.kill().expect("killed");
            c.wait().expect("ended");
        }
        std::thread::sleep(after);
        self.nodes[n].2 = Some(run(&self.files[n]));
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for (_, _, c) in &mut self.nodes {
            if let Some(mut c) = c.take() {
                let _ = c.kill();
                let _ = c.wait();
            }
        }
    }
}

pub fn free() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub fn addr(l: &TcpListener) -> String {
    l.local_addr().expect("an address").to_string()
}

/// Three nodes with these resources.
pub fn start(resources: &Value) -> Cluster {
    let l = free();
    let outside = addr(&l);
    services(l);
    let ports: Vec<(TcpListener, TcpListener)> = (0..3).map(|_| (free(), free())).collect();
    let addrs: Vec<(String, String)> = ports.iter().map(|(a, b)| (addr(a), addr(b))).collect();
    drop(ports);
    let mut files = Vec::new();
    let nodes = (0..3)
        .map(|n| {
            let peers: Vec<Value> = (0..3)
                .filter(|&i| i != n)
                .map(|i| json!({"node_name": format!("n-{i}"), "zone": "a", "address": addrs[i].1}))
                .collect();
            let s = json!({
                "node_name": format!("n-{n}"), "zone": "a", "serve_on": addrs[n].0,
                "mesh_addr": addrs[n].1, "siblings": peers,
                "external": {"cloud": outside, "state": outside},
                "cluster": {"zones": ["a"], "teams": [{"name": "t"}],
                    "workers": {"report_s": 0.5, "lease_s": 8.0, "gang_wait_s": 20.0,
                                "gang_peer_s": 5.0, "cancel_s": 20.0},
                    "state": {"rps": 200, "write_rps": 100, "value_kb": 8, "txn_ops": 12},
                    "cloud": {"rps": 5, "list_lag_s": 2}, "resources": resources}
            });
            let file = FilePath::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
                "node-{}-{}.json",
                std::process::id(),
                addrs[n].0.replace(':', "-")
            ));
            std::fs::write(&file, s.to_string()).expect("a settings file");
            let child = run(&file);
            files.push(file);
            (format!("n-{n}"), addrs[n].0.clone(), Some(child))
        })
        .collect();
    Cluster { nodes, files }
}

pub fn until(what: &str, mut ok: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(40);
    while !ok() {
        assert!(Instant::now() < end, "{what}: not within 40 s");
        std::thread::sleep(Duration::from_millis(50));
    }
}

pub fn job(id: &str, tasks: u32, kind: &str) -> Value {
    json!({"id": id, "cargo": "c", "crew": "t", "rig": kind, "precedence": "normal",
           "hauls": tasks, "cores": 1.0, "gpus": 0.0, "memoryGb": 1.0, "manifest": "i",
           "imageGb": 0.1, "hulls": null, "harbor": null, "together": false, "scatter": false,
           "charter": true, "passageS": 0.2, "fixS": 0.0, "stowS": 0.0, "tideS": null})
}
