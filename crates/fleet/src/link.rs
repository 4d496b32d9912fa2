//! The state of the direct path to one other member, in both directions.

use crate::member_table::Evidence;
use crate::replay_window::ReplayWindow;
use crate::token_bucket::{Rate, TokenBucket};
use crate::{Millis, QUERY_TIMEOUT, SUSPECT_TIMEOUT};

/// Rate limit on datagrams accepted from one member: several times the highest rate at which a member sends.
const RECEIVE_RATE: Rate = Rate { per_second: 64, burst: 128 };
/// Maximum number of doublings of the timeouts. They double when, after a query about a silent member, newer
/// evidence of its life comes from another member: this link is losing heartbeats.
const MAX_DOUBLINGS: u32 = 3;

/// Times without a heartbeat, in milliseconds, after which an observer acts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SilenceTimeouts {
    /// The observer queries the subject's other observers.
    pub query: Millis,
    /// The observer suspects the subject.
    pub suspect: Millis,
}

/// The direct path to one member.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    /// When the last datagram arrived that was not older than the evidence already known.
    pub last_received: Option<Millis>,
    /// When the last datagram arrived in which the member said that it receives this member's datagrams.
    pub last_confirmed: Option<Millis>,
    pub last_sent: Option<Millis>,
    /// When a datagram that was not accepted was last replied to.
    pub last_handshake_reply: Option<Millis>,
    /// The evidence in the last refutation that was sent for the member.
    pub last_refutation: Evidence,
    /// The member's incarnation that `replay_window` applies to.
    pub incarnation: u64,
    pub replay_window: ReplayWindow,
    pub receive_limit: TokenBucket,
    /// When this member began to observe the other one; `None` if it does not.
    pub observed_since: Option<Millis>,
    /// Whether the member's other observers have been queried since there was last evidence of its life.
    pub queried: bool,
    /// When this member last suspected the other one; reset by evidence of its life.
    pub suspected_at: Option<Millis>,
    timeout_doublings: u32,
}

impl Link {
    pub fn new(now: Millis) -> Self {
        Self {
            last_received: None,
            last_confirmed: None,
            last_sent: None,
            last_handshake_reply: None,
            last_refutation: Evidence::default(),
            incarnation: 0,
            replay_window: ReplayWindow::default(),
            receive_limit: TokenBucket::new(RECEIVE_RATE, now),
            observed_since: None,
            queried: false,
            suspected_at: None,
            timeout_doublings: 0,
        }
    }

    /// Records newer evidence of the member's life. If the evidence came from another member after a query,
    /// this link is losing heartbeats, and its timeouts are doubled.
    pub fn handle_evidence(&mut self, direct: bool) {
        if direct {
            self.timeout_doublings = 0;
        } else if self.queried {
            self.timeout_doublings = (self.timeout_doublings + 1).min(MAX_DOUBLINGS);
        }
        (self.queried, self.suspected_at) = (false, None);
    }

    pub fn silence_timeouts(&self) -> SilenceTimeouts {
        SilenceTimeouts {
            query: QUERY_TIMEOUT << self.timeout_doublings,
            suspect: SUSPECT_TIMEOUT << self.timeout_doublings,
        }
    }

    /// Discards what was recorded before a pause of this process, which says nothing about the link now.
    pub fn reset_after_pause(&mut self) {
        (self.last_received, self.last_confirmed, self.observed_since) = (None, None, None);
        (self.queried, self.suspected_at) = (false, None);
    }
}
