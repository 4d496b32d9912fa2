//! The list of backends as Envoy's endpoint discovery service carries it.
//!
//! One `ClusterLoadAssignment` is the whole list. A locality's zone is the backends' zone, `DRAINING` is a
//! drain, `UNHEALTHY` and `TIMEOUT` mean gone, and the metadata `weirusher.started` is the Unix time of a
//! backend's last start.

use envoy_types::pb::envoy::config::core::v3::{
    Address, HealthStatus, Locality, Metadata, SocketAddress, address, socket_address,
};
use envoy_types::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, Endpoint as EndpointProto, LbEndpoint, LocalityLbEndpoints, lb_endpoint,
};
use envoy_types::pb::google::protobuf::{Struct, Value, value};
use std::collections::{BTreeMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use weirusher::{Endpoint, Lifecycle};

/// The type's name on the wire.
pub const TYPE_URL: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
/// Most backends of a list; the rest are left out.
pub const MOST_SERVERS: usize = 10_000;
const METADATA: &str = "weirusher";

/// A list as read, and how many entries could not be used.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct List {
    /// The backends.
    pub endpoints: Vec<Endpoint>,
    /// Entries without a usable address.
    pub impossible: usize,
    /// Entries that name a backend a second time; the first one counts.
    pub doubled: usize,
    /// Entries past [`MOST_SERVERS`].
    pub excess: usize,
}

/// Reads a list. `zones` names zones in the order of their numbers; others get numbers after these.
pub fn read(assignment: &ClusterLoadAssignment, zones: &[String]) -> List {
    let (mut list, mut seen) = (List::default(), HashSet::new());
    let mut names: Vec<&str> = zones.iter().map(String::as_str).collect();
    for locality in &assignment.endpoints {
        let name = locality.locality.as_ref().map_or("", |l| l.zone.as_str());
        let zone = names.iter().position(|n| *n == name).unwrap_or_else(|| {
            names.push(name);
            names.len() - 1
        });
        for endpoint in &locality.lb_endpoints {
            let Some(address) = address_of(endpoint) else {
                list.impossible += 1;
                continue;
            };
            if !seen.insert(address) {
                list.doubled += 1;
            } else if list.endpoints.len() >= MOST_SERVERS {
                list.excess += 1;
            } else {
                list.endpoints.push(Endpoint {
                    id: address.to_string().into(),
                    zone: zone as u32,
                    cell: 0,
                    started: started(endpoint).unwrap_or(0.0),
                    lifecycle: lifecycle(endpoint.health_status()),
                });
            }
        }
    }
    list
}

fn lifecycle(status: HealthStatus) -> Lifecycle {
    match status {
        HealthStatus::Draining => Lifecycle::Draining,
        HealthStatus::Unhealthy | HealthStatus::Timeout => Lifecycle::Removed,
        HealthStatus::Unknown | HealthStatus::Healthy | HealthStatus::Degraded => Lifecycle::Running,
    }
}

fn address_of(endpoint: &LbEndpoint) -> Option<SocketAddr> {
    let Some(lb_endpoint::HostIdentifier::Endpoint(endpoint)) = &endpoint.host_identifier else {
        return None;
    };
    let Some(address::Address::SocketAddress(socket)) = endpoint.address.as_ref()?.address.as_ref() else {
        return None;
    };
    let Some(socket_address::PortSpecifier::PortValue(port)) = socket.port_specifier else { return None };
    let (ip, port) = (socket.address.parse::<IpAddr>().ok()?, u16::try_from(port).ok()?);
    (port != 0 && !ip.is_unspecified() && !ip.is_multicast()).then(|| SocketAddr::new(ip, port))
}

fn started(endpoint: &LbEndpoint) -> Option<f64> {
    let fields = &endpoint.metadata.as_ref()?.filter_metadata.get(METADATA)?.fields;
    match fields.get("started")?.kind {
        Some(value::Kind::NumberValue(at)) if at.is_finite() && at >= 0.0 => Some(at),
        _ => None,
    }
}

/// Writes a list for `cluster`.
pub fn write(cluster: &str, servers: &[Endpoint], zones: &[String]) -> ClusterLoadAssignment {
    let mut by_zone: BTreeMap<u32, Vec<LbEndpoint>> = BTreeMap::new();
    for server in servers {
        by_zone.entry(server.zone).or_default().extend(endpoint(server));
    }
    let locality = |(zone, lb_endpoints): (u32, Vec<LbEndpoint>)| {
        let zone = zones.get(zone as usize).cloned().unwrap_or_else(|| zone.to_string());
        let locality = Some(Locality { zone, ..Locality::default() });
        LocalityLbEndpoints { locality, lb_endpoints, ..LocalityLbEndpoints::default() }
    };
    let endpoints = by_zone.into_iter().map(locality).collect();
    ClusterLoadAssignment { cluster_name: cluster.into(), endpoints, ..ClusterLoadAssignment::default() }
}

fn endpoint(server: &Endpoint) -> Option<LbEndpoint> {
    let address: SocketAddr = server.id.parse().ok()?;
    let port = Some(socket_address::PortSpecifier::PortValue(u32::from(address.port())));
    let socket =
        SocketAddress { address: address.ip().to_string(), port_specifier: port, ..SocketAddress::default() };
    let address = Some(Address { address: Some(address::Address::SocketAddress(socket)) });
    let number = Value { kind: Some(value::Kind::NumberValue(server.started)) };
    let fields = Struct { fields: [("started".to_string(), number)].into() };
    let health = match server.lifecycle {
        Lifecycle::Running => HealthStatus::Healthy,
        Lifecycle::Draining => HealthStatus::Draining,
        Lifecycle::Removed => HealthStatus::Unhealthy,
    };
    Some(LbEndpoint {
        health_status: health.into(),
        metadata: Some(Metadata {
            filter_metadata: [(METADATA.to_string(), fields)].into(),
            ..Metadata::default()
        }),
        host_identifier: Some(lb_endpoint::HostIdentifier::Endpoint(EndpointProto {
            address,
            ..EndpointProto::default()
        })),
        ..LbEndpoint::default()
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn server(id: &str, zone: u32, lifecycle: Lifecycle) -> Endpoint {
        Endpoint { id: id.into(), zone, cell: 0, started: 7.5, lifecycle }
    }

    #[test]
    fn a_list_is_read_back_as_it_was_written() {
        let zones = ["a".to_string(), "b".to_string()];
        let servers = vec![
            server("127.0.0.1:80", 0, Lifecycle::Running),
            server("127.0.0.1:81", 1, Lifecycle::Draining),
            server("[::1]:82", 1, Lifecycle::Removed),
        ];
        assert_eq!(read(&write("c", &servers, &zones), &zones).endpoints, servers);
    }

    #[test]
    fn doubled_and_impossible_entries_are_left_out_and_counted() {
        let servers = ["127.0.0.1:80", "127.0.0.1:80", "127.0.0.1:0", "0.0.0.0:80", "127.0.0.1:81"];
        let servers: Vec<_> = servers.iter().map(|id| server(id, 0, Lifecycle::Running)).collect();
        let mut assignment = write("c", &servers, &[]);
        assignment.endpoints[0].lb_endpoints.push(LbEndpoint::default());
        let list = read(&assignment, &[]);
        assert_eq!((list.endpoints.len(), list.doubled, list.impossible), (2, 1, 3));
    }
}
