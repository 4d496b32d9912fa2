//! Members as they run in service, on a network in virtual time, under each kind of fault.

use proptest::prelude::*;
use weirusher_fleet::{
    DEATH_KNOWN_WITHIN, Event, HEARTBEAT_INTERVAL, MemberState, SUSPECT_TIMEOUT, forget_timeout,
    partition_known_within, recovery_known_within,
};
use weirusher_simulation::membership::{Belief, DelayRange, LinkQuality, Member, Network};

type Net = Network<Member>;

fn net(size: u16, seed: u64) -> Net {
    Network::new(size, seed, move |me, incarnation, now| {
        Member::new(size, me, incarnation, seed ^ u64::from(me), now)
    })
}

/// A network of members that were started and know each other.
fn settled(size: u16, seed: u64) -> Net {
    let mut net = net(size, seed);
    (0..size).for_each(|member| net.start(member));
    net.run_for(10_000);
    net.belief_changes.clear();
    net
}

fn state(net: &mut Net, by: u16, of: u16) -> MemberState {
    net.member(by).expect("it runs").0.fleet.table().state(of)
}

fn reachability(net: &mut Net, of: u16) -> weirusher_fleet::Reachability {
    let (member, now) = net.member(of).expect("it runs");
    member.fleet.reachability(now)
}

fn all_alive(net: &mut Net) -> bool {
    (0..net.size()).all(|of| all_believe(net, of, MemberState::Alive))
}

/// Whether all others believe this of a member.
fn all_believe(net: &mut Net, of: u16, expected: MemberState) -> bool {
    (0..net.size()).filter(|by| *by != of).all(|by| state(net, by, of) == expected)
}

fn deaths(net: &Net) -> usize {
    net.belief_changes.iter().filter(|change| change.belief == Belief::Dead).count()
}

#[test]
fn members_know_each_other_soon_after_a_start() {
    let mut net = net(40, 1);
    (0..40).for_each(|member| net.start(member));
    net.run_for(3_000);
    assert!(all_alive(&mut net));
    assert_eq!(deaths(&net), 0);
    for member in 0..40 {
        let reachability = reachability(&mut net, member);
        assert_eq!((reachability.others, reachability.alive, reachability.observers_denying), (39, 39, 0));
        assert_eq!(
            (reachability.subjects_heard, reachability.observers_confirming),
            (reachability.subjects, reachability.observers)
        );
        assert!(reachability.fraction() == 1.0);
    }
}

#[test]
fn deaths_and_returns_are_known_within_their_bounds() {
    for size in [2, 3, 5, 9, 10, 40] {
        let mut net = settled(size, 2);
        net.kill(1);
        // Of two members the one that is left hears nobody: the cause may be its own link, so it waits.
        net.run_for(if size == 2 { forget_timeout(size) + HEARTBEAT_INTERVAL } else { DEATH_KNOWN_WITHIN });
        assert!(all_believe(&mut net, 1, MemberState::Dead), "{size}");
        net.start(1);
        net.run_for(recovery_known_within(net.size()));
        assert!(all_alive(&mut net), "{size}");
    }
}

#[test]
fn two_members_of_a_large_fleet_find_each_other() {
    let mut net = net(300, 20);
    net.start(17);
    net.run_for(60_000);
    net.start(253);
    net.run_for(recovery_known_within(300));
    assert_eq!(
        (state(&mut net, 17, 253), state(&mut net, 253, 17)),
        (MemberState::Alive, MemberState::Alive)
    );
}

#[test]
fn two_quick_restarts_are_no_death() {
    let mut net = settled(20, 3);
    for _ in 0..2 {
        net.kill(4);
        net.run_for(50);
        net.start(4);
    }
    net.run_for(2_000);
    assert_eq!(deaths(&net), 0);
    assert!(all_alive(&mut net));
    let now = net.member(4).unwrap().0.fleet.incarnation();
    for by in (0..20).filter(|by| *by != 4) {
        assert_eq!(net.member(by).unwrap().0.fleet.table().latest(4).incarnation, now);
    }
}

