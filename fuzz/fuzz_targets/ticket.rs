//! Arbitrary text causes no panic in ticket validation, and a ticket that verifies is the same after signing it
//! again.
#![no_main]

use libfuzzer_sys::fuzz_target;
use weirusher_core::{Key, Keyring, TicketValidator};

fuzz_target!(|text: &str| {
    let keyring = Keyring::new(vec![Key { id: 1, secret: vec![7; 32] }]).expect("the keyring has a key");
    if let Ok(ticket) = keyring.verify(text) {
        assert_eq!(keyring.verify(&keyring.sign(&ticket)), Ok(ticket));
    }
    let _ = TicketValidator::new(keyring, "127.0.0.1:1", 4).validate(1.0, Some(text));
});
