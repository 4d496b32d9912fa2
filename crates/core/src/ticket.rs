//! Tickets: signed permission for one attempt of one request at one backend.
//!
//! A ticket is `w1.<key id>.<fields>.<code>`: the fields are in base64url, and the code is an HMAC-SHA256
//! over everything before it, truncated to 128 bits and compared in constant time. A ticket is not secret,
//! only unforgeable.

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD as BASE64};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt::Write as _;

const VERSION: &str = "w1";
/// Bytes of the authentication code that are sent.
const CODE_BYTES: usize = 16;
/// Length of the longest ticket that is parsed, in bytes. A longer text was not issued by a gateway and is
/// rejected without further work.
const MAX_TICKET_BYTES: usize = 512;
/// Length of the longest backend address in a ticket, in bytes.
const MAX_BACKEND_BYTES: usize = 255;
/// Length of the fields before the backend's address, in bytes.
const FIXED_FIELD_BYTES: usize = 4 + 8 + 8 + 4 + 8 + 8 + 2;
/// Typical length of a ticket in bytes, reserved in one allocation.
const USUAL_TICKET_BYTES: usize = 160;

/// A key for tickets, with the id that tickets carry.
#[derive(Clone)]
pub struct Key {
    /// The key's id, the same on all gateways and backends.
    pub id: u32,
    /// The secret, 32 bytes or more of randomness.
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Key({})", self.id) // The secret must not reach a log.
    }
}

/// The fields of a ticket.
#[derive(Debug, Clone, PartialEq)]
pub struct Ticket {
    /// The issuing gateway instance.
    pub issuer: u32,
    /// The issuer's incarnation, which differs after each restart.
    pub incarnation: u64,
    /// Number of the request, unique within the incarnation.
    pub request: u64,
    /// Number of the attempt within its request, from 0.
    pub attempt: u32,
    /// Units taken from the quota.
    pub units: f64,
    /// Unix time in seconds after which no backend may execute the attempt.
    pub expires_at: f64,
    /// Index of the request's class.
    pub class: u16,
    /// Address of the backend that the ticket is for.
    pub backend: String,
}

/// Why a ticket is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TicketError {
    /// The text does not have the format of a ticket.
    #[error("malformed ticket")]
    Malformed,
    /// The ticket was signed with a key that is not, or no longer, accepted.
    #[error("the ticket is signed with a key that is not accepted")]
    UnknownKey,
    /// The ticket was forged or altered.
    #[error("the ticket's authentication code does not match")]
    Forged,
}

/// The ticket keys of a fleet: one signs and all are accepted, so that keys can be rotated with an overlap.
#[derive(Debug, Clone)]
pub struct Keyring {
    keys: Vec<KeyedMac>,
}

/// A key's id, and an HMAC state that is already initialised with the key, so that this is not repeated for
/// each ticket.
#[derive(Debug, Clone)]
struct KeyedMac {
    id: u32,
    mac: Hmac<Sha256>,
}

impl KeyedMac {
    fn mac_of(&self, signed: &str) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(signed.as_bytes());
        mac
    }
}

impl Keyring {
    /// Creates a keyring whose first key signs. `None` if `keys` is empty.
    ///
    /// # Panics
    /// Never: HMAC takes keys of any length.
    pub fn new(keys: Vec<Key>) -> Option<Self> {
        let keyed = |key: &Key| {
            let mac = Hmac::<Sha256>::new_from_slice(&key.secret).expect("HMAC takes keys of any length");
            KeyedMac { id: key.id, mac }
        };
        (!keys.is_empty()).then(|| Self { keys: keys.iter().map(keyed).collect() })
    }

    /// Signs and encodes a ticket.
    pub fn sign(&self, ticket: &Ticket) -> String {
        let mut fields = Vec::with_capacity(FIXED_FIELD_BYTES + ticket.backend.len());
        fields.extend(ticket.issuer.to_be_bytes());
        fields.extend(ticket.incarnation.to_be_bytes());
        fields.extend(ticket.request.to_be_bytes());
        fields.extend(ticket.attempt.to_be_bytes());
        fields.extend(ticket.units.to_bits().to_be_bytes());
        fields.extend(ticket.expires_at.to_bits().to_be_bytes());
        fields.extend(ticket.class.to_be_bytes());
        fields.extend(ticket.backend.as_bytes());
        let key = &self.keys[0];
        let mut text = String::with_capacity(USUAL_TICKET_BYTES);
        let _ = write!(text, "{VERSION}.{}.", key.id); // Writing to a string does not fail.
        BASE64.encode_string(&fields, &mut text);
        let code = key.mac_of(&text).finalize().into_bytes();
        text.push('.');
        BASE64.encode_string(&code[..CODE_BYTES], &mut text);
        text
    }

    /// Parses a ticket and verifies its authentication code. Checks neither its expiry nor whether it was
    /// used.
    ///
    /// # Errors
    /// The text is not a ticket, or not one signed with a key of this keyring.
    pub fn verify(&self, text: &str) -> Result<Ticket, TicketError> {
        use TicketError::{Forged, Malformed, UnknownKey};
        if text.len() > MAX_TICKET_BYTES {
            return Err(Malformed);
        }
        let (signed, code) = text.rsplit_once('.').ok_or(Malformed)?;
        let mut parts = signed.splitn(3, '.');
        let (version, id, fields) = (parts.next(), parts.next(), parts.next().ok_or(Malformed)?);
        if version != Some(VERSION) {
            return Err(Malformed);
        }
        let id: u32 = id.and_then(|id| id.parse().ok()).ok_or(Malformed)?;
        let code = BASE64.decode(code).map_err(|_| Malformed)?;
        if code.len() != CODE_BYTES {
            return Err(Malformed); // A shorter code would be easier to forge.
        }
        let key = self.keys.iter().find(|key| key.id == id).ok_or(UnknownKey)?;
        key.mac_of(signed).verify_truncated_left(&code).map_err(|_| Forged)?;
        parse_fields(&BASE64.decode(fields).map_err(|_| Malformed)?).ok_or(Malformed)
    }
}

fn parse_fields(fields: &[u8]) -> Option<Ticket> {
    fn take<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
        let (head, tail) = rest.split_first_chunk::<N>()?;
        *rest = tail;
        Some(*head)
    }
    let rest = &mut &fields[..];
    let ticket = Ticket {
        issuer: u32::from_be_bytes(take(rest)?),
        incarnation: u64::from_be_bytes(take(rest)?),
        request: u64::from_be_bytes(take(rest)?),
        attempt: u32::from_be_bytes(take(rest)?),
        units: f64::from_bits(u64::from_be_bytes(take(rest)?)),
        expires_at: f64::from_bits(u64::from_be_bytes(take(rest)?)),
        class: u16::from_be_bytes(take(rest)?),
        backend: std::str::from_utf8(rest).ok()?.to_string(),
    };
    let valid = ticket.units.is_finite()
        && ticket.expires_at.is_finite()
        && ticket.backend.len() <= MAX_BACKEND_BYTES;
    valid.then_some(ticket)
}

#[cfg(test)]
mod tests;
