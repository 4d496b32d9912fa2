//! Members as they run in service, on a network in virtual time, under each fault that a fleet meets.

use proptest::prelude::*;
use weirusher_fleet::{
    DEATH_KNOWN_WITHIN, Event, HEARTBEAT_INTERVAL, MemberState, SUSPECT_TIMEOUT, forget_timeout,
    partition_known_within, recovery_known_within,
};
use weirusher_simulation::membership::{Belief, Member, Network, Way};

type Net = Network<Member>;

fn net(size: u16, seed: u64) -> Net {
    Network::new(size, seed, move |me, incarnation, now| {
        Member::new(size, me, incarnation, seed ^ u64::from(me), now)
    })
}

/// All members, started and settled.
fn settled(size: u16, seed: u64) -> Net {
    let mut net = net(size, seed);
    (0..size).for_each(|member| net.start(member));
    net.run(10_000);
    net.seen.clear();
    net
}

fn state(net: &mut Net, by: u16, of: u16) -> MemberState {
    net.member(by).expect("it runs").0.fleet.table().state(of)
}

fn hearing(net: &mut Net, of: u16) -> weirusher_fleet::Reachability {
    let (member, now) = net.member(of).expect("it runs");
    member.fleet.reachability(now)
}

fn all_alive(net: &mut Net) -> bool {
    (0..net.size()).all(|of| all_say(net, of, MemberState::Alive))
}

/// Whether all others say this of one.
fn all_say(net: &mut Net, of: u16, said: MemberState) -> bool {
    (0..net.size()).filter(|by| *by != of).all(|by| state(net, by, of) == said)
}

fn gone(net: &Net) -> usize {
    net.seen.iter().filter(|seen| seen.belief == Belief::Gone).count()
}

#[test]
fn all_know_all_soon_after_they_start() {
    let mut net = net(40, 1);
    (0..40).for_each(|member| net.start(member));
    net.run(3_000);
    assert!(all_alive(&mut net));
    assert_eq!(gone(&net), 0);
    for member in 0..40 {
        let hearing = hearing(&mut net, member);
        assert_eq!((hearing.others, hearing.alive, hearing.observers_denying), (39, 39, 0));
        assert_eq!(
            (hearing.subjects_heard, hearing.observers_confirming),
            (hearing.subjects, hearing.observers)
        );
        assert!(hearing.fraction() == 1.0);
    }
}

#[test]
fn a_death_is_known_to_all_in_time_and_a_life_again() {
    for size in [2, 3, 5, 9, 10, 40] {
        let mut net = settled(size, 2);
        net.kill(1);
        // Of two, the one that is left hears nobody: it cannot tell whose fault that is, and waits.
        net.run(if size == 2 { forget_timeout(size) + HEARTBEAT_INTERVAL } else { DEATH_KNOWN_WITHIN });
        assert!(all_say(&mut net, 1, MemberState::Dead), "{size}");
        net.start(1);
        net.run(recovery_known_within(net.size()));
        assert!(all_alive(&mut net), "{size}");
    }
}

#[test]
fn two_of_many_find_each_other() {
    let mut net = net(300, 20);
    net.start(17);
    net.run(60_000);
    net.start(253);
    net.run(recovery_known_within(300));
    assert_eq!(
        (state(&mut net, 17, 253), state(&mut net, 253, 17)),
        (MemberState::Alive, MemberState::Alive)
    );
}

#[test]
fn a_restart_in_a_moment_twice_is_no_death() {
    let mut net = settled(20, 3);
    for _ in 0..2 {
        net.kill(4);
        net.run(50);
        net.start(4);
    }
    net.run(2_000);
    assert_eq!(gone(&net), 0);
    assert!(all_alive(&mut net));
    let now = net.member(4).unwrap().0.fleet.incarnation();
    for by in (0..20).filter(|by| *by != 4) {
        assert_eq!(net.member(by).unwrap().0.fleet.table().latest(4).incarnation, now);
    }
}

