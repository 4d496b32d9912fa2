//! Arbitrary datagrams of a member with a valid authentication tag cause no panic and no oversized datagram in reply.
#![no_main]

use libfuzzer_sys::fuzz_target;
use weirusher_fleet::{Authenticator, Header, MAX_DATAGRAM_BYTES, Membership, MembershipSettings};

const KEY: &[u8] = b"a key for tests, of 32 bytes and more";

fuzz_target!(|datagrams: Vec<(bool, Vec<u8>)>| {
    let members = (0..4).map(|n| ([127, 0, 0, 1], 2000 + n).into()).collect();
    let settings = MembershipSettings { instance: 0, members, key: KEY.to_vec() };
    let mut membership = Membership::new(settings, 9, 1, 0).expect("the settings are valid");
    let authenticator = Authenticator::new(KEY).expect("the key is long enough");
    for (sequence, (valid_header, content)) in (1u64..).zip(datagrams) {
        // With a valid header the fuzzed bytes reach the message decoder; without one they also make up the header.
        let header = Header {
            fleet_size: 4,
            sender: 1,
            recipient: 0,
            incarnation: 7,
            recipient_incarnation: 9,
            sequence,
            heartbeat: 3,
            hears_recipient: true,
            wants_heartbeats: false,
        };
        let mut bytes = if valid_header { postcard::to_allocvec(&header).expect("serializable") } else { Vec::new() };
        bytes.extend(content);
        let now = sequence * 10;
        membership.handle_datagram(([127, 0, 0, 1], 2001).into(), &authenticator.sign(bytes), now);
        membership.handle_timeout(now);
        while let Some((_, bytes)) = membership.poll_transmit() {
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        }
    }
});
