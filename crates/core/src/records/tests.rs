use super::*;
use leaddeal_wire::state::{Events, Page};

fn page(keys: &[&str], more: bool, revision: u64) -> StoreResult {
    let item = |k: &&str| Item { key: (*k).into(), value: Value::Null, version: 1, lease: None };
    StoreResult::Page(Page { items: keys.iter().map(item).collect(), more, revision })
}

fn keys(records: Vec<Record>) -> Vec<String> {
    records.into_iter().map(|record| record.key).collect()
}

#[test]
fn returns_all_records_despite_retries_and_compaction() {
    let mut reader = RecordReader::list_and_watch("j/".into(), 9);
    assert!(matches!(reader.next_call(0), Some(StoreCall::List { after: None, .. })));
    assert!(reader.next_call(0).is_none(), "one call at a time");
    assert_eq!(keys(reader.on_result(0, page(&["j/1", "j/2"], true, 5))), ["j/1", "j/2"]);
    assert!(
        matches!(reader.next_call(0), Some(StoreCall::List { after: Some(a), .. }) if a == "j/2")
    );
    reader.on_result(0, StoreResult::Unknown);
    assert!(reader.next_call(RETRY_INITIAL_MS - 1).is_none() && !reader.is_list_complete());
    assert!(matches!(
        reader.next_call(RETRY_INITIAL_MS),
        Some(StoreCall::List { after: Some(_), .. })
    ));
    reader.on_result(RETRY_INITIAL_MS, page(&["j/3"], false, 8));
    // The watch starts at the first page's revision, so it covers changes made while later pages
    // were read.
    assert!(reader.is_list_complete() && reader.revision() == 5);
    assert!(matches!(reader.next_call(1000), Some(StoreCall::Watch { after: 5, .. })));
    let put = Event { put: Some("j/4".into()), delete: None, value: Value::Null, version: 9 };
    let events = StoreResult::Events(Events { revision: 9, events: vec![put] });
    assert_eq!(keys(reader.on_result(1000, events)), ["j/4"]);
    assert!(matches!(reader.next_call(1000), Some(StoreCall::Watch { after: 9, .. })));
    reader.on_result(1000, StoreResult::Compacted);
    assert!(
        matches!(reader.next_call(1000), Some(StoreCall::List { after: None, .. })),
        "listed again"
    );
}

/// A call that is refused repeatedly is retried with exponential back-off, and the failures are
/// logged.
#[test]
fn backs_off_after_refused_calls() {
    let mut reader = RecordReader::list("d/".into());
    let mut now = 0;
    let mut calls = Vec::new();
    while calls.len() < 8 {
        now += 50;
        if reader.next_call(now).is_some() {
            calls.push(now);
            assert!(reader.failures_to_log().is_none());
            reader.on_result(now, StoreResult::Refused);
        }
    }
    let waits: Vec<u64> = calls.windows(2).map(|w| w[1] - w[0]).collect();
    assert_eq!(waits[..4], [300, 600, 1200, 1200]);
    assert_eq!(reader.failures_to_log().as_deref(), Some("prefix=d/ tries=8"));
    reader.next_call(now + 5000);
    reader.on_result(now + 5000, page(&[], false, 3));
    assert!(reader.is_list_complete() && reader.failures_to_log().is_none());
}

#[test]
fn list_without_watch_finishes() {
    let mut reader = RecordReader::list("d/".into());
    reader.next_call(0);
    reader.on_result(0, page(&[], false, 3));
    assert!(reader.is_list_complete() && reader.next_call(0).is_none());
}
