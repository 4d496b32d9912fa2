//! Which datagrams a member accepts, rejects and replies to. Also tests the replay window, the token bucket, the rings
//! and the settings.

use proptest::prelude::*;
use weirusher_fleet::{
    AGE_DEAD, Authenticator, CompactHeartbeat, Datagram, Header, MemberState, Membership, MembershipSettings,
    Message, OBSERVERS, Rate, ReplayWindow, Rings, TokenBucket,
};

const KEY: &[u8] = b"a key for tests, of 32 bytes and more";

fn header(sender: u16, recipient: u16) -> Header {
    Header {
        fleet_size: 4,
        sender,
        recipient,
        incarnation: 7,
        recipient_incarnation: 9,
        sequence: 1,
        heartbeat: 3,
        hears_recipient: true,
        wants_heartbeats: false,
    }
}

fn membership() -> Membership {
    let members = (0..4).map(|n| ([127, 0, 0, 1], 2000 + n).into()).collect();
    Membership::new(MembershipSettings { instance: 0, members, key: KEY.to_vec() }, 9, 1, 0).unwrap()
}

fn signed(datagram: &Datagram) -> Vec<u8> {
    Authenticator::new(KEY).unwrap().sign(postcard::to_allocvec(datagram).unwrap())
}

#[test]
fn replay_window_accepts_each_sequence_number_once() {
    let mut window = ReplayWindow::default();
    let accepted = [1, 3, 2, 3, 70, 7, 6, 70, 71, 5, 0, u64::MAX, 71].map(|n| window.accept(n));
    let expected = [true, true, true, false, true, true, false, false, true, false, false, true, false];
    assert_eq!(accepted, expected);
}

#[test]
fn overdrawn_bucket_refills_before_tokens_are_available() {
    let mut bucket = TokenBucket::new(Rate { per_second: 100, burst: 50 }, 0);
    bucket.spend(150);
    assert_eq!(bucket.level(0), -100);
    assert!(!bucket.try_take(1_000));
    assert!(bucket.try_take(1_010) && !bucket.try_take(1_010));
    assert_eq!(bucket.level(100_000), 50);
    assert_eq!(bucket.level(0), 50, "an earlier time changes nothing");
}

#[test]
fn every_live_member_has_observers_and_subjects() {
    for size in [2u16, 3, 9, 10, 40, 300] {
        let rings = Rings::new(size);
        for dead_step in [0u16, 2, 3] {
            let is_dead = |member: u16| dead_step > 0 && member.is_multiple_of(dead_step);
            for member in (0..size).filter(|member| !is_dead(*member)) {
                let live = (0..size).filter(|other| *other != member && !is_dead(*other)).count();
                for neighbours in [rings.observers(member, is_dead), rings.subjects(member, is_dead)] {
                    assert!(
                        neighbours.len() <= OBSERVERS && neighbours.len() >= live.min(3),
                        "{size} {dead_step}: {neighbours:?}"
                    );
                    assert!(neighbours.iter().all(|other| *other != member && !is_dead(*other)));
                }
                // Observers and subjects must correspond: a member is an observer of each of its subjects.
                for subject in rings.subjects(member, is_dead) {
                    assert!(rings.observers(subject, is_dead).contains(&member), "{size} {dead_step}");
                }
            }
        }
    }
}

