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
    let addr = listener.local_addr().expect("the address").to_string();
    (listener, addr)
}

/// Starts a task that connects as node `n-0`, and returns its message queue.
fn dial(peer_addr: String, boot: u64, read_signal_timeout: Duration) -> mpsc::Sender<NodeMessage> {
    let dialer = Dialer {
        node: "n-0".into(),
        peer_addr,
        boot: BootNumber::new(boot),
        peer_restarted: Arc::default(),
        read_signal_timeout,
    };
    let (queue, send_task) = dialer.connect();
    tokio::spawn(send_task);
    queue
}

/// Accepts a connection, reads its hello, and starts a task that reads all further frames without a signal.
async fn accept_without_signals(listener: &TcpListener) -> (Hello, tokio::task::JoinHandle<()>) {
    let (mut stream, _): (TcpStream, _) = listener.accept().await.expect("a connection");
    let mut buffer = Vec::new();
    read_frame(&mut stream, &mut buffer).await.expect("a frame");
    let hello = ciborium::from_reader(&buffer[..]).expect("a hello");
    let reader =
        tokio::spawn(async move { while read_frame(&mut stream, &mut buffer).await.is_ok() {} });
    (hello, reader)
}

/// A peer that disappeared behind a network partition can't reset its connection, so writes to it succeed. The
/// listener here, which reads without signals, stands for such a peer.
#[tokio::test]
async fn reconnects_without_read_signals() {
    let (listener, addr) = free_port().await;
    let connect_twice = async {
        let queue = dial(addr, 1, Duration::from_millis(20));
        let sender = tokio::spawn(async move {
            while queue.send(NodeMessage::Heartbeat(NodeHeartbeat::default())).await.is_ok() {
                tokio::task::yield_now().await;
            }
        });
        let (first, first_reader) = accept_without_signals(&listener).await;
        let (second, second_reader) = accept_without_signals(&listener).await;
        for task in [sender, first_reader, second_reader] {
            task.abort();
        }
        (first, second)
    };
    let (first, second) =
        timeout(Duration::from_secs(20), connect_twice).await.expect("a second connection");
    assert!(second.generation > first.generation, "the second connection is newer");
}

/// Returns the epoch in a heartbeat made by [`heartbeat`]; 0 for any other event.
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

/// A process that starts a moment after the previous one of its node, with a clock that stepped back, has the
/// smaller boot number. Its messages were rejected for as long as it ran.
#[tokio::test]
async fn accepts_new_process_after_clock_step_back() {
    let (listener, addr) = free_port().await;
    let (events, mut received) = mpsc::channel(10);
    let restarted: Arc<Notify> = Arc::default();
    tokio::spawn(listen(listener, events, [("n-0".to_string(), restarted.clone())].into()));
    let start = |boot| dial(addr.clone(), boot, READ_SIGNAL_TIMEOUT);
    let old_process = start(1000);
    old_process.send(heartbeat(1)).await.expect("an open queue");
    assert_eq!(epoch_of(received.recv().await), 1);
    let new_process = start(990);
    let receive_from_new = async {
        loop {
            let _ = new_process.try_send(heartbeat(2));
            let received_event = timeout(Duration::from_millis(50), received.recv()).await;
            if received_event.is_ok_and(|event| epoch_of(event) == 2) {
                return;
            }
        }
    };
    timeout(Duration::from_secs(10), receive_from_new).await.expect("a message of the new process");
    timeout(Duration::from_secs(1), restarted.notified()).await.expect("the restart is notified");
    // Messages of the old process that are still in the network are ignored.
    let _ = old_process.send(heartbeat(3)).await;
    let late = timeout(Duration::from_millis(200), received.recv()).await;
    assert!(late.is_err() || late.is_ok_and(|event| epoch_of(event) == 2), "an outdated message");
}
