//! Requests as the proxy receives them.

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
    /// Units that it takes from the quota.
    pub units: f64,
    /// Seconds until the client gives up.
    pub time_budget: f64,
    /// How many gateway instances carry the customer's requests.
    pub customer_instances: u32,
    /// Number of the first of these instances.
    pub first_instance: u32,
    /// The client marked it as a retry.
    pub is_retry: bool,
}

/// Whether a request was entered in the request table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStatus {
    /// It gets a response, by a [`super::ProxyOutput::Respond`] or by an attempt that serves it.
    Accepted,
    /// A request with the same id is open; nothing was done.
    Duplicate,
}
