//! The outcome of one schedule.

use serde::Serialize;

/// The outcome for one customer.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CustomerOutcome {
    /// Requests that it sent.
    pub requests: u64,
    /// Requests that were forwarded.
    pub served: u64,
    /// Requests that a single gateway with the whole token bucket would have forwarded.
    pub due: u64,
    /// Most units served beyond its token bucket.
    pub overshoot: f64,
    /// When that was, in Unix seconds.
    pub overshoot_at: f64,
    /// Most units served beyond its ceiling.
    pub ceiling_overshoot: f64,
}

/// The outcome of a schedule.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Outcome {
    /// By customer.
    pub customers: Vec<CustomerOutcome>,
    /// Calls to the counter.
    pub counter_calls: u64,
    /// Restarts of gateways.
    pub restarts: u32,
    /// Requests of all customers.
    pub requests: u64,
}

impl Outcome {
    /// Most units that any customer was served beyond its token bucket.
    pub fn worst_overshoot(&self) -> f64 {
        self.customers.iter().map(|customer| customer.overshoot).fold(0.0, f64::max)
    }

    /// Requests served as a fraction of requests due, of all customers. What a customer was served beyond its due does
    /// not make up for another.
    pub fn served_fraction(&self) -> f64 {
        let (served, due): (u64, u64) = self
            .customers
            .iter()
            .fold((0, 0), |(served, due), c| (served + c.served.min(c.due), due + c.due));
        served as f64 / due.max(1) as f64
    }
}
