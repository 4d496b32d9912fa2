//! The policy of a gateway, one module per rule; the interface types are in `src/interface.rs`.
//!
//! A new request passes `admission` and `quota`: it spends units of its customer's `lease`, waits for a new
//! lease, or is decided by the local `fallback` limit and the `ceiling`. `counter` and `call_pacing` make the
//! calls that request leases, and `settlement` computes from the count's total how much is granted.
//! `attempts` sends an admitted request within the `concurrency_limit` to the backend that `selection`
//! chooses, and retries and hedges it as far as `retry_scope` and `retry_budget` allow. `observation` updates
//! the statistics of backends from the outcome of each attempt. `response` produces the responses of the
//! gateway itself.
//!
//! Terms:
//! - *count*: the units of a customer's quota that are used or leased in one window; stored by the counter
//!   service, which all gateways share.
//! - *lease*: units that a gateway has added to the count before it spends them.
//! - *level*: of a quota, the units that remain according to the last known count; of a token bucket, the
//!   units that it holds.
//! - *uncounted*: spent without a lease and not yet added to the count.
//! - *fallback limit*: what a gateway may spend without a lease while the count is not known.
//! - *ceiling headroom*: the units between a plan's quota and its hard ceiling.
//! - *in flight*: an attempt that has not ended. *open*: a request without a response, or with attempts in
//!   flight.
//!
//! The variants of [`Reason`](crate::Reason) list why a request is rejected; an exhausted quota is one of
//! them.
//!
//! Times are seconds on the caller's clock; quantities are quota units.

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
use slow_start::RecentLoad;
use std::collections::HashMap;
use subset::subset_start;
use timers::Timers;

/// The policy of one gateway, with its state.
#[derive(Debug)]
pub struct Gateway {
    settings: Settings,
    rng: fastrand::Rng,
    /// The time of the event being handled.
    now: Time,
    /// The actions produced so far by the event being handled.
    actions: Vec<Action>,
    timers: Timers,
    requests: HashMap<RequestId, OpenRequest>,
    customers: CustomerTable,
    counter: CounterCalls,
    /// Indexed by plan.
    fractional_shares: Vec<FractionalShares>,
    backends: BackendTable,
    /// Start of this gateway's subset in the list of running backends, as a fraction of the list.
    subset_start: f64,
    load: RecentLoad,
    latency: LatencyEstimate,
    concurrency: ConcurrencyLimit,
    retry_budget: RetryBudget,
}

impl Gateway {
    /// Creates a gateway without backends or customers. All its random numbers are derived from `seed`.
    ///
    /// # Errors
    /// Returns an error if a setting is invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        validate(&settings)?;
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0.0,
            actions: Vec::new(),
            timers: Timers::default(),
            requests: HashMap::new(),
            customers: CustomerTable::new(settings.max_customers as usize),
            counter: CounterCalls::new(&settings),
            fractional_shares: vec![FractionalShares::default(); settings.plans.len()],
            backends: BackendTable::default(),
            subset_start: subset_start(settings.instance),
            load: RecentLoad::default(),
            latency: LatencyEstimate::default(),
            concurrency: ConcurrencyLimit::default(),
            retry_budget: RetryBudget::default(),
            settings,
        })
    }

    /// Handles one event at `now` and appends the actions that the caller must carry out, in order.
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
            Event::Timer { token } => self.handle_timer(token),
            Event::CounterResponse { counter, status, total, elapsed } => {
                self.counter_response(counter, status, total, elapsed);
            }
        }
        actions.append(&mut self.actions);
    }

    /// Returns a random number from 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        self.rng.f64()
    }
}
