//! Which tickets are accepted, and which are rejected.

use super::*;
use crate::ticket::Key;

fn keyring() -> Keyring {
    Keyring::new(vec![Key { id: 1, secret: vec![1; 32] }]).unwrap()
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

fn validator(max_used: usize) -> TicketValidator {
    TicketValidator::new(keyring(), "127.0.0.1:81", max_used)
}

#[test]
fn a_ticket_is_accepted_once_at_its_own_backend() {
    let text = keyring().sign(&ticket());
    let mut validator = validator(10);
    assert_eq!(validator.validate(999.0, Some(&text)), Ok(ticket()));
    assert_eq!(validator.validate(999.0, Some(&text)), Err(TicketRejection::Replayed));
    assert_eq!(validator.validate(999.0, None), Err(TicketRejection::Missing));
    let mut other = TicketValidator::new(keyring(), "127.0.0.1:82", 10);
    assert_eq!(other.validate(999.0, Some(&text)), Err(TicketRejection::Misdirected));
}

/// Guards against a used ticket that is forgotten while it would still be accepted.
#[test]
fn a_ticket_is_not_accepted_twice_around_its_expiry() {
    let text = keyring().sign(&ticket());
    let mut validator = validator(10);
    assert!(validator.validate(1000.0 + MAX_CLOCK_SKEW_SECONDS, Some(&text)).is_ok());
    for past in [0.0, 0.0005, 0.001, 0.01, 1.0] {
        assert!(validator.validate(1000.0 + MAX_CLOCK_SKEW_SECONDS + past, Some(&text)).is_err());
    }
    assert_eq!(validator.validate(1001.0, Some(&text)), Err(TicketRejection::Expired));
}

#[test]
fn remembered_tickets_are_bounded_and_dropped_after_expiry() {
    let mut validator = validator(2);
    let text = |request| keyring().sign(&Ticket { request, ..ticket() });
    assert!(validator.validate(999.0, Some(&text(1))).is_ok());
    assert!(validator.validate(999.0, Some(&text(2))).is_ok());
    assert_eq!(validator.validate(999.0, Some(&text(3))), Err(TicketRejection::Full));
    let later = Ticket { expires_at: 2000.0, request: 4, ..ticket() };
    assert!(validator.validate(1500.0, Some(&keyring().sign(&later))).is_ok());
    assert_eq!(validator.used.len(), 1);
}
