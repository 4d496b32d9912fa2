//! The rules of every shared state: deltas may be lost, duplicated and reordered, sizes are bounded, and differences are
//! found.

use proptest::prelude::*;
use weirusher_fleet::{MAX_DATAGRAM_BYTES, Membership, Registers, SelfReport, Settings, SharedState};

const SIZE: u16 = 150;
const MAX_VALUE_BYTES: usize = 48;

/// Writes as members make them: member, incarnation and value.
type Writes = Vec<(u16, u64, Vec<u16>)>;

fn writes() -> impl Strategy<Value = Writes> {
    prop::collection::vec((0..SIZE, 1u64..5, prop::collection::vec(0..SIZE, 0..8)), 0..40)
}

/// A state with these writes.
fn written(writes: &Writes) -> Registers<SelfReport> {
    let mut state = Registers::new(SIZE, MAX_VALUE_BYTES);
    for (member, incarnation, unheard) in writes {
        state.write(*member, *incarnation, &SelfReport { unheard_subjects: unheard.clone() }).unwrap();
    }
    state
}

fn copy(state: &Registers<SelfReport>) -> Vec<Vec<u8>> {
    state.deltas(&[], 1000, usize::MAX).unwrap()
}

fn contents(state: &Registers<SelfReport>) -> Vec<Option<SelfReport>> {
    (0..SIZE).map(|member| state.read(member)).collect()
}

fn merged(deltas: &[&Vec<u8>]) -> Registers<SelfReport> {
    let mut state = Registers::new(SIZE, MAX_VALUE_BYTES);
    for delta in deltas {
        state.merge(delta, true).unwrap();
    }
    state
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent(a in writes(), b in writes(), c in writes()) {
        let [a, b, c] = [a, b, c].map(|w| copy(&written(&w)));
        let (ab, ba): (Vec<_>, Vec<_>) = (a.iter().chain(&b).collect(), b.iter().chain(&a).collect());
        prop_assert_eq!(contents(&merged(&ab)), contents(&merged(&ba)));
        let bc = copy(&merged(&b.iter().chain(&c).collect::<Vec<_>>()));
        let left = copy(&merged(&ab));
        let left = merged(&left.iter().chain(&c).collect::<Vec<_>>());
        let right = merged(&a.iter().chain(&bc).collect::<Vec<_>>());
        prop_assert_eq!(contents(&left), contents(&right));
        let twice = merged(&ab.iter().chain(&ab).copied().collect::<Vec<_>>());
        prop_assert_eq!(contents(&twice), contents(&merged(&ab)));
    }

    #[test]
    fn digests_find_what_differs_whatever_is_lost(a in writes(), b in writes(), lost in any::<u64>()) {
        let (mut a, mut b) = (written(&a), written(&b));
        let mut rng = fastrand::Rng::with_seed(lost);
        for _ in 0..200 {
            let (digest_a, digest_b) = (a.digest(400), b.digest(400));
            prop_assert!(digest_a.len() <= 400 && digest_b.len() <= 400);
            for delta in b.deltas(&digest_a, 200, 2).unwrap() {
                prop_assert!(delta.len() <= 200);
                if rng.bool() { a.merge(&delta, true).unwrap(); }
            }
            for delta in a.deltas(&digest_b, 200, 2).unwrap() {
                if rng.bool() { b.merge(&delta, true).unwrap(); }
            }
        }
        prop_assert_eq!(contents(&a), contents(&b));
        let digest = a.digest(1000);
        prop_assert!(b.deltas(&digest, 1000, 9).unwrap().is_empty(), "equal states have nothing to give");
    }

    #[test]
    fn a_malformed_delta_is_rejected_whole(bytes in prop::collection::vec(any::<u8>(), 0..200), a in writes()) {
        let mut state = written(&a);
        let before = contents(&state);
        if state.merge(&bytes, true).is_err() {
            prop_assert_eq!(contents(&state), before);
        }
        let _ = state.deltas(&bytes, 1000, 3); // It must not panic.
        prop_assert!(state.deltas(&[], 1000, usize::MAX).unwrap().iter().all(|delta| delta.len() <= 1000));
    }
}

