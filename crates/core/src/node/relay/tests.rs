use super::*;

const MACHINE: MachineIdx = MachineIdx(3);
/// Of a worker: between two reports, until a report counts as lost, until it asks the next node,
/// and its lease.
const REPORT_MS: u64 = 2500;
const TIMEOUT_MS: u64 = 4000;
const NEXT_MS: u64 = 1000;
const LEASE_MS: u64 = 12_000;

fn visit(machine: MachineIdx, busy: bool, owner_for_ms: u64) -> WorkerVisit {
    WorkerVisit { machine, busy, owner_for_ms }
}

/// Plays a worker that can't reach its owner; returns the longest time between two reports that
/// were answered, and how many were sent on in vain.
fn cut_off(table: &mut RelayTable, minutes: u64) -> (Timestamp, u32) {
    // Its last report to the owner that was answered, then one that was not.
    let mut granted = 100_000;
    let mut now = granted + REPORT_MS + TIMEOUT_MS + NEXT_MS;
    let (mut longest, mut vain) = (0, 0);
    while now < granted + minutes * 60_000 && now < 100_000 + minutes * 60_000 {
        match table.route(visit(MACHINE, true, 60_000), now) {
            Route::Relayed => {
                longest = longest.max(now - granted);
                granted = now;
                now += REPORT_MS;
            }
            Route::Direct => {
                vain += 1;
                now += TIMEOUT_MS + NEXT_MS;
            }
        }
    }
    (longest, vain)
}

#[test]
fn a_lease_outlasts_every_try_of_the_direct_way() {
    let mut table = RelayTable::default();
    let (longest, vain) = cut_off(&mut table, 10);
    assert!(longest < LEASE_MS, "no answer for {longest} ms");
    assert!((2..12).contains(&vain), "{vain} tries in ten minutes");
    assert_eq!(table.relayed_workers(100_000 + 600_000 + FORGET_AFTER_MS), 0);
}

/// A worker somewhere in a bounded search: where its next report goes, and when it was answered.
#[derive(Clone)]
struct Step {
    relay_table: RelayTable,
    at_owner: bool,
    granted: Timestamp,
    now: Timestamp,
}

/// Every way in which the direct way can come and go over `depth` heartbeats: as long as the sibling
/// can be reached, no lease runs out. Returns how many histories there were.
fn search(step: &Step, depth: u32) -> u64 {
    assert!(step.now - step.granted < LEASE_MS, "no answer since {} at {}", step.granted, step.now);
    if depth == 0 {
        return 1;
    }
    let mut next = step.clone();
    if !step.at_owner {
        match next.relay_table.route(visit(MACHINE, true, 60_000), step.now) {
            Route::Relayed => {
                (next.granted, next.now) = (step.now, step.now + REPORT_MS);
            }
            // At once or after up to half a second.
            Route::Direct => (next.at_owner, next.now) = (true, step.now + 500),
        }
        return search(&next, depth - 1);
    }
    let up = Step { granted: step.now, now: step.now + REPORT_MS, ..next.clone() };
    let down = Step { at_owner: false, now: step.now + TIMEOUT_MS + NEXT_MS, ..next };
    search(&up, depth - 1) + search(&down, depth - 1)
}

#[test]
fn no_history_of_a_direct_way_that_comes_and_goes_ends_a_lease() {
    let (at_owner, granted) = (true, 100_000);
    let first =
        Step { relay_table: RelayTable::default(), at_owner, granted, now: granted + REPORT_MS };
    let histories = search(&first, 32);
    assert!(histories > 10_000, "{histories} histories");
}

#[test]
fn who_can_reach_its_owner_is_sent_there() {
    let mut table = RelayTable::default();
    assert_eq!(table.route(visit(MACHINE, false, 60_000), 1000), Route::Direct, "nothing to lose");
    assert_eq!(table.route(visit(MACHINE, true, 500), 80_000), Route::Direct, "its owner is new");
    let n = MachineIdx(4);
    assert_eq!(table.route(visit(n, true, 60_000), 1000), Route::Relayed);
    assert_eq!(
        table.route(visit(n, true, 60_000), 3500),
        Route::Direct,
        "with a fresh lease it is tried"
    );
    assert_eq!(
        table.route(visit(n, true, 60_000), 90_000),
        Route::Relayed,
        "much later it is in need again"
    );
    table.expire(90_000 + FORGET_AFTER_MS);
    assert!(table.visits.is_empty());
}
