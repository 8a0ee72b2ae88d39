use super::*;

fn heartbeat(known: &[(u8, u8, u64)], ready: bool) -> NodeHeartbeat {
    NodeHeartbeat { known_owners: known.to_vec(), ready, ..NodeHeartbeat::default() }
}

#[test]
fn all_siblings_must_acknowledge_epoch() {
    let mut health = Health::new(NodeIdx(0), 3);
    let (shard, epoch) = (Shard(1), Epoch(7));
    health.record_heartbeat(NodeIdx(1), &heartbeat(&[(1, 0, 7)], true));
    assert!(!health.all_siblings_know_epoch(shard, epoch), "the third node stated nothing");
    health.record_heartbeat(NodeIdx(2), &heartbeat(&[(1, 2, 5), (0, 0, 9)], true));
    assert!(
        !health.all_siblings_know_epoch(shard, epoch),
        "the third node knows only an older owner"
    );
    health.record_heartbeat(NodeIdx(2), &heartbeat(&[(1, 0, 7)], true));
    assert!(health.all_siblings_know_epoch(shard, epoch));
    // A delayed heartbeat arrives out of order: the known epoch is not forgotten.
    health.record_heartbeat(NodeIdx(2), &heartbeat(&[(1, 2, 5)], true));
    assert!(
        health.all_siblings_know_epoch(shard, epoch)
            && !health.all_siblings_know_epoch(shard, Epoch(8))
    );
}

#[test]
fn detects_reachable_and_ready_siblings() {
    let mut health = Health::new(NodeIdx(0), 3);
    health.record_heartbeat(NodeIdx(1), &heartbeat(&[], true));
    assert!(!health.has_ready_sibling(10_000) && !health.reaches_any_sibling(10_000));
    health.record_contact(NodeIdx(2), 8000);
    assert!(!health.has_ready_sibling(10_000) && health.reaches_any_sibling(10_000));
    health.record_contact(NodeIdx(1), 9000);
    assert!(health.has_ready_sibling(10_000));
    assert!(!health.has_ready_sibling(12_100) && !health.reaches_any_sibling(12_100));
}

#[cfg(feature = "guards")]
#[test]
fn tests_fail_without_their_guards() {
    use crate::guards::{assert_fails_without, Guard};
    assert_fails_without(Guard::AllSiblingsKnowEpoch, all_siblings_must_acknowledge_epoch);
}
