//! The sizes of a fleet that are compared.

/// The size of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Gateways, of which one is run.
    pub gateways: usize,
    /// Backends, all of which are run.
    pub backends: usize,
}

impl FleetSize {
    /// The usual size, with which the others are compared.
    pub const USUAL: Self = Self { gateways: 300, backends: 200 };
    /// More gateways for the same backends.
    pub const MANY_GATEWAYS: Self = Self { gateways: 900, backends: 200 };
    /// The largest size.
    pub const LARGEST: Self = Self { gateways: 900, backends: 3200 };
}
