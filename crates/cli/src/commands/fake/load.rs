//! `fake load-generator`: generates load for gateways that are already running.

use super::{MS_PER_SECOND, fake_failed, require_loopback};
use crate::arguments::LoadArguments;
use crate::error::CommandError;
use crate::output::print_json;
use serde_json::json;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use weirusher_fakes::{
    BehaviourProfile, ClientOutcome, ClientRequest, LoadGenerator, Recorder, RequestOutcome,
};

/// Requests that may be pending at once. Further ones are not sent, only counted.
const MAX_PENDING: usize = 4096;
/// Largest accepted rate, in requests per second.
const MAX_RATE: f64 = 10_000.0;
/// Longest accepted duration, in seconds; a load always ends by itself.
const MAX_SECONDS: f64 = 3600.0;
/// Seed of the random arrival times, customers and gateways.
const SEED: u64 = 1;

/// The outcome of a load.
struct LoadResult {
    outcomes: Vec<RequestOutcome>,
    /// Requests that were not sent because too many were pending.
    not_sent: u64,
}

/// Generates the load and prints the outcomes of its requests.
pub async fn run(arguments: LoadArguments) -> Result<(), CommandError> {
    let LoadArguments { gateway, customers, rate, seconds, .. } = &arguments;
    require_loopback(gateway)?;
    let rate_valid = *rate > 0.0 && *rate <= MAX_RATE;
    let seconds_valid = *seconds > 0.0 && *seconds <= MAX_SECONDS;
    if !(rate_valid && seconds_valid && *customers > 0) {
        return Err(CommandError::Load { max_rate: MAX_RATE, max_seconds: MAX_SECONDS });
    }
    let sink = match &arguments.capture {
        Some(file) => Some(Box::new(File::create(file).map_err(fake_failed)?) as Box<dyn io::Write + Send>),
        None => None,
    };
    let recorder = Recorder::new(sink);
    let generator =
        LoadGenerator::new(gateway, recorder.clone()).map_err(|error| CommandError::Fake(error.into()))?;
    let result = generate(&generator, &requests(&arguments), *rate, *seconds).await;
    recorder.flush();
    print_result(&result);
    Ok(())
}

/// The requests that the load draws from: one for each pair of customer and gateway.
fn requests(arguments: &LoadArguments) -> Vec<ClientRequest> {
    let customers = arguments.customers;
    let request = |number: usize| ClientRequest {
        customer: format!("{}{}", arguments.prefix, number % customers),
        class: 0,
        path: arguments.path.clone(),
        units: 1.0,
        deadline_seconds: arguments.deadline_ms / MS_PER_SECOND,
        gateway: number / customers,
        behaviour: BehaviourProfile::default(),
    };
    (0..customers * arguments.gateway.len()).map(request).collect()
}

/// Sends requests in an open loop with Poisson arrivals: a request does not wait for earlier responses.
async fn generate(
    generator: &Arc<LoadGenerator>,
    requests: &[ClientRequest],
    rate: f64,
    seconds: f64,
) -> LoadResult {
    let (mut rng, mut pending) = (fastrand::Rng::with_seed(SEED), JoinSet::new());
    let mut result = LoadResult { outcomes: Vec::new(), not_sent: 0 };
    let mut next = Instant::now();
    let end = next + Duration::from_secs_f64(seconds);
    loop {
        next += Duration::from_secs_f64(-rng.f64().max(1e-12).ln() / rate);
        if next >= end {
            break;
        }
        tokio::time::sleep_until(next).await;
        result.outcomes.extend(std::iter::from_fn(|| pending.try_join_next()).filter_map(Result::ok));
        if pending.len() >= MAX_PENDING {
            result.not_sent += 1;
            continue;
        }
        let (generator, request) = (generator.clone(), requests[rng.usize(..requests.len())].clone());
        pending.spawn(async move { generator.send_request(&request).await });
    }
    result.outcomes.extend(pending.join_all().await);
    result
}

fn print_result(result: &LoadResult) {
    let mut outcomes: BTreeMap<ClientOutcome, usize> = BTreeMap::new();
    result.outcomes.iter().for_each(|request| *outcomes.entry(request.outcome).or_default() += 1);
    let served = result.outcomes.iter().filter(|request| request.outcome == ClientOutcome::Served);
    let mut latencies_ms: Vec<f64> = served.map(|request| request.latency_seconds * MS_PER_SECOND).collect();
    latencies_ms.sort_by(f64::total_cmp);
    let quantile = |quantile: f64| {
        let index = (latencies_ms.len() as f64 * quantile) as usize;
        latencies_ms.get(index.min(latencies_ms.len().saturating_sub(1)))
    };
    print_json(&json!({
        "tries": result.outcomes.len(), "not_made": result.not_sent, "ends": outcomes,
        "served_p50_ms": quantile(0.5), "served_p99_ms": quantile(0.99),
    }));
}
