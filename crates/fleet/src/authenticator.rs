//! Datagram authentication: HMAC-SHA256 with the fleet's key, truncated to 128 bits (RFC 2104, section 5).

use hmac::{Hmac, Mac};
use sha2::Sha256;

const TAG_BYTES: usize = 16;
/// Minimum length of a fleet's key.
pub const MIN_KEY_BYTES: usize = 32;
/// Domain separation: distinguishes these tags from other uses of the key and from other protocol versions.
const DOMAIN: &[u8] = b"weirusher fleet 1";

/// Signs and verifies the datagrams of a fleet.
#[derive(Clone)]
pub struct Authenticator {
    keyed: Hmac<Sha256>,
}

impl std::fmt::Debug for Authenticator {
    /// Omits the key, which must never reach a log.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Authenticator")
    }
}

impl Authenticator {
    /// Creates an authenticator; `None` if the key is shorter than [`MIN_KEY_BYTES`].
    pub fn new(key: &[u8]) -> Option<Self> {
        if key.len() < MIN_KEY_BYTES {
            return None;
        }
        let mut keyed = Hmac::<Sha256>::new_from_slice(key).ok()?;
        keyed.update(DOMAIN);
        Some(Self { keyed })
    }

    /// Appends the authentication tag to the content of a datagram.
    pub fn sign(&self, mut content: Vec<u8>) -> Vec<u8> {
        let mut tag = self.keyed.clone();
        tag.update(&content);
        content.extend_from_slice(&tag.finalize().into_bytes()[..TAG_BYTES]);
        content
    }

    /// Returns the content of a signed datagram if its tag is valid.
    pub fn verify<'a>(&self, signed: &'a [u8]) -> Option<&'a [u8]> {
        let (content, tag) = signed.split_at_checked(signed.len().checked_sub(TAG_BYTES)?)?;
        let mut expected = self.keyed.clone();
        expected.update(content);
        expected.verify_truncated_left(tag).ok()?;
        Some(content)
    }
}
