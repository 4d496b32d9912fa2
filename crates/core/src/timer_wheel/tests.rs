//! Comparison of the wheel with an ordered map.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
enum Step {
    Set(u64),
    Cancel(usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let ahead = prop_oneof![0..200u64, 0..20_000u64, 0..40_000_000u64];
    prop_oneof![
        4 => ahead.clone().prop_map(Step::Set),
        1 => (0..64usize).prop_map(Step::Cancel),
        2 => ahead.prop_map(Step::Advance),
    ]
}

proptest! {
    /// The wheel and an ordered map return the same values at the same times in the same order.
    #[test]
    fn the_wheel_agrees_with_an_ordered_map(steps in proptest::collection::vec(step(), 1..120)) {
        let (mut wheel, mut map) = (TimerWheel::new(0.0), BTreeMap::new());
        let (mut now, mut keys) = (0u64, Vec::new());
        for (n, step) in steps.into_iter().enumerate() {
            match step {
                Step::Set(ahead) => {
                    keys.push((wheel.set((now + ahead) as f64 * TICK_SECONDS, n), (now + ahead, n)));
                    map.insert((now + ahead, n), n);
                }
                Step::Cancel(i) if !keys.is_empty() => {
                    let (key, place) = keys[i % keys.len()];
                    prop_assert_eq!(wheel.cancel(key), map.remove(&place));
                }
                Step::Cancel(_) => {}
                Step::Advance(ahead) => {
                    now += ahead;
                    // Half a tick later, so that rounding of the time does not matter.
                    let due = wheel.expire((now as f64 + 0.5) * TICK_SECONDS);
                    let later = map.split_off(&(now + 1, 0));
                    let expected: Vec<usize> = std::mem::replace(&mut map, later).into_values().collect();
                    prop_assert_eq!(due, expected);
                }
            }
            prop_assert_eq!(wheel.len(), map.len());
            if let Some(((first, _), _)) = map.first_key_value() {
                prop_assert!(wheel.next_expiry().unwrap() <= *first as f64 * TICK_SECONDS + 1e-9);
            }
        }
    }
}
