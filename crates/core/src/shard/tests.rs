use super::*;

#[test]
fn accepts_claim_unless_shard_vacated_since() {
    let by = |epoch| Owner { node: NodeIdx(1), boot: 0, epoch: Epoch(epoch) };
    let mut view = ShardView::default();
    assert!(
        view.accept_claim(by(7), 0) && !view.accept_claim(by(7), 9) && !view.accept_claim(by(5), 9)
    );
    view.vacate(6, 100);
    assert!(view.owner.is_some(), "an older deletion does not remove a newer owner");
    view.vacate(9, 100);
    assert!(view.owner.is_none() && view.vacant_since == 100);
    assert!(!view.accept_claim(by(7), 200), "this owner's lease is over");
    assert_eq!(
        view.newest_owner.map(|o| o.epoch),
        Some(Epoch(7)),
        "kept, so that heartbeats can name it to siblings"
    );
    view.vacate(9, 300);
    assert_eq!(view.vacant_since, 100, "counted from when the vacancy was first known");
    assert!(view.accept_claim(by(12), 400) && view.owned_since == 400);
}

/// Checks the order of lease expiries when one clock is 0.05% slow and the other 0.05% fast: a
/// node's lease ends for the node before it expires at the state service, and a worker's lease
/// expires at the worker before the node counts it as expired.
#[test]
fn lease_expiry_allows_for_clock_drift() {
    for ms in [LEASE_TTL_MS, 8000, 30_000] {
        let (slow, fast) = (ms - ms / 2000, ms + ms / 2000);
        let lease = Lease { id: Some(1), renewed_at: 0, ..Lease::default() };
        assert!(
            ms > LEASE_TTL_MS || !lease.is_valid(slow),
            "valid here after its expiry at the service"
        );
        assert!(minus_clock_drift(ms) < slow && plus_clock_drift(ms) > fast);
    }
}

#[cfg(feature = "guards")]
#[test]
fn tests_fail_without_their_guards() {
    use crate::guards::{assert_fails_without, Guard};
    assert_fails_without(Guard::ClockDriftAllowance, lease_expiry_allows_for_clock_drift);
}
