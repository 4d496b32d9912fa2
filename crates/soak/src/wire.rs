//! The bytes of requests and responses, the documents of discovery, and the configuration of a node with the
//! settings that all nodes of a soak share.

use crate::endpoint_list::Endpoint;
use crate::plan::Plan;
use crate::record::Class;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The number of customers with a ceiling.
pub const LIMITED_CUSTOMERS: usize = 4;
/// The ceiling of each of these customers, in units per second over all nodes.
pub const CEILING_RATE: f64 = 30.0;
/// The burst of that ceiling: units that each of these customers may use at once.
pub const CEILING_BURST: f64 = 30.0;
/// Seconds after a node is notified of a drain within which it may still start attempts at the backend.
pub const DRAIN_GRACE: f64 = 0.5;
/// Seconds for which backends recognize repeated requests of the deduplicated class.
pub const DEDUPLICATION_WINDOW: f64 = 1.5;
/// The fraction of its full capacity that a backend has when its slow start begins.
pub const SLOW_START_FRACTION: f64 = 0.1;
/// The duration of a slow start, in seconds.
pub const SLOW_START_SECONDS: f64 = 6.0;
/// A backend in slow start is overloaded by more than this multiple of its current capacity within
/// [`OVERLOAD_SECONDS`].
pub const OVERLOAD_MULTIPLE: f64 = 2.0;
/// The length of the window in which an overload is measured, in seconds.
pub const OVERLOAD_SECONDS: f64 = 1.0;

/// Microseconds per second.
const MICROS_PER_SECOND: f64 = 1e6;
/// The id of the first customer with a ceiling; customers without one have lower ids.
const FIRST_LIMITED_CUSTOMER_ID: u64 = 0xca00;
/// The number of customers without a ceiling that each node serves.
const UNLIMITED_CUSTOMERS_PER_NODE: usize = 200;
/// The largest number of nodes that the requests of one customer are spread over.
const MAX_SPREAD: usize = 8;

/// A request that has not been written yet.
#[derive(Debug, Clone)]
pub struct PreparedRequest {
    /// The id of the request.
    pub id: String,
    /// The request class, which determines how often the request may be executed.
    pub class: Class,
    /// The number of the customer, if that has a ceiling.
    pub limited_customer: Option<usize>,
    /// The client's deadline, in seconds.
    pub time_budget: f64,
    /// The request as it is written to the connection.
    pub bytes: Vec<u8>,
}

impl PreparedRequest {
    /// Prepares a request to `node`. Its customer is `limited_customer` if that node serves it, and otherwise
    /// a random customer without a ceiling that the node serves: the requests of a customer are sent only to
    /// the `spread` nodes from its first one on.
    pub fn new(
        plan: &Plan,
        node: usize,
        id: String,
        class: Class,
        limited_customer: Option<usize>,
        time_budget: f64,
        rng: &mut fastrand::Rng,
    ) -> Self {
        let spread = plan.nodes.min(MAX_SPREAD);
        let first_node = |customer: u64| customer as usize % plan.nodes;
        let serves = |customer: u64| (node + plan.nodes - first_node(customer)) % plan.nodes < spread;
        let limited_id = |number: usize| FIRST_LIMITED_CUSTOMER_ID + number as u64;
        let limited_customer = limited_customer.filter(|number| serves(limited_id(*number)));
        let (plan_name, customer) = match limited_customer {
            Some(number) => ("capped", limited_id(number)),
            None => ("wide", random_unlimited_customer(plan.nodes, spread, node, rng)),
        };
        let first = first_node(customer);
        let is_idempotent = class == Class::Idempotent;
        let method = if is_idempotent { "GET" } else { "POST" };
        let body = if is_idempotent { String::new() } else { "b".repeat(rng.usize(1..300)) };
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let text = format!(
            "{method} /api/{customer:016x} HTTP/1.1\r\nHost: soak\r\nX-Trace-Id: {id}\r\nX-Qos: {}\r\n\
             Plan: {plan_name}\r\nX-Expires-In: {}u\r\nQuota-Info: units=1,spread={spread},first={first}\r\n\
             {length}\r\n{body}",
            class.name(),
            (time_budget * MICROS_PER_SECOND) as u64,
        );
        Self { id, class, limited_customer, time_budget, bytes: text.into_bytes() }
    }
}

