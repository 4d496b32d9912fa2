//! The engine's counters.

/// Counters of one engine; each only increases. The serialized names are those of the admin page.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct EngineMetrics {
    /// Checks received.
    pub checks: u64,
    /// Checks allowed.
    pub allowed: u64,
    /// Checks rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Checks failed.
    pub failed: u64,
    /// Checks whose client closed before their outcome.
    #[serde(rename = "left")]
    pub client_closed: u64,
    /// Grants that could not be delivered.
    pub undelivered: u64,
    /// Attempts closed by a report.
    pub reported: u64,
    /// Attempts closed without a report: at their deadline, or because the check of a retry stopped
    /// waiting for the report.
    pub unreported: u64,
    /// Retries that no check claimed in time.
    #[serde(rename = "uncollected")]
    pub unclaimed_retries: u64,
    /// Attempts that were not granted because their ticket would already have expired.
    pub expired_grants: u64,
    /// Late and duplicate reports.
    pub late_reports: u64,
    /// Reports for tickets of other instances or incarnations.
    pub foreign_reports: u64,
    /// Tickets in checks and reports that were malformed, forged, altered, signed with an unknown key, or
    /// presented for another customer.
    pub bad_tickets: u64,
    /// Checks with a ticket of another instance or incarnation.
    pub foreign_checks: u64,
    /// Checks for a request that already has a pending check, or with a ticket that was already used.
    #[serde(rename = "doubled_checks")]
    pub duplicate_checks: u64,
    /// Checks rejected because the request table was full.
    #[serde(rename = "ledger_full")]
    pub table_full: u64,
}
