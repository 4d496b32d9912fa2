//! Pins the datagram format byte by byte, so that members of different versions understand each other.

use weirusher_fleet::{AGE_DEAD, Authenticator, CompactHeartbeat, Datagram, Header, Message};

const KEY: &[u8] = b"a key for tests, of 32 bytes and more";

/// The bytes that members of every version send for [`datagram`], in hexadecimal.
const EXPECTED: [&str; 3] = [
    "ac0207ab0280a0f1c2b134fba0f1c2b134f0a2049221010005000309e8070c01",
    "01a80202ffff034d050000ffff0302040b0d030102c801000300030102030401",
    "02ff000103478744c45fa05ff5aeea82efb8e558",
];

/// A datagram with each kind of message: its content, and its signed bytes.
fn datagram() -> (Datagram, Vec<u8>) {
    let header = Header {
        fleet_size: 300,
        sender: 7,
        recipient: 299,
        incarnation: 1_800_000_000_000,
        recipient_incarnation: 1_800_000_000_123,
        sequence: 70_000,
        heartbeat: 4_242,
        hears_recipient: true,
        wants_heartbeats: false,
    };
    let messages = vec![
        Message::Alive { member: 3, incarnation: 9, heartbeat: 1_000, age: 12, gossip: true },
        Message::Heartbeats {
            first: 296,
            heartbeats: vec![
                CompactHeartbeat { incarnation: 65_535, heartbeat: 77, age: 5 },
                CompactHeartbeat { incarnation: 0, heartbeat: 0, age: AGE_DEAD },
            ],
        },
        Message::Suspect {
            member: 4,
            incarnation: 11,
            heartbeat: 13,
            suspectors: vec![1, 2, 200],
            gossip: false,
        },
        Message::Digest { kind: 0, digest: vec![1, 2, 3] },
        Message::Delta { kind: 1, delta: vec![255, 0], gossip: true },
    ];
    let content = Datagram { header, messages };
    let bytes = Authenticator::new(KEY).unwrap().sign(postcard::to_allocvec(&content).unwrap());
    (content, bytes)
}

#[test]
fn bytes_of_an_authenticated_datagram_are_stable() {
    let (content, bytes) = datagram();
    let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(text, EXPECTED.concat());
    let verified = Authenticator::new(KEY).unwrap().verify(&bytes).unwrap().to_vec();
    assert_eq!(postcard::from_bytes::<Datagram>(&verified).unwrap(), content);
}
