//! The one place that decides whether work may be accepted, started, repeated or ended now.
//!
//! One rule stands behind all of it: work may begin only while everyone who answers for it will still be there at its
//! end. These are the client (its connection and its deadline), the process (its shutdown), the backend (its place in
//! the list, and the time within which a repeat is recognized) and the request itself (its response is still owed).
//! Whoever is about to accept, send, repeat or close asks here in that moment, not earlier: what was true when the
//! decision was made may have ended since.
//!
//! The decisions of the module keep to the same rule by themselves. Where one does not, the step is not taken, and
//! [`Violations`] counts it.

use crate::shutdown::{Shutdown, longest_deadline};
use std::fmt;
use weirusher::{Class, Idempotency, Reason, Settings, Time};

/// Seconds before a client's deadline by which its response is on its way: the way there, which the client counts too,
/// and a process that was kept from running for a moment.
const RESPONSE_LEAD: f64 = 0.02;
/// The share of a client's time that the lead takes at most, so that short ones keep most of theirs.
const RESPONSE_LEAD_SHARE: f64 = 0.1;
/// The longest that a process is held up between reading its clock and writing, in seconds: what is written in a window
/// has to get there all the same.
pub(crate) const HELD_UP: f64 = 0.15;
/// Seconds that have to be left of a shutdown for a request to be accepted: with less it is refused, which does no harm.
const LEAST_TIME: f64 = 0.05;

/// How an earlier attempt of a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// No end of it is known.
    Out,
    /// It surely never ran.
    NeverRan,
    /// It may have run.
    MayHaveRun,
}

/// An earlier attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Earlier {
    /// When it was sent.
    pub sent: Time,
    /// How it stands.
    pub progress: Progress,
}

/// What stands behind an attempt as its first byte is about to be written.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendCheck {
    /// By when the request's response is owed; `None`: it has it, or its client is gone.
    pub deadline: Option<Time>,
    /// When the attempt is given up; `None`: it was ended already.
    pub give_up: Option<Time>,
    /// Its last byte must be on its way by then.
    pub send_by: Time,
    /// Its server is in the list and takes new requests.
    pub listed: bool,
}

/// How long an attempt that may be sent has.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendLimits {
    /// Seconds until it is given up: what its server is told.
    pub timeout: f64,
    /// Seconds within which its last byte must be on its way.
    pub send_within: f64,
}

/// Why an attempt is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blocked {
    /// Its request has its response, or its client is gone.
    NotPending,
    /// Its client has just closed or reset its connection.
    ClientGone,
    /// The attempt was ended before it began.
    Ended,
    /// Its request's deadline has come.
    DeadlineExceeded,
    /// Its effect might come twice: its window is over, or is before it surely gets there.
    WindowOver,
    /// Its server leaves, or left.
    ServerLeft,
}

impl fmt::Display for Blocked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotPending => "not_pending",
            Self::ClientGone => "client_gone",
            Self::Ended => "ended",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::WindowOver => "window_over",
            Self::ServerLeft => "server_left",
        })
    }
}

/// A decision that would have broken a rule, and was not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// An attempt beyond the most that a request may have.
    TooManyAttempts,
    /// Two attempts out at once where that is not allowed.
    SecondAttemptOut,
    /// A repeat of what may have run, and must run once at most.
    UnsafeRepeat,
    /// A repeat after the time within which it is recognized as one.
    RepeatAfterWindow,
    /// A connection closed with a request that was read and has no response.
    ClosedUnanswered,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooManyAttempts => "too_many_attempts",
            Self::SecondAttemptOut => "second_attempt_out",
            Self::UnsafeRepeat => "unsafe_repeat",
            Self::RepeatAfterWindow => "repeat_after_window",
            Self::ClosedUnanswered => "closed_unanswered",
        })
    }
}

/// How often each violation was found; all are 0 in a program without faults.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Violations {
    /// See [`Violation::TooManyAttempts`].
    pub too_many_attempts: u64,
    /// See [`Violation::SecondAttemptOut`].
    pub second_attempt_out: u64,
    /// See [`Violation::UnsafeRepeat`].
    pub unsafe_repeat: u64,
    /// See [`Violation::RepeatAfterWindow`].
    pub repeat_after_window: u64,
    /// See [`Violation::ClosedUnanswered`].
    pub closed_unanswered: u64,
}

impl Violations {
    /// All of them together.
    pub fn total(&self) -> u64 {
        self.too_many_attempts
            + self.second_attempt_out
            + self.unsafe_repeat
            + self.repeat_after_window
            + self.closed_unanswered
    }

