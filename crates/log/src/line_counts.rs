//! Counts of log lines, shared by the threads that log and the writer thread.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};

/// Maximum number of lines in the queue.
pub const MAX_QUEUED_LINES: usize = 2048;
/// Maximum number of bytes in the queue, unless it holds a single longer line.
const MAX_QUEUED_BYTES: usize = 1024 * 1024;

/// Counts of queued and dropped lines.
#[derive(Debug, Default)]
pub struct LineCounts {
    queued_lines: AtomicUsize,
    queued_bytes: AtomicUsize,
    dropped: AtomicU64,
    reported: AtomicU64,
}

impl LineCounts {
    /// Reserves space in the queue for a line of `bytes` bytes; `false` if it does not fit. A line of any length fits
    /// into an empty queue.
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

    /// Releases the space of a line that was taken off the queue.
    pub fn unqueue(&self, bytes: usize) {
        self.queued_bytes.fetch_sub(bytes, Relaxed);
        self.queued_lines.fetch_sub(1, Relaxed);
    }

    /// Number of lines in the queue, including the one that is being written.
    pub fn queued_lines(&self) -> usize {
        self.queued_lines.load(Relaxed)
    }

    /// Counts a dropped line.
    pub fn add_dropped(&self) {
        self.dropped.fetch_add(1, Relaxed);
    }

    /// Number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Relaxed)
    }

    /// Number of dropped lines that the log does not mention yet; see [`LineCounts::add_reported`].
    pub fn unreported(&self) -> u64 {
        self.dropped().saturating_sub(self.reported.load(Relaxed))
    }

    /// Records that the log now mentions this many further dropped lines.
    pub fn add_reported(&self, lines: u64) {
        self.reported.fetch_add(lines, Relaxed);
    }
}
