//! Responses of the HTTP gateway.
use super::body::BodyError;
use axum::http::{header, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::Json;
use leaddeal_core::io::{UserReply, WorkerReply};
use leaddeal_wire::worker::Redirect;

/// Seconds after which a client may retry a request that was refused for lack of time or capacity.
const RETRY_AFTER_S: u32 = 1;

/// Returns a response with the JSON body `{"error": message}`.
pub(super) fn error_response(status: StatusCode, message: &str) -> Response {
    let body = serde_json::json!({ "error": message }).to_string();
    (status, [(header::CONTENT_TYPE, "application/json")], body).into_response()
}

/// Returns 200 for the load balancer, which reads only the status: the body is an error with an empty message.
pub(super) fn healthy_response() -> Response {
    error_response(StatusCode::OK, "")
}

/// Returns 503 with `Retry-After`.
pub(super) fn unavailable_response() -> Response {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, "try again later");
    response.headers_mut().insert(header::RETRY_AFTER, RETRY_AFTER_S.into());
    response
}

/// Converts the core's reply to a user's request: the job's state, or an error.
pub(super) fn user_response(reply: UserReply) -> Response {
    let status = StatusCode::from_u16(reply.status);
    let mut response = match reply.state {
        Some(state) => (status.unwrap_or(StatusCode::OK), Json(state)).into_response(),
        None => {
            let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            error_response(status, reply.error.as_deref().unwrap_or("error"))
        }
    };
    if let Some(seconds) = reply.retry_after_s {
        response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    }
    response
}

/// Converts the core's reply to a worker's heartbeat: commands, or the controller to report to instead.
pub(super) fn worker_response(reply: WorkerReply) -> Response {
    match reply {
        WorkerReply::HeartbeatResponse(response) => Json(response).into_response(),
        WorkerReply::Redirect(report_to) => {
            (StatusCode::MISDIRECTED_REQUEST, Json(Redirect { report_to })).into_response()
        }
        WorkerReply::Unavailable => unavailable_response(),
    }
}

/// Only a permanent error may become a 400, because clients do not retry a 400.
impl IntoResponse for BodyError {
    fn into_response(self) -> Response {
        match self {
            BodyError::TooLarge => error_response(StatusCode::BAD_REQUEST, &self.to_string()),
            BodyError::NoMemory { .. } | BodyError::Incomplete => unavailable_response(),
        }
    }
}
