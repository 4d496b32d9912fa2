//! Endpoint lists that are encoded and decoded again, and lists with unusable entries.

use super::*;

fn endpoint(id: &str, zone: u32, lifecycle: Lifecycle) -> Endpoint {
    Endpoint { id: id.into(), zone, cell: 0, started: 7.5, lifecycle }
}

#[test]
fn a_list_is_read_back_as_it_was_written() {
    let zones = ["a".to_string(), "b".to_string()];
    let endpoints = vec![
        endpoint("127.0.0.1:80", 0, Lifecycle::Running),
        endpoint("127.0.0.1:81", 1, Lifecycle::Draining),
        endpoint("[::1]:82", 1, Lifecycle::Removed),
    ];
    assert_eq!(decode(&encode("c", &endpoints, &zones), &zones).endpoints, endpoints);
}

#[test]
fn duplicate_and_invalid_entries_are_left_out_and_counted() {
    let addresses = ["127.0.0.1:80", "127.0.0.1:80", "127.0.0.1:0", "0.0.0.0:80", "127.0.0.1:81"];
    let endpoints: Vec<_> = addresses.iter().map(|id| endpoint(id, 0, Lifecycle::Running)).collect();
    let mut assignment = encode("c", &endpoints, &[]);
    assignment.endpoints[0].lb_endpoints.push(LbEndpoint::default());
    let list = decode(&assignment, &[]);
    assert_eq!((list.endpoints.len(), list.duplicate, list.invalid), (2, 1, 3));
}
