//! Each term of the bound by itself.

use super::*;

#[test]
fn each_thing_forgotten_adds_its_own_term_and_outages_add_none() {
    let bound = OvershootBound { burst: 20.0, instances: 4.0, largest_request: 1.0 };
    assert_eq!(bound.max_excess(0, 0), 30.0);
    assert_eq!(bound.max_excess(1, 0) - bound.max_excess(0, 0), 10.0);
    assert_eq!(bound.max_excess(0, 2) - bound.max_excess(0, 0), 20.0);
    let thin = OvershootBound { burst: 20.0, instances: 100.0, largest_request: 1.0 };
    assert_eq!(thin.max_excess(0, 0), 110.0, "a fallback limit is one request at least");
}
