//! The consumer's side of the queue. Its thread is the only one that may block on standard error.

use crate::line_counts::LineCounts;
use std::io::{self, Write};
use std::sync::Arc;

/// Writes queued lines to `output`. A line that cannot be written is counted as dropped, since there is nowhere to
/// report the error.
pub struct Sink<W> {
    output: W,
    counts: Arc<LineCounts>,
}

impl<W: Write> Sink<W> {
    /// Creates a sink that writes to `output`.
    pub fn new(output: W, counts: Arc<LineCounts>) -> Self {
        Self { output, counts }
    }

    /// Logs the number of lines dropped since the last such notice.
    fn report_dropped(&mut self) {
        let dropped = self.counts.unreported();
        if dropped > 0 && writeln!(self.output, "{dropped} log lines were dropped").is_ok() {
            self.counts.add_reported(dropped);
        }
    }
}

impl<W: Write> Write for Sink<W> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.report_dropped();
        if self.output.write_all(line).is_err() {
            self.counts.add_dropped();
        }
        self.counts.unqueue(line.len());
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let _ = self.output.flush(); // An error recurs with the next line, which is then counted as dropped.
        Ok(())
    }
}

#[cfg(test)]
mod tests;
