//! Endpoint lists in the protobuf format of Envoy's endpoint discovery service (EDS).
//!
//! One `ClusterLoadAssignment` is a complete list. Endpoints have the zone of their locality, and its `sub_zone` is
//! their cell; an empty name means that the zone or cell is not known. The health status
//! `DRAINING` maps to draining, `UNHEALTHY` and `TIMEOUT` to removed, every other one to running. The metadata field
//! `weirusher.started` is the Unix time in seconds of an endpoint's last start.

use envoy_types::pb::envoy::config::core::v3::{
    Address, HealthStatus, Locality, Metadata, SocketAddress, address, socket_address,
};
use envoy_types::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, Endpoint as EndpointProto, LbEndpoint, LocalityLbEndpoints, lb_endpoint,
};
use envoy_types::pb::google::protobuf::{Struct, Value, value};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use weirusher::{CellId, Endpoint, Lifecycle, Location, ZoneId};

/// The type URL of a `ClusterLoadAssignment` in a discovery response.
pub const TYPE_URL: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
/// Maximum number of endpoints in a list; further ones are ignored.
pub const MAX_ENDPOINTS: usize = 10_000;
/// The key of this gateway's fields in an endpoint's filter metadata.
const METADATA_NAMESPACE: &str = "weirusher";
/// The metadata field with the Unix time of the endpoint's last start, in seconds.
const STARTED_FIELD: &str = "started";

/// A decoded endpoint list, and how many of its entries were not usable.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointList {
    /// The usable endpoints, in the order of the list.
    pub endpoints: Vec<Endpoint>,
    /// Number of entries without a usable address.
    pub invalid: usize,
    /// Number of entries whose address occurs earlier in the list; the first entry is used. If the entries are at
    /// different locations, the location is unknown.
    pub duplicate: usize,
    /// Number of entries beyond [`MAX_ENDPOINTS`].
    pub excess: usize,
}

/// Decodes an endpoint list.
pub fn decode(assignment: &ClusterLoadAssignment) -> EndpointList {
    let (mut list, mut seen) = (EndpointList::default(), HashMap::new());
    for locality in &assignment.endpoints {
        let location = locality.locality.as_ref().map_or(Location::UNKNOWN, location_of);
        for endpoint in &locality.lb_endpoints {
            let Some(address) = address_of(endpoint) else {
                list.invalid += 1;
                continue;
            };
            if let Some(first) = seen.get(&address) {
                list.duplicate += 1;
                let first: &mut Endpoint = &mut list.endpoints[*first];
                if first.location != location {
                    first.location = Location::UNKNOWN;
                }
            } else if list.endpoints.len() >= MAX_ENDPOINTS {
                list.excess += 1;
            } else {
                seen.insert(address, list.endpoints.len());
                list.endpoints.push(Endpoint {
                    id: address.to_string().into(),
                    location,
                    started: started(endpoint).unwrap_or(0.0),
                    lifecycle: lifecycle(endpoint.health_status()),
                });
            }
        }
    }
    list
}

fn location_of(locality: &Locality) -> Location {
    Location { zone: ZoneId::from_name(&locality.zone), cell: CellId::from_name(&locality.sub_zone) }
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
    let fields = &endpoint.metadata.as_ref()?.filter_metadata.get(METADATA_NAMESPACE)?.fields;
    match fields.get(STARTED_FIELD)?.kind {
        Some(value::Kind::NumberValue(at)) if at.is_finite() && at >= 0.0 => Some(at),
        _ => None,
    }
}

/// Encodes an endpoint list for `cluster`, in which the names of zones and cells are their numbers. Endpoints whose id is
/// not a socket address are omitted.
pub fn encode(cluster: &str, endpoints: &[Endpoint]) -> ClusterLoadAssignment {
    let mut localities: Vec<LocalityLbEndpoints> = Vec::new();
    for endpoint in endpoints {
        let locality = Some(locality(endpoint.location));
        let known = localities.iter().position(|known| known.locality == locality);
        let index = known.unwrap_or_else(|| {
            localities.push(LocalityLbEndpoints { locality, ..LocalityLbEndpoints::default() });
            localities.len() - 1
        });
        localities[index].lb_endpoints.extend(to_proto(endpoint));
    }
    ClusterLoadAssignment {
        cluster_name: cluster.into(),
        endpoints: localities,
        ..ClusterLoadAssignment::default()
    }
}

fn locality(location: Location) -> Locality {
    Locality {
        zone: location.zone.map_or_else(String::new, |zone| zone.number().to_string()),
        sub_zone: location.cell.map_or_else(String::new, |cell| cell.number().to_string()),
        ..Locality::default()
    }
}

fn to_proto(endpoint: &Endpoint) -> Option<LbEndpoint> {
    let address: SocketAddr = endpoint.id.parse().ok()?;
    let port = Some(socket_address::PortSpecifier::PortValue(u32::from(address.port())));
    let socket =
        SocketAddress { address: address.ip().to_string(), port_specifier: port, ..SocketAddress::default() };
    let address = Some(Address { address: Some(address::Address::SocketAddress(socket)) });
    let number = Value { kind: Some(value::Kind::NumberValue(endpoint.started)) };
    let fields = Struct { fields: [(STARTED_FIELD.to_string(), number)].into() };
    let health = match endpoint.lifecycle {
        Lifecycle::Running => HealthStatus::Healthy,
        Lifecycle::Draining => HealthStatus::Draining,
        Lifecycle::Removed => HealthStatus::Unhealthy,
    };
    Some(LbEndpoint {
        health_status: health.into(),
        metadata: Some(Metadata {
            filter_metadata: [(METADATA_NAMESPACE.to_string(), fields)].into(),
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
mod tests;
