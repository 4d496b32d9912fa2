//! What is known of the direct path to one other member, in both directions.

use crate::member_table::Evidence;
use crate::replay_window::ReplayWindow;
use crate::token_bucket::{Rate, TokenBucket};
use crate::{Millis, QUERY_TIMEOUT, SUSPECT_TIMEOUT};

/// Datagrams that are read from one member: several times what a member sends at most.
const RECEIVE_RATE: Rate = Rate { per_second: 64, burst: 128 };
/// Doublings of the timeouts at most, for a member whose suspicions were refuted by others.
const MAX_DOUBLINGS: u32 = 3;

/// Milliseconds of silence after which an observer acts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SilenceTimeouts {
    /// The subject's other observers are asked.
    pub query: Millis,
    /// The subject is suspected.
    pub suspect: Millis,
}

/// The direct path to one member.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    /// When its last datagram that was not overtaken arrived.
    pub last_received: Option<Millis>,
    /// When its last datagram arrived that said it hears this member.
    pub last_confirmed: Option<Millis>,
    /// When the last datagram was sent to it.
    pub last_sent: Option<Millis>,
    /// When something that was not accepted was last replied to.
    pub last_handshake_reply: Option<Millis>,
    /// The evidence with which suspicions of it were last refuted from here.
    pub refuted_with: Evidence,
    /// Its incarnation that `replay_window` belongs to.
    pub incarnation: u64,
    pub replay_window: ReplayWindow,
    pub receive_limit: TokenBucket,
    /// Since when its heartbeats are expected.
    pub observed_since: Option<Millis>,
    /// Its other observers were asked about it, and nothing was heard of it since.
    pub queried: bool,
    /// When this member last suspected it; nothing was heard of it since.
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
            refuted_with: Evidence::default(),
            incarnation: 0,
            replay_window: ReplayWindow::default(),
            receive_limit: TokenBucket::new(RECEIVE_RATE, now),
            observed_since: None,
            queried: false,
            suspected_at: None,
            timeout_doublings: 0,
        }
    }

    /// There is newer evidence of the member's life. Where others had to give it after a query, this link loses
    /// heartbeats: its timeouts double.
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

    /// This process was paused: what arrived before says nothing of the link now.
    pub fn reset_after_pause(&mut self) {
        (self.last_received, self.last_confirmed, self.observed_since) = (None, None, None);
        (self.queried, self.suspected_at) = (false, None);
    }
}
