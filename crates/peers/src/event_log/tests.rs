//! Tests of the log lines that state changes produce.

use super::format_changes;
use weirusher_fleet::{MemberState, StateChange};

fn change(member: u16, from: MemberState, to: MemberState) -> StateChange {
    StateChange { member, from, to }
}

#[test]
fn many_simultaneous_deaths_are_logged_in_one_line() {
    let mut changes: Vec<StateChange> =
        (0..100).map(|n| change(n, MemberState::Suspected, MemberState::Dead)).collect();
    changes.push(change(200, MemberState::Dead, MemberState::Alive));
    changes.push(change(201, MemberState::Alive, MemberState::Suspected));
    changes.push(change(202, MemberState::Suspected, MemberState::Alive));
    let lines = format_changes(&changes);
    assert_eq!(lines, ["gateway 0, 1, 2, 3, 4, 5, 6, 7 and 92 more: gone", "gateway 200: alive"]);
}

#[test]
fn refuted_suspicions_are_not_logged() {
    let changes = [
        change(1, MemberState::Alive, MemberState::Suspected),
        change(1, MemberState::Suspected, MemberState::Alive),
    ];
    assert!(format_changes(&changes).is_empty());
}