#[test]
fn a_restart_under_an_earlier_wall_clock_takes_a_later_incarnation() {
    let mut net = settled(20, 4);
    let before = net.member(4).unwrap().0.fleet.incarnation();
    net.kill(4);
    net.run_for(50);
    net.wall_clock_shift = -86_400_000;
    net.start(4);
    net.run_for(1_000);
    let (member, _) = net.member(4).unwrap();
    assert!(member.fleet.incarnation() > before);
    assert!(matches!(member.events[..], [Event::IncarnationRaised(_)]), "{:?}", member.events);
    assert!(all_alive(&mut net));
}

#[test]
fn a_link_broken_in_one_direction_kills_nobody_and_is_reported() {
    let mut net = settled(12, 5);
    let (receiver, sender) = (0, {
        let (member, now) = net.member(0).unwrap();
        let view = member.fleet.view(now);
        view.members
            .iter()
            .find(|m| m.last_received_ms.is_some_and(|ms| ms < HEARTBEAT_INTERVAL + 50))
            .expect("it hears some")
            .number
    });
    net.block(sender, receiver);
    net.run_for(5_000);
    assert_eq!(state(&mut net, receiver, sender), MemberState::Alive);
    assert_eq!(state(&mut net, sender, receiver), MemberState::Alive);
    // The sender learns by way of others that it is not heard.
    let (member, now) = net.member(sender).unwrap();
    let view = member.fleet.view(now);
    assert!(view.members.iter().any(|m| m.number == receiver && m.reports_unheard), "{view:?}");
    net.belief_changes.clear();
    net.run_for(120_000);
    assert_eq!(deaths(&net), 0);
    assert!(net.belief_changes.len() < 12 * 40, "{} changes in two minutes", net.belief_changes.len());
    net.unblock_all();
    net.run_for(5_000);
    let (member, now) = net.member(sender).unwrap();
    assert!(!member.fleet.view(now).members.iter().any(|m| m.reports_unheard));
}

#[test]
fn beliefs_are_stable_when_each_member_hears_only_the_next() {
    let mut net = settled(8, 6);
    for from in 0..8 {
        for to in (0..8).filter(|to| from != (to + 1) % 8) {
            net.block(from, to);
        }
    }
    net.run_for(15_000);
    for member in 0..8 {
        let reachability = reachability(&mut net, member);
        assert_eq!(
            (reachability.subjects_heard, reachability.observers_confirming),
            (1, 0),
            "{reachability:?}"
        );
        assert!(reachability.fraction() == 0.0, "nobody can confirm that it is heard: {reachability:?}");
    }
    let changes = net.belief_changes.len();
    net.run_for(120_000);
    assert_eq!(deaths(&net), 0);
    assert!(
        net.belief_changes.len() - changes < 20,
        "{} changes in two minutes",
        net.belief_changes.len() - changes
    );
}

#[test]
fn partitions_into_two_three_and_single_members_are_known_and_heal() {
    // Some members have no observer on the other side: those are forgotten, not suspected.
    let known = partition_known_within(24);
    let mut net = settled(24, 7);
    net.partition(|member| u8::from(member < 12));
    net.run_for(known);
    for member in 0..24 {
        let reachability = reachability(&mut net, member);
        assert_eq!(reachability.alive, 11, "{member}: {reachability:?}");
    }
    // The partition moves while it heals, then there are three.
    net.partition(|member| u8::from(member % 2 == 0));
    net.run_for(known);
    for member in 0..24 {
        assert_eq!(reachability(&mut net, member).alive, 11);
    }
    net.partition(|member| (member % 3) as u8);
    net.run_for(known);
    for member in 0..24 {
        assert_eq!(reachability(&mut net, member).alive, 7);
    }
    net.partition(|member| member as u8);
    net.run_for(2 * SUSPECT_TIMEOUT);
    for member in 0..24 {
        let reachability = reachability(&mut net, member);
        assert!(reachability.fraction() == 0.0 && reachability.subjects_heard == 0, "{reachability:?}");
    }
    net.run_for(known);
    for member in 0..24 {
        assert_eq!(reachability(&mut net, member).alive, 0);
    }
    net.partition(|_| 0);
    net.run_for(recovery_known_within(net.size()) + DEATH_KNOWN_WITHIN);
    assert!(all_alive(&mut net));
    // Less than half of the fleet was reachable throughout: that is reported once.
    for member in 0..24 {
        let events = &net.member(member).unwrap().0.events;
        assert!(matches!(events[..], [Event::Isolated(_), Event::Reconnected(_)]), "{member}: {events:?}");
    }
}

