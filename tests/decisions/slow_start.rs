//! Slow start in a fleet: how much all gateways together send to backends that have just started.

use crate::fleet::{endpoints, fleet, seeded_fleet, serve_one};
use crate::harness::{endpoint, settings_without_quota};
use weirusher::{EndpointListKind, Lifecycle, Settings};

/// The requests that backends were sent before and after some of them restarted.
struct Restart {
    /// Mean requests per second sent to a backend before the restart.
    rate_before: f64,
    /// For each restarted backend, the requests sent to it in each second after the restart.
    sent_after: Vec<[f64; 5]>,
}

/// Restarts the first `restarted` of `count` backends; all gateways of the fleet are notified at the same time.
fn restart_backends(settings: &Settings, gateways: u32, count: u32, restarted: u32, seed: u64) -> Restart {
    const STEPS: u32 = 120;
    const RESTART_STEP: u32 = 70;
    const STEPS_PER_SECOND: u32 = 10;
    let mut fleet = seeded_fleet(gateways, settings, &endpoints(count), seed);
    let (mut sent_before, mut sent_after) = (0.0, vec![[0.0; 5]; restarted as usize]);
    for step in 0..STEPS {
        let now = 100.0 + f64::from(step) * 0.1;
        for (i, harness) in fleet.iter_mut().enumerate() {
            harness.now = now;
            if step == RESTART_STEP {
                let started_now = |i| endpoint(&format!("s{i:03}"), Lifecycle::Running, now);
                harness.update_endpoints(EndpointListKind::Delta, (0..restarted).map(started_now).collect());
            }
            if (i as u32 + step) % 5 != 0 {
                continue;
            }
            let backend = serve_one(harness, &format!("{i}-{step}"), gateways);
            if step < RESTART_STEP {
                sent_before += f64::from(u8::from(backend.is_some()));
                continue;
            }
            let index = backend.and_then(|backend| backend[1..].parse::<usize>().ok());
            if let Some(seconds) = index.and_then(|index| sent_after.get_mut(index)) {
                seconds[((step - RESTART_STEP) / STEPS_PER_SECOND) as usize] += 1.0;
            }
        }
    }
    let seconds_before = f64::from(RESTART_STEP) / f64::from(STEPS_PER_SECOND);
    Restart { rate_before: sent_before / seconds_before / f64::from(count), sent_after }
}

/// Hundreds of gateways are notified of a restart at the same time. The backend is not overloaded in any run, and
/// the mean load over all runs keeps the planned margin below an overload.
#[test]
fn many_gateways_do_not_overload_a_restarted_backend() {
    const RUNS: u64 = 10;
    let settings = settings_without_quota();
    for (gateways, count) in [(200, 9), (200, 60)] {
        let runs: Vec<_> =
            (0..RUNS).map(|seed| restart_backends(&settings, gateways, count, 1, seed)).collect();
        let rate = runs.iter().map(|run| run.rate_before).sum::<f64>() / RUNS as f64;
        for age in 0..5 {
            let warm_up = settings.slow_start_min_capacity
                + (1.0 - settings.slow_start_min_capacity) * age as f64 / settings.slow_start_seconds;
            let planned = settings.overload_multiple * warm_up * rate * settings.overload_seconds;
            let allowed = planned + 3.0 * planned.sqrt() + 3.0;
            let max = runs.iter().map(|run| run.sent_after[0][age]).fold(0.0, f64::max);
            let mean = runs.iter().map(|run| run.sent_after[0][age]).sum::<f64>() / RUNS as f64;
            assert!(max <= allowed, "{max} sent at an age of {age} s, allowed are {allowed}");
            assert!(mean <= 0.7 * planned, "mean of {mean} sent at an age of {age} s, {planned} overload it");
        }
        // The guaranteed capacity is used: if half of the backends have restarted, the fleet needs that half.
        let min_capacity = settings.slow_start_min_capacity;
        let capacity = (min_capacity + (1.0 - min_capacity) * 0.25) * rate * 5.0;
        let sent = runs.iter().map(|run| run.sent_after[0].iter().sum::<f64>()).sum::<f64>() / RUNS as f64;
        assert!(sent >= 0.4 * capacity, "{sent} sent in its first 5 s, guaranteed capacity is {capacity}");
    }
}

