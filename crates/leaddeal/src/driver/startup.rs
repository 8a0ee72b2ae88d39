//! Starts a controller: its listeners, the connections to its peers and the event loop.
use super::clock::{wall_clock_ms, SteadyClock, STEADY_CLOCK_START_MS};
use super::cloud_client::CloudClient;
use super::effects::EffectHandler;
use super::event_loop::EventLoop;
use super::limits::ResourceLimits;
use super::store_client::StoreClient;
use super::tasks::ServiceTasks;
use super::worker_client::WorkerClients;
use super::DriverError;
use crate::event::Event;
use crate::gateway::{self, Gateway};
use crate::link;
use leaddeal_core::io::LogLevel;
use leaddeal_core::Node;
use leaddeal_wire::mesh::NodeMessage;
use leaddeal_wire::settings::Settings;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io::{self, ErrorKind};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Capacity of the event queue. When the queue is full, requests of users and workers are refused at once, while
/// results of calls and messages of peers wait, so that the peers' connections are not read either.
///
/// The capacity does not depend on the size of the fleet: a refused worker turns to the next controller a second
/// later, long before its lease expires. With one slot for each connection and up to 4,182 machines, workers
/// stayed with the busiest controller until it had no sockets left.
const MAX_QUEUED_EVENTS: usize = 1000;
/// Delay between attempts to bind an address that is in use.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which binding an address that is in use fails.
const BIND_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a controller until it fails.
///
/// All work runs in tasks of the runtime, including the event loop. If the event loop ran outside of the tasks and
/// was woken by them, the runtime would poll the sockets between any two of its iterations. The future of this
/// function only waits for the end of a task.
///
/// # Errors
/// [`DriverError::Listen`] if an address can't be listened on within [`BIND_TIMEOUT`]; otherwise the error of the
/// task that ended.
pub(crate) async fn run(settings: Settings) -> Result<(), DriverError> {
    let clock = SteadyClock::start();
    let boot = new_boot_number();
    let gateway_listener = bind(&settings.listen, "users and workers").await?;
    let peer_listener = bind(&settings.peer_listen, "peers").await?;
    let limits = ResourceLimits::from_settings(&settings.params.limits);
    let (events, event_queue) = mpsc::channel(MAX_QUEUED_EVENTS);
    let healthy = Arc::new(AtomicBool::new(false));
    let mut tasks = ServiceTasks::default();

    let gateway = Gateway::new(events.clone(), healthy.clone(), limits.body_memory_kib);
    let listen = gateway::listen(gateway_listener, gateway, limits.max_connections);
    tasks.spawn("HTTP gateway".into(), listen);
    let peers = start_links(&settings, boot, peer_listener, &events, &mut tasks);
    let effects = EffectHandler {
        events,
        store: StoreClient::new(&settings.services.state),
        cloud: CloudClient::new(&settings.services.cloud),
        workers: WorkerClients::new(limits.max_worker_clients),
        peers,
        pending_requests: HashMap::new(),
    };
    let mut core = Node::new(&settings, boot, STEADY_CLOCK_START_MS);
    if tracing::enabled!(tracing::Level::DEBUG) {
        core.set_max_log_level(LogLevel::Debug);
    }
    tracing::info!(node = %settings.node, "started");
    let event_loop = EventLoop { core, clock, events: event_queue, effects, healthy };
    tokio::select! {
        biased;
        ended = tokio::spawn(event_loop.run()) => Ok(ended?),
        error = tasks.first_end() => Err(error),
    }
}

/// Returns the boot number, which identifies this process of the node. The upper bits are the time of day, so
/// that a later process has a larger number unless the clock stepped back. The lower 12 bits are random, to
/// distinguish two processes that start within a millisecond.
fn new_boot_number() -> u64 {
    let random = RandomState::new().build_hasher().finish();
    (wall_clock_ms() << 12) | (random >> 52)
}

/// Binds an address, and retries while it is in use: when a controller is restarted within a fraction of a second,
/// its previous process may still hold the port, and the new one must not end because of that.
async fn bind(addr: &str, clients: &'static str) -> Result<TcpListener, DriverError> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return Ok(listener),
            Err(error) if is_in_use(&error) && Instant::now() < deadline => {
                tokio::time::sleep(BIND_RETRY_INTERVAL).await;
            }
            Err(source) => {
                return Err(DriverError::Listen { addr: addr.to_string(), clients, source })
            }
        }
    }
}

fn is_in_use(error: &io::Error) -> bool {
    error.kind() == ErrorKind::AddrInUse
}

/// Starts the listener for the peers and the connections to them. Returns the outgoing message queues, by the
/// peer's node name.
fn start_links(
    settings: &Settings,
    boot: u64,
    listener: TcpListener,
    events: &mpsc::Sender<Event>,
    tasks: &mut ServiceTasks,
) -> HashMap<String, mpsc::Sender<NodeMessage>> {
    let restarts: link::PeerRestarts =
        settings.peers.iter().map(|peer| (peer.node.clone(), Arc::default())).collect();
    tasks.spawn("peer listener".into(), link::listen(listener, events.clone(), restarts.clone()));
    let boot = link::BootNumber::new(boot);
    let mut queues = HashMap::new();
    for peer in &settings.peers {
        let dialer = link::Dialer {
            node: settings.node.clone(),
            peer_addr: peer.addr.clone(),
            boot: boot.clone(),
            peer_restarted: restarts[&peer.node].clone(),
            read_signal_timeout: link::READ_SIGNAL_TIMEOUT,
        };
        let (queue, send_task) = dialer.connect();
        tasks.spawn(format!("connection to {}", peer.node), send_task);
        queues.insert(peer.node.clone(), queue);
    }
    queues
}
