//! Complete members on a simulated network in virtual time, under each kind of fault.

use proptest::prelude::*;
use weirusher_fleet::{
    DEATH_KNOWN_WITHIN, Event, HEARTBEAT_INTERVAL, MemberState, SUSPECT_TIMEOUT, forget_timeout,
    partition_known_within, recovery_known_within,
};
use weirusher_simulation::membership::{Belief, DelayRange, LinkQuality, Member, Network};

type Net = Network<Member>;

fn new_network(size: u16, seed: u64) -> Net {
    Network::new(size, seed, move |me, incarnation, now| {
        Member::new(size, me, incarnation, seed ^ u64::from(me), now)
    })
}

/// A network whose members have all started and know each other.
fn converged(size: u16, seed: u64) -> Net {
    let mut net = new_network(size, seed);
    (0..size).for_each(|member| net.start(member));
    net.run_for(10_000);
    net.belief_changes.clear();
    net
}

fn state(net: &mut Net, by: u16, of: u16) -> MemberState {
    net.member(by).expect("member is running").0.membership.table().state(of)
}

fn reachability(net: &mut Net, of: u16) -> weirusher_fleet::Reachability {
    let (member, now) = net.member(of).expect("member is running");
    member.membership.reachability(now)
}

fn all_alive(net: &mut Net) -> bool {
    (0..net.size()).all(|of| all_believe(net, of, MemberState::Alive))
}

/// Whether all other members believe that a member is in the expected state.
fn all_believe(net: &mut Net, of: u16, expected: MemberState) -> bool {
    (0..net.size()).filter(|by| *by != of).all(|by| state(net, by, of) == expected)
}

fn death_count(net: &Net) -> usize {
    net.belief_changes.iter().filter(|change| change.belief == Belief::Dead).count()
}

