use super::*;
use leaddeal_wire::state::Item;

fn pending() -> (PendingWrite, WriteBudget) {
    let changes = vec![Change::Delete { key: "d/0/x".into() }];
    let write = PendingWrite::new(WriteClass::Decision, Shard(0), Epoch(7), changes);
    (write.with_idempotency_key("d/0/7-1".into(), 0), WriteBudget::new(50.0, 3, 0))
}

fn conflict(key: &str) -> StoreResult {
    StoreResult::Conflict(vec![key.into()])
}

#[test]
fn idempotency_key_proves_earlier_commit() {
    let (mut write, mut budget) = pending();
    assert!(write.next_call(5, &mut budget).is_some() && write.next_call(5, &mut budget).is_none());
    assert_eq!(write.on_result(5, &StoreResult::Unknown), WriteOutcome::Pending);
    assert!(write.next_call(5 + NO_ANSWER_RETRY_MS - 1, &mut budget).is_none());
    assert!(write.next_call(5 + NO_ANSWER_RETRY_MS, &mut budget).is_some());
    // This try is refused, but the first one may still be executed.
    assert_eq!(write.on_result(300, &StoreResult::Refused), WriteOutcome::Pending);
    assert_eq!(
        write.on_result(900, &conflict("d/0/7-1")),
        WriteOutcome::Pending,
        "executed, at a revision that is not known yet"
    );
    assert!(
        matches!(write.next_call(900, &mut budget), Some(StoreCall::Get { key }) if key == "d/0/7-1")
    );
    let value = serde_json::Value::Null;
    let item = Item { key: "d/0/7-1".into(), value, version: 12, lease: None };
    assert_eq!(write.on_result(905, &StoreResult::Item(Some(item))), WriteOutcome::Committed(12));
}

#[test]
fn new_owner_fences_and_first_refusal_is_final() {
    let (mut write, mut budget) = pending();
    let fence = Condition { key: "seat/0".into(), version: 7 };
    assert!(
        matches!(write.next_call(0, &mut budget), Some(StoreCall::Transaction(t)) if t.conditions.contains(&fence))
    );
    assert_eq!(write.on_result(0, &StoreResult::Refused), WriteOutcome::NotCommitted);
    let (mut write, _) = pending();
    assert_eq!(
        write.on_result(0, &conflict("d/0/7-1")),
        WriteOutcome::NotCommitted,
        "written by another transaction"
    );
    let (mut write, _) = pending();
    write.on_result(0, &StoreResult::Unknown);
    let both = StoreResult::Conflict(vec!["d/0/7-1".into(), "seat/0".into()]);
    assert_eq!(write.on_result(0, &both), WriteOutcome::Fenced);
}

/// A cancellation deleted the chunk that a compaction had written and whose outcome was unknown.
/// Retrying the compaction forever would block the writes of the shard's terminal states.
#[test]
fn unknowable_outcome_fences() {
    let (mut write, mut budget) = pending();
    write.next_call(5, &mut budget);
    write.on_result(5, &StoreResult::Unknown);
    write.next_call(300, &mut budget);
    assert_eq!(write.on_result(300, &conflict("d/0/7-1")), WriteOutcome::Pending);
    assert!(matches!(write.next_call(300, &mut budget), Some(StoreCall::Get { .. })));
    assert_eq!(write.on_result(305, &StoreResult::Item(None)), WriteOutcome::Fenced);
}

#[cfg(feature = "guards")]
#[test]
fn tests_fail_without_their_guards() {
    use crate::guards::{assert_fails_without, Guard};
    assert_fails_without(Guard::WritesFencedByEpoch, new_owner_fences_and_first_refusal_is_final);
    assert_fails_without(
        Guard::RefusalInconclusiveAfterUnknownTry,
        idempotency_key_proves_earlier_commit,
    );
}
