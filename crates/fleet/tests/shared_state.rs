//! Properties that every shared state must have: deltas may be lost, duplicated and reordered, sizes are bounded, and
//! digests reveal all differences.

use proptest::prelude::*;
use weirusher_fleet::{
    MAX_DATAGRAM_BYTES, Membership, MembershipSettings, Registers, SelfReport, SharedState,
};

const SIZE: u16 = 150;
const MAX_VALUE_BYTES: usize = 48;

/// Writes to registers: member, incarnation and value.
type Writes = Vec<(u16, u64, Vec<u16>)>;

fn writes() -> impl Strategy<Value = Writes> {
    prop::collection::vec((0..SIZE, 1u64..5, prop::collection::vec(0..SIZE, 0..8)), 0..40)
}

/// Registers after these writes.
fn registers_after(writes: &Writes) -> Registers<SelfReport> {
    let mut state = Registers::new(SIZE, MAX_VALUE_BYTES);
    for (member, incarnation, unheard) in writes {
        state.write(*member, *incarnation, &SelfReport { unheard_subjects: unheard.clone() }).unwrap();
    }
    state
}

fn all_deltas(state: &Registers<SelfReport>) -> Vec<Vec<u8>> {
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
        let [a, b, c] = [a, b, c].map(|w| all_deltas(&registers_after(&w)));
        let (ab, ba): (Vec<_>, Vec<_>) = (a.iter().chain(&b).collect(), b.iter().chain(&a).collect());
        prop_assert_eq!(contents(&merged(&ab)), contents(&merged(&ba)));
        let bc = all_deltas(&merged(&b.iter().chain(&c).collect::<Vec<_>>()));
        let left = all_deltas(&merged(&ab));
        let left = merged(&left.iter().chain(&c).collect::<Vec<_>>());
        let right = merged(&a.iter().chain(&bc).collect::<Vec<_>>());
        prop_assert_eq!(contents(&left), contents(&right));
        let twice = merged(&ab.iter().chain(&ab).copied().collect::<Vec<_>>());
        prop_assert_eq!(contents(&twice), contents(&merged(&ab)));
    }

    #[test]
    fn digests_find_all_differences_despite_loss(a in writes(), b in writes(), lost in any::<u64>()) {
        let (mut a, mut b) = (registers_after(&a), registers_after(&b));
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
        prop_assert!(b.deltas(&digest, 1000, 9).unwrap().is_empty(), "equal states produce no deltas");
    }

    #[test]
    fn malformed_delta_changes_nothing(bytes in prop::collection::vec(any::<u8>(), 0..200), a in writes()) {
        let mut state = registers_after(&a);
        let before = contents(&state);
        if state.merge(&bytes, true).is_err() {
            prop_assert_eq!(contents(&state), before);
        }
        let _ = state.deltas(&bytes, 1000, 3); // Must not panic.
        prop_assert!(state.deltas(&[], 1000, usize::MAX).unwrap().iter().all(|delta| delta.len() <= 1000));
    }
}

#[test]
fn newest_write_wins_even_if_the_clock_was_set_back() {
    let report = |n: u16| SelfReport { unheard_subjects: vec![n] };
    let mut state = Registers::new(4, MAX_VALUE_BYTES);
    state.write(1, 1000, &report(1)).unwrap();
    state.write(1, 900, &report(2)).unwrap();
    state.write(1, 900, &report(3)).unwrap();
    assert_eq!(state.read(1), Some(report(3)));
    let mut other = Registers::new(4, MAX_VALUE_BYTES);
    other.write(1, 1000, &report(1)).unwrap();
    all_deltas(&state).iter().for_each(|delta| assert_eq!(other.merge(delta, true), Ok(true)));
    assert_eq!(other.read(1), Some(report(3)));
    all_deltas(&state).iter().for_each(|delta| assert_eq!(other.merge(delta, true), Ok(false)));
}

#[test]
fn value_larger_than_a_register_is_rejected() {
    let mut state = Registers::new(4, MAX_VALUE_BYTES);
    assert!(state.write(1, 1, &SelfReport { unheard_subjects: vec![60_000; 30] }).is_err());
    assert_eq!(state.read(1), None);
}

#[test]
fn write_is_gossiped_a_limited_number_of_times() {
    let mut state = Registers::new(4, MAX_VALUE_BYTES);
    state.write(1, 1, &SelfReport::default()).unwrap();
    let sent = std::iter::from_fn(|| state.next_gossip(100)).take(1000).count();
    assert!((8..100).contains(&sent), "{sent}");
    assert_eq!(state.next_gossip(3), None, "an entry that does not fit is not sent");
}

/// Two members share seven states, all of them full at the first member. Every datagram fits the size limit, and the
/// second member receives all states.
#[test]
fn shared_states_are_replicated_within_the_datagram_limit() {
    const MEMBERS: u16 = 500;
    let address = |n: u16| std::net::SocketAddr::from(([127, 0, 0, 1], 3000 + n));
    let mut memberships: Vec<Membership> = (0..2)
        .map(|me| {
            let members = (0..MEMBERS).map(address).collect();
            let settings = MembershipSettings { instance: me, members, key: vec![7; 32] };
            Membership::new(settings, 100 + u64::from(me), u64::from(me), 0).unwrap()
        })
        .collect();
    let mut kinds = Vec::new();
    for membership in &mut memberships {
        kinds = (0..7)
            .map(|_| {
                membership
                    .register_shared_state(Box::new(Registers::<SelfReport>::new(MEMBERS, MAX_VALUE_BYTES)))
                    .unwrap()
            })
            .collect();
    }
    let mut full = Registers::new(MEMBERS, MAX_VALUE_BYTES);
    for member in 0..MEMBERS {
        full.write(member, 1, &SelfReport { unheard_subjects: vec![60_000; 8] }).unwrap();
    }
    for delta in all_deltas(&full) {
        for kind in &kinds {
            memberships[0].shared_state(*kind).unwrap().merge(&delta, false).unwrap();
        }
    }
    // Enough time for 7 states of 500 registers of 30 bytes at 8,000 bytes per second.
    for now in (0..120_000).step_by(10) {
        for from in 0..2u16 {
            memberships[usize::from(from)].handle_timeout(now);
            while let Some((to, bytes)) = memberships[usize::from(from)].poll_transmit() {
                assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
                if to == address(1 - from) {
                    memberships[usize::from(1 - from)].handle_datagram(address(from), &bytes, now);
                }
            }
        }
    }
    let [first, second] = &mut memberships[..] else { unreachable!("two members were created") };
    for kind in kinds {
        let (first, second) = (first.shared_state(kind).unwrap(), second.shared_state(kind).unwrap());
        assert_eq!(first.deltas(&[], 1000, usize::MAX), second.deltas(&[], 1000, usize::MAX), "{kind}");
    }
    assert_eq!(second.counters().malformed_state, 0);
}
