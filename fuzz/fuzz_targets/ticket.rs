//! No text is a valid ticket unless it was signed; whatever is signed is read back.
#![no_main]

use libfuzzer_sys::fuzz_target;
use weirusher_core::{Key, Keyring, TicketValidator};

fuzz_target!(|text: &str| {
    let keyring = Keyring::new(vec![Key { id: 1, secret: vec![7; 32] }]).expect("one key is given");
    if let Ok(ticket) = keyring.verify(text) {
        assert_eq!(keyring.verify(&keyring.sign(&ticket)), Ok(ticket));
    }
    let _ = TicketValidator::new(keyring, "127.0.0.1:1", 4).validate(1.0, Some(text));
});
