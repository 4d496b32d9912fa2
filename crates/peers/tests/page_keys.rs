//! Pins the JSON keys of `/fleet` and `/fleet/brief`, which operators' tools and stored captures depend on.

use std::net::SocketAddr;
use weirusher_fleet::{Membership, MembershipSettings};

fn fleet() -> Membership {
    let members = [2000, 2001].map(|port| SocketAddr::from(([127, 0, 0, 1], port))).to_vec();
    let settings = MembershipSettings { instance: 0, members, key: vec![7; 32] };
    Membership::new(settings, 9, 1, 0).unwrap()
}

const REACHABILITY: &str = concat!(
    r#""hearing":{"others":1,"alive":0,"expected":0,"heard":0,"watchers":0,"confirmed":0,"denied":0,"#,
    r#""age_ms":null,"superseded":false}"#
);

#[test]
fn full_view_keys_are_stable() {
    let view = serde_json::to_string(&fleet().view(5)).unwrap();
    let expected = [
        r#"{"number":0,"incarnation":9,"#,
        REACHABILITY,
        r#","members":[{"number":1,"state":"unknown","for_ms":5,"incarnation":0,"age_ms":null,"#,
        r#""direct_ms":null,"denies":false}],"#,
        r#""counters":{"sent":0,"sent_bytes":0,"received":0,"received_bytes":0,"oversized":0,"#,
        r#""misplaced":0,"flooded":0,"forged":0,"malformed":0,"other_size":0,"misdelivered":0,"#,
        r#""replayed":0,"stale":0,"unproven":0,"unreadable":0,"put_off":0,"rumors_dropped":0,"away":0},"#,
        r#""rumors":0}"#,
    ];
    assert_eq!(view, expected.concat());
}

#[test]
fn brief_view_keys_are_stable() {
    let brief = serde_json::to_string(&fleet().view_summary(5)).unwrap();
    let expected = [r#"{"number":0,"incarnation":9,"#, REACHABILITY, r#","alive":[],"gone":[]}"#];
    assert_eq!(brief, expected.concat());
}

#[test]
fn state_names_are_stable() {
    use weirusher_fleet::MemberState::{Alive, Dead, Suspected, Unknown};
    let words = [Unknown, Alive, Suspected, Dead].map(|state| serde_json::to_string(&state).unwrap());
    assert_eq!(words, [r#""unknown""#, r#""alive""#, r#""suspected""#, r#""gone""#]);
}
