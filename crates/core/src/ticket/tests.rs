//! Signing and verification of tickets, and rotation of keys.

use super::*;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};

fn keyring(ids: &[u32]) -> Keyring {
    Keyring::new(ids.iter().map(|id| Key { id: *id, secret: vec![*id as u8; 32] }).collect()).unwrap()
}

fn ticket() -> Ticket {
    let backend = "127.0.0.1:81".to_string();
    Ticket {
        issuer: 3,
        incarnation: 9,
        request: 77,
        attempt: 1,
        units: 2.5,
        expires_at: 1000.0,
        class: 0,
        backend,
    }
}

/// While a fleet is updated, older and newer versions must be able to read each other's tickets. The text was
/// computed from the format in the module's documentation, not by this code.
#[test]
fn the_encoded_format_is_stable() {
    let text = concat!(
        "w1.1.AAAAAwAAAAAAAAAJAAAAAAAAAE0AAAABQAQAAAAAAABAj0AAAAAAAAAAMTI3LjAuMC4xOjgx",
        ".YC-eC_y6laAztm0JAARbQA",
    );
    assert_eq!(keyring(&[1]).sign(&ticket()), text);
    assert_eq!(keyring(&[1]).verify(text), Ok(ticket()));
}

#[test]
fn keys_rotate_with_an_overlap() {
    let old = keyring(&[1]).sign(&ticket());
    let new = keyring(&[2, 1]).sign(&ticket());
    assert!(keyring(&[2, 1]).verify(&old).is_ok());
    assert!(keyring(&[1, 2]).verify(&new).is_ok());
    assert_eq!(keyring(&[2]).verify(&old), Err(TicketError::UnknownKey));
}

proptest! {
    #[test]
    fn a_change_of_any_byte_is_detected(at in 0..400usize, to in any::<u8>()) {
        let text = keyring(&[1]).sign(&ticket());
        let mut bytes = text.clone().into_bytes();
        let at = at % bytes.len();
        bytes[at] = to;
        if let Ok(altered) = String::from_utf8(bytes) {
            // The base64 decoder rejects texts whose unused bits are not zero.
            prop_assert!(altered == text || keyring(&[1]).verify(&altered).is_err());
        }
    }

    #[test]
    fn any_text_gives_an_error_or_a_ticket(text in "\\PC{0,600}") {
        let _ = keyring(&[1]).verify(&text);
        let _ = keyring(&[1]).verify(&format!("w1.1.{text}"));
    }

    #[test]
    fn a_signed_ticket_is_read_back(issuer: u32, incarnation: u64, request: u64, attempt: u32, class: u16,
            units in 0.0..1e9f64, expires_at in 0.0..1e12f64, backend in "[a-z0-9.:]{0,60}") {
        let ticket = Ticket { issuer, incarnation, request, attempt, units, expires_at, class, backend };
        prop_assert_eq!(keyring(&[1]).verify(&keyring(&[1]).sign(&ticket)), Ok(ticket));
    }
}
