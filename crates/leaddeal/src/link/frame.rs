//! Frames of a connection: a length of four bytes, big-endian, followed by that many bytes of CBOR.
use leaddeal_wire::mesh::MAX_FRAME_BYTES;
use serde::Serialize;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::error::Elapsed;
use tokio::time::timeout;

const LENGTH_BYTES: usize = 4;
/// Time limit for reading each of a frame's two parts. Peers send each other something every second.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Why no frame was read. The connection can't be used any more.
#[derive(Debug, Error)]
pub(super) enum FrameError {
    #[error("reading a frame: {0}")]
    Timeout(#[from] Elapsed),
    #[error("reading a frame: {0}")]
    Io(#[from] io::Error),
    #[error(
        "reading a frame: its length is {length} bytes, at most {MAX_FRAME_BYTES} are allowed"
    )]
    TooLong { length: usize },
}

/// Appends a message as a frame. Skips a message that is too long or can't be serialized, as if the network had
/// lost it.
pub(super) fn append_frame<T: Serialize>(message: &T, buffer: &mut Vec<u8>) {
    let frame_start = buffer.len();
    let content_start = frame_start + LENGTH_BYTES;
    buffer.extend_from_slice(&[0; LENGTH_BYTES]);
    let written = ciborium::into_writer(message, &mut *buffer).is_ok();
    if !written || buffer.len() - content_start > MAX_FRAME_BYTES {
        buffer.truncate(frame_start);
        return;
    }
    let length = (buffer.len() - content_start) as u32;
    buffer[frame_start..content_start].copy_from_slice(&length.to_be_bytes());
}

/// Reads the next frame's content into `buffer`, replacing the previous content.
///
/// # Errors
/// If the connection ends, a part of the frame does not arrive within [`READ_TIMEOUT`], or the frame is longer
/// than [`MAX_FRAME_BYTES`].
pub(super) async fn read_frame<S: AsyncRead + Unpin>(
    stream: &mut S,
    buffer: &mut Vec<u8>,
) -> Result<(), FrameError> {
    let mut length = [0; LENGTH_BYTES];
    timeout(READ_TIMEOUT, stream.read_exact(&mut length)).await??;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong { length });
    }
    buffer.resize(length, 0);
    timeout(READ_TIMEOUT, stream.read_exact(buffer)).await??;
    Ok(())
}