#[test]
fn member_numbers_outside_the_fleet_are_rejected() {
    let alive =
        |member, incarnation| Message::Alive { member, incarnation, heartbeat: 1, age: 0, gossip: true };
    let suspicion = |member, suspectors| Message::Suspect {
        member,
        incarnation: 1,
        heartbeat: 1,
        suspectors,
        gossip: true,
    };
    let invalid = [
        (header(1, 0), alive(4, 1)),
        (header(1, 0), alive(2, 0)),
        (header(1, 0), alive(2, u64::MAX)),
        (header(1, 0), suspicion(4, vec![1])),
        (header(1, 0), suspicion(2, vec![4])),
        (header(1, 0), suspicion(2, vec![2])),
        (header(1, 0), suspicion(2, vec![0, 1, 3, 0])),
        (header(1, 1), alive(2, 1)),
        (header(4, 0), alive(2, 1)),
        (Header { incarnation: 0, ..header(1, 0) }, alive(2, 1)),
        (Header { recipient_incarnation: u64::MAX, ..header(1, 0) }, alive(2, 1)),
    ];
    let mut membership = membership();
    for (at, (header, message)) in invalid.into_iter().enumerate() {
        membership.handle_datagram(
            ([127, 0, 0, 1], 2001).into(),
            &signed(&Datagram { header, messages: vec![message] }),
            1,
        );
        assert_eq!(membership.counters().malformed, at as u64 + 1);
    }
    let valid = Datagram { header: header(1, 0), messages: vec![alive(2, 1), suspicion(3, vec![1])] };
    membership.handle_datagram(([127, 0, 0, 1], 2001).into(), &signed(&valid), 1);
    assert_eq!((membership.counters().malformed, membership.counters().received), (11, 1));
}

/// Returns the state of member 3 one second after other members relayed that it is dead. Its last known heartbeat was
/// sent `age` tenths of a second before the first of those reports.
fn state_after_relayed_deaths(age: u16) -> MemberState {
    let members = (0..8).map(|n| ([127, 0, 0, 1], 2000 + n).into()).collect();
    let mut membership =
        Membership::new(MembershipSettings { instance: 0, members, key: KEY.to_vec() }, 9, 1, 0).unwrap();
    let start = 100_000;
    let receive = |membership: &mut Membership, from: u16, messages: Vec<Message>, now: u64| {
        let header = Header { fleet_size: 8, sequence: now, heartbeat: now as u32, ..header(from, 0) };
        membership.handle_datagram(
            ([127, 0, 0, 1], 2000 + from).into(),
            &signed(&Datagram { header, messages }),
            now,
        );
    };
    for now in (0..start + 1_000).step_by(30) {
        membership.handle_timeout(now);
        while membership.poll_transmit().is_some() {}
        if now + 30 >= start && now < start {
            let alive = Message::Alive { member: 3, incarnation: 7, heartbeat: 100, age, gossip: false };
            receive(&mut membership, 1, vec![alive], now + 1);
        }
        let dead = CompactHeartbeat { incarnation: 7, heartbeat: 100, age: AGE_DEAD };
        for from in [4, 5, 6, 7] {
            let messages = if now >= start {
                vec![Message::Heartbeats { first: 3, heartbeats: vec![dead.clone()] }]
            } else {
                Vec::new()
            };
            receive(&mut membership, from, messages, now + 2);
        }
    }
    membership.table().state(3)
}

/// A relayed death counts only if a later heartbeat would have been relayed here by now.
#[test]
fn relayed_death_counts_only_without_a_recent_heartbeat() {
    assert_ne!(state_after_relayed_deaths(5), MemberState::Dead);
    // In a fleet of eight the forget timeout is 10.8 s.
    assert_eq!(state_after_relayed_deaths(50), MemberState::Dead);
}

/// Sends a datagram from `incarnation` of member 1, addressed to `known_incarnation` of the recipient. Returns the
/// header of the reply.
fn reply_to(
    membership: &mut Membership,
    incarnation: u64,
    known_incarnation: u64,
    now: u64,
) -> Option<Header> {
    let datagram = Datagram {
        header: Header { incarnation, recipient_incarnation: known_incarnation, ..header(1, 0) },
        messages: Vec::new(),
    };
    membership.handle_datagram(([127, 0, 0, 1], 2001).into(), &signed(&datagram), now);
    let (to, bytes) = membership.poll_transmit()?;
    assert_eq!(to, ([127, 0, 0, 1], 2001).into());
    let content = Authenticator::new(KEY).unwrap().verify(&bytes).map(<[u8]>::to_vec).unwrap();
    Some(postcard::from_bytes::<Datagram>(&content).unwrap().header)
}

