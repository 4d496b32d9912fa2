//! The outcome of one schedule.

use serde::Serialize;

/// The outcome for one customer.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CustomerOutcome {
    /// Number of requests that the customer sent.
    pub requests: u64,
    /// Number of requests that were forwarded to a backend.
    pub served: u64,
    /// Number of requests that a single gateway with the whole token bucket would have forwarded.
    pub due: u64,
    /// Maximum number of units served beyond the token bucket.
    pub overshoot: f64,
    /// Unix time in seconds of the maximum overshoot.
    pub overshoot_at: f64,
    /// Maximum number of units served beyond the hard ceiling.
    pub ceiling_overshoot: f64,
}

/// The outcome of a schedule.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Outcome {
    /// The outcome of each customer.
    pub customers: Vec<CustomerOutcome>,
    /// Number of calls to the counter.
    pub counter_calls: u64,
    /// Number of gateway restarts.
    pub restarts: u32,
    /// Number of requests of all customers.
    pub requests: u64,
}

impl Outcome {
    /// The maximum overshoot of any customer, in units.
    pub fn worst_overshoot(&self) -> f64 {
        self.customers.iter().map(|customer| customer.overshoot).fold(0.0, f64::max)
    }

    /// Requests served as a fraction of requests due, over all customers. Requests served to a customer beyond
    /// those due to it do not make up for requests that other customers were not served.
    pub fn served_fraction(&self) -> f64 {
        let (served, due): (u64, u64) = self
            .customers
            .iter()
            .fold((0, 0), |(served, due), c| (served + c.served.min(c.due), due + c.due));
        served as f64 / due.max(1) as f64
    }
}
