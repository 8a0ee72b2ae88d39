//! Calls to the key-value store.
//!
//! A failed call has a result too: [`StoreResult::Refused`] if it certainly was not executed,
//! [`StoreResult::Unknown`] if it may have been.
use super::CONNECT_TIMEOUT;
use crate::http_client::{CallError, HttpClient, HttpResponse};
use hyper::StatusCode;
use leaddeal_core::io::{StoreCall, StoreResult};
use leaddeal_wire::state::{
    Change, LeaseGrant, LeaseRequest, Transaction, TransactionResult, ITEMS_PATH, LEASES_PATH,
    TRANSACTIONS_PATH, WATCH_PATH,
};
use std::time::Duration;

const STORE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Added to the time that the store is asked to wait for changes. Watches stay open during an outage of the
/// store, and continue to wait after it.
const WATCH_EXTRA_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of items on one page of a list.
const MAX_PAGE_ITEMS: usize = 300;

/// Client of the key-value store. Clones share its connections.
#[derive(Clone)]
pub(super) struct StoreClient {
    http: HttpClient,
}

impl StoreClient {
    /// Creates a client for the store at `addr` (`ADDRESS:PORT`).
    pub fn new(addr: &str) -> StoreClient {
        StoreClient { http: HttpClient::new(addr, CONNECT_TIMEOUT) }
    }

    /// Makes one call. Does not retry on failure: the core decides on retries.
    pub async fn execute(&self, call: StoreCall) -> StoreResult {
        let response = match self.send(&call).await {
            Ok(response) => response,
            Err(CallError::NotSent(_)) => return StoreResult::Refused,
            Err(CallError::Unknown(_)) => return StoreResult::Unknown,
        };
        result_of(&call, &response).unwrap_or_else(|| {
            let status = response.status.as_u16();
            tracing::error!(event = "store_unreadable", status, "{call:?}");
            StoreResult::Unknown
        })
    }

    async fn send(&self, call: &StoreCall) -> Result<HttpResponse, CallError> {
        match call {
            StoreCall::NewLease { ttl_ms } => {
                let request = LeaseRequest { ttl_ms: *ttl_ms };
                self.http.post_json(LEASES_PATH, &request, STORE_TIMEOUT).await
            }
            StoreCall::RenewLease { lease } => {
                self.http.post(&format!("{LEASES_PATH}/{lease}/touch"), STORE_TIMEOUT).await
            }
            StoreCall::EndLease { lease } => {
                self.http.delete(&format!("{LEASES_PATH}/{lease}"), STORE_TIMEOUT).await
            }
            StoreCall::Transaction(transaction) => {
                self.http.post_json(TRANSACTIONS_PATH, transaction, STORE_TIMEOUT).await
            }
            StoreCall::Get { key } => {
                self.http.get(&format!("{ITEMS_PATH}/{key}"), STORE_TIMEOUT).await
            }
            StoreCall::List { prefix, after } => {
                self.http.get(&list_path(prefix, after.as_deref()), STORE_TIMEOUT).await
            }
            StoreCall::Watch { prefix, after, wait_ms } => {
                let path = format!("{WATCH_PATH}?under={prefix}&after={after}&waitMs={wait_ms}");
                let timeout = Duration::from_millis(*wait_ms) + WATCH_EXTRA_TIMEOUT;
                self.http.get(&path, timeout).await
            }
        }
    }
}

fn list_path(prefix: &str, after: Option<&str>) -> String {
    let after = after.map(|key| format!("&after={key}")).unwrap_or_default();
    format!("{ITEMS_PATH}?under={prefix}{after}&limit={MAX_PAGE_ITEMS}")
}

/// Converts the response to a call. Returns `None` if its status or body violates the protocol.
fn result_of(call: &StoreCall, response: &HttpResponse) -> Option<StoreResult> {
    match (call, response.status) {
        (_, StatusCode::SERVICE_UNAVAILABLE) => Some(StoreResult::Refused),
        (_, StatusCode::TOO_MANY_REQUESTS) => Some(StoreResult::RateLimited),
        (StoreCall::NewLease { .. }, StatusCode::OK) => {
            response.json::<LeaseGrant>().map(|grant| StoreResult::Lease(grant.lease))
        }
        (StoreCall::RenewLease { .. } | StoreCall::EndLease { .. }, StatusCode::OK) => {
            Some(StoreResult::LeaseRenewed)
        }
        (StoreCall::RenewLease { .. }, StatusCode::NOT_FOUND) => Some(StoreResult::NoLease),
        (StoreCall::Transaction(transaction), _) => transaction_result(transaction, response),
        (StoreCall::Get { .. }, StatusCode::OK) => {
            response.json().map(|item| StoreResult::Item(Some(item)))
        }
        (StoreCall::Get { .. }, StatusCode::NOT_FOUND) => Some(StoreResult::Item(None)),
        (StoreCall::List { .. }, StatusCode::OK) => response.json().map(StoreResult::Page),
        (StoreCall::Watch { .. }, StatusCode::OK) => response.json().map(StoreResult::Events),
        (StoreCall::Watch { .. }, StatusCode::GONE) => Some(StoreResult::Compacted),
        _ => None,
    }
}

fn transaction_result(transaction: &Transaction, response: &HttpResponse) -> Option<StoreResult> {
    match response.status {
        StatusCode::OK => response
            .json::<TransactionResult>()
            .map(|result| StoreResult::Committed(result.revision)),
        StatusCode::CONFLICT => {
            response.json::<TransactionResult>().map(|result| StoreResult::Conflict(result.failed))
        }
        StatusCode::BAD_REQUEST => Some(invalid_transaction(transaction, response)),
        _ => None,
    }
}

/// Converts a 400 to a transaction: the store rejects a transaction as invalid if it names an expired lease.
fn invalid_transaction(transaction: &Transaction, response: &HttpResponse) -> StoreResult {
    tracing::error!(event = "store_refused", "{}", String::from_utf8_lossy(&response.body));
    let has_lease = |change: &Change| matches!(change, Change::Put { lease: Some(_), .. });
    if transaction.changes.iter().any(has_lease) {
        StoreResult::NoLease
    } else {
        StoreResult::Refused
    }
}
