//! What users, workers and the load balancer reach.
use crate::event::{Event, Reply};
use crate::slow::Patient;
use axum::extract::{Path, Request, State};
use axum::http::{header, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::Router;
use bytes::Bytes;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use leaddeal_core::io::{UserReply, WorkerReply};
use leaddeal_core::Input;
use leaddeal_wire::user::{self, Job};
use leaddeal_wire::worker::{self, Redirect, WorkerHeartbeat};
use std::error::Error;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, Semaphore};
use tokio::time::timeout;

const REPORT_BODY: usize = 256 * 1024;
const BODY_LIMIT: Duration = Duration::from_secs(4);
const ANSWER_LIMIT: Duration = Duration::from_millis(4200);
const IDLE: Duration = Duration::from_secs(25);
/// An answer that is not read for so long is given up.
const UNREAD: Duration = Duration::from_secs(10);
/// The head of a request, and what is read of its body at a time.
const HEAD: usize = 16 * 1024;
/// Bodies up to this size come in at any time; larger ones only while there is memory for them.
const SMALL_BODY: usize = 4 * 1024;
/// What is said to a connection beyond those allowed, which is then closed.
const FULL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nContent-Length: 0\r\n\
Connection: close\r\n\r\n";

#[derive(Clone)]
pub struct Gateway {
    pub events: mpsc::Sender<Event>,
    pub healthy: Arc<AtomicBool>,
    pub next_req: Arc<AtomicU64>,
    /// KiB for larger bodies that are coming in.
    pub room: Arc<Semaphore>,
}

fn text(status: u16, why: &str) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = serde_json::json!({ "error": why }).to_string();
    (status, [(header::CONTENT_TYPE, "application/json")], body).into_response()
}

fn later(after_s: u32) -> Response {
    let mut r = text(503, "try again later");
    r.headers_mut().insert(header::RETRY_AFTER, after_s.into());
    r
}

fn user_response(r: UserReply) -> Response {
    let mut out = match r.state {
        Some(s) => {
            let status = StatusCode::from_u16(r.status).unwrap_or(StatusCode::OK);
            (status, axum::Json(s)).into_response()
        }
        None => text(r.status, r.error.as_deref().unwrap_or("error")),
    };
    if let Some(s) = r.retry_after_s {
        out.headers_mut().insert(header::RETRY_AFTER, s.into());
    }
    out
}

impl Gateway {
    async fn ask(&self, make: impl FnOnce(u64) -> Input) -> Option<Reply> {
        let req = self.next_req.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        // A full queue refuses at once.
        self.events.try_send(Event::Request(req, tx, make(req))).ok()?;
        timeout(ANSWER_LIMIT, rx).await.ok()?.ok()
    }

    async fn user(&self, make: impl FnOnce(u64) -> Input) -> Response {
        match self.ask(make).await {
            Some(Reply::User(r)) => user_response(r),
            _ => later(1),
        }
    }
}

/// Why there is no body.
enum NoBody {
    TooLarge,
    /// It did not come in time, or there is no memory for it now.
    NotNow,
}

impl NoBody {
    /// Only what is wrong for good may be told 400: that is not tried again.
    fn response(&self) -> Response {
        match self {
            NoBody::TooLarge => text(400, "the body is too large"),
            NoBody::NotNow => later(1),
        }
    }
}

impl Gateway {
    /// Reads a body of at most so many bytes. (Every connection could bring one of the largest at
    /// the same time, which is more than a controller has.)
    async fn body(&self, req: Request, most: usize) -> Result<Bytes, NoBody> {
        let said = req.headers().get(header::CONTENT_LENGTH);
        let said = said.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
        let bytes = said.unwrap_or(most);
        if bytes > most {
            return Err(NoBody::TooLarge);
        }
        let _held = if bytes > SMALL_BODY {
            let kib = bytes.div_ceil(1024) as u32;
            Some(self.room.try_acquire_many(kib).map_err(|_| NoBody::NotNow)?)
        } else {
            None
        };
        match timeout(BODY_LIMIT, axum::body::to_bytes(req.into_body(), most)).await {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(e)) if too_large(&e) => Err(NoBody::TooLarge),
            Ok(Err(_)) | Err(_) => Err(NoBody::NotNow),
        }
    }
}

