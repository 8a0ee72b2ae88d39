use super::*;

const DUE_MS: u64 = 4600;

#[test]
fn a_worker_that_goes_round_is_deaf_and_one_that_stays_is_not() {
    let mut h = Reachability::default();
    let ways = [None, Some(NodeIdx(1)), Some(NodeIdx(2))];
    for (i, &via) in ways.iter().cycle().take(9).enumerate() {
        let now = 1000 + 5000 * i as u64;
        h.report(via, DUE_MS, now);
        assert_eq!(h.unreachable_since().is_some(), i >= 1, "after {} reports", i + 1);
    }
    assert_eq!(h.unreachable_since(), Some(6000), "since the second sign");
    // Answered, it comes again when its next report is due.
    h.report(None, DUE_MS, 50_000);
    h.report(None, DUE_MS, 52_500);
    assert!(h.unreachable_since().is_none());
    // One report that was lost, or a try of another way, is no verdict.
    h.report(Some(NodeIdx(1)), DUE_MS, 59_000);
    assert!(h.unreachable_since().is_none());
    h.report(Some(NodeIdx(1)), DUE_MS, 61_000);
    h.lease_ended(70_000);
    assert_eq!(h.unreachable_since(), Some(70_000));
    h.proven();
    assert!(h.unreachable_since().is_none());
}
