//! Validation of tickets at a backend: each valid ticket is accepted once, at the backend that it names.
//!
//! Times are Unix seconds.

use crate::ticket::{Keyring, Ticket};
use std::collections::{BTreeSet, HashSet};

/// Largest difference between the clocks of a gateway and a backend, in seconds.
pub(crate) const MAX_CLOCK_SKEW_SECONDS: f64 = 0.25;

/// Why a backend rejects a request before execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TicketRejection {
    /// The request carries no ticket.
    #[error("the request carries no ticket")]
    Missing,
    /// The ticket was forged or altered, or is not a ticket at all.
    #[error("the ticket is not valid")]
    Invalid,
    /// The ticket has expired.
    #[error("the ticket has expired")]
    Expired,
    /// The ticket was used before.
    #[error("the ticket was used before")]
    Replayed,
    /// The ticket names another backend.
    #[error("the ticket is for another backend")]
    Misdirected,
    /// The validator already remembers the maximum number of used tickets.
    #[error("too many used tickets are remembered")]
    Full,
}

/// Identifies a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct TicketId {
    issuer: u32,
    incarnation: u64,
    request: u64,
    attempt: u32,
}

/// Validates the tickets of requests that arrive at one backend, and remembers the used ones until they
/// expire.
#[derive(Debug)]
pub struct TicketValidator {
    keyring: Keyring,
    backend: String,
    max_used: usize,
    used: HashSet<TicketId>,
    /// Used tickets by the Unix time in milliseconds after which they may be forgotten, because they would be
    /// rejected as expired.
    expiries: BTreeSet<(u64, TicketId)>,
}

impl TicketValidator {
    /// Creates a validator for the backend at the address `backend`. It remembers up to `max_used` used
    /// tickets.
    pub fn new(keyring: Keyring, backend: impl Into<String>, max_used: usize) -> Self {
        let (used, expiries) = (HashSet::new(), BTreeSet::new());
        Self { keyring, backend: backend.into(), max_used, used, expiries }
    }

    /// Accepts a ticket at Unix time `now`, once.
    ///
    /// # Errors
    /// Why the request must not be executed.
    pub fn validate(&mut self, now: f64, text: Option<&str>) -> Result<Ticket, TicketRejection> {
        let text = text.ok_or(TicketRejection::Missing)?;
        let ticket = self.keyring.verify(text).map_err(|_| TicketRejection::Invalid)?;
        if ticket.backend != self.backend {
            return Err(TicketRejection::Misdirected);
        }
        let latest = ticket.expires_at + MAX_CLOCK_SKEW_SECONDS;
        if now > latest {
            return Err(TicketRejection::Expired);
        }
        self.forget_expired(now);
        let Ticket { issuer, incarnation, request, attempt, .. } = ticket;
        let id = TicketId { issuer, incarnation, request, attempt };
        if self.used.contains(&id) {
            return Err(TicketRejection::Replayed);
        }
        if self.used.len() >= self.max_used {
            // Forgetting a used ticket would allow a second execution.
            return Err(TicketRejection::Full);
        }
        self.used.insert(id);
        self.expiries.insert(((latest * 1000.0).ceil().max(0.0) as u64 + 1, id));
        Ok(ticket)
    }

    fn forget_expired(&mut self, now: f64) {
        let now_ms = (now * 1000.0).max(0.0) as u64;
        while let Some(&(expiry_ms, id)) = self.expiries.first().filter(|(expiry_ms, _)| *expiry_ms < now_ms)
        {
            self.expiries.remove(&(expiry_ms, id));
            self.used.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
