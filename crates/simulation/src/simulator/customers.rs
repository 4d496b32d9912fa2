//! Customers: when each one sends its next request, and to which gateway.

use super::{Event, START, Simulation};
use crate::customer_monitor::CustomerMonitor;
use crate::schedule::DemandPattern;
use fastrand::Rng;
use weirusher::CustomerId;
use weirusher_core::{Check, InstanceRange};

/// Time budget of a request in seconds.
const TIME_BUDGET: f64 = 3.0;
/// Maximum seconds between two requests. The interval is drawn from the demand at the previous request: without
/// a limit, a customer with a low demand would take long to follow an increase.
const MAX_REQUEST_INTERVAL: f64 = 2.0;

/// One customer.
pub(super) struct Customer {
    id: CustomerId,
    /// The current demand, as a multiple of the rate of the quota.
    demand: f64,
    /// Prefix sums of the gateways' weights, for drawing the gateway of a request.
    cumulative_weights: Vec<f64>,
    pub monitor: CustomerMonitor,
}

/// Draws an exponentially distributed number with a mean of 1.
fn exponential(rng: &mut Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}

impl Simulation<'_> {
    pub(super) fn add_customer(&mut self, number: usize) {
        let monitor = CustomerMonitor::new(START, self.schedule.quota, self.schedule.ceiling);
        let id = format!("customer-{number}").into();
        self.customers.push(Customer { id, demand: 1.0, cumulative_weights: Vec::new(), monitor });
        self.change_demand(number);
        self.redistribute(number);
        self.schedule_request(number);
    }

    pub(super) fn change_demand(&mut self, customer: usize) {
        match self.schedule.demand[customer].pattern {
            DemandPattern::Steady(factor) => self.customers[customer].demand = factor,
            DemandPattern::Alternating { low, high, period } => {
                self.customers[customer].demand = if self.rng.bool() { low } else { high };
                self.push(self.now + period, Event::ChangeDemand { customer });
            }
        }
    }

    pub(super) fn redistribute(&mut self, customer: usize) {
        let demand = self.schedule.demand[customer];
        let mut sum = 0.0;
        let mut next_sum = |rng: &mut Rng| {
            sum += exponential(rng).powf(demand.skew);
            sum
        };
        let weights = (0..self.schedule.gateways).map(|_| next_sum(&mut self.rng)).collect();
        self.customers[customer].cumulative_weights = weights;
        self.push(self.now + demand.redistribute_after, Event::Redistribute { customer });
    }

    fn schedule_request(&mut self, customer: usize) {
        let mean = 1.0 / (self.customers[customer].demand * self.schedule.quota.rate);
        let wait = (exponential(&mut self.rng) * mean).min(MAX_REQUEST_INTERVAL);
        self.push(self.now + wait, Event::Request { customer });
    }

    pub(super) fn send_request(&mut self, customer: usize) {
        self.schedule_request(customer);
        let sender = &mut self.customers[customer];
        let weights = &sender.cumulative_weights;
        let drawn = self.rng.f64() * weights.last().copied().unwrap_or(1.0);
        let instance = weights.partition_point(|sum| *sum <= drawn).min(weights.len() - 1);
        sender.monitor.handle_request(self.now);
        self.outcome.requests += 1;
        self.next_caller += 1;
        self.callers.insert(self.next_caller, customer);
        let check = Check {
            customer: sender.id.clone(),
            plan: 0,
            class: 0,
            units: 1.0,
            time_budget: TIME_BUDGET,
            instances: InstanceRange { count: self.schedule.gateways, first: 0 },
            ticket: None,
        };
        self.gateways[instance].engine.handle_check(self.now, self.next_caller, &check);
        self.settle(instance);
    }
}