#[test]
fn a_wall_clock_that_stands_earlier_begins_a_later_life_all_the_same() {
    let mut net = settled(20, 4);
    let before = net.member(4).unwrap().0.fleet.incarnation();
    net.kill(4);
    net.run(50);
    net.shift = -86_400_000;
    net.start(4);
    net.run(1_000);
    let (member, _) = net.member(4).unwrap();
    assert!(member.fleet.incarnation() > before);
    assert!(matches!(member.events[..], [Event::IncarnationRaised(_)]), "{:?}", member.events);
    assert!(all_alive(&mut net));
}

#[test]
fn a_link_broken_one_way_costs_nobody_its_place_and_is_told() {
    let mut net = settled(12, 5);
    let (deaf, mute) = (0, {
        let (member, now) = net.member(0).unwrap();
        let view = member.fleet.view(now);
        view.members
            .iter()
            .find(|m| m.last_received_ms.is_some_and(|ms| ms < HEARTBEAT_INTERVAL + 50))
            .expect("it hears some")
            .number
    });
    net.block(mute, deaf);
    net.run(5_000);
    assert_eq!(state(&mut net, deaf, mute), MemberState::Alive);
    assert_eq!(state(&mut net, mute, deaf), MemberState::Alive);
    // The one that is not heard learns it by way of the others, and hears the deaf one as before.
    let (member, now) = net.member(mute).unwrap();
    let view = member.fleet.view(now);
    assert!(view.members.iter().any(|m| m.number == deaf && m.reports_unheard), "{view:?}");
    net.seen.clear();
    net.run(120_000);
    assert_eq!(gone(&net), 0);
    assert!(net.seen.len() < 12 * 40, "{} changes in two minutes", net.seen.len());
    net.unblock();
    net.run(5_000);
    let (member, now) = net.member(mute).unwrap();
    assert!(!member.fleet.view(now).members.iter().any(|m| m.reports_unheard));
}

#[test]
fn a_ring_in_which_each_hears_the_next_only_does_not_flap() {
    let mut net = settled(8, 6);
    for from in 0..8 {
        for to in (0..8).filter(|to| from != (to + 1) % 8) {
            net.block(from, to);
        }
    }
    net.run(15_000);
    for member in 0..8 {
        let hearing = hearing(&mut net, member);
        assert_eq!((hearing.subjects_heard, hearing.observers_confirming), (1, 0), "{hearing:?}");
        assert!(hearing.fraction() == 0.0, "nobody can tell it that it is heard: {hearing:?}");
    }
    let changes = net.seen.len();
    net.run(120_000);
    assert_eq!(gone(&net), 0);
    assert!(net.seen.len() - changes < 20, "{} changes in two minutes", net.seen.len() - changes);
}

#[test]
fn cuts_in_two_three_and_singles_are_known_and_heal_even_along_another_line() {
    // Some members have no watcher on the other side: those are not accused, but forgotten.
    let known = partition_known_within(24);
    let mut net = settled(24, 7);
    net.cut(|member| u8::from(member < 12));
    net.run(known);
    for member in 0..24 {
        let hearing = hearing(&mut net, member);
        assert_eq!(hearing.alive, 11, "{member}: {hearing:?}");
    }
    // Along another line while healing, then three.
    net.cut(|member| u8::from(member % 2 == 0));
    net.run(known);
    for member in 0..24 {
        assert_eq!(hearing(&mut net, member).alive, 11);
    }
    net.cut(|member| (member % 3) as u8);
    net.run(known);
    for member in 0..24 {
        assert_eq!(hearing(&mut net, member).alive, 7);
    }
    net.cut(|member| member as u8);
    net.run(2 * SUSPECT_TIMEOUT);
    for member in 0..24 {
        let hearing = hearing(&mut net, member);
        assert!(hearing.fraction() == 0.0 && hearing.subjects_heard == 0, "{hearing:?}");
    }
    net.run(known);
    for member in 0..24 {
        assert_eq!(hearing(&mut net, member).alive, 0);
    }
    net.cut(|_| 0);
    net.run(recovery_known_within(net.size()) + DEATH_KNOWN_WITHIN);
    assert!(all_alive(&mut net));
    // Each cut left less than half of the fleet within reach, and was told once.
    for member in 0..24 {
        let told = &net.member(member).unwrap().0.events;
        assert!(matches!(told[..], [Event::Isolated(_), Event::Reconnected(_)]), "{member}: {told:?}");
    }
}

