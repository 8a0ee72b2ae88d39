use super::*;

fn location(zone: &str) -> BootLocation {
    BootLocation { type_name: "mule".into(), zone: zone.into() }
}

#[test]
fn slow_boots_extend_limits_of_their_location() {
    let mut boot_times = BootTimes::default();
    let (zone_a, catalog_ms) = (location("a"), 25_000);
    assert_eq!(
        (boot_times.expected_ms(&zone_a, catalog_ms), boot_times.give_up_ms(&zone_a, catalog_ms)),
        (42_000, 85_000)
    );
    for ms in [400, 700, 600] {
        boot_times.on_boot(&zone_a, 1000, ms);
    }
    assert_eq!(boot_times.expected_ms(&zone_a, catalog_ms), 42_000, "fast boots do not shorten it");
    boot_times.on_boot(&zone_a, 2000, 100_000);
    assert_eq!(
        (boot_times.expected_ms(&zone_a, catalog_ms), boot_times.give_up_ms(&zone_a, catalog_ms)),
        (125_000, 200_000)
    );
    assert_eq!(boot_times.expected_ms(&location("b"), catalog_ms), 42_000, "zones are kept apart");
    boot_times.on_boot(&zone_a, 2000 + BOOT_KEEP_MS, 30_000);
    assert_eq!(boot_times.expected_ms(&zone_a, catalog_ms), 42_000, "slow boots are forgotten");
    for _ in 0..100 {
        boot_times.on_boot(&zone_a, 700_000, 30_000);
    }
    assert_eq!(boot_times.recent[&zone_a].len(), MAX_BOOTS_REMEMBERED);
}

#[test]
fn several_overdue_boots_count_as_failing_until_they_end() {
    let mut boot_times = BootTimes::default();
    boot_times.set_overdue([location("a"), location("b"), location("a")].into_iter());
    assert!(boot_times.is_failing(&location("a")) && !boot_times.is_failing(&location("b")));
    boot_times.set_overdue([location("a")].into_iter());
    assert!(!boot_times.is_failing(&location("a")), "one is not several");
}
