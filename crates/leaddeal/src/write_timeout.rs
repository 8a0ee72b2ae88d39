//! A connection that fails when its other end does not take what is sent.
//!
//! Hyper waits without a limit for an answer to be written; a client that asks and never reads would keep a
//! connection, and its place among those allowed, for good.
use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

/// Reads as the inner stream does. A write, flush or shutdown that makes no progress for `timeout` fails with
/// [`ErrorKind::TimedOut`]; any progress starts the time anew.
pub(crate) struct WriteTimeout<S> {
    inner: S,
    timeout: Duration,
    /// Running while a write waits.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteTimeout<S> {
    /// Bounds the waits of `inner`'s writes.
    pub fn new(inner: S, timeout: Duration) -> WriteTimeout<S> {
        WriteTimeout { inner, timeout, timer: None }
    }

    /// Passes on the outcome of a write; of one that waits, starts or asks the timer.
    fn in_time<T>(
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
        self.in_time(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(context);
        self.in_time(context, flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let shut_down = Pin::new(&mut self.inner).poll_shutdown(context);
        self.in_time(context, shut_down)
    }
}

#[cfg(test)]
mod tests;
