//! A timeout for writes to a peer that does not read.
//!
//! Hyper waits without a limit for a response to be written. A client that sends a request and never reads the
//! response would keep its connection, which counts towards the connection limit, forever.
use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

/// A stream whose write, flush or shutdown fails with [`ErrorKind::TimedOut`] after `timeout` without progress.
/// Any progress restarts the timeout. Reads are passed through without a timeout.
pub(crate) struct WriteTimeout<S> {
    inner: S,
    timeout: Duration,
    /// Runs while a write is pending; `None` if no write is.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteTimeout<S> {
    /// Wraps `inner` with a timeout for its writes.
    pub fn new(inner: S, timeout: Duration) -> WriteTimeout<S> {
        WriteTimeout { inner, timeout, timer: None }
    }

    /// Returns the result of a completed write. For a pending write, starts the timer or polls the running one.
    fn apply_timeout<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<Result<T>>,
    ) -> Poll<Result<T>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        match timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(Error::from(ErrorKind::TimedOut))),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.apply_timeout(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(context);
        self.apply_timeout(context, flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let shut_down = Pin::new(&mut self.inner).poll_shutdown(context);
        self.apply_timeout(context, shut_down)
    }
}

#[cfg(test)]
mod tests;
