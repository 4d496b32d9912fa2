//! The bytes of requests and responses, the settings of the soak's deployment, and a node's configuration.

use crate::endpoint_list::Endpoint;
use crate::plan::Plan;
use crate::record::Class;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The number of customers with a ceiling.
pub const LIMITED_CUSTOMERS: usize = 4;
/// Units a second that a customer with a ceiling may use over all nodes.
pub const CEILING_RATE: f64 = 30.0;
/// Units that it may use at once.
pub const CEILING_BURST: f64 = 30.0;
/// Seconds after the notification of a drain within which attempts may still begin.
pub const DRAIN_GRACE: f64 = 0.5;
/// Seconds for which backends recognize repeats of the deduplicated class.
pub const DEDUPLICATION_WINDOW: f64 = 1.5;
/// The fraction of its capacity that a backend has at the begin of its slow start.
pub const SLOW_START_FRACTION: f64 = 0.1;
/// The duration of a slow start, in seconds.
pub const SLOW_START_SECONDS: f64 = 6.0;
/// A backend in slow start is overloaded by more than this multiple of its capacity
pub const OVERLOAD_MULTIPLE: f64 = 2.0;
/// over this many seconds.
pub const OVERLOAD_SECONDS: f64 = 1.0;

/// Seconds of a request's deadline to microseconds.
const MICROS: f64 = 1e6;
/// The ids of customers with a ceiling begin here; other ids are lower.
const FIRST_LIMITED_ID: u64 = 0xca00;
/// How many other customers a node serves.
const OTHER_CUSTOMERS: usize = 200;
/// The most nodes that a customer's requests are spread over.
const MAX_SPREAD: usize = 8;

/// A request that is to be written.
#[derive(Debug, Clone)]
pub struct Draft {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: Class,
    /// The number of its customer, where that has a ceiling.
    pub limited_customer: Option<usize>,
    /// How long its client waits, in seconds.
    pub time_budget: f64,
    /// The request.
    pub bytes: Vec<u8>,
}

impl Draft {
    /// A request to `node`: of the customer with a ceiling that is named, if that node serves it, or of any other that it
    /// serves. A customer's requests reach only the nodes of its set.
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
        let limited_id = |number: usize| FIRST_LIMITED_ID + number as u64;
        let limited_customer = limited_customer.filter(|number| serves(limited_id(*number)));
        let (plan_name, customer) = match limited_customer {
            Some(number) => ("capped", limited_id(number)),
            None => ("wide", draw_customer(plan.nodes, spread, node, rng)),
        };
        let first = first_node(customer);
        let is_idempotent = class == Class::Idempotent;
        let method = if is_idempotent { "GET" } else { "POST" };
        let body = if is_idempotent { String::new() } else { "b".repeat(rng.usize(1..300)) };
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let text = format!(
            "{method} /api/{customer:016x} HTTP/1.1\r\nHost: soak\r\nX-Trace-Id: {id}\r\nX-Qos: {}\r\nPlan: {plan_name}\r\n\
             X-Expires-In: {}u\r\nQuota-Info: units=1,spread={spread},first={first}\r\n{length}\r\n{body}",
            class.name(),
            (time_budget * MICROS) as u64,
        );
        Self { id, class, limited_customer, time_budget, bytes: text.into_bytes() }
    }
}

/// A customer without a ceiling that `node` serves.
fn draw_customer(nodes: usize, spread: usize, node: usize, rng: &mut fastrand::Rng) -> u64 {
    let drawn = rng.usize(0..OTHER_CUSTOMERS);
    let first = (node + nodes - drawn % spread) % nodes;
    (first + nodes * (drawn / spread)) as u64
}

/// A complete response.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// Its status code.
    pub status: u16,
    /// Its body.
    pub body: String,
    /// The length of head and body together, in bytes.
    pub len: usize,
}

impl Response {
    /// The response that `bytes` begin with; `None` while it is not complete.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let head_len = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
        let head = std::str::from_utf8(&bytes[..head_len]).ok()?.to_ascii_lowercase();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let body_len: usize = head.split("content-length: ").nth(1)?.split("\r\n").next()?.parse().ok()?;
        let len = head_len + body_len;
        let body = String::from_utf8_lossy(bytes.get(head_len..len)?).into_owned();
        Some(Self { status, body, len })
    }
}

/// A list of backends in discovery's form.
pub fn list(index: u64, endpoints: &[Endpoint]) -> Value {
    let entry = |endpoint: &Endpoint| {
        json!({"name": backend_name(endpoint.number), "address": endpoint.address, "zone": zone(endpoint.number),
            "type": "m", "group": 0, "status": endpoint.status.name(), "weight": 1.0, "since_ms": endpoint.since_ms})
    };
    json!({"index": index, "snapshot": true, "endpoints": endpoints.iter().map(entry).collect::<Vec<_>>()})
}

/// The name of a backend.
pub fn backend_name(number: usize) -> String {
    format!("s-{number:04}")
}

fn zone(number: usize) -> &'static str {
    ["a", "b"][number % 2]
}

/// The part of a node's configuration that differs between nodes.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// The node's number.
    pub node: usize,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Discovery's agent.
    pub discovery: SocketAddr,
    /// The counter.
    pub counter: SocketAddr,
    /// The list of backends that it knows at its start.
    pub known: Value,
    /// The seed of its random numbers.
    pub seed: u64,
}

impl NodeConfig {
    /// The file, with the settings of the soak.
    pub fn to_json(&self, plan: &Plan) -> String {
        json!({
            "name": format!("n{}", self.node), "listen": self.listen, "discovery": self.discovery,
            "counter": self.counter, "seed": format!("{:016x}", self.seed), "known": self.known,
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
