//! The auditor: checks the rules against a capture alone, and reports which of its lines show each violation.

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

/// Seconds by which an event may be late, because timers and sockets are delayed on a busy machine.
const LATENESS_ALLOWANCE_SECONDS: f64 = 0.1;

/// Why a capture cannot be audited.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CaptureError {
    /// A line cannot be read.
    #[error("cannot read line {line}: {error}")]
    Read {
        /// Line number, from 1.
        line: usize,
        /// Error of the reader.
        error: std::io::Error,
    },
    /// A line is not an event.
    #[error("line {line} is not a capture event: {error}")]
    InvalidEvent {
        /// Line number, from 1.
        line: usize,
        /// Error of the parser.
        error: serde_json::Error,
    },
    /// The first line is not the start of a run, which holds the limits to audit against.
    #[error("the capture does not begin with its scenario (a `day` event)")]
    MissingRunStart,
}

/// Time and line of an event in the capture.
#[derive(Debug, Clone, Copy, Default)]
struct CapturePosition {
    /// Seconds since the start of the run.
    time_seconds: f64,
    /// Line number, from 1.
    line: usize,
}

/// Audits a capture.
///
/// # Errors
/// A line cannot be read or is not an event, or the capture does not begin with the start of a run.
pub fn audit(capture: impl BufRead) -> Result<AuditReport, CaptureError> {
    let mut auditor = Auditor::default();
    let mut started = false;
    for (index, text) in capture.lines().enumerate() {
        let line = index + 1;
        let text = text.map_err(|error| CaptureError::Read { line, error })?;
        let record: CaptureRecord =
            serde_json::from_str(&text).map_err(|error| CaptureError::InvalidEvent { line, error })?;
        started |= matches!(record.event, CaptureEvent::RunStarted { .. });
        if !started {
            return Err(CaptureError::MissingRunStart);
        }
        auditor.handle_event(CapturePosition { time_seconds: record.time_seconds, line }, record.event);
    }
    if !started {
        return Err(CaptureError::MissingRunStart);
    }
    Ok(auditor.finish())
}
