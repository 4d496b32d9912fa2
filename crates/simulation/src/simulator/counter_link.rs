//! Calls to the counter and their responses, on connections with delays, timeouts and reconnects.

use super::gateways::COUNTER_TIMEOUT;
use super::{Event, Simulation};
use crate::counter::CounterHealth;
use weirusher::Status;

/// Minimum one-way delay between a gateway and the counter, in seconds.
const ONE_WAY_DELAY: f64 = 0.0005;
/// Maximum random addition to the one-way delay, as a fraction of it.
const DELAY_JITTER: f64 = 0.5;
/// Seconds by which a call may time out early: the computed deadline of a call can lie after its timeout event
/// because of rounding.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// An event on a connection to the counter.
#[derive(Debug, Clone, Copy)]
pub(super) enum CounterLinkEvent {
    /// A call arrives at the counter.
    CallArrives { name: u64, amount: f64, ttl: f64 },
    /// The response to a call arrives at the gateway.
    ResponseArrives { status: Status, total: f64 },
    /// One or more calls may have timed out.
    Timeout,
    /// The gateway tries to reconnect.
    Reconnect,
}

impl Simulation<'_> {
    pub(super) fn handle_counter_link(&mut self, instance: usize, generation: u64, event: CounterLinkEvent) {
        if let CounterLinkEvent::CallArrives { name, amount, ttl } = event {
            // A call that is already on its way is counted even if its connection has broken since.
            return self.handle_call(instance, generation, name, amount, ttl);
        }
        if self.gateways[instance].connection.generation != generation {
            return;
        }
        match event {
            CounterLinkEvent::CallArrives { .. } => {}
            CounterLinkEvent::ResponseArrives { status, total } => {
                self.handle_response(instance, status, total);
            }
            CounterLinkEvent::Timeout => self.handle_call_timeout(instance),
            CounterLinkEvent::Reconnect => self.reconnect(instance),
        }
    }

    fn push_link_event(&mut self, at: f64, instance: usize, event: CounterLinkEvent) {
        let generation = self.gateways[instance].connection.generation;
        self.push(at, Event::CounterLink { instance, generation, event });
    }

    fn one_way_delay(&mut self) -> f64 {
        ONE_WAY_DELAY * (1.0 + DELAY_JITTER * self.rng.f64())
    }

    /// Sends a call of a gateway to the counter.
    pub(super) fn call_counter(&mut self, instance: usize, call: u64, name: u64, amount: f64, ttl: f64) {
        self.outcome.counter_calls += 1;
        let (now, delay) = (self.now, self.one_way_delay());
        let gateway = &mut self.gateways[instance];
        if !gateway.connection.connected {
            return gateway.engine.handle_counter_response(now, call, Status::ConnectFailed, 0.0, 0.0);
        }
        if gateway.connection.pipeline.send(now, call).is_err() {
            return gateway.engine.handle_counter_response(now, call, Status::Rejected, 0.0, 0.0);
        }
        // Calls on one connection arrive in order.
        let at = gateway.connection.last_call_at.max(now + delay);
        gateway.connection.last_call_at = at;
        self.push_link_event(at, instance, CounterLinkEvent::CallArrives { name, amount, ttl });
        self.push_link_event(now + COUNTER_TIMEOUT, instance, CounterLinkEvent::Timeout);
    }

    fn handle_call(&mut self, instance: usize, generation: u64, name: u64, amount: f64, ttl: f64) {
        if self.counter_health == CounterHealth::Unreachable {
            return;
        }
        let total = self.counts.add(self.now, name, amount, ttl);
        let delay = self.one_way_delay();
        let connection = &mut self.gateways[instance].connection;
        if connection.generation != generation {
            return;
        }
        connection.silent |= self.counter_health == CounterHealth::Silent;
        if self.counter_health == CounterHealth::Reset {
            return self.disconnect(instance);
        }
        if connection.silent {
            return;
        }
        let extra_delay = if let CounterHealth::Slow(seconds) = self.counter_health { seconds } else { 0.0 };
        let at = (connection.last_response_at.max(self.now) + extra_delay).max(self.now + delay);
        connection.last_response_at = at;
        let wrong_type = self.counter_health == CounterHealth::WrongType;
        let status = if wrong_type { Status::Rejected } else { Status::Ok };
        self.push_link_event(at, instance, CounterLinkEvent::ResponseArrives { status, total });
    }

    fn handle_response(&mut self, instance: usize, status: Status, total: f64) {
        let gateway = &mut self.gateways[instance];
        gateway.connection.any_response = true;
        if let Ok(Some(ended)) = gateway.connection.pipeline.response_completed(self.now) {
            gateway.engine.handle_counter_response(self.now, ended.call, status, total, ended.elapsed);
            self.settle(instance);
        }
    }

    fn handle_call_timeout(&mut self, instance: usize) {
        let gateway = &mut self.gateways[instance];
        for ended in gateway.connection.pipeline.take_timed_out(self.now + ROUNDING_TOLERANCE) {
            gateway.engine.handle_counter_response(self.now, ended.call, Status::Timeout, 0.0, ended.elapsed);
        }
        let unresponsive = gateway.connection.pipeline.is_unresponsive(self.now);
        let next = gateway.connection.pipeline.deadline();
        if unresponsive {
            self.disconnect(instance);
        } else if let Some(at) = next.filter(|at| *at > self.now) {
            self.push_link_event(at, instance, CounterLinkEvent::Timeout);
        }
        self.settle(instance);
    }

    /// Breaks a gateway's connection. The gateway reconnects after a backoff.
    pub(super) fn disconnect(&mut self, instance: usize) {
        let gateway = &mut self.gateways[instance];
        if !gateway.connection.connected {
            return;
        }
        let (calls, backoff) = gateway.connection.disconnect(self.now);
        for ended in calls {
            gateway.engine.handle_counter_response(self.now, ended.call, Status::Reset, 0.0, ended.elapsed);
        }
        self.push_link_event(self.now + backoff, instance, CounterLinkEvent::Reconnect);
        self.settle(instance);
    }

    fn reconnect(&mut self, instance: usize) {
        let connection = &mut self.gateways[instance].connection;
        if connection.connected {
            return;
        }
        if self.counter_health == CounterHealth::Unreachable {
            let backoff = connection.backoff.next_delay();
            self.push_link_event(self.now + backoff, instance, CounterLinkEvent::Reconnect);
        } else {
            connection.connect(COUNTER_TIMEOUT);
        }
    }
}
