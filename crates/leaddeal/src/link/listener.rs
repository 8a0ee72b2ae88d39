//! The receiving end of the connections, which the peers opened.
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

/// Interval at which the receiving end signals that it is reading, provided that frames arrive.
pub(super) const READ_SIGNAL_INTERVAL: Duration = Duration::from_millis(1200);
/// Concurrent connections from peers; further ones are closed at once. Outdated ones may stay open for a while.
const MAX_INBOUND_CONNECTIONS: usize = 40;
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Size of the read buffer: several frames arrive at once, and each is read in two parts.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// By the peer's node name: notified when the peer runs a newer process than before.
pub(crate) type PeerRestarts = HashMap<String, Arc<Notify>>;

/// Orders the connections that a peer opened: the larger, the newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionId {
    /// Boot number of the peer's process. Compared first.
    boot: u64,
    /// Counts the connections of that process.
    generation: u64,
}

/// Receives the messages of all peers.
struct Receiver {
    events: mpsc::Sender<Event>,
    restarts: PeerRestarts,
    /// By the peer's node name: the newest connection that sent its hello. Only that one is received from.
    newest: Mutex<HashMap<String, ConnectionId>>,
}

/// Accepts connections of the peers for as long as the process runs, and passes their messages to `events`.
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
    /// Receives messages on one connection until it ends or the peer has a newer one.
    async fn receive(&self, stream: TcpStream) {
        let mut stream = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
        let mut buffer = Vec::new();
        let Some(hello) = read_hello(&mut stream, &mut buffer).await else { return };
        let Some(restarted) = self.restarts.get(&hello.node) else { return };
        let connection = ConnectionId { boot: hello.boot, generation: hello.generation };
        let newest_before = self.register(&hello.node, connection);
        if newest_before > connection {
            if newest_before.boot > connection.boot {
                send_signal(&mut stream, &signal::outdated(newest_before.boot)).await;
            }
            return;
        }
        if newest_before.boot < connection.boot {
            restarted.notify_one();
        }
        self.receive_messages(&mut stream, &mut buffer, &hello.node, connection).await;
    }

    /// Registers a peer's connection, and returns the newest one registered before, or the connection itself if it
    /// is the peer's first.
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
        connection: ConnectionId,
    ) {
        let mut last_signal = Instant::now();
        while read_frame(stream, buffer).await.is_ok() {
            if last_signal.elapsed() >= READ_SIGNAL_INTERVAL {
                last_signal = Instant::now();
                if !send_signal(stream, &[signal::READING]).await {
                    return;
                }
            }
            // Messages delayed on an older connection must not follow those of a newer one.
            if lock(&self.newest).get(node) != Some(&connection) {
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

/// Reads the first frame of a connection. Returns `None` if that fails or the frame is no [`Hello`].
async fn read_hello(stream: &mut BufReader<TcpStream>, buffer: &mut Vec<u8>) -> Option<Hello> {
    read_frame(stream, buffer).await.ok()?;
    ciborium::from_reader(&buffer[..]).ok()
}

/// Sends a signal. Returns false if it was not written within [`WRITE_TIMEOUT`].
async fn send_signal(stream: &mut BufReader<TcpStream>, signal: &[u8]) -> bool {
    let written = timeout(WRITE_TIMEOUT, stream.write_all(signal)).await;
    matches!(written, Ok(Ok(())))
}
