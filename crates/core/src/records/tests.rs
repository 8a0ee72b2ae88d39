use super::*;
use leaddeal_wire::state::{Events, Page};

fn page(keys: &[&str], more: bool, revision: u64) -> StoreResult {
    let item = |k: &&str| Item { key: (*k).into(), value: Value::Null, version: 1, lease: None };
    StoreResult::Page(Page { items: keys.iter().map(item).collect(), more, revision })
}

fn keys(r: Vec<Record>) -> Vec<String> {
    r.into_iter().map(|x| x.key).collect()
}

#[test]
fn truncated_pages_lost_answers_and_forgotten_changes_lose_nothing() {
    let mut f = RecordReader::all("j/".into(), 9);
    assert!(matches!(f.call(0), Some(StoreCall::List { after: None, .. })));
    assert!(f.call(0).is_none(), "one call at a time");
    assert_eq!(keys(f.take(0, page(&["j/1", "j/2"], true, 5))), ["j/1", "j/2"]);
    assert!(matches!(f.call(0), Some(StoreCall::List { after: Some(a), .. }) if a == "j/2"));
    f.take(0, StoreResult::Unknown);
    assert!(f.call(AGAIN_MS - 1).is_none() && !f.caught_up());
    assert!(matches!(f.call(AGAIN_MS), Some(StoreCall::List { after: Some(_), .. })));
    f.take(AGAIN_MS, page(&["j/3"], false, 8));
    // What changed while later pages were read is told from the first page's revision on.
    assert!(f.caught_up() && f.revision() == 5);
    assert!(matches!(f.call(1000), Some(StoreCall::Watch { after: 5, .. })));
    let put = Event { put: Some("j/4".into()), delete: None, value: Value::Null, version: 9 };
    let events = StoreResult::Events(Events { revision: 9, events: vec![put] });
    assert_eq!(keys(f.take(1000, events)), ["j/4"]);
    assert!(matches!(f.call(1000), Some(StoreCall::Watch { after: 9, .. })));
    f.take(1000, StoreResult::Compacted);
    assert!(matches!(f.call(1000), Some(StoreCall::List { after: None, .. })), "all anew");
}

/// A page that is refused time and again is asked for ever more rarely, and told of.
#[test]
fn what_is_refused_is_tried_again_with_longer_waits() {
    let mut f = RecordReader::pages("d/".into());
    let mut now = 0;
    let mut calls = Vec::new();
    while calls.len() < 8 {
        now += 50;
        if f.call(now).is_some() {
            calls.push(now);
            assert!(f.in_vain().is_none());
            f.take(now, StoreResult::Refused);
        }
    }
    let waits: Vec<u64> = calls.windows(2).map(|w| w[1] - w[0]).collect();
    assert_eq!(waits[..4], [300, 600, 1200, 1200]);
    assert_eq!(f.in_vain().as_deref(), Some("prefix=d/ tries=8"));
    f.call(now + 5000);
    f.take(now + 5000, page(&[], false, 3));
    assert!(f.caught_up() && f.in_vain().is_none());
}

#[test]
fn a_feed_of_pages_ends() {
    let mut f = RecordReader::pages("d/".into());
    f.call(0);
    f.take(0, page(&[], false, 3));
    assert!(f.caught_up() && f.call(0).is_none());
}