fn too_large(e: &axum::Error) -> bool {
    e.source().is_some_and(|s| s.is::<http_body_util::LengthLimitError>())
}

async fn submit(State(d): State<Gateway>, req: Request) -> Response {
    let bytes = match d.body(req, user::MAX_BODY).await {
        Ok(b) => b,
        Err(e) => return e.response(),
    };
    let job = Job::parse(&bytes).map(Box::new);
    let id = match &job {
        Ok(j) => user::parse_job_id(&j.id),
        // A known job's retry is answered with its state, whatever else is wrong with it.
        Err(_) => serde_json::from_slice::<serde_json::Value>(&bytes)
            .ok()
            .and_then(|v| user::parse_job_id(v.get("id")?.as_str()?)),
    };
    let id = id.map(leaddeal_core::ids::JobId);
    d.user(|req| Input::Submit { req, id, job }).await
}

async fn status(State(d): State<Gateway>, Path(id): Path<String>) -> Response {
    match user::parse_job_id(&id) {
        Some(n) => d.user(|req| Input::Get { req, id: leaddeal_core::ids::JobId(n) }).await,
        None => text(404, "unknown job"),
    }
}

async fn cancel(State(d): State<Gateway>, Path(id): Path<String>) -> Response {
    match user::parse_job_id(&id) {
        Some(n) => d.user(|req| Input::Cancel { req, id: leaddeal_core::ids::JobId(n) }).await,
        None => text(404, "unknown job"),
    }
}

async fn report(State(d): State<Gateway>, req: Request) -> Response {
    let bytes = match d.body(req, REPORT_BODY).await {
        Ok(b) => b,
        Err(e) => return e.response(),
    };
    let report: WorkerHeartbeat = match serde_json::from_slice(&bytes) {
        Ok(r) => r,
        Err(e) => return text(400, &e.to_string()),
    };
    match d.ask(|req| Input::WorkerHeartbeat { req, report: Box::new(report) }).await {
        Some(Reply::Worker(WorkerReply::HeartbeatResponse(a))) => axum::Json(a).into_response(),
        Some(Reply::Worker(WorkerReply::Redirect(report_to))) => {
            let status = StatusCode::MISDIRECTED_REQUEST;
            (status, axum::Json(Redirect { report_to })).into_response()
        }
        _ => later(1),
    }
}

async fn health(State(d): State<Gateway>) -> Response {
    if d.healthy.load(Ordering::Relaxed) {
        text(200, "")
    } else {
        later(1)
    }
}

pub fn router(d: Gateway) -> Router {
    Router::new()
        .route(user::HEALTH, get(health))
        .route(user::JOBS, post(submit))
        .route(&format!("{}/{{id}}", user::JOBS), get(status))
        .route(&format!("{}/{{id}}/{}", user::JOBS, user::CANCEL), post(cancel))
        .route(worker::REPORT, post(report))
        .fallback(|| async { text(404, "no such path") })
        .method_not_allowed_fallback(|| async { text(405, "method not allowed") })
        .with_state(d)
}

/// Serves until the process ends. Connections beyond `most` are closed at once.
pub async fn listen(l: TcpListener, d: Gateway, most: usize) {
    let app = router(d);
    let open = Arc::new(());
    loop {
        let Ok((s, _)) = l.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if Arc::strong_count(&open) > most {
            // What it can take at once; a new connection takes this much.
            let _ = s.try_write(FULL);
            continue;
        }
        let _ = s.set_nodelay(true);
        let held = open.clone();
        let service = TowerToHyperService::new(app.clone());
        tokio::spawn(async move {
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE)
                .max_buf_size(HEAD)
                .serve_connection(TokioIo::new(Patient::new(s, UNREAD)), service)
                .await;
            drop(held);
        });
    }
}
