use super::*;

const MACHINE: MachineIdx = MachineIdx(3);
/// Interval between two heartbeats of a worker.
const HEARTBEAT_INTERVAL_MS: u64 = 2500;
/// Time after which a worker gives up waiting for an answer.
const ANSWER_TIMEOUT_MS: u64 = 4000;
/// Time that a worker waits after that before it asks the next node.
const NEXT_NODE_DELAY_MS: u64 = 1000;
const WORKER_LEASE_MS: u64 = 12_000;

fn heartbeat(machine: MachineIdx, has_tasks: bool, owner_age_ms: u64) -> MisdirectedHeartbeat {
    MisdirectedHeartbeat { machine, has_tasks, owner_age_ms }
}

/// Simulates a worker that can't reach its owner. Returns the longest time between two answered
/// heartbeats, and the number of redirects that failed.
fn simulate_unreachable_owner(table: &mut RelayTable, minutes: u64) -> (Timestamp, u32) {
    // The owner answered one heartbeat and then no further one.
    let mut answered_at = 100_000;
    let mut now = answered_at + HEARTBEAT_INTERVAL_MS + ANSWER_TIMEOUT_MS + NEXT_NODE_DELAY_MS;
    let (mut longest, mut failed) = (0, 0);
    while now < answered_at + minutes * 60_000 && now < 100_000 + minutes * 60_000 {
        match table.route(heartbeat(MACHINE, true, 60_000), now) {
            Route::Relayed => {
                longest = longest.max(now - answered_at);
                answered_at = now;
                now += HEARTBEAT_INTERVAL_MS;
            }
            Route::Redirected => {
                failed += 1;
                now += ANSWER_TIMEOUT_MS + NEXT_NODE_DELAY_MS;
            }
        }
    }
    (longest, failed)
}

#[test]
fn lease_outlasts_failed_redirects() {
    let mut table = RelayTable::default();
    let (longest, failed) = simulate_unreachable_owner(&mut table, 10);
    assert!(longest < WORKER_LEASE_MS, "no answer for {longest} ms");
    assert!((2..12).contains(&failed), "{failed} redirects in ten minutes");
    assert_eq!(table.relayed_workers(100_000 + 600_000 + FORGET_AFTER_MS), 0);
}

/// A state of the bounded search.
#[derive(Clone)]
struct SearchState {
    relay_table: RelayTable,
    /// Whether the worker sends its next heartbeat to the owner; otherwise to the relaying node.
    to_owner: bool,
    /// When the worker was last answered.
    answered_at: Timestamp,
    now: Timestamp,
}

/// Checks, for every sequence of `depth` heartbeats in which the owner is or is not reachable for the
/// worker, that no lease expires while the relaying node is reachable. Returns the number of
/// sequences.
fn search(state: &SearchState, depth: u32) -> u64 {
    assert!(
        state.now - state.answered_at < WORKER_LEASE_MS,
        "no answer since {} at {}",
        state.answered_at,
        state.now
    );
    if depth == 0 {
        return 1;
    }
    let mut next = state.clone();
    if !state.to_owner {
        match next.relay_table.route(heartbeat(MACHINE, true, 60_000), state.now) {
            Route::Relayed => {
                (next.answered_at, next.now) = (state.now, state.now + HEARTBEAT_INTERVAL_MS);
            }
            // A redirected worker sends its heartbeat to the owner at once or within half a second.
            Route::Redirected => (next.to_owner, next.now) = (true, state.now + 500),
        }
        return search(&next, depth - 1);
    }
    let reachable = SearchState {
        answered_at: state.now,
        now: state.now + HEARTBEAT_INTERVAL_MS,
        ..next.clone()
    };
    let unreachable = SearchState {
        to_owner: false,
        now: state.now + ANSWER_TIMEOUT_MS + NEXT_NODE_DELAY_MS,
        ..next
    };
    search(&reachable, depth - 1) + search(&unreachable, depth - 1)
}

#[test]
fn intermittent_path_to_owner_expires_no_lease() {
    let (to_owner, answered_at) = (true, 100_000);
    let first = SearchState {
        relay_table: RelayTable::default(),
        to_owner,
        answered_at,
        now: answered_at + HEARTBEAT_INTERVAL_MS,
    };
    let sequences = search(&first, 32);
    assert!(sequences > 10_000, "{sequences} sequences");
}

#[test]
fn redirects_worker_without_lease_at_risk() {
    let mut table = RelayTable::default();
    assert_eq!(table.route(heartbeat(MACHINE, false, 60_000), 1000), Route::Redirected, "no tasks");
    assert_eq!(
        table.route(heartbeat(MACHINE, true, 500), 80_000),
        Route::Redirected,
        "its owner is new"
    );
    let n = MachineIdx(4);
    assert_eq!(table.route(heartbeat(n, true, 60_000), 1000), Route::Relayed);
    assert_eq!(
        table.route(heartbeat(n, true, 60_000), 3500),
        Route::Redirected,
        "its lease is fresh"
    );
    assert_eq!(
        table.route(heartbeat(n, true, 60_000), 90_000),
        Route::Relayed,
        "much later its lease is at risk again"
    );
    table.expire(90_000 + FORGET_AFTER_MS);
    assert!(table.workers.is_empty());
}
