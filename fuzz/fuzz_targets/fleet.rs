//! Whatever comes with the right code from a member: no panic, and the bounds on what is sent hold.
#![no_main]

use libfuzzer_sys::fuzz_target;
use weirusher_fleet::{Fleet, Header, MOST_BYTES, Seal, Settings};

const KEY: &[u8] = b"a key for tests, of 32 bytes and more";

fuzz_target!(|datagrams: Vec<(bool, Vec<u8>)>| {
    let members = (0..4).map(|n| ([127, 0, 0, 1], 2000 + n).into()).collect();
    let settings = Settings { me: 0, members, key: KEY.to_vec() };
    let mut fleet = Fleet::new(settings, 9, 1, 0).expect("these settings can work");
    let seal = Seal::new(KEY).expect("the key is long enough");
    for (at, (proven, content)) in (1u64..).zip(datagrams) {
        // With a header that is believed, the rest is read; without it, all is as the fuzzer likes it.
        let header = Header {
            size: 4, from: 1, to: 0, incarnation: 7, knows: 9, sequence: at, beat: 3, hears: true, watch: false,
        };
        let mut bytes = if proven { postcard::to_allocvec(&header).expect("a header is plain") } else { Vec::new() };
        bytes.extend(content);
        fleet.receive(([127, 0, 0, 1], 2001).into(), &seal.close(bytes), at * 10);
        fleet.advance(at * 10);
        while let Some((_, bytes)) = fleet.transmit() {
            assert!(bytes.len() <= MOST_BYTES);
        }
    }
});
