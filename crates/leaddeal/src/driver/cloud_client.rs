//! Calls to the cloud.
//!
//! A failed call has a result too: [`CloudResult::Refused`] if it certainly was not executed,
//! [`CloudResult::Unknown`] if it may have been.
use super::CONNECT_TIMEOUT;
use crate::http_client::{CallError, HttpClient, HttpResponse};
use hyper::StatusCode;
use leaddeal_core::io::{CloudCall, CloudResult};
use leaddeal_wire::cloud::{InstanceNames, CATALOG_PATH, INSTANCES_PATH, RELEASE_PATH};
use std::time::Duration;

const CLOUD_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum number of instances on one page of a list.
const MAX_PAGE_INSTANCES: usize = 500;
/// Text in the body of a 503 to a launch if no such instances are available now. A 503 without it means an
/// outage.
const NO_CAPACITY_TEXT: &str = "no capacity";

/// Client of the cloud. Clones share its connections.
#[derive(Clone)]
pub(super) struct CloudClient {
    http: HttpClient,
}

impl CloudClient {
    /// Creates a client for the cloud at `addr` (`ADDRESS:PORT`).
    pub fn new(addr: &str) -> CloudClient {
        CloudClient { http: HttpClient::new(addr, CONNECT_TIMEOUT) }
    }

    /// Makes one call. Does not retry on failure: the core decides on retries.
    pub async fn execute(&self, call: CloudCall) -> CloudResult {
        let response = match self.send(&call).await {
            Ok(response) => response,
            Err(CallError::NotSent(_)) => return CloudResult::Refused,
            Err(CallError::Unknown(_)) => return CloudResult::Unknown,
        };
        result_of(&call, &response).unwrap_or_else(|| {
            let status = response.status.as_u16();
            tracing::error!(event = "cloud_unreadable", status, "{call:?}");
            CloudResult::Unknown
        })
    }

    async fn send(&self, call: &CloudCall) -> Result<HttpResponse, CallError> {
        match call {
            CloudCall::Catalog => self.http.get(CATALOG_PATH, CLOUD_TIMEOUT).await,
            CloudCall::Launch(request) => {
                self.http.post_json(INSTANCES_PATH, request, CLOUD_TIMEOUT).await
            }
            CloudCall::Release(names) => {
                let names = InstanceNames { machines: names.clone() };
                self.http.post_json(RELEASE_PATH, &names, CLOUD_TIMEOUT).await
            }
            CloudCall::List { after } => {
                self.http.get(&list_path(after.as_deref()), CLOUD_TIMEOUT).await
            }
        }
    }
}

fn list_path(after: Option<&str>) -> String {
    let after = after.map(|name| format!("after={name}&")).unwrap_or_default();
    format!("{INSTANCES_PATH}?{after}limit={MAX_PAGE_INSTANCES}")
}

/// Converts the response to a call. Returns `None` if its status or body violates the protocol.
fn result_of(call: &CloudCall, response: &HttpResponse) -> Option<CloudResult> {
    match (call, response.status) {
        (CloudCall::Catalog, StatusCode::OK) => response.json().map(CloudResult::Catalog),
        (CloudCall::Launch(_), StatusCode::OK) => {
            response.json::<InstanceNames>().map(|names| CloudResult::Launched(names.machines))
        }
        (CloudCall::Launch(_), StatusCode::SERVICE_UNAVAILABLE) => {
            Some(launch_unavailable(response))
        }
        (CloudCall::Release(_), StatusCode::OK) => Some(CloudResult::Released),
        (CloudCall::List { .. }, StatusCode::OK) => response.json().map(CloudResult::InstanceList),
        (
            _,
            StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::BAD_REQUEST,
        ) => Some(CloudResult::Refused),
        _ => None,
    }
}

/// Distinguishes missing capacity from an outage by the body of a 503 to a launch.
fn launch_unavailable(response: &HttpResponse) -> CloudResult {
    if String::from_utf8_lossy(&response.body).contains(NO_CAPACITY_TEXT) {
        CloudResult::NoCapacity
    } else {
        CloudResult::Refused
    }
}
