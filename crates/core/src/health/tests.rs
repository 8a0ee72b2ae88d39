use super::*;

fn heartbeat(known: &[(u8, u8, u64)], ready: bool) -> NodeHeartbeat {
    NodeHeartbeat { known: known.to_vec(), ready, ..NodeHeartbeat::default() }
}

#[test]
fn only_the_word_of_every_sibling_proves_that_older_owners_let_go() {
    let mut health = Health::new(NodeIdx(0), 3);
    let (shard, epoch) = (Shard(1), Epoch(7));
    health.record_heartbeat(NodeIdx(1), &heartbeat(&[(1, 0, 7)], true));
    assert!(!health.all_acknowledge(shard, epoch), "the third said nothing");
    health.record_heartbeat(NodeIdx(2), &heartbeat(&[(1, 2, 5), (0, 0, 9)], true));
    assert!(!health.all_acknowledge(shard, epoch), "the third knows an older owner");
    health.record_heartbeat(NodeIdx(2), &heartbeat(&[(1, 0, 7)], true));
    assert!(health.all_acknowledge(shard, epoch));
    // Held back, and out of its order: what was known is not forgotten.
    health.record_heartbeat(NodeIdx(2), &heartbeat(&[(1, 2, 5)], true));
    assert!(health.all_acknowledge(shard, epoch) && !health.all_acknowledge(shard, Epoch(8)));
}

#[test]
fn who_is_heard_and_ready_serves() {
    let mut health = Health::new(NodeIdx(0), 3);
    health.record_heartbeat(NodeIdx(1), &heartbeat(&[], true));
    assert!(!health.another_is_ready(10_000) && !health.hears_any_sibling(10_000));
    health.record_contact(NodeIdx(2), 8000);
    assert!(!health.another_is_ready(10_000) && health.hears_any_sibling(10_000));
    health.record_contact(NodeIdx(1), 9000);
    assert!(health.another_is_ready(10_000));
    assert!(!health.another_is_ready(12_100) && !health.hears_any_sibling(12_100));
}

#[cfg(feature = "guards")]
#[test]
fn tests_fail_without_their_guards() {
    use crate::guards::{assert_fails_without, Guard};
    assert_fails_without(Guard::AllSiblingsKnowEpoch, only_the_word_of_every_sibling_proves_that_older_owners_let_go);
}
