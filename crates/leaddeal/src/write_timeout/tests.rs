use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[tokio::test(start_paused = true)]
async fn times_out_only_if_the_peer_stops_reading() {
    let (mut peer, stream) = tokio::io::duplex(64);
    let mut stream = WriteTimeout::new(stream, Duration::from_secs(10));
    let reader = tokio::spawn(async move {
        let mut buffer = [0; 32];
        for _ in 0..6 {
            sleep(Duration::from_secs(7)).await;
            peer.read_exact(&mut buffer).await.expect("the written bytes");
        }
        peer
    });
    stream.write_all(&[1; 256]).await.expect("the peer reads slowly");
    let _open_peer = reader.await.expect("the reader");
    let blocked_write = stream.write_all(&[1; 256]).await;
    assert_eq!(blocked_write.map_err(|e| e.kind()), Err(ErrorKind::TimedOut));
}