#[test]
fn a_member_that_hears_nobody_believes_nobody_dead_until_it_forgets() {
    let mut net = settled(24, 21);
    (1..24).for_each(|from| net.block(from, 0));
    net.run_for(forget_timeout(24) - 1_000);
    assert_eq!(
        net.belief_changes.iter().filter(|change| change.by == 0 && change.belief == Belief::Dead).count(),
        0
    );
    assert!(reachability(&mut net, 0).fraction() == 0.0);
    net.run_for(partition_known_within(24));
    assert_eq!(reachability(&mut net, 0).alive, 0);
}

#[test]
fn lost_duplicated_reordered_and_late_datagrams_cause_no_false_death() {
    let mut net = settled(24, 8);
    net.link_quality = LinkQuality { loss: 0.3, duplication: 0.1, delay: DelayRange { min: 0, max: 200 } };
    net.run_for(600_000);
    assert_eq!(deaths(&net), 0);
    // A real death is still detected.
    net.kill(3);
    net.run_for(DEATH_KNOWN_WITHIN + 4_000);
    assert!(all_believe(&mut net, 3, MemberState::Dead));
}

#[test]
fn a_paused_process_detects_the_pause_before_it_acts() {
    for pause in [5_000, 60_000] {
        let mut net = settled(16, 9);
        let before = net.member(2).unwrap().0.fleet.incarnation();
        net.pause(2);
        net.run_for(pause);
        assert!(all_believe(&mut net, 2, MemberState::Dead));
        // It counts on nobody, whatever it believed before and whatever waits in its socket.
        net.resume(2);
        let reachability = reachability(&mut net, 2);
        assert_eq!(
            (reachability.subjects_heard, reachability.observers_confirming, reachability.last_received_ms),
            (0, 0, None),
            "{reachability:?}"
        );
        assert!(reachability.fraction() == 0.0);
        let (member, _) = net.member(2).unwrap();
        assert_eq!(member.fleet.incarnation(), before + 1);
        assert!(
            matches!(member.events[..], [Event::Paused(ms), ..] if ms + SUSPECT_TIMEOUT > pause),
            "{:?}",
            member.events
        );
        net.run_for(recovery_known_within(net.size()));
        assert!(all_alive(&mut net), "{pause}");
    }
}

#[test]
fn of_two_processes_under_one_number_the_paused_one_gives_way() {
    let mut net = settled(16, 10);
    net.pause(2);
    net.run_for(5_000);
    // Another process was started under its number meanwhile. The network has one process for each number, so the old
    // one is a twin outside of it, and gets a datagram that another member sent.
    let older = net.member(2).unwrap().0.fleet.incarnation();
    let mut twin = Member::new(16, 2, older, 99, 0);
    for at in (0..4_000).step_by(30) {
        twin.fleet.handle_timeout(at);
    }
    net.start(2);
    net.run_for(3_000);
    let newer = net.member(2).unwrap().0.fleet.incarnation();
    let (_, datagram) = next_datagram(&mut net, 5, 2);
    twin.fleet.handle_datagram(datagram.0, &datagram.1, 4_010);
    assert!(std::iter::from_fn(|| twin.fleet.poll_event()).any(|event| event == Event::Superseded(newer)));
    assert!(twin.fleet.reachability(4_020).superseded && twin.fleet.reachability(4_020).fraction() == 0.0);
    while twin.fleet.poll_transmit().is_some() {}
    (4_020..9_000).step_by(30).for_each(|at| twin.fleet.handle_timeout(at));
    assert!(twin.fleet.poll_transmit().is_none(), "it still takes part");
}

