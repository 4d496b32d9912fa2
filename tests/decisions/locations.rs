//! Keyed requests while backends change their zones and cells: a retry goes only where the earlier attempt was sent.

use crate::harness::{Harness, endpoint, failed, forwarded, settings_without_quota};
use std::collections::BTreeMap;
use weirusher::{
    Action, BackendId, DedupScope, Endpoint, EndpointListKind, Idempotency, Lifecycle, Location, RequestId,
    Settings, Status,
};

fn keyed(scope: DedupScope) -> Settings {
    let mut settings = settings_without_quota();
    settings.classes[0].idempotency = Idempotency::Keyed { scope, window: 1000.0 };
    settings.max_attempts = 4;
    settings
}

fn at(name: &str, location: Location) -> Endpoint {
    Endpoint { location, ..endpoint(name, Lifecycle::Running, 0.0) }
}

fn in_zone(name: &str, zone: u32) -> Endpoint {
    at(name, Location::from_numbers(zone, 0))
}

/// A gateway with the backend `a` in zone 0, which has received the request `j`.
fn sent_to_zone_0(scope: DedupScope) -> (Harness, BackendId) {
    let mut harness = Harness::without_backends(keyed(scope));
    harness.update_endpoints(EndpointListKind::StaleSnapshot, vec![in_zone("a", 0)]);
    let (_, backend) = forwarded(&harness.request("j")).remove(0);
    (harness, backend)
}

/// Guards against a retry in zone 0: an entry without a readable location was taken for one of zone 0.
#[test]
fn an_entry_that_states_no_location_does_not_move_a_request() {
    let mut harness = Harness::without_backends(keyed(DedupScope::Zone));
    harness.update_endpoints(EndpointListKind::StaleSnapshot, vec![in_zone("a", 1)]);
    let (_, backend) = forwarded(&harness.request("j")).remove(0);
    let unreadable = Endpoint { location: Location::UNKNOWN, ..endpoint("a", Lifecycle::Draining, 0.0) };
    let others = vec![unreadable, in_zone("b", 0), in_zone("c", 1)];
    harness.update_endpoints(EndpointListKind::Delta, others);
    let retry = forwarded(&harness.end_attempt("j", 0, &backend, Status::Reset));
    assert_eq!(retry[0].1.as_ref(), "c", "the zone of the first attempt");
}

/// Guards against a retry in two zones: a backend came back under its name in another zone.
#[test]
fn a_request_does_not_follow_its_backend_to_another_zone() {
    let (mut harness, backend) = sent_to_zone_0(DedupScope::Zone);
    harness
        .update_endpoints(EndpointListKind::Delta, vec![in_zone("a", 1), in_zone("b", 1), in_zone("c", 0)]);
    // Whether the attempt reached the earlier or the later process of the name is not known.
    let actions = harness.end_attempt("j", 0, &backend, Status::Reset);
    assert_eq!((forwarded(&actions).len(), failed(&actions)), (0, 1));
}

/// An attempt that ended before the move was certainly sent to the earlier process.
#[test]
fn a_later_retry_stays_where_the_first_attempt_ended() {
    let (mut harness, backend) = sent_to_zone_0(DedupScope::Zone);
    harness.update_endpoints(EndpointListKind::Delta, vec![in_zone("b", 0)]);
    let (_, second) = forwarded(&harness.end_attempt("j", 0, &backend, Status::Reset)).remove(0);
    harness
        .update_endpoints(EndpointListKind::Delta, vec![in_zone("a", 1), in_zone("c", 0), in_zone("d", 1)]);
    let retry = forwarded(&harness.end_attempt("j", 1, &second, Status::Error));
    assert_eq!(retry[0].1.as_ref(), "c");
}

/// Guards against a retry in another cell: backends without a cell were taken for one cell.
#[test]
fn backends_without_a_known_location_share_none() {
    let zone_only = Location { cell: None, ..Location::from_numbers(0, 0) };
    for (scope, location) in [(DedupScope::Cell, zone_only), (DedupScope::Zone, Location::UNKNOWN)] {
        let mut harness = Harness::without_backends(keyed(scope));
        let list = vec![at("a", location), at("b", location)];
        harness.update_endpoints(EndpointListKind::StaleSnapshot, list);
        let (_, backend) = forwarded(&harness.request("j")).remove(0);
        let actions = harness.end_attempt("j", 0, &backend, Status::ConnectFailed);
        let (_, backend) = forwarded(&actions).remove(0);
        let actions = harness.end_attempt("j", 1, &backend, Status::Reset);
        assert_eq!((forwarded(&actions).len(), failed(&actions)), (0, 1), "{scope:?}");
    }
}

/// An attempt in flight, as a model of the backends sees it.
struct InFlight {
    request: RequestId,
    attempt: u32,
    backend: BackendId,
    /// Where its backend ran when it was sent.
    sent_to: Location,
    /// Whether its backend has executed it.
    executed: bool,
}

