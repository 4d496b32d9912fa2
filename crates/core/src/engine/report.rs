//! Reports: how attempts ended, according to the proxies' access logs.

use super::Engine;
use super::attempts::AttemptEnd;
use super::request_table::{AttemptId, AttemptState};
use crate::ticket::{Ticket, TicketError};
use weirusher::{Status, Time};

/// What ended, according to a report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Completion {
    /// The attempt; a retry may follow.
    Attempt(Status),
    /// The whole request: its client has a response or closed its connection.
    Request(Status),
}

/// A report about the attempt that a ticket was issued for.
#[derive(Debug, Clone)]
pub struct Report<'a> {
    /// The encoded ticket of the attempt.
    pub ticket: &'a str,
    /// What ended, and how.
    pub completion: Completion,
    /// Seconds from sending the attempt to its end, as measured by the reporter.
    pub elapsed: Option<f64>,
    /// The units actually used, if they differ from those of the check.
    pub settled_units: Option<f64>,
}

/// The result of handling a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It closed its attempt.
    AttemptClosed,
    /// It ended a request whose attempt was already closed.
    RequestEnded,
    /// Its attempt or request is already closed: the report is a duplicate or late.
    Late,
    /// Another instance, or an earlier incarnation of this one, issued the ticket.
    OtherIssuer {
        /// Number of the instance that issued the ticket.
        issuer: u32,
    },
    /// The ticket is not valid.
    InvalidTicket(TicketError),
}

impl Engine {
    /// Handles a report.
    pub fn handle_report(&mut self, now: Time, report: &Report<'_>) -> ReportOutcome {
        let ticket = match self.keyring.verify(report.ticket) {
            Ok(ticket) => ticket,
            Err(error) => {
                self.metrics.bad_tickets += 1;
                return ReportOutcome::InvalidTicket(error);
            }
        };
        if !self.issued(&ticket) {
            // Only the issuer knows the attempt; it closes the attempt at its deadline
            // (docs/external-authorisation.md).
            self.metrics.foreign_reports += 1;
            return ReportOutcome::OtherIssuer { issuer: ticket.issuer };
        }
        let id = AttemptId { request: ticket.request, attempt: ticket.attempt };
        match report.completion {
            Completion::Attempt(status) | Completion::Request(status) if self.is_in_flight(id) => {
                self.close_reported(now, id, status, report);
                ReportOutcome::AttemptClosed
            }
            Completion::Request(_) if self.is_last_issued(id) => {
                // If a report closed the attempt, this one ends the request; if the attempt's deadline closed
                // it, this one is late.
                let reported = self.requests.attempt(id).is_some_and(|attempt| attempt.reported);
                self.metrics.late_reports += u64::from(!reported);
                self.abandon_request(now, id.request);
                if reported { ReportOutcome::RequestEnded } else { ReportOutcome::Late }
            }
            _ => {
                self.metrics.late_reports += 1;
                ReportOutcome::Late
            }
        }
    }

    fn close_reported(&mut self, now: Time, id: AttemptId, status: Status, report: &Report<'_>) {
        let request_ended = status == Status::Ok || matches!(report.completion, Completion::Request(_));
        self.metrics.reported += 1;
        let end = AttemptEnd {
            status,
            request_ended,
            reported: true,
            elapsed: report.elapsed,
            settled_units: report.settled_units,
        };
        self.close_attempt(now, id, end);
        if request_ended {
            self.end_request(now, id.request);
        }
    }

    /// Whether this incarnation issued the ticket.
    pub(super) fn issued(&self, ticket: &Ticket) -> bool {
        (ticket.issuer, ticket.incarnation) == (self.instance, self.incarnation)
    }

    fn is_in_flight(&self, id: AttemptId) -> bool {
        self.requests.attempt(id).is_some_and(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Whether the attempt is the last one with an issued ticket, and its request has no pending check.
    fn is_last_issued(&self, id: AttemptId) -> bool {
        let Some(open) = self.requests.get(id.request) else { return false };
        open.caller.is_none() && open.last_issued_attempt() == Some(id.attempt as usize)
    }
}
