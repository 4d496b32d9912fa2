//! Backends whose processes are replaced.

use super::*;
use serde_json::json;
use weirusher::Lifecycle;
use weirusher_platform::list::ListState;

/// A list whose entries are given as name, address, zone and start time in Unix milliseconds.
fn list(complete: bool, entries: &[(&str, &str, &str, u64)]) -> ListUpdate {
    let entry = |(name, address, zone, since_ms): &(&str, &str, &str, u64)| json!({"name": name, "address": address, "zone": zone, "status": "SERVING", "since_ms": since_ms});
    let entries: Vec<_> = entries.iter().map(entry).collect();
    let mut state = ListState::default();
    let base = json!({"index": 1, "snapshot": true, "endpoints": []}).to_string();
    state.apply(base.as_bytes()).unwrap();
    let list = json!({"index": 2, "snapshot": complete, "endpoints": entries}).to_string();
    state.apply(list.as_bytes()).unwrap().unwrap()
}

/// Guards against requests on a connection to the process before: it may be in another zone.
#[test]
fn a_process_that_replaces_another_one_is_another_endpoint() {
    let first = ("s-1", "127.0.0.1:1", "a", 5);
    for second in
        [("s-1", "127.0.0.1:1", "b", 5), ("s-1", "127.0.0.1:1", "a", 6), ("s-1", "127.0.0.1:2", "a", 5)]
    {
        let mut backends = Backends::default();
        backends.apply(&mut list(true, &[first]));
        let endpoint = backends.endpoint(&"s-1".into()).unwrap();
        assert!(backends.accepts(&endpoint));
        backends.apply(&mut list(false, &[second]));
        assert!(!backends.accepts(&endpoint), "{second:?}");
        assert!(backends.endpoint(&"s-1".into()).is_some());
    }
}

/// Guards against requests to a backend that has gone, sent to the process that now has its address.
#[test]
fn an_address_belongs_to_the_backend_that_took_it_over() {
    let address = "127.0.0.1:1";
    for (old_start, new_start, complete) in [(0, 0, false), (3, 8, false), (3, 8, true)] {
        let (old, new) = (("s-old", address, "a", old_start), ("s-new", address, "b", new_start));
        let mut backends = Backends::default();
        backends.apply(&mut list(true, &[old]));
        let entries = if complete { vec![new, old] } else { vec![new] };
        let mut update = list(complete, &entries);
        backends.apply(&mut update);
        assert!(backends.endpoint(&"s-old".into()).is_none(), "{old_start} {new_start}");
        assert!(backends.endpoint(&"s-new".into()).is_some());
        let last = update.endpoints.iter().rfind(|entry| entry.id.as_ref() == "s-old").unwrap();
        assert_eq!(last.lifecycle, Lifecycle::Draining, "the policy is told");
    }
}

/// Two backends that one list names at one address, with no start to tell them apart, are both kept.
#[test]
fn backends_that_share_an_address_from_the_start_stay() {
    let mut backends = Backends::default();
    backends.apply(&mut list(true, &[("s-1", "127.0.0.1:1", "a", 0), ("s-2", "127.0.0.1:1", "a", 0)]));
    assert!(backends.endpoint(&"s-1".into()).is_some() && backends.endpoint(&"s-2".into()).is_some());
}
