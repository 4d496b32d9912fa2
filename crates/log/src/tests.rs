//! The rate limit of log lines, on the side of the threads that log.

use super::{LineBudget, LineCounts, MakeWriter, Mutex, NonBlockingBuilder, Queue, QueuedStderr};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[test]
fn lines_beyond_the_rate_limit_are_dropped_and_counted() {
    let counts = Arc::new(LineCounts::default());
    let (writer, _guard) = NonBlockingBuilder::default().finish(std::io::sink());
    // With a last refill in the future, no tokens are added during the test.
    let refilled_at = Instant::now() + Duration::from_secs(3600);
    let budget = Mutex::new(LineBudget { level: 2.0, refilled_at });
    let stderr = QueuedStderr { budget, queue: Queue { writer, counts: counts.clone() } };
    let written = (0..5).filter(|_| stderr.make_writer().0.is_some()).count();
    assert_eq!(written, 2);
    assert_eq!(counts.dropped(), 3);
}
