//! Messages between controllers and the state service.
use serde::{Deserialize, Serialize};
use serde_json::Value;

pub const KV: &str = "/store";
pub const TXN: &str = "/multi";
pub const LEASES: &str = "/holds";
pub const WATCH: &str = "/changes";

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    #[serde(rename = "path")]
    pub key: String,
    pub value: Value,
    #[serde(rename = "entry")]
    pub version: u64,
    #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    #[serde(rename = "entries")]
    pub items: Vec<Item>,
    #[serde(rename = "truncated", default)]
    pub more: bool,
    #[serde(rename = "logbook")]
    pub revision: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "entry")]
    pub version: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    Put {
        #[serde(rename = "write")]
        key: String,
        value: Value,
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "then")]
    pub changes: Vec<Change>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TransactionResult {
    #[serde(rename = "logbook", default)]
    pub revision: u64,
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseGrant {
    #[serde(rename = "permit")]
    pub lease: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(rename = "delete", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    #[serde(default)]
    pub value: Value,
    #[serde(rename = "entry")]
    pub version: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Events {
    #[serde(rename = "logbook")]
    pub revision: u64,
    #[serde(default)]
    pub events: Vec<Event>,
}
