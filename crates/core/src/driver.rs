//! Drives the policy for [`Engine`](crate::Engine) and [`ProxyCore`](crate::ProxyCore): keeps its timers,
//! passes it counter responses in the order of the calls, and converts backend start times to the gateway's
//! clock.

use crate::response_order::{CounterResponse, ReadyResponses, ResponseOrder};
use crate::start_times::StartTimes;
use crate::timer_wheel::TimerWheel;
use weirusher::{Action, Endpoint, EndpointListKind, Event, Gateway, Settings, SettingsError, Status, Time};

/// An effect of the policy that does not concern a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Add units to a counter.
    AddToCounter {
        /// Identifies the call. Passed back with its response.
        call: u64,
        /// Identifies the counter.
        counter: u64,
        /// Units to add.
        amount: f64,
        /// Seconds after which a counter that this call creates expires.
        ttl: f64,
    },
    /// Start to watch the endpoint list, and keep it up to date.
    WatchEndpoints,
    /// Write a line to the log.
    Log(String),
}

/// A timer that the policy set, identified by its token.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PolicyTimer(pub u64);

/// The policy, and the handling of its actions that the engine and the proxy core share. `T` is the owner's
/// timer type.
#[derive(Debug)]
pub(crate) struct PolicyDriver<T> {
    gateway: Gateway,
    counter_calls: ResponseOrder,
    start_times: StartTimes,
    /// The timers of the owner and of the policy.
    pub timers: TimerWheel<T>,
    /// An empty vector, reused so that handling an event does not allocate one.
    spare_actions: Vec<Action>,
}

impl<T: From<PolicyTimer>> PolicyDriver<T> {
    /// Creates a driver that starts at `now`. `seed` seeds the policy's random numbers.
    ///
    /// # Errors
    /// The policy rejects the settings.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        let start_times = StartTimes::new(settings.slow_start_min_capacity, settings.slow_start_seconds);
        Ok(Self {
            gateway: Gateway::new(settings, seed)?,
            counter_calls: ResponseOrder::default(),
            start_times,
            timers: TimerWheel::new(now),
            spare_actions: Vec::new(),
        })
    }

    /// Handles an event: sets timers, appends commands to `outputs`, and returns the actions about requests
    /// in order. The vector should be returned with [`PolicyDriver::recycle`].
    pub fn handle<O: From<Command>>(&mut self, now: Time, event: Event, outputs: &mut Vec<O>) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.spare_actions);
        self.gateway.handle_event(now, event, &mut actions);
        actions.retain(|action| !self.carry_out(action, outputs));
        actions
    }

    /// Takes back the vector of [`PolicyDriver::handle`], to be reused for the next event.
    pub fn recycle(&mut self, mut actions: Vec<Action>) {
        actions.clear();
        self.spare_actions = actions;
    }

    /// Builds the event for a new endpoint list, with start times on the gateway's clock.
    pub fn endpoint_list(
        &mut self,
        now: Time,
        kind: EndpointListKind,
        mut endpoints: Vec<Endpoint>,
    ) -> Event {
        self.start_times.localize(now, kind, &mut endpoints);
        Event::EndpointList { kind, endpoints }
    }

    /// Records that discovery confirmed the endpoint list as unchanged.
    pub fn endpoint_list_confirmed(&mut self, now: Time) {
        self.start_times.confirm(now);
    }

    /// Builds the events for an ended counter call, and for later calls whose responses were held back until
    /// it ended, in the order of the calls. `total` is in units, `elapsed` in seconds.
    pub fn counter_response(&mut self, call: u64, status: Status, total: f64, elapsed: f64) -> Vec<Event> {
        let response = CounterResponse { status, total, elapsed };
        let Some(ReadyResponses { counter, responses }) = self.counter_calls.end_call(call, response) else {
            return Vec::new();
        };
        let event = |CounterResponse { status, total, elapsed }| Event::CounterResponse {
            counter,
            status,
            total,
            elapsed,
        };
        responses.into_iter().map(event).collect()
    }

    /// Carries out an action that does not concern a request. Returns `false` for any other action.
    fn carry_out<O: From<Command>>(&mut self, action: &Action, outputs: &mut Vec<O>) -> bool {
        let command = match *action {
            Action::SetTimer { token, at } => {
                self.timers.set(at, T::from(PolicyTimer(token)));
                return true;
            }
            Action::AddToCounter { counter, amount, ttl } => {
                Command::AddToCounter { call: self.counter_calls.start_call(counter), counter, amount, ttl }
            }
            Action::WatchEndpoints => Command::WatchEndpoints,
            _ => return false,
        };
        outputs.push(O::from(command));
        true
    }
}
