//! `fake`: runs a single fake server.

mod load;

use crate::arguments::{BackendArguments, Fake};
use crate::error::CommandError;
use crate::output::print_json;
use crate::signals::StopSignals;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use weirusher::Endpoint;
use weirusher_core::{Key, Keyring};
use weirusher_fakes::{Counter, Discovery, FakeBackend, FakeBackendSpec, Recorder, SlowStart};

/// Requests that may wait for a core of a fake backend.
const QUEUE_LIMIT: usize = 1000;
const MS_PER_SECOND: f64 = 1000.0;

/// Runs a fake server until a stop signal arrives, or a load generator until its load ends.
pub async fn run(fake: Fake) -> Result<ExitCode, CommandError> {
    match fake {
        Fake::Backend(arguments) => run_backend(arguments).await?,
        Fake::Counter { listen } => {
            require_loopback(&[listen])?;
            let counter = Counter::start(listen, Recorder::new(None)).await.map_err(fake_failed)?;
            serve_until_stopped(counter.address).await;
        }
        Fake::Discovery { listen, backend } => {
            require_loopback(&[listen])?;
            let started = Discovery::start(listen, Duration::ZERO, Recorder::new(None)).await;
            let discovery = started.map_err(fake_failed)?;
            discovery.set(backend.iter().map(|address| Endpoint::warm(address.to_string())).collect());
            serve_until_stopped(discovery.address).await;
        }
        Fake::LoadGenerator(arguments) => load::run(arguments).await?,
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_backend(arguments: BackendArguments) -> Result<(), CommandError> {
    require_loopback(&[arguments.listen])?;
    let slow_start = SlowStart {
        initial_share: arguments.slow_start_from,
        duration_seconds: arguments.slow_start_seconds,
        overload_multiple: f64::INFINITY,
        overload_window_seconds: 1.0,
    };
    let spec = FakeBackendSpec {
        cores: arguments.cores,
        service_seconds: arguments.service_ms / MS_PER_SECOND,
        queue_limit: QUEUE_LIMIT,
        slow_start: (arguments.slow_start_from < 1.0).then_some(slow_start),
        keyring: parse_key(&arguments.key)?,
        advertised_address: String::new(),
        ticket_header: "x-weirusher-ticket".into(),
        units_header: "x-units".into(),
    };
    let backend =
        FakeBackend::start(arguments.listen, spec, Recorder::new(None), 1).await.map_err(fake_failed)?;
    serve_until_stopped(backend.address).await;
    Ok(())
}

/// Prints the address of a server as JSON, and waits for a stop signal.
async fn serve_until_stopped(address: SocketAddr) {
    let stop = StopSignals::new();
    print_json(&json!({ "address": address }));
    stop.received().await;
}

fn require_loopback(addresses: &[SocketAddr]) -> Result<(), CommandError> {
    match addresses.iter().find(|address| !address.ip().is_loopback()) {
        Some(address) => Err(CommandError::NotLoopback(address.ip())),
        None => Ok(()),
    }
}

fn fake_failed(error: io::Error) -> CommandError {
    CommandError::Fake(error.into())
}

/// Parses a ticket key of the form `id:secret`.
fn parse_key(text: &str) -> Result<Keyring, CommandError> {
    let key = text
        .split_once(':')
        .and_then(|(id, secret)| Some(Key { id: id.parse().ok()?, secret: secret.as_bytes().to_vec() }));
    key.and_then(|key| Keyring::new(vec![key])).ok_or(CommandError::TicketKey)
}
