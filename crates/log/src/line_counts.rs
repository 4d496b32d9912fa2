//! Counts of log lines, shared by the threads that log and the one that writes.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};

/// Most lines that wait to be written.
pub const MAX_QUEUED_LINES: usize = 2048;
/// Most bytes of lines that wait to be written.
const MAX_QUEUED_BYTES: usize = 1024 * 1024;

/// Counts of log lines.
#[derive(Debug, Default)]
pub struct LineCounts {
    queued_lines: AtomicUsize,
    queued_bytes: AtomicUsize,
    dropped: AtomicU64,
    reported: AtomicU64,
}

impl LineCounts {
    /// Takes a place in the queue for a line of so many bytes; `false` if it does not fit. A long line fits an empty queue.
    pub fn try_queue(&self, bytes: usize) -> bool {
        let lines_before = self.queued_lines.fetch_add(1, Relaxed);
        let bytes_before = self.queued_bytes.fetch_add(bytes, Relaxed);
        let fits = lines_before < MAX_QUEUED_LINES
            && (bytes_before == 0 || bytes_before + bytes <= MAX_QUEUED_BYTES);
        if !fits {
            self.unqueue(bytes);
        }
        fits
    }

    /// A line left the queue.
    pub fn unqueue(&self, bytes: usize) {
        self.queued_bytes.fetch_sub(bytes, Relaxed);
        self.queued_lines.fetch_sub(1, Relaxed);
    }

    /// Lines that wait to be written, the one that is being written included.
    pub fn queued_lines(&self) -> usize {
        self.queued_lines.load(Relaxed)
    }

    /// A line was dropped.
    pub fn add_dropped(&self) {
        self.dropped.fetch_add(1, Relaxed);
    }

    /// Lines that were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Relaxed)
    }

    /// Lines that were dropped and that the log does not tell of yet; with [`LineCounts::report`] it does.
    pub fn unreported(&self) -> u64 {
        self.dropped().saturating_sub(self.reported.load(Relaxed))
    }

    /// The log tells of so many dropped lines more.
    pub fn report(&self, lines: u64) {
        self.reported.fetch_add(lines, Relaxed);
    }
}
