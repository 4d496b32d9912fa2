//! Schedules the polls of the endpoint list: when to poll, over how many connections, and which polls to
//! abandon.
//!
//! The list is watched by long polls, either of a discovery agent beside the gateway or of discovery itself.
//! The gateway counts as notified of a drain as soon as the agent knows of it. So the watch must learn of it
//! within a bounded time, whatever happened to earlier polls. A poll of an agent that did not respond may
//! never be answered, even after the agent has recovered. The watch therefore never relies on a single poll:
//! while no response arrives, it opens one connection after another, and uses the first response on any of
//! them.
//!
//! All times are in seconds.

use std::collections::VecDeque;
use weirusher::Time;

/// The wait of a long poll, as a fraction of the time within which the gateway must stop sending to a
/// draining backend. `wait + 2 * grace` is half of that time, unless the grace period is at one of its
/// limits; the rest is for reading the list and acting on it.
const WAIT_FRACTION: f64 = 0.25;
/// The grace period of a response, as a fraction of the same time.
const GRACE_FRACTION: f64 = 0.125;
/// Shortest grace period in seconds. Bounds how often connections are opened.
const MIN_GRACE: f64 = 0.01;
/// Longest grace period in seconds. Bounds how long a lack of responses goes undetected.
const MAX_GRACE: f64 = 0.5;
/// The timing if discovery itself is polled, where each poll costs discovery work. If a change is missed
/// because discovery does not respond, the gateway counts as notified of it no earlier than 6 s after
/// discovery stopped responding; `wait + 2 * grace` is less.
const DIRECT: PollTiming = PollTiming { wait: 4.0, grace: 0.75 };
/// Maximum number of open connections. To open another, the second oldest is closed: the oldest may still be
/// answered if discovery is slow, the newest ones if discovery has lost the first poll.
const MAX_CONNECTIONS: usize = 4;
/// Random fraction of the pause before another connection is opened, so that the gateways of a fleet do not
/// poll in lockstep.
const JITTER: f64 = 0.25;

/// Identifies a connection to discovery.
pub type WatchConnection = u64;

/// How long a poll waits for a change, and how late its response may be, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PollTiming {
    /// How long discovery is asked to wait for a change.
    pub wait: f64,
    /// How long after the wait the response is considered missing and another connection is opened.
    pub grace: f64,
}

impl PollTiming {
    /// Returns the timing for a gateway that must stop sending to a draining backend `stop_within` seconds
    /// after it was notified. `direct` means that discovery itself is polled, not an agent beside the
    /// gateway.
    pub fn new(stop_within: f64, direct: bool) -> Self {
        if direct {
            return DIRECT;
        }
        let grace = (GRACE_FRACTION * stop_within).clamp(MIN_GRACE, MAX_GRACE);
        Self { wait: WAIT_FRACTION / GRACE_FRACTION * grace, grace }
    }

    /// Maximum time, in seconds, between two responses while discovery responds in time, and from the time at
    /// which it responds again until the next response.
    pub fn max_staleness(&self) -> f64 {
        self.wait + 2.0 * self.grace
    }
}

/// What the runtime must do with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchOutput {
    /// Open it and poll for the complete list.
    Open(WatchConnection),
    /// Close it and abandon its poll.
    Close(WatchConnection),
}

/// A connection with a poll in flight.
#[derive(Debug, Clone, Copy)]
struct Poll {
    connection: WatchConnection,
    /// Whether part of its response was received.
    response_started: bool,
}

/// The polls of the endpoint list.
#[derive(Debug)]
pub struct EndpointWatch {
    timing: PollTiming,
    rng: fastrand::Rng,
    /// Oldest first.
    polls: VecDeque<Poll>,
    /// The connection of the last response.
    last_responsive: Option<WatchConnection>,
    /// The connection that was opened last.
    last_opened: WatchConnection,
    last_opened_at: Time,
    /// When another connection is opened, unless a response arrives before.
    open_at: Time,
}

impl EndpointWatch {
    /// Creates a watch that opens its first connection at `now`. `seed` seeds the jitter.
    pub fn new(now: Time, timing: PollTiming, seed: u64) -> Self {
        Self {
            timing,
            rng: fastrand::Rng::with_seed(seed),
            polls: VecDeque::new(),
            last_responsive: None,
            last_opened: 0,
            last_opened_at: f64::NEG_INFINITY,
            open_at: now,
        }
    }

    /// Seconds that a poll asks discovery to wait for a change.
    pub fn wait(&self) -> f64 {
        self.timing.wait
    }

    /// Maximum time, in seconds, between two responses while discovery responds in time.
    pub fn max_staleness(&self) -> f64 {
        self.timing.max_staleness()
    }

    /// When [`EndpointWatch::handle_timeout`] must be called next.
    pub fn next_timeout(&self) -> Time {
        self.open_at
    }

    /// Opens another connection if no response arrived in time.
    pub fn handle_timeout(&mut self, now: Time) -> Vec<WatchOutput> {
        let mut outputs = Vec::new();
        if now < self.open_at {
            return outputs;
        }
        if self.polls.len() >= MAX_CONNECTIONS {
            outputs.extend(self.polls.remove(1).map(|poll| WatchOutput::Close(poll.connection)));
        }
        self.last_opened += 1;
        self.polls.push_back(Poll { connection: self.last_opened, response_started: false });
        (self.last_opened_at, self.open_at) = (now, now + self.pause());
        outputs.push(WatchOutput::Open(self.last_opened));
        outputs
    }

    /// Handles the first part of a response. The rest of it gets one more grace period, once.
    pub fn handle_partial_response(&mut self, now: Time, connection: WatchConnection) {
        let starts = |poll: &mut Poll| {
            poll.connection == connection && !std::mem::replace(&mut poll.response_started, true)
        };
        if self.polls.iter_mut().any(starts) {
            self.open_at = self.open_at.max(now + self.timing.grace);
        }
    }

    /// Handles a complete response: its connection carries the next poll, and the others are closed. `None`
    /// if the poll was already abandoned; its response must not be used.
    pub fn handle_response(&mut self, now: Time, connection: WatchConnection) -> Option<Vec<WatchOutput>> {
        self.polls.iter().find(|poll| poll.connection == connection)?;
        let others = self.polls.drain(..).filter(|poll| poll.connection != connection);
        let outputs = others.map(|poll| WatchOutput::Close(poll.connection)).collect();
        self.polls.push_back(Poll { connection, response_started: false });
        self.last_responsive = Some(connection);
        self.open_at = now + self.timing.wait + self.timing.grace;
        Some(outputs)
    }

    /// Handles a connection that failed or returned an unusable response. If it was the last responsive one,
    /// another is opened at once, but at most one per grace period, because discovery may be closing every
    /// connection.
    pub fn handle_closed(&mut self, now: Time, connection: WatchConnection) {
        self.polls.retain(|poll| poll.connection != connection);
        if self.last_responsive == Some(connection) {
            self.last_responsive = None;
            self.open_at = self.open_at.min(now.max(self.last_opened_at + self.timing.grace));
        }
    }

    fn pause(&mut self) -> f64 {
        self.timing.grace * (1.0 - JITTER * self.rng.f64())
    }
}

#[cfg(test)]
mod tests;
