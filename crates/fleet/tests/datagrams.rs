//! What is read from the wire, by parts.

use proptest::prelude::*;
use weirusher_fleet::{
    Bucket, Copy, Fleet, GONE, Header, Packet, Part, Rings, Seal, Settings, State, WATCHERS, Window,
};

const KEY: &[u8] = b"a key for tests, of 32 bytes and more";

fn header(from: u16, to: u16) -> Header {
    Header { size: 4, from, to, incarnation: 7, knows: 9, sequence: 1, beat: 3, hears: true, watch: false }
}

fn fleet() -> Fleet {
    let members = (0..4).map(|n| ([127, 0, 0, 1], 2000 + n).into()).collect();
    Fleet::new(Settings { instance: 0, members, key: KEY.to_vec() }, 9, 1, 0).unwrap()
}

fn sealed(packet: &Packet) -> Vec<u8> {
    Seal::new(KEY).unwrap().close(postcard::to_allocvec(packet).unwrap())
}

#[test]
fn each_sequence_number_is_taken_once_in_any_order_within_the_window() {
    let mut window = Window::default();
    let taken = [1, 3, 2, 3, 70, 7, 6, 70, 71, 5, 0, u64::MAX, 71].map(|n| window.take(n));
    let expected = [true, true, true, false, true, true, false, false, true, false, false, true, false];
    assert_eq!(taken, expected);
}

#[test]
fn a_bucket_pays_back_before_it_gives_again() {
    let mut bucket = Bucket::new(100, 50, 0);
    bucket.draw(150);
    assert_eq!(bucket.level(0), -100);
    assert!(!bucket.take(1_000));
    assert!(bucket.take(1_010) && !bucket.take(1_010));
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
                for near in [rings.watchers(member, gone), rings.subjects(member, gone)] {
                    assert!(near.len() <= WATCHERS && near.len() >= live.min(3), "{size} {out}: {near:?}");
                    assert!(near.iter().all(|other| *other != member && !gone(*other)));
                }
                // Who is watched by one sends its beats there.
                for subject in rings.subjects(member, gone) {
                    assert!(rings.watchers(subject, gone).contains(&member), "{size} {out}");
                }
            }
        }
    }
}

#[test]
fn numbers_outside_the_fleet_are_refused_before_any_table_is_asked() {
    let life = |member, incarnation| Part::Life { member, incarnation, beat: 1, age: 0, news: true };
    let silent = |member, by| Part::Silent { member, incarnation: 1, beat: 1, by, news: true };
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
        (Header { knows: u64::MAX, ..header(1, 0) }, life(2, 1)),
    ];
    let mut fleet = fleet();
    for (at, (header, part)) in bad.into_iter().enumerate() {
        fleet.receive(([127, 0, 0, 1], 2001).into(), &sealed(&Packet { header, parts: vec![part] }), 1);
        assert_eq!(fleet.counters().malformed, at as u64 + 1);
    }
    let good = Packet { header: header(1, 0), parts: vec![life(2, 1), silent(3, vec![1])] };
    fleet.receive(([127, 0, 0, 1], 2001).into(), &sealed(&good), 1);
    assert_eq!((fleet.counters().malformed, fleet.counters().received), (11, 1));
}

/// What is believed of member 3 a second after three others said that it is gone, at a beat that was sent `age` tenths
/// of a second before.
fn after_gone_copies(age: u16) -> State {
    let members = (0..8).map(|n| ([127, 0, 0, 1], 2000 + n).into()).collect();
    let mut fleet = Fleet::new(Settings { instance: 0, members, key: KEY.to_vec() }, 9, 1, 0).unwrap();
    let start = 100_000;
    let hear = |fleet: &mut Fleet, from: u16, parts: Vec<Part>, now: u64| {
        let header = Header { size: 8, sequence: now, beat: now as u32, ..header(from, 0) };
        fleet.receive(([127, 0, 0, 1], 2000 + from).into(), &sealed(&Packet { header, parts }), now);
    };
    for now in (0..start + 1_000).step_by(30) {
        fleet.advance(now);
        while fleet.transmit().is_some() {}
        if now + 30 >= start && now < start {
            let life = Part::Life { member: 3, incarnation: 7, beat: 100, age, news: false };
            hear(&mut fleet, 1, vec![life], now + 1);
        }
        let gone = Copy { incarnation: 7, beat: 100, age: GONE };
        for from in [4, 5, 6, 7] {
            let parts = if now >= start {
                vec![Part::Copies { from: 3, beats: vec![gone.clone()] }]
            } else {
                Vec::new()
            };
            hear(&mut fleet, from, parts, now + 2);
        }
    }
    fleet.table().state(3)
}

#[test]
fn copies_that_say_gone_count_only_where_later_beats_would_have_come_around() {
    assert_ne!(after_gone_copies(5), State::Gone);
    // Eight members are forgotten after 10.8 s.
    assert_eq!(after_gone_copies(50), State::Gone);
}

/// What a member answers to a datagram of this incarnation that knows this one of its own.
fn answered(fleet: &mut Fleet, incarnation: u64, knows: u64, now: u64) -> Option<Header> {
    let packet = Packet { header: Header { incarnation, knows, ..header(1, 0) }, parts: Vec::new() };
    fleet.receive(([127, 0, 0, 1], 2001).into(), &sealed(&packet), now);
    let (to, bytes) = fleet.transmit()?;
    assert_eq!(to, ([127, 0, 0, 1], 2001).into());
    let content = Seal::new(KEY).unwrap().open(&bytes).map(<[u8]>::to_vec).unwrap();
    Some(postcard::from_bytes::<Packet>(&content).unwrap().header)
}

