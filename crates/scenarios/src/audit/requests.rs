//! What the capture shows of each client's request and of each authorisation check.

use super::Moment;
use std::collections::{BTreeMap, HashMap};
use weirusher_fakes::ClientOutcome;

/// A client's request.
#[derive(Default)]
pub(super) struct Request {
    pub started: Moment,
    pub customer: String,
    pub class: usize,
    pub units: f64,
    pub deadline_seconds: f64,
    /// The client closes before its deadline.
    pub closes_early: bool,
    pub outcomes: Vec<(Moment, ClientOutcome)>,
    /// When backends admitted an attempt of it.
    pub executions: Vec<Moment>,
    /// When the load generator sent an attempt of it.
    pub attempts: Vec<Moment>,
    /// Numbers of its checks.
    pub checks: Vec<u64>,
}

/// An authorisation check.
pub(super) struct Check {
    pub request: u64,
    pub gateway: usize,
    pub sent: Moment,
    /// It carries the ticket of an earlier attempt.
    pub retry: bool,
    /// It was answered or cancelled.
    pub ended: bool,
}

/// All requests and checks of a capture, by number.
#[derive(Default)]
pub(super) struct Requests {
    by_number: BTreeMap<u64, Request>,
    checks: HashMap<u64, Check>,
}

impl Requests {
    pub fn start(&mut self, number: u64, request: Request) {
        self.by_number.insert(number, request);
    }

    /// A request; an empty one where the capture does not show its start.
    pub fn request(&mut self, number: u64) -> &mut Request {
        self.by_number.entry(number).or_default()
    }

    pub fn check_sent(&mut self, call: u64, check: Check) {
        self.request(check.request).checks.push(call);
        self.checks.insert(call, check);
    }

    pub fn check(&mut self, call: u64) -> Option<&mut Check> {
        self.checks.get_mut(&call)
    }

    /// All requests, in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Request)> {
        self.by_number.iter().map(|(number, request)| (*number, request))
    }

    /// The checks of a request, in the order in which they were sent.
    pub fn checks_of<'a>(&'a self, request: &'a Request) -> impl Iterator<Item = &'a Check> {
        request.checks.iter().filter_map(|call| self.checks.get(call))
    }
}
