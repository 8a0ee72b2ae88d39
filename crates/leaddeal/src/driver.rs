//! Connects the core with the world: feeds it inputs and carries out its outputs.
use crate::client::{Client, NoAnswer};
use crate::event::{Event, Reply};
use crate::gateway::{self, Gateway};
use crate::link;
use hyper::Method;
use leaddeal_core::io::{
    CloudCall, CloudResult, CommandOutcome, LogLevel, RequestId, StoreCall, StoreResult,
};
use leaddeal_core::{Effect, Input, Node};
use leaddeal_wire::mesh::NodeMessage;
use leaddeal_wire::settings::Settings;
use leaddeal_wire::worker::{self, CommandBatch, WorkerHeartbeat};
use leaddeal_wire::{cloud, state};
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io::ErrorKind;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, Semaphore};

/// The core's clock starts here and not at 0, so that a job submitted before this process
/// started has a time of its own on it: else all were new again after a restart, and their order
/// and urgency lost.
const CLOCK_FROM: u64 = 100 * 24 * 3_600_000;
const TICK: Duration = Duration::from_millis(100);
const EVENTS: usize = 1000;
/// A port that is in use is asked for again this often, and for no longer than this.
const BIND_AGAIN: Duration = Duration::from_millis(20);
const BIND_LIMIT: Duration = Duration::from_secs(30);
const CONNECT_LIMIT: Duration = Duration::from_millis(800);
const STORE_LIMIT: Duration = Duration::from_millis(2000);
const CLOUD_LIMIT: Duration = Duration::from_secs(8);
const DIRECT_LIMIT: Duration = Duration::from_millis(2500);
/// A connection to a worker is used again within this time. Making one takes as much as several
/// commands; but an older one may have died unnoticed, and then the outcome is unknown.
const WORKER_IDLE: Duration = Duration::from_secs(10);

struct World {
    events: mpsc::Sender<Event>,
    store: Client,
    cloud: Client,
    /// Connections to workers that were commanded lately.
    workers: HashMap<String, (Client, Instant)>,
    most_workers: usize,
    links: HashMap<String, mpsc::Sender<NodeMessage>>,
    replies: HashMap<RequestId, oneshot::Sender<Reply>>,
}

/// Memory for the bodies of requests, in KiB: an eighth of what the controller has.
fn body_room_kib(memory_mb: f64) -> usize {
    match memory_mb {
        m if m > 0.0 => ((m * 128.0) as usize).max(1024),
        _ => 8 * 1024,
    }
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Takes the port, which the process before this one may hold for a moment longer: started again
/// within a fraction of a second, a controller must not end because of that.
async fn bind(addr: &str) -> std::io::Result<TcpListener> {
    let until = Instant::now() + BIND_LIMIT;
    loop {
        match TcpListener::bind(addr).await {
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                tokio::time::sleep(BIND_AGAIN).await;
            }
            other => return other,
        }
    }
}

/// All work is in tasks of the runtime, this loop too: a future outside of them, woken by tasks,
/// costs a look at the sockets between each two of its turns.
pub async fn run(s: Settings) -> std::io::Result<()> {
    tokio::spawn(serve(s)).await?
}

async fn serve(s: Settings) -> std::io::Result<()> {
    let start = Instant::now();
    // Two processes of a node differ in it, even if they start within a millisecond.
    let boot = (wall_ms() << 12) | (RandomState::new().build_hasher().finish() >> 52);
    let (tx, mut rx) = mpsc::channel(EVENTS);
    let user_listener = bind(&s.listen).await?;
    let peer_listener = bind(&s.peer_listen).await?;
    let healthy = Arc::new(AtomicBool::new(false));
    let gateway = Gateway {
        events: tx.clone(),
        healthy: healthy.clone(),
        next_req: Arc::new(AtomicU64::new(1)),
        room: Arc::new(Semaphore::new(body_room_kib(s.params.limits.memory_mb))),
    };
    let most = match s.params.limits.max_connections {
        0 => 1000,
        n => n.saturating_sub(100).max(n / 2),
    };
    tokio::spawn(gateway::listen(user_listener, gateway, most));
    let restarted: link::Restarted =
        s.peers.iter().map(|p| (p.node.clone(), Arc::default())).collect();
    tokio::spawn(link::listen(peer_listener, tx.clone(), restarted.clone()));
    let number = link::Boot::new(boot);
    let mut world = World {
        events: tx.clone(),
        store: Client::new(&s.services.state, CONNECT_LIMIT),
        cloud: Client::new(&s.services.cloud, CONNECT_LIMIT),
        workers: HashMap::new(),
        most_workers: most / 4,
        links: s
            .peers
            .iter()
            .map(|p| {
                let (me, addr, again) = (s.node.clone(), p.addr.clone(), &restarted[&p.node]);
                let link = link::dial(me, addr, number.clone(), again.clone(), link::PATIENCE);
                (p.node.clone(), link)
            })
            .collect(),
        replies: HashMap::new(),
    };
    let mut core = Node::new(&s, boot, CLOCK_FROM);
    tracing::info!(node = %s.node, "started");
    let now = move || CLOCK_FROM + start.elapsed().as_millis() as u64 + 1;
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let input = tokio::select! {
            biased;
            _ = tick.tick() => {
                healthy.store(core.healthy(now()), Ordering::Relaxed);
                // Whoever gave up waiting is not answered any more.
                world.replies.retain(|_, r| !r.is_closed());
                let at = Instant::now();
                world.workers.retain(|_, w| at.duration_since(w.1) < WORKER_IDLE);
                Input::Tick
            }
            e = rx.recv() => match e {
                Some(Event::Input(i)) => i,
                Some(Event::Request(req, reply, i)) => {
                    world.replies.insert(req, reply);
                    i
                }
                None => return Ok(()),
            },
        };
        for o in core.step(now(), wall_ms(), input) {
            world.act(o);
        }
    }
}

