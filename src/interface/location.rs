//! Where a backend runs: its zone and its cell.
//!
//! Backends of one zone, or of one cell, may share the idempotency keys that they have seen. An identity therefore has
//! to mean the same zone or cell for the life of a process, whatever list it comes from: it depends on the name alone,
//! and not on the position in a list.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Bit that tells identities that are derived from a name from those that are numbers.
const NAME_BIT: u32 = 1 << 31;

/// The identity of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ZoneId(u32);

impl ZoneId {
    /// The zone with this number, in a protocol that numbers zones.
    pub fn from_number(number: u32) -> Self {
        Self(number)
    }

    /// The zone with this name. An empty name is no zone.
    pub fn from_name(name: &str) -> Option<Self> {
        (!name.is_empty()).then(|| Self(hashed(name)))
    }

    /// The number of the zone.
    pub fn number(self) -> u32 {
        self.0
    }
}

/// The identity of a cell within its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CellId(u32);

impl CellId {
    /// The cell with this number, in a protocol that numbers cells.
    pub fn from_number(number: u32) -> Self {
        Self(number)
    }

    /// The cell with this name. An empty name is no cell.
    pub fn from_name(name: &str) -> Option<Self> {
        (!name.is_empty()).then(|| Self(hashed(name)))
    }

    /// The number of the cell.
    pub fn number(self) -> u32 {
        self.0
    }
}

fn hashed(name: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish() as u32 | NAME_BIT
}

/// Where a backend runs, as far as that is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Location {
    /// Its zone.
    pub zone: Option<ZoneId>,
    /// Its cell within the zone.
    pub cell: Option<CellId>,
}

impl Location {
    /// An unknown location. It shares its zone and its cell with no other location.
    pub const UNKNOWN: Self = Self { zone: None, cell: None };

    /// The location with these numbers of its zone and cell.
    pub fn from_numbers(zone: u32, cell: u32) -> Self {
        Self { zone: Some(ZoneId::from_number(zone)), cell: Some(CellId::from_number(cell)) }
    }

    /// Whether both locations are known to be in the same zone.
    pub fn shares_zone(self, other: Self) -> bool {
        self.zone.is_some() && self.zone == other.zone
    }

    /// Whether both locations are known to be in the same cell.
    pub fn shares_cell(self, other: Self) -> bool {
        self.shares_zone(other) && self.cell.is_some() && self.cell == other.cell
    }
}
