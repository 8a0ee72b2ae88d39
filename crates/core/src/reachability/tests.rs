use super::*;

const DUE_MS: u64 = 4600;

#[test]
fn detects_worker_that_changes_heartbeat_path() {
    let mut reachability = Reachability::default();
    let paths = [None, Some(NodeIdx(1)), Some(NodeIdx(2))];
    for (i, &via) in paths.iter().cycle().take(9).enumerate() {
        let now = 1000 + 5000 * i as u64;
        reachability.record_heartbeat(via, DUE_MS, now);
        assert_eq!(
            reachability.unreachable_since().is_some(),
            i >= 1,
            "after {} heartbeats",
            i + 1
        );
    }
    assert_eq!(
        reachability.unreachable_since(),
        Some(6000),
        "since the second heartbeat without proof"
    );
    // A worker that was answered sends its next heartbeat by the same path when it is due.
    reachability.record_heartbeat(None, DUE_MS, 50_000);
    reachability.record_heartbeat(None, DUE_MS, 52_500);
    assert!(reachability.unreachable_since().is_none());
    // One lost heartbeat, or one try of another path, does not make the worker unreachable.
    reachability.record_heartbeat(Some(NodeIdx(1)), DUE_MS, 59_000);
    assert!(reachability.unreachable_since().is_none());
    reachability.record_heartbeat(Some(NodeIdx(1)), DUE_MS, 61_000);
    reachability.mark_unreachable(70_000);
    assert_eq!(reachability.unreachable_since(), Some(70_000));
    reachability.record_proof();
    assert!(reachability.unreachable_since().is_none());
}
