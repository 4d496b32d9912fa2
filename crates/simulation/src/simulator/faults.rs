//! Faults: the effects of each kind when it begins and when it ends.

use super::Simulation;
use crate::counter::CounterHealth;
use crate::schedule::FaultKind;

impl Simulation<'_> {
    pub(super) fn begin_fault(&mut self, fault: usize) {
        match self.schedule.faults[fault].kind {
            FaultKind::Unreachable | FaultKind::ReplacedEmpty => {
                self.counter_health = CounterHealth::Unreachable;
                (0..self.gateways.len()).for_each(|instance| self.disconnect(instance));
            }
            FaultKind::Silent => self.counter_health = CounterHealth::Silent,
            FaultKind::Slow(seconds) => self.counter_health = CounterHealth::Slow(seconds),
            FaultKind::Reset => self.counter_health = CounterHealth::Reset,
            FaultKind::WrongType => self.counter_health = CounterHealth::WrongType,
            FaultKind::CountsLost => self.counts.clear(),
            FaultKind::GatewayRestart(instance) => self.restart_gateway(instance),
        }
    }

    fn restart_gateway(&mut self, instance: usize) {
        let incarnation = self.gateways[instance].incarnation + 1;
        let generation = self.gateways[instance].connection.generation + 1;
        self.outcome.restarts += 1;
        self.gateways[instance] = self.start_gateway(instance, incarnation);
        self.gateways[instance].connection.generation = generation;
        if self.counter_health == CounterHealth::Unreachable {
            self.disconnect(instance);
        }
    }

    pub(super) fn end_fault(&mut self, fault: usize) {
        match self.schedule.faults[fault].kind {
            FaultKind::CountsLost | FaultKind::GatewayRestart(_) => return,
            FaultKind::ReplacedEmpty => self.counts.clear(),
            _ => {}
        }
        // If faults of the counter overlap, the end of one ends them all.
        self.counter_health = CounterHealth::Healthy;
    }
}
