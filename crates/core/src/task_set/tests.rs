use super::*;

#[test]
fn largest_job_round_trips_in_small_chunks() {
    let mut original = TaskSet::default();
    for task in (0..100_000).filter(|task| task % 3 != 1) {
        assert!(original.insert(task));
        assert!(!original.insert(task));
    }
    let mut decoded = TaskSet::default();
    for chunk in 0..=(99_999 / TASKS_PER_CHUNK) {
        let text = original.encode_chunk(chunk);
        assert!(text.len() < 5000, "a chunk fits the smallest value limit");
        assert!(decoded.insert_chunk(chunk, &text, 100_000));
    }
    assert_eq!(original.len(), decoded.len());
    assert!((0..100_000).all(|task| original.contains(task) == decoded.contains(task)));
}
