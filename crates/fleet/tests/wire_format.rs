//! The datagram format on the network, pinned byte by byte: members of different versions must understand each other.

use weirusher_fleet::{Copy, GONE, Header, Packet, Part, Seal};

const KEY: &[u8] = b"a key for tests, of 32 bytes and more";

/// What members of every version send for [`datagram`].
const EXPECTED: [&str; 3] = [
    "ac0207ab0280a0f1c2b134fba0f1c2b134f0a2049221010005000309e8070c01",
    "01a80202ffff034d050000ffff0302040b0d030102c801000300030102030401",
    "02ff000103478744c45fa05ff5aeea82efb8e558",
];

/// A datagram that holds each kind of message, with its authentication tag.
fn datagram() -> (Packet, Vec<u8>) {
    let header = Header {
        size: 300,
        from: 7,
        to: 299,
        incarnation: 1_800_000_000_000,
        knows: 1_800_000_000_123,
        sequence: 70_000,
        beat: 4_242,
        hears: true,
        watch: false,
    };
    let parts = vec![
        Part::Life { member: 3, incarnation: 9, beat: 1_000, age: 12, news: true },
        Part::Copies {
            from: 296,
            beats: vec![
                Copy { incarnation: 65_535, beat: 77, age: 5 },
                Copy { incarnation: 0, beat: 0, age: GONE },
            ],
        },
        Part::Silent { member: 4, incarnation: 11, beat: 13, by: vec![1, 2, 200], news: false },
        Part::Digest { kind: 0, digest: vec![1, 2, 3] },
        Part::Piece { kind: 1, piece: vec![255, 0], news: true },
    ];
    let packet = Packet { header, parts };
    let bytes = Seal::new(KEY).unwrap().close(postcard::to_allocvec(&packet).unwrap());
    (packet, bytes)
}

#[test]
fn the_bytes_of_an_authenticated_datagram_stay_as_they_are() {
    let (packet, bytes) = datagram();
    let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(text, EXPECTED.concat());
    let content = Seal::new(KEY).unwrap().open(&bytes).unwrap().to_vec();
    assert_eq!(postcard::from_bytes::<Packet>(&content).unwrap(), packet);
}
