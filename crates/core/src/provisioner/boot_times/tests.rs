use super::*;

fn at(zone: &str) -> BootLocation {
    ("mule".into(), zone.into())
}

#[test]
fn slow_boots_are_waited_for_where_they_were_seen() {
    let mut b = BootTimes::default();
    let (a, said) = (at("a"), 25_000);
    assert_eq!((b.counts_ms(&a, said), b.given_up_ms(&a, said)), (42_000, 85_000));
    for ms in [400, 700, 600] {
        b.came_up(&a, 1000, ms);
    }
    assert_eq!(b.counts_ms(&a, said), 42_000, "fast ones make nobody impatient");
    b.came_up(&a, 2000, 100_000);
    assert_eq!((b.counts_ms(&a, said), b.given_up_ms(&a, said)), (125_000, 200_000));
    assert_eq!(b.counts_ms(&at("b"), said), 42_000, "another zone's are its own");
    b.came_up(&a, 2000 + LATELY_MS, 30_000);
    assert_eq!(b.counts_ms(&a, said), 42_000, "and the trouble is forgotten");
    for _ in 0..100 {
        b.came_up(&a, 700_000, 30_000);
    }
    assert_eq!(b.seen[&a].len(), REMEMBERED);
}

#[test]
fn several_late_ones_are_trouble_until_they_came_or_went() {
    let mut b = BootTimes::default();
    b.set_late([at("a"), at("b"), at("a")].into_iter());
    assert!(b.in_trouble(&at("a")) && !b.in_trouble(&at("b")));
    b.set_late([at("a")].into_iter());
    assert!(!b.in_trouble(&at("a")), "tried again");
}
