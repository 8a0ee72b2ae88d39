//! Connections between controllers: length-framed CBOR over TCP. Each node sends on connections
//! that it opened, and listens on those that others opened.
use crate::client::lock;
use crate::event::Event;
use leaddeal_core::Input;
use leaddeal_wire::mesh::{Hello, NodeMessage, MAX_FRAME};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, timeout};

/// Messages waiting for a sibling; more are dropped, as on a lossy line.
const QUEUE: usize = 2000;
const WRITE_LIMIT: Duration = Duration::from_secs(3);
const SILENCE: Duration = Duration::from_secs(20);
/// The reading end writes a byte back this often, if there was anything to read.
const SIGN_EVERY: Duration = Duration::from_millis(1200);
const READ_BUFFER: usize = 8 * 1024;
/// For a sender without such a sign.
pub const PATIENCE: Duration = Duration::from_secs(4);
/// A sign that the other end reads.
const READING: u8 = 1;
/// Followed by a number: a process of this node with that number was heard before.
const OUTDATED: u8 = 2;

/// The number by which siblings tell this process from those before it, of which there is one at
/// a time: the larger the newer. It begins with the time of day, which may be less than what the
/// process before began with, when that ended a moment ago and the clock stepped back. Whoever
/// listens then says so, and the number is raised. Only a live process hears that, so what an
/// ended one left in the network stays outdated.
#[derive(Clone)]
pub struct Boot(Arc<AtomicU64>);

