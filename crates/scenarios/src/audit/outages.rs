//! Times at which gateways could not be reached, during which nothing is expected of them.

use super::LATENESS_ALLOWANCE_SECONDS;
use std::collections::HashMap;

/// A time span, in seconds, in which a gateway could not be reached. `to` is infinite while the outage lasts.
struct Outage {
    from: f64,
    to: f64,
    /// The outage is a graceful shutdown, so checks sent before it must still be answered.
    graceful: bool,
}

/// The outages of each gateway.
#[derive(Default)]
pub(super) struct Outages {
    by_gateway: HashMap<usize, Vec<Outage>>,
}

impl Outages {
    /// Records that a gateway begins its graceful shutdown.
    pub fn begin_shutdown(&mut self, gateway: usize, time_seconds: f64) {
        self.begin(gateway, time_seconds, true);
    }

    /// Records that a gateway has become reachable or unreachable.
    pub fn set_reachable(&mut self, gateway: usize, reachable: bool, time_seconds: f64) {
        if !reachable {
            return self.begin(gateway, time_seconds, false);
        }
        let outages = self.by_gateway.entry(gateway).or_default();
        outages
            .iter_mut()
            .filter(|outage| outage.to.is_infinite())
            .for_each(|outage| outage.to = time_seconds);
    }

    fn begin(&mut self, gateway: usize, from: f64, graceful: bool) {
        let outages = self.by_gateway.entry(gateway).or_default();
        if !outages.iter().any(|outage| outage.to.is_infinite()) {
            outages.push(Outage { from, to: f64::INFINITY, graceful });
        }
    }

    /// Whether an earlier event concerned this gateway's reachability.
    pub fn knows(&self, gateway: usize) -> bool {
        self.by_gateway.contains_key(&gateway)
    }

    /// Whether a check that was sent and ended at these times may have been affected by an outage of its gateway.
    pub fn affect(&self, gateway: usize, sent_seconds: f64, ended_seconds: f64) -> bool {
        let affects = |outage: &Outage| {
            let reference = if outage.graceful { sent_seconds } else { ended_seconds };
            reference >= outage.from && sent_seconds <= outage.to + LATENESS_ALLOWANCE_SECONDS
        };
        self.by_gateway.get(&gateway).is_some_and(|outages| outages.iter().any(affects))
    }
}
