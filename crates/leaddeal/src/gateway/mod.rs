//! The HTTP front: what users, workers and the load balancer reach.
//!
//! Every wait has a bound, so that no client can hold what others need: connections, memory for request
//! bodies and the event queue are limited, and what is beyond a limit is refused with 503 and `Retry-After`.
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

/// For the core's reply to a request.
const REPLY_TIMEOUT: Duration = Duration::from_millis(4200);
/// From a connection's opening, or the end of its last request, to the end of the next request's head.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(25);
/// An answer that is not read for this long is given up, and the connection closed.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of the head of a request, and of what is read of its body at a time.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// After a connection could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Sent to a connection beyond those allowed, which is then closed.
const CONNECTION_REFUSED: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nContent-Length: 0\r\n\
Connection: close\r\n\r\n";

/// What the handlers of requests share. Clones are the same gateway.
#[derive(Clone)]
pub(crate) struct Gateway {
    /// To the event loop.
    events: mpsc::Sender<Event>,
    /// What the load balancer is told; set by the event loop.
    healthy: Arc<AtomicBool>,
    next_request_id: Arc<AtomicU64>,
    /// KiB for larger bodies that are coming in.
    body_memory_kib: Arc<Semaphore>,
}

impl Gateway {
    /// A gateway that takes at most `body_memory_kib` KiB at a time for the bodies of requests.
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

    /// Gives the core an input and waits for its reply. None if the event queue is full, which refuses at
    /// once, or the reply does not come in time.
    async fn ask(&self, input: impl FnOnce(RequestId) -> Input) -> Option<Reply> {
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

/// Serves for as long as the process runs. Connections beyond `max_connections` are told so and closed.
pub(crate) async fn listen(listener: TcpListener, gateway: Gateway, max_connections: usize) {
    let router = router(gateway);
    let connections = Arc::new(Semaphore::new(max_connections.min(Semaphore::MAX_PERMITS)));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let Ok(permit) = connections.clone().try_acquire_owned() else {
            // Without a wait: a new connection takes this much at once.
            let _ = stream.try_write(CONNECTION_REFUSED);
            continue;
        };
        let router = router.clone();
        tokio::spawn(async move {
            serve_connection(stream, router).await;
            drop(permit);
        });
    }
}

/// Answers the requests of one connection until it is closed, or one of the timeouts is over.
async fn serve_connection(stream: TcpStream, router: Router) {
    let _ = stream.set_nodelay(true);
    let stream = WriteTimeout::new(stream, RESPONSE_WRITE_TIMEOUT);
    // An error is the client's: it went away, was too slow, or does not speak HTTP.
    let _ = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router))
        .await;
}
