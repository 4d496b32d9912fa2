//! Client requests and authorisation checks, as reconstructed from the capture.

use super::CapturePosition;
use std::collections::{BTreeMap, HashMap};
use weirusher_fakes::ClientOutcome;

/// A client's request.
#[derive(Default)]
pub(super) struct Request {
    pub started: CapturePosition,
    pub customer: String,
    pub class: usize,
    pub units: f64,
    pub deadline_seconds: f64,
    /// The client is configured to close before its deadline.
    pub closes_early: bool,
    pub outcomes: Vec<(CapturePosition, ClientOutcome)>,
    /// Attempts that backends admitted.
    pub executions: Vec<CapturePosition>,
    /// Attempts that the load generator sent.
    pub attempts: Vec<CapturePosition>,
    /// Numbers of its authorisation checks.
    pub checks: Vec<u64>,
}

/// An authorisation check.
pub(super) struct Check {
    pub request: u64,
    pub gateway: usize,
    pub sent: CapturePosition,
    /// The check is for a retry: it carries the ticket of an earlier attempt.
    pub retry: bool,
    /// The check was answered or cancelled.
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

    /// Returns a request; an empty one if the capture does not have its start.
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

    /// All requests, ordered by number.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Request)> {
        self.by_number.iter().map(|(number, request)| (*number, request))
    }

    /// The checks of a request, in sending order.
    pub fn checks_of<'a>(&'a self, request: &'a Request) -> impl Iterator<Item = &'a Check> {
        request.checks.iter().filter_map(|call| self.checks.get(call))
    }
}
