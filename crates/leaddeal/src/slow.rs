//! A connection that ends when its other side does not take what is sent.
//!
//! Hyper waits for as long as it takes to write an answer; somebody who asks and never reads would
//! keep a connection, and its place among those allowed, for good.
use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

/// Reads as the inner stream does; a write that makes no headway for the limit is an error.
pub struct Patient<S> {
    inner: S,
    limit: Duration,
    /// Running while a write waits.
    waits: Option<Pin<Box<Sleep>>>,
}

impl<S> Patient<S> {
    pub fn new(inner: S, limit: Duration) -> Patient<S> {
        Patient { inner, limit, waits: None }
    }

    fn in_time<T>(&mut self, cx: &mut Context<'_>, wrote: Poll<Result<T>>) -> Poll<Result<T>> {
        if wrote.is_ready() {
            self.waits = None;
            return wrote;
        }
        let limit = self.limit;
        let timer = self.waits.get_or_insert_with(|| Box::pin(sleep(limit)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(Error::from(ErrorKind::TimedOut))),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Patient<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Patient<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let wrote = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.in_time(cx, wrote)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let done = Pin::new(&mut self.inner).poll_flush(cx);
        self.in_time(cx, done)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let done = Pin::new(&mut self.inner).poll_shutdown(cx);
        self.in_time(cx, done)
    }
}

#[cfg(test)]
mod tests;
