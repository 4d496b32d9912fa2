//! The writer's end of the queue: the thread that waits for standard error, and the only one.

use crate::line_counts::LineCounts;
use std::io::{self, Write};
use std::sync::Arc;

/// Writes queued lines to `output`. A line that cannot be written is dropped and counted: there is nowhere to report it.
pub struct Sink<W> {
    output: W,
    counts: Arc<LineCounts>,
}

impl<W: Write> Sink<W> {
    /// A sink for `output`.
    pub fn new(output: W, counts: Arc<LineCounts>) -> Self {
        Self { output, counts }
    }

    /// Tells of the lines that were dropped since it was last told.
    fn report_dropped(&mut self) {
        let dropped = self.counts.unreported();
        if dropped > 0 && writeln!(self.output, "{dropped} log lines were dropped").is_ok() {
            self.counts.report(dropped);
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
        let _ = self.output.flush(); // A failure shows at the next line.
        Ok(())
    }
}

#[cfg(test)]
mod tests;
