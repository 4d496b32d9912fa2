//! Timing of the polls, and recovery after polls that failed.

use super::*;

const TIMING: PollTiming = PollTiming { wait: 0.1, grace: 0.1 };

fn opened(outputs: &[WatchOutput]) -> Vec<WatchConnection> {
    let opened = |output: &WatchOutput| match output {
        WatchOutput::Open(connection) => Some(*connection),
        WatchOutput::Close(_) => None,
    };
    outputs.iter().filter_map(opened).collect()
}

#[test]
fn polling_takes_at_most_half_the_time_to_stop_sending() {
    for stop_within in [0.12, 0.5, 1.0, 2.0, 6.0, 600.0] {
        let timing = PollTiming::new(stop_within, false);
        assert!(timing.max_staleness() <= stop_within / 2.0 + 1e-9, "{stop_within}");
    }
    // If a poll of discovery itself misses a change, the gateway counts as notified after 6 s, or 2 s after
    // the poll's wait.
    let direct = PollTiming::new(0.5, true);
    assert!(direct.max_staleness() < 6.0 && direct.wait + direct.grace < direct.wait + 2.0);
}

#[test]
fn the_first_response_abandons_all_other_polls() {
    let mut watch = EndpointWatch::new(0.0, TIMING, 1);
    let mut now = 0.0;
    while watch.last_opened < 9 {
        now = watch.next_timeout();
        watch.handle_timeout(now);
    }
    assert_eq!(
        watch.polls.iter().map(|poll| poll.connection).collect::<Vec<_>>(),
        [1, 7, 8, 9],
        "the oldest is kept"
    );
    let closed = [1, 7, 9].map(WatchOutput::Close);
    assert_eq!(watch.handle_response(now, 8), Some(closed.to_vec()));
    assert_eq!(watch.handle_response(now, 9), None, "the poll was abandoned");
    assert!(watch.handle_timeout(now + 0.19).is_empty());
    assert_eq!(opened(&watch.handle_timeout(now + 0.2)), [10]);
}

#[test]
fn an_agent_that_closes_every_connection_is_polled_with_a_pause() {
    let mut watch = EndpointWatch::new(0.0, TIMING, 1);
    let mut polls = 0;
    let mut now = 0.0;
    while now < 10.0 {
        for connection in opened(&watch.handle_timeout(now)) {
            polls += 1;
            watch.handle_response(now, connection);
            watch.handle_closed(now, connection);
        }
        now = watch.next_timeout();
    }
    assert!((90..=101).contains(&polls), "{polls}");
}

/// Simulates an agent that until some time does not respond, resets connections, responds late or stops
/// within a response, and after that time responds at once. Returns that time and the arrival time of the
/// complete list.
fn recovery(timing: PollTiming, seed: u64) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut watch, back) = (
        EndpointWatch::new(0.0, timing, seed),
        rng.f64() * 3.0 * timing.max_staleness() / TIMING.max_staleness(),
    );
    // When each poll's response arrives (`true`) or its connection ends (`false`). An unanswered poll has no
    // entry.
    let mut ends: Vec<(f64, WatchConnection, bool)> = Vec::new();
    let mut now = 0.0;
    loop {
        let next = ends.iter().map(|e| e.0).fold(watch.next_timeout(), f64::min);
        now = next.max(now);
        if let Some(at) = ends.iter().position(|e| e.0 <= now) {
            let (_, connection, complete) = ends.swap_remove(at);
            if !complete {
                watch.handle_closed(now, connection);
            } else if let Some(outputs) = watch.handle_response(now, connection) {
                ends.retain(|e| !outputs.contains(&WatchOutput::Close(e.1)));
                if now >= back {
                    return (back, now);
                }
                // A poll that is in flight when the agent stops responding may be lost too.
                if rng.bool() {
                    ends.push((now + watch.wait() + rng.f64() * 0.3, connection, rng.bool()));
                }
            }
            continue;
        }
        for output in watch.handle_timeout(now) {
            let WatchOutput::Open(connection) = output else {
                if let WatchOutput::Close(connection) = output {
                    ends.retain(|e| e.1 != connection);
                }
                continue;
            };
            if now >= back {
                ends.push((now, connection, true));
            } else if rng.bool() {
                watch.handle_partial_response(now, connection);
            } else if rng.bool() {
                ends.push((now + rng.f64() * 0.5, connection, rng.bool()));
            }
        }
        assert!(watch.polls.len() <= MAX_CONNECTIONS);
    }
}

#[test]
fn the_list_arrives_within_the_bound_after_failed_polls() {
    // An agent beside the gateway, and discovery itself, whose changes count as notified 6 s later.
    for timing in [TIMING, PollTiming::new(0.5, true)] {
        let runs = (0..20_000).map(|seed| recovery(timing, seed));
        let worst = runs.map(|(back, arrived)| arrived - back).fold(0.0, f64::max);
        assert!(worst <= timing.max_staleness() + 1e-9 && timing.max_staleness() <= 5.5, "{worst}");
        assert!(worst > timing.grace, "the simulated failures are too mild: {worst}");
    }
}
