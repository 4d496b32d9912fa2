//! The auditor: checks the rules against a capture alone, and names the lines that show a violation.

mod auditor;
mod drains;
mod effects;
mod membership;
mod outages;
mod quotas;
mod report;
mod requests;
mod responses;
mod slow_start;

pub use membership::{MembershipFigures, MembershipRule};
pub use report::{AuditReport, CheckCounts, Overrun, Rule, UnitCounts, Violation};

use auditor::Auditor;
use std::io::BufRead;
use weirusher_fakes::{CaptureEvent, CaptureRecord};

/// Seconds by which an event may be late: timers and sockets of a busy machine.
const LATENESS_ALLOWANCE_SECONDS: f64 = 0.1;

/// A capture that cannot be audited.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CaptureError {
    /// A line cannot be read.
    #[error("line {line}: {error}")]
    Read {
        /// Number of the line, from 1.
        line: usize,
        /// What the reader returned.
        error: std::io::Error,
    },
    /// A line is no event.
    #[error("line {line} is not an event of a capture: {error}")]
    Form {
        /// Number of the line, from 1.
        line: usize,
        /// What the parser expected.
        error: serde_json::Error,
    },
    /// The first line does not say which limits apply.
    #[error("the capture does not begin with its scenario (an event `day`)")]
    NoStart,
}

/// A place in the capture.
#[derive(Debug, Clone, Copy, Default)]
struct Moment {
    /// Seconds since the run began.
    time_seconds: f64,
    /// Number of the line, from 1.
    line: usize,
}

/// Audits a capture.
///
/// # Errors
/// A line cannot be read or is no event, or the capture does not begin with its scenario.
pub fn audit(capture: impl BufRead) -> Result<AuditReport, CaptureError> {
    let mut auditor = Auditor::default();
    let mut started = false;
    for (index, text) in capture.lines().enumerate() {
        let line = index + 1;
        let text = text.map_err(|error| CaptureError::Read { line, error })?;
        let record: CaptureRecord =
            serde_json::from_str(&text).map_err(|error| CaptureError::Form { line, error })?;
        started |= matches!(record.event, CaptureEvent::RunStarted { .. });
        if !started {
            return Err(CaptureError::NoStart);
        }
        auditor.handle_event(Moment { time_seconds: record.time_seconds, line }, record.event);
    }
    if !started {
        return Err(CaptureError::NoStart);
    }
    Ok(auditor.finish())
}
