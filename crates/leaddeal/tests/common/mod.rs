//! A cluster of three controller processes on loopback, with stand-ins for the key-value store and the cloud that
//! listen on real sockets.
use axum::body::Bytes;
use axum::extract::{Path, Query, State as Ext};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use leaddeal_core::io::{StoreCall, StoreResult};
use leaddeal_testkit::state::{StoreDefect, StoreModel};
use leaddeal_wire::state::Transaction;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path as FilePath, PathBuf};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The stand-in for the key-value store, and the time at which its clock started.
struct StoreStandIn {
    state: Mutex<StoreModel>,
    started: Instant,
}

impl StoreStandIn {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

type Store = Arc<StoreStandIn>;

fn store_response(result: StoreResult) -> Response {
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
    store_response(store.state.lock().expect("the store").call(now, call))
}

async fn list(Ext(store): Ext<Store>, Query(query): Query<HashMap<String, String>>) -> Response {
    let prefix = query.get("under").cloned().unwrap_or_default();
    execute(&store, &StoreCall::List { prefix, after: query.get("after").cloned() })
}

async fn changes(Ext(store): Ext<Store>, Query(query): Query<HashMap<String, String>>) -> Response {
    let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(number("waitMs"));
    loop {
        let events = {
            let mut state = store.state.lock().expect("the store");
            state.expire(store.now_ms());
            state.events(&query["under"], number("after"))
        };
        if !events.events.is_empty() || Instant::now() >= deadline {
            return Json(events).into_response();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Serves the stand-ins for the store and the cloud, which has no capacity, on one port until the process ends.
fn serve_stand_ins(listener: TcpListener) {
    let state = Mutex::new(StoreModel::new(StoreDefect::None));
    let store: Store = Arc::new(StoreStandIn { state, started: Instant::now() });
    let catalog = json!({"hulls": [{"label": "small", "cores": 4, "gpus": 0, "memoryGb": 16,
        "localGb": 50, "pullGbPerS": 1.0, "price": 1.0, "marketPrice": 0.4, "startupS": 5,
        "harbors": ["a"]}]});
    let no_capacity = (StatusCode::SERVICE_UNAVAILABLE, Json(json!({"error": "no capacity"})));
    let no_instances = Json(json!({"fleet": [], "truncated": false}));
    let app = Router::new()
        .route("/catalog", get(move || async move { Json(catalog) }))
        .route(
            "/hosts",
            get(move || async move { no_instances }).post(move || async move { no_capacity }),
        )
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

/// Sends one request on a connection of its own. Returns the status and the body; status 0 if there is no
/// response.
pub fn http(addr: &str, method: &str, path: &str, body: &str) -> (u16, String) {
    let exchange = || -> std::io::Result<String> {
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
    let Ok(text) = exchange() else { return (0, String::new()) };
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let body = text.split_once("\r\n\r\n").map(|x| x.1.to_string()).unwrap_or_default();
    (status, body)
}

/// One controller process.
pub struct Node {
    /// Name in the settings.
    #[allow(dead_code)]
    pub name: String,
    /// Address (`ADDRESS:PORT`) for users and workers.
    pub addr: String,
    /// `None` if the process was killed and not restarted.
    pub process: Option<Child>,
}

/// Three controllers. Dropping the cluster kills them.
pub struct Cluster {
    pub nodes: Vec<Node>,
    /// Settings files of the nodes, in the same order.
    settings_files: Vec<PathBuf>,
}

fn spawn_controller(settings_file: &FilePath) -> Child {
    let mut program = Command::new(env!("CARGO_BIN_EXE_leaddeal"));
    program.arg("--config").arg(settings_file).spawn().expect("the program starts")
}

impl Cluster {
    /// Returns the nodes' addresses for users and workers, in the order of the nodes.
    pub fn addresses(&self) -> Vec<String> {
        self.nodes.iter().map(|node| node.addr.clone()).collect()
    }

    /// Kills a node's process, waits for `delay` and starts a new process of the node.
    #[allow(dead_code)]
    pub fn restart(&mut self, n: usize, delay: Duration) {
        if let Some(mut process) = self.nodes[n].process.take() {
            process.kill().expect("killed");
            process.wait().expect("ended");
        }
        std::thread::sleep(delay);
        self.nodes[n].process = Some(spawn_controller(&self.settings_files[n]));
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

pub fn bind_free_port() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub fn listener_addr(listener: &TcpListener) -> String {
    listener.local_addr().expect("an address").to_string()
}

/// Starts three nodes whose settings have these values for `cluster.resources`.
pub fn start_cluster(resources: &Value) -> Cluster {
    let listener = bind_free_port();
    let services_addr = listener_addr(&listener);
    serve_stand_ins(listener);
    let ports: Vec<(TcpListener, TcpListener)> =
        (0..3).map(|_| (bind_free_port(), bind_free_port())).collect();
    let addrs: Vec<(String, String)> =
        ports.iter().map(|(gateway, mesh)| (listener_addr(gateway), listener_addr(mesh))).collect();
    drop(ports);
    let mut settings_files = Vec::new();
    let nodes = (0..3)
        .map(|n| {
            let peers: Vec<Value> = (0..3)
                .filter(|&i| i != n)
                .map(|i| json!({"node_name": format!("n-{i}"), "zone": "a", "address": addrs[i].1}))
                .collect();
            let settings = json!({
                "node_name": format!("n-{n}"), "zone": "a", "serve_on": addrs[n].0,
                "mesh_addr": addrs[n].1, "siblings": peers,
                "external": {"cloud": services_addr, "state": services_addr},
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
            std::fs::write(&file, settings.to_string()).expect("a settings file");
            let process = spawn_controller(&file);
            settings_files.push(file);
            Node { name: format!("n-{n}"), addr: addrs[n].0.clone(), process: Some(process) }
        })
        .collect();
    Cluster { nodes, settings_files }
}

/// Waits until the condition is true, and panics if that takes longer than 40 s.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(40);
    while !condition() {
        assert!(Instant::now() < deadline, "{what}: not within 40 s");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Returns the submission of a job of team `t` with this number of tasks, each for one core and 1 GB of memory.
pub fn job(id: &str, tasks: u32, kind: &str) -> Value {
    json!({"id": id, "cargo": "c", "crew": "t", "rig": kind, "precedence": "normal",
           "hauls": tasks, "cores": 1.0, "gpus": 0.0, "memoryGb": 1.0, "manifest": "i",
           "imageGb": 0.1, "hulls": null, "harbor": null, "together": false, "scatter": false,
           "charter": true, "passageS": 0.2, "fixS": 0.0, "stowS": 0.0, "tideS": null})
}