fn parse<T: DeserializeOwned>(b: &[u8]) -> Option<T> {
    serde_json::from_slice(b).ok()
}

impl World {
    /// The client for a worker, with the connection of its last command if that was lately.
    fn worker(&mut self, addr: &str) -> Client {
        let now = Instant::now();
        if let Some((c, at)) = self.workers.get_mut(addr) {
            *at = now;
            return c.clone();
        }
        let c = Client::new(addr, CONNECT_LIMIT);
        if self.workers.len() < self.most_workers {
            self.workers.insert(addr.to_string(), (c.clone(), now));
        }
        c
    }

    fn act(&mut self, o: Effect) {
        match o {
            Effect::User { req, reply } => {
                if let Some(r) = self.replies.remove(&req) {
                    let _ = r.send(Reply::User(reply));
                }
            }
            Effect::Worker { req, reply } => {
                if let Some(r) = self.replies.remove(&req) {
                    let _ = r.send(Reply::Worker(reply));
                }
            }
            Effect::Mesh { to, msg } => {
                if let Some(l) = self.links.get(&to) {
                    let _ = l.try_send(msg);
                }
            }
            Effect::Store { op, call } => {
                let (c, events) = (self.store.clone(), self.events.clone());
                tokio::spawn(async move {
                    let result = store(&c, call).await;
                    let _ = events.send(Event::Input(Input::Store { op, result })).await;
                });
            }
            Effect::Cloud { op, call } => {
                let (c, events) = (self.cloud.clone(), self.events.clone());
                tokio::spawn(async move {
                    let result = ask_cloud(&c, call).await;
                    let _ = events.send(Event::Input(Input::Cloud { op, result })).await;
                });
            }
            Effect::Commands { machine, addr, batch, direct } => {
                let events = self.events.clone();
                let c = self.worker(&addr);
                tokio::spawn(async move {
                    let outcome = command(&c, &direct).await;
                    let input = Input::CommandOutcome { machine, batch, outcome };
                    let _ = events.send(Event::Input(input)).await;
                });
            }
            Effect::Log { level, event, details } => match level {
                LogLevel::Error => tracing::error!(event, "{details}"),
                LogLevel::Info => tracing::info!(event, "{details}"),
                LogLevel::Debug => tracing::debug!(event, "{details}"),
            },
        }
    }
}

async fn command(c: &Client, direct: &CommandBatch) -> CommandOutcome {
    match c.call(Method::POST, worker::COMMANDS, Some(direct), DIRECT_LIMIT).await {
        Ok((status, b)) => match (status, parse::<WorkerHeartbeat>(&b)) {
            (200, Some(r)) => CommandOutcome::Executed(Box::new(r)),
            (409, Some(r)) => CommandOutcome::Refused(Box::new(r)),
            _ => CommandOutcome::Unknown,
        },
        Err(NoAnswer::NotSent) => CommandOutcome::NotSent,
        Err(NoAnswer::Unknown) => CommandOutcome::Unknown,
    }
}

