//! What a member has to be told at its start, and what can be wrong with it.

use crate::MIN_KEY_BYTES;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Members of a fleet at most.
pub const MAX_MEMBERS: usize = 10_000;

/// The settings of one member.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its number, from 0.
    pub instance: u16,
    /// The address that each member listens on and sends from, this one included, by number.
    pub members: Vec<SocketAddr>,
    /// The key that all members of the fleet share.
    pub key: Vec<u8>,
}

/// Why a member cannot start.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is nobody else, or too many.
    #[error("a fleet has 2 to 10,000 members, not {0}")]
    FleetSize(usize),
    /// Its number is none of the fleet's.
    #[error("member {0} of {1}: numbers run from 0")]
    Instance(u16, usize),
    /// Two members have one address.
    #[error("members {0} and {1} have the same address")]
    DuplicateAddress(usize, usize),
    /// The key is too short to be safe from guessing.
    #[error("a key of {0} bytes can be guessed: {MIN_KEY_BYTES} or more, at random")]
    ShortKey(usize),
}

impl Settings {
    /// The number of members.
    pub(crate) fn fleet_size(&self) -> Result<u16, SettingsError> {
        let count = self.members.len();
        let size = u16::try_from(count).ok().filter(|size| (2..=MAX_MEMBERS).contains(&usize::from(*size)));
        let size = size.ok_or(SettingsError::FleetSize(count))?;
        if self.instance >= size {
            return Err(SettingsError::Instance(self.instance, count));
        }
        Ok(size)
    }

    /// The number of the member at each address.
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
