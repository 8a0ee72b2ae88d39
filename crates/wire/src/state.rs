//! Messages between controllers and the key-value store.
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Path of the items: a single one (GET `/KEY`), or those under a prefix
/// (GET `?under=PREFIX&after=KEY&limit=N`).
pub const ITEMS_PATH: &str = "/store";
/// Path of transactions (POST a [`Transaction`]).
pub const TRANSACTIONS_PATH: &str = "/multi";
/// Path of leases: grant (POST a [`LeaseRequest`]), renew (POST `/LEASE/touch`) and revoke
/// (DELETE `/LEASE`).
pub const LEASES_PATH: &str = "/holds";
/// Path for watching changes after a revision (GET `?under=PREFIX&after=REVISION&waitMs=MS`). The
/// response is delayed until there is a change or the wait time is over.
pub const WATCH_PATH: &str = "/changes";

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The key, a path.
    #[serde(rename = "path")]
    pub key: String,
    /// The value, any JSON.
    pub value: Value,
    /// The revision that last wrote the item.
    #[serde(rename = "entry")]
    pub version: u64,
    /// The item is deleted when this lease expires.
    #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// One page of the items under a prefix, ordered by key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// The items of this page.
    #[serde(rename = "entries")]
    pub items: Vec<Item>,
    /// More items follow, after the last key of this page.
    #[serde(rename = "truncated", default)]
    pub more: bool,
    /// The store's revision when the page was read.
    #[serde(rename = "logbook")]
    pub revision: u64,
}

/// A condition of a transaction on one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The revision that must have last written the key; 0: the key must not exist.
    #[serde(rename = "entry")]
    pub version: u64,
}

/// One change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value.
    Put {
        /// The key, which may or may not exist.
        #[serde(rename = "write")]
        key: String,
        /// The new value.
        value: Value,
        /// The item is deleted when this lease expires. If the lease has already expired, the
        /// transaction is invalid (400).
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes an item.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
    },
}

/// Changes that are made atomically if all conditions hold, and otherwise not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions, which must all hold.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// The changes, which are made in one revision. Without any, the conditions are only compared.
    #[serde(rename = "then", default)]
    pub changes: Vec<Change>,
}

/// The response to a transaction: committed (200) or not (409).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TransactionResult {
    /// The revision of the changes.
    #[serde(rename = "logbook", default)]
    pub revision: u64,
    /// The keys of the conditions that did not hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A request to grant a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live, in milliseconds. It starts at the grant and anew at each renewal.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// The response to a [`LeaseRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The number of the lease.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// One change of an item. Either `put` or `delete` holds its key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// The key, if the item was written.
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The key, if the item was deleted or its lease expired.
    #[serde(rename = "delete", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The value that was written; null if the item was deleted.
    #[serde(default)]
    pub value: Value,
    /// The revision of the change.
    #[serde(rename = "entry")]
    pub version: u64,
}

/// The changes after the requested revision, in the order in which they were made.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Events {
    /// The revision up to which the changes are complete. The next watch starts after it.
    #[serde(rename = "logbook")]
    pub revision: u64,
    /// The changes; empty if none was made within the wait time.
    #[serde(default)]
    pub events: Vec<Event>,
}
