use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[tokio::test(start_paused = true)]
async fn a_reader_that_never_reads_times_out_and_a_slow_one_does_not() {
    let (mut there, here) = tokio::io::duplex(64);
    let mut here = WriteTimeout::new(here, Duration::from_secs(10));
    let reader = tokio::spawn(async move {
        let mut some = [0; 32];
        for _ in 0..6 {
            sleep(Duration::from_secs(7)).await;
            there.read_exact(&mut some).await.expect("what was sent");
        }
        there
    });
    here.write_all(&[1; 256]).await.expect("slowly, but it goes on");
    let _keeps_it_open = reader.await.expect("the reader");
    let stuck = here.write_all(&[1; 256]).await;
    assert_eq!(stuck.map_err(|e| e.kind()), Err(ErrorKind::TimedOut));
}
