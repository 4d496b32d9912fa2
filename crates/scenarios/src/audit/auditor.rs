//! Dispatches each event of a capture to the checks that it affects.

use super::drains::Drains;
use super::effects::{self, Tickets};
use super::membership::{MembershipAuditor, MembershipViolation};
use super::outages::Outages;
use super::quotas::{self, Quotas};
use super::report::{AuditReport, Rule};
use super::requests::{Check, Request, Requests};
use super::slow_start::SlowStarts;
use super::{CapturePosition, responses};
use weirusher_fakes::{Admission, AuditParameters, CaptureEvent, CheckOutcome};

/// State of an audit while it reads a capture.
#[derive(Default)]
pub(super) struct Auditor {
    parameters: AuditParameters,
    report: AuditReport,
    requests: Requests,
    outages: Outages,
    tickets: Tickets,
    drains: Drains,
    slow_starts: SlowStarts,
    quotas: Quotas,
    membership: MembershipAuditor,
    /// Time of the last event, in seconds.
    ended_seconds: f64,
}

impl Auditor {
    pub fn handle_event(&mut self, at: CapturePosition, event: CaptureEvent) {
        (self.report.lines, self.ended_seconds) = (at.line, at.time_seconds);
        match event {
            CaptureEvent::RunStarted { name, parameters } => {
                (self.report.scenario, self.parameters) = (name, parameters);
            }
            event @ (CaptureEvent::RequestStarted { .. }
            | CaptureEvent::CheckSent { .. }
            | CaptureEvent::CheckCompleted { .. }
            | CaptureEvent::CheckCancelled { .. }
            | CaptureEvent::AttemptSent { .. }
            | CaptureEvent::AttemptReceived { .. }
            | CaptureEvent::RequestFinished { .. }) => self.handle_request_event(at, event),
            event @ (CaptureEvent::GatewayStopping { .. }
            | CaptureEvent::GatewayRunning { .. }
            | CaptureEvent::GatewayReachable { .. }
            | CaptureEvent::GatewayPaused { .. }) => self.handle_gateway_event(at, event),
            event @ (CaptureEvent::FleetStarted { .. }
            | CaptureEvent::NetworkPartitioned { .. }
            | CaptureEvent::DirectionBlocked { .. }
            | CaptureEvent::DuplicateStarted { .. }
            | CaptureEvent::Datagram { .. }
            | CaptureEvent::MembershipReported { .. }) => self.handle_membership_event(at, event),
            CaptureEvent::ListSent { gateway, stopped_backends } => {
                self.drains.list_sent(gateway, stopped_backends);
            }
            CaptureEvent::ListAcknowledged { gateway, stopped_backends } => {
                self.drains.list_acknowledged(at, gateway, stopped_backends);
            }
            CaptureEvent::BackendChanged { backend, state } => {
                self.slow_starts.backend_changed(at, backend, state, &mut self.report);
            }
            CaptureEvent::CounterAdded { amount, .. } => {
                self.report.counter_calls += 1;
                self.report.units.counted += amount;
            }
            CaptureEvent::CounterCleared => self.quotas.counter_lost(),
            CaptureEvent::AttemptExecuted { .. }
            | CaptureEvent::ReportSent { .. }
            | CaptureEvent::Fault { .. } => {}
        }
    }

    fn handle_request_event(&mut self, at: CapturePosition, event: CaptureEvent) {
        match event {
            CaptureEvent::RequestStarted {
                request,
                customer,
                class,
                units,
                deadline_seconds,
                closes_early,
            } => {
                self.report.requests += 1;
                let started = Request {
                    started: at,
                    customer,
                    class,
                    units,
                    deadline_seconds,
                    closes_early,
                    ..Request::default()
                };
                self.requests.start(request, started);
            }
            CaptureEvent::CheckSent { request, call, gateway, retry } => {
                self.report.checks.sent += 1;
                self.requests.check_sent(call, Check { request, gateway, sent: at, retry, ended: false });
            }
            CaptureEvent::CheckCompleted { call, outcome, .. } => {
                self.handle_check_completed(at, call, outcome);
            }
            CaptureEvent::CheckCancelled { call, .. } => {
                if let Some(check) = self.requests.check(call) {
                    check.ended = true;
                }
            }
            CaptureEvent::AttemptSent { request, .. } => self.requests.request(request).attempts.push(at),
            CaptureEvent::AttemptReceived { request, backend, ticket, admission } => {
                *self.report.admissions.entry(admission.as_str().to_string()).or_default() += 1;
                if admission == Admission::Admitted {
                    self.handle_execution(at, request, &backend, &ticket);
                }
            }
            CaptureEvent::RequestFinished { request, outcome } => {
                *self.report.outcomes.entry(outcome).or_default() += 1;
                self.requests.request(request).outcomes.push((at, outcome));
            }
            _ => unreachable!("not a request event"),
        }
    }

