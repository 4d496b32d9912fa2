//! Requests of clients.

use super::{CustomerId, RequestId, Time};

/// A request of a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The id of the request.
    pub id: RequestId,
    /// Units that it takes from the quota.
    pub units: f64,
    /// When the client stops waiting for the response.
    pub deadline: Time,
    /// Index of the customer's plan.
    pub plan: usize,
    /// How many gateways serve this customer.
    pub customer_instances: u32,
    /// Index of the first of these gateways. The others follow in order; index 0 follows the last gateway of
    /// the fleet.
    pub first_instance: u32,
    /// Index of the request's class.
    pub class: usize,
    /// The customer that sent it.
    pub customer: CustomerId,
    /// The client marked it as a retry.
    pub is_retry: bool,
}
