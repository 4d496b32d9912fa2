//! Writes a capture: one JSON line for each event.

use crate::capture::{CaptureEvent, CaptureRecord};
use crate::lock::lock;
use std::io::{self, BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Where a capture is written to.
type Sink = Box<dyn Write + Send>;

/// Records the events of all fakes of a run; clones write to the same capture.
#[derive(Clone)]
pub struct Recorder {
    origin: Instant,
    sink: Arc<Mutex<Option<BufWriter<Sink>>>>,
}

impl Recorder {
    /// A recorder that writes to `sink`; without one, events are dropped.
    pub fn new(sink: Option<Sink>) -> Self {
        Self { origin: Instant::now(), sink: Arc::new(Mutex::new(sink.map(BufWriter::new))) }
    }

    /// Seconds since the recorder was made.
    pub fn now(&self) -> f64 {
        self.origin.elapsed().as_secs_f64()
    }

    /// Records an event. Its time is taken under the lock, so that lines are in the order of their times.
    ///
    /// # Panics
    /// If another thread has panicked while it held the lock.
    pub fn record(&self, event: CaptureEvent) {
        let mut sink = lock(&self.sink);
        let record = CaptureRecord { time_seconds: self.now(), event };
        if let Some(sink) = sink.as_mut() {
            let text = serde_json::to_string(&record).map_err(io::Error::from);
            if let Err(error) = text.and_then(|text| writeln!(sink, "{text}")) {
                tracing::error!(%error, "the capture cannot be written"); // The audit finds that lines are missing.
            }
        }
    }

    /// Writes out what is buffered.
    ///
    /// # Panics
    /// If another thread has panicked while it held the lock.
    pub fn flush(&self) {
        if let Some(sink) = lock(&self.sink).as_mut() {
            let _ = sink.flush(); // A truncated capture fails its audit.
        }
    }
}
