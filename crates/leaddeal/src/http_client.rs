//! HTTP/1 client for one destination, with a small pool of idle connections and a timeout for each call.
use crate::sync::lock;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

/// Idle connections kept open to the destination; a connection beyond this number is closed after its call.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Maximum size of a response body in bytes. A longer body fails the call with [`OutcomeUnknown::Body`].
const MAX_RESPONSE_BYTES: usize = 8 << 20;

type Connection = SendRequest<Full<Bytes>>;

/// Why a request was certainly not executed: it was not sent completely.
#[derive(Debug, Error)]
pub(crate) enum NotSent {
    /// The body can't be serialized as JSON.
    #[error("serializing the body of the request to {addr}: {source}")]
    Encode { addr: String, source: serde_json::Error },
    /// The method, path or headers are invalid.
    #[error("building the request to {addr}: {source}")]
    Build { addr: String, source: hyper::http::Error },
    /// The destination refused the connection or is unreachable.
    #[error("connecting to {addr}: {source}")]
    Connect { addr: String, source: std::io::Error },
    /// The destination did not accept the connection within the connect timeout.
    #[error("connecting to {addr}: {source}")]
    ConnectTimeout { addr: String, source: Elapsed },
    /// The HTTP handshake on a new connection failed, before the request was sent.
    #[error("opening HTTP to {addr}: {source}")]
    Handshake { addr: String, source: hyper::Error },
    /// The idle connection was closed before it accepted the request.
    #[error("sending to {addr} on an idle connection: {source}")]
    Closed { addr: String, source: hyper::Error },
}

/// Why a request that was sent has no complete response. It may have been executed, or may still be.
#[derive(Debug, Error)]
pub(crate) enum OutcomeUnknown {
    /// No complete response arrived within the call timeout.
    #[error("waiting for {addr} to respond: {source}")]
    Timeout { addr: String, source: Elapsed },
    /// The connection failed before the response headers arrived.
    #[error("reading the response of {addr}: {source}")]
    Broken { addr: String, source: hyper::Error },
    /// The connection failed while the response body was read, or the body exceeds [`MAX_RESPONSE_BYTES`].
    #[error("reading the response's body of {addr}: {source}")]
    Body { addr: String, source: Box<dyn std::error::Error + Send + Sync> },
}

/// Why a call has no response, by whether the request may have been executed.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    /// The request was certainly not executed.
    #[error("not sent: {0}")]
    NotSent(#[from] NotSent),
    /// The request may have been executed, or may still be.
    #[error("sent, outcome unknown: {0}")]
    Unknown(#[from] OutcomeUnknown),
}

/// A complete response with any status.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    pub status: StatusCode,
    pub body: Bytes,
}

impl HttpResponse {
    /// Parses the body as JSON of type `T`. Returns `None` if that fails.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Client for one destination. Clones share its idle connections.
#[derive(Clone)]
pub(crate) struct HttpClient {
    addr: String,
    connect_timeout: Duration,
    idle: Arc<Mutex<Vec<Connection>>>,
}

impl HttpClient {
    /// Creates a client for `addr` (`ADDRESS:PORT`). Opens no connection until the first call.
    pub fn new(addr: &str, connect_timeout: Duration) -> HttpClient {
        HttpClient { addr: addr.to_string(), connect_timeout, idle: Arc::default() }
    }

    /// Sends `GET path`.
    pub async fn get(&self, path: &str, timeout: Duration) -> Result<HttpResponse, CallError> {
        self.call(Method::GET, path, Bytes::new(), timeout).await
    }

    /// Sends `DELETE path`.
    pub async fn delete(&self, path: &str, timeout: Duration) -> Result<HttpResponse, CallError> {
        self.call(Method::DELETE, path, Bytes::new(), timeout).await
    }

    /// Sends `POST path` without a body.
    pub async fn post(&self, path: &str, timeout: Duration) -> Result<HttpResponse, CallError> {
        self.call(Method::POST, path, Bytes::new(), timeout).await
    }

    /// Sends `POST path` with `body` as JSON.
    pub async fn post_json<B: Serialize>(
        &self,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let body = serde_json::to_vec(body)
            .map_err(|source| NotSent::Encode { addr: self.addr.clone(), source })?;
        self.call(Method::POST, path, Bytes::from(body), timeout).await
    }

    /// Sends one request and returns its response. `call_timeout` does not include opening a connection, which
    /// has a timeout of its own.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        call_timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let mut connection = match self.take_idle() {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let request = self.request(method, path, body)?;
        let response = timeout(call_timeout, self.exchange(&mut connection, request))
            .await
            .map_err(|source| OutcomeUnknown::Timeout { addr: self.addr.clone(), source })??;
        self.put_idle(connection);
        Ok(response)
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, NotSent> {
        Request::builder()
            .method(method)
            .uri(path)
            .header("host", &self.addr)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|source| NotSent::Build { addr: self.addr.clone(), source })
    }

    async fn connect(&self) -> Result<Connection, NotSent> {
        let addr = || self.addr.clone();
        let stream = timeout(self.connect_timeout, TcpStream::connect(&self.addr))
            .await
            .map_err(|source| NotSent::ConnectTimeout { addr: addr(), source })?
            .map_err(|source| NotSent::Connect { addr: addr(), source })?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|source| NotSent::Handshake { addr: addr(), source })?;
        // This task ends with the connection. Its error is ignored: the call in progress returns one too.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<HttpResponse, CallError> {
        let addr = || self.addr.clone();
        let response = connection.send_request(request).await.map_err(|source| {
            // A cancelled request was not accepted: the idle connection was closed in the meantime.
            if source.is_canceled() {
                CallError::from(NotSent::Closed { addr: addr(), source })
            } else {
                CallError::from(OutcomeUnknown::Broken { addr: addr(), source })
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|source| OutcomeUnknown::Body { addr: addr(), source })?;
        Ok(HttpResponse { status, body: body.to_bytes() })
    }

    /// Takes the connection that became idle last, and drops those that were closed in the meantime.
    fn take_idle(&self) -> Option<Connection> {
        loop {
            let connection = lock(&self.idle).pop()?;
            if !connection.is_closed() && connection.is_ready() {
                return Some(connection);
            }
        }
    }

    fn put_idle(&self, connection: Connection) {
        let mut idle = lock(&self.idle);
        if idle.len() < MAX_IDLE_CONNECTIONS && connection.is_ready() {
            idle.push(connection);
        }
    }
}
