//! Model checking of the crate's own code: every order of the messages that can reach one member, and every short
//! script of faults.

use stateright::{Checker, Model, Property};
use weirusher_fleet::{
    Evidence, HEARTBEAT_INTERVAL, MemberState, MemberTable, Millis, SUSPECT_TIMEOUT, SuspicionOutcome,
    partition_known_within, recovery_known_within,
};
use weirusher_simulation::membership::{Member, Network};

// ---- One member's table: messages about another member, lost, duplicated and reordered. ----

/// The member whose table it is, the member that the messages are about, and three more observers of that one.
const OBSERVER: u16 = 0;
const SUBJECT: u16 = 1;
const OBSERVERS: [u16; 3] = [2, 3, 4];
/// A step of time.
const TICK: Millis = HEARTBEAT_INTERVAL;
/// The subject sends its last heartbeat then, and the model ends a while later.
const LAST_HEARTBEAT: Millis = 5 * TICK;
const END: Millis = 14 * TICK;
/// Messages that can arrive within one tick.
const MESSAGES_PER_TICK: u8 = 2;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Observed {
    table: MemberTable,
    now: Millis,
    messages: u8,
    /// When evidence last arrived that refuted all suspicions before it.
    cleared: Millis,
    /// Whether the table has believed the subject dead, and alive after that.
    died: bool,
    revived: bool,
    suspected: bool,
}

impl Observed {
    fn dead(&self) -> bool {
        self.table.state(SUBJECT) == MemberState::Dead
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// A heartbeat that the subject sent.
    Heartbeat(u32),
    /// An observer's suspicion: it received nothing after this heartbeat.
    Suspicion(u16, u32),
}

struct OneTable;

fn sent(heartbeat: u32) -> Millis {
    Millis::from(heartbeat) * TICK
}

fn evidence(heartbeat: u32) -> Evidence {
    Evidence { incarnation: 7, heartbeat }
}

impl Model for OneTable {
    type State = Observed;
    type Action = Step;

    fn init_states(&self) -> Vec<Observed> {
        let mut table = MemberTable::new(5, OBSERVER, 0);
        table.handle_alive(SUBJECT, evidence(0), 0, 0);
        table.take_changes();
        vec![Observed {
            table,
            now: 0,
            messages: 0,
            cleared: 0,
            died: false,
            revived: false,
            suspected: false,
        }]
    }

    fn actions(&self, state: &Observed, actions: &mut Vec<Step>) {
        if state.now < END {
            actions.push(Step::Tick);
        }
        if state.messages >= MESSAGES_PER_TICK {
            return;
        }
        let newest = (state.now.min(LAST_HEARTBEAT) / TICK) as u32;
        // The newest heartbeat, one that was overtaken, and an old one: any order is among these.
        let mut heartbeats = vec![newest, newest.saturating_sub(1), 1.min(newest)];
        heartbeats.dedup();
        actions.extend(heartbeats.into_iter().map(Step::Heartbeat));
        // An observer waits for its timeout, and can have lost any of the last heartbeats itself.
        for by in OBSERVERS {
            let silent_for_long = |heartbeat: &u32| sent(*heartbeat) + SUSPECT_TIMEOUT <= state.now;
            let lasts = [newest, newest.saturating_sub(4)].into_iter().filter(silent_for_long);
            actions.extend(lasts.map(|last| Step::Suspicion(by, last)));
        }
    }

