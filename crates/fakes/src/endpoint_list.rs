//! The endpoint list that a discovery agent holds, and the polls that wait for a newer version of it.

use crate::http_frame::frame;
use bytes::Bytes;
use std::time::Duration;
use tokio::sync::watch;
use weirusher_wire::http1::Request;

/// The agent's list, and whether the agent answers.
#[derive(Debug, Clone)]
struct State {
    version: u64,
    /// The complete list as JSON.
    list: String,
    silent: bool,
    /// How often the agent stopped answering: a poll that was pending then, or came while it was silent, is never
    /// answered.
    silences: u64,
}

/// The list of one agent.
#[derive(Debug, Clone)]
pub(crate) struct EndpointList(watch::Sender<State>);

impl EndpointList {
    pub fn new(version: u64, list: String) -> Self {
        Self(watch::Sender::new(State { version, list, silent: false, silences: 0 }))
    }

    /// Replaces the list, which answers the polls that wait for a newer one.
    pub fn set(&self, version: u64, list: String) {
        self.0.send_modify(|state| (state.version, state.list) = (version, list));
    }

    /// Answers nothing from now on, and drops the pending polls.
    pub fn stop_answering(&self) {
        self.0.send_modify(|state| (state.silent, state.silences) = (true, state.silences + 1));
    }

    /// Answers the polls that come from now on.
    pub fn resume_answering(&self) {
        self.0.send_modify(|state| state.silent = false);
    }

    /// A request for the list, by its query parameters `since` (a version) and `timeout_ms`.
    pub fn poll(&self, request: &Request) -> PendingPoll {
        let (_, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let number = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(k, _)| *k == key).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let timeout = Duration::from_millis(number("timeout_ms").unwrap_or(0));
        let (silent, silences) = (self.0.borrow().silent, self.0.borrow().silences);
        PendingPoll { state: self.0.subscribe(), silent, silences, since: number("since"), timeout }
    }
}

/// A poll of the list that waits for its response.
#[derive(Debug, Clone)]
pub struct PendingPoll {
    state: watch::Receiver<State>,
    /// Whether the agent was silent when the poll came.
    silent: bool,
    silences: u64,
    since: Option<u64>,
    timeout: Duration,
}

impl PendingPoll {
    /// The response: the list once it is newer than the poll asks for, or no change after its timeout. `None`: the
    /// poll is never answered.
    pub(crate) async fn response(mut self) -> Option<Bytes> {
        if self.silent {
            return None;
        }
        let (silences, since) = (self.silences, self.since);
        let decided =
            |state: &State| state.silences != silences || since.is_none_or(|since| since < state.version);
        let body = match tokio::time::timeout(self.timeout, self.state.wait_for(decided)).await {
            Ok(state) => state.ok().filter(|state| state.silences == silences)?.list.clone(),
            Err(_) => {
                let since = since.unwrap_or(0);
                format!(r#"{{"index":{since},"snapshot":false,"endpoints":[]}}"#)
            }
        };
        Some(frame(200, "", &body))
    }
}
