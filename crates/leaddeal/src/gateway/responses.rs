//! Responses of the HTTP front.
use super::body::BodyError;
use axum::http::{header, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::Json;
use leaddeal_core::io::{UserReply, WorkerReply};
use leaddeal_wire::worker::Redirect;

/// Seconds after which a client may try again what was refused for lack of time or room.
const RETRY_AFTER_S: u32 = 1;

/// A status with `{"error": why}`.
pub(super) fn error(status: StatusCode, why: &str) -> Response {
    let body = serde_json::json!({ "error": why }).to_string();
    (status, [(header::CONTENT_TYPE, "application/json")], body).into_response()
}

/// 200 to the load balancer, in the form of an error without a text: what it reads is the status.
pub(super) fn healthy() -> Response {
    error(StatusCode::OK, "")
}

/// 503 with `Retry-After`.
pub(super) fn try_again_later() -> Response {
    let mut response = error(StatusCode::SERVICE_UNAVAILABLE, "try again later");
    response.headers_mut().insert(header::RETRY_AFTER, RETRY_AFTER_S.into());
    response
}

/// The core's reply to a user's request: the job's state, or what is wrong.
pub(super) fn user_response(reply: UserReply) -> Response {
    let status = StatusCode::from_u16(reply.status);
    let mut response = match reply.state {
        Some(state) => (status.unwrap_or(StatusCode::OK), Json(state)).into_response(),
        None => {
            let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            error(status, reply.error.as_deref().unwrap_or("error"))
        }
    };
    if let Some(seconds) = reply.retry_after_s {
        response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    }
    response
}

/// The core's reply to a worker's heartbeat: commands, or which controller to report to.
pub(super) fn worker_response(reply: WorkerReply) -> Response {
    match reply {
        WorkerReply::HeartbeatResponse(response) => Json(response).into_response(),
        WorkerReply::Redirect(report_to) => {
            (StatusCode::MISDIRECTED_REQUEST, Json(Redirect { report_to })).into_response()
        }
        WorkerReply::Unavailable => try_again_later(),
    }
}

/// Only what is wrong for good may be answered with 400: that is not tried again.
impl IntoResponse for BodyError {
    fn into_response(self) -> Response {
        match self {
            BodyError::TooLarge => error(StatusCode::BAD_REQUEST, &self.to_string()),
            BodyError::NoMemory { .. } | BodyError::Incomplete => try_again_later(),
        }
    }
}
