//! The rules of horizons one by one; `search` plays whole histories of faults.
use super::heartbeats::MAX_CANCELLATIONS_NAMED;
use super::*;
use crate::shard::Owner;
use leaddeal_wire::mesh::{NodeHeartbeat, ShardAssertion, Stamp};

mod search;

const NODES: usize = 3;
const CANCEL_MS: u64 = 16_000;
const WORKER_LEASE_MS: u64 = 6000;
const JOB: JobId = JobId(7);
/// The shard of the job, and that of the machine.
const JOBS: Shard = Shard(1);
const MACHINES: Shard = Shard(0);

fn views() -> Vec<ShardView> {
    vec![ShardView::default(); NODES]
}

fn horizons(node: u8) -> Horizons {
    Horizons::new(NodeIdx(node), u64::from(node) + 1, NODES, CANCEL_MS, WORKER_LEASE_MS)
}

fn owned_shards(shard: Shard, epoch: u64, lease_uncertain_ms: u64) -> Vec<Option<OwnedShard>> {
    let mut owned = vec![None; NODES];
    owned[shard.0 as usize] = Some(OwnedShard { epoch: Epoch(epoch), lease_uncertain_ms });
    owned
}

/// `a` sends a heartbeat, and `b` answers with one that echoes it.
fn exchange(
    a: &mut Horizons,
    b: &mut Horizons,
    at: Timestamp,
    owned_by_b: &[Option<OwnedShard>],
    view: &[ShardView],
) {
    let (me, other) = (a.this_node, b.this_node);
    let mut ask = NodeHeartbeat::default();
    a.add_to_heartbeat(other, &[None; NODES], view, at, &mut ask);
    b.on_heartbeat(me, &ask, view, at);
    let mut answer = NodeHeartbeat::default();
    b.add_to_heartbeat(me, owned_by_b, view, at, &mut answer);
    a.on_heartbeat(other, &answer, view, at + 700);
}

#[test]
fn only_an_assertion_that_echoes_this_process_advances_a_horizon() {
    let (mut a, mut b, view) = (horizons(0), horizons(1), views());
    let owned_by_b = owned_shards(JOBS, 5, 0);
    let mut without_echo = NodeHeartbeat::default();
    b.add_to_heartbeat(NodeIdx(0), &owned_by_b, &view, 50_000, &mut without_echo);
    a.on_heartbeat(NodeIdx(1), &without_echo, &view, 90_000);
    assert!(!a.permits_answer(JOBS, 90_000), "made at an unknown time");
    exchange(&mut a, &mut b, 90_000, &owned_by_b, &view);
    assert_eq!(a.age_ms(JOBS, 90_700), Some(700), "counted from what it echoes");
    let grace_ms = a.grace_period_ms();
    assert!(
        a.permits_answer(JOBS, 90_000 + grace_ms - 1) && !a.permits_answer(JOBS, 90_000 + grace_ms)
    );
    // With its lease uncertain for 3 s, its statement counts for the time before.
    exchange(&mut a, &mut b, 95_000, &owned_shards(JOBS, 5, 3000), &view);
    assert!((3900..4500).contains(&a.age_ms(JOBS, 95_700).unwrap_or(0)));
    // A stamp of an earlier process of this node does not count.
    let mut restarted = Horizons { boot: 99, ..horizons(0) };
    let mut late = NodeHeartbeat::default();
    b.add_to_heartbeat(NodeIdx(0), &owned_by_b, &view, 96_000, &mut late);
    restarted.on_heartbeat(NodeIdx(1), &late, &view, 96_000);
    assert!(!restarted.permits_answer(JOBS, 96_000));
}

