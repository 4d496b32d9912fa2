//! Client requests and the responses to them.

mod catalog;
mod error;
mod header_values;
mod responses;

pub use catalog::RequestCatalog;
pub use error::RequestError;
pub use responses::{
    CONTINUE, write_error, write_failed, write_readiness, write_rejected, write_served, write_unavailable,
};

use header_values::{customer_in_target, parse_quota_info, parse_time_budget};
use weirusher::{CustomerId, RequestId};
use weirusher_wire::body::Framing;
use weirusher_wire::head::{HeaderFields, RequestHead};

/// Maximum length of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Maximum length of a request id, in bytes.
const MAX_ID_BYTES: usize = 64;
/// The target of the readiness checks that the platform's front end sends.
const READINESS_TARGET: &str = "/-/ready";

/// A request with a valid head. Its body follows the head as described by `framing`.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientRequest {
    /// The request id (`X-Trace-Id`).
    pub id: RequestId,
    /// The customer whose quota the request uses, from the target.
    pub customer: CustomerId,
    /// Index of the class (`X-Qos`).
    pub class: usize,
    /// Index of the plan (`Plan`).
    pub plan: usize,
    /// Units that the request takes from the quota (`units` of `Quota-Info`).
    pub units: f64,
    /// Number of gateway instances that carry the customer's requests (`spread` of `Quota-Info`).
    pub customer_instances: u32,
    /// Number of the first of these instances (`first` of `Quota-Info`).
    pub first_instance: u32,
    /// Seconds until the client gives up (`X-Expires-In`).
    pub time_budget: f64,
    /// Whether the client marked the request as a retry (`X-Second-Try`).
    pub is_retry: bool,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the client waits for [`CONTINUE`] before it sends the body (`Expect: 100-continue`).
    pub expects_continue: bool,
    /// Whether the connection closes after the response.
    pub closes_connection: bool,
}

/// A client's message, by its head.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientMessage {
    /// A question whether this gateway is ready.
    ReadinessCheck,
    /// A request that is to be forwarded.
    Request(ClientRequest),
}

/// Interprets the head of a client's message.
///
/// # Errors
/// The head is invalid. The connection must be closed, because the end of the message is unknown.
pub fn read_head(
    catalog: &RequestCatalog,
    head: &RequestHead<'_, '_>,
) -> Result<ClientMessage, RequestError> {
    let fields = &head.fields;
    let framing = fields.framing(MAX_BODY_BYTES)?.unwrap_or(Framing::Length(0));
    let no_body = framing == Framing::Length(0);
    if (head.method, head.target) == ("GET", READINESS_TARGET) && no_body {
        return Ok(ClientMessage::ReadinessCheck);
    }
    // The customer is a hexadecimal number, whose digits mean the same in upper and lower case.
    let customer = customer_in_target(head.target).ok_or(RequestError::UnknownTarget)?.to_ascii_lowercase();
    let id = read_id(fields)?;
    let class = catalog.class(required(fields, "X-Qos")?).ok_or(RequestError::Header("X-Qos"))?;
    let plan = catalog.plan(required(fields, "Plan")?).ok_or(RequestError::Header("Plan"))?;
    let method_allowed =
        if class.is_idempotent { head.method == "GET" && no_body } else { head.method == "POST" };
    if !method_allowed {
        return Err(RequestError::MethodNotAllowed);
    }
    let time_budget =
        parse_time_budget(required(fields, "X-Expires-In")?).ok_or(RequestError::Header("X-Expires-In"))?;
    let quota = parse_quota_info(catalog, required(fields, "Quota-Info")?)
        .ok_or(RequestError::Header("Quota-Info"))?;
    let is_retry = read_retry_mark(fields)?;
    Ok(ClientMessage::Request(ClientRequest {
        id: id.into(),
        customer: customer.into(),
        class: class.index,
        plan,
        units: quota.units,
        customer_instances: quota.customer_instances,
        first_instance: quota.first_instance,
        time_budget,
        is_retry,
        framing,
        expects_continue: expects_continue(fields),
        closes_connection: fields.closes_connection(),
    }))
}

fn read_id<'b>(fields: &HeaderFields<'_, 'b>) -> Result<&'b str, RequestError> {
    let id = required(fields, "X-Trace-Id")?;
    let is_valid =
        !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(|byte| byte.is_ascii_graphic());
    if is_valid { Ok(id) } else { Err(RequestError::Header("X-Trace-Id")) }
}

fn read_retry_mark(fields: &HeaderFields<'_, '_>) -> Result<bool, RequestError> {
    match fields.single("X-Second-Try") {
        Ok(None | Some("0")) => Ok(false),
        Ok(Some("1")) => Ok(true),
        _ => Err(RequestError::Header("X-Second-Try")),
    }
}

fn expects_continue(fields: &HeaderFields<'_, '_>) -> bool {
    let value = fields.single("Expect").ok().flatten();
    value.is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
}

fn required<'b>(fields: &HeaderFields<'_, 'b>, name: &'static str) -> Result<&'b str, RequestError> {
    fields.single(name).ok().flatten().ok_or(RequestError::Header(name))
}
