//! Rule 4: backends are not overloaded during their slow start. Within a window, a backend may get at most a multiple
//! of its current capacity.

use super::CapturePosition;
use super::report::{AuditReport, Rule};
use std::collections::{HashMap, VecDeque};
use weirusher_fakes::{BackendState, SlowStartLimits};

const RULE: Rule = Rule::ColdBackendsNotOverloaded;

/// An attempt that a backend admitted.
struct Arrival {
    at_seconds: f64,
    units: f64,
}

/// A backend in slow start.
struct StartingBackend {
    started: CapturePosition,
    /// Attempts admitted within the window.
    arrivals: VecDeque<Arrival>,
}

/// All backends in slow start.
#[derive(Default)]
pub(super) struct SlowStarts {
    by_backend: HashMap<String, StartingBackend>,
}

impl SlowStarts {
    pub fn backend_changed(
        &mut self,
        at: CapturePosition,
        backend: String,
        state: BackendState,
        report: &mut AuditReport,
    ) {
        match state {
            BackendState::Started => {
                let starting = StartingBackend { started: at, arrivals: VecDeque::new() };
                self.by_backend.insert(backend, starting);
            }
            BackendState::Killed => drop(self.by_backend.remove(&backend)),
            BackendState::Overloaded => {
                let description = format!("backend {backend} failed because of overload");
                report.add_violation(RULE, None, at.time_seconds, vec![at.line], description);
            }
        }
    }

    /// Checks the units that a backend admitted within the window, including this attempt, against its capacity.
    pub fn audit_execution(
        &mut self,
        at: CapturePosition,
        request: u64,
        units: f64,
        backend: &str,
        limits: Option<SlowStartLimits>,
        report: &mut AuditReport,
    ) {
        let now = at.time_seconds;
        let (Some(limits), Some(starting)) = (limits, self.by_backend.get_mut(backend)) else { return };
        let elapsed_share = (now - starting.started.time_seconds) / limits.duration_seconds.max(1e-3);
        let capacity_share = limits.initial_share + (1.0 - limits.initial_share) * elapsed_share;
        if capacity_share >= 1.0 {
            self.by_backend.remove(backend);
            return;
        }
        let window = limits.overload_window_seconds;
        let arrivals = &mut starting.arrivals;
        arrivals.push_back(Arrival { at_seconds: now, units });
        while arrivals.front().is_some_and(|arrival| arrival.at_seconds < now - window) {
            arrivals.pop_front();
        }
        let arrived: f64 = arrivals.iter().map(|arrival| arrival.units).sum();
        let capacity = limits.capacity_units_per_second * capacity_share * window;
        let max_units = limits.overload_multiple * capacity + limits.allowance_units;
        if arrived > max_units {
            let description = format!(
                "backend {backend} in slow start got {arrived:.1} units in {window} s, {max_units:.1} allowed"
            );
            let lines = vec![starting.started.line, at.line];
            report.add_violation(RULE, Some(request), now, lines, description);
        }
    }
}
