//! Writes a capture: one line of JSON for each event.

use crate::capture::{CaptureEvent, CaptureRecord};
use crate::lock::lock;
use std::io::{self, BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The destination of a capture.
type Sink = Box<dyn Write + Send>;

/// Records the events of all fakes of a run. Clones write to the same capture.
#[derive(Clone)]
pub struct Recorder {
    origin: Instant,
    sink: Arc<Mutex<Option<BufWriter<Sink>>>>,
}

impl Recorder {
    /// Creates a recorder that writes to `sink`; without one, events are dropped.
    pub fn new(sink: Option<Sink>) -> Self {
        Self { origin: Instant::now(), sink: Arc::new(Mutex::new(sink.map(BufWriter::new))) }
    }

    /// Returns the seconds since the recorder was created.
    pub fn now(&self) -> f64 {
        self.origin.elapsed().as_secs_f64()
    }

    /// Records an event. The time is read under the lock, so that the lines of a capture are in order of time.
    ///
    /// # Panics
    /// If another thread has panicked while it held the lock.
    pub fn record(&self, event: CaptureEvent) {
        let mut sink = lock(&self.sink);
        let record = CaptureRecord { time_seconds: self.now(), event };
        if let Some(sink) = sink.as_mut() {
            let text = serde_json::to_string(&record).map_err(io::Error::from);
            if let Err(error) = text.and_then(|text| writeln!(sink, "{text}")) {
                tracing::error!(%error, "cannot write an event to the capture"); // The audit reports missing lines.
            }
        }
    }

    /// Flushes buffered lines.
    ///
    /// # Panics
    /// If another thread has panicked while it held the lock.
    pub fn flush(&self) {
        if let Some(sink) = lock(&self.sink).as_mut() {
            let _ = sink.flush(); // The audit of a truncated capture fails.
        }
    }
}
