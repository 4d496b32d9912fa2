//! Requests received by the proxy.

use weirusher::{CustomerId, RequestId};

/// A request that was read completely from a client.
#[derive(Debug, Clone, PartialEq)]
pub struct IncomingRequest {
    /// Its id, unique among open requests.
    pub id: RequestId,
    /// The customer whose quota it uses.
    pub customer: CustomerId,
    /// Index of its plan in the settings.
    pub plan: usize,
    /// Index of its class in the settings.
    pub class: usize,
    /// Units that it uses of the quota.
    pub units: f64,
    /// Seconds until the client gives up on it.
    pub time_budget: f64,
    /// Number of gateway instances that serve the customer.
    pub customer_instances: u32,
    /// Number of the first of these instances.
    pub first_instance: u32,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
}

/// Whether a request was added to the request table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStatus {
    /// It will get a response, from a [`super::ProxyOutput::Respond`] or from an attempt that serves it.
    Accepted,
    /// A request with the same id is open, or may have been executed and is not idempotent. This one was ignored.
    Duplicate,
}
