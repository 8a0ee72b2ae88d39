//! Connections between controllers: length-framed CBOR over TCP. Each node sends on connections
//! that it opened, and listens on those that others opened.
use crate::driver::Event;
use leaddeal_core::Input;
use leaddeal_wire::mesh::{Hello, NodeMsg, MAX_FRAME};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Messages waiting for a sibling; more are dropped, as on a lossy line.
const QUEUE: usize = 2000;
const WRITE_LIMIT: Duration = Duration::from_secs(3);
const SILENCE: Duration = Duration::from_secs(20);

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

async fn read_frame(s: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
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

/// Sends to one sibling, reconnecting as needed.
pub fn dial(node: String, addr: String, boot: u64) -> mpsc::Sender<NodeMsg> {
    let (tx, mut rx) = mpsc::channel::<NodeMsg>(QUEUE);
    tokio::task::spawn_local(async move {
        let mut generation = 0;
        loop {
            let conn = timeout(Duration::from_millis(1000), TcpStream::connect(&addr)).await;
            let Ok(Ok(mut s)) = conn else {
                // What waited is stale by now: senders repeat what matters.
                while rx.try_recv().is_ok() {}
                sleep(Duration::from_millis(300)).await;
                continue;
            };
            let _ = s.set_nodelay(true);
            generation += 1;
            let mut buf = Vec::new();
            frame(&Hello { node: node.clone(), boot, generation }, &mut buf);
            loop {
                let wrote = timeout(WRITE_LIMIT, s.write_all(&buf)).await;
                if !matches!(wrote, Ok(Ok(()))) {
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
        }
    });
    tx
}

type Newest = Rc<RefCell<HashMap<String, (u64, u64)>>>;

pub async fn listen(l: TcpListener, events: mpsc::Sender<Event>, nodes: Vec<String>) {
    let newest: Newest = Rc::default();
    let open = Rc::new(());
    loop {
        let Ok((s, _)) = l.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        if Rc::strong_count(&open) > 40 {
            continue;
        }
        let (events, newest, nodes, held) =
            (events.clone(), newest.clone(), nodes.clone(), open.clone());
        tokio::task::spawn_local(async move {
            hear(s, events, newest, nodes).await;
            drop(held);
        });
    }
}

async fn hear(mut s: TcpStream, events: mpsc::Sender<Event>, newest: Newest, nodes: Vec<String>) {
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
        let mut n = newest.borrow_mut();
        let e = n.entry(hello.node.clone()).or_insert(me);
        if *e > me {
            return;
        }
        *e = me;
    }
    while read_frame(&mut s, &mut buf).await.is_some() {
        // Held-back data of an older connection must not come after that of a newer one.
        if newest.borrow().get(&hello.node) != Some(&me) {
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