#[test]
fn one_that_hears_nobody_takes_nobody_for_dead_until_it_forgets() {
    let mut net = settled(24, 21);
    (1..24).for_each(|from| net.block(from, 0));
    net.run(forget_timeout(24) - 1_000);
    assert_eq!(net.seen.iter().filter(|seen| seen.by == 0 && seen.belief == Belief::Gone).count(), 0);
    assert!(hearing(&mut net, 0).fraction() == 0.0);
    net.run(partition_known_within(24));
    assert_eq!(hearing(&mut net, 0).alive, 0);
}

#[test]
fn lost_doubled_mixed_and_late_messages_raise_no_alarm() {
    let mut net = settled(24, 8);
    net.way = Way { loss: 0.3, double: 0.1, delay: (0, 200) };
    net.run(600_000);
    assert_eq!(gone(&net), 0);
    // And what is lost for good is still found.
    net.kill(3);
    net.run(DEATH_KNOWN_WITHIN + 4_000);
    assert!(all_say(&mut net, 3, MemberState::Dead));
}

#[test]
fn one_that_slept_knows_it_before_it_acts() {
    for sleep in [5_000, 60_000] {
        let mut net = settled(16, 9);
        let before = net.member(2).unwrap().0.fleet.incarnation();
        net.stop(2);
        net.run(sleep);
        assert!(all_say(&mut net, 2, MemberState::Dead));
        // Whatever it does first: it hears nobody, whatever it believed and whatever waited in its socket.
        net.resume(2);
        let hearing = hearing(&mut net, 2);
        assert_eq!(
            (hearing.subjects_heard, hearing.observers_confirming, hearing.last_received_ms),
            (0, 0, None),
            "{hearing:?}"
        );
        assert!(hearing.fraction() == 0.0);
        let (member, _) = net.member(2).unwrap();
        assert_eq!(member.fleet.incarnation(), before + 1);
        assert!(
            matches!(member.events[..], [Event::Paused(ms), ..] if ms + SUSPECT_TIMEOUT > sleep),
            "{:?}",
            member.events
        );
        net.run(recovery_known_within(net.size()));
        assert!(all_alive(&mut net), "{sleep}");
    }
}

#[test]
fn of_two_under_one_number_the_one_that_slept_gives_way() {
    let mut net = settled(16, 10);
    net.stop(2);
    net.run(5_000);
    // Another was started under its number meanwhile; then the old one wakes. The network holds one process a number,
    // so the old one is told what any other would tell it.
    let older = net.member(2).unwrap().0.fleet.incarnation();
    let mut twin = Member::new(16, 2, older, 99, 0);
    for at in (0..4_000).step_by(30) {
        twin.fleet.handle_timeout(at);
    }
    net.start(2);
    net.run(3_000);
    let newer = net.member(2).unwrap().0.fleet.incarnation();
    let (_, told) = answer(&mut net, 5, 2);
    twin.fleet.handle_datagram(told.0, &told.1, 4_010);
    assert!(std::iter::from_fn(|| twin.fleet.poll_event()).any(|event| event == Event::Superseded(newer)));
    assert!(twin.fleet.reachability(4_020).superseded && twin.fleet.reachability(4_020).fraction() == 0.0);
    while twin.fleet.poll_transmit().is_some() {}
    (4_020..9_000).step_by(30).for_each(|at| twin.fleet.handle_timeout(at));
    assert!(twin.fleet.poll_transmit().is_none(), "it still takes part");
}

