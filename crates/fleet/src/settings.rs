//! The startup settings of a member, and their validation.

use crate::MIN_KEY_BYTES;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Largest number of members in a fleet.
pub const MAX_MEMBERS: usize = 10_000;

/// The startup settings of one member.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// This member's number: its index in `members`.
    pub instance: u16,
    /// The address that each member listens on and sends from, indexed by member number. Includes this
    /// member.
    pub members: Vec<SocketAddr>,
    /// The secret key that all members of the fleet share.
    pub key: Vec<u8>,
}

/// An error in the settings that prevents a member from starting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The fleet has fewer than two members, or more than [`MAX_MEMBERS`].
    #[error("a fleet has 2 to 10,000 members, not {0}")]
    FleetSize(usize),
    /// The member's own number is not below the number of members.
    #[error("member number {0} is not below the number of members, {1}; numbers start at 0")]
    Instance(u16, usize),
    /// Two members have the same address.
    #[error("members {0} and {1} have the same address")]
    DuplicateAddress(usize, usize),
    /// The key is shorter than [`MIN_KEY_BYTES`].
    #[error("a key of {0} bytes can be guessed; use at least {MIN_KEY_BYTES} random bytes")]
    ShortKey(usize),
}

impl MembershipSettings {
    /// Returns the number of members, after checking it and this member's own number.
    pub(crate) fn fleet_size(&self) -> Result<u16, SettingsError> {
        let count = self.members.len();
        let size = u16::try_from(count).ok().filter(|size| (2..=MAX_MEMBERS).contains(&usize::from(*size)));
        let size = size.ok_or(SettingsError::FleetSize(count))?;
        if self.instance >= size {
            return Err(SettingsError::Instance(self.instance, count));
        }
        Ok(size)
    }

    /// Maps each address to the number of its member; an error if two members share an address.
    pub(crate) fn numbers_by_address(&self) -> Result<HashMap<SocketAddr, u16>, SettingsError> {
        let mut numbers = HashMap::with_capacity(self.members.len());
        for (number, address) in (0u16..).zip(&self.members) {
            if let Some(first) = numbers.insert(*address, number) {
                return Err(SettingsError::DuplicateAddress(first.into(), number.into()));
            }
        }
        Ok(numbers)
    }
}
