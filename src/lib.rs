//! The policy of an API gateway that holds customers to shared quotas in front of a fleet of backends: it
//! decides how each request proceeds.
//!
//! The crate does no I/O and reads no clock. Pass [`Gateway::handle_event`] one [`Event`] at a time with the
//! current time, and carry out the [`Action`]s that it appends.
#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod interface;
mod platform_settings;
mod policy;
mod validation;

pub use interface::{
    Action, BackendId, CellId, Class, CustomerId, DedupScope, Endpoint, EndpointListKind, Event, Idempotency,
    Lifecycle, LoadReport, Location, Plan, Reason, Request, RequestId, Settings, SettingsError, Status, Time,
    ZoneId,
};
pub use platform_settings::{PlatformSettings, PlatformSettingsError};
pub use policy::Gateway;