/// A datagram that `from` sends to `to`, taken off the wire.
fn answer(net: &mut Net, from: u16, to: u16) -> (u16, (std::net::SocketAddr, Vec<u8>)) {
    let (member, now) = net.member(from).expect("it runs");
    let source: std::net::SocketAddr = ([127, 0, 0, 1], 1024 + from).into();
    for step in (0..60_000).step_by(30) {
        member.fleet.handle_timeout(now + step);
        while let Some((address, bytes)) = member.fleet.poll_transmit() {
            if address.port() == 1024 + to {
                return (from, (source, bytes));
            }
        }
    }
    panic!("{from} never writes to {to}");
}

#[test]
fn seven_in_ten_that_die_at_once_are_all_found_and_come_back() {
    let mut net = settled(100, 11);
    (0..70).for_each(|member| net.kill(member));
    net.run(partition_known_within(100));
    for by in 70..100 {
        assert_eq!(hearing(&mut net, by).alive, 29, "{by}");
    }
    (0..70).for_each(|member| net.start(member));
    net.run(recovery_known_within(100));
    assert!(all_alive(&mut net));
}

#[test]
fn a_roll_of_a_tenth_at_a_time_raises_no_alarm_about_others() {
    let mut net = settled(40, 12);
    for tenth in 0..10 {
        let rolled: Vec<u16> = (0..40).filter(|member| member % 10 == tenth).collect();
        rolled.iter().for_each(|member| net.kill(*member));
        net.run(4_000);
        assert!(net.seen.iter().all(|seen| seen.belief != Belief::Gone || rolled.contains(&seen.of)));
        rolled.iter().for_each(|member| net.start(*member));
        net.run(recovery_known_within(net.size()));
        assert!(all_alive(&mut net));
        net.seen.clear();
    }
}

#[test]
fn late_timers_are_no_proof_that_others_are_dead() {
    let mut net = settled(16, 13);
    let mut rng = fastrand::Rng::with_seed(13);
    // Each process stands still for up to 900 ms again and again, as on a machine with too few cores.
    for _ in 0..200 {
        let members: Vec<u16> = (0..16).filter(|_| rng.f64() < 0.3).collect();
        members.iter().for_each(|member| net.stop(*member));
        net.run(rng.u64(50..900));
        members.iter().for_each(|member| net.resume(*member));
        net.run(rng.u64(50..400));
    }
    assert_eq!(gone(&net), 0);
}

#[test]
fn forged_cut_replayed_oversized_and_flooding_datagrams_are_counted_and_change_nothing() {
    let mut net = settled(12, 14);
    let (_, (_, good)) = answer(&mut net, 5, 2);
    let counters = |net: &mut Net| net.member(2).unwrap().0.fleet.counters();
    let before = counters(&mut net);
    net.inject(5, 2, good.clone());
    net.inject(5, 2, good.clone());
    net.inject(6, 2, good.clone());
    net.inject(5, 2, good[..good.len() - 1].to_vec());
    net.inject(5, 2, Vec::new());
    let mut forged = good.clone();
    forged[3] ^= 1;
    net.inject(5, 2, forged);
    net.inject(5, 2, vec![0; 1201]);
    net.run(5);
    let after = counters(&mut net);
    assert_eq!(after.replayed, before.replayed + 1);
    assert_eq!(after.wrong_sender, before.wrong_sender + 1);
    assert_eq!(after.unauthenticated, before.unauthenticated + 3);
    assert_eq!(after.oversized, before.oversized + 1);
    for _ in 0..100 {
        for _ in 0..100 {
            net.inject(7, 2, good.clone());
        }
        net.run(100);
    }
    let flooded = counters(&mut net).rate_limited;
    assert!(flooded > 9_000, "{flooded}");
    assert!((0..12).filter(|of| ![2, 7].contains(of)).all(|of| state(&mut net, 2, of) == MemberState::Alive));
    assert_eq!(net.seen.iter().filter(|seen| seen.belief == Belief::Gone && seen.of != 7).count(), 0);
}

