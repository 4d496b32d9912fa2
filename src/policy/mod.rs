//! The decisions of a gateway, one module for each rule; the interface's types are in `src/interface.rs`.
//!
//! A new request passes `admission` and `quota`: it spends its customer's `lease`, waits for a new one, or is
//! decided by the local `fallback` limit and the `ceiling`. `counter` and `call_pacing` make the calls for
//! leases, and `settlement` reads what the count's total grants. `attempts` sends an admitted request under
//! the `concurrency_limit`, to the backend of `selection`, and retries and hedges it as far as `retry_scope`
//! and `retry_budget` allow. `observation` learns from the outcome of each attempt. `response` is the
//! gateway's own response.
//!
//! Terms:
//! - *count*: the units of a customer's quota that are used or leased in one window; kept by the counter
//!   service.
//! - *lease*: units that a gateway has added to the count before it spends them.
//! - *level*: of a quota, what remains of it, as a count showed it; of a token bucket, the units that it
//!   holds.
//! - *uncounted*: spent without a lease, not on the count yet.
//! - *fallback limit*: what a gateway spends without a lease while the count is not known.
//! - *ceiling headroom*: the units between a plan's quota and its hard ceiling.
//! - *in flight*: an attempt that has not ended. *open*: a request without a response, or with attempts in
//!   flight.
//!
//! A request beyond its quota is one of several reasons to reject a request: they are the variants of
//! [`Reason`](crate::Reason).
//!
//! Times are seconds on the caller's clock, quantities quota units.

mod admission;
mod attempts;
mod backend;
mod call_pacing;
mod ceiling;
mod concurrency_limit;
mod count_reading;
mod counter;
mod customer;
mod endpoint_list;
mod fallback;
mod fractional_share;
mod latency;
mod lease;
mod observation;
mod outlier_ejection;
mod quota;
mod request;
mod response;
mod retry_budget;
mod retry_scope;
mod selection;
mod settlement;
mod slow_start;
mod stable_hash;
mod subset;
mod timers;
mod token_bucket;
mod tuning;
mod window;

use crate::interface::{Action, Event, RequestId, Settings, SettingsError, Time};
use crate::validation::validate;
use attempts::AttemptOutcome;
use backend::BackendTable;
use concurrency_limit::ConcurrencyLimit;
use counter::CounterCalls;
use customer::CustomerTable;
use fractional_share::FractionalShares;
use latency::LatencyEstimate;
use request::OpenRequest;
use retry_budget::RetryBudget;
use slow_start::FleetLoad;
use std::collections::HashMap;
use subset::subset_start;
use timers::Timers;

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Gateway {
    settings: Settings,
    rng: fastrand::Rng,
    /// The time of the event at hand.
    now: Time,
    /// The actions that the event at hand has led to.
    actions: Vec<Action>,
    timers: Timers,
    requests: HashMap<RequestId, OpenRequest>,
    customers: CustomerTable,
    counter: CounterCalls,
    /// By plan.
    fractional_shares: Vec<FractionalShares>,
    backends: BackendTable,
    /// Where in the list of running backends, from 0 to 1, this gateway's subset begins.
    subset_start: f64,
    load: FleetLoad,
    latency: LatencyEstimate,
    concurrency: ConcurrencyLimit,
    retry_budget: RetryBudget,
}

impl Gateway {
    /// A gateway without backends or customers. `seed` feeds all its randomness.
    ///
    /// # Errors
    /// Settings that no gateway can work with.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        validate(&settings)?;
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0.0,
            actions: Vec::new(),
            timers: Timers::default(),
            requests: HashMap::new(),
            customers: CustomerTable::default(),
            counter: CounterCalls::new(&settings),
            fractional_shares: vec![FractionalShares::default(); settings.plans.len()],
            backends: BackendTable::default(),
            subset_start: subset_start(settings.instance),
            load: FleetLoad::default(),
            latency: LatencyEstimate::default(),
            concurrency: ConcurrencyLimit::default(),
            retry_budget: RetryBudget::default(),
            settings,
        })
    }

    /// Takes one event at `now` and appends the actions to be carried out, in order.
    pub fn handle_event(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::EndpointList { kind, endpoints } => self.update_endpoints(kind, &endpoints),
            Event::Request(request) => self.accept_request(request),
            Event::ResponseStarted { request } => {
                if let Some(open) = self.requests.get_mut(&request) {
                    open.streaming = true;
                }
            }
            Event::AttemptEnded {
                request,
                attempt,
                backend,
                status,
                elapsed,
                request_ended,
                settled_units,
                load: _,
            } => {
                self.observe_attempt(&backend, status, elapsed);
                let outcome = AttemptOutcome { attempt, status, request_ended, settled_units };
                self.attempt_ended(&request, outcome);
            }
            Event::ClientGone { request } => self.close_request(&request),
            Event::Timer { token } => self.handle_timeout(token),
            Event::CounterResponse { counter, status, total, elapsed } => {
                self.counter_response(counter, status, total, elapsed);
            }
        }
        actions.append(&mut self.actions);
    }

    /// A random number from 0 to 1.
    fn draw(&mut self) -> f64 {
        self.rng.f64()
    }
}
