//! The fleet's backends: starting, killing and draining them, and publishing the endpoint list.

use super::{ANY_PORT, Fleet, FleetError, TICKET_SECRET, io_error};
use std::time::{SystemTime, UNIX_EPOCH};
use weirusher::{Endpoint, Lifecycle, Location};
use weirusher_core::{Key, Keyring};
use weirusher_fakes::{BackendState, CaptureEvent, FakeBackend, FakeBackendSpec, Link, SlowStart};

/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1000.0;

/// A fixed backend address, and the backend that currently serves it.
pub(crate) struct BackendSlot {
    pub process: Option<FakeBackend>,
    /// Link that the load generator connects to; tickets and endpoint lists name its address.
    pub front: Link,
    /// Unix time in seconds at which the backend started; 0 if it is already warmed up.
    started_seconds: f64,
    lifecycle: Lifecycle,
}

impl BackendSlot {
    pub fn new(front: Link) -> Self {
        Self { process: None, front, started_seconds: 0.0, lifecycle: Lifecycle::Running }
    }
}

impl Fleet {
    /// Starts a backend, either in slow start or already warmed up.
    ///
    /// # Errors
    /// The backend cannot listen.
    pub async fn start_backend(&mut self, number: usize, in_slow_start: bool) -> Result<(), FleetError> {
        let (fleet, slow_start) = (&self.scenario.fleet, &self.scenario.slow_start);
        let slot = &mut self.backends[number];
        let slow_start = SlowStart {
            initial_share: slow_start.initial_share,
            duration_seconds: slow_start.duration_seconds,
            overload_multiple: slow_start.overload_multiple,
            overload_window_seconds: slow_start.overload_window_seconds,
        };
        let key = Key { id: 1, secret: TICKET_SECRET.as_bytes().to_vec() };
        let spec = FakeBackendSpec {
            cores: fleet.cores,
            service_seconds: fleet.service_ms / MS_PER_SECOND,
            queue_limit: fleet.queue_limit,
            slow_start: in_slow_start.then_some(slow_start),
            keyring: Keyring::new(vec![key]).expect("one key is given"),
            advertised_address: slot.front.address.to_string(),
            ticket_header: "x-weirusher-ticket".into(),
            units_header: "x-units".into(),
        };
        self.backend_seed += 1;
        let process = FakeBackend::start(ANY_PORT, spec, self.recorder.clone(), self.backend_seed)
            .await
            .map_err(io_error("cannot start a backend"))?;
        slot.front.retarget(Some(process.address));
        slot.started_seconds = if in_slow_start { unix_seconds() } else { 0.0 };
        slot.lifecycle = Lifecycle::Running;
        slot.process = Some(process);
        Ok(())
    }

    pub fn kill_backend(&mut self, number: usize) {
        let slot = &mut self.backends[number];
        slot.process = None;
        slot.front.retarget(None);
        slot.front.reset();
        slot.lifecycle = Lifecycle::Removed;
        let backend = slot.front.address.to_string();
        self.recorder.record(CaptureEvent::BackendChanged { backend, state: BackendState::Killed });
    }

    /// Marks a backend as draining. Takes effect when the endpoint list is next published.
    pub fn drain_backend(&mut self, number: usize) {
        self.backends[number].lifecycle = Lifecycle::Draining;
    }

    /// Publishes the current endpoint list through discovery.
    pub fn publish_endpoints(&self) {
        let endpoint = |slot: &BackendSlot| Endpoint {
            id: slot.front.address.to_string().into(),
            location: Location::from_numbers(0, 0),
            started: slot.started_seconds,
            lifecycle: slot.lifecycle,
        };
        self.discovery.set(self.backends.iter().map(endpoint).collect());
    }
}

fn unix_seconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}
