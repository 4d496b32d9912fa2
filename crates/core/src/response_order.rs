//! Delivers counter responses in the order in which the calls were made.

use std::collections::{HashMap, VecDeque};
use weirusher::Status;

/// How a counter call ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CounterResponse {
    pub status: Status,
    /// The counter's total after the add, in units.
    pub total: f64,
    /// Seconds that the call took.
    pub elapsed: f64,
}

/// The responses that can be delivered once a call has ended.
#[derive(Debug, PartialEq)]
pub(crate) struct ReadyResponses {
    /// The counter that they belong to.
    pub counter: u64,
    pub responses: Vec<CounterResponse>,
}

/// Restores the order of the calls to each counter, which the policy relies on: the response of a call that
/// is rejected at once must not be taken for that of an earlier call that is still pending.
#[derive(Debug, Default)]
pub(crate) struct ResponseOrder {
    last_call: u64,
    /// The counter of each pending call.
    counters: HashMap<u64, u64>,
    /// By counter: its calls in order, each with its response once it has one.
    queues: HashMap<u64, VecDeque<(u64, Option<CounterResponse>)>>,
}

impl ResponseOrder {
    /// Records a call to `counter` and returns the call's number.
    pub fn start_call(&mut self, counter: u64) -> u64 {
        self.last_call += 1;
        self.counters.insert(self.last_call, counter);
        self.queues.entry(counter).or_default().push_back((self.last_call, None));
        self.last_call
    }

    /// Records the response to a call and returns the responses that can be delivered now. `None` for an
    /// unknown call.
    pub fn end_call(&mut self, call: u64, response: CounterResponse) -> Option<ReadyResponses> {
        let counter = self.counters.remove(&call)?;
        let queue = self.queues.get_mut(&counter)?;
        queue.iter_mut().find(|(pending, _)| *pending == call)?.1 = Some(response);
        let mut responses = Vec::new();
        while let Some((_, Some(response))) = queue.front() {
            responses.push(*response);
            queue.pop_front();
        }
        if queue.is_empty() {
            self.queues.remove(&counter);
        }
        Some(ReadyResponses { counter, responses })
    }
}

#[cfg(test)]
mod tests;
