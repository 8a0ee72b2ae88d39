//! HTTP client for the outside services: few connections, kept open, with time limits.
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

const MOST_IDLE: usize = 4;
const MOST_BODY: usize = 8 << 20;

/// Nobody keeps a lock over a wait, and a panic ends the process.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NoAnswer {
    /// The connection never came about: certainly not executed.
    NotSent,
    /// May have been executed, or may yet be.
    Unknown,
}

/// One destination.
#[derive(Clone)]
pub struct Client {
    addr: String,
    connect: Duration,
    idle: Arc<Mutex<Vec<SendRequest<Full<Bytes>>>>>,
}

impl Client {
    pub fn new(addr: &str, connect: Duration) -> Client {
        Client { addr: addr.to_string(), connect, idle: Arc::default() }
    }

    async fn open(&self) -> Result<SendRequest<Full<Bytes>>, NoAnswer> {
        let s = timeout(self.connect, TcpStream::connect(&self.addr))
            .await
            .map_err(|_| NoAnswer::NotSent)?
            .map_err(|_| NoAnswer::NotSent)?;
        let _ = s.set_nodelay(true);
        let (tx, conn) = http1::handshake(TokioIo::new(s)).await.map_err(|_| NoAnswer::NotSent)?;
        tokio::spawn(async move {
            let _ = conn.await;
        });
        Ok(tx)
    }

    pub async fn call<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&B>,
        limit: Duration,
    ) -> Result<(u16, Bytes), NoAnswer> {
        let bytes = match body {
            Some(b) => Bytes::from(serde_json::to_vec(b).map_err(|_| NoAnswer::NotSent)?),
            None => Bytes::new(),
        };
        let idle = loop {
            let c = lock(&self.idle).pop();
            match c {
                Some(c) if c.is_closed() || !c.is_ready() => {}
                other => break other,
            }
        };
        let mut tx = match idle {
            Some(c) => c,
            None => self.open().await?,
        };
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", &self.addr)
            .header("content-type", "application/json")
            .body(Full::new(bytes))
            .map_err(|_| NoAnswer::NotSent)?;
        let work = async {
            // A kept connection that was closed meanwhile has not taken the request.
            let lost = |e: hyper::Error| match e.is_canceled() {
                true => NoAnswer::NotSent,
                false => NoAnswer::Unknown,
            };
            let r = tx.send_request(req).await.map_err(lost)?;
            let status = r.status().as_u16();
            let body = Limited::new(r.into_body(), MOST_BODY)
                .collect()
                .await
                .map_err(|_| NoAnswer::Unknown)?;
            Ok((status, body.to_bytes()))
        };
        let answer = timeout(limit, work).await.map_err(|_| NoAnswer::Unknown)??;
        let mut idle = lock(&self.idle);
        if idle.len() < MOST_IDLE && tx.is_ready() {
            idle.push(tx);
        }
        Ok(answer)
    }
}
