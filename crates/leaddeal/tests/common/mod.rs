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

/// The stand-in for the state service, and when its clock started.
struct StoreStandIn {
    state: Mutex<State>,
    started: Instant,
}

impl StoreStandIn {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

type Store = Arc<StoreStandIn>;

fn answer(result: StoreResult) -> Response {
    match result {
        StoreResult::Lease(lease) => Json(json!({ "permit": lease })).into_response(),
        StoreResult::LeaseRenewed => Json(json!({})).into_response(),
        StoreResult::NoLease | StoreResult::Item(None) => {
            (StatusCode::NOT_FOUND, "{}").into_response()
        }
        StoreResult::Committed(revision) => Json(json!({ "logbook": revision })).into_response(),
        StoreResult::Conflict(failed) => {
            (StatusCode::CONFLICT, Json(json!({"failed": failed, "logbook": 0}))).into_response()
        }
        StoreResult::Item(Some(item)) => Json(item).into_response(),
        StoreResult::Page(page) => Json(page).into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn execute(store: &Store, call: &StoreCall) -> Response {
    let now = store.now_ms();
    answer(store.state.lock().expect("the store").call(now, call))
}

async fn list(Ext(store): Ext<Store>, Query(query): Query<HashMap<String, String>>) -> Response {
    let prefix = query.get("under").cloned().unwrap_or_default();
    execute(&store, &StoreCall::List { prefix, after: query.get("after").cloned() })
}

async fn changes(Ext(store): Ext<Store>, Query(query): Query<HashMap<String, String>>) -> Response {
    let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
    let wait_until = Instant::now() + Duration::from_millis(number("waitMs"));
    loop {
        let found = {
            let mut state = store.state.lock().expect("the store");
            state.expire(store.now_ms());
            state.events(&query["under"], number("after"))
        };
        if !found.events.is_empty() || Instant::now() >= wait_until {
            return Json(found).into_response();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Serves the state service and the cloud, which has no capacity, on one port until the process ends.
fn serve_stand_ins(listener: TcpListener) {
    let state = Mutex::new(State::new(Broken::Nothing));
    let store: Store = Arc::new(StoreStandIn { state, started: Instant::now() });
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
            get(|Ext(store): Ext<Store>, Path(key): Path<String>| async move {
                execute(&store, &StoreCall::Get { key })
            }),
        )
        .route(
            "/multi",
            post(|Ext(store): Ext<Store>, Json(transaction): Json<Transaction>| async move {
                execute(&store, &StoreCall::Transaction(transaction))
            }),
        )
        .route(
            "/holds",
            post(|Ext(store): Ext<Store>, Json(request): Json<Value>| async move {
                let ttl_ms = request["lifeMs"].as_u64().unwrap_or(0);
                execute(&store, &StoreCall::NewLease { ttl_ms })
            }),
        )
        .route(
            "/holds/{id}/touch",
            post(|Ext(store): Ext<Store>, Path(lease): Path<u64>, _: Bytes| async move {
                execute(&store, &StoreCall::RenewLease { lease })
            }),
        )
        .route("/changes", get(changes))
        .with_state(store);
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async move {
            listener.set_nonblocking(true).expect("a socket");
            let listener = tokio::net::TcpListener::from_std(listener).expect("a socket");
            axum::serve(listener, app).await.expect("a server");
        });
    });
}

/// One request on a connection of its own; status 0 if there is no answer.
pub fn http(addr: &str, method: &str, path: &str, body: &str) -> (u16, String) {
    let go = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(addr)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    let Ok(text) = go() else { return (0, String::new()) };
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let body = text.split_once("\r\n\r\n").map(|x| x.1.to_string()).unwrap_or_default();
    (status, body)
}

/// One controller.
pub struct Node {
    /// As in the settings.
    #[allow(dead_code)]
    pub name: String,
    /// `ADDRESS:PORT` for users and workers.
    pub addr: String,
    /// None: it was killed.
    pub process: Option<Child>,
}

/// Three controllers, which are killed when this is dropped.
pub struct Cluster {
    pub nodes: Vec<Node>,
    /// Their settings, in the same order.
    files: Vec<PathBuf>,
}

fn run(file: &FilePath) -> Child {
    let mut program = Command::new(env!("CARGO_BIN_EXE_leaddeal"));
    program.arg("--config").arg(file).spawn().expect("the program starts")
}

impl Cluster {
    /// The addresses for users and workers, by node.
    pub fn addresses(&self) -> Vec<String> {
        self.nodes.iter().map(|node| node.addr.clone()).collect()
    }

    /// Kills a node's process and starts the next one after this time.
    #[allow(dead_code)]
    pub fn restart(&mut self, n: usize, after: Duration) {
        if let Some(mut process) = self.nodes[n].process.take() {
            process.kill().expect("killed");
            process.wait().expect("ended");
        }
        std::thread::sleep(after);
        self.nodes[n].process = Some(run(&self.files[n]));
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut process) = node.process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
    }
}

pub fn free() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub fn addr(listener: &TcpListener) -> String {
    listener.local_addr().expect("an address").to_string()
}

/// Three nodes with these resources.
pub fn start(resources: &Value) -> Cluster {
    let listener = free();
    let outside = addr(&listener);
    serve_stand_ins(listener);
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
            Node { name: format!("n-{n}"), addr: addrs[n].0.clone(), process: Some(child) }
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