    fn handle_check_completed(&mut self, at: CapturePosition, call: u64, outcome: CheckOutcome) {
        let report = &mut self.report;
        let Some(check) = responses::match_answer(at, call, &mut self.requests, report) else { return };
        responses::audit_answer(at, check, &outcome, &self.outages, report);
        let CheckOutcome::Allowed { backend, ticket, .. } = outcome else { return };
        report.checks.allowed += 1;
        let grace_seconds = self.parameters.drain_grace_seconds;
        self.drains.audit_allowed(at, check, &backend, grace_seconds, report);
        let (number, retry) = (check.request, check.retry);
        self.tickets.issued(ticket, number, backend);
        if !retry {
            let Request { customer, units, .. } = self.requests.request(number);
            self.quotas.audit_admission(at, number, customer, *units, &self.parameters, report);
        }
    }

    /// Handles an attempt that a backend admitted.
    fn handle_execution(&mut self, at: CapturePosition, number: u64, backend: &str, ticket: &str) {
        let report = &mut self.report;
        self.tickets.audit_execution(at, number, backend, ticket, report);
        let request = self.requests.request(number);
        request.executions.push(at);
        let limits = self.parameters.slow_start;
        self.slow_starts.audit_execution(at, number, request.units, backend, limits, report);
    }

    fn handle_gateway_event(&mut self, at: CapturePosition, event: CaptureEvent) {
        let now = at.time_seconds;
        match event {
            CaptureEvent::GatewayStopping { gateway } => self.outages.begin_shutdown(gateway, now),
            CaptureEvent::GatewayRunning { gateway, running } => {
                // Only a restart loses state; the first start of a gateway has none to lose.
                if running && self.outages.knows(gateway) {
                    self.quotas.gateway_restarted();
                }
                self.outages.set_reachable(gateway, running, now);
                self.membership.set_running(gateway, running, now);
            }
            CaptureEvent::GatewayReachable { gateway, reachable } => {
                self.outages.set_reachable(gateway, reachable, now);
            }
            CaptureEvent::GatewayPaused { gateway, paused } => {
                // A suspended process answers late or not at all, like one that cannot be reached.
                self.outages.set_reachable(gateway, !paused, now);
                self.membership.set_paused(gateway, paused, now);
            }
            _ => unreachable!("not a gateway process event"),
        }
    }

    fn handle_membership_event(&mut self, at: CapturePosition, event: CaptureEvent) {
        let now = at.time_seconds;
        match event {
            CaptureEvent::FleetStarted { size, outsiders } => self.membership.start(size, outsiders, now),
            CaptureEvent::NetworkPartitioned { groups } => self.membership.partition(groups, now),
            CaptureEvent::DirectionBlocked { from, to, blocked } => {
                self.membership.set_blocked(from, to, blocked, now);
            }
            CaptureEvent::DuplicateStarted { gateway } => self.membership.duplicate_started(gateway, now),
            CaptureEvent::Datagram { bytes, fate, .. } => self.membership.datagram(bytes, fate, now),
            CaptureEvent::MembershipReported { gateway, duplicate, requested_at_seconds, report } => {
                let found = self.membership.audit_report(gateway, duplicate, requested_at_seconds, &report);
                self.add_membership_violations(found, at.line);
            }
            _ => unreachable!("not a membership event"),
        }
    }

    fn add_membership_violations(&mut self, found: Vec<MembershipViolation>, line: usize) {
        for MembershipViolation { rule, since_seconds, description } in found {
            self.report.add_violation(Rule::Membership(rule), None, since_seconds, vec![line], description);
        }
    }

    /// Runs the checks that need the complete capture, and returns the report.
    pub fn finish(mut self) -> AuditReport {
        for (number, request) in self.requests.iter() {
            responses::audit_request(number, request, &self.requests, &self.outages, &mut self.report);
            effects::audit_request(number, request, &self.parameters, &mut self.report);
        }
        if self.parameters.counter_available {
            quotas::audit_counts(&self.parameters, &mut self.report);
        }
        if self.membership.is_started() {
            let found = self.membership.finish(self.ended_seconds);
            self.add_membership_violations(found, self.report.lines);
            self.report.membership = Some(self.membership.into_figures());
        }
        self.report.violations.sort_by(|a, b| (a.rule, a.lines.last()).cmp(&(b.rule, b.lines.last())));
        self.report
    }
}
