//! A request of a client.

use super::{CustomerId, RequestId, Time};

/// A request of a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Units that it takes from the quota.
    pub units: f64,
    /// When the client gives up.
    pub deadline: Time,
    /// Index of its plan.
    pub plan: usize,
    /// How many gateways serve this customer.
    pub customer_instances: u32,
    /// The number of the first of them; the others follow in order, and 0 comes after the last.
    pub first_instance: u32,
    /// Index of its class.
    pub class: usize,
    /// Its customer.
    pub customer: CustomerId,
    /// The client marked it as a retry.
    pub is_retry: bool,
}