    fn add(&mut self, violation: Violation) {
        *match violation {
            Violation::TooManyAttempts => &mut self.too_many_attempts,
            Violation::SecondAttemptOut => &mut self.second_attempt_out,
            Violation::UnsafeRepeat => &mut self.unsafe_repeat,
            Violation::RepeatAfterWindow => &mut self.repeat_after_window,
            Violation::ClosedUnanswered => &mut self.closed_unanswered,
        } += 1;
    }
}

/// Decides what may happen now, and counts what may not have.
#[derive(Debug)]
pub struct Guard {
    classes: Vec<Class>,
    max_attempts: usize,
    hedging: bool,
    shutdown: Option<Shutdown>,
    violations: Violations,
}

impl Guard {
    /// A guard by the settings of a gateway that runs.
    pub fn new(settings: &Settings) -> Self {
        Self {
            classes: settings.classes.clone(),
            max_attempts: settings.max_attempts as usize,
            hedging: settings.hedging,
            shutdown: None,
            violations: Violations::default(),
        }
    }

    /// The process was told to stop; the first time counts.
    pub fn stop(&mut self, now: Time) -> Shutdown {
        *self.shutdown.get_or_insert(Shutdown::new(now, longest_deadline(&self.classes)))
    }

    /// What was found so far.
    pub fn violations(&self) -> Violations {
        self.violations
    }

    /// Whether a request that was read now may be accepted, and by when its response has to be on its way: before its
    /// client's deadline, `client_waits` seconds from now, and before the end of the process.
    ///
    /// # Errors
    /// Why it is refused at once.
    pub fn accept(&self, now: Time, client_waits: f64) -> Result<Time, Reason> {
        if client_waits <= 0.0 {
            return Err(Reason::DeadlineExceeded);
        }
        let lead = RESPONSE_LEAD.min(RESPONSE_LEAD_SHARE * client_waits);
        let deadline = now + client_waits - lead;
        match self.shutdown {
            None => Ok(deadline),
            Some(shutdown) if now + LEAST_TIME > shutdown.respond_by() => Err(Reason::Stopping),
            Some(shutdown) => Ok(deadline.min(shutdown.respond_by())),
        }
    }

    /// Whether a connection may bring further requests: past the moment for the last response none could be answered,
    /// and what is not read is sent elsewhere.
    pub fn may_read(&self, now: Time) -> bool {
        self.shutdown.is_none_or(|shutdown| now < shutdown.respond_by())
    }

    /// Whether an attempt's first byte may be written now.
    ///
    /// # Errors
    /// Why not.
    pub fn may_send(&self, now: Time, check: &SendCheck) -> Result<SendLimits, Blocked> {
        let deadline = check.deadline.ok_or(Blocked::NotPending)?;
        let give_up = check.give_up.ok_or(Blocked::Ended)?;
        let limits =
            SendLimits { timeout: give_up.min(deadline) - now, send_within: check.send_by - now - HELD_UP };
        if limits.timeout <= 0.0 {
            return Err(Blocked::DeadlineExceeded);
        }
        if limits.send_within <= 0.0 {
            return Err(Blocked::WindowOver);
        }
        if check.listed { Ok(limits) } else { Err(Blocked::ServerLeft) }
    }

    /// Whether a request of a class may have one more attempt, after these.
    ///
    /// # Errors
    /// The rule that it would break; it is counted.
    pub fn may_repeat(&mut self, now: Time, class: usize, earlier: &[Earlier]) -> Result<(), Violation> {
        match self.repeat_violation(now, class, earlier) {
            None => Ok(()),
            Some(violation) => {
                self.violations.add(violation);
                Err(violation)
            }
        }
    }

    fn repeat_violation(&self, now: Time, class: usize, earlier: &[Earlier]) -> Option<Violation> {
        if earlier.len() >= self.max_attempts.max(1) {
            return Some(Violation::TooManyAttempts);
        }
        let effect = self.classes.get(class).map_or(Idempotency::NonIdempotent, |class| class.idempotency);
        let hedges = self.hedging && effect != Idempotency::NonIdempotent;
        if !hedges && earlier.iter().any(|attempt| attempt.progress == Progress::Out) {
            return Some(Violation::SecondAttemptOut);
        }
        let first = earlier.iter().find(|attempt| attempt.progress != Progress::NeverRan)?;
        match effect {
            Idempotency::Idempotent => None,
            Idempotency::NonIdempotent => Some(Violation::UnsafeRepeat),
            Idempotency::Keyed { window, .. } => {
                (now >= first.sent + window).then_some(Violation::RepeatAfterWindow)
            }
        }
    }

    /// A connection closes, with so many requests that were read and have no response though their client is there.
    pub fn closed(&mut self, unanswered: usize) {
        (0..unanswered).for_each(|_| self.violations.add(Violation::ClosedUnanswered));
    }
}