#[test]
fn an_assertion_with_a_gap_states_only_what_it_names() {
    let (mut a, mut b, view) = (horizons(0), horizons(1), views());
    let owned_by_b = owned_shards(JOBS, 5, 0);
    for n in 0..=(MAX_CANCELLATIONS_NAMED as u64) {
        b.on_cancelled(JOBS, Epoch(5), JobId(n), 1000);
    }
    exchange(&mut a, &mut b, 10_000, &owned_by_b, &view);
    assert!(a.is_terminal(JobId(0)) && !a.permits_answer(JOBS, 10_700), "there are more to name");
    exchange(&mut a, &mut b, 11_000, &owned_by_b, &view);
    assert!(a.is_terminal(JobId(MAX_CANCELLATIONS_NAMED as u64)) && a.permits_answer(JOBS, 11_700));
    // A restarted process has received nothing: all is stated to it restarted.
    let mut restarted = Horizons { boot: 77, ..horizons(0) };
    exchange(&mut restarted, &mut b, 12_000, &owned_by_b, &view);
    exchange(&mut restarted, &mut b, 13_000, &owned_by_b, &view);
    assert!(
        restarted.is_terminal(JobId(0))
            && restarted.is_terminal(JobId(MAX_CANCELLATIONS_NAMED as u64))
    );
    // Assertions of an earlier owner count for nothing.
    let mut newer = views();
    newer[1].set_owner(Owner { node: NodeIdx(2), boot: 1, epoch: Epoch(9) }, 0);
    exchange(&mut a, &mut b, 20_000, &owned_by_b, &newer);
    assert_eq!(a.age_ms(JOBS, 20_700), Some(9700));
}

#[test]
fn a_job_that_a_newer_owner_continues_was_not_cancelled() {
    let mut horizons = horizons(0);
    horizons.on_cancelled(JOBS, Epoch(5), JOB, 0);
    horizons.on_job_continued(JOB, Epoch(5));
    assert!(horizons.is_terminal(JOB), "the same owner's statement, from before");
    horizons.on_job_continued(JOB, Epoch(6));
    assert!(!horizons.is_terminal(JOB));
    horizons.on_stored_terminal([JOB], 0);
    horizons.on_job_continued(JOB, Epoch(9));
    assert!(horizons.is_terminal(JOB), "it is in the store");
    horizons.expire(CANCEL_MS + CANCELLATION_KEEP_MS);
    assert!(!horizons.is_terminal(JOB));
}

/// Bad input: shards, epochs and stamps that never were change nothing and cause no panic.
#[test]
fn impossible_assertions_change_nothing() {
    let (mut a, view) = (horizons(0), views());
    let assertion = ShardAssertion {
        shard: 99,
        epoch: u64::MAX,
        complete: true,
        up_to: u64::MAX,
        ..ShardAssertion::default()
    };
    let echo = Some(Stamp { boot: 1, at: u64::MAX });
    let acknowledged = vec![(200, u64::MAX, u64::MAX)];
    let heartbeat = NodeHeartbeat {
        echo,
        newest: vec![0; 900],
        assertions: vec![assertion.clone()],
        acknowledged,
        ..NodeHeartbeat::default()
    };
    a.on_heartbeat(NodeIdx(1), &heartbeat, &view, 5000);
    a.on_heartbeat(NodeIdx(77), &heartbeat, &view, 5000);
    // Of the future, and with a lease that was uncertain for longer than the clock has run.
    let uncertain = ShardAssertion { shard: 1, doubt_ms: 1 << 60, ..assertion };
    let past = Some(Stamp { boot: 1, at: 4000 });
    a.on_heartbeat(
        NodeIdx(1),
        &NodeHeartbeat { echo: past, assertions: vec![uncertain], ..NodeHeartbeat::default() },
        &view,
        5000,
    );
    a.advance(&[], &view, 5000);
    assert!((0..NODES as u8).all(|s| !a.permits_answer(Shard(s), 5000)));
}

#[cfg(feature = "guards")]
#[test]
fn tests_fail_without_their_guards() {
    use crate::guards::{assert_fails_without, Guard};
    assert_fails_without(Guard::AssertionDatedByEcho, only_an_assertion_that_echoes_this_process_advances_a_horizon);
    assert_fails_without(Guard::HorizonExcludesUncertainLease, only_an_assertion_that_echoes_this_process_advances_a_horizon);
    assert_fails_without(Guard::AnswersStopAfterGracePeriod, only_an_assertion_that_echoes_this_process_advances_a_horizon);
    assert_fails_without(Guard::HeartbeatsNameCancellations, an_assertion_with_a_gap_states_only_what_it_names);
}