#[test]
fn senders_with_stale_incarnations_get_a_reply() {
    let mut membership = membership();
    // The sender does not know this incarnation: the reply contains it, and the sender's own.
    let reply = reply_to(&mut membership, 7, 0, 1).unwrap();
    assert_eq!((reply.incarnation, reply.recipient_incarnation), (9, 7));
    assert!(reply_to(&mut membership, 7, 0, 100).is_none(), "at most five replies per second");
    assert!(reply_to(&mut membership, 7, 9, 300).is_none(), "the sender is accepted now");
    // An earlier incarnation, as from a process whose wall clock is behind: the reply contains the later one.
    let reply = reply_to(&mut membership, 5, 9, 600).unwrap();
    assert_eq!((reply.incarnation, reply.recipient_incarnation), (9, 7));
    let counters = membership.counters();
    assert_eq!((counters.stale_recipient, counters.received, counters.stale_sender), (2, 1, 1));
}

/// Passes in a datagram from member 1 that is accepted.
fn receive_from_1(
    membership: &mut Membership,
    sequence: u64,
    heartbeat: u32,
    messages: Vec<Message>,
    now: u64,
) {
    let datagram = Datagram { header: Header { sequence, heartbeat, ..header(1, 0) }, messages };
    membership.handle_datagram(([127, 0, 0, 1], 2001).into(), &signed(&datagram), now);
}

#[test]
fn reordered_datagram_does_not_refresh_the_link() {
    let mut membership = membership();
    receive_from_1(&mut membership, 3, 10, Vec::new(), 100);
    for now in (100..900).step_by(30) {
        membership.handle_timeout(now);
    }
    receive_from_1(&mut membership, 2, 5, Vec::new(), 900);
    assert_eq!(membership.counters().received, 2);
    assert_eq!(membership.view(900).members[0].last_received_ms, Some(800));
}

#[test]
fn late_timer_defers_deaths_until_datagrams_are_read() {
    let mut membership = membership();
    let alive = |heartbeat| Message::Alive { member: 2, incarnation: 4, heartbeat, age: 0, gossip: true };
    let suspicion =
        Message::Suspect { member: 2, incarnation: 4, heartbeat: 1, suspectors: vec![1, 3], gossip: true };
    for now in (0..600).step_by(30) {
        membership.handle_timeout(now);
        receive_from_1(&mut membership, now + 1, now as u32, vec![alive(1)], now);
    }
    receive_from_1(&mut membership, 601, 601, vec![suspicion], 600);
    assert_eq!(membership.table().state(2), MemberState::Suspected);
    // This member suspects member 2 as well after a second. Its timer is then late until after the refutation timeout,
    // while the refutation waits in the socket.
    for now in (600..1_290).step_by(30) {
        membership.handle_timeout(now);
        receive_from_1(&mut membership, now + 2, now as u32, Vec::new(), now);
    }
    membership.handle_timeout(2_000);
    assert_eq!(membership.table().state(2), MemberState::Suspected);
    receive_from_1(&mut membership, 2_000, 2_000, vec![alive(9)], 2_000);
    membership.handle_timeout(2_010);
    assert_eq!(membership.table().state(2), MemberState::Alive);
}

/// Relayed heartbeats contain only the low bits of the incarnation, which another incarnation may share. A heartbeat
/// that is too far ahead belongs to another one.
#[test]
fn implausible_relayed_heartbeat_is_ignored() {
    let mut membership = membership();
    let alive = Message::Alive { member: 2, incarnation: 7, heartbeat: 5, age: 0, gossip: false };
    let relayed = |heartbeat| Message::Heartbeats {
        first: 2,
        heartbeats: vec![CompactHeartbeat { incarnation: 7, heartbeat, age: 0 }],
    };
    receive_from_1(&mut membership, 1, 1, vec![alive, relayed(1_000_000)], 100);
    assert_eq!(membership.table().latest(2).heartbeat, 5);
    receive_from_1(&mut membership, 2, 2, vec![relayed(6)], 340);
    assert_eq!(membership.table().latest(2).heartbeat, 6);
}