    fn next_state(&self, state: &Observed, step: Step) -> Option<Observed> {
        let mut next = state.clone();
        let now = next.now;
        next.messages += 1;
        match step {
            Step::Tick => {
                (next.now, next.messages) = (now + TICK, 0);
                next.table.confirm_deaths(false, next.now);
            }
            Step::Heartbeat(heartbeat) => {
                let before = next.table.latest(SUBJECT);
                next.table.handle_alive(SUBJECT, evidence(heartbeat), now - sent(heartbeat), now);
                if evidence(heartbeat) > before && next.table.state(SUBJECT) == MemberState::Alive {
                    next.cleared = now;
                }
            }
            Step::Suspicion(by, last) => {
                next.suspected |= next.table.handle_suspicion(SUBJECT, &[by], evidence(last), now)
                    == SuspicionOutcome::Accepted;
            }
        }
        for change in next.table.take_changes() {
            next.died |= change.to == MemberState::Dead;
            next.revived |= change.from == MemberState::Dead && change.to == MemberState::Alive;
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nobody is dead whom nobody suspected", |_, state: &Observed| {
                !state.died || state.suspected
            }),
            Property::always("half a second to refute, from the last evidence on", |_, state: &Observed| {
                !state.dead() || state.now - state.cleared >= 500
            }),
            Property::always("the newest evidence is never lost", |_, state: &Observed| {
                state.table.latest(SUBJECT).heartbeat <= (state.now / TICK) as u32
            }),
            Property::always("old heartbeats do not revive the dead", |_, state: &Observed| {
                // The last heartbeat was sent before a suspicion for want of a later one was possible.
                !state.revived || state.now < LAST_HEARTBEAT + SUSPECT_TIMEOUT + 500 + TICK
            }),
            Property::sometimes("a member can die", |_, state: &Observed| state.dead()),
            Property::sometimes("a suspicion can be refuted", |_, state: &Observed| {
                state.suspected && state.table.state(SUBJECT) == MemberState::Alive
            }),
        ]
    }
}

#[test]
fn every_order_of_messages_about_a_member_keeps_the_rules() {
    let checker = OneTable.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
}

// ---- Whole members: every script of faults of a few steps. ----

const SIZE: u16 = 3;
const STEPS: usize = 3;
/// Milliseconds after each fault: longer than the timeout of a suspicion, shorter than a death takes to be known.
const STEP: Millis = 1_300;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Fault {
    Partition,
    Block,
    Heal,
    Kill,
    Start,
    Pause,
    Resume,
}

struct Scripts;

impl Fault {
    fn apply(self, net: &mut Network<Member>) {
        match self {
            Fault::Partition => net.partition(|member| u8::from(member == 0)),
            Fault::Block => net.block(0, 1),
            Fault::Heal => {
                net.partition(|_| 0);
                net.unblock_all();
            }
            Fault::Kill => net.kill(0),
            Fault::Start => net.start(0),
            Fault::Pause => net.pause(0),
            Fault::Resume if !net.is_running(0) => net.resume(0),
            Fault::Resume => {}
        }
    }
}

/// Runs a script, heals the network, and tells whether all beliefs are true in the end.
fn ends_well(script: &[Fault]) -> bool {
    let mut net =
        Network::new(SIZE, 1, |me, incarnation, now| Member::new(SIZE, me, incarnation, u64::from(me), now));
    (0..SIZE).for_each(|member| net.start(member));
    net.run_for(4_000);
    for fault in script {
        fault.apply(&mut net);
        net.run_for(STEP);
    }
    Fault::Heal.apply(&mut net);
    net.run_for(partition_known_within(SIZE).max(recovery_known_within(SIZE)));
    let running: Vec<u16> = (0..SIZE).filter(|member| net.is_running(*member)).collect();
    running.iter().all(|by| {
        let others: Vec<u16> = (0..SIZE).filter(|of| of != by).collect();
        others.into_iter().all(|of| {
            let (member, _) = net.member(*by).expect("it runs");
            let expected = if running.contains(&of) { MemberState::Alive } else { MemberState::Dead };
            member.fleet.table().state(of) == expected
        })
    })
}

impl Model for Scripts {
    type State = Vec<Fault>;
    type Action = Fault;

    fn init_states(&self) -> Vec<Vec<Fault>> {
        vec![Vec::new()]
    }

    fn actions(&self, script: &Vec<Fault>, actions: &mut Vec<Fault>) {
        if script.len() < STEPS {
            use Fault::{Block, Heal, Kill, Partition, Pause, Resume, Start};
            actions.extend([Partition, Block, Heal, Kill, Start, Pause, Resume]);
        }
    }

    fn next_state(&self, script: &Vec<Fault>, fault: Fault) -> Option<Vec<Fault>> {
        let mut script = script.clone();
        script.push(fault);
        Some(script)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("after every script, beliefs become true", |_, script: &Vec<Fault>| {
            ends_well(script)
        })]
    }
}

#[test]
fn beliefs_are_true_after_every_short_script_of_faults() {
    let checker = Scripts.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert_eq!(checker.unique_state_count(), 1 + 7 + 49 + 343);
}
