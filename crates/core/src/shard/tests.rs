use super::*;

#[test]
fn a_claim_is_believed_unless_the_shard_was_given_up_since() {
    let by = |epoch| Owner { node: NodeIdx(1), boot: 0, epoch: Epoch(epoch) };
    let mut view = ShardView::default();
    assert!(
        view.accept_claim(by(7), 0) && !view.accept_claim(by(7), 9) && !view.accept_claim(by(5), 9)
    );
    view.vacate(6, 100);
    assert!(view.owner.is_some(), "an older deletion says nothing of a newer owner");
    view.vacate(9, 100);
    assert!(view.owner.is_none() && view.vacant_since == 100);
    assert!(!view.accept_claim(by(7), 200), "it does not know yet that its lease is over");
    assert_eq!(
        view.newest_owner.map(|o| o.epoch),
        Some(Epoch(7)),
        "siblings that know less are told"
    );
    view.vacate(9, 300);
    assert_eq!(view.vacant_since, 100, "counted from when it was first seen");
    assert!(view.accept_claim(by(12), 400) && view.owned_since == 400);
}

/// A lease is over here before it is at the state service, and a worker's there before it is here, though
/// one clock is slow by 0.05% and the other fast.
#[test]
fn a_lease_is_judged_with_the_drift_of_both_clocks() {
    for ms in [LEASE_MS, 8000, 30_000] {
        let (slow, fast) = (ms - ms / 2000, ms + ms / 2000);
        let lease = Lease { id: Some(1), renewed: 0, ..Lease::default() };
        assert!(ms > LEASE_MS || !lease.valid(slow), "over there, and valid here");
        assert!(at_most(ms) < slow && at_least(ms) > fast);
    }
}

#[cfg(feature = "guards")]
#[test]
fn tests_fail_without_their_guards() {
    use crate::guards::{assert_fails_without, Guard};
    assert_fails_without(
        Guard::ClockDriftAllowance,
        a_lease_is_judged_with_the_drift_of_both_clocks,
    );
}
