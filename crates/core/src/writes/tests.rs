use super::*;
use leaddeal_wire::state::Item;

fn write() -> (PendingWrite, WriteBudget) {
    let changes = vec![Change::Delete { key: "d/0/x".into() }];
    let w = PendingWrite::new(WriteClass::Decision, Shard(0), Epoch(7), changes);
    (w.creating("d/0/7-1".into(), 0), WriteBudget::new(50.0, 3, 0))
}

fn conflict(key: &str) -> StoreResult {
    StoreResult::Conflict(vec![key.into()])
}

#[test]
fn what_became_of_an_earlier_try_is_told_by_what_it_creates() {
    let (mut w, mut b) = write();
    assert!(w.call(5, &mut b).is_some() && w.call(5, &mut b).is_none());
    assert_eq!(w.take(5, &StoreResult::Unknown), WriteOutcome::Open);
    assert!(w.call(5 + NO_ANSWER_MS - 1, &mut b).is_none());
    assert!(w.call(5 + NO_ANSWER_MS, &mut b).is_some());
    // Refused now, but the first try may yet be executed.
    assert_eq!(w.take(300, &StoreResult::Refused), WriteOutcome::Open);
    assert_eq!(w.take(900, &conflict("d/0/7-1")), WriteOutcome::Open, "executed, but when?");
    assert!(matches!(w.call(900, &mut b), Some(StoreCall::Get { key }) if key == "d/0/7-1"));
    let value = serde_json::Value::Null;
    let item = Item { key: "d/0/7-1".into(), value, version: 12, lease: None };
    assert_eq!(w.take(905, &StoreResult::Item(Some(item))), WriteOutcome::Done(12));
}

#[test]
fn a_new_owner_fences_and_a_plain_refusal_is_a_no() {
    let (mut w, mut b) = write();
    let fence = Condition { key: "seat/0".into(), version: 7 };
    assert!(
        matches!(w.call(0, &mut b), Some(StoreCall::Transaction(t)) if t.conditions.contains(&fence))
    );
    assert_eq!(w.take(0, &StoreResult::Refused), WriteOutcome::NotDone);
    let (mut w, _) = write();
    assert_eq!(w.take(0, &conflict("d/0/7-1")), WriteOutcome::NotDone, "somebody else's");
    let (mut w, _) = write();
    w.take(0, &StoreResult::Unknown);
    let both = StoreResult::Conflict(vec!["d/0/7-1".into(), "seat/0".into()]);
    assert_eq!(w.take(0, &both), WriteOutcome::Fenced);
}

/// Guards the final states of a shard against a fold whose chunk a cancellation deleted meanwhile.
#[test]
fn what_can_not_be_told_any_more_is_not_asked_for_without_end() {
    let (mut w, mut b) = write();
    w.call(5, &mut b);
    w.take(5, &StoreResult::Unknown);
    w.call(300, &mut b);
    assert_eq!(w.take(300, &conflict("d/0/7-1")), WriteOutcome::Open);
    assert!(matches!(w.call(300, &mut b), Some(StoreCall::Get { .. })));
    assert_eq!(w.take(305, &StoreResult::Item(None)), WriteOutcome::Fenced);
}

#[cfg(feature = "guards")]
#[test]
fn its_guards_are_missed() {
    use crate::guards::{missed_by, Guard};
    missed_by(Guard::Epoch, a_new_owner_fences_and_a_plain_refusal_is_a_no);
    missed_by(Guard::OutcomeKnown, what_became_of_an_earlier_try_is_told_by_what_it_creates);
}
