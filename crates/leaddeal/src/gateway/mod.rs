//! The HTTP gateway: serves users, workers and the load balancer.
//!
//! Every wait has a time limit, so that no client can hold resources that others need. Connections, memory for
//! request bodies and the event queue are limited; requests beyond a limit are refused with 503 and
//! `Retry-After`.
use crate::event::{Event, Reply};
use crate::write_timeout::WriteTimeout;
use axum::routing::{get, post};
use axum::Router;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use leaddeal_core::io::RequestId;
use leaddeal_core::Input;
use leaddeal_wire::{user, worker};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Semaphore};
use tokio::time::{sleep, timeout};

mod body;
mod handlers;
mod responses;

/// Time limit for the core's reply to a request.
const REPLY_TIMEOUT: Duration = Duration::from_millis(4200);
/// Time limit from the opening of a connection, or the end of its last request, to the end of the next request's
/// head.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(25);
/// A connection is closed if its client reads nothing of a response for this long.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a request's head in bytes, and the most that is read of its body at a time.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Response to a connection beyond the connection limit, which is then closed.
const TOO_MANY_CONNECTIONS_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nContent-Length: 0\r\n\
Connection: close\r\n\r\n";

/// State shared by the request handlers. Clones share it too.
#[derive(Clone)]
pub(crate) struct Gateway {
    /// Queue of the event loop.
    events: mpsc::Sender<Event>,
    /// The health reported to the load balancer; set by the event loop.
    healthy: Arc<AtomicBool>,
    next_request_id: Arc<AtomicU64>,
    /// KiB that are free for large request bodies; see [`Gateway::read_body`].
    body_memory_kib: Arc<Semaphore>,
}

impl Gateway {
    /// Creates a gateway that uses at most `body_memory_kib` KiB at a time for large request bodies.
    pub fn new(
        events: mpsc::Sender<Event>,
        healthy: Arc<AtomicBool>,
        body_memory_kib: usize,
    ) -> Gateway {
        Gateway {
            events,
            healthy,
            next_request_id: Arc::new(AtomicU64::new(1)),
            body_memory_kib: Arc::new(Semaphore::new(body_memory_kib)),
        }
    }

    /// Sends an input to the core and waits for the reply. Returns `None` at once if the event queue is full, or
    /// after [`REPLY_TIMEOUT`] without a reply.
    async fn call_core(&self, input: impl FnOnce(RequestId) -> Input) -> Option<Reply> {
        let id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let (reply_to, reply) = oneshot::channel();
        let event = Event::Request { id, reply_to, input: input(id) };
        self.events.try_send(event).ok()?;
        timeout(REPLY_TIMEOUT, reply).await.ok()?.ok()
    }

    fn is_healthy(&self) -> bool {
        self.healthy.load(Ordering::Relaxed)
    }
}

fn router(gateway: Gateway) -> Router {
    Router::new()
        .route(user::HEALTH_PATH, get(handlers::health))
        .route(user::JOBS_PATH, post(handlers::submit))
        .route(&format!("{}/{{id}}", user::JOBS_PATH), get(handlers::status))
        .route(
            &format!("{}/{{id}}/{}", user::JOBS_PATH, user::CANCEL_SEGMENT),
            post(handlers::cancel),
        )
        .route(worker::HEARTBEAT_PATH, post(handlers::worker_heartbeat))
        .fallback(handlers::unknown_path)
        .method_not_allowed_fallback(handlers::unknown_method)
        .with_state(gateway)
}

/// Accepts connections for as long as the process runs. Answers a connection beyond `max_connections` with 503
/// and closes it.
pub(crate) async fn listen(listener: TcpListener, gateway: Gateway, max_connections: usize) {
    let router = router(gateway);
    let connections = Arc::new(Semaphore::new(max_connections.min(Semaphore::MAX_PERMITS)));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let Ok(permit) = connections.clone().try_acquire_owned() else {
            // Does not wait: the send buffer of a new connection has capacity for this response.
            let _ = stream.try_write(TOO_MANY_CONNECTIONS_RESPONSE);
            continue;
        };
        let router = router.clone();
        tokio::spawn(async move {
            serve_connection(stream, router).await;
            drop(permit);
        });
    }
}

/// Answers the requests of one connection until it is closed or a timeout expires.
async fn serve_connection(stream: TcpStream, router: Router) {
    let _ = stream.set_nodelay(true);
    let stream = WriteTimeout::new(stream, RESPONSE_WRITE_TIMEOUT);
    // Errors are ignored, as the client causes them: it disconnected, was too slow, or does not send HTTP.
    let _ = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router))
        .await;
}
