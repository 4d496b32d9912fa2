//! The code that a datagram ends with: HMAC-SHA256 by the fleet's key, cut to 128 bits (RFC 2104, section 5).

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Bytes of the code that travel.
const CODE: usize = 16;
/// Least bytes of a fleet's key.
pub const LEAST_KEY: usize = 32;
/// Keeps codes of datagrams apart from all else that might be made with the same key, and versions apart.
const PURPOSE: &[u8] = b"weirusher fleet 1";

/// A fleet's key, ready for use.
#[derive(Clone)]
pub struct Seal {
    keyed: Hmac<Sha256>,
}

impl std::fmt::Debug for Seal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Seal") // The key never reaches a log.
    }
}

impl Seal {
    /// A seal with a key; `None` where it is too short to be no guess.
    pub fn new(key: &[u8]) -> Option<Self> {
        if key.len() < LEAST_KEY {
            return None;
        }
        let mut keyed = Hmac::<Sha256>::new_from_slice(key).ok()?;
        keyed.update(PURPOSE);
        Some(Self { keyed })
    }

    /// Puts the code behind the bytes.
    pub fn close(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        let mut code = self.keyed.clone();
        code.update(&bytes);
        bytes.extend_from_slice(&code.finalize().into_bytes()[..CODE]);
        bytes
    }

    /// The bytes in front of the code, if it is theirs.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Option<&'a [u8]> {
        let (bytes, code) = sealed.split_at_checked(sealed.len().checked_sub(CODE)?)?;
        let mut expected = self.keyed.clone();
        expected.update(bytes);
        expected.verify_truncated_left(code).ok()?;
        Some(bytes)
    }
}