/// The id of a random customer without a ceiling that `node` serves.
fn random_unlimited_customer(nodes: usize, spread: usize, node: usize, rng: &mut fastrand::Rng) -> u64 {
    let customer_index = rng.usize(0..UNLIMITED_CUSTOMERS_PER_NODE);
    let first = (node + nodes - customer_index % spread) % nodes;
    (first + nodes * (customer_index / spread)) as u64
}

/// A complete response.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: String,
    /// The length of the head and the body together, in bytes.
    pub len: usize,
}

impl Response {
    /// Parses the response at the start of `bytes`; `None` while it is incomplete, and for one without a
    /// content length.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let head_len = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
        let head = std::str::from_utf8(&bytes[..head_len]).ok()?.to_ascii_lowercase();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let body_len: usize = head.split("content-length: ").nth(1)?.split("\r\n").next()?.parse().ok()?;
        let len = head_len + body_len;
        let body = String::from_utf8_lossy(bytes.get(head_len..len)?).into_owned();
        Some(Self { status, body, len })
    }
}

/// The complete endpoint list of version `index`, as discovery's JSON document.
pub fn list(index: u64, endpoints: &[Endpoint]) -> Value {
    let entry = |endpoint: &Endpoint| {
        json!({"name": backend_name(endpoint.number), "address": endpoint.address, "zone": zone(endpoint.number),
            "type": "m", "group": 0, "status": endpoint.status.name(), "weight": 1.0, "since_ms": endpoint.since_ms})
    };
    json!({"index": index, "snapshot": true, "endpoints": endpoints.iter().map(entry).collect::<Vec<_>>()})
}

/// The name of a backend in the endpoint list.
pub fn backend_name(number: usize) -> String {
    format!("s-{number:04}")
}

/// The zone of a backend: they alternate between two zones.
fn zone(number: usize) -> &'static str {
    ["a", "b"][number % 2]
}

/// The part of a node's configuration that differs between nodes.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// The number of the node.
    pub node: usize,
    /// The address that it listens at.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The address of the counter.
    pub counter: SocketAddr,
    /// The endpoint list that the node starts with.
    pub initial_list: Value,
    /// The seed of the node's random numbers.
    pub seed: u64,
}

impl NodeConfig {
    /// The text of the configuration file, with the settings that all nodes share.
    pub fn to_json(&self, plan: &Plan) -> String {
        json!({
            "name": format!("n{}", self.node), "listen": self.listen, "discovery": self.discovery,
            "counter": self.counter, "seed": format!("{:016x}", self.seed), "known": self.initial_list,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "settings": {
                "PeersTotal": plan.nodes, "Me": self.node, "Locality": self.node % 2, "Dcs": ["a", "b"], "Step": 0.002,
                "Domain": {"HasCounter": true, "CountLimit": 0.05, "MaxUnits": 1.0},
                "Limits": {"SendCap": 3, "SecondCopies": true, "Cancelling": true, "RetryAfter": true,
                    "MaxRetryAfter": 1.0, "ConnIdle": 5.0, "ConnectTimeout": 0.25},
                "Rules": {"StopSendingWithin": DRAIN_GRACE, "ColdFrom": SLOW_START_FRACTION,
                    "Cold": SLOW_START_SECONDS, "FallMultiple": OVERLOAD_MULTIPLE, "Fall": OVERLOAD_SECONDS},
                "Classes": Class::ALL.map(|class| class_settings(class, plan.deadline)),
                "Plans": [{"Name": "wide", "QuotaRate": 5000.0, "Depth": 5000.0, "Pays": 1.0},
                    {"Name": "capped", "QuotaRate": 15.0, "Depth": 15.0, "Pays": 1.0,
                        "CeilingRate": CEILING_RATE, "CeilingBurst": CEILING_BURST}],
            },
        })
        .to_string()
    }
}

/// The settings of a class; `deadline` in seconds.
fn class_settings(class: Class, deadline: f64) -> Value {
    let effect = match class {
        Class::Idempotent => "idempotent",
        Class::Deduplicated => "deduplicated",
        Class::AtMostOnce => "at_most_once",
    };
    json!({"Name": class.name(), "Effect": effect, "Group": "all", "Window": DEDUPLICATION_WINDOW, "Worth": 1.0,
        "Slo": deadline * 0.6, "Deadline": deadline, "LateWorth": 0.3})
}
