//! Submissions that must never be accepted: they lack a field, have an impossible value, or can never run.
use leaddeal_wire::user::{BadJob, Job};
use serde_json::{json, Value};

/// A submission as it is sent, what is wrong with it, and the status that it must get.
#[derive(Clone, Debug)]
pub struct Odd {
    pub what: String,
    pub body: Vec<u8>,
    pub status: u16,
}

impl Odd {
    /// Read as the gateway does.
    pub fn parse(&self) -> Result<Job, BadJob> {
        Job::parse(&self.body)
    }
}

/// Fields that may not be null; the others may also be absent.
const FIELDS: [&str; 16] = [
    "id",
    "cargo",
    "crew",
    "rig",
    "precedence",
    "hauls",
    "cores",
    "gpus",
    "memoryGb",
    "manifest",
    "imageGb",
    "together",
    "scatter",
    "charter",
    "passageS",
    "fixS",
];

/// All that can be wrong with this job, which is good; `limit`: what its team may use at the most, if
/// there is a limit.
pub fn all(job: &Job, limit: f64) -> Vec<Odd> {
    let good = json!(job);
    let mut odd = Vec::new();
    let mut add = |what: String, v: Value, status| {
        odd.push(Odd { what, body: v.to_string().into_bytes(), status });
    };
    for field in FIELDS.into_iter().chain(["stowS"]) {
        let mut v = good.clone();
        v.as_object_mut().map(|o| o.remove(field));
        add(format!("no {field}"), v, 400);
        add(format!("{field} null"), with(&good, field, Value::Null), 400);
    }
    let impossible = [
        ("id", json!("wk-1")),
        ("id", json!(412)),
        ("rig", json!("herd")),
        ("precedence", json!("utmost")),
        ("hauls", json!(0)),
        ("hauls", json!(-1)),
        ("hauls", json!(1.5)),
        ("hauls", json!(100_001)),
        ("cores", json!(0.0)),
        ("cores", json!(-1.0)),
        ("cores", json!("2")),
        ("gpus", json!(-1.0)),
        ("memoryGb", json!(-0.5)),
        ("imageGb", json!(-3.0)),
        ("passageS", json!(-1.0)),
        ("fixS", json!(-1.0)),
        ("stowS", json!(-1.0)),
        ("tideS", json!(-1.0)),
        ("together", json!("no")),
        ("hulls", json!("small")),
        ("harbor", json!(7)),
    ];
    for (field, value) in impossible {
        add(format!("{field}: {value}"), with(&good, field, value), 400);
    }
    add("an array".into(), json!([good]), 400);
    let never = [
        ("crew", json!("nobody")),
        ("cores", json!(500.0)),
        ("memoryGb", json!(1e6)),
        ("gpus", json!(64.0)),
        ("hulls", json!(["none"])),
        ("hulls", json!([])),
        ("harbor", json!("nowhere")),
    ];
    for (field, value) in never {
        add(format!("{field}: {value}"), with(&good, field, value), 422);
    }
    if limit > 0.0 {
        let tasks = (limit / job.cpus) as u32 + 1;
        for kind in ["group", "service"] {
            let beyond = with(&with(&good, "rig", json!(kind)), "hauls", json!(tasks));
            add(format!("{kind} beyond its team's limit"), beyond, 422);
        }
    }
    odd
}

fn with(v: &Value, field: &str, value: Value) -> Value {
    let mut v = v.clone();
    v[field] = value;
    v
}
