//! The sending end of the connections: one connection to each peer, reopened whenever it is lost.
use super::boot::BootNumber;
use super::frame::append_frame;
use super::signal;
use super::WRITE_TIMEOUT;
use crate::sync::lock;
use leaddeal_wire::mesh::{Hello, NodeMessage};
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, timeout};

/// Capacity of the queue of messages to a peer. Further messages are dropped, as by a lossy network.
const MAX_QUEUED_MESSAGES: usize = 5000;
/// Size in bytes from which no further message is added to a batch that is written together.
const MAX_BATCH_BYTES: usize = 64 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Delay after a failed attempt to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(300);
/// A connection is reopened if its receiving end has not signalled for this long that it is reading. (It signals
/// every [`super::listener::READ_SIGNAL_INTERVAL`].)
pub(crate) const READ_SIGNAL_TIMEOUT: Duration = Duration::from_secs(4);

/// Sends messages to one peer, and reconnects as needed.
pub(crate) struct Dialer {
    /// This node's name.
    pub node: String,
    /// Address (`ADDRESS:PORT`) on which the peer listens.
    pub peer_addr: String,
    /// Boot number of this process.
    pub boot: BootNumber,
    /// Notified when the peer's process is known to have ended, so that the connection is reopened.
    pub peer_restarted: Arc<Notify>,
    /// [`READ_SIGNAL_TIMEOUT`], except in tests.
    pub read_signal_timeout: Duration,
}

/// Why sending on a connection ended.
enum ConnectionEnd {
    /// A write failed or timed out, or the peer does not read.
    Broken,
    /// The peer's process is known to have ended, the peer closed the connection, or the peer signalled that
    /// this process is outdated.
    PeerRestarted,
    /// All senders of the message queue are dropped.
    QueueClosed,
}

/// Time of the peer's last signal that it is reading.
type LastSignal = Arc<Mutex<Instant>>;

impl Dialer {
    /// Returns the queue of messages to the peer, and a future that sends them until all senders of the queue are
    /// dropped.
    pub fn connect(self) -> (mpsc::Sender<NodeMessage>, impl Future<Output = ()>) {
        let (sender, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
        (sender, self.run(queue))
    }

    async fn run(self, mut queue: mpsc::Receiver<NodeMessage>) {
        let mut generation = 0;
        loop {
            let Some(stream) = self.open().await else {
                // Drops the queued messages: they are stale by now, and senders repeat those that matter.
                while queue.try_recv().is_ok() {}
                sleep(RECONNECT_INTERVAL).await;
                continue;
            };
            generation += 1;
            if let ConnectionEnd::QueueClosed =
                self.use_connection(stream, generation, &mut queue).await
            {
                return;
            }
        }
    }

    async fn open(&self) -> Option<TcpStream> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(&self.peer_addr)).await;
        let stream = connected.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(stream)
    }

    /// Sends messages on one connection until it ends, and reads the peer's signals at the same time.
    async fn use_connection(
        &self,
        stream: TcpStream,
        generation: u64,
        queue: &mut mpsc::Receiver<NodeMessage>,
    ) -> ConnectionEnd {
        let (read_half, mut write_half) = stream.into_split();
        // Writes to a connection whose receiving end is gone may succeed without an error: after a crash behind
        // a network partition, nothing resets the connection. Without the signals, a peer that came back received
        // nothing for the rest of the day, so that cancelled tasks kept running.
        let last_signal: LastSignal = Arc::new(Mutex::new(Instant::now()));
        let signals = tokio::spawn(read_signals(
            read_half,
            last_signal.clone(),
            self.boot.clone(),
            self.peer_restarted.clone(),
        ));
        let hello = Hello { node: self.node.clone(), boot: self.boot.get(), generation };
        let end = self.write_messages(&mut write_half, hello, queue, &last_signal).await;
        signals.abort();
        end
    }

    async fn write_messages(
        &self,
        stream: &mut OwnedWriteHalf,
        hello: Hello,
        queue: &mut mpsc::Receiver<NodeMessage>,
        last_signal: &LastSignal,
    ) -> ConnectionEnd {
        let mut buffer = Vec::new();
        append_frame(&hello, &mut buffer);
        loop {
            let written = timeout(WRITE_TIMEOUT, stream.write_all(&buffer)).await;
            let is_silent = || lock(last_signal).elapsed() > self.read_signal_timeout;
            if !matches!(written, Ok(Ok(()))) || is_silent() {
                tracing::info!(event = "link_broken", "{}", self.peer_addr);
                return ConnectionEnd::Broken;
            }
            buffer.clear();
            // This shows the end of the connection sooner than missing signals do, if a newer process of the
            // peer's node connects to this node, or the peer closes the connection.
            let message = tokio::select! {
                message = queue.recv() => message,
                () = self.peer_restarted.notified() => return ConnectionEnd::PeerRestarted,
            };
            let Some(message) = message else { return ConnectionEnd::QueueClosed };
            append_frame(&message, &mut buffer);
            append_queued(queue, &mut buffer);
        }
    }
}

/// Appends the messages that are queued already, until the batch has [`MAX_BATCH_BYTES`].
fn append_queued(queue: &mut mpsc::Receiver<NodeMessage>, buffer: &mut Vec<u8>) {
    while buffer.len() < MAX_BATCH_BYTES {
        match queue.try_recv() {
            Ok(message) => append_frame(&message, buffer),
            Err(_) => return,
        }
    }
}

/// Reads the peer's signals until the peer closes the connection or signals that this process is outdated.
async fn read_signals(
    mut stream: OwnedReadHalf,
    last_signal: LastSignal,
    boot: BootNumber,
    peer_restarted: Arc<Notify>,
) {
    while let Ok(first_byte) = stream.read_u8().await {
        *lock(&last_signal) = Instant::now();
        if first_byte == signal::OUTDATED {
            if let Ok(newest_boot) = stream.read_u64().await {
                boot.raise_above(newest_boot);
            }
            break;
        }
    }
    peer_restarted.notify_one();
}
