//! Compatibility of stored records: each record that the version in production writes must be decoded,
//! and encoded again byte for byte.
//!
//! `golden/records.txt` was recorded from simulated runs of that version, with one line for each
//! record: its key and its value. Lines are only ever added.
use leaddeal_core::stored::{
    CompletionRecord, DecisionRecord, JobRecord, OperatorMachinesRecord, OwnerRecord, TerminalState,
};
use serde_json::Value;

const RECORDS: &str = include_str!("golden/records.txt");

/// Decodes a record of the kind that its key tells, and encodes it again.
fn rewritten(key: &str, value: &Value) -> Value {
    let kind = key.split('/').next().expect("a prefix");
    match kind {
        "seat" => OwnerRecord::decode(value).expect("an owner").encode(),
        "j" => JobRecord::decode(value).expect("a job").encode(),
        "d" => {
            let (attempt, placements) = DecisionRecord::decode(value).expect("a decision");
            let placements = placements.into_iter().map(|p| p.expect("a placement")).collect();
            DecisionRecord { attempt: attempt.0, placements }.encode()
        }
        "f" => TerminalState::decode(value).expect("a terminal state").encode(),
        "r" => CompletionRecord::decode(value).expect("a chunk").encode(),
        "base" => OperatorMachinesRecord::decode(value).expect("a machine's name").encode(),
        _ => panic!("a record of an unknown kind: {key}"),
    }
}

#[test]
fn recorded_values_round_trip_unchanged() {
    let mut kinds = std::collections::BTreeSet::new();
    for line in RECORDS.lines() {
        let (key, recorded) = line.split_once('\t').expect("a key and its value");
        let value: Value = serde_json::from_str(recorded).expect("JSON");
        assert_eq!(rewritten(key, &value).to_string(), recorded, "{key}");
        kinds.insert(key.split('/').next());
    }
    assert_eq!(kinds.len(), 6, "every kind of record is there: {kinds:?}");
}

#[test]
fn invalid_placement_does_not_hide_others() {
    let value =
        serde_json::json!({"a": 7, "p": [[1, 0, "n-1", 1, 0], "garbled", [2, 0, "n-2", 1, 0]]});
    let (attempt, placements) = DecisionRecord::decode(&value).expect("a decision");
    assert_eq!(attempt.0, 7);
    let jobs: Vec<_> = placements.iter().map(|p| p.as_ref().ok().map(|p| p.job.0)).collect();
    assert_eq!(jobs, [Some(1), None, Some(2)]);
}

#[test]
fn decodes_job_without_a_valid_time() {
    let line = RECORDS.lines().find(|l| l.starts_with("j/")).expect("a job");
    let (_, recorded) = line.split_once('\t').expect("a key and its value");
    let mut value: Value = serde_json::from_str(recorded).expect("JSON");
    value["at"] = "yesterday".into();
    assert_eq!(JobRecord::decode(&value).expect("a job").accepted_at_ms, None);
}

#[test]
fn errors_name_the_record_and_the_part() {
    let error = TerminalState::decode(&serde_json::json!(["lost", 3])).expect_err("no status");
    assert_eq!(error.to_string(), "terminal state record has no valid status");
    let error = OwnerRecord::decode(&serde_json::json!({"node": 3})).expect_err("no owner");
    assert_eq!(error.to_string(), "failed to decode owner record");
}
