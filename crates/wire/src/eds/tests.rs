//! Endpoint lists that are encoded and decoded again, and lists with unusable entries.

use super::*;

fn endpoint(id: &str, location: Location, lifecycle: Lifecycle) -> Endpoint {
    Endpoint { id: id.into(), location, started: 7.5, lifecycle }
}

fn in_zone(name: &str) -> Location {
    Location { zone: ZoneId::from_name(name), cell: None }
}

#[test]
fn a_list_is_read_back_as_it_was_written() {
    let numbers = [Location::from_numbers(0, 0), Location::from_numbers(1, 7), Location::UNKNOWN];
    let names = [("0", "0"), ("1", "7"), ("", "")];
    let named =
        names.map(|(zone, cell)| Location { zone: ZoneId::from_name(zone), cell: CellId::from_name(cell) });
    let list = |locations: [Location; 3]| {
        [
            endpoint("127.0.0.1:80", locations[0], Lifecycle::Running),
            endpoint("127.0.0.1:81", locations[1], Lifecycle::Draining),
            endpoint("[::1]:82", locations[2], Lifecycle::Removed),
        ]
    };
    assert_eq!(decode(&encode("c", &list(numbers))).endpoints, list(named));
}

/// Guards against retries in another zone: zones were numbered by their order in each list.
#[test]
fn a_zone_keeps_its_identity_in_a_list_without_the_others() {
    let named = |names: &[&str]| {
        let locality = |name: &&str| Some(Locality { zone: (*name).into(), ..Locality::default() });
        let endpoints = names.iter().enumerate().map(|(port, name)| LocalityLbEndpoints {
            locality: locality(name),
            lb_endpoints: to_proto(&endpoint(
                &format!("127.0.0.1:{}", port + 1),
                Location::UNKNOWN,
                Lifecycle::Running,
            ))
            .into_iter()
            .collect(),
            ..LocalityLbEndpoints::default()
        });
        decode(&ClusterLoadAssignment { endpoints: endpoints.collect(), ..ClusterLoadAssignment::default() })
    };
    let zones = |list: &EndpointList| -> Vec<_> { list.endpoints.iter().map(|e| e.location.zone).collect() };
    let both = zones(&named(&["hall-a", "hall-b", ""]));
    assert_eq!(zones(&named(&["hall-b"])), [both[1]]);
    assert!(both[0].is_some() && both[1].is_some() && both[0] != both[1], "{both:?}");
    assert_eq!(both[2], None, "a locality without a zone");
}

/// Guards against retries in another zone: an address that the list has in two zones is in none for sure.
#[test]
fn a_duplicate_at_another_location_makes_the_location_unknown() {
    let mut assignment = encode("c", &[endpoint("127.0.0.1:80", in_zone("a"), Lifecycle::Running)]);
    assignment.endpoints.push(assignment.endpoints[0].clone());
    assert_eq!(decode(&assignment).endpoints[0].location.cell, None);
    assert!(decode(&assignment).endpoints[0].location.zone.is_some());
    assignment.endpoints[1].locality = Some(Locality { zone: "b".into(), ..Locality::default() });
    let list = decode(&assignment);
    assert_eq!((list.duplicate, list.endpoints[0].location), (1, Location::UNKNOWN));
}

#[test]
fn duplicate_and_invalid_entries_are_left_out_and_counted() {
    let addresses = ["127.0.0.1:80", "127.0.0.1:80", "127.0.0.1:0", "0.0.0.0:80", "127.0.0.1:81"];
    let endpoints: Vec<_> =
        addresses.iter().map(|id| endpoint(id, in_zone("a"), Lifecycle::Running)).collect();
    let mut assignment = encode("c", &endpoints);
    assignment.endpoints[0].lb_endpoints.push(LbEndpoint::default());
    let list = decode(&assignment);
    assert_eq!((list.endpoints.len(), list.duplicate, list.invalid), (2, 1, 3));
}
