//! The receiving end: connections that the peers opened.
use super::frame::read_frame;
use super::signal;
use super::WRITE_TIMEOUT;
use crate::event::Event;
use crate::sync::lock;
use leaddeal_core::Input;
use leaddeal_wire::mesh::{Hello, NodeMessage};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify, Semaphore};
use tokio::time::{sleep, timeout};

/// The receiving end signals this often that it reads, if there was anything to read.
pub(super) const READ_SIGNAL_INTERVAL: Duration = Duration::from_millis(1200);
/// Connections of peers at a time; more are closed at once. Outdated ones may linger for a while.
const MAX_INBOUND_CONNECTIONS: usize = 40;
/// After a connection could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Read at a time: several frames come at once, and each is read in two parts.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// By peer's name: notified when its process is another one than before.
pub(crate) type PeerRestarts = HashMap<String, Arc<Notify>>;

/// A connection of a peer among all that it opened: the larger the newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionId {
    /// Of the peer's process. Compared first.
    boot: u64,
    /// Counts that process's connections.
    generation: u64,
}

struct Receiver {
    events: mpsc::Sender<Event>,
    restarts: PeerRestarts,
    /// By peer's name: the newest connection that said hello. Only that one is listened to.
    newest: Mutex<HashMap<String, ConnectionId>>,
}

/// Accepts connections of the peers, for as long as the process runs. Their messages go to `events`.
pub(crate) async fn listen(
    listener: TcpListener,
    events: mpsc::Sender<Event>,
    restarts: PeerRestarts,
) {
    let receiver = Arc::new(Receiver { events, restarts, newest: Mutex::default() });
    let connections = Arc::new(Semaphore::new(MAX_INBOUND_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let Ok(permit) = connections.clone().try_acquire_owned() else { continue };
        let receiver = receiver.clone();
        tokio::spawn(async move {
            receiver.receive(stream).await;
            drop(permit);
        });
    }
}

impl Receiver {
    /// Listens to one connection, until it ends or there is a newer one of that peer.
    async fn receive(&self, stream: TcpStream) {
        let mut stream = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
        let mut buffer = Vec::new();
        let Some(hello) = read_hello(&mut stream, &mut buffer).await else { return };
        let Some(restarted) = self.restarts.get(&hello.node) else { return };
        let this = ConnectionId { boot: hello.boot, generation: hello.generation };
        let newest_before = self.register(&hello.node, this);
        if newest_before > this {
            if newest_before.boot > this.boot {
                send_signal(&mut stream, &signal::outdated(newest_before.boot)).await;
            }
            return;
        }
        if newest_before.boot < this.boot {
            restarted.notify_one();
        }
        self.receive_messages(&mut stream, &mut buffer, &hello.node, this).await;
    }

    /// Notes a peer's connection, and returns its newest one so far: this one, if it is the first.
    fn register(&self, node: &str, connection: ConnectionId) -> ConnectionId {
        let mut newest = lock(&self.newest);
        let entry = newest.entry(node.to_string()).or_insert(connection);
        let newest_before = *entry;
        *entry = newest_before.max(connection);
        newest_before
    }

    async fn receive_messages(
        &self,
        stream: &mut BufReader<TcpStream>,
        buffer: &mut Vec<u8>,
        node: &str,
        this: ConnectionId,
    ) {
        let mut signalled = Instant::now();
        while read_frame(stream, buffer).await.is_ok() {
            if signalled.elapsed() >= READ_SIGNAL_INTERVAL {
                signalled = Instant::now();
                if !send_signal(stream, &[signal::READING]).await {
                    return;
                }
            }
            // Held-back data of an older connection must not come after that of a newer one.
            if lock(&self.newest).get(node) != Some(&this) {
                return;
            }
            let Ok(message) = ciborium::from_reader::<NodeMessage, _>(&buffer[..]) else { return };
            let input = Input::Mesh { from: node.to_string(), msg: Box::new(message) };
            if self.events.send(Event::Input(input)).await.is_err() {
                return;
            }
        }
    }
}

/// The first frame of a connection.
async fn read_hello(stream: &mut BufReader<TcpStream>, buffer: &mut Vec<u8>) -> Option<Hello> {
    read_frame(stream, buffer).await.ok()?;
    ciborium::from_reader(&buffer[..]).ok()
}

/// Returns whether the signal was written in time.
async fn send_signal(stream: &mut BufReader<TcpStream>, signal: &[u8]) -> bool {
    let written = timeout(WRITE_TIMEOUT, stream.write_all(signal)).await;
    matches!(written, Ok(Ok(())))
}
