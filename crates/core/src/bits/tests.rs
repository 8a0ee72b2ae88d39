use super::*;

#[test]
fn largest_job_round_trips_in_small_chunks() {
    let mut a = Bits::default();
    for t in (0..100_000).filter(|t| t % 3 != 1) {
        assert!(a.set(t));
        assert!(!a.set(t));
    }
    let mut b = Bits::default();
    for c in 0..=(99_999 / CHUNK) {
        let text = a.encode_chunk(c);
        assert!(text.len() < 5000, "a chunk fits the smallest value limit");
        assert!(b.add_chunk(c, &text, 100_000));
    }
    assert_eq!(a.len(), b.len());
    assert!((0..100_000).all(|t| a.get(t) == b.get(t)));
}
