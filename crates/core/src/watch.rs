//! When the endpoint list is polled, over how many connections, and which polls are abandoned.
//!
//! The list is watched by long polls. A drain counts as notified as soon as the agent beside the gateway has it, so the
//! watch has to learn of it within a bounded time whatever became of earlier polls. A poll to an agent that was silent may
//! never be answered even though the agent is back. The watch therefore never waits for a single poll: while no response
//! comes it opens one further connection after another, and uses the first response on any of them.
//!
//! All times are in seconds.

use std::collections::VecDeque;
use weirusher::Time;

/// The wait of a long poll, as a fraction of the time within which the gateway has to stop sending to a draining backend.
/// With twice the grace it makes half of that time; the rest is for reading the list and acting on it.
const WAIT_FRACTION: f64 = 0.25;
/// The grace of a response, as a fraction of the same time.
const GRACE_FRACTION: f64 = 0.125;
/// Shortest grace: it bounds how often connections are opened.
const MIN_GRACE: f64 = 0.01;
/// Longest grace: it bounds how long silence goes unnoticed.
const MAX_GRACE: f64 = 0.5;
/// The timing where discovery itself is polled, to which each poll costs work. A change that a silent poll misses counts
/// as notified 6 s after the silence began at the earliest.
const DIRECT: PollTiming = PollTiming { wait: 4.0, grace: 0.75 };
/// Most connections at once. Beyond it the second oldest is closed: the oldest is kept because discovery may only be slow,
/// the later ones because it may have lost the first poll.
const MAX_CONNECTIONS: usize = 4;
/// The random fraction of a pause, so that the gateways of a fleet do not poll in step.
const JITTER: f64 = 0.25;

/// Identifies a connection to discovery.
pub type WatchConnection = u64;

/// How long a poll waits for a change, and how late its response may be, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PollTiming {
    /// How long discovery is asked to wait for a change.
    pub wait: f64,
    /// How long after the wait a response is given up and a further connection opened.
    pub grace: f64,
}

impl PollTiming {
    /// The timing for a gateway that has to stop sending to a draining backend `stop_within` seconds after it was
    /// notified. `direct`: discovery itself is polled, not an agent beside the gateway.
    pub fn new(stop_within: f64, direct: bool) -> Self {
        if direct {
            return DIRECT;
        }
        let grace = (GRACE_FRACTION * stop_within).clamp(MIN_GRACE, MAX_GRACE);
        Self { wait: WAIT_FRACTION / GRACE_FRACTION * grace, grace }
    }

    /// Most seconds from the moment that discovery answers again until a new poll is out.
    pub fn max_staleness(&self) -> f64 {
        self.wait + 2.0 * self.grace
    }
}

/// What the runtime has to do with a connection.
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
    /// A part of its response was received.
    response_started: bool,
}

/// The polls of the endpoint list.
#[derive(Debug)]
pub struct EndpointWatch {
    timing: PollTiming,
    rng: fastrand::Rng,
    /// The oldest first.
    polls: VecDeque<Poll>,
    /// The connection of the last response.
    last_responsive: Option<WatchConnection>,
    /// The connection that was opened last.
    last_opened: WatchConnection,
    last_opened_at: Time,
    /// When a further connection is opened, unless a response comes before.
    open_at: Time,
}

impl EndpointWatch {
    /// A watch that opens its first connection at `now`.
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

    /// Most seconds between two responses while discovery answers.
    pub fn max_staleness(&self) -> f64 {
        self.timing.max_staleness()
    }

    /// When [`EndpointWatch::handle_timeout`] has to be called next.
    pub fn next_timeout(&self) -> Time {
        self.open_at
    }

    /// Opens a further connection if no response came in time.
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

    /// A part of a response was received: the rest gets one more grace, once.
    pub fn handle_partial_response(&mut self, now: Time, connection: WatchConnection) {
        let starts = |poll: &mut Poll| {
            poll.connection == connection && !std::mem::replace(&mut poll.response_started, true)
        };
        if self.polls.iter_mut().any(starts) {
            self.open_at = self.open_at.max(now + self.timing.grace);
        }
    }

    /// A complete response was received: its connection carries the next poll, and the others are closed. `None` if the
    /// poll was abandoned before; its response must not be used.
    pub fn handle_response(&mut self, now: Time, connection: WatchConnection) -> Option<Vec<WatchOutput>> {
        self.polls.iter().find(|poll| poll.connection == connection)?;
        let others = self.polls.drain(..).filter(|poll| poll.connection != connection);
        let outputs = others.map(|poll| WatchOutput::Close(poll.connection)).collect();
        self.polls.push_back(Poll { connection, response_started: false });
        self.last_responsive = Some(connection);
        self.open_at = now + self.timing.wait + self.timing.grace;
        Some(outputs)
    }

    /// A connection failed or brought an unusable response. If it was the last responsive one, another is opened at once,
    /// but at most one per grace: discovery may close every connection.
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
