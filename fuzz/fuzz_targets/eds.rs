//! Arbitrary bytes decode to an error or to an endpoint list without duplicates.
#![no_main]

use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use libfuzzer_sys::fuzz_target;
use prost::Message;
use weirusher_wire::eds;

fuzz_target!(|data: &[u8]| {
    if let Ok(assignment) = ClusterLoadAssignment::decode(data) {
        let list = eds::decode(&assignment);
        let ids: std::collections::HashSet<_> = list.endpoints.iter().map(|endpoint| &endpoint.id).collect();
        assert_eq!(ids.len(), list.endpoints.len());
    }
});
