//! Starts a controller: listeners, connections to the peers, the event loop.
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

/// Events that wait for the core. When the queue is full, requests of users and workers are refused at
/// once; results of calls and messages of peers wait, and with them the peers' connections.
///
/// It does not follow the size of the fleet: a refused worker turns to the next controller a second
/// later, long before its lease expires. (Tried with up to 4,182 machines and a place for each
/// connection: workers stayed with the busiest controller until it had no sockets left.)
const MAX_QUEUED_EVENTS: usize = 1000;
/// A port that is in use is asked for again this often, ...
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// ... and for no longer than this.
const BIND_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a controller until it fails.
///
/// All work is in tasks of the runtime, the event loop too: a future outside of them, woken by tasks, costs
/// a look at the sockets between each two of its turns. This one only waits for a task's end.
///
/// # Errors
/// [`DriverError::Listen`] if a port can't be listened on within [`BIND_TIMEOUT`]; else which task ended.
pub(crate) async fn run(settings: Settings) -> Result<(), DriverError> {
    let clock = SteadyClock::start();
    let boot = new_boot_number();
    let user_listener = bind(&settings.listen, "users and workers").await?;
    let peer_listener = bind(&settings.peer_listen, "peers").await?;
    let limits = ResourceLimits::from_settings(&settings.params.limits);
    let (events, event_queue) = mpsc::channel(MAX_QUEUED_EVENTS);
    let healthy = Arc::new(AtomicBool::new(false));
    let mut tasks = ServiceTasks::default();

    let gateway = Gateway::new(events.clone(), healthy.clone(), limits.body_memory_kib);
    let listen = gateway::listen(user_listener, gateway, limits.max_connections);
    tasks.spawn("HTTP front".into(), listen);
    let peers = start_links(&settings, boot, peer_listener, &events, &mut tasks);
    let effects = EffectHandler {
        events,
        store: StoreClient::new(&settings.services.state),
        cloud: CloudClient::new(&settings.services.cloud),
        workers: WorkerClients::new(limits.max_worker_clients),
        peers,
        open_requests: HashMap::new(),
    };
    let core = Node::new(&settings, boot, STEADY_CLOCK_START_MS);
    tracing::info!(node = %settings.node, "started");
    let event_loop = EventLoop { core, clock, events: event_queue, effects, healthy };
    tokio::select! {
        biased;
        ended = tokio::spawn(event_loop.run()) => Ok(ended?),
        error = tasks.first_end() => Err(error),
    }
}

/// Identifies this process of the node. It begins with the time of day, so that a later process has a
/// larger one unless the clock stepped back; two processes that start within a millisecond differ too.
fn new_boot_number() -> u64 {
    let random = RandomState::new().build_hasher().finish();
    (wall_clock_ms() << 12) | (random >> 52)
}

/// Takes the port, which the process before this one may hold for a moment longer: started again
/// within a fraction of a second, a controller must not end because of that.
async fn bind(addr: &str, from: &'static str) -> Result<TcpListener, DriverError> {
    let give_up_at = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return Ok(listener),
            Err(error) if is_in_use(&error) && Instant::now() < give_up_at => {
                tokio::time::sleep(BIND_RETRY_INTERVAL).await;
            }
            Err(source) => {
                return Err(DriverError::Listen { addr: addr.to_string(), from, source })
            }
        }
    }
}

fn is_in_use(error: &io::Error) -> bool {
    error.kind() == ErrorKind::AddrInUse
}

/// Starts to listen to the peers and to connect to them. Returns the queues of messages to them.
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
        let (queue, work) = dialer.connect();
        tasks.spawn(format!("connection to {}", peer.node), work);
        queues.insert(peer.node.clone(), queue);
    }
    queues
}
