//! Logging to standard error, bounded under a flood of lines.

use std::io::{self, IsTerminal, Write};
use std::sync::Mutex;
use std::time::Instant;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Log lines a second; further ones are dropped and counted.
const LINES_PER_SECOND: f64 = 200.0;
/// Log lines that may be written at once.
const BURST_LINES: f64 = 1000.0;
/// The filter where RUST_LOG has none.
const DEFAULT_FILTER: &str = "warn,weirusher_node=info";

/// A token bucket of log lines: what fails thousands of times a second must not fill a disk.
struct LineBudget {
    level: f64,
    refilled: Instant,
    dropped: u64,
}

/// Whether a line may be written.
#[derive(Debug, PartialEq, Eq)]
enum Decision {
    /// It may, and so many lines were dropped before it.
    Write {
        dropped_before: u64,
    },
    Drop,
}

impl LineBudget {
    fn new() -> Self {
        Self { level: BURST_LINES, refilled: Instant::now(), dropped: 0 }
    }

    fn take(&mut self) -> Decision {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled).as_secs_f64() * LINES_PER_SECOND;
        self.level = (self.level + refill).min(BURST_LINES);
        self.refilled = now;
        if self.level < 1.0 {
            self.dropped += 1;
            return Decision::Drop;
        }
        self.level -= 1.0;
        Decision::Write { dropped_before: std::mem::take(&mut self.dropped) }
    }
}

/// Makes the writer of each log line.
struct BoundedStderr(Mutex<LineBudget>);

/// The writer of one line.
enum LineWriter {
    Stderr,
    Discard,
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Self::Stderr => io::stderr().write(bytes),
            Self::Discard => Ok(bytes.len()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        io::stderr().flush()
    }
}

impl<'a> MakeWriter<'a> for BoundedStderr {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        match self.0.lock().expect("no holder panics").take() {
            Decision::Drop => LineWriter::Discard,
            Decision::Write { dropped_before } => {
                if dropped_before > 0 {
                    // There is nowhere else to report a failure.
                    let _ = writeln!(io::stderr(), "{dropped_before} log lines were dropped");
                }
                LineWriter::Stderr
            }
        }
    }
}

/// Starts logging, as text or as JSON.
pub fn start(json: bool) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(io::stderr().is_terminal())
        .with_writer(BoundedStderr(Mutex::new(LineBudget::new())));
    if json { builder.json().init() } else { builder.init() }
}

#[cfg(test)]
mod tests;
