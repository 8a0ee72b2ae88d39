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
fn the_idempotency_key_proves_the_outcome_of_an_earlier_try() {
    let (mut write, mut budget) = pending();
    assert!(write.next_call(5, &mut budget).is_some() && write.next_call(5, &mut budget).is_none());
    assert_eq!(write.on_result(5, &StoreResult::Unknown), WriteOutcome::Open);
    assert!(write.next_call(5 + NO_ANSWER_RETRY_MS - 1, &mut budget).is_none());
    assert!(write.next_call(5 + NO_ANSWER_RETRY_MS, &mut budget).is_some());
    // Refused now, but the first try may yet be executed.
    assert_eq!(write.on_result(300, &StoreResult::Refused), WriteOutcome::Open);
    assert_eq!(
        write.on_result(900, &conflict("d/0/7-1")),
        WriteOutcome::Open,
        "executed, but when?"
    );
    assert!(
        matches!(write.next_call(900, &mut budget), Some(StoreCall::Get { key }) if key == "d/0/7-1")
    );
    let value = serde_json::Value::Null;
    let item = Item { key: "d/0/7-1".into(), value, version: 12, lease: None };
    assert_eq!(write.on_result(905, &StoreResult::Item(Some(item))), WriteOutcome::Done(12));
}

#[test]
fn a_new_owner_fences_and_a_first_refusal_is_final() {
    let (mut write, mut budget) = pending();
    let fence = Condition { key: "seat/0".into(), version: 7 };
    assert!(
        matches!(write.next_call(0, &mut budget), Some(StoreCall::Transaction(t)) if t.conditions.contains(&fence))
    );
    assert_eq!(write.on_result(0, &StoreResult::Refused), WriteOutcome::NotDone);
    let (mut write, _) = pending();
    assert_eq!(
        write.on_result(0, &conflict("d/0/7-1")),
        WriteOutcome::NotDone,
        "written by another transaction"
    );
    let (mut write, _) = pending();
    write.on_result(0, &StoreResult::Unknown);
    let both = StoreResult::Conflict(vec!["d/0/7-1".into(), "seat/0".into()]);
    assert_eq!(write.on_result(0, &both), WriteOutcome::Fenced);
}

/// Keeps a compaction, whose chunk a cancellation deleted in the meantime, from blocking the terminal states of a shard.
#[test]
fn an_outcome_that_cannot_be_found_out_fences_instead_of_retrying_forever() {
    let (mut write, mut budget) = pending();
    write.next_call(5, &mut budget);
    write.on_result(5, &StoreResult::Unknown);
    write.next_call(300, &mut budget);
    assert_eq!(write.on_result(300, &conflict("d/0/7-1")), WriteOutcome::Open);
    assert!(matches!(write.next_call(300, &mut budget), Some(StoreCall::Get { .. })));
    assert_eq!(write.on_result(305, &StoreResult::Item(None)), WriteOutcome::Fenced);
}

#[cfg(feature = "guards")]
#[test]
fn tests_fail_without_their_guards() {
    use crate::guards::{assert_fails_without, Guard};
    assert_fails_without(
        Guard::WritesFencedByEpoch,
        a_new_owner_fences_and_a_first_refusal_is_final,
    );
    assert_fails_without(
        Guard::RefusalInconclusiveAfterUnknownTry,
        the_idempotency_key_proves_the_outcome_of_an_earlier_try,
    );
}