impl Boot {
    pub fn new(number: u64) -> Boot {
        Boot(Arc::new(AtomicU64::new(number)))
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn raise_above(&self, heard: u64) {
        self.0.fetch_max(heard.saturating_add(1), Ordering::Relaxed);
    }
}

fn frame<T: serde::Serialize>(m: &T, into: &mut Vec<u8>) {
    let at = into.len();
    into.extend_from_slice(&[0; 4]);
    if ciborium::into_writer(m, &mut *into).is_err() || into.len() - at - 4 > MAX_FRAME {
        into.truncate(at);
        return;
    }
    let n = (into.len() - at - 4) as u32;
    into[at..at + 4].copy_from_slice(&n.to_be_bytes());
}

async fn read_frame<S: AsyncRead + Unpin>(s: &mut S, buf: &mut Vec<u8>) -> Option<()> {
    let mut head = [0; 4];
    timeout(SILENCE, s.read_exact(&mut head)).await.ok()?.ok()?;
    let n = u32::from_be_bytes(head) as usize;
    if n > MAX_FRAME {
        return None;
    }
    buf.resize(n, 0);
    timeout(SILENCE, s.read_exact(buf)).await.ok()?.ok()?;
    Some(())
}

/// Sends to one sibling, reconnecting as needed: also when the other end has not shown for
/// `patience` that it reads. Siblings send each other something every second.
pub fn dial(
    node: String,
    addr: String,
    boot: Boot,
    restarted: Arc<Notify>,
    patience: Duration,
) -> mpsc::Sender<NodeMessage> {
    let (tx, mut rx) = mpsc::channel::<NodeMessage>(QUEUE);
    tokio::spawn(async move {
        let mut generation = 0;
        loop {
            let conn = timeout(Duration::from_millis(1000), TcpStream::connect(&addr)).await;
            let Ok(Ok(s)) = conn else {
                // What waited is stale by now: senders repeat what matters.
                while rx.try_recv().is_ok() {}
                sleep(Duration::from_millis(300)).await;
                continue;
            };
            let _ = s.set_nodelay(true);
            generation += 1;
            let (mut back, mut s) = s.into_split();
            // A connection whose other end is gone may swallow everything without an error: a
            // crash behind a cut leaves nobody to reset it. (Found on a hunt: a sibling that came
            // back heard nothing for the rest of the day, so that cancelled tasks ran on.)
            let read_at = Arc::new(Mutex::new(Instant::now()));
            let (seen, mine, again) = (read_at.clone(), boot.clone(), restarted.clone());
            let watch = tokio::spawn(async move {
                while let Ok(sign) = back.read_u8().await {
                    *lock(&seen) = Instant::now();
                    if sign == OUTDATED {
                        if let Ok(heard) = back.read_u64().await {
                            mine.raise_above(heard);
                        }
                        break;
                    }
                }
                again.notify_one();
            });
            let mut buf = Vec::new();
            frame(&Hello { node: node.clone(), boot: boot.get(), generation }, &mut buf);
            loop {
                let wrote = timeout(WRITE_LIMIT, s.write_all(&buf)).await;
                if !matches!(wrote, Ok(Ok(()))) || lock(&read_at).elapsed() > patience {
                    tracing::info!(event = "link_broken", "{addr}");
                    break;
                }
                buf.clear();
                // Its end is known sooner than by signs that do not come, if a newer process of
                // that node says hello, or the connection is closed.
                let m = tokio::select! {
                    m = rx.recv() => m,
                    () = restarted.notified() => break,
                };
                let Some(m) = m else { return };
                frame(&m, &mut buf);
                while buf.len() < 64 * 1024 {
                    match rx.try_recv() {
                        Ok(m) => frame(&m, &mut buf),
                        Err(_) => break,
                    }
                }
            }
            watch.abort();
        }
    });
    tx
}

type Newest = Arc<Mutex<HashMap<String, (u64, u64)>>>;
/// By sibling: its process is another one than before.
pub type Restarted = HashMap<String, Arc<Notify>>;

pub async fn listen(l: TcpListener, events: mpsc::Sender<Event>, siblings: Restarted) {
    let newest: Newest = Arc::default();
    let siblings = Arc::new(siblings);
    let open = Arc::new(());
    loop {
        let Ok((s, _)) = l.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        if Arc::strong_count(&open) > 40 {
            continue;
        }
        let (events, newest, siblings, held) =
            (events.clone(), newest.clone(), siblings.clone(), open.clone());
        tokio::spawn(async move {
            hear(s, events, newest, &siblings).await;
            drop(held);
        });
    }
}

async fn hear(s: TcpStream, events: mpsc::Sender<Event>, newest: Newest, siblings: &Restarted) {
    // Several frames come at once, and each is read in two parts.
    let mut s = BufReader::with_capacity(READ_BUFFER, s);
    let mut buf = Vec::new();
    let Some(()) = read_frame(&mut s, &mut buf).await else {
        return;
    };
    let Ok(hello) = ciborium::from_reader::<Hello, _>(&buf[..]) else {
        return;
    };
    let Some(restarted) = siblings.get(&hello.node) else { return };
    let me = (hello.boot, hello.generation);
    let known = {
        let mut n = lock(&newest);
        let e = n.entry(hello.node.clone()).or_insert(me);
        let known = *e;
        *e = known.max(me);
        known
    };
    if known > me {
        if known.0 > me.0 {
            let mut word = vec![OUTDATED];
            word.extend(known.0.to_be_bytes());
            let _ = timeout(WRITE_LIMIT, s.write_all(&word)).await;
        }
        return;
    }
    if known.0 < me.0 {
        restarted.notify_one();
    }
    let mut signed = Instant::now();
    while read_frame(&mut s, &mut buf).await.is_some() {
        if signed.elapsed() >= SIGN_EVERY {
            signed = Instant::now();
            if !matches!(timeout(WRITE_LIMIT, s.write_all(&[READING])).await, Ok(Ok(()))) {
                return;
            }
        }
        // Held-back data of an older connection must not come after that of a newer one.
        if lock(&newest).get(&hello.node) != Some(&me) {
            return;
        }
        let Ok(msg) = ciborium::from_reader::<NodeMessage, _>(&buf[..]) else {
            return;
        };
        let input = Input::Mesh { from: hello.node.clone(), msg: Box::new(msg) };
        if events.send(Event::Input(input)).await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
