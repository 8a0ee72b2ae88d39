//! HTTP/1 client for one destination: a few connections, kept open, and a timeout for each call.
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

/// Connections kept open to the destination; one that becomes idle beyond them is closed.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Bytes of a response's body; a longer one counts as no response.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

type Connection = SendRequest<Full<Bytes>>;

/// A request that certainly was not executed, since it never left this process whole.
#[derive(Debug, Error)]
pub(crate) enum NotSent {
    /// The body can't be written as JSON.
    #[error("writing the body of the request to {addr}: {source}")]
    Encode { addr: String, source: serde_json::Error },
    /// The method, path or headers are no valid request.
    #[error("building the request to {addr}: {source}")]
    Build { addr: String, source: hyper::http::Error },
    /// The destination refused the connection or is not reachable.
    #[error("connecting to {addr}: {source}")]
    Connect { addr: String, source: std::io::Error },
    /// The destination did not accept the connection in time.
    #[error("connecting to {addr}: {source}")]
    ConnectTimeout { addr: String, source: Elapsed },
    /// The new connection failed before the request.
    #[error("opening HTTP to {addr}: {source}")]
    Handshake { addr: String, source: hyper::Error },
    /// The kept connection was closed before it took the request.
    #[error("sending to {addr} on a kept connection: {source}")]
    Closed { addr: String, source: hyper::Error },
}

/// A request that was sent, without a whole response: it may have been executed, or may yet be.
#[derive(Debug, Error)]
pub(crate) enum OutcomeUnknown {
    /// No response in time.
    #[error("waiting for {addr} to respond: {source}")]
    Timeout { addr: String, source: Elapsed },
    /// The connection broke before the response's headers.
    #[error("reading the response of {addr}: {source}")]
    Broken { addr: String, source: hyper::Error },
    /// The connection broke within the response's body, or the body is too long.
    #[error("reading the response's body of {addr}: {source}")]
    Body { addr: String, source: Box<dyn std::error::Error + Send + Sync> },
}

/// Why a call has no response, by what is known of the execution of its request.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    /// Certainly not executed.
    #[error("not sent: {0}")]
    NotSent(#[from] NotSent),
    /// May have been executed, or may yet be.
    #[error("sent, outcome unknown: {0}")]
    Unknown(#[from] OutcomeUnknown),
}

/// A whole response, whatever its status.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    pub status: StatusCode,
    pub body: Bytes,
}

impl HttpResponse {
    /// The body as a JSON value of this type; `None` if it is not one.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Calls to one destination. Clones share its connections.
#[derive(Clone)]
pub(crate) struct HttpClient {
    addr: String,
    connect_timeout: Duration,
    idle: Arc<Mutex<Vec<Connection>>>,
}

impl HttpClient {
    /// A client for `addr` (`ADDRESS:PORT`). Connections are opened as calls need them.
    pub fn new(addr: &str, connect_timeout: Duration) -> HttpClient {
        HttpClient { addr: addr.to_string(), connect_timeout, idle: Arc::default() }
    }

    /// `GET path`.
    pub async fn get(&self, path: &str, timeout: Duration) -> Result<HttpResponse, CallError> {
        self.call(Method::GET, path, Bytes::new(), timeout).await
    }

    /// `DELETE path`.
    pub async fn delete(&self, path: &str, timeout: Duration) -> Result<HttpResponse, CallError> {
        self.call(Method::DELETE, path, Bytes::new(), timeout).await
    }

    /// `POST path` without a body.
    pub async fn post(&self, path: &str, timeout: Duration) -> Result<HttpResponse, CallError> {
        self.call(Method::POST, path, Bytes::new(), timeout).await
    }

    /// `POST path` with `body` as JSON.
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

    /// One request and its response. `call_timeout` runs from when there is a connection.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        call_timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let mut connection = match self.take_idle() {
            Some(connection) => connection,
            None => self.open().await?,
        };
        let request = self.request(method, path, body)?;
        let response = timeout(call_timeout, self.exchange(&mut connection, request))
            .await
            .map_err(|source| OutcomeUnknown::Timeout { addr: self.addr.clone(), source })??;
        self.keep(connection);
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

    async fn open(&self) -> Result<Connection, NotSent> {
        let addr = || self.addr.clone();
        let stream = timeout(self.connect_timeout, TcpStream::connect(&self.addr))
            .await
            .map_err(|source| NotSent::ConnectTimeout { addr: addr(), source })?
            .map_err(|source| NotSent::Connect { addr: addr(), source })?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|source| NotSent::Handshake { addr: addr(), source })?;
        // Ends with the connection; what breaks it is an error of the call in progress.
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
            // A kept connection that was closed meanwhile has not taken the request.
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

    /// The connection that was kept last, without those that were closed meanwhile.
    fn take_idle(&self) -> Option<Connection> {
        loop {
            let connection = lock(&self.idle).pop()?;
            if !connection.is_closed() && connection.is_ready() {
                return Some(connection);
            }
        }
    }

    fn keep(&self, connection: Connection) {
        let mut idle = lock(&self.idle);
        if idle.len() < MAX_IDLE_CONNECTIONS && connection.is_ready() {
            idle.push(connection);
        }
    }
}