#[test]
fn whoever_is_not_believed_is_told_what_it_lacks() {
    let mut fleet = fleet();
    // It does not know this incarnation: it is told it, and that its own is understood.
    let told = answered(&mut fleet, 7, 0, 1).unwrap();
    assert_eq!((told.incarnation, told.knows), (9, 7));
    assert!(answered(&mut fleet, 7, 0, 100).is_none(), "five times a second at most");
    assert!(answered(&mut fleet, 7, 9, 300).is_none(), "it is believed now");
    // A life that is over, as of a process whose wall clock stands earlier: it is told of the later one.
    let told = answered(&mut fleet, 5, 9, 600).unwrap();
    assert_eq!((told.incarnation, told.knows), (9, 7));
    let counters = fleet.counters();
    assert_eq!((counters.unproven, counters.received, counters.stale), (2, 1, 1));
}

/// A datagram of member 1 that is believed.
fn hear(fleet: &mut Fleet, sequence: u64, beat: u32, parts: Vec<Part>, now: u64) {
    let packet = Packet { header: Header { sequence, beat, ..header(1, 0) }, parts };
    fleet.receive(([127, 0, 0, 1], 2001).into(), &sealed(&packet), now);
}

#[test]
fn a_datagram_that_was_overtaken_by_far_says_nothing_of_now() {
    let mut fleet = fleet();
    hear(&mut fleet, 3, 10, Vec::new(), 100);
    for now in (100..900).step_by(30) {
        fleet.advance(now);
    }
    hear(&mut fleet, 2, 5, Vec::new(), 900);
    assert_eq!(fleet.counters().received, 2);
    assert_eq!(fleet.view(900).members[0].direct_ms, Some(800));
}

#[test]
fn one_that_was_late_reads_what_came_before_it_judges() {
    let mut fleet = fleet();
    let life = |beat| Part::Life { member: 2, incarnation: 4, beat, age: 0, news: true };
    let silent = Part::Silent { member: 2, incarnation: 4, beat: 1, by: vec![1, 3], news: true };
    for now in (0..600).step_by(30) {
        fleet.advance(now);
        hear(&mut fleet, now + 1, now as u32, vec![life(1)], now);
    }
    hear(&mut fleet, 601, 601, vec![silent], 600);
    assert_eq!(fleet.table().state(2), State::Suspected);
    // It accuses it as well after a second, and stands still past the time to contradict, while the contradiction waits
    // in its socket.
    for now in (600..1_290).step_by(30) {
        fleet.advance(now);
        hear(&mut fleet, now + 2, now as u32, Vec::new(), now);
    }
    fleet.advance(2_000);
    assert_eq!(fleet.table().state(2), State::Suspected);
    hear(&mut fleet, 2_000, 2_000, vec![life(9)], 2_000);
    fleet.advance(2_010);
    assert_eq!(fleet.table().state(2), State::Alive);
}

#[test]
fn a_copy_of_another_life_with_the_same_low_bits_is_not_taken_for_this_one() {
    let mut fleet = fleet();
    let life = Part::Life { member: 2, incarnation: 7, beat: 5, age: 0, news: false };
    let copy = |beat| Part::Copies { from: 2, beats: vec![Copy { incarnation: 7, beat, age: 0 }] };
    hear(&mut fleet, 1, 1, vec![life, copy(1_000_000)], 100);
    assert_eq!(fleet.table().newest(2).beat, 5);
    hear(&mut fleet, 2, 2, vec![copy(6)], 340);
    assert_eq!(fleet.table().newest(2).beat, 6);
}

#[test]
fn whoever_asks_for_beats_gets_them_for_a_while() {
    const SIZE: u16 = 40;
    let rings = Rings::new(SIZE);
    let near = [rings.watchers(0, |_| false), rings.subjects(0, |_| false)].concat();
    let asker = (1..SIZE).find(|member| !near.contains(member)).unwrap();
    let address = |n: u16| std::net::SocketAddr::from(([127, 0, 0, 1], 2000 + n));
    let settings = Settings { instance: 0, members: (0..SIZE).map(address).collect(), key: KEY.to_vec() };
    let mut fleet = Fleet::new(settings, 9, 1, 0).unwrap();
    let asks = Packet { header: Header { size: SIZE, watch: true, ..header(asker, 0) }, parts: Vec::new() };
    fleet.receive(address(asker), &sealed(&asks), 0);
    let mut times = Vec::new();
    for now in (0..4_000).step_by(10) {
        fleet.advance(now);
        let sent = std::iter::from_fn(|| fleet.transmit()).filter(|(to, _)| *to == address(asker));
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
        Fleet::new(Settings { instance: me, members, key: key.to_vec() }, 1, 1, 0)
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
            let sealed = Seal::new(KEY).unwrap().close(bytes);
            fleet.receive(([127, 0, 0, 1], 2001).into(), &sealed, at as u64);
            fleet.advance(at as u64);
            while fleet.transmit().is_some() {}
        }
    }

    #[test]
    fn what_is_altered_anywhere_is_refused(byte in 0usize..40, bit in 0u8..8) {
        let mut bytes = sealed(&Packet { header: header(1, 0), parts: Vec::new() });
        let at = byte % bytes.len();
        bytes[at] ^= 1 << bit;
        let mut fleet = fleet();
        fleet.receive(([127, 0, 0, 1], 2001).into(), &bytes, 1);
        prop_assert_eq!((fleet.counters().forged, fleet.counters().received), (1, 0));
    }
}
