use std::time::{Duration, Instant};

use super::{Faults, HostFault, PAGE_ITEMS, READS_PER_S, Store, faults::Reaction};

#[test]
fn a_range_is_read_in_pages_until_none_is_left() {
    let store = Store::new(1);
    for number in 0..=PAGE_ITEMS {
        store.put(&format!("servers/{number:04}"), "");
    }
    store.put("op/config", "");
    let state = store.lock();
    let first = state.range("servers/", "");
    assert_eq!(first.entries.len(), PAGE_ITEMS);
    assert!(first.has_more);
    let last = &first.entries[PAGE_ITEMS - 1].0;
    let rest = state.range("servers/", last);
    assert_eq!(rest.entries.len(), 1);
    assert!(!rest.has_more);
}

#[test]
fn changes_are_those_after_a_revision_and_name_what_was_removed() {
    let store = Store::new(1);
    store.put("op/config", "a");
    let seen = store.lock().revision;
    store.put("servers/a", "b");
    store.remove("op/config");
    let state = store.lock();
    let changes = state.changes("op/", seen).expect("a page");
    assert_eq!(changes.entries.len(), 1);
    assert_eq!(changes.entries[0].0, "op/config");
    assert!(changes.entries[0].2.is_none());
    assert_eq!(changes.revision, seen + 2);
}

#[test]
fn history_that_was_dropped_is_gone_and_later_history_is_not() {
    let store = Store::new(1);
    let before = store.lock().revision;
    store.put("op/config", "a");
    store.drop_history();
    let dropped = store.lock().revision;
    store.put("op/config", "b");
    let state = store.lock();
    assert!(state.changes("op/", before).is_none());
    assert_eq!(state.changes("op/", dropped).expect("a page").entries.len(), 1);
}

/// Guards against days `restored` on which nothing is lost, or what was lost stays lost.
#[test]
fn a_restored_store_gives_revisions_out_again_and_gets_back_what_it_lost() {
    let store = Store::new(1);
    store.put("servers/a", "1");
    let copied_at = Instant::now();
    store.put("servers/b", "1");
    store.remove("servers/a");
    store.put("op/config", "2");
    let seen = store.lock().revision;
    let lost = store.restore(copied_at);
    assert_eq!(store.lock().era, 2);
    assert!(store.lock().revision < seen);
    assert!(store.lock().items.contains_key("servers/a"));
    assert!(store.lock().changes("op/", seen).is_none());
    store.put("op/config", "3");
    store.write_again(lost);
    let state = store.lock();
    let items: Vec<_> = state.items.iter().map(|(key, it)| (key.as_str(), &*it.value)).collect();
    assert_eq!(items, [("op/config", "3"), ("servers/b", "1")]);
    assert_eq!(state.revision, seen);
}

#[test]
fn reads_beyond_the_limit_are_refused() {
    let store = Store::new(1);
    let mut state = store.lock();
    state.reads.left = 2.0;
    state.reads.filled += Duration::from_secs(60);
    assert!(state.take_read() && state.take_read());
    state.reads.left = 0.0;
    state.reads.filled += Duration::from_secs(60);
    assert!(!state.take_read());
    assert!(state.reads.left <= READS_PER_S);
}

#[test]
fn faults_that_overlap_last_until_the_last_one_ends() {
    let mut faults = Faults::new(2);
    faults.begin_silence();
    faults.begin_silence();
    faults.end_silence();
    assert_eq!(faults.reaction(0), Reaction::Ignore);
    faults.end_silence();
    faults.begin_host(0, HostFault::Refused);
    assert_eq!(faults.reaction(0), Reaction::Refuse);
    assert_eq!(faults.reaction(1), Reaction::Serve);
    faults.begin_delay(Duration::from_millis(300));
    faults.begin_delay(Duration::from_millis(800));
    faults.end_delay(Duration::from_millis(800));
    assert_eq!(faults.delay(), Duration::from_millis(300));
}

#[test]
fn one_of_so_many_answers_is_lost() {
    let mut faults = Faults::new(1);
    faults.begin_loss(3);
    let lost: Vec<bool> = (0..6).map(|_| faults.loses_answer()).collect();
    assert_eq!(lost, [false, false, true, false, false, true]);
    faults.end_loss(3);
    assert!(!(0..6).any(|_| faults.loses_answer()));
}
