use super::*;

#[test]
fn a_claim_is_believed_unless_the_shard_was_given_up_since() {
    let by = |epoch| Owner { node: NodeIdx(1), boot: 0, epoch: Epoch(epoch) };
    let mut v = ShardView::default();
    assert!(v.claimed(by(7), 0) && !v.claimed(by(7), 9) && !v.claimed(by(5), 9));
    v.vacate(6, 100);
    assert!(v.owner.is_some(), "an older deletion says nothing of a newer owner");
    v.vacate(9, 100);
    assert!(v.owner.is_none() && v.vacant_since == 100);
    assert!(!v.claimed(by(7), 200), "it does not know yet that its lease is over");
    assert_eq!(v.last.map(|o| o.epoch), Some(Epoch(7)), "siblings that know less are told");
    v.vacate(9, 300);
    assert_eq!(v.vacant_since, 100, "counted from when it was first seen");
    assert!(v.claimed(by(12), 400) && v.owned_since == 400);
}
