//! One stand-in alone.

use crate::Standin;
use crate::commands::{FAILED, WRONG, announce, fail, told_to_stop};
use serde_json::json;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use tokio::task::JoinSet;
use weirusher::Endpoint;
use weirusher_core::{Key, Keyring};
use weirusher_fakes::{
    BehaviourProfile, Cold, Counter, Discovery, FakeBackend, FakeBackendSpec, Final, LoadGenerator, Outcome,
    Recorder, Try,
};

/// Requests that may wait for a core of a checker.
const QUEUE: usize = 1000;
/// Tries of the edge that may be open; further ones are not made, and counted.
const MOST_OPEN: usize = 4096;
/// Most tries a second of the edge, and most seconds: it stops by itself.
const MOST: (f64, f64) = (10_000.0, 3600.0);

/// Why a stand-in ends.
enum Problem {
    Wrong(String),
    Failed(String),
}

impl From<io::Error> for Problem {
    fn from(error: io::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

pub async fn run(standin: Standin) -> ExitCode {
    match start(standin).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(Problem::Wrong(text)) => fail(WRONG, &text),
        Err(Problem::Failed(text)) => fail(FAILED, &text),
    }
}

fn loopback(addresses: &[SocketAddr]) -> Result<(), Problem> {
    let other = addresses.iter().find(|a| !a.ip().is_loopback());
    let said = |a: &SocketAddr| {
        Problem::Wrong(format!("{} is not loopback: stand-ins know 127.0.0.1 and [::1] only", a.ip()))
    };
    other.map_or(Ok(()), |a| Err(said(a)))
}

/// Says where it listens and stays until it is told to stop.
async fn stay(address: SocketAddr) {
    announce(&json!({ "address": address }));
    told_to_stop().await;
}

async fn start(standin: Standin) -> Result<(), Problem> {
    let recorder = Recorder::new(None);
    match standin {
        Standin::Checker { listen, cores, service_ms, key, cold_from, cold_seconds } => {
            loopback(&[listen])?;
            let cold = Cold { from: cold_from, seconds: cold_seconds, multiple: f64::INFINITY, fall: 1.0 };
            let spec = FakeBackendSpec {
                cores,
                service: service_ms / 1000.0,
                queue: QUEUE,
                cold: (cold_from < 1.0).then_some(cold),
                ring: ring(&key)?,
                me: String::new(),
                headers: ["x-weirusher-ticket".into(), "x-units".into()],
            };
            let checker = FakeBackend::start(listen, spec, recorder, 1).await?;
            stay(checker.address).await;
        }
        Standin::Counter { listen } => {
            loopback(&[listen])?;
            let counter = Counter::start(listen, recorder).await?;
            stay(counter.address).await;
        }
        Standin::Discovery { listen, checker } => {
            loopback(&[listen])?;
            let discovery = Discovery::start(listen, Duration::ZERO, recorder).await?;
            discovery.set(checker.iter().map(|address| Endpoint::warm(address.to_string())).collect());
            stay(discovery.address).await;
        }
        Standin::Edge { gatekeeper, prefix, customers, rate, seconds, path, patience_ms, capture } => {
            loopback(&gatekeeper)?;
            if !(rate > 0.0 && rate <= MOST.0 && seconds > 0.0 && seconds <= MOST.1 && customers > 0) {
                let text = format!("--rate up to {}, --seconds up to {}, --customers from 1", MOST.0, MOST.1);
                return Err(Problem::Wrong(text));
            }
            let sink = match capture {
                Some(file) => Some(Box::new(File::create(file)?) as Box<dyn io::Write + Send>),
                None => None,
            };
            let recorder = Recorder::new(sink);
            let edge = LoadGenerator::new(&gatekeeper, recorder.clone())
                .map_err(|e| Problem::Failed(e.to_string()))?;
            let tries = (0..customers * gatekeeper.len()).map(|n| Try {
                customer: format!("{prefix}{}", n % customers),
                class: (0, path.clone()),
                units: 1.0,
                patience: patience_ms / 1000.0,
                gk: n / customers,
                habits: BehaviourProfile::default(),
            });
            let tries: Vec<Try> = tries.collect();
            play(&edge, &tries, rate, seconds).await;
            recorder.flush();
        }
    }
    Ok(())
}

fn ring(key: &str) -> Result<Keyring, Problem> {
    let key = key
        .split_once(':')
        .and_then(|(id, secret)| Some(Key { id: id.parse().ok()?, secret: secret.as_bytes().to_vec() }));
    let ring = key.and_then(|key| Keyring::new(vec![key]));
    ring.ok_or_else(|| Problem::Wrong("--key is `id:secret`, such as 1:0123456789abcdef".into()))
}

/// Open arrivals: the next try does not wait for the last one's answer.
async fn play(edge: &std::sync::Arc<LoadGenerator>, tries: &[Try], rate: f64, seconds: f64) {
    let (mut rng, mut playing, mut skipped) = (fastrand::Rng::with_seed(1), JoinSet::new(), 0);
    let mut outcomes: Vec<Outcome> = Vec::new();
    let mut next = tokio::time::Instant::now();
    let end = next + Duration::from_secs_f64(seconds);
    loop {
        next += Duration::from_secs_f64(-rng.f64().max(1e-12).ln() / rate);
        if next >= end {
            break;
        }
        tokio::time::sleep_until(next).await;
        outcomes.extend(std::iter::from_fn(|| playing.try_join_next()).filter_map(Result::ok));
        if playing.len() >= MOST_OPEN {
            skipped += 1;
            continue;
        }
        let (edge, a_try) = (edge.clone(), tries[rng.usize(..tries.len())].clone());
        playing.spawn(async move { edge.play(&a_try).await });
    }
    outcomes.extend(playing.join_all().await);
    let mut ends: BTreeMap<Final, usize> = BTreeMap::new();
    outcomes.iter().for_each(|o| *ends.entry(o.end).or_default() += 1);
    let mut took: Vec<f64> =
        outcomes.iter().filter(|o| o.end == Final::Served).map(|o| o.took * 1000.0).collect();
    took.sort_by(f64::total_cmp);
    let at = |share: f64| took.get(((took.len() as f64 * share) as usize).min(took.len().saturating_sub(1)));
    announce(&json!({
        "tries": outcomes.len(), "not_made": skipped, "ends": ends,
        "served_p50_ms": at(0.5), "served_p99_ms": at(0.99),
    }));
}
