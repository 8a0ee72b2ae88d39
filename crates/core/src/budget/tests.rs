use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const PACED: [WriteClass; 5] = [
    WriteClass::TerminalState,
    WriteClass::Decision,
    WriteClass::Submission,
    WriteClass::Completion,
    WriteClass::Deferrable,
];

/// Floods drawn at random: which classes ask, in which order, how much each takes at once,
/// when the service refuses. Against the plainest account there is: what came and what went.
#[test]
fn each_class_gets_its_floor_and_all_together_no_more_than_comes() {
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let limit = [25.0, 50.0, 100.0, 600.0][rng.random_range(0..4)];
        let mut b = WriteBudget::new(limit, 3, 0);
        let refuses = rng.random_bool(0.5);
        let greedy = PACED[rng.random_range(0..PACED.len())];
        let asks = |c: WriteClass, rng: &mut SmallRng| c == greedy || rng.random_bool(0.7);
        let (mut came, mut lowest) = (0.0, f64::MAX);
        let (from, to) = (5000, 65_000);
        let mut now = 0;
        let mut before = [0; 7];
        while now < to {
            let step = rng.random_range(20..120);
            now += step;
            b.refill(now);
            // All floors together, where that of finals does not go down with the rate.
            let [_, _, f, d, a, o, _] = FLOOR;
            let floors = f * b.rate().max(b.fair()) + (d + a + o) * b.rate();
            came += b.rate().max(floors) * step as f64 / 1000.0;
            lowest = if now < from { f64::MAX } else { b.rate().min(lowest) };
            assert!(b.rate() >= limit / 3.0 * USED * LEAST - 1e-9 && b.rate() <= limit * USED);
            if refuses && rng.random_bool(0.05) {
                b.refused(now);
            }
            let mut order = PACED;
            for i in (1..order.len()).rev() {
                order.swap(i, rng.random_range(0..=i));
            }
            for c in order {
                if asks(c, &mut rng) {
                    // A flood of acceptances would be written without end while the service
                    // takes them: here it does not.
                    let free = c == WriteClass::Submission && !b.tight();
                    let most = if free { 40 } else { b.room(c) };
                    let n = if c == greedy { most } else { most.min(rng.random_range(0..20)) };
                    b.spend(c, n);
                }
            }
            if now < from {
                before = b.spent;
            }
        }
        let wrote: u64 = b.spent.iter().sum();
        let free = limit / 3.0 * 5.0 + b.spent(WriteClass::Submission) as f64;
        assert!(wrote as f64 <= came + free, "seed {seed}: {wrote} of {came}");
        let got = (b.spent(greedy) - before[greedy as usize]) as f64;
        let due = FLOOR[greedy as usize] * lowest * (to - from) as f64 / 1000.0;
        assert!(got >= 0.8 * due - 3.0, "seed {seed}: {greedy:?} got {got} of {due}");
    }
}

#[test]
fn decisions_without_end_leave_finals_their_floor() {
    let mut b = WriteBudget::new(120.0, 3, 0);
    let mut finals = 0;
    for now in (100..20_000).step_by(100) {
        b.refill(now);
        b.refused(now);
        b.spend(WriteClass::Decision, b.own[WriteClass::Decision as usize].max(4.0) as usize);
        let n = b.room(WriteClass::TerminalState);
        b.spend(WriteClass::TerminalState, n);
        finals += n;
    }
    assert!(finals >= 35, "{finals} finals in 20 s of a service that refuses");
}

#[test]
fn it_follows_what_the_service_allows_and_what_siblings_leave() {
    let mut b = WriteBudget::new(120.0, 3, 0);
    let fair = b.rate();
    for now in (0..30_000).step_by(100) {
        b.refill(now);
        while b.room(WriteClass::Completion) > 0 {
            b.spend(WriteClass::Completion, 1);
        }
    }
    assert!(b.rate() > 2.0 * fair, "nobody refused: {}", b.rate());
    b.refused(30_000);
    b.refused(30_010);
    assert!(b.rate() > 1.5 * fair, "one cut a second");
    for now in (31_000..45_000).step_by(1000) {
        b.refused(now);
    }
    assert!(b.rate() < 0.4 * fair);
    for now in (50_000..60_000).step_by(100) {
        b.refill(now);
    }
    assert!((b.rate() - fair).abs() < 0.01, "back, and not beyond what nobody wants");
}

#[test]
fn acceptances_are_refused_early_only_while_the_service_refuses() {
    let mut b = WriteBudget::new(120.0, 3, 0);
    b.spend(WriteClass::Submission, 500);
    assert_eq!(b.room(WriteClass::Submission), usize::MAX);
    b.refused(0);
    assert_eq!(b.room(WriteClass::Submission), 0);
    assert!(b.acceptance_after_s() >= 1);
    b.refill(1000);
    assert!(b.room(WriteClass::Submission) >= 6, "some come in even so");
    b.refill(TIGHT_MS);
    assert_eq!(b.room(WriteClass::Submission), usize::MAX);
}

#[test]
fn new_jobs_keep_to_their_room_while_what_is_over_waits() {
    let mut b = WriteBudget::new(120.0, 3, 0);
    b.behind(0);
    assert!(b.room(WriteClass::Submission) < 60);
    b.refill(BEHIND_MS);
    assert_eq!(b.room(WriteClass::Submission), usize::MAX);
}

#[test]
fn who_owns_all_shards_has_all_of_the_limit() {
    let mut b = WriteBudget::new(120.0, 3, 0);
    let third = b.rate();
    b.own(3, 3);
    assert!((b.rate() - 3.0 * third).abs() < 0.01);
    b.own(0, 3);
    assert!((b.rate() - third).abs() < 0.01);
}