#[test]
fn a_subscriber_receives_heartbeats_until_expiry() {
    const SIZE: u16 = 40;
    let rings = Rings::new(SIZE);
    let neighbours = [rings.observers(0, |_| false), rings.subjects(0, |_| false)].concat();
    let subscriber = (1..SIZE).find(|member| !neighbours.contains(member)).unwrap();
    let address = |n: u16| std::net::SocketAddr::from(([127, 0, 0, 1], 2000 + n));
    let settings =
        MembershipSettings { instance: 0, members: (0..SIZE).map(address).collect(), key: KEY.to_vec() };
    let mut membership = Membership::new(settings, 9, 1, 0).unwrap();
    let request = Datagram {
        header: Header { fleet_size: SIZE, wants_heartbeats: true, ..header(subscriber, 0) },
        messages: Vec::new(),
    };
    membership.handle_datagram(address(subscriber), &signed(&request), 0);
    let mut times = Vec::new();
    for now in (0..4_000).step_by(10) {
        membership.handle_timeout(now);
        let sent =
            std::iter::from_fn(|| membership.poll_transmit()).filter(|(to, _)| *to == address(subscriber));
        times.extend(sent.map(|_| now));
    }
    // At once, then once per heartbeat interval during the subscription of four intervals. Probes of unknown members
    // may also reach the subscriber.
    assert!(times[0] == 0 && times.iter().filter(|at| **at < 1_000).count() >= 4, "{times:?}");
    assert!(times.iter().filter(|at| **at > 1_200).count() <= 3, "{times:?}");
}

#[test]
fn invalid_settings_are_rejected() {
    let start = |me, ports: &[u16], key: &[u8]| {
        let members = ports.iter().map(|port| ([127, 0, 0, 1], *port).into()).collect();
        Membership::new(MembershipSettings { instance: me, members, key: key.to_vec() }, 1, 1, 0)
            .map(|_| ())
            .unwrap_err()
            .to_string()
    };
    assert_eq!(start(0, &[1], KEY), "a fleet has 2 to 10,000 members, not 1");
    assert_eq!(
        start(2, &[1, 2], KEY),
        "member number 2 is not below the number of members, 2; numbers start at 0"
    );
    assert_eq!(start(0, &[1, 2, 1], KEY), "members 0 and 2 have the same address");
    assert!(start(0, &[1, 2], b"short").contains("can be guessed"));
}

proptest! {
    /// Content with a valid tag may be arbitrary bytes; none of it causes a panic.
    #[test]
    fn authenticated_arbitrary_content_causes_no_panic(
        contents in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..20),
        valid_header in any::<bool>(),
    ) {
        let mut membership = membership();
        for (at, content) in contents.into_iter().enumerate() {
            let mut bytes = Vec::new();
            if valid_header {
                let header = Header { sequence: at as u64 + 1, ..header(1, 0) };
                bytes = postcard::to_allocvec(&header).unwrap();
            }
            bytes.extend(content);
            let signed = Authenticator::new(KEY).unwrap().sign(bytes);
            membership.handle_datagram(([127, 0, 0, 1], 2001).into(), &signed, at as u64);
            membership.handle_timeout(at as u64);
            while membership.poll_transmit().is_some() {}
        }
    }

    #[test]
    fn datagram_with_a_flipped_bit_is_rejected(byte in 0usize..40, bit in 0u8..8) {
        let mut bytes = signed(&Datagram { header: header(1, 0), messages: Vec::new() });
        let at = byte % bytes.len();
        bytes[at] ^= 1 << bit;
        let mut membership = membership();
        membership.handle_datagram(([127, 0, 0, 1], 2001).into(), &bytes, 1);
        prop_assert_eq!((membership.counters().unauthenticated, membership.counters().received), (1, 0));
    }
}
