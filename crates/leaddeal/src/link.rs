//! Connections between controllers: length-framed CBOR over TCP. Each node sends on connections
//! that it opened, and listens on those that others opened.
use crate::client::lock;
use crate::event::Event;
use leaddeal_core::Input;
use leaddeal_wire::mesh::{Hello, NodeMsg, MAX_FRAME};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
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
pub fn dial(node: String, addr: String, boot: u64, patience: Duration) -> mpsc::Sender<NodeMsg> {
    let (tx, mut rx) = mpsc::channel::<NodeMsg>(QUEUE);
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
            let seen = read_at.clone();
            let watch = tokio::spawn(async move {
                let mut sign = [0; 64];
                while matches!(back.read(&mut sign).await, Ok(n) if n > 0) {
                    *lock(&seen) = Instant::now();
                }
            });
            let mut buf = Vec::new();
            frame(&Hello { node: node.clone(), boot, generation }, &mut buf);
            loop {
                let wrote = timeout(WRITE_LIMIT, s.write_all(&buf)).await;
                if !matches!(wrote, Ok(Ok(()))) || lock(&read_at).elapsed() > patience {
                    tracing::info!(event = "link_broken", "{addr}");
                    break;
                }
                buf.clear();
                let Some(m) = rx.recv().await else { return };
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

pub async fn listen(l: TcpListener, events: mpsc::Sender<Event>, nodes: Vec<String>) {
    let newest: Newest = Arc::default();
    let open = Arc::new(());
    loop {
        let Ok((s, _)) = l.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        if Arc::strong_count(&open) > 40 {
            continue;
        }
        let (events, newest, nodes, held) =
            (events.clone(), newest.clone(), nodes.clone(), open.clone());
        tokio::spawn(async move {
            hear(s, events, newest, nodes).await;
            drop(held);
        });
    }
}

async fn hear(s: TcpStream, events: mpsc::Sender<Event>, newest: Newest, nodes: Vec<String>) {
    // Several frames come at once, and each is read in two parts.
    let mut s = BufReader::with_capacity(READ_BUFFER, s);
    let mut buf = Vec::new();
    let Some(()) = read_frame(&mut s, &mut buf).await else {
        return;
    };
    let Ok(hello) = ciborium::from_reader::<Hello, _>(&buf[..]) else {
        return;
    };
    if !nodes.contains(&hello.node) {
        return;
    }
    let me = (hello.boot, hello.generation);
    {
        let mut n = lock(&newest);
        let e = n.entry(hello.node.clone()).or_insert(me);
        if *e > me {
            return;
        }
        *e = me;
    }
    let mut signed = Instant::now();
    while read_frame(&mut s, &mut buf).await.is_some() {
        if signed.elapsed() >= SIGN_EVERY {
            signed = Instant::now();
            if !matches!(timeout(WRITE_LIMIT, s.write_all(&[1])).await, Ok(Ok(()))) {
                return;
            }
        }
        // Held-back data of an older connection must not come after that of a newer one.
        if lock(&newest).get(&hello.node) != Some(&me) {
            return;
        }
        let Ok(msg) = ciborium::from_reader::<NodeMsg, _>(&buf[..]) else {
            return;
        };
        let input = Input::Mesh { from: hello.node.clone(), msg: Box::new(msg) };
        if events.send(Event::Input(input)).await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A listener that swallows everything stands for a sibling that is gone unnoticed.
    #[tokio::test]
    async fn a_connection_without_signs_of_reading_is_made_anew() {
        let l = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = l.local_addr().expect("its address").to_string();
        let work = async {
            let tx = dial("n-0".into(), addr, 1, Duration::from_millis(20));
            let feed = tokio::spawn(async move {
                while tx.send(NodeMsg::Beat { owned: Vec::new() }).await.is_ok() {
                    tokio::task::yield_now().await;
                }
            });
            let mut hellos = Vec::new();
            let mut kept = Vec::new();
            for _ in 0..2 {
                let (mut s, _) = l.accept().await.expect("a connection");
                let mut buf = Vec::new();
                read_frame(&mut s, &mut buf).await.expect("a frame");
                hellos.push(ciborium::from_reader::<Hello, _>(&buf[..]).expect("a hello"));
                kept.push(tokio::spawn(async move {
                    while read_frame(&mut s, &mut buf).await.is_some() {}
                }));
            }
            feed.abort();
            kept.iter().for_each(tokio::task::JoinHandle::abort);
            hellos
        };
        let hellos = timeout(Duration::from_secs(20), work).await;
        let hellos = hellos.expect("a second connection");
        assert!(hellos[1].generation > hellos[0].generation, "the newer one is listened to");
    }
}