/// Guards against a budget that is only an even share of the load: it would leave half of the capacity unused when
/// half of the backends have restarted.
#[test]
fn a_half_restarted_fleet_uses_the_overload_multiple() {
    let sent = |overload_multiple: f64| {
        let mut settings = settings_without_quota();
        settings.overload_multiple = overload_multiple;
        let restart = restart_backends(&settings, 200, 60, 30, 0);
        restart.sent_after.iter().flatten().sum::<f64>()
    };
    let (two, four) = (sent(2.0), sent(4.0));
    assert!(four >= 1.7 * two && two > 0.0, "{two} sent with a multiple of 2, {four} with 4");
}

/// Returns how many requests may be sent to a backend in slow start in any period of `overload_seconds` if the
/// settings allow `n`: `n` plus a tolerance for random arrivals.
fn allowed(n: f64) -> f64 {
    if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 }
}

/// Like [`allowed`], but without the larger tolerance for small `n`.
fn strictly_allowed(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

/// A change of an endpoint list of twelve backends, and the traffic around it.
#[derive(Debug, Clone, Copy)]
struct ListChange {
    /// Mean requests per second sent to a backend: 70 % of its capacity.
    rate: f64,
    /// Fraction by which the traffic rises above and falls below its mean.
    swing: f64,
    /// Number of backends that remain in the list.
    remaining: u32,
    /// How many of the remaining backends have restarted.
    restarted: u32,
}

/// Returns the maximum excess, over any period of `overload_seconds`, of the requests sent to a restarted backend
/// over those `allowed`. Gateways of unequal load are notified of the change at the same time.
fn excess_in_slow_start(gateways: u32, change: ListChange, allowed: fn(f64) -> f64, seed: u64) -> f64 {
    const BACKENDS: u32 = 12;
    const TICK_SECONDS: f64 = 0.02;
    /// Maximum ratio between the loads of two gateways.
    const MAX_LOAD_RATIO: f64 = 8.0;
    const CHANGE_AT: f64 = 106.0;
    let mut settings = settings_without_quota();
    (settings.overload_multiple, settings.overload_seconds) = (4.0, 1.0);
    (settings.slow_start_min_capacity, settings.slow_start_seconds) = (0.25, 10.0);
    let mut rng = fastrand::Rng::with_seed(seed);
    let weights: Vec<f64> = (0..gateways).map(|_| 1.0 + (MAX_LOAD_RATIO - 1.0) * rng.f64().powi(4)).collect();
    let sum: f64 = weights.iter().sum();
    let mut fleet = fleet(gateways, &settings, &endpoints(BACKENDS));
    let mut arrivals: Vec<f64> = Vec::new();
    let mut changed = false;
    for tick in 0..800 {
        let now = 100.0 + f64::from(tick) * TICK_SECONDS;
        if !changed && now >= CHANGE_AT {
            changed = true;
            for harness in &mut fleet {
                harness.now = now;
                let mut list = endpoints(change.remaining);
                for endpoint in list.iter_mut().take(change.restarted as usize) {
                    endpoint.started = CHANGE_AT;
                }
                harness.update_endpoints(EndpointListKind::Snapshot, list);
            }
        }
        let high = ((now - CHANGE_AT) / 2.5).floor() as i64 % 2 != 0;
        let traffic = if high { 1.0 + change.swing } else { 1.0 - change.swing };
        for (i, harness) in fleet.iter_mut().enumerate() {
            let rate = change.rate * f64::from(BACKENDS) * traffic * weights[i] / sum;
            harness.now = now;
            if rng.f64() < rate * TICK_SECONDS {
                let backend = serve_one(harness, &format!("{i}-{tick}"), gateways);
                if backend.as_deref() == Some("s000") && now >= CHANGE_AT {
                    arrivals.push(now);
                }
            }
        }
    }
    let sent_until = |at: f64| {
        arrivals.iter().filter(|a| **a > at - settings.overload_seconds && **a <= at).count() as f64
    };
    let allowed_at = |at: f64| allowed(planned_requests(&settings, change.rate, at - CHANGE_AT));
    arrivals.iter().map(|at| sent_until(*at) - allowed_at(*at)).fold(f64::NEG_INFINITY, f64::max)
}

/// Returns the requests that the settings allow in a period of `overload_seconds` to a backend that restarted `age`
/// seconds ago and is sent `rate` requests per second on average.
fn planned_requests(settings: &Settings, rate: f64, age: f64) -> f64 {
    let warmed_up = (age / settings.slow_start_seconds).clamp(0.0, 1.0);
    let warm_up = settings.slow_start_min_capacity + (1.0 - settings.slow_start_min_capacity) * warmed_up;
    settings.overload_multiple * warm_up * (rate / 0.7) * settings.overload_seconds
}

fn assert_no_excess(gateways: &[u32], changes: &[ListChange], allowed: fn(f64) -> f64) {
    for &gateways in gateways {
        for &change in changes {
            for seed in 0..10 {
                let excess = excess_in_slow_start(gateways, change, allowed, seed);
                assert!(
                    excess <= 0.0,
                    "{excess} requests too many: {gateways} gateways, {change:?}, seed {seed}"
                );
            }
        }
    }
}

/// Each gateway plans its part on its own. The sum stays within the limit for any number of gateways, with one or
/// half of the backends restarted, and also if half of the list is removed at the same time.
#[test]
fn slow_start_limit_is_kept_with_any_number_of_gateways() {
    let changes = [
        ListChange { rate: 1.0, swing: 0.5, remaining: 12, restarted: 1 },
        ListChange { rate: 2.0, swing: 0.9, remaining: 12, restarted: 6 },
        ListChange { rate: 5.0, swing: 0.9, remaining: 6, restarted: 1 },
        ListChange { rate: 10.0, swing: 0.5, remaining: 6, restarted: 3 },
    ];
    assert_no_excess(&[1, 2, 4, 20, 30, 300, 900], &changes, strictly_allowed);
}

/// Guards against a budget that rises with the load per remaining backend, as the capacity of a backend in slow
/// start does not rise. At least two thirds of the list are removed.
#[test]
fn slow_start_budget_does_not_rise_as_the_list_shrinks() {
    let changes = [
        ListChange { rate: 1.0, swing: 0.5, remaining: 4, restarted: 1 },
        ListChange { rate: 5.0, swing: 0.9, remaining: 4, restarted: 1 },
        ListChange { rate: 10.0, swing: 0.5, remaining: 4, restarted: 2 },
        ListChange { rate: 40.0, swing: 0.5, remaining: 4, restarted: 1 },
        ListChange { rate: 40.0, swing: 0.5, remaining: 3, restarted: 1 },
    ];
    assert_no_excess(&[1, 4, 20, 30, 300], &changes, allowed);
}

/// Guards against units that all gateways save while their traffic is low and spend together as it rises.
/// Three quarters of the list are removed.
#[test]
fn saved_units_are_not_spent_together() {
    let change = |rate, swing| ListChange { rate, swing, remaining: 3, restarted: 1 };
    let changes: Vec<_> =
        [1.0, 5.0, 10.0, 40.0].into_iter().flat_map(|rate| [change(rate, 0.0), change(rate, 0.9)]).collect();
    assert_no_excess(&[1, 30, 300, 900], &changes, allowed);
    for rate in [5.0, 10.0] {
        for seed in 100..160 {
            let excess = excess_in_slow_start(300, change(rate, 0.9), allowed, seed);
            assert!(excess <= 0.0, "{excess} requests too many: rate {rate}, seed {seed}");
        }
    }
}
