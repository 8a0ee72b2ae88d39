//! Tests of the single rules for horizons; `search` runs whole sequences of faults.
use super::heartbeats::MAX_CANCELLATIONS_NAMED;
use super::*;
use crate::shard::Owner;
use leaddeal_wire::mesh::{NodeHeartbeat, ShardAssertion, Stamp};

mod search;

const NODES: usize = 3;
const CANCEL_MS: u64 = 16_000;
const WORKER_LEASE_MS: u64 = 6000;
const JOB: JobId = JobId(7);
/// The shard of the job.
const JOBS: Shard = Shard(1);
/// The shard of the machine.
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

/// Sends a heartbeat from `a` to `b`, and one from `b` to `a` that echoes it and arrives 700 ms
/// later.
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
fn only_echoed_assertions_advance_a_horizon() {
    let (mut a, mut b, view) = (horizons(0), horizons(1), views());
    let owned_by_b = owned_shards(JOBS, 5, 0);
    let mut without_echo = NodeHeartbeat::default();
    b.add_to_heartbeat(NodeIdx(0), &owned_by_b, &view, 50_000, &mut without_echo);
    a.on_heartbeat(NodeIdx(1), &without_echo, &view, 90_000);
    assert!(!a.permits_answer(JOBS, 90_000), "the time of the assertion is unknown");
    exchange(&mut a, &mut b, 90_000, &owned_by_b, &view);
    assert_eq!(a.age_ms(JOBS, 90_700), Some(700), "counted from the echoed stamp");
    let grace_ms = a.grace_period_ms();
    assert!(
        a.permits_answer(JOBS, 90_000 + grace_ms - 1) && !a.permits_answer(JOBS, 90_000 + grace_ms)
    );
    // The owner's lease has been uncertain for 3 s, so its statement counts for the time before
    // that.
    exchange(&mut a, &mut b, 95_000, &owned_shards(JOBS, 5, 3000), &view);
    assert!((3900..4500).contains(&a.age_ms(JOBS, 95_700).unwrap_or(0)));
    // An echo of a stamp of an earlier process of this node does not count.
    let mut restarted = Horizons { boot: 99, ..horizons(0) };
    let mut late = NodeHeartbeat::default();
    b.add_to_heartbeat(NodeIdx(0), &owned_by_b, &view, 96_000, &mut late);
    restarted.on_heartbeat(NodeIdx(1), &late, &view, 96_000);
    assert!(!restarted.permits_answer(JOBS, 96_000));
}

#[test]
fn incomplete_assertion_does_not_advance_horizon() {
    let (mut a, mut b, view) = (horizons(0), horizons(1), views());
    let owned_by_b = owned_shards(JOBS, 5, 0);
    for n in 0..=(MAX_CANCELLATIONS_NAMED as u64) {
        b.on_cancelled(JOBS, Epoch(5), JobId(n), 1000);
    }
    exchange(&mut a, &mut b, 10_000, &owned_by_b, &view);
    assert!(
        a.is_terminal(JobId(0)) && !a.permits_answer(JOBS, 10_700),
        "the log holds more than the assertion names"
    );
    exchange(&mut a, &mut b, 11_000, &owned_by_b, &view);
    assert!(a.is_terminal(JobId(MAX_CANCELLATIONS_NAMED as u64)) && a.permits_answer(JOBS, 11_700));
    // A restarted process has received nothing, so all cancellations are stated to it again.
    let mut restarted = Horizons { boot: 77, ..horizons(0) };
    exchange(&mut restarted, &mut b, 12_000, &owned_by_b, &view);
    exchange(&mut restarted, &mut b, 13_000, &owned_by_b, &view);
    assert!(
        restarted.is_terminal(JobId(0))
            && restarted.is_terminal(JobId(MAX_CANCELLATIONS_NAMED as u64))
    );
    // Assertions of an earlier owner are ignored.
    let mut newer = views();
    newer[1].set_owner(Owner { node: NodeIdx(2), boot: 1, epoch: Epoch(9) }, 0);
    exchange(&mut a, &mut b, 20_000, &owned_by_b, &newer);
    assert_eq!(a.age_ms(JOBS, 20_700), Some(9700));
}

#[test]
fn newer_owner_overrides_unwritten_cancellation() {
    let mut horizons = horizons(0);
    horizons.on_cancelled(JOBS, Epoch(5), JOB, 0);
    horizons.on_job_continued(JOB, Epoch(5));
    assert!(horizons.is_terminal(JOB), "stated earlier by the same owner");
    horizons.on_job_continued(JOB, Epoch(6));
    assert!(!horizons.is_terminal(JOB));
    horizons.on_stored_terminal([JOB], 0);
    horizons.on_job_continued(JOB, Epoch(9));
    assert!(horizons.is_terminal(JOB), "it is in the store");
    horizons.expire(CANCEL_MS + CANCELLATION_KEEP_MS);
    assert!(!horizons.is_terminal(JOB));
}

/// Shards, epochs and stamps that don't exist must change nothing and cause no panic.
#[test]
fn ignores_invalid_assertions() {
    let (mut a, view) = (horizons(0), views());
    let assertion = ShardAssertion {
        shard: 99,
        epoch: u64::MAX,
        is_complete: true,
        up_to: u64::MAX,
        ..ShardAssertion::default()
    };
    let echo = Some(Stamp { boot: 1, at: u64::MAX });
    let acknowledged = vec![(200, u64::MAX, u64::MAX)];
    let heartbeat = NodeHeartbeat {
        echo,
        newest_epochs: vec![0; 900],
        assertions: vec![assertion.clone()],
        acknowledged,
        ..NodeHeartbeat::default()
    };
    a.on_heartbeat(NodeIdx(1), &heartbeat, &view, 5000);
    a.on_heartbeat(NodeIdx(77), &heartbeat, &view, 5000);
    // An epoch of the future, and a lease that was uncertain for longer than the clock has run.
    let uncertain = ShardAssertion { shard: 1, lease_uncertain_ms: 1 << 60, ..assertion };
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
    assert_fails_without(Guard::AssertionDatedByEcho, only_echoed_assertions_advance_a_horizon);
    assert_fails_without(
        Guard::HorizonExcludesUncertainLease,
        only_echoed_assertions_advance_a_horizon,
    );
    assert_fails_without(
        Guard::AnswersStopAfterGracePeriod,
        only_echoed_assertions_advance_a_horizon,
    );
    assert_fails_without(
        Guard::HeartbeatsNameCancellations,
        incomplete_assertion_does_not_advance_horizon,
    );
}
