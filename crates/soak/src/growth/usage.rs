//! The resource usage of a gateway, and its bounds at a larger fleet size.

use super::fleet_size::FleetSize;
use procfs::process::Process;

const NANOS_PER_SECOND: f64 = 1e9;
/// Bytes in a "kB" of `/proc`.
const KIBIBYTE: f64 = 1024.0;
/// Bytes in a "kB" of the reports.
const KILOBYTE: f64 = 1e3;
/// Bytes in a "MB" of the reports.
const MEGABYTE: f64 = 1e6;

/// The resource usage of one gateway over a run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// CPU time, in seconds.
    pub cpu_seconds: f64,
    /// Peak resident memory, in bytes.
    pub peak_memory: f64,
    /// The largest number of open file descriptors in any sample.
    pub descriptors: f64,
    /// Connections opened to backends.
    pub connections: f64,
    /// Bytes of endpoint lists and list changes that discovery sent.
    pub list_bytes: f64,
    /// The fraction of the requests that got a response with status 200.
    pub served: f64,
}

impl Usage {
    /// Updates the maxima with a sample of a running process. The CPU time is the sum over the threads that
    /// exist now.
    ///
    /// # Errors
    /// The process has exited, or its entry in `/proc` cannot be read.
    pub(super) fn update(&mut self, process: &Process) -> procfs::ProcResult<()> {
        let mut nanos = 0;
        for task in process.tasks()?.flatten() {
            nanos += task.schedstat()?.sum_exec_runtime;
        }
        self.cpu_seconds = self.cpu_seconds.max(nanos as f64 / NANOS_PER_SECOND);
        let peak = process.status()?.vmhwm.unwrap_or_default();
        self.peak_memory = self.peak_memory.max(peak as f64 * KIBIBYTE);
        self.descriptors = self.descriptors.max(process.fd_count()? as f64);
        Ok(())
    }
}

/// The usage of one resource at two fleet sizes, with its bound.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The name of the resource, with its unit.
    pub name: &'static str,
    /// The usage at the usual size.
    pub usual: f64,
    /// The usage at the larger size.
    pub large: f64,
    /// The bound at the larger size.
    pub bound: f64,
    /// Whether the bound is a minimum rather than a maximum.
    pub is_minimum: bool,
}

impl Row {
    /// Whether the usage at the larger size is within its bound.
    pub fn is_within_bound(&self) -> bool {
        if self.is_minimum { self.large >= self.bound } else { self.large <= self.bound }
    }
}

/// Compares two usages by the platform's bounds on growth. The bound on a resource is its usage at the usual
/// size times a factor, plus a fixed allowance and, for some resources, an allowance for every 1000 backends.
/// Only the served fraction has a minimum: 85% of the one at the usual size.
pub fn compare(usual: &Usage, large: &Usage, size: FleetSize) -> Vec<Row> {
    let thousand_backends = size.backends as f64 / 1000.0;
    let maximum = |name, usual: f64, large: f64, factor: f64, allowance: f64| Row {
        name,
        usual,
        large,
        bound: factor * usual + allowance,
        is_minimum: false,
    };
    vec![
        maximum("CPU seconds", usual.cpu_seconds, large.cpu_seconds, 1.4, 0.02 + 0.03 * thousand_backends),
        maximum(
            "peak memory, MB",
            usual.peak_memory / MEGABYTE,
            large.peak_memory / MEGABYTE,
            1.5,
            8.0 + 4.0 * thousand_backends,
        ),
        maximum("descriptors", usual.descriptors, large.descriptors, 2.0, 40.0),
        maximum("connections made to backends", usual.connections, large.connections, 2.5, 40.0),
        maximum(
            "kB of lists",
            usual.list_bytes / KILOBYTE,
            large.list_bytes / KILOBYTE,
            2.0,
            64.0 + 500.0 * thousand_backends,
        ),
        Row {
            name: "share served",
            usual: usual.served,
            large: large.served,
            bound: 0.85 * usual.served,
            is_minimum: true,
        },
    ]
}
