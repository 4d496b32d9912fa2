//! Compares the timing wheel with an ordered map for a gateway's use of timers: most are cancelled, the rest
//! expire.
//!
//! `cargo bench -p weirusher-core --bench wheel`. The ratio of the two is the result to compare.

use std::collections::BTreeMap;
use std::time::Instant;
use weirusher_core::TimerWheel;

const ROUNDS: u64 = 1_000_000;

fn wheel(open: u64) -> f64 {
    let (mut rng, mut wheel, mut keys) = (fastrand::Rng::with_seed(1), TimerWheel::new(0.0), Vec::new());
    let (mut due, began) = (0, Instant::now());
    for n in 0..ROUNDS {
        let now = n as f64 * 1e-5;
        keys.push(wheel.set(now + 0.05 + 3.0 * rng.f64(), n));
        if n >= open {
            wheel.cancel(keys[(n - open) as usize]);
        }
        due += wheel.expire(now).len();
    }
    std::hint::black_box(due);
    began.elapsed().as_secs_f64() * 1e9 / ROUNDS as f64
}

fn map(open: u64) -> f64 {
    let (mut rng, mut map, mut keys) = (fastrand::Rng::with_seed(1), BTreeMap::new(), Vec::new());
    let (mut due, began) = (0, Instant::now());
    for n in 0..ROUNDS {
        let now = n * 10;
        let at = (now + 50_000 + (3e6 * rng.f64()) as u64, n);
        map.insert(at, n);
        keys.push(at);
        if n >= open {
            map.remove(&keys[(n - open) as usize]);
        }
        while map.first_entry().is_some_and(|first| first.key().0 <= now) {
            map.pop_first();
            due += 1;
        }
    }
    std::hint::black_box(due);
    began.elapsed().as_secs_f64() * 1e9 / ROUNDS as f64
}

fn main() {
    for open in [100, 10_000, 100_000] {
        let best = |f: fn(u64) -> f64| (0..3).map(|_| f(open)).fold(f64::INFINITY, f64::min);
        let (wheel_ns, map_ns) = (best(wheel), best(map));
        println!(
            "{open:>7} open: wheel {wheel_ns:.0} ns, map {map_ns:.0} ns, ratio {:.2}",
            wheel_ns / map_ns
        );
    }
}