#[test]
fn the_newest_write_wins_also_under_a_wall_clock_that_was_set_back() {
    let report = |n: u16| SelfReport { unheard_subjects: vec![n] };
    let mut state = Registers::new(4, MAX_VALUE_BYTES);
    state.write(1, 1000, &report(1)).unwrap();
    state.write(1, 900, &report(2)).unwrap();
    state.write(1, 900, &report(3)).unwrap();
    assert_eq!(state.read(1), Some(report(3)));
    let mut other = Registers::new(4, MAX_VALUE_BYTES);
    other.write(1, 1000, &report(1)).unwrap();
    copy(&state).iter().for_each(|delta| assert_eq!(other.merge(delta, true), Ok(true)));
    assert_eq!(other.read(1), Some(report(3)));
    copy(&state).iter().for_each(|delta| assert_eq!(other.merge(delta, true), Ok(false)));
}

#[test]
fn a_value_larger_than_a_register_is_rejected() {
    let mut state = Registers::new(4, MAX_VALUE_BYTES);
    assert!(state.write(1, 1, &SelfReport { unheard_subjects: vec![60_000; 30] }).is_err());
    assert_eq!(state.read(1), None);
}

#[test]
fn a_write_is_gossiped_a_limited_number_of_times() {
    let mut state = Registers::new(4, MAX_VALUE_BYTES);
    state.write(1, 1, &SelfReport::default()).unwrap();
    let sent = std::iter::from_fn(|| state.next_gossip(100)).take(1000).count();
    assert!((8..100).contains(&sent), "{sent}");
    assert_eq!(state.next_gossip(3), None, "what does not fit is not sent");
}

/// Two members share seven states, all full at one of them: whatever is sent fits a datagram, and the states reach the
/// other.
#[test]
fn shared_states_reach_the_others_in_datagrams_that_fit() {
    const MEMBERS: u16 = 500;
    let address = |n: u16| std::net::SocketAddr::from(([127, 0, 0, 1], 3000 + n));
    let mut fleets: Vec<Membership> = (0..2)
        .map(|me| {
            let members = (0..MEMBERS).map(address).collect();
            let settings = Settings { instance: me, members, key: vec![7; 32] };
            Membership::new(settings, 100 + u64::from(me), u64::from(me), 0).unwrap()
        })
        .collect();
    let mut kinds = Vec::new();
    for fleet in &mut fleets {
        kinds = (0..7)
            .map(|_| {
                fleet
                    .register_shared_state(Box::new(Registers::<SelfReport>::new(MEMBERS, MAX_VALUE_BYTES)))
                    .unwrap()
            })
            .collect();
    }
    let mut full = Registers::new(MEMBERS, MAX_VALUE_BYTES);
    for member in 0..MEMBERS {
        full.write(member, 1, &SelfReport { unheard_subjects: vec![60_000; 8] }).unwrap();
    }
    for delta in copy(&full) {
        for kind in &kinds {
            fleets[0].shared_state(*kind).unwrap().merge(&delta, false).unwrap();
        }
    }
    // Time for 7 times 500 registers of 30 bytes at 8,000 bytes a second.
    for now in (0..120_000).step_by(10) {
        for from in 0..2u16 {
            fleets[usize::from(from)].handle_timeout(now);
            while let Some((to, bytes)) = fleets[usize::from(from)].poll_transmit() {
                assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
                if to == address(1 - from) {
                    fleets[usize::from(1 - from)].handle_datagram(address(from), &bytes, now);
                }
            }
        }
    }
    let [first, second] = &mut fleets[..] else { unreachable!("there are two") };
    for kind in kinds {
        let (first, second) = (first.shared_state(kind).unwrap(), second.shared_state(kind).unwrap());
        assert_eq!(first.deltas(&[], 1000, usize::MAX), second.deltas(&[], 1000, usize::MAX), "{kind}");
    }
    assert_eq!(second.counters().malformed_state, 0);
}