/// Backends that change their names, zones and cells at random while requests are in flight.
struct Model {
    random: fastrand::Rng,
    harness: Harness,
    locations: BTreeMap<BackendId, Location>,
    in_flight: Vec<InFlight>,
    attempts: BTreeMap<RequestId, u32>,
    /// Where each request was executed.
    effects: BTreeMap<RequestId, Vec<Location>>,
}

impl Model {
    const BACKENDS: u32 = 12;

    fn new(scope: DedupScope, seed: u64) -> Self {
        let mut model = Self {
            random: fastrand::Rng::with_seed(seed),
            harness: Harness::without_backends(keyed(scope)),
            locations: BTreeMap::new(),
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
            effects: BTreeMap::new(),
        };
        let list = (0..Self::BACKENDS).map(|_| model.move_backend()).collect();
        model.harness.update_endpoints(EndpointListKind::StaleSnapshot, list);
        model
    }

    /// Gives a random name a random location, or none.
    fn move_backend(&mut self) -> Endpoint {
        let name = format!("w{}", self.random.u32(..Self::BACKENDS));
        let location = match self.random.u32(..8) {
            0 => Location::UNKNOWN,
            _ => Location::from_numbers(self.random.u32(..3), self.random.u32(..3)),
        };
        self.locations.insert(name.as_str().into(), location);
        at(&name, location)
    }

    /// Publishes a complete list of some backends, or changes with entries that state nothing.
    fn update_list(&mut self) {
        let moved = self.move_backend();
        if self.random.bool() {
            let mut list = vec![moved];
            for (name, location) in &self.locations {
                if self.random.u32(..4) > 0 {
                    list.push(at(name, *location));
                }
            }
            return self.harness.update_endpoints(EndpointListKind::Snapshot, list);
        }
        let unreadable = format!("w{}", self.random.u32(..Self::BACKENDS));
        let unreadable =
            Endpoint { location: Location::UNKNOWN, ..endpoint(&unreadable, Lifecycle::Draining, 0.0) };
        self.harness.update_endpoints(EndpointListKind::Delta, vec![unreadable, moved]);
    }

    fn take_attempts(&mut self, actions: &[Action]) {
        for (request, backend) in forwarded(actions) {
            let attempt = self.attempts.entry(request.clone()).or_default();
            let sent_to = self.locations[&backend];
            self.in_flight.push(InFlight { request, attempt: *attempt, backend, sent_to, executed: false });
            *attempt += 1;
        }
    }

    /// The process that has the name of the backend now executes an attempt. A retry has a connection to the process
    /// that it was decided for, so one that has replaced it does not execute it.
    fn execute(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.random.usize(..self.in_flight.len());
        let attempt = &mut self.in_flight[index];
        let location = self.locations[&attempt.backend];
        let is_reached = attempt.attempt == 0 || location == attempt.sent_to;
        if is_reached && !std::mem::replace(&mut attempt.executed, true) {
            self.effects.entry(attempt.request.clone()).or_default().push(location);
        }
    }

    /// An attempt ends by a reset, executed or not.
    fn end_attempt(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.random.usize(..self.in_flight.len());
        let ended = self.in_flight.swap_remove(index);
        let actions = self.harness.end_attempt(&ended.request, ended.attempt, &ended.backend, Status::Reset);
        self.take_attempts(&actions);
    }

    fn step(&mut self, request: u32) {
        self.harness.now += 0.01;
        let actions = self.harness.request(&format!("j{request}"));
        self.take_attempts(&actions);
        for _ in 0..4 {
            match self.random.u32(..5) {
                0 => self.update_list(),
                1 | 2 => self.execute(),
                _ => self.end_attempt(),
            }
        }
    }

    /// Number of requests that were executed at two locations which do not share their keys.
    fn duplicated(&self, shares: impl Fn(Location, Location) -> bool) -> usize {
        let apart = |effects: &&Vec<Location>| effects.iter().any(|other| !shares(effects[0], *other));
        self.effects.values().filter(|effects| effects.len() > 1).filter(apart).count()
    }
}

/// Guards against a keyed request that is executed in two zones or cells, whatever the lists say in the meantime.
#[test]
fn no_request_is_executed_at_two_locations_under_random_lists() {
    for seed in 0..10 {
        let mut zones = Model::new(DedupScope::Zone, seed);
        let mut cells = Model::new(DedupScope::Cell, seed);
        (0..1000).for_each(|request| zones.step(request));
        (0..1000).for_each(|request| cells.step(request));
        let executed = zones.effects.len() + cells.effects.len();
        assert!(executed > 500, "seed {seed}: {executed} requests were executed");
        assert_eq!(zones.duplicated(Location::shares_zone), 0, "seed {seed}, zones");
        assert_eq!(cells.duplicated(Location::shares_cell), 0, "seed {seed}, cells");
        assert!(zones.effects.values().any(|effects| effects.len() > 1), "seed {seed}: some are retried");
    }
}
