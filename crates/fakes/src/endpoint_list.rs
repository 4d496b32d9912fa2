//! The endpoint list of a discovery agent, and the polls that wait for a newer version of it.

use crate::http_frame::http_response;
use bytes::Bytes;
use std::time::Duration;
use tokio::sync::watch;
use weirusher_wire::http1::Request;

/// The agent's list, and whether the agent responds.
#[derive(Debug, Clone)]
struct State {
    version: u64,
    /// The complete list as JSON.
    list: String,
    /// Whether the agent leaves all polls unanswered.
    silent: bool,
    /// Number of times that the agent stopped responding. A poll that was pending at that time, or was received while
    /// the agent was silent, never gets a response.
    silence_count: u64,
}

/// The endpoint list of one agent. Clones share the list.
#[derive(Debug, Clone)]
pub(crate) struct EndpointList(watch::Sender<State>);

impl EndpointList {
    pub fn new(version: u64, list: String) -> Self {
        Self(watch::Sender::new(State { version, list, silent: false, silence_count: 0 }))
    }

    /// Replaces the list, which completes the polls that wait for a newer version.
    pub fn set(&self, version: u64, list: String) {
        self.0.send_modify(|state| (state.version, state.list) = (version, list));
    }

    /// Stops responding, and drops the pending polls.
    pub fn stop_answering(&self) {
        self.0.send_modify(|state| (state.silent, state.silence_count) = (true, state.silence_count + 1));
    }

    /// Responds to the polls that are received from now on.
    pub fn resume_answering(&self) {
        self.0.send_modify(|state| state.silent = false);
    }

    /// Starts the poll that a request asks for by its query parameters `since` (a version) and `timeout_ms`.
    pub fn poll(&self, request: &Request) -> PendingPoll {
        let (_, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let number = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(k, _)| *k == key).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let timeout = Duration::from_millis(number("timeout_ms").unwrap_or(0));
        let (silent, silence_count) = (self.0.borrow().silent, self.0.borrow().silence_count);
        PendingPoll { state: self.0.subscribe(), silent, silence_count, since: number("since"), timeout }
    }
}

/// A poll for the list that waits for its response.
#[derive(Debug, Clone)]
pub struct PendingPoll {
    state: watch::Receiver<State>,
    /// Whether the agent was silent when the poll was received.
    silent: bool,
    /// The value of [`State::silence_count`] when the poll was received.
    silence_count: u64,
    /// The version that the client has; `None`: none.
    since: Option<u64>,
    timeout: Duration,
}

impl PendingPoll {
    /// Waits for the response: the list once it is newer than the client's version, or a response without changes after
    /// the timeout. Returns `None` if the agent stopped responding.
    pub(crate) async fn response(mut self) -> Option<Bytes> {
        if self.silent {
            return None;
        }
        let (silence_count, since) = (self.silence_count, self.since);
        let is_ready = |state: &State| {
            state.silence_count != silence_count || since.is_none_or(|since| since < state.version)
        };
        let body = match tokio::time::timeout(self.timeout, self.state.wait_for(is_ready)).await {
            Ok(state) => state.ok().filter(|state| state.silence_count == silence_count)?.list.clone(),
            Err(_) => {
                let since = since.unwrap_or(0);
                format!(r#"{{"index":{since},"snapshot":false,"endpoints":[]}}"#)
            }
        };
        Some(http_response(200, "", &body))
    }
}
