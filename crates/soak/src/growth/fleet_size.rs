//! The fleet sizes that are compared.

/// The number of gateways and backends of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Configured gateways, only one of which runs.
    pub gateways: usize,
    /// Backends, all of which run.
    pub backends: usize,
}

impl FleetSize {
    /// The usual size, which the others are compared with.
    pub const USUAL: Self = Self { gateways: 300, backends: 200 };
    /// Three times the usual number of gateways, with the usual number of backends.
    pub const MANY_GATEWAYS: Self = Self { gateways: 900, backends: 200 };
    /// The largest size, in gateways and in backends.
    pub const LARGEST: Self = Self { gateways: 900, backends: 3200 };
}