/// A datagram that `from` sends to `to`, taken off the wire, with the address it comes from.
fn next_datagram(net: &mut Net, from: u16, to: u16) -> (u16, (std::net::SocketAddr, Vec<u8>)) {
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
fn the_deaths_of_seven_in_ten_members_at_once_are_known() {
    let mut net = settled(100, 11);
    (0..70).for_each(|member| net.kill(member));
    net.run_for(partition_known_within(100));
    for by in 70..100 {
        assert_eq!(reachability(&mut net, by).alive, 29, "{by}");
    }
    (0..70).for_each(|member| net.start(member));
    net.run_for(recovery_known_within(100));
    assert!(all_alive(&mut net));
}

#[test]
fn a_rolling_restart_causes_no_false_death_of_others() {
    let mut net = settled(40, 12);
    for tenth in 0..10 {
        let rolled: Vec<u16> = (0..40).filter(|member| member % 10 == tenth).collect();
        rolled.iter().for_each(|member| net.kill(*member));
        net.run_for(4_000);
        assert!(
            net.belief_changes
                .iter()
                .all(|change| change.belief != Belief::Dead || rolled.contains(&change.of))
        );
        rolled.iter().for_each(|member| net.start(*member));
        net.run_for(recovery_known_within(net.size()));
        assert!(all_alive(&mut net));
        net.belief_changes.clear();
    }
}

#[test]
fn late_timers_cause_no_false_death() {
    let mut net = settled(16, 13);
    let mut rng = fastrand::Rng::with_seed(13);
    // Processes are paused for up to 900 ms again and again, as on a machine with too few cores.
    for _ in 0..200 {
        let members: Vec<u16> = (0..16).filter(|_| rng.f64() < 0.3).collect();
        members.iter().for_each(|member| net.pause(*member));
        net.run_for(rng.u64(50..900));
        members.iter().for_each(|member| net.resume(*member));
        net.run_for(rng.u64(50..400));
    }
    assert_eq!(deaths(&net), 0);
}

#[test]
fn forged_truncated_replayed_oversized_and_flooding_datagrams_are_rejected() {
    let mut net = settled(12, 14);
    let (_, (_, good)) = next_datagram(&mut net, 5, 2);
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
    net.run_for(5);
    let after = counters(&mut net);
    assert_eq!(after.replayed, before.replayed + 1);
    assert_eq!(after.wrong_sender, before.wrong_sender + 1);
    assert_eq!(after.unauthenticated, before.unauthenticated + 3);
    assert_eq!(after.oversized, before.oversized + 1);
    for _ in 0..100 {
        for _ in 0..100 {
            net.inject(7, 2, good.clone());
        }
        net.run_for(100);
    }
    let flooded = counters(&mut net).rate_limited;
    assert!(flooded > 9_000, "{flooded}");
    assert!((0..12).filter(|of| ![2, 7].contains(of)).all(|of| state(&mut net, 2, of) == MemberState::Alive));
    assert_eq!(
        net.belief_changes.iter().filter(|change| change.belief == Belief::Dead && change.of != 7).count(),
        0
    );
}

#[test]
fn a_replay_from_before_a_restart_revives_nobody() {
    let mut net = settled(12, 15);
    let (_, (_, old)) = next_datagram(&mut net, 5, 2);
    net.kill(5);
    net.kill(2);
    net.run_for(10_000);
    net.start(2);
    net.run_for(5_000);
    net.inject(5, 2, old);
    net.run_for(1_000);
    assert_eq!(state(&mut net, 2, 5), MemberState::Dead);
    assert!(net.member(2).unwrap().0.fleet.counters().stale_recipient > 0);
}

#[test]
fn a_member_with_another_fleet_size_is_rejected_and_reported() {
    let mut net = Network::new(6, 16, |me, incarnation, now| {
        Member::new(if me == 5 { 7 } else { 6 }, me, incarnation, u64::from(me), now)
    });
    (0..6).for_each(|member| net.start(member));
    net.run_for(5_000);
    let (member, _) = net.member(0).unwrap();
    assert!(member.fleet.counters().wrong_fleet_size > 0);
    assert!(member.events.contains(&Event::FleetSizeMismatch { member: 5, size: 7 }));
    assert_ne!(member.fleet.table().state(5), MemberState::Alive);
}

#[test]
fn a_seed_determines_the_run() {
    let run = |seed| {
        let mut net = settled(20, seed);
        net.link_quality = LinkQuality { loss: 0.2, duplication: 0.1, delay: DelayRange { min: 0, max: 50 } };
        net.run_for(5_000);
        net.kill(3);
        net.run_for(20_000);
        (net.belief_changes.clone(), (0..20).map(|member| net.traffic(member)).collect::<Vec<_>>())
    };
    assert_eq!(run(17), run(17));
    assert_ne!(run(17).1, run(18).1);
}

#[derive(Debug, Clone)]
enum Fault {
    Kill(u16),
    Start(u16),
    Pause(u16),
    Resume(u16),
    Partition(u8),
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
        member.clone().prop_map(Fault::Pause),
        member.clone().prop_map(Fault::Resume),
        (1u8..4).prop_map(Fault::Partition),
        Just(Fault::Heal),
        (member.clone(), member).prop_map(|(from, to)| Fault::Block(from, to)),
        (0u8..60).prop_map(Fault::Loss),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Once the faults are over, all members that run believe exactly those alive that are, and go on to.
    #[test]
    fn beliefs_become_true_after_any_faults_and_stay_true(
        seed in any::<u64>(),
        faults in prop::collection::vec((fault(), 0u64..4_000), 1..20),
    ) {
        let mut net = settled(SIZE, seed);
        for (fault, time) in faults {
            match fault {
                Fault::Kill(member) => net.kill(member),
                Fault::Start(member) => net.start(member),
                Fault::Pause(member) => net.pause(member),
                Fault::Resume(member) => if !net.is_running(member) { net.resume(member) },
                Fault::Partition(groups) => net.partition(|member| (member % u16::from(groups)) as u8),
                Fault::Heal => { net.partition(|_| 0); net.unblock_all(); }
                Fault::Block(from, to) => net.block(from, to),
                Fault::Loss(percent) => net.link_quality.loss = f64::from(percent) / 100.0,
            }
            net.run_for(time);
        }
        net.partition(|_| 0);
        net.unblock_all();
        net.link_quality = LinkQuality::default();
        net.run_for(partition_known_within(SIZE).max(recovery_known_within(SIZE)));
        net.belief_changes.clear();
        net.run_for(20_000);
        prop_assert!(net.belief_changes.is_empty(), "{:?}", net.belief_changes);
        let running: Vec<u16> = (0..SIZE).filter(|member| net.is_running(*member)).collect();
        for by in &running {
            for of in (0..SIZE).filter(|of| of != by) {
                let expected = if running.contains(&of) { MemberState::Alive } else { MemberState::Dead };
                prop_assert_eq!(state(&mut net, *by, of), expected, "{} of {}", by, of);
            }
            let reachability = reachability(&mut net, *by);
            prop_assert_eq!((reachability.subjects_heard, reachability.observers_denying), (reachability.subjects, 0));
        }
    }
}
