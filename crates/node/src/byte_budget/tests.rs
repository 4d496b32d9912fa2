//! The permits of a budget together stay within its capacity, and release their bytes on drop.

use super::*;

#[test]
fn bodies_share_a_budget_and_free_their_bytes() {
    let budget = ByteBudget::new(10);
    let (mut one, mut other) = (budget.permit(), budget.permit());
    assert!(one.try_grow_to(4) && other.try_grow_to(6));
    assert!(one.try_grow_to(3), "a permit never shrinks");
    assert!(!one.try_grow_to(5), "the budget is exhausted");
    drop(other);
    assert!(one.try_grow_to(10) && !budget.permit().try_grow_to(1));
    drop(one);
    assert!(budget.permit().try_grow_to(10));
}
