//! Reading of request bodies with limits on size, time and memory.
use super::Gateway;
use axum::extract::Request;
use axum::http::header;
use bytes::Bytes;
use http_body_util::LengthLimitError;
use std::error::Error as _;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::SemaphorePermit;
use tokio::time::timeout;

/// Time limit for a body to arrive completely.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);
/// Bodies up to this size are read without a memory reservation; larger ones only while memory is free for
/// them.
const MAX_UNCOUNTED_BODY_BYTES: usize = 4 * 1024;

/// Why a request body was not read.
#[derive(Debug, Error)]
pub(super) enum BodyError {
    /// The body exceeds the maximum size of its route. A retry would fail too.
    #[error("the body is too large")]
    TooLarge,
    /// Other bodies that are being read have reserved too much of the memory.
    #[error("no memory for a body of {kib} KiB now")]
    NoMemory { kib: u32 },
    /// The body did not arrive within [`BODY_TIMEOUT`], or the connection failed.
    #[error("the body did not arrive completely")]
    Incomplete,
}

impl Gateway {
    /// Reads a body of at most `max_bytes`.
    ///
    /// Bodies larger than [`MAX_UNCOUNTED_BODY_BYTES`] reserve memory from `body_memory_kib` while they are
    /// read. Otherwise every connection could send a body of maximum size at the same time, which needs more
    /// memory than a controller has.
    pub(super) async fn read_body(
        &self,
        request: Request,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError> {
        let expected = content_length(&request).unwrap_or(max_bytes);
        if expected > max_bytes {
            return Err(BodyError::TooLarge);
        }
        let _memory = self.reserve_body_memory(expected)?;
        match timeout(BODY_TIMEOUT, axum::body::to_bytes(request.into_body(), max_bytes)).await {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(error)) if is_too_large(&error) => Err(BodyError::TooLarge),
            Ok(Err(_)) | Err(_) => Err(BodyError::Incomplete),
        }
    }

    /// Reserves memory for a body; dropping the permit releases it. Returns `None` for a small body, which needs
    /// no reservation.
    fn reserve_body_memory(&self, bytes: usize) -> Result<Option<SemaphorePermit<'_>>, BodyError> {
        if bytes <= MAX_UNCOUNTED_BODY_BYTES {
            return Ok(None);
        }
        let kib = bytes.div_ceil(1024) as u32;
        let permit = self.body_memory_kib.try_acquire_many(kib);
        permit.map(Some).map_err(|_| BodyError::NoMemory { kib })
    }
}

fn content_length(request: &Request) -> Option<usize> {
    request.headers().get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

#[allow(
    clippy::redundant_closure_for_method_calls,
    reason = "the path to the method is hard to read"
)]
fn is_too_large(error: &axum::Error) -> bool {
    error.source().is_some_and(|source| source.is::<LengthLimitError>())
}
