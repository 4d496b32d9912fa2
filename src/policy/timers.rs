//! Timers of a gateway, identified by the token that comes back when the timer is due.

use super::Gateway;
use super::tuning::IDLE_CUSTOMER_SECONDS;
use crate::interface::{Action, CustomerId, RequestId, Time};
use std::collections::HashMap;

/// What a timer is set for.
#[derive(Debug, Clone)]
pub(super) enum Timer {
    /// Ends the wait for a lease of this customer.
    LeaseWait(CustomerId),
    /// Sends a hedged request for this request if it is still needed.
    Hedge(RequestId),
    /// Removes idle customers.
    RemoveIdle,
}

/// The timers that are set.
#[derive(Debug, Default)]
pub(super) struct Timers {
    set: HashMap<u64, Timer>,
    last_token: u64,
}

impl Timers {
    /// Returns a token that no other timer or pending call has.
    pub(super) fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }
}

impl Gateway {
    /// Sets a timer that is due at `at`, and returns its token.
    pub(super) fn set_timer(&mut self, at: Time, timer: Timer) -> u64 {
        let token = self.timers.next_token();
        self.timers.set.insert(token, timer);
        self.actions.push(Action::SetTimer { token, at });
        token
    }

    /// Runs the action of a timer that is due; an unknown token is ignored.
    pub(super) fn handle_timer(&mut self, token: u64) {
        match self.timers.set.remove(&token) {
            Some(Timer::LeaseWait(customer)) => self.end_lease_wait(&customer, token),
            Some(Timer::Hedge(request)) => self.send_hedge(&request),
            Some(Timer::RemoveIdle) => self.remove_idle_customers(),
            None => {}
        }
    }

    fn remove_idle_customers(&mut self) {
        self.customers.remove_idle(self.now, IDLE_CUSTOMER_SECONDS);
        self.set_timer(self.now + IDLE_CUSTOMER_SECONDS, Timer::RemoveIdle);
    }
}
