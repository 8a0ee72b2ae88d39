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

/// Random load: which classes write, in which order, how much each takes at once, and when the
/// store refuses. Checks the totals of credited tokens and of written changes.
#[test]
fn guarantees_class_floors_within_total_rate() {
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let limit = [25.0, 50.0, 100.0, 600.0][rng.random_range(0..4)];
        let mut budget = WriteBudget::new(limit, 3, 0);
        let refuses = rng.random_bool(0.5);
        let greedy = PACED[rng.random_range(0..PACED.len())];
        let asks = |class: WriteClass, rng: &mut SmallRng| class == greedy || rng.random_bool(0.7);
        let (mut credited, mut lowest_rate) = (0.0, f64::MAX);
        let (from, to) = (5000, 65_000);
        let mut now = 0;
        let mut before = [0; 7];
        while now < to {
            let step = rng.random_range(20..120);
            now += step;
            budget.refill(now);
            // The sum of all floors; that of terminal states does not shrink with the rate.
            let floor = |class: WriteClass| class.policy().floor;
            let others = floor(WriteClass::Decision)
                + floor(WriteClass::Submission)
                + floor(WriteClass::Completion);
            let floors = floor(WriteClass::TerminalState) * budget.rate().max(budget.fair_rate())
                + others * budget.rate();
            credited += budget.rate().max(floors) * step as f64 / 1000.0;
            lowest_rate = if now < from { f64::MAX } else { budget.rate().min(lowest_rate) };
            assert!(
                budget.rate()
                    >= limit / 3.0 * USABLE_LIMIT_FRACTION * MIN_FAIR_RATE_FRACTION - 1e-9
                    && budget.rate() <= limit * USABLE_LIMIT_FRACTION
            );
            if refuses && rng.random_bool(0.05) {
                budget.on_refusal(now);
            }
            let mut order = PACED;
            for i in (1..order.len()).rev() {
                order.swap(i, rng.random_range(0..=i));
            }
            for class in order {
                if asks(class, &mut rng) {
                    // Submissions are unlimited while the store is not throttling; bound them here.
                    let is_free = class == WriteClass::Submission && !budget.is_throttled();
                    let most = if is_free { 40 } else { budget.available(class) };
                    let changes =
                        if class == greedy { most } else { most.min(rng.random_range(0..20)) };
                    budget.spend(class, changes);
                }
            }
            if now < from {
                before = budget.spent;
            }
        }
        let wrote: u64 = budget.spent.iter().sum();
        let ahead = limit / 3.0 * 5.0 + budget.spent(WriteClass::Submission) as f64;
        assert!(wrote as f64 <= credited + ahead, "seed {seed}: {wrote} of {credited}");
        let got = (budget.spent(greedy) - before[greedy as usize]) as f64;
        let due = greedy.policy().floor * lowest_rate * (to - from) as f64 / 1000.0;
        assert!(got >= 0.8 * due - 3.0, "seed {seed}: {greedy:?} got {got} of {due}");
    }
}

#[test]
fn decision_load_leaves_terminal_states_their_floor() {
    let mut budget = WriteBudget::new(120.0, 3, 0);
    let mut terminal_states = 0;
    for now in (100..20_000).step_by(100) {
        budget.refill(now);
        budget.on_refusal(now);
        budget.spend(
            WriteClass::Decision,
            budget.reserved_tokens[WriteClass::Decision as usize].max(4.0) as usize,
        );
        let available = budget.available(WriteClass::TerminalState);
        budget.spend(WriteClass::TerminalState, available);
        terminal_states += available;
    }
    assert!(
        terminal_states >= 35,
        "{terminal_states} terminal states in 20 s while the store refuses writes"
    );
}

#[test]
fn rate_follows_refusals_and_demand() {
    let mut budget = WriteBudget::new(120.0, 3, 0);
    let fair = budget.rate();
    for now in (0..30_000).step_by(100) {
        budget.refill(now);
        while budget.available(WriteClass::Completion) > 0 {
            budget.spend(WriteClass::Completion, 1);
        }
    }
    assert!(budget.rate() > 2.0 * fair, "nothing was refused: {}", budget.rate());
    budget.on_refusal(30_000);
    budget.on_refusal(30_010);
    assert!(budget.rate() > 1.5 * fair, "more than one cut in a second");
    for now in (31_000..45_000).step_by(1000) {
        budget.on_refusal(now);
    }
    assert!(budget.rate() < 0.4 * fair);
    for now in (50_000..60_000).step_by(100) {
        budget.refill(now);
    }
    assert!(
        (budget.rate() - fair).abs() < 0.01,
        "rate does not return to the fair rate while the budget is not exhausted"
    );
}

#[test]
fn limits_submissions_only_while_throttled() {
    let mut budget = WriteBudget::new(120.0, 3, 0);
    budget.spend(WriteClass::Submission, 500);
    assert_eq!(budget.available(WriteClass::Submission), usize::MAX);
    budget.on_refusal(0);
    assert_eq!(budget.available(WriteClass::Submission), 0);
    assert!(budget.submission_retry_after_s() >= 1);
    budget.refill(1000);
    assert!(budget.available(WriteClass::Submission) >= 6, "throttling stops all submissions");
    budget.refill(INITIAL_THROTTLED_MS);
    assert_eq!(budget.available(WriteClass::Submission), usize::MAX);
}

#[test]
fn limits_submissions_while_terminal_states_delayed() {
    let mut budget = WriteBudget::new(120.0, 3, 0);
    budget.on_terminal_states_delayed(0);
    assert!(budget.available(WriteClass::Submission) < 60);
    budget.refill(TERMINAL_STATES_DELAYED_MS);
    assert_eq!(budget.available(WriteClass::Submission), usize::MAX);
}

#[test]
fn rate_scales_with_owned_shards() {
    let mut budget = WriteBudget::new(120.0, 3, 0);
    let third = budget.rate();
    budget.set_owned_shards(3, 3);
    assert!((budget.rate() - 3.0 * third).abs() < 0.01);
    budget.set_owned_shards(0, 3);
    assert!((budget.rate() - third).abs() < 0.01);
}
