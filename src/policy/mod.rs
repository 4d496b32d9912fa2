//! Every decision of a gateway; its types, events and actions stand in `src/interface.rs`.
//!
//! Ordinary path: a request spends its customer's lease; else a demand-sized block is added to the
//! customer's count and kept as far as the window's burst allows; else it is refused at once. While the
//! counter is unavailable an even share of rate and burst decides. The rest: rules, server choice, attempts.

mod admission;
mod attempts;
mod backend;
mod bucket;
mod capacity;
mod counter;
mod customer;
mod fallback;
mod request;
mod selection;
mod settlement;
mod subset;
mod tuning;
mod window;

use crate::interface::*;
use crate::validation::validate;
use backend::Backend;
use bucket::TokenBucket;
use customer::{Call, Customer};
use request::OpenRequest;
use std::collections::{HashMap, VecDeque};
use subset::subset_start;
use tuning::*;

/// What a timer is set for.
#[derive(Debug, Clone)]
enum Timer {
    /// Requests have waited long enough for a lease of this customer.
    CounterWait(CustomerId),
    /// A hedged request of this request may go out.
    Hedge(RequestId),
    /// Idle customers are forgotten.
    Sweep,
}

/// Calls to the counter that failed in a row.
#[derive(Debug, Clone, Copy, Default)]
struct CounterFailures {
    count: u32,
    /// When the first of them was made.
    since: Time,
}

/// Of customers whose share of the burst is under one request, decaying sums of units.
#[derive(Debug, Clone, Copy, Default)]
struct ThinShares {
    /// Sent without a lease.
    uncounted: TokenBucket,
    /// Asked for by calls to the counter.
    requested: TokenBucket,
}

/// The decisions of one gateway.
#[derive(Debug, Default)]
pub struct Gateway {
    settings: Settings,
    now: Time,
    /// What the event at hand asks to be done.
    actions: Vec<Action>,
    rng: Option<fastrand::Rng>,
    requests: HashMap<RequestId, OpenRequest>,
    customers: HashMap<CustomerId, Customer>,
    timers: HashMap<u64, Timer>,
    next_token: u64,

    /// All backends ever listed.
    backends: Vec<Backend>,
    /// Places of them among `backends`.
    backend_index: HashMap<BackendId, usize>,
    /// Places of the running ones, in the order of their names.
    running: Vec<usize>,
    /// Where among the running ones, from 0 to 1, this gateway's own subset begins.
    subset_start: f64,

    /// Calls to the counter that are out, by the name of the count.
    calls: HashMap<u64, VecDeque<Call>>,
    /// Calls to the counter that may be made now.
    call_budget: TokenBucket,
    /// Calls a second by which that budget is refilled.
    call_rate: f64,
    /// When that rate was last cut.
    call_rate_cut: Time,
    /// That rate before the counter failed.
    call_rate_before_failures: f64,
    /// Mean worth of the requests that want a call.
    mean_worth: f64,
    failing: CounterFailures,
    /// After an outage of the counter: until when it is told what was spent meanwhile.
    settling_until: Time,
    /// By plan.
    thin_shares: Vec<ThinShares>,

    /// Decaying sum of the units sent.
    sent_units: TokenBucket,
    /// The most units a second of late.
    peak_units: TokenBucket,
    /// The most running servers of late.
    peak_running: TokenBucket,
    /// Mean latency of attempts.
    latency: f64,
    /// Their median: lost responses and sick backends do not move it, a slow fleet does.
    median_latency: f64,
    /// Share of the attempts of late that had no response in time.
    timeout_share: f64,
    /// Attempts that are out.
    inflight: f64,
    /// Their mean number of late, beside the one that ended.
    mean_inflight: f64,
    /// Retries and hedged requests that may be sent.
    retry_budget: f64,
}

impl Gateway {
    /// A gateway that knows nothing yet. `seed` feeds all its randomness.
    ///
    /// # Errors
    /// Settings that no gateway can work with.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        validate(&settings)?;
        let rng = fastrand::Rng::with_seed(seed);
        let call_rate = (CALL_RATE.1 / f64::from(settings.instances)).max(CALL_RATE.0);
        let thin_shares = vec![ThinShares::default(); settings.plans.len()];
        let (subset_start, rng) = (subset_start(settings.instance), Some(rng));
        Ok(Self {
            settings,
            thin_shares,
            subset_start,
            rng,
            call_rate,
            retry_budget: RETRY_BUDGET.1,
            ..Self::default()
        })
    }

    /// Takes one event at `now` and appends what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::EndpointList { kind, endpoints: servers } => self.update_list(kind, servers),
            Event::Request(request) => self.accept_request(request),
            Event::ResponseStarted { request: job } => {
                self.requests.get_mut(&job).into_iter().for_each(|j| j.streaming = true)
            }
            Event::AttemptEnded {
                request: job,
                attempt,
                backend: server,
                status,
                elapsed: spent,
                request_ended: over,
                settled_units: settled,
                load: _,
            } => {
                self.record_attempt(&server, status, spent);
                self.attempt_ended(&job, attempt, status, over, settled);
            }
            Event::ClientGone { request: job } => self.close_request(&job),
            Event::Timer { token } => self.timer_expired(token),
            Event::HealthChecked { .. } => {} // None is asked for: attempts tell enough, and probes cost.
            Event::CounterResponse { counter, status, total, elapsed: spent } => {
                self.counter_response(counter, status, total, spent)
            }
        }
        actions.append(&mut self.actions);
    }

    /// A number from 0 to 1, from the seed.
    fn draw(&mut self) -> f64 {
        self.rng.as_mut().map_or(0.5, fastrand::Rng::f64)
    }

    fn aim(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.latency_objective).reduce(f64::min).unwrap_or(1.0).max(1e-3)
    }

    fn set_timer(&mut self, at: Time, due: Timer) -> u64 {
        self.next_token += 1;
        self.timers.insert(self.next_token, due);
        self.actions.push(Action::SetTimer { token: self.next_token, at });
        self.next_token
    }

    fn timer_expired(&mut self, token: u64) {
        match self.timers.remove(&token) {
            Some(Timer::CounterWait(key)) => self.stop_waiting(&key, token),
            Some(Timer::Hedge(id)) => self.send_hedge(&id),
            Some(Timer::Sweep) => {
                let idle = |c: &Customer| c.open_attempts == 0 && c.pending_call.is_none();
                self.customers.retain(|_, c| self.now - c.last_used < IDLE_CUSTOMER_SECONDS || !idle(c));
                self.set_timer(self.now + IDLE_CUSTOMER_SECONDS, Timer::Sweep);
            }
            None => {}
        }
    }
}
