//! Model checking of the production code: every order of messages that can reach one member's table, and every short
//! sequence of faults in a small fleet.

use stateright::{Checker, Model, Property};
use weirusher_fleet::{
    Evidence, HEARTBEAT_INTERVAL, MemberState, MemberTable, Millis, SUSPECT_TIMEOUT, SuspicionOutcome,
    partition_known_within, recovery_known_within,
};
use weirusher_simulation::membership::{Member, Network};

// ---- The table of one member: messages about another member may be lost, duplicated and reordered. ----

/// The member that owns the table, the member that the messages are about, and three other observers of the latter.
const OBSERVER: u16 = 0;
const SUBJECT: u16 = 1;
const OBSERVERS: [u16; 3] = [2, 3, 4];
/// The time step of the model.
const TICK: Millis = HEARTBEAT_INTERVAL;
/// When the subject sends its last heartbeat, and when the model ends.
const LAST_HEARTBEAT: Millis = 5 * TICK;
const END: Millis = 14 * TICK;
/// Maximum number of messages that arrive within one tick.
const MESSAGES_PER_TICK: u8 = 2;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct TableState {
    table: MemberTable,
    now: Millis,
    messages: u8,
    /// When evidence last arrived that refuted all suspicions before it.
    refuted_at: Millis,
    /// Whether the subject was ever declared dead, alive again after that, or suspected.
    ever_dead: bool,
    ever_revived: bool,
    ever_suspected: bool,
}

impl TableState {
    fn is_dead(&self) -> bool {
        self.table.state(SUBJECT) == MemberState::Dead
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// A heartbeat from the subject.
    Heartbeat(u32),
    /// A suspicion by an observer that received nothing after this heartbeat.
    Suspicion(u16, u32),
}

struct TableModel;

fn sent(heartbeat: u32) -> Millis {
    Millis::from(heartbeat) * TICK
}

fn evidence(heartbeat: u32) -> Evidence {
    Evidence { incarnation: 7, heartbeat }
}

impl Model for TableModel {
    type State = TableState;
    type Action = Step;

    fn init_states(&self) -> Vec<TableState> {
        let mut table = MemberTable::new(5, OBSERVER, 0);
        table.handle_alive(SUBJECT, evidence(0), 0, 0);
        table.take_changes();
        vec![TableState {
            table,
            now: 0,
            messages: 0,
            refuted_at: 0,
            ever_dead: false,
            ever_revived: false,
            ever_suspected: false,
        }]
    }

    fn actions(&self, state: &TableState, actions: &mut Vec<Step>) {
        if state.now < END {
            actions.push(Step::Tick);
        }
        if state.messages >= MESSAGES_PER_TICK {
            return;
        }
        let newest = (state.now.min(LAST_HEARTBEAT) / TICK) as u32;
        // The newest heartbeat, one reordered behind it, and an old one: these cover every relevant order.
        let mut heartbeats = vec![newest, newest.saturating_sub(1), 1.min(newest)];
        heartbeats.dedup();
        actions.extend(heartbeats.into_iter().map(Step::Heartbeat));
        // Observers suspect only after their timeout, and may have lost any of the last heartbeats themselves.
        for by in OBSERVERS {
            let silent_for_long = |heartbeat: &u32| sent(*heartbeat) + SUSPECT_TIMEOUT <= state.now;
            let lasts = [newest, newest.saturating_sub(4)].into_iter().filter(silent_for_long);
            actions.extend(lasts.map(|last| Step::Suspicion(by, last)));
        }
    }

    fn next_state(&self, state: &TableState, step: Step) -> Option<TableState> {
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
                    next.refuted_at = now;
                }
            }
            Step::Suspicion(by, last) => {
                next.ever_suspected |= next.table.handle_suspicion(SUBJECT, &[by], evidence(last), now)
                    == SuspicionOutcome::Accepted;
            }
        }
        for change in next.table.take_changes() {
            next.ever_dead |= change.to == MemberState::Dead;
            next.ever_revived |= change.from == MemberState::Dead && change.to == MemberState::Alive;
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no member is dead without a suspicion", |_, state: &TableState| {
                !state.ever_dead || state.ever_suspected
            }),
            Property::always(
                "a death takes at least 500 ms after the last evidence",
                |_, state: &TableState| !state.is_dead() || state.now - state.refuted_at >= 500,
            ),
            Property::always(
                "the latest evidence is no newer than the clock allows",
                |_, state: &TableState| state.table.latest(SUBJECT).heartbeat <= (state.now / TICK) as u32,
            ),
            Property::always("old heartbeats revive no dead member", |_, state: &TableState| {
                // The last heartbeat was sent before any suspicion for lack of a later one was possible, so it cannot
                // revive a member that was declared dead for that.
                !state.ever_revived || state.now < LAST_HEARTBEAT + SUSPECT_TIMEOUT + 500 + TICK
            }),
            Property::sometimes("a member can die", |_, state: &TableState| state.is_dead()),
            Property::sometimes("a suspicion can be refuted", |_, state: &TableState| {
                state.ever_suspected && state.table.state(SUBJECT) == MemberState::Alive
            }),
        ]
    }
}

#[test]
fn every_message_order_keeps_the_table_properties() {
    let checker = TableModel.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
}

// ---- Whole members: every sequence of a few faults. ----

const SIZE: u16 = 3;
const MAX_FAULTS: usize = 3;
/// Time after each fault: longer than the suspicion timeout, shorter than the time until a death is known.
const TIME_AFTER_FAULT: Millis = 1_300;

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

struct FaultSequences;

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

/// Applies the faults, heals the network, and returns whether all running members end up with a correct view.
fn converges_after(faults: &[Fault]) -> bool {
    let mut net =
        Network::new(SIZE, 1, |me, incarnation, now| Member::new(SIZE, me, incarnation, u64::from(me), now));
    (0..SIZE).for_each(|member| net.start(member));
    net.run_for(4_000);
    for fault in faults {
        fault.apply(&mut net);
        net.run_for(TIME_AFTER_FAULT);
    }
    Fault::Heal.apply(&mut net);
    net.run_for(partition_known_within(SIZE).max(recovery_known_within(SIZE)));
    let running: Vec<u16> = (0..SIZE).filter(|member| net.is_running(*member)).collect();
    running.iter().all(|by| {
        let others: Vec<u16> = (0..SIZE).filter(|of| of != by).collect();
        others.into_iter().all(|of| {
            let (member, _) = net.member(*by).expect("member is running");
            let expected = if running.contains(&of) { MemberState::Alive } else { MemberState::Dead };
            member.membership.table().state(of) == expected
        })
    })
}

impl Model for FaultSequences {
    type State = Vec<Fault>;
    type Action = Fault;

    fn init_states(&self) -> Vec<Vec<Fault>> {
        vec![Vec::new()]
    }

    fn actions(&self, faults: &Vec<Fault>, actions: &mut Vec<Fault>) {
        if faults.len() < MAX_FAULTS {
            use Fault::{Block, Heal, Kill, Partition, Pause, Resume, Start};
            actions.extend([Partition, Block, Heal, Kill, Start, Pause, Resume]);
        }
    }

    fn next_state(&self, faults: &Vec<Fault>, fault: Fault) -> Option<Vec<Fault>> {
        let mut faults = faults.clone();
        faults.push(fault);
        Some(faults)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("views converge after every sequence of faults", |_, faults: &Vec<Fault>| {
            converges_after(faults)
        })]
    }
}

#[test]
fn views_converge_after_every_short_fault_sequence() {
    let checker = FaultSequences.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert_eq!(checker.unique_state_count(), 1 + 7 + 49 + 343);
}
