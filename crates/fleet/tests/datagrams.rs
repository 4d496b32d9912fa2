//! What is read from the wire, by messages.

use proptest::prelude::*;
use weirusher_fleet::{
    AGE_DEAD, Authenticator, CompactHeartbeat, Datagram, Header, MemberState, Membership, Message, OBSERVERS,
    Rate, ReplayWindow, Rings, Settings, TokenBucket,
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

fn fleet() -> Membership {
    let members = (0..4).map(|n| ([127, 0, 0, 1], 2000 + n).into()).collect();
    Membership::new(Settings { instance: 0, members, key: KEY.to_vec() }, 9, 1, 0).unwrap()
}

fn sealed(datagram: &Datagram) -> Vec<u8> {
    Authenticator::new(KEY).unwrap().sign(postcard::to_allocvec(datagram).unwrap())
}

#[test]
fn each_sequence_number_is_taken_once_in_any_order_within_the_window() {
    let mut window = ReplayWindow::default();
    let taken = [1, 3, 2, 3, 70, 7, 6, 70, 71, 5, 0, u64::MAX, 71].map(|n| window.accept(n));
    let expected = [true, true, true, false, true, true, false, false, true, false, false, true, false];
    assert_eq!(taken, expected);
}

#[test]
fn a_bucket_pays_back_before_it_gives_again() {
    let mut bucket = TokenBucket::new(Rate { per_second: 100, burst: 50 }, 0);
    bucket.spend(150);
    assert_eq!(bucket.level(0), -100);
    assert!(!bucket.try_take(1_000));
    assert!(bucket.try_take(1_010) && !bucket.try_take(1_010));
    assert_eq!(bucket.level(100_000), 50);
    assert_eq!(bucket.level(0), 50, "time that runs backwards gives and takes nothing");
}

#[test]
fn all_watch_and_are_watched_whoever_is_out() {
    for size in [2u16, 3, 9, 10, 40, 300] {
        let rings = Rings::new(size);
        for out in [0u16, 2, 3] {
            let gone = |member: u16| out > 0 && member.is_multiple_of(out);
            for member in (0..size).filter(|member| !gone(*member)) {
                let live = (0..size).filter(|other| *other != member && !gone(*other)).count();
                for near in [rings.observers(member, gone), rings.subjects(member, gone)] {
                    assert!(near.len() <= OBSERVERS && near.len() >= live.min(3), "{size} {out}: {near:?}");
                    assert!(near.iter().all(|other| *other != member && !gone(*other)));
                }
                // Who is watched by one sends its beats there.
                for subject in rings.subjects(member, gone) {
                    assert!(rings.observers(subject, gone).contains(&member), "{size} {out}");
                }
            }
        }
    }
}

#[test]
fn numbers_outside_the_fleet_are_refused_before_any_table_is_asked() {
    let life =
        |member, incarnation| Message::Alive { member, incarnation, heartbeat: 1, age: 0, gossip: true };
    let silent =
        |member, by| Message::Suspect { member, incarnation: 1, heartbeat: 1, suspectors: by, gossip: true };
    let bad = [
        (header(1, 0), life(4, 1)),
        (header(1, 0), life(2, 0)),
        (header(1, 0), life(2, u64::MAX)),
        (header(1, 0), silent(4, vec![1])),
        (header(1, 0), silent(2, vec![4])),
        (header(1, 0), silent(2, vec![2])),
        (header(1, 0), silent(2, vec![0, 1, 3, 0])),
        (header(1, 1), life(2, 1)),
        (header(4, 0), life(2, 1)),
        (Header { incarnation: 0, ..header(1, 0) }, life(2, 1)),
        (Header { recipient_incarnation: u64::MAX, ..header(1, 0) }, life(2, 1)),
    ];
    let mut fleet = fleet();
    for (at, (header, part)) in bad.into_iter().enumerate() {
        fleet.handle_datagram(
            ([127, 0, 0, 1], 2001).into(),
            &sealed(&Datagram { header, messages: vec![part] }),
            1,
        );
        assert_eq!(fleet.counters().malformed, at as u64 + 1);
    }
    let good = Datagram { header: header(1, 0), messages: vec![life(2, 1), silent(3, vec![1])] };
    fleet.handle_datagram(([127, 0, 0, 1], 2001).into(), &sealed(&good), 1);
    assert_eq!((fleet.counters().malformed, fleet.counters().received), (11, 1));
}

/// What is believed of member 3 a second after three others said that it is gone, at a beat that was sent `age` tenths
/// of a second before.
fn after_gone_copies(age: u16) -> MemberState {
    let members = (0..8).map(|n| ([127, 0, 0, 1], 2000 + n).into()).collect();
    let mut fleet = Membership::new(Settings { instance: 0, members, key: KEY.to_vec() }, 9, 1, 0).unwrap();
    let start = 100_000;
    let hear = |fleet: &mut Membership, from: u16, messages: Vec<Message>, now: u64| {
        let header = Header { fleet_size: 8, sequence: now, heartbeat: now as u32, ..header(from, 0) };
        fleet.handle_datagram(
            ([127, 0, 0, 1], 2000 + from).into(),
            &sealed(&Datagram { header, messages }),
            now,
        );
    };
    for now in (0..start + 1_000).step_by(30) {
        fleet.handle_timeout(now);
        while fleet.poll_transmit().is_some() {}
        if now + 30 >= start && now < start {
            let life = Message::Alive { member: 3, incarnation: 7, heartbeat: 100, age, gossip: false };
            hear(&mut fleet, 1, vec![life], now + 1);
        }
        let gone = CompactHeartbeat { incarnation: 7, heartbeat: 100, age: AGE_DEAD };
        for from in [4, 5, 6, 7] {
            let messages = if now >= start {
                vec![Message::Heartbeats { first: 3, heartbeats: vec![gone.clone()] }]
            } else {
                Vec::new()
            };
            hear(&mut fleet, from, messages, now + 2);
        }
    }
    fleet.table().state(3)
}

#[test]
fn copies_that_say_gone_count_only_where_later_beats_would_have_come_around() {
    assert_ne!(after_gone_copies(5), MemberState::Dead);
    // Eight members are forgotten after 10.8 s.
    assert_eq!(after_gone_copies(50), MemberState::Dead);
}

/// What a member answers to a datagram of this incarnation that knows this one of its own.
fn answered(fleet: &mut Membership, incarnation: u64, knows: u64, now: u64) -> Option<Header> {
    let datagram = Datagram {
        header: Header { incarnation, recipient_incarnation: knows, ..header(1, 0) },
        messages: Vec::new(),
    };
    fleet.handle_datagram(([127, 0, 0, 1], 2001).into(), &sealed(&datagram), now);
    let (to, bytes) = fleet.poll_transmit()?;
    assert_eq!(to, ([127, 0, 0, 1], 2001).into());
    let content = Authenticator::new(KEY).unwrap().verify(&bytes).map(<[u8]>::to_vec).unwrap();
    Some(postcard::from_bytes::<Datagram>(&content).unwrap().header)
}

#[test]
fn whoever_is_not_believed_is_told_what_it_lacks() {
    let mut fleet = fleet();
    // It does not know this incarnation: it is told it, and that its own is understood.
    let told = answered(&mut fleet, 7, 0, 1).unwrap();
    assert_eq!((told.incarnation, told.recipient_incarnation), (9, 7));
    assert!(answered(&mut fleet, 7, 0, 100).is_none(), "five times a second at most");
    assert!(answered(&mut fleet, 7, 9, 300).is_none(), "it is believed now");
    // A life that is over, as of a process whose wall clock stands earlier: it is told of the later one.
    let told = answered(&mut fleet, 5, 9, 600).unwrap();
    assert_eq!((told.incarnation, told.recipient_incarnation), (9, 7));
    let counters = fleet.counters();
    assert_eq!((counters.stale_recipient, counters.received, counters.stale_sender), (2, 1, 1));
}

/// A datagram of member 1 that is believed.
fn hear(fleet: &mut Membership, sequence: u64, beat: u32, messages: Vec<Message>, now: u64) {
    let datagram = Datagram { header: Header { sequence, heartbeat: beat, ..header(1, 0) }, messages };
    fleet.handle_datagram(([127, 0, 0, 1], 2001).into(), &sealed(&datagram), now);
}

#[test]
fn a_datagram_that_was_overtaken_by_far_says_nothing_of_now() {
    let mut fleet = fleet();
    hear(&mut fleet, 3, 10, Vec::new(), 100);
    for now in (100..900).step_by(30) {
        fleet.handle_timeout(now);
    }
    hear(&mut fleet, 2, 5, Vec::new(), 900);
    assert_eq!(fleet.counters().received, 2);
    assert_eq!(fleet.view(900).members[0].last_received_ms, Some(800));
}

#[test]
fn one_that_was_late_reads_what_came_before_it_judges() {
    let mut fleet = fleet();
    let life = |beat| Message::Alive { member: 2, incarnation: 4, heartbeat: beat, age: 0, gossip: true };
    let silent =
        Message::Suspect { member: 2, incarnation: 4, heartbeat: 1, suspectors: vec![1, 3], gossip: true };
    for now in (0..600).step_by(30) {
        fleet.handle_timeout(now);
        hear(&mut fleet, now + 1, now as u32, vec![life(1)], now);
    }
    hear(&mut fleet, 601, 601, vec![silent], 600);
    assert_eq!(fleet.table().state(2), MemberState::Suspected);
    // It accuses it as well after a second, and stands still past the time to contradict, while the contradiction waits
    // in its socket.
    for now in (600..1_290).step_by(30) {
        fleet.handle_timeout(now);
        hear(&mut fleet, now + 2, now as u32, Vec::new(), now);
    }
    fleet.handle_timeout(2_000);
    assert_eq!(fleet.table().state(2), MemberState::Suspected);
    hear(&mut fleet, 2_000, 2_000, vec![life(9)], 2_000);
    fleet.handle_timeout(2_010);
    assert_eq!(fleet.table().state(2), MemberState::Alive);
}

#[test]
fn a_copy_of_another_life_with_the_same_low_bits_is_not_taken_for_this_one() {
    let mut fleet = fleet();
    let life = Message::Alive { member: 2, incarnation: 7, heartbeat: 5, age: 0, gossip: false };
    let copy = |beat| Message::Heartbeats {
        first: 2,
        heartbeats: vec![CompactHeartbeat { incarnation: 7, heartbeat: beat, age: 0 }],
    };
    hear(&mut fleet, 1, 1, vec![life, copy(1_000_000)], 100);
    assert_eq!(fleet.table().latest(2).heartbeat, 5);
    hear(&mut fleet, 2, 2, vec![copy(6)], 340);
    assert_eq!(fleet.table().latest(2).heartbeat, 6);
}

#[test]
fn whoever_asks_for_beats_gets_them_for_a_while() {
    const SIZE: u16 = 40;
    let rings = Rings::new(SIZE);
    let near = [rings.observers(0, |_| false), rings.subjects(0, |_| false)].concat();
    let asker = (1..SIZE).find(|member| !near.contains(member)).unwrap();
    let address = |n: u16| std::net::SocketAddr::from(([127, 0, 0, 1], 2000 + n));
    let settings = Settings { instance: 0, members: (0..SIZE).map(address).collect(), key: KEY.to_vec() };
    let mut fleet = Membership::new(settings, 9, 1, 0).unwrap();
    let asks = Datagram {
        header: Header { fleet_size: SIZE, wants_heartbeats: true, ..header(asker, 0) },
        messages: Vec::new(),
    };
    fleet.handle_datagram(address(asker), &sealed(&asks), 0);
    let mut times = Vec::new();
    for now in (0..4_000).step_by(10) {
        fleet.handle_timeout(now);
        let sent = std::iter::from_fn(|| fleet.poll_transmit()).filter(|(to, _)| *to == address(asker));
        times.extend(sent.map(|_| now));
    }
    // At once, then once a beat for four beats; a look for those that are unknown may fall on it as well.
    assert!(times[0] == 0 && times.iter().filter(|at| **at < 1_000).count() >= 4, "{times:?}");
    assert!(times.iter().filter(|at| **at > 1_200).count() <= 3, "{times:?}");
}

#[test]
fn settings_that_cannot_work_are_refused() {
    let start = |me, ports: &[u16], key: &[u8]| {
        let members = ports.iter().map(|port| ([127, 0, 0, 1], *port).into()).collect();
        Membership::new(Settings { instance: me, members, key: key.to_vec() }, 1, 1, 0)
            .map(|_| ())
            .unwrap_err()
            .to_string()
    };
    assert_eq!(start(0, &[1], KEY), "a fleet has 2 to 10,000 members, not 1");
    assert_eq!(start(2, &[1, 2], KEY), "member 2 of 2: numbers run from 0");
    assert_eq!(start(0, &[1, 2, 1], KEY), "members 0 and 2 have the same address");
    assert!(start(0, &[1, 2], b"short").contains("can be guessed"));
}

proptest! {
    /// Whatever comes with the right code, from whichever member: no panic, and no more is held than before.
    #[test]
    fn any_content_with_the_right_code_is_survived(
        contents in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..20),
        proven in any::<bool>(),
    ) {
        let mut fleet = fleet();
        for (at, content) in contents.into_iter().enumerate() {
            let mut bytes = Vec::new();
            if proven {
                let header = Header { sequence: at as u64 + 1, ..header(1, 0) };
                bytes = postcard::to_allocvec(&header).unwrap();
            }
            bytes.extend(content);
            let sealed = Authenticator::new(KEY).unwrap().sign(bytes);
            fleet.handle_datagram(([127, 0, 0, 1], 2001).into(), &sealed, at as u64);
            fleet.handle_timeout(at as u64);
            while fleet.poll_transmit().is_some() {}
        }
    }

    #[test]
    fn what_is_altered_anywhere_is_refused(byte in 0usize..40, bit in 0u8..8) {
        let mut bytes = sealed(&Datagram { header: header(1, 0), messages: Vec::new() });
        let at = byte % bytes.len();
        bytes[at] ^= 1 << bit;
        let mut fleet = fleet();
        fleet.handle_datagram(([127, 0, 0, 1], 2001).into(), &bytes, 1);
        prop_assert_eq!((fleet.counters().unauthenticated, fleet.counters().received), (1, 0));
    }
}
