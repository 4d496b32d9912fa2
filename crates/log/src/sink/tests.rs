//! A sink whose output fails for some time, and the bounds of the queue.

use super::{LineCounts, Sink};
use std::io::{self, Write};
use std::sync::Arc;

/// An output whose first `failures` writes fail.
#[derive(Default)]
struct Output {
    failures: usize,
    written: String,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.failures > 0 {
            self.failures -= 1;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.written.push_str(std::str::from_utf8(bytes).unwrap());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn failed_lines_are_reported_once_writes_succeed() {
    let counts = Arc::new(LineCounts::default());
    let mut sink = Sink::new(Output { failures: 3, ..Output::default() }, counts.clone());
    for line in ["a\n", "b\n", "c\n", "d\n"] {
        assert!(counts.try_queue(line.len()));
        sink.write_all(line.as_bytes()).unwrap();
    }
    // Line a fails, then the notice before line b and line b itself; the notice before line c succeeds.
    assert_eq!(sink.output.written, "2 log lines were dropped\nc\nd\n");
    assert_eq!((counts.dropped(), counts.queued_lines()), (2, 0));
}

#[test]
fn the_queue_is_bounded_in_bytes() {
    let counts = LineCounts::default();
    assert!(counts.try_queue(8 * 1024 * 1024), "a long line fits into an empty queue");
    assert!(!counts.try_queue(1));
    counts.unqueue(8 * 1024 * 1024);
    assert!((0..4).all(|_| counts.try_queue(256 * 1024)));
    assert!(!counts.try_queue(1));
    assert_eq!(counts.queued_lines(), 4);
}
