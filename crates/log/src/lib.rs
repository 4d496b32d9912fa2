//! The process's log: lines on standard error, written by a thread of its own.
//!
//! A thread that logs neither blocks nor fails if standard error does. Lines go through a queue that
//! is bounded in lines and bytes. A line that does not fit, exceeds the rate limit or cannot be written is
//! dropped and counted; the number of dropped lines is logged once lines can be written again.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod line_budget;
mod line_counts;
mod sink;

use line_budget::LineBudget;
use line_counts::{LineCounts, MAX_QUEUED_LINES};
use sink::Sink;
use std::io::{self, IsTerminal, Write};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// The filter if `RUST_LOG` is unset or invalid.
const DEFAULT_FILTER: &str = "warn,weirusher_node=info";
/// How often [`finish`] checks whether all lines are written.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Plain text.
    Text,
    /// One JSON object a line.
    Json,
}

/// The log of this process; unset until [`start`].
static LOG: OnceLock<Log> = OnceLock::new();

struct Log {
    queue: Queue,
    /// Never dropped, as it is in a static: dropping it waits for the writer thread, which may be blocked by
    /// standard error.
    _writer: WorkerGuard,
}

/// The producers' side of the queue.
#[derive(Clone)]
struct Queue {
    writer: NonBlocking,
    counts: Arc<LineCounts>,
}

impl Queue {
    fn push(&mut self, line: &[u8]) {
        if self.counts.try_queue(line.len()) {
            let _ = self.writer.write_all(line); // Cannot fail: `try_queue` accepts no more lines than fit.
        } else {
            self.counts.add_dropped();
        }
    }
}

/// Creates the writer of each log line, and enforces the rate limit.
struct QueuedStderr {
    budget: Mutex<LineBudget>,
    queue: Queue,
}

/// The writer of one line; `None` discards the line.
struct LineWriter(Option<Queue>);

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Some(queue) = &mut self.0 {
            queue.push(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for QueuedStderr {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        let has_budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner).try_take();
        if !has_budget {
            self.queue.counts.add_dropped();
        }
        LineWriter(has_budget.then(|| self.queue.clone()))
    }
}

/// Starts the log and its writer thread. Further calls have no effect.
pub fn start(format: Format) {
    let counts = Arc::new(LineCounts::default());
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .thread_name("log")
        .finish(Sink::new(io::stderr(), counts.clone()));
    let queue = Queue { writer, counts };
    if LOG.set(Log { queue: queue.clone(), _writer: guard }).is_err() {
        return;
    }
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(io::stderr().is_terminal())
        // Otherwise the thread that logs would write these errors to standard error itself, and could block there.
        .log_internal_errors(false)
        .with_writer(QueuedStderr { budget: Mutex::new(LineBudget::new()), queue });
    match format {
        Format::Text => builder.init(),
        Format::Json => builder.json().init(),
    }
}

/// Writes a text to standard error in order with the log lines, regardless of the filter and the rate limit.
pub fn write_line(text: &str) {
    if let Some(log) = LOG.get() {
        log.queue.clone().push(text.as_bytes());
    }
}

/// Waits until all queued lines are written, for at most `timeout`.
pub fn finish(timeout: Duration) {
    let Some(log) = LOG.get() else { return };
    let end = Instant::now() + timeout;
    while log.queue.counts.queued_lines() > 0 && Instant::now() < end {
        std::thread::sleep(FINISH_POLL_INTERVAL);
    }
}

/// The number of lines that were dropped since the start.
pub fn dropped_lines() -> u64 {
    LOG.get().map_or(0, |log| log.queue.counts.dropped())
}

#[cfg(test)]
mod tests;
