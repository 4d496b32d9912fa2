//! Start times reported by lists from clocks that disagree.

use super::*;

fn endpoint(name: &str, started: f64) -> Endpoint {
    Endpoint { started, ..Endpoint::warm(name) }
}

/// The start of a backend on the gateway's clock, after a list that names only this backend.
fn localized(starts: &mut StartTimes, now: f64, kind: EndpointListKind, name: &str, started: f64) -> f64 {
    let mut endpoints = [endpoint(name, started)];
    starts.localize(now, kind, &mut endpoints);
    endpoints[0].started
}

#[test]
fn a_start_is_no_earlier_than_the_last_list_without_the_backend() {
    let mut starts = StartTimes::default();
    assert_eq!(
        localized(&mut starts, 5000.0, EndpointListKind::Snapshot, "a", 4900.0),
        4900.0,
        "the first list is taken as it is"
    );
    starts.confirm(5005.0);
    assert_eq!(
        localized(&mut starts, 5006.0, EndpointListKind::Delta, "b", 5005.5),
        5005.5,
        "clocks that agree"
    );
    starts.confirm(5010.0);
    assert_eq!(localized(&mut starts, 5011.0, EndpointListKind::Delta, "c", 5010.0 - 3600.0), 5010.0);
    // A start time that is reported again is the same start, whenever it arrives.
    starts.confirm(5050.0);
    assert_eq!(localized(&mut starts, 5051.0, EndpointListKind::Snapshot, "c", 5010.0 - 3600.0), 5010.0);
    assert_eq!(localized(&mut starts, 5051.0, EndpointListKind::Snapshot, "a", 4900.0), 4900.0);
    assert_eq!(localized(&mut starts, 5052.0, EndpointListKind::Snapshot, "d", 0.0), 0.0, "long ago");
}

/// The reported value may be earlier: the backend's clock may have been set back.
#[test]
fn a_changed_start_time_is_always_a_later_start() {
    let mut starts = StartTimes::default();
    let first = localized(&mut starts, 5000.0, EndpointListKind::Snapshot, "a", 4990.0);
    let again = localized(&mut starts, 5000.0, EndpointListKind::Delta, "a", 4100.0);
    assert!(again > first && again >= 5000.0, "{again}");
    let third = localized(&mut starts, 5000.0, EndpointListKind::Delta, "a", 4990.0);
    assert!(third > again, "{third}");
}

#[test]
fn a_start_is_no_later_than_the_list_that_names_it() {
    let mut starts = StartTimes::default();
    for kind in [EndpointListKind::StaleSnapshot, EndpointListKind::Snapshot, EndpointListKind::Delta] {
        assert_eq!(localized(&mut starts, 5000.0, kind, &format!("{kind:?}"), 5000.0 + 3600.0), 5000.0);
    }
}

#[test]
fn a_list_that_may_be_stale_sets_no_lower_bound() {
    let mut starts = StartTimes::default();
    localized(&mut starts, 5000.0, EndpointListKind::StaleSnapshot, "a", 4900.0);
    starts.confirm(5001.0);
    assert_eq!(localized(&mut starts, 5002.0, EndpointListKind::Snapshot, "b", 4500.0), 4500.0);
}

#[test]
fn remembered_backends_are_bounded() {
    let mut starts = StartTimes::default();
    for number in 0..3 * MAX_BACKENDS {
        let now = 5000.0 + number as f64;
        localized(&mut starts, now, EndpointListKind::Delta, &format!("s-{number}"), now);
        assert!(starts.known.len() <= MAX_BACKENDS);
    }
    let now = 5000.0 + 3.0 * MAX_BACKENDS as f64;
    let last = format!("s-{}", 3 * MAX_BACKENDS - 1);
    assert!(
        localized(&mut starts, now, EndpointListKind::Snapshot, &last, now - 1.0) < now,
        "the most recent backend is still known"
    );
}

#[test]
fn a_start_reported_late_is_accepted_within_the_capacity_error() {
    // Capacity grows from a tenth to all of it within 12 s: after two thirds of a second it is 1.5 tenths.
    let mut starts = StartTimes::new(0.1, 12.0);
    localized(&mut starts, 5000.0, EndpointListKind::Snapshot, "a", 0.0);
    assert_eq!(localized(&mut starts, 5000.0, EndpointListKind::Delta, "b", 4999.5), 4999.5);
    let oldest = localized(&mut starts, 5000.0, EndpointListKind::Delta, "c", 4990.0);
    let capacity = |age: f64| 0.1 + 0.9 * age / 12.0;
    assert!((capacity(5000.0 - oldest) / capacity(0.0) - MAX_CAPACITY_ERROR).abs() < 1e-6, "{oldest}");
    // Backends without slow start have full capacity, whatever start time is reported.
    let mut starts = StartTimes::new(1.0, 0.0);
    localized(&mut starts, 5000.0, EndpointListKind::Snapshot, "a", 0.0);
    assert!(localized(&mut starts, 5000.0, EndpointListKind::Delta, "b", 4990.0).is_finite());
}
