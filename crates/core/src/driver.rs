//! What both fronts do alike with the decision module: its timers, its counter calls in order, the starts of servers by
//! the gateway's clock, and what it wants done.

use crate::calls::CallOrder;
use crate::starts::ServerStarts;
use crate::wheel::Wheel;
use weirusher::{Action, Endpoint, EndpointListKind, Event, Gateway, Settings, SettingsError, Status, Time};

/// What the module wants of the world around, whichever front it decides for.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Call the counter.
    AddToCounter {
        /// Names the call.
        call: u64,
        /// The count's name.
        counter: u64,
        /// What to add.
        amount: f64,
        /// Seconds until a new name is forgotten.
        ttl: f64,
    },
    /// Follow the list of servers.
    WatchEndpoints,
    /// A line for the log.
    Log(String),
}

/// A timer that the module asked for, by its token.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Token(pub u64);

/// The module, driven by a front.
#[derive(Debug)]
pub(crate) struct DecisionDriver<D> {
    gateway: Gateway,
    calls: CallOrder,
    starts: ServerStarts,
    /// The front's timers and the module's.
    pub wheel: Wheel<D>,
    spare: Vec<Action>,
}

impl<D: From<Token>> DecisionDriver<D> {
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        let starts = ServerStarts::new(settings.slow_start_min_capacity, settings.slow_start_seconds);
        let (gateway, calls) = (Gateway::new(settings, seed)?, CallOrder::default());
        Ok(Self { gateway, calls, starts, wheel: Wheel::new(now), spare: Vec::new() })
    }

    /// Tells the module; what it wants done with requests comes back, in order, and the vector is to be
    /// handed back by [`DecisionDriver::done`].
    pub fn handle<O: From<Command>>(&mut self, now: Time, event: Event, outputs: &mut Vec<O>) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.spare);
        self.gateway.handle(now, event, &mut actions);
        actions.retain(|action| !self.common(action, outputs));
        actions
    }

    /// The list of servers came: what the module is told of it.
    pub fn list(&mut self, now: Time, kind: EndpointListKind, mut servers: Vec<Endpoint>) -> Event {
        self.starts.localize(now, kind, &mut servers);
        Event::EndpointList { kind, endpoints: servers }
    }

    /// Discovery answered that the list is as it was.
    pub fn list_confirmed(&mut self, now: Time) {
        self.starts.confirm(now);
    }

    /// Takes the vector of [`DecisionDriver::handle`] back, for the next event.
    pub fn done(&mut self, mut actions: Vec<Action>) {
        actions.clear();
        self.spare = actions;
    }

    /// A counter call ended: the events that may be told now, in the order in which the calls were made.
    pub fn counted(&mut self, call: u64, status: Status, total: f64, spent: f64) -> Vec<Event> {
        let Some((counter, ends)) = self.calls.end(call, (status, total, spent)) else { return Vec::new() };
        let told = |(status, total, spent)| Event::CounterResponse { counter, status, total, elapsed: spent };
        ends.into_iter().map(told).collect()
    }

    fn common<O: From<Command>>(&mut self, action: &Action, outputs: &mut Vec<O>) -> bool {
        let command = match *action {
            Action::SetTimer { token, at } => {
                self.wheel.set(at, D::from(Token(token)));
                return true;
            }
            Action::AddToCounter { counter, amount, ttl } => {
                Command::AddToCounter { call: self.calls.begin(counter), counter, amount, ttl }
            }
            Action::WatchEndpoints => Command::WatchEndpoints,
            Action::Log(ref text) => Command::Log(text.clone()),
            _ => return false,
        };
        outputs.push(O::from(command));
        true
    }
}