#[test]
fn a_replay_from_before_a_restart_revives_nobody() {
    let mut net = settled(12, 15);
    let (_, (_, old)) = answer(&mut net, 5, 2);
    net.kill(5);
    net.kill(2);
    net.run(10_000);
    net.start(2);
    net.run(5_000);
    net.inject(5, 2, old);
    net.run(1_000);
    assert_eq!(state(&mut net, 2, 5), MemberState::Dead);
    assert!(net.member(2).unwrap().0.fleet.counters().stale_recipient > 0);
}

#[test]
fn a_member_with_another_size_of_the_fleet_is_refused_and_named() {
    let mut net = Network::new(6, 16, |me, incarnation, now| {
        Member::new(if me == 5 { 7 } else { 6 }, me, incarnation, u64::from(me), now)
    });
    (0..6).for_each(|member| net.start(member));
    net.run(5_000);
    let (member, _) = net.member(0).unwrap();
    assert!(member.fleet.counters().wrong_fleet_size > 0);
    assert!(member.events.contains(&Event::FleetSizeMismatch { member: 5, size: 7 }));
    assert_ne!(member.fleet.table().state(5), MemberState::Alive);
}

#[test]
fn a_seed_tells_all() {
    let play = |seed| {
        let mut net = settled(20, seed);
        net.way = Way { loss: 0.2, double: 0.1, delay: (0, 50) };
        net.run(5_000);
        net.kill(3);
        net.run(20_000);
        (net.seen.clone(), (0..20).map(|member| net.sent(member)).collect::<Vec<_>>())
    };
    assert_eq!(play(17), play(17));
    assert_ne!(play(17).1, play(18).1);
}

#[derive(Debug, Clone)]
enum Fault {
    Kill(u16),
    Start(u16),
    Stop(u16),
    Resume(u16),
    Cut(u8),
    Heal,
    Block(u16, u16),
    Loss(u8),
}

const SIZE: u16 = 10;

fn fault() -> impl Strategy<Value = Fault> {
    let member = 0..SIZE;
    prop_oneof![
        member.clone().prop_map(Fault::Kill),
        member.clone().prop_map(Fault::Start),
        member.clone().prop_map(Fault::Stop),
        member.clone().prop_map(Fault::Resume),
        (1u8..4).prop_map(Fault::Cut),
        Just(Fault::Heal),
        (member.clone(), member).prop_map(|(from, to)| Fault::Block(from, to)),
        (0u8..60).prop_map(Fault::Loss),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Whatever happened: once it is over, all that run know each other and nobody else, and stay so.
    #[test]
    fn after_any_faults_beliefs_become_true_and_stay_true(
        seed in any::<u64>(),
        faults in prop::collection::vec((fault(), 0u64..4_000), 1..20),
    ) {
        let mut net = settled(SIZE, seed);
        for (fault, time) in faults {
            match fault {
                Fault::Kill(member) => net.kill(member),
                Fault::Start(member) => net.start(member),
                Fault::Stop(member) => net.stop(member),
                Fault::Resume(member) => if !net.runs(member) { net.resume(member) },
                Fault::Cut(groups) => net.cut(|member| (member % u16::from(groups)) as u8),
                Fault::Heal => { net.cut(|_| 0); net.unblock(); }
                Fault::Block(from, to) => net.block(from, to),
                Fault::Loss(percent) => net.way.loss = f64::from(percent) / 100.0,
            }
            net.run(time);
        }
        net.cut(|_| 0);
        net.unblock();
        net.way = Way::default();
        net.run(partition_known_within(SIZE).max(recovery_known_within(SIZE)));
        net.seen.clear();
        net.run(20_000);
        prop_assert!(net.seen.is_empty(), "{:?}", net.seen);
        let running: Vec<u16> = (0..SIZE).filter(|member| net.runs(*member)).collect();
        for by in &running {
            for of in (0..SIZE).filter(|of| of != by) {
                let expected = if running.contains(&of) { MemberState::Alive } else { MemberState::Dead };
                prop_assert_eq!(state(&mut net, *by, of), expected, "{} of {}", by, of);
            }
            let hearing = hearing(&mut net, *by);
            prop_assert_eq!((hearing.subjects_heard, hearing.observers_denying), (hearing.subjects, 0));
        }
    }
}
