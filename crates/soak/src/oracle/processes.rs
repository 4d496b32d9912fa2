//! The rules `crash` and `log`: processes exit as expected, and log no failure.

use super::evidence::Evidence;
use super::finding::Finding;
use crate::record::{Exit, ExitKind};
use std::path::PathBuf;

/// Texts in the log of a node that show a failure.
const FAILURES: [&str; 4] =
    ["panicked", "is left without a response", "closed with requests that have no response", "ERROR"];
/// Precedes the counts of the node's own checks in its log.
const VIOLATION_COUNTS: &str = "violations=Violations";
/// The maximum number of lines that are reported per log.
const MAX_LINES: usize = 5;

/// A finding for each process that failed or did not exit.
pub(super) fn check_exits(evidence: &Evidence<'_>) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (incarnation, process) in &evidence.records.processes {
        let exit = match process.exit {
            Some(Exit { how: ExitKind::Expected, .. }) => continue,
            // Not a violation: the process was not ready yet, so no client had connected to it.
            Some(Exit { how: ExitKind::Terminated, .. }) if !process.was_ready => continue,
            Some(exit) => format!("failed at {:.3} s", evidence.seconds(exit.at)),
            None => "did not exit".into(),
        };
        findings.push(Finding::new("crash", format!("n{}.{} {exit}", incarnation.node, incarnation.number)));
    }
    findings
}

/// A finding for each log line that shows a failure, up to [`MAX_LINES`] per log.
pub(super) fn check_logs(logs: &[(PathBuf, String)]) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (file, log) in logs {
        for line in log.lines().filter(|line| is_failure(line)).take(MAX_LINES) {
            findings.push(Finding::new("log", format!("{}: {line}", file.display())));
        }
    }
    findings
}

fn is_failure(line: &str) -> bool {
    let counts = line.split_once(VIOLATION_COUNTS).map(|(_, counts)| counts);
    FAILURES.iter().any(|failure| line.contains(failure)) || counts.is_some_and(has_nonzero_count)
}

/// Whether any count is not 0 in `text`, which begins with the fields of a struct of counts in its `Debug` form.
fn has_nonzero_count(text: &str) -> bool {
    let end = text.find('}').unwrap_or(text.len());
    text[..end].split(": ").skip(1).any(|count| !count.starts_with('0'))
}
