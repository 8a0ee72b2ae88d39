use super::frame::read_frame;
use super::*;
use crate::event::Event;
use leaddeal_core::Input;
use leaddeal_wire::mesh::{Hello, NodeHeartbeat, NodeMessage};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::timeout;

async fn free_port() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("its address").to_string();
    (listener, addr)
}

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

/// Accepts a connection, and reads on without a signal after its hello.
async fn swallow(listener: &TcpListener) -> (Hello, tokio::task::JoinHandle<()>) {
    let (mut stream, _): (TcpStream, _) = listener.accept().await.expect("a connection");
    let mut buffer = Vec::new();
    read_frame(&mut stream, &mut buffer).await.expect("a frame");
    let hello = ciborium::from_reader(&buffer[..]).expect("a hello");
    let reads_on =
        tokio::spawn(async move { while read_frame(&mut stream, &mut buffer).await.is_ok() {} });
    (hello, reads_on)
}

/// A listener that swallows everything stands for a peer that is gone unnoticed.
#[tokio::test]
async fn a_connection_without_signs_of_reading_is_made_anew() {
    let (listener, addr) = free_port().await;
    let work = async {
        let queue = dial(addr, 1, Duration::from_millis(20));
        let feed = tokio::spawn(async move {
            while queue.send(NodeMessage::Heartbeat(NodeHeartbeat::default())).await.is_ok() {
                tokio::task::yield_now().await;
            }
        });
        let (first, first_reads_on) = swallow(&listener).await;
        let (second, second_reads_on) = swallow(&listener).await;
        for task in [feed, first_reads_on, second_reads_on] {
            task.abort();
        }
        (first, second)
    };
    let (first, second) =
        timeout(Duration::from_secs(20), work).await.expect("a second connection");
    assert!(second.generation > first.generation, "the newer one is listened to");
}

/// The epoch in a heartbeat of [`heartbeat`]; 0 for anything else.
fn epoch_of(event: Option<Event>) -> u64 {
    match event {
        Some(Event::Input(Input::Mesh { msg, .. })) => match *msg {
            NodeMessage::Heartbeat(heartbeat) => heartbeat.owned[0].1,
            _ => 0,
        },
        _ => 0,
    }
}

fn heartbeat(epoch: u64) -> NodeMessage {
    let owned = vec![(0, epoch)];
    NodeMessage::Heartbeat(NodeHeartbeat { owned, ..NodeHeartbeat::default() })
}

/// A process started a moment after the one before it, with a clock that stepped back: it was
/// not listened to for as long as it ran.
#[tokio::test]
async fn a_process_whose_clock_stepped_back_is_listened_to() {
    let (listener, addr) = free_port().await;
    let (events, mut received) = mpsc::channel(10);
    let restarted: Arc<Notify> = Arc::default();
    tokio::spawn(listen(listener, events, [("n-0".to_string(), restarted.clone())].into()));
    let start = |boot| dial(addr.clone(), boot, READ_SIGNAL_TIMEOUT);
    let before = start(1000);
    before.send(heartbeat(1)).await.expect("a link");
    assert_eq!(epoch_of(received.recv().await), 1);
    let after = start(990);
    let first = async {
        loop {
            let _ = after.try_send(heartbeat(2));
            let next = timeout(Duration::from_millis(50), received.recv()).await;
            if next.is_ok_and(|event| epoch_of(event) == 2) {
                return;
            }
        }
    };
    timeout(Duration::from_secs(10), first).await.expect("it is heard");
    timeout(Duration::from_secs(1), restarted.notified()).await.expect("it is another one");
    // What the ended one left in the network says nothing any more.
    let _ = before.send(heartbeat(3)).await;
    let late = timeout(Duration::from_millis(200), received.recv()).await;
    assert!(late.is_err() || late.is_ok_and(|event| epoch_of(event) == 2), "an outdated message");
}
