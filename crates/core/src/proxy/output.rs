//! Effects that the proxy core asks its runtime to carry out.

use crate::driver::Command;
use crate::guard::Violation;
use weirusher::{BackendId, Reason, RequestId};

/// A response that the gateway generates itself, without a backend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// Rejected before execution: a retry is safe.
    Rejected {
        /// Seconds that the client should wait before a retry (Retry-After). 0 means no advice.
        retry_after: f64,
        /// Why it was rejected.
        reason: Reason,
    },
    /// Failed: the request may have been executed.
    Failed {
        /// Why it failed.
        reason: Reason,
    },
}

impl Outcome {
    /// Why the request was not served.
    pub fn reason(&self) -> Reason {
        match *self {
            Self::Rejected { reason, .. } | Self::Failed { reason } => reason,
        }
    }
}

/// An attempt to be started.
#[derive(Debug, Clone, PartialEq)]
pub struct NewAttempt {
    /// Id of the request that it belongs to.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub number: u32,
    /// The backend to send it to.
    pub backend: BackendId,
    /// Seconds until the attempt times out.
    pub timeout: f64,
    /// Seconds within which its last byte must be written; otherwise it must not start, or must be aborted.
    pub write_timeout: f64,
}

/// An effect for the runtime. Outputs must be carried out in the order in which they were produced.
#[derive(Debug, Clone, PartialEq)]
pub enum ProxyOutput {
    /// Start an attempt; [`super::ProxyCore::handle_attempt_ended`] reports its end.
    Forward(NewAttempt),
    /// Abort an attempt and close its connection. Its end was already reported to the policy.
    Abort {
        /// Id of the request that it belongs to.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt was not started because it would have broken a rule. To be logged as an error of the
    /// policy.
    AttemptPrevented {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// The rule that it would have broken.
        violation: Violation,
    },
    /// Send a response to the client.
    Respond {
        /// Id of the request that is answered.
        request: RequestId,
        /// Why the request was rejected or failed.
        outcome: Outcome,
    },
    /// An effect that does not concern a request.
    Command(Command),
}

impl From<Command> for ProxyOutput {
    fn from(command: Command) -> Self {
        Self::Command(command)
    }
}
