//! Drives the decision state machine for [`Engine`](crate::Engine) and [`ProxyCore`](crate::ProxyCore): its
//! timers, its counter calls in order, and backend start times on the gateway's clock.

use crate::response_order::{CounterResponse, ReadyResponses, ResponseOrder};
use crate::start_times::StartTimes;
use crate::timer_wheel::TimerWheel;
use weirusher::{Action, Endpoint, EndpointListKind, Event, Gateway, Settings, SettingsError, Status, Time};

/// What the decisions want done outside of the request table.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Call the counter.
    AddToCounter {
        /// Names the call, for its response.
        call: u64,
        /// Names the counter.
        counter: u64,
        /// Units to add.
        amount: f64,
        /// Seconds after which a counter that this call creates expires.
        ttl: f64,
    },
    /// Keep the endpoint list up to date from now on.
    WatchEndpoints,
    /// Write a line to the log.
    Log(String),
}

/// A timer that the decisions asked for, by their token.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecisionTimer(pub u64);

/// The decision state machine with what both of its users handle alike; `T` is the user's kind of timer.
#[derive(Debug)]
pub(crate) struct DecisionDriver<T> {
    gateway: Gateway,
    counter_calls: ResponseOrder,
    start_times: StartTimes,
    /// The timers of the user and of the decisions.
    pub timers: TimerWheel<T>,
    /// An empty vector, kept so that no event allocates one.
    spare_actions: Vec<Action>,
}

impl<T: From<DecisionTimer>> DecisionDriver<T> {
    /// Starts at `now`; `seed` feeds the decisions' randomness.
    ///
    /// # Errors
    /// Settings that the decisions cannot work with.
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

    /// Handles an event. Timers are set and commands go to `outputs`; actions about requests are returned in
    /// order, in a vector to be handed back by [`DecisionDriver::recycle`].
    pub fn handle<O: From<Command>>(&mut self, now: Time, event: Event, outputs: &mut Vec<O>) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.spare_actions);
        self.gateway.handle_event(now, event, &mut actions);
        actions.retain(|action| !self.carry_out(action, outputs));
        actions
    }

    /// Takes the vector of [`DecisionDriver::handle`] back, for the next event.
    pub fn recycle(&mut self, mut actions: Vec<Action>) {
        actions.clear();
        self.spare_actions = actions;
    }

    /// The event for a new endpoint list, with start times on the gateway's clock.
    pub fn endpoint_list(
        &mut self,
        now: Time,
        kind: EndpointListKind,
        mut endpoints: Vec<Endpoint>,
    ) -> Event {
        self.start_times.localize(now, kind, &mut endpoints);
        Event::EndpointList { kind, endpoints }
    }

    /// Discovery confirmed that the endpoint list is unchanged.
    pub fn endpoint_list_confirmed(&mut self, now: Time) {
        self.start_times.confirm(now);
    }

    /// The events for an ended counter call and for those that waited for it, in the order of the calls.
    /// `total` is in units, `elapsed` in seconds.
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

    /// Carries an action out that concerns no request; `false` for any other.
    fn carry_out<O: From<Command>>(&mut self, action: &Action, outputs: &mut Vec<O>) -> bool {
        let command = match *action {
            Action::SetTimer { token, at } => {
                self.timers.set(at, T::from(DecisionTimer(token)));
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