#[test]
fn members_discover_each_other_after_start() {
    let mut net = new_network(40, 1);
    (0..40).for_each(|member| net.start(member));
    net.run_for(3_000);
    assert!(all_alive(&mut net));
    assert_eq!(death_count(&net), 0);
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
fn deaths_and_returns_are_detected_within_their_bounds() {
    for size in [2, 3, 5, 9, 10, 40] {
        let mut net = converged(size, 2);
        net.kill(1);
        // With two members, the remaining one receives nothing from anybody. As its own link may be the cause, it waits
        // for the forget timeout.
        net.run_for(if size == 2 { forget_timeout(size) + HEARTBEAT_INTERVAL } else { DEATH_KNOWN_WITHIN });
        assert!(all_believe(&mut net, 1, MemberState::Dead), "{size}");
        net.start(1);
        net.run_for(recovery_known_within(net.size()));
        assert!(all_alive(&mut net), "{size}");
    }
}

#[test]
fn two_running_members_of_a_large_fleet_find_each_other() {
    let mut net = new_network(300, 20);
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
fn quick_restarts_are_not_detected_as_deaths() {
    let mut net = converged(20, 3);
    for _ in 0..2 {
        net.kill(4);
        net.run_for(50);
        net.start(4);
    }
    net.run_for(2_000);
    assert_eq!(death_count(&net), 0);
    assert!(all_alive(&mut net));
    let now = net.member(4).unwrap().0.membership.incarnation();
    for by in (0..20).filter(|by| *by != 4) {
        assert_eq!(net.member(by).unwrap().0.membership.table().latest(4).incarnation, now);
    }
}

/// Incarnations start from the wall clock, which may be behind that of an earlier process.
#[test]
fn restart_with_clock_set_back_takes_a_later_incarnation() {
    let mut net = converged(20, 4);
    let before = net.member(4).unwrap().0.membership.incarnation();
    net.kill(4);
    net.run_for(50);
    net.wall_clock_shift = -86_400_000;
    net.start(4);
    net.run_for(1_000);
    let (member, _) = net.member(4).unwrap();
    assert!(member.membership.incarnation() > before);
    assert!(matches!(member.events[..], [Event::IncarnationRaised(_)]), "{:?}", member.events);
    assert!(all_alive(&mut net));
}

#[test]
fn one_way_link_failure_is_reported_and_causes_no_death() {
    let mut net = converged(12, 5);
    let (receiver, sender) = (0, {
        let (member, now) = net.member(0).unwrap();
        let view = member.membership.view(now);
        view.members
            .iter()
            .find(|m| m.last_received_ms.is_some_and(|ms| ms < HEARTBEAT_INTERVAL + 50))
            .expect("a subject is heard")
            .number
    });
    net.block(sender, receiver);
    net.run_for(5_000);
    assert_eq!(state(&mut net, receiver, sender), MemberState::Alive);
    assert_eq!(state(&mut net, sender, receiver), MemberState::Alive);
    // The sender learns through other members that it is not heard.
    let (member, now) = net.member(sender).unwrap();
    let view = member.membership.view(now);
    assert!(view.members.iter().any(|m| m.number == receiver && m.reports_unheard), "{view:?}");
    net.belief_changes.clear();
    net.run_for(120_000);
    assert_eq!(death_count(&net), 0);
    assert!(net.belief_changes.len() < 12 * 40, "{} belief changes in two minutes", net.belief_changes.len());
    net.unblock_all();
    net.run_for(5_000);
    let (member, now) = net.member(sender).unwrap();
    assert!(!member.membership.view(now).members.iter().any(|m| m.reports_unheard));
}

#[test]
fn views_are_stable_if_each_member_hears_only_one() {
    let mut net = converged(8, 6);
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
        assert!(
            reachability.fraction() == 0.0,
            "no observer can confirm that it hears the member: {reachability:?}"
        );
    }
    let changes = net.belief_changes.len();
    net.run_for(120_000);
    assert_eq!(death_count(&net), 0);
    assert!(
        net.belief_changes.len() - changes < 20,
        "{} belief changes in two minutes",
        net.belief_changes.len() - changes
    );
}

/// Partitions into two and three groups and into single members.
#[test]
fn partitions_are_detected_and_heal() {
    // Members without an observer on the other side are never suspected; they expire after the forget timeout.
    let known = partition_known_within(24);
    let mut net = converged(24, 7);
    net.partition(|member| u8::from(member < 12));
    net.run_for(known);
    for member in 0..24 {
        let reachability = reachability(&mut net, member);
        assert_eq!(reachability.alive, 11, "{member}: {reachability:?}");
    }
    // The partition changes before it has healed; then there are three groups.
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
    // Less than half of the fleet was reachable throughout, which is reported once.
    for member in 0..24 {
        let events = &net.member(member).unwrap().0.events;
        assert!(matches!(events[..], [Event::Isolated(_), Event::Reconnected(_)]), "{member}: {events:?}");
    }
}

#[test]
fn member_that_receives_nothing_waits_for_the_forget_timeout() {
    let mut net = converged(24, 21);
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

/// The network loses, duplicates, reorders and delays datagrams.
#[test]
fn unreliable_network_causes_no_false_death() {
    let mut net = converged(24, 8);
    net.link_quality = LinkQuality { loss: 0.3, duplication: 0.1, delay: DelayRange { min: 0, max: 200 } };
    net.run_for(600_000);
    assert_eq!(death_count(&net), 0);
    // A real death is still detected.
    net.kill(3);
    net.run_for(DEATH_KNOWN_WITHIN + 4_000);
    assert!(all_believe(&mut net, 3, MemberState::Dead));
}

#[test]
fn paused_process_detects_the_pause_before_acting() {
    for pause in [5_000, 60_000] {
        let mut net = converged(16, 9);
        let before = net.member(2).unwrap().0.membership.incarnation();
        net.pause(2);
        net.run_for(pause);
        assert!(all_believe(&mut net, 2, MemberState::Dead));
        // After the pause the member counts no other as reachable, whatever it believed before and whatever waits in
        // its socket.
        net.resume(2);
        let reachability = reachability(&mut net, 2);
        assert_eq!(
            (reachability.subjects_heard, reachability.observers_confirming, reachability.last_received_ms),
            (0, 0, None),
            "{reachability:?}"
        );
        assert!(reachability.fraction() == 0.0);
        let (member, _) = net.member(2).unwrap();
        assert_eq!(member.membership.incarnation(), before + 1);
        assert!(
            matches!(member.events[..], [Event::Paused(ms), ..] if ms + SUSPECT_TIMEOUT > pause),
            "{:?}",
            member.events
        );
        net.run_for(recovery_known_within(net.size()));
        assert!(all_alive(&mut net), "{pause}");
    }
}

/// Two processes have the same member number: the one that was paused yields to the one started later.
#[test]
fn superseded_process_stops_taking_part() {
    let mut net = converged(16, 10);
    net.pause(2);
    net.run_for(5_000);
    // Another process with the same member number was started in the meantime. The network holds only one process per
    // number, so the old process is simulated outside of it, and gets a datagram that another member sent.
    let old_incarnation = net.member(2).unwrap().0.membership.incarnation();
    let mut old_process = Member::new(16, 2, old_incarnation, 99, 0);
    for at in (0..4_000).step_by(30) {
        old_process.membership.handle_timeout(at);
    }
    net.start(2);
    net.run_for(3_000);
    let new_incarnation = net.member(2).unwrap().0.membership.incarnation();
    let (_, datagram) = next_datagram(&mut net, 5, 2);
    old_process.membership.handle_datagram(datagram.0, &datagram.1, 4_010);
    assert!(
        std::iter::from_fn(|| old_process.membership.poll_event())
            .any(|event| event == Event::Superseded(new_incarnation))
    );
    assert!(
        old_process.membership.reachability(4_020).superseded
            && old_process.membership.reachability(4_020).fraction() == 0.0
    );
    while old_process.membership.poll_transmit().is_some() {}
    (4_020..9_000).step_by(30).for_each(|at| old_process.membership.handle_timeout(at));
    assert!(old_process.membership.poll_transmit().is_none(), "the superseded process still sends datagrams");
}

/// Takes the next datagram that `from` sends to `to`, and returns it with its source address.
fn next_datagram(net: &mut Net, from: u16, to: u16) -> (u16, (std::net::SocketAddr, Vec<u8>)) {
    let (member, now) = net.member(from).expect("member is running");
    let source: std::net::SocketAddr = ([127, 0, 0, 1], 1024 + from).into();
    for step in (0..60_000).step_by(30) {
        member.membership.handle_timeout(now + step);
        while let Some((address, bytes)) = member.membership.poll_transmit() {
            if address.port() == 1024 + to {
                return (from, (source, bytes));
            }
        }
    }
    panic!("member {from} sent nothing to member {to}");
}

#[test]
fn simultaneous_deaths_of_70_percent_are_detected() {
    let mut net = converged(100, 11);
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
fn rolling_restart_causes_no_false_death() {
    let mut net = converged(40, 12);
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
    let mut net = converged(16, 13);
    let mut rng = fastrand::Rng::with_seed(13);
    // Processes are repeatedly paused for up to 900 ms, as on a machine with too few cores.
    for _ in 0..200 {
        let members: Vec<u16> = (0..16).filter(|_| rng.f64() < 0.3).collect();
        members.iter().for_each(|member| net.pause(*member));
        net.run_for(rng.u64(50..900));
        members.iter().for_each(|member| net.resume(*member));
        net.run_for(rng.u64(50..400));
    }
    assert_eq!(death_count(&net), 0);
}

/// Forged, truncated, replayed and oversized datagrams, and a flood of them.
#[test]
fn invalid_and_excess_datagrams_are_rejected() {
    let mut net = converged(12, 14);
    let (_, (_, valid)) = next_datagram(&mut net, 5, 2);
    let counters = |net: &mut Net| net.member(2).unwrap().0.membership.counters();
    let before = counters(&mut net);
    net.inject(5, 2, valid.clone());
    net.inject(5, 2, valid.clone());
    net.inject(6, 2, valid.clone());
    net.inject(5, 2, valid[..valid.len() - 1].to_vec());
    net.inject(5, 2, Vec::new());
    let mut forged = valid.clone();
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
            net.inject(7, 2, valid.clone());
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
fn replay_from_before_a_restart_is_not_accepted() {
    let mut net = converged(12, 15);
    let (_, (_, old)) = next_datagram(&mut net, 5, 2);
    net.kill(5);
    net.kill(2);
    net.run_for(10_000);
    net.start(2);
    net.run_for(5_000);
    net.inject(5, 2, old);
    net.run_for(1_000);
    assert_eq!(state(&mut net, 2, 5), MemberState::Dead);
    assert!(net.member(2).unwrap().0.membership.counters().stale_recipient > 0);
}

#[test]
fn different_fleet_size_is_rejected_and_reported() {
    let mut net = Network::new(6, 16, |me, incarnation, now| {
        Member::new(if me == 5 { 7 } else { 6 }, me, incarnation, u64::from(me), now)
    });
    (0..6).for_each(|member| net.start(member));
    net.run_for(5_000);
    let (member, _) = net.member(0).unwrap();
    assert!(member.membership.counters().wrong_fleet_size > 0);
    assert!(member.events.contains(&Event::FleetSizeMismatch { member: 5, size: 7 }));
    assert_ne!(member.membership.table().state(5), MemberState::Alive);
}

#[test]
fn same_seed_gives_the_same_run() {
    let run = |seed| {
        let mut net = converged(20, seed);
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

    /// Once the faults are over, the running members believe exactly the running members alive, and keep believing so.
    #[test]
    fn views_converge_after_random_faults_and_stay_stable(
        seed in any::<u64>(),
        faults in prop::collection::vec((fault(), 0u64..4_000), 1..20),
    ) {
        let mut net = converged(SIZE, seed);
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
