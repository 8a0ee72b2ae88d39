//! The handlers of the routes.
use super::body::BodyError;
use super::responses::{
    error_response, healthy_response, unavailable_response, user_response, worker_response,
};
use super::Gateway;
use crate::event::Reply;
use axum::extract::{Path, Request, State};
use axum::http::StatusCode;
use axum::response::Response;
use leaddeal_core::ids::JobId;
use leaddeal_core::io::RequestId;
use leaddeal_core::Input;
use leaddeal_wire::user::{self, Job};
use leaddeal_wire::worker::WorkerHeartbeat;

/// Maximum size of a worker's heartbeat in bytes.
const MAX_HEARTBEAT_BYTES: usize = 256 * 1024;

pub(super) async fn submit(
    State(gateway): State<Gateway>,
    request: Request,
) -> Result<Response, BodyError> {
    let body = gateway.read_body(request, user::MAX_BODY_BYTES).await?;
    let job = Job::parse(&body).map(Box::new);
    let id = match &job {
        Ok(job) => user::parse_job_id(&job.id),
        // A retry for a known job is answered with the job's state even if the rest of the body is invalid.
        Err(_) => id_of_invalid_job(&body),
    };
    let id = id.map(JobId);
    Ok(call_core_for_user(&gateway, |req| Input::Submit { req, id, job }).await)
}

/// Returns the job number of an invalid submission, or `None` if its `id` can't be read either.
fn id_of_invalid_job(body: &[u8]) -> Option<u64> {
    let job = serde_json::from_slice::<serde_json::Value>(body).ok()?;
    user::parse_job_id(job.get("id")?.as_str()?)
}

pub(super) async fn status(State(gateway): State<Gateway>, Path(id): Path<String>) -> Response {
    match user::parse_job_id(&id).map(JobId) {
        Some(id) => call_core_for_user(&gateway, |req| Input::Get { req, id }).await,
        None => unknown_job(),
    }
}

pub(super) async fn cancel(State(gateway): State<Gateway>, Path(id): Path<String>) -> Response {
    match user::parse_job_id(&id).map(JobId) {
        Some(id) => call_core_for_user(&gateway, |req| Input::Cancel { req, id }).await,
        None => unknown_job(),
    }
}

pub(super) async fn worker_heartbeat(
    State(gateway): State<Gateway>,
    request: Request,
) -> Result<Response, BodyError> {
    let body = gateway.read_body(request, MAX_HEARTBEAT_BYTES).await?;
    let heartbeat: WorkerHeartbeat = match serde_json::from_slice(&body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return Ok(error_response(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    let input = |req| Input::WorkerHeartbeat { req, heartbeat: Box::new(heartbeat) };
    Ok(match gateway.call_core(input).await {
        Some(Reply::Worker(reply)) => worker_response(reply),
        _ => unavailable_response(),
    })
}

pub(super) async fn health(State(gateway): State<Gateway>) -> Response {
    if gateway.is_healthy() {
        healthy_response()
    } else {
        unavailable_response()
    }
}

pub(super) async fn unknown_path() -> Response {
    error_response(StatusCode::NOT_FOUND, "no such path")
}

pub(super) async fn unknown_method() -> Response {
    error_response(StatusCode::METHOD_NOT_ALLOWED, "method not allowed")
}

fn unknown_job() -> Response {
    error_response(StatusCode::NOT_FOUND, "unknown job")
}

async fn call_core_for_user(gateway: &Gateway, input: impl FnOnce(RequestId) -> Input) -> Response {
    match gateway.call_core(input).await {
        Some(Reply::User(reply)) => user_response(reply),
        _ => unavailable_response(),
    }
}
