//! The contribution of each term of the bound.

use super::*;

/// Counter outages add no term: the bound does not depend on them.
#[test]
fn each_restart_and_counter_loss_adds_its_own_term() {
    let bound = OvershootBound { burst: 20.0, instances: 4.0, largest_request: 1.0 };
    assert_eq!(bound.max_excess(0, 0), 30.0);
    assert_eq!(bound.max_excess(1, 0) - bound.max_excess(0, 0), 10.0);
    assert_eq!(bound.max_excess(0, 2) - bound.max_excess(0, 0), 20.0);
    let many_instances = OvershootBound { burst: 20.0, instances: 100.0, largest_request: 1.0 };
    assert_eq!(many_instances.max_excess(0, 0), 110.0, "a fallback limit is at least one request");
}
