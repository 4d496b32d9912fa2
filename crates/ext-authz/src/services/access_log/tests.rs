//! How access log entries are mapped to attempt statuses.

use super::*;

/// A response with the rejection header, which states that the request was not executed, counts as rejected.
#[test]
fn response_flags_take_precedence_over_status_codes() {
    let timeout = ResponseFlags { upstream_request_timeout: true, ..ResponseFlags::default() };
    let refused = ResponseFlags { upstream_connection_failure: true, ..ResponseFlags::default() };
    assert_eq!(attempt_status(Some(&timeout), 504, false), AttemptStatus::Timeout);
    assert_eq!(attempt_status(Some(&refused), 503, false), AttemptStatus::ConnectFailed);
    assert_eq!(attempt_status(None, 200, false), AttemptStatus::Ok);
    assert_eq!(attempt_status(None, 500, false), AttemptStatus::Error);
    assert_eq!(attempt_status(None, 503, true), AttemptStatus::Rejected);
    assert_eq!(attempt_status(None, 0, false), AttemptStatus::Reset);
}
