//! Submissions that must be refused: they lack a field, have an invalid value, or can never run.
use leaddeal_wire::user::{Job, JobError};
use serde_json::{json, Value};

/// A submission that a controller must refuse.
#[derive(Clone, Debug)]
pub struct InvalidSubmission {
    /// What is wrong with it.
    pub what: String,
    /// The body as it is sent, in JSON.
    pub body: Vec<u8>,
    /// Expected HTTP status of the answer.
    pub status: u16,
}

impl InvalidSubmission {
    /// Parses the body as the gateway does.
    ///
    /// # Errors
    /// Returns the reason why the body is not a valid job.
    pub fn parse(&self) -> Result<Job, JobError> {
        Job::parse(&self.body)
    }
}

/// Fields that must be present and not null, whatever the kind of the job.
const REQUIRED_FIELDS: [&str; 16] = [
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

/// Returns all invalid variants of a valid job. `team_cpu_quota` is its team's quota of CPUs; 0 means unlimited.
pub fn all(job: &Job, team_cpu_quota: f64) -> Vec<InvalidSubmission> {
    let valid = json!(job);
    let mut invalid = without_fields(&valid);
    invalid.extend(with_invalid_values(&valid));
    invalid.extend(that_can_never_run(&valid));
    if team_cpu_quota > 0.0 {
        let tasks = (team_cpu_quota / job.cpus) as u32 + 1;
        for kind in ["group", "service"] {
            let beyond = with_field(&with_field(&valid, "rig", json!(kind)), "hauls", json!(tasks));
            invalid.push(submission(format!("{kind} beyond its team's limit"), &beyond, 422));
        }
    }
    invalid
}

fn submission(what: String, body: &Value, status: u16) -> InvalidSubmission {
    InvalidSubmission { what, body: body.to_string().into_bytes(), status }
}

/// Returns variants in which one field is absent or null.
fn without_fields(valid: &Value) -> Vec<InvalidSubmission> {
    let mut invalid = Vec::new();
    for field in REQUIRED_FIELDS.into_iter().chain(["stowS"]) {
        let mut absent = valid.clone();
        absent.as_object_mut().map(|fields| fields.remove(field));
        invalid.push(submission(format!("no {field}"), &absent, 400));
        let null = with_field(valid, field, Value::Null);
        invalid.push(submission(format!("{field} null"), &null, 400));
    }
    invalid
}

/// Returns variants in which a field's value is out of range or of the wrong type, and one whose body is not an
/// object.
fn with_invalid_values(valid: &Value) -> Vec<InvalidSubmission> {
    let invalid = [
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
    let an_array = submission("an array".into(), &json!([valid]), 400);
    invalid.map(|value| with_value(valid, value, 400)).into_iter().chain([an_array]).collect()
}

/// Returns well-formed variants that no machine can run or no quota allows.
fn that_can_never_run(valid: &Value) -> Vec<InvalidSubmission> {
    let never = [
        ("crew", json!("nobody")),
        ("cores", json!(500.0)),
        ("memoryGb", json!(1e6)),
        ("gpus", json!(64.0)),
        ("hulls", json!(["none"])),
        ("hulls", json!([])),
        ("harbor", json!("nowhere")),
    ];
    never.map(|value| with_value(valid, value, 422)).into()
}

fn with_value(valid: &Value, (field, value): (&str, Value), status: u16) -> InvalidSubmission {
    let what = format!("{field}: {value}");
    submission(what, &with_field(valid, field, value), status)
}

fn with_field(job: &Value, field: &str, value: Value) -> Value {
    let mut changed = job.clone();
    changed[field] = value;
    changed
}
