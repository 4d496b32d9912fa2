//! Starts as they are told from clocks that do not agree.

use super::*;

fn server(name: &str, started: f64) -> Endpoint {
    Endpoint { started, ..Endpoint::warm(name) }
}

/// The local start of one server in a list that names it alone.
fn told(starts: &mut ServerStarts, now: f64, kind: EndpointListKind, name: &str, started: f64) -> f64 {
    let mut servers = [server(name, started)];
    starts.localize(now, kind, &mut servers);
    servers[0].started
}

#[test]
fn a_start_that_comes_as_news_is_no_older_than_the_last_list_without_it() {
    let mut starts = ServerStarts::default();
    assert_eq!(
        told(&mut starts, 5000.0, EndpointListKind::Snapshot, "a", 4900.0),
        4900.0,
        "the first list says what it says"
    );
    starts.confirm(5005.0);
    assert_eq!(told(&mut starts, 5006.0, EndpointListKind::Delta, "b", 5005.5), 5005.5, "clocks that agree");
    starts.confirm(5010.0);
    assert_eq!(told(&mut starts, 5011.0, EndpointListKind::Delta, "c", 5010.0 - 3600.0), 5010.0);
    // The same again is no news, whenever it comes.
    starts.confirm(5050.0);
    assert_eq!(told(&mut starts, 5051.0, EndpointListKind::Snapshot, "c", 5010.0 - 3600.0), 5010.0);
    assert_eq!(told(&mut starts, 5051.0, EndpointListKind::Snapshot, "a", 4900.0), 4900.0);
    assert_eq!(told(&mut starts, 5052.0, EndpointListKind::Snapshot, "d", 0.0), 0.0, "long ago");
}

#[test]
fn a_start_that_differs_is_a_later_one_whatever_it_says() {
    let mut starts = ServerStarts::default();
    let first = told(&mut starts, 5000.0, EndpointListKind::Snapshot, "a", 4990.0);
    let again = told(&mut starts, 5000.0, EndpointListKind::Delta, "a", 4100.0);
    assert!(again > first && again >= 5000.0, "{again}");
    let third = told(&mut starts, 5000.0, EndpointListKind::Delta, "a", 4990.0);
    assert!(third > again, "{third}");
}

#[test]
fn a_start_is_no_younger_than_its_news() {
    let mut starts = ServerStarts::default();
    for kind in [EndpointListKind::StaleSnapshot, EndpointListKind::Snapshot, EndpointListKind::Delta] {
        assert_eq!(told(&mut starts, 5000.0, kind, &format!("{kind:?}"), 5000.0 + 3600.0), 5000.0);
    }
}

#[test]
fn a_list_that_may_be_stale_bounds_nothing() {
    let mut starts = ServerStarts::default();
    told(&mut starts, 5000.0, EndpointListKind::StaleSnapshot, "a", 4900.0);
    starts.confirm(5001.0);
    assert_eq!(told(&mut starts, 5002.0, EndpointListKind::Snapshot, "b", 4500.0), 4500.0);
}

#[test]
fn ever_new_servers_are_forgotten_in_the_end() {
    let mut starts = ServerStarts::default();
    for number in 0..3 * MOST_KNOWN {
        let now = 5000.0 + number as f64;
        told(&mut starts, now, EndpointListKind::Delta, &format!("s-{number}"), now);
        assert!(starts.known.len() <= MOST_KNOWN);
    }
    let now = 5000.0 + 3.0 * MOST_KNOWN as f64;
    let last = format!("s-{}", 3 * MOST_KNOWN - 1);
    assert!(told(&mut starts, now, EndpointListKind::Snapshot, &last, now - 1.0) < now, "the last is known");
}

#[test]
fn a_start_that_is_told_late_is_believed_as_far_as_it_hardly_matters() {
    // A tenth of the capacity at first, all of it after 12 s: half of a tenth more is there after two thirds of a second.
    let mut starts = ServerStarts::new(0.1, 12.0);
    told(&mut starts, 5000.0, EndpointListKind::Snapshot, "a", 0.0);
    assert_eq!(told(&mut starts, 5000.0, EndpointListKind::Delta, "b", 4999.5), 4999.5);
    let oldest = told(&mut starts, 5000.0, EndpointListKind::Delta, "c", 4990.0);
    let warmth = |age: f64| 0.1 + 0.9 * age / 12.0;
    assert!((warmth(5000.0 - oldest) / warmth(0.0) - CAPACITY_ERROR).abs() < 1e-6, "{oldest}");
    // Servers that need no time are warm whatever is told.
    let mut starts = ServerStarts::new(1.0, 0.0);
    told(&mut starts, 5000.0, EndpointListKind::Snapshot, "a", 0.0);
    assert!(told(&mut starts, 5000.0, EndpointListKind::Delta, "b", 4990.0).is_finite());
}
