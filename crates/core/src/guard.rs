//! Checks each step of the proxy immediately before it is taken: accepting a request, reading further
//! requests, sending an attempt, retrying, closing a connection.
//!
//! A step may begin only if everything that it depends on will remain until the step ends:
//! - the client: its connection and its deadline;
//! - the process: its shutdown;
//! - the backend: its entry in the endpoint list, and the window within which it discards duplicates;
//! - the request itself: its response is pending.
//!
//! The check is made when the step is taken and not when it was decided, because any of these may have ended
//! in between.
//!
//! The policy follows the same rules on its own. A decision that breaks one is not carried out, and is
//! counted in [`Violations`]. One rule is enforced by the policy alone: which backends may receive a retry of
//! a keyed request (`policy::retry_scope`). All times are in seconds.

mod attempt;
mod violation;

pub use attempt::{Execution, PriorAttempt, SendConditions, SendError, SendLimits};
pub use violation::{Violation, Violations};

use crate::shutdown::{Shutdown, longest_deadline};
use crate::stall::MAX_STALL;
use weirusher::{Class, Idempotency, Reason, Settings, Time};

/// Seconds before a client's deadline by which its response is written: time for the network, which the
/// client's deadline includes, and for a short stall of the process.
const DEADLINE_LEAD: f64 = 0.02;
/// Largest fraction of a client's time budget that the lead may take, so that most of a short budget remains.
const MAX_DEADLINE_LEAD_FRACTION: f64 = 0.1;
/// Seconds that must remain of a shutdown for a request to be accepted. With less time it is rejected, so
/// that the client can retry it safely.
const MIN_ACCEPT_TIME: f64 = 0.05;

/// Checks each step against the settings and the shutdown, and counts violations.
#[derive(Debug)]
pub struct Guard {
    classes: Vec<Class>,
    max_attempts: usize,
    hedging: bool,
    shutdown: Option<Shutdown>,
    violations: Violations,
}

impl Guard {
    /// Creates a guard for a gateway with these settings that is not shutting down.
    pub fn new(settings: &Settings) -> Self {
        Self {
            classes: settings.classes.clone(),
            max_attempts: settings.max_attempts as usize,
            hedging: settings.hedging,
            shutdown: None,
            violations: Violations::default(),
        }
    }

    /// Begins the shutdown. Further calls return the schedule of the first.
    pub fn begin_shutdown(&mut self, now: Time) -> Shutdown {
        *self.shutdown.get_or_insert(Shutdown::new(now, longest_deadline(&self.classes)))
    }

    /// The violations found so far.
    pub fn violations(&self) -> Violations {
        self.violations
    }

    /// Whether to accept a request that was read at `now` and whose client waits for `time_budget` more
    /// seconds. Returns when the response must be written: before the client's deadline and before the
    /// process ends.
    ///
    /// # Errors
    /// Why the request is rejected at once.
    pub fn check_accept(&self, now: Time, time_budget: f64) -> Result<Time, Reason> {
        if time_budget <= 0.0 {
            return Err(Reason::DeadlineExceeded);
        }
        let lead = DEADLINE_LEAD.min(MAX_DEADLINE_LEAD_FRACTION * time_budget);
        let deadline = now + time_budget - lead;
        match self.shutdown {
            None => Ok(deadline),
            Some(shutdown) if now + MIN_ACCEPT_TIME > shutdown.respond_by() => Err(Reason::Stopping),
            Some(shutdown) => Ok(deadline.min(shutdown.respond_by())),
        }
    }

    /// Whether further requests may be read from a connection. Once the time for the last response has
    /// passed, no request could be answered. A request that was not read is sent to another gateway by its
    /// client.
    pub fn may_read(&self, now: Time) -> bool {
        self.shutdown.is_none_or(|shutdown| now < shutdown.respond_by())
    }

    /// Whether the first byte of an attempt may be written now.
    ///
    /// # Errors
    /// Why it may not.
    pub fn check_send(&self, now: Time, conditions: &SendConditions) -> Result<SendLimits, SendError> {
        let request_deadline = conditions.request_deadline.ok_or(SendError::NotPending)?;
        let attempt_deadline = conditions.attempt_deadline.ok_or(SendError::AttemptEnded)?;
        let limits = SendLimits {
            timeout: attempt_deadline.min(request_deadline) - now,
            write_timeout: conditions.write_deadline - now - MAX_STALL,
        };
        if limits.timeout <= 0.0 {
            return Err(SendError::DeadlineExceeded);
        }
        if limits.write_timeout <= 0.0 {
            return Err(SendError::WindowOver);
        }
        if conditions.backend_available { Ok(limits) } else { Err(SendError::BackendUnavailable) }
    }

    /// Whether a request of the class with this index may have one more attempt after `prior`.
    ///
    /// # Errors
    /// The rule that the attempt would break. The violation is counted.
    pub fn check_attempt(
        &mut self,
        now: Time,
        class: usize,
        prior: &[PriorAttempt],
    ) -> Result<(), Violation> {
        match self.attempt_violation(now, class, prior) {
            None => Ok(()),
            Some(violation) => {
                self.violations.add(violation, 1);
                Err(violation)
            }
        }
    }

    fn attempt_violation(&self, now: Time, class: usize, prior: &[PriorAttempt]) -> Option<Violation> {
        if prior.len() >= self.max_attempts.max(1) {
            return Some(Violation::TooManyAttempts);
        }
        let idempotency = self.idempotency(class);
        let may_hedge = self.hedging && idempotency != Idempotency::NonIdempotent;
        if !may_hedge && prior.iter().any(|attempt| attempt.execution == Execution::InFlight) {
            return Some(Violation::ConcurrentAttempt);
        }
        let first_possible_execution =
            prior.iter().find(|attempt| attempt.execution != Execution::NotExecuted)?;
        match idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NonIdempotent => Some(Violation::UnsafeRetry),
            Idempotency::Keyed { window, .. } => {
                (now >= first_possible_execution.started_at + window).then_some(Violation::RetryAfterWindow)
            }
        }
    }

    /// Whether requests of the class with this index may be executed any number of times.
    pub fn is_idempotent(&self, class: usize) -> bool {
        self.idempotency(class) == Idempotency::Idempotent
    }

    fn idempotency(&self, class: usize) -> Idempotency {
        self.classes.get(class).map_or(Idempotency::NonIdempotent, |class| class.idempotency)
    }

    /// Records that the gateway closed a connection on which `unanswered` requests had no response although
    /// their client was still connected.
    pub fn record_connection_closed(&mut self, unanswered: usize) {
        self.violations.add(Violation::ClosedUnanswered, unanswered as u64);
    }
}
