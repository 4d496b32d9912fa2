//! The budget of log lines.

use super::{Decision, Instant, LineBudget};
use std::time::Duration;

#[test]
fn a_flood_is_dropped_and_counted() {
    // Refilled in the future: nothing is refilled during the test.
    let refilled = Instant::now() + Duration::from_secs(3600);
    let mut budget = LineBudget { level: 2.0, refilled, dropped: 0 };
    let decisions: Vec<Decision> = (0..5).map(|_| budget.take()).collect();
    let written = decisions.iter().filter(|decision| **decision != Decision::Drop).count();
    assert_eq!(written, 2);
    assert_eq!(budget.dropped, 3);
}
