//! What a gateway used, and how much it may use at a larger size of the fleet.

use super::fleet_size::FleetSize;
use procfs::process::Process;

const NANOS_PER_SECOND: f64 = 1e9;
/// Bytes in a kilobyte of `/proc`.
const KIBIBYTE: f64 = 1024.0;
/// Bytes in a kilobyte of the reports.
const KILOBYTE: f64 = 1e3;
/// Bytes in a megabyte of the reports.
const MEGABYTE: f64 = 1e6;

/// What one gateway used over a run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_seconds: f64,
    /// The peak of the resident memory, in bytes.
    pub peak_memory: f64,
    /// The most descriptors that were open at a sample.
    pub descriptors: f64,
    /// Connections made to backends.
    pub connections: f64,
    /// Bytes of lists and changes that discovery sent.
    pub list_bytes: f64,
    /// The fraction of the requests that were served.
    pub served: f64,
}

impl Usage {
    /// Updates the peaks with a sample of a running process. Processor time is that of its present threads.
    ///
    /// # Errors
    /// The process has ended.
    pub(super) fn read(&mut self, process: &Process) -> procfs::ProcResult<()> {
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

/// One resource at two sizes of the fleet, with its bound.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The resource, with its unit.
    pub name: &'static str,
    /// At the usual size.
    pub usual: f64,
    /// At the larger size.
    pub large: f64,
    /// The bound at the larger size.
    pub bound: f64,
    /// Whether the bound is a minimum; otherwise it is a maximum.
    pub is_least: bool,
}

impl Row {
    /// Whether the larger size is within its bound.
    pub fn holds(&self) -> bool {
        if self.is_least { self.large >= self.bound } else { self.large <= self.bound }
    }
}

/// The platform's bounds on growth: for each resource a factor on its usage at the usual size, and an added allowance
/// (for some by 1000 backends).
pub fn compare(usual: &Usage, large: &Usage, size: FleetSize) -> Vec<Row> {
    let thousands = size.backends as f64 / 1000.0;
    let maximum = |name, usual: f64, large: f64, factor: f64, allowance: f64| Row {
        name,
        usual,
        large,
        bound: factor * usual + allowance,
        is_least: false,
    };
    vec![
        maximum("CPU seconds", usual.cpu_seconds, large.cpu_seconds, 1.4, 0.02 + 0.03 * thousands),
        maximum(
            "peak memory, MB",
            usual.peak_memory / MEGABYTE,
            large.peak_memory / MEGABYTE,
            1.5,
            8.0 + 4.0 * thousands,
        ),
        maximum("descriptors", usual.descriptors, large.descriptors, 2.0, 40.0),
        maximum("connections made to backends", usual.connections, large.connections, 2.5, 40.0),
        maximum(
            "kB of lists",
            usual.list_bytes / KILOBYTE,
            large.list_bytes / KILOBYTE,
            2.0,
            64.0 + 500.0 * thousands,
        ),
        Row {
            name: "share served",
            usual: usual.served,
            large: large.served,
            bound: 0.85 * usual.served,
            is_least: true,
        },
    ]
}
