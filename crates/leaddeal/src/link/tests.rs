use super::frame::read_frame;
use super::*;
use crate::event::Event;
use leaddeal_core::Input;
use leaddeal_wire::mesh::{Hello, NodeHeartbeat, NodeMessage};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Notify};
use tokio::time::timeout;

/// Connects as node `n-0`, in a task of its own.
fn dial(peer_addr: String, boot: u64, read_signal_timeout: Duration) -> mpsc::Sender<NodeMessage> {
    let dialer = Dialer {
        node: "n-0".into(),
        peer_addr,
        boot: BootNumber::new(boot),
        peer_restarted: Arc::default(),
        read_signal_timeout,
    };
    let (queue, work) = dialer.connect();
    tokio::spawn(work);
    queue
}

/// A listener that swallows everything stands for a sibling that is gone unnoticed.
#[tokio::test]
async fn a_connection_without_signs_of_reading_is_made_anew() {
    let l = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = l.local_addr().expect("its address").to_string();
    let work = async {
        let tx = dial(addr, 1, Duration::from_millis(20));
        let feed = tokio::spawn(async move {
            while tx.send(NodeMessage::Heartbeat(NodeHeartbeat::default())).await.is_ok() {
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
            kept.push(tokio::spawn(
                async move { while read_frame(&mut s, &mut buf).await.is_ok() {} },
            ));
        }
        feed.abort();
        kept.iter().for_each(tokio::task::JoinHandle::abort);
        hellos
    };
    let hellos = timeout(Duration::from_secs(20), work).await;
    let hellos = hellos.expect("a second connection");
    assert!(hellos[1].generation > hellos[0].generation, "the newer one is listened to");
}

/// A process started a moment after the one before it, with a clock that stepped back: it was
/// not listened to for as long as it ran.
#[tokio::test]
async fn a_process_whose_clock_stepped_back_is_listened_to() {
    let l = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = l.local_addr().expect("its address").to_string();
    let (events, mut heard) = mpsc::channel(10);
    let restarted: Arc<Notify> = Arc::default();
    tokio::spawn(listen(l, events, [("n-0".to_string(), restarted.clone())].into()));
    let start = |boot| dial(addr.clone(), boot, READ_SIGNAL_TIMEOUT);
    let epoch_of = |e: Option<Event>| match e {
        Some(Event::Input(Input::Mesh { msg, .. })) => match *msg {
            NodeMessage::Heartbeat(b) => b.owned[0].1,
            _ => 0,
        },
        _ => 0,
    };
    let beat = |epoch| {
        NodeMessage::Heartbeat(NodeHeartbeat {
            owned: vec![(0, epoch)],
            ..NodeHeartbeat::default()
        })
    };
    let before = start(1000);
    before.send(beat(1)).await.expect("a link");
    assert_eq!(epoch_of(heard.recv().await), 1);
    let after = start(990);
    let first = async {
        loop {
            let _ = after.try_send(beat(2));
            let next = timeout(Duration::from_millis(50), heard.recv()).await;
            if next.is_ok_and(|e| epoch_of(e) == 2) {
                return;
            }
        }
    };
    timeout(Duration::from_secs(10), first).await.expect("it is heard");
    timeout(Duration::from_secs(1), restarted.notified()).await.expect("it is another one");
    // What the ended one left in the network says nothing any more.
    let _ = before.send(beat(3)).await;
    let late = timeout(Duration::from_millis(200), heard.recv()).await;
    assert!(late.is_err() || late.is_ok_and(|e| epoch_of(e) == 2), "an outdated word");
}
