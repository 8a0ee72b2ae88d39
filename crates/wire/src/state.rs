//! Messages between controllers and the state service.
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Path of the items: one (GET `/KEY`), or those with a prefix (GET `?under=PREFIX&after=KEY&limit=N`).
pub const KV: &str = "/store";
/// Path of transactions (POST a [`Transaction`]).
pub const TXN: &str = "/multi";
/// Path of leases: new (POST a [`LeaseRequest`]), renewed (POST `/LEASE/touch`), ended (DELETE `/LEASE`).
pub const LEASES: &str = "/holds";
/// Path of changes after a revision (GET `?under=PREFIX&after=REVISION&waitMs=MS`), which waits for one.
pub const WATCH: &str = "/changes";

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Its key, a path.
    #[serde(rename = "path")]
    pub key: String,
    /// Its value, any JSON.
    pub value: Value,
    /// The revision that wrote it last.
    #[serde(rename = "entry")]
    pub version: u64,
    /// The item is deleted when this lease expires.
    #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// One page of the items with a prefix, in the order of their keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// The items of this page.
    #[serde(rename = "entries")]
    pub items: Vec<Item>,
    /// There are more, after the last key of this page.
    #[serde(rename = "truncated", default)]
    pub more: bool,
    /// The store's revision when the page was read.
    #[serde(rename = "logbook")]
    pub revision: u64,
}

/// What a transaction expects of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The revision that wrote it last; 0: the key does not exist.
    #[serde(rename = "entry")]
    pub version: u64,
}

/// One change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value.
    Put {
        /// The key, new or not.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        value: Value,
        /// Deletes the item when this lease expires. A lease that has expired makes the transaction invalid
        /// (400).
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

/// Changes that are made together if all conditions hold, and else not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// All must hold.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// Made together, in one revision.
    #[serde(rename = "then")]
    pub changes: Vec<Change>,
}

/// The answer to a transaction: committed (200) or not (409).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TransactionResult {
    /// The revision of the changes.
    #[serde(rename = "logbook", default)]
    pub revision: u64,
    /// Keys of the conditions that do not hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Asks for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Milliseconds from its grant, and from each renewal, to its expiry.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// The answer to a [`LeaseRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The lease's number.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// One change of an item: `put` or `delete` names its key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// The key, if it was written.
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The key, if it was deleted, or its lease expired.
    #[serde(rename = "delete", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The value that was written; null if deleted.
    #[serde(default)]
    pub value: Value,
    /// The revision of the change.
    #[serde(rename = "entry")]
    pub version: u64,
}

/// The changes after the revision that was asked for, in the order they were made.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Events {
    /// The revision up to which these are all changes: the next watch starts after it.
    #[serde(rename = "logbook")]
    pub revision: u64,
    /// The changes; none if none was made within the wait.
    #[serde(default)]
    pub events: Vec<Event>,
}
