//! The sending end: one connection to each peer, opened again whenever it is lost.
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

/// Messages that wait for a peer. When the queue is full, more are dropped, as on a lossy line.
const MAX_QUEUED_MESSAGES: usize = 5000;
/// Messages are written together until there are this many bytes.
const MAX_BATCH_BYTES: usize = 64 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const RECONNECT_INTERVAL: Duration = Duration::from_millis(300);
/// A connection whose other end has not signalled for this long that it reads is opened again. (It signals
/// every [`super::listener::READ_SIGNAL_INTERVAL`].)
pub(crate) const READ_SIGNAL_TIMEOUT: Duration = Duration::from_secs(4);

/// Sends to one peer, reconnecting as needed.
pub(crate) struct Dialer {
    /// This node's name.
    pub node: String,
    /// `ADDRESS:PORT` that the peer listens on.
    pub peer_addr: String,
    pub boot: BootNumber,
    /// Notified when the peer's process is known to have ended: the connection is opened again.
    pub peer_restarted: Arc<Notify>,
    /// [`READ_SIGNAL_TIMEOUT`], but for tests.
    pub read_signal_timeout: Duration,
}

/// Why a connection is not written to any more.
enum LinkEnd {
    /// A write failed or took too long, or the peer does not read.
    Broken,
    PeerRestarted,
    /// Nobody can send messages any more.
    QueueClosed,
}

/// When the peer signalled last that it reads.
type LastSignal = Arc<Mutex<Instant>>;

impl Dialer {
    /// The queue of messages to the peer, and the work that sends them: a task for as long as the queue's
    /// sender is there.
    pub fn connect(self) -> (mpsc::Sender<NodeMessage>, impl Future<Output = ()>) {
        let (sender, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
        (sender, self.run(queue))
    }

    async fn run(self, mut queue: mpsc::Receiver<NodeMessage>) {
        let mut generation = 0;
        loop {
            let Some(stream) = self.open().await else {
                // What waited is stale by now: senders repeat what matters.
                while queue.try_recv().is_ok() {}
                sleep(RECONNECT_INTERVAL).await;
                continue;
            };
            generation += 1;
            if let LinkEnd::QueueClosed = self.use_connection(stream, generation, &mut queue).await
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

    /// Sends on one connection for as long as it is of use, and watches its signals meanwhile.
    async fn use_connection(
        &self,
        stream: TcpStream,
        generation: u64,
        queue: &mut mpsc::Receiver<NodeMessage>,
    ) -> LinkEnd {
        let (read_half, mut write_half) = stream.into_split();
        // A connection whose other end is gone may swallow everything without an error: a crash behind a cut
        // leaves nobody to reset it. (Found on a hunt: a peer that came back heard nothing for the rest of
        // the day, so that cancelled tasks ran on.)
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
    ) -> LinkEnd {
        let mut buffer = Vec::new();
        append_frame(&hello, &mut buffer);
        loop {
            let written = timeout(WRITE_TIMEOUT, stream.write_all(&buffer)).await;
            let silent = || lock(last_signal).elapsed() > self.read_signal_timeout;
            if !matches!(written, Ok(Ok(()))) || silent() {
                tracing::info!(event = "link_broken", "{}", self.peer_addr);
                return LinkEnd::Broken;
            }
            buffer.clear();
            // The connection's end is known sooner than by signals that do not come, if a newer process of
            // that node says hello, or the connection is closed.
            let message = tokio::select! {
                message = queue.recv() => message,
                () = self.peer_restarted.notified() => return LinkEnd::PeerRestarted,
            };
            let Some(message) = message else { return LinkEnd::QueueClosed };
            append_frame(&message, &mut buffer);
            append_waiting(queue, &mut buffer);
        }
    }
}

/// Adds the messages that wait already, up to [`MAX_BATCH_BYTES`].
fn append_waiting(queue: &mut mpsc::Receiver<NodeMessage>, buffer: &mut Vec<u8>) {
    while buffer.len() < MAX_BATCH_BYTES {
        match queue.try_recv() {
            Ok(message) => append_frame(&message, buffer),
            Err(_) => return,
        }
    }
}

/// Reads the peer's signals until it closes the connection or does not listen to this process.
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