async fn store(c: &Client, call: StoreCall) -> StoreResult {
    let none: Option<&()> = None;
    let answer = match &call {
        StoreCall::NewLease { ttl_ms } => {
            let b = state::LeaseRequest { ttl_ms: *ttl_ms };
            c.call(Method::POST, state::LEASES, Some(&b), STORE_LIMIT).await
        }
        StoreCall::RenewLease { lease } => {
            let path = format!("{}/{lease}/touch", state::LEASES);
            c.call(Method::POST, &path, none, STORE_LIMIT).await
        }
        StoreCall::EndLease { lease } => {
            let path = format!("{}/{lease}", state::LEASES);
            c.call(Method::DELETE, &path, none, STORE_LIMIT).await
        }
        StoreCall::Transaction(t) => c.call(Method::POST, state::TXN, Some(t), STORE_LIMIT).await,
        StoreCall::Get { key } => {
            c.call(Method::GET, &format!("{}/{key}", state::KV), none, STORE_LIMIT).await
        }
        StoreCall::List { prefix, after } => {
            let after = after.as_ref().map(|a| format!("&after={a}")).unwrap_or_default();
            let path = format!("{}?under={prefix}{after}&limit=300", state::KV);
            c.call(Method::GET, &path, none, STORE_LIMIT).await
        }
        StoreCall::Watch { prefix, after, wait_ms } => {
            let path = format!("{}?under={prefix}&after={after}&waitMs={wait_ms}", state::WATCH);
            // Watches stay open through an outage, and then wait on.
            let limit = Duration::from_millis(*wait_ms) + Duration::from_secs(5);
            c.call(Method::GET, &path, none, limit).await
        }
    };
    let (status, body) = match answer {
        Ok(a) => a,
        Err(NoAnswer::NotSent) => return StoreResult::Refused,
        Err(NoAnswer::Unknown) => return StoreResult::Unknown,
    };
    let known = match (&call, status) {
        (_, 503) => Some(StoreResult::Refused),
        (_, 429) => Some(StoreResult::RateLimited),
        (StoreCall::NewLease { .. }, 200) => {
            parse::<state::LeaseGrant>(&body).map(|a| StoreResult::Lease(a.lease))
        }
        (StoreCall::RenewLease { .. } | StoreCall::EndLease { .. }, 200) => {
            Some(StoreResult::LeaseRenewed)
        }
        (StoreCall::RenewLease { .. }, 404) => Some(StoreResult::NoLease),
        (StoreCall::Transaction(_), 200) => {
            parse::<state::TransactionResult>(&body).map(|a| StoreResult::Committed(a.revision))
        }
        (StoreCall::Transaction(_), 409) => {
            parse::<state::TransactionResult>(&body).map(|a| StoreResult::Conflict(a.failed))
        }
        (StoreCall::Transaction(t), 400) => {
            let leased =
                t.changes.iter().any(|c| matches!(c, state::Change::Put { lease: Some(_), .. }));
            tracing::error!(event = "store_refused", "{}", String::from_utf8_lossy(&body));
            Some(if leased { StoreResult::NoLease } else { StoreResult::Refused })
        }
        (StoreCall::Get { .. }, 200) => parse(&body).map(|i| StoreResult::Item(Some(i))),
        (StoreCall::Get { .. }, 404) => Some(StoreResult::Item(None)),
        (StoreCall::List { .. }, 200) => parse(&body).map(StoreResult::Page),
        (StoreCall::Watch { .. }, 200) => parse(&body).map(StoreResult::Events),
        (StoreCall::Watch { .. }, 410) => Some(StoreResult::Compacted),
        _ => None,
    };
    known.unwrap_or_else(|| {
        tracing::error!(event = "store_unreadable", status, "{call:?}");
        StoreResult::Unknown
    })
}

async fn ask_cloud(c: &Client, call: CloudCall) -> CloudResult {
    let none: Option<&()> = None;
    let answer = match &call {
        CloudCall::Catalog => c.call(Method::GET, cloud::CATALOG, none, CLOUD_LIMIT).await,
        CloudCall::Launch(r) => c.call(Method::POST, cloud::MACHINES, Some(r), CLOUD_LIMIT).await,
        CloudCall::Release(names) => {
            let b = cloud::InstanceNames { machines: names.clone() };
            c.call(Method::POST, cloud::RELEASE, Some(&b), CLOUD_LIMIT).await
        }
        CloudCall::List { after } => {
            let after = after.as_ref().map(|a| format!("after={a}&")).unwrap_or_default();
            let path = format!("{}?{after}limit=200", cloud::MACHINES);
            c.call(Method::GET, &path, none, CLOUD_LIMIT).await
        }
    };
    let (status, body) = match answer {
        Ok(a) => a,
        Err(NoAnswer::NotSent) => return CloudResult::Refused,
        Err(NoAnswer::Unknown) => return CloudResult::Unknown,
    };
    let known = match (&call, status) {
        (CloudCall::Catalog, 200) => parse(&body).map(CloudResult::Catalog),
        (CloudCall::Launch(_), 200) => {
            parse::<cloud::InstanceNames>(&body).map(|n| CloudResult::Launched(n.machines))
        }
        (CloudCall::Launch(_), 503) => {
            let none = String::from_utf8_lossy(&body).contains("no capacity");
            Some(if none { CloudResult::NoCapacity } else { CloudResult::Refused })
        }
        (CloudCall::Release(_), 200) => Some(CloudResult::Released),
        (CloudCall::List { .. }, 200) => parse(&body).map(CloudResult::InstanceList),
        (_, 429 | 503 | 400) => Some(CloudResult::Refused),
        _ => None,
    };
    known.unwrap_or_else(|| {
        tracing::error!(event = "cloud_unreadable", status, "{call:?}");
        CloudResult::Unknown
    })
}
