//! The interface of the policy: settings at construction, then events in and actions out.
//!
//! Times are seconds on the caller's monotonic clock, quantities are quota units, and fractions are from 0 to
//! 1.

mod action;
mod endpoint;
mod event;
mod location;
mod request;
mod settings;

pub use action::{Action, Reason};
pub use endpoint::{Endpoint, EndpointListKind, Lifecycle};
pub use event::{Event, LoadReport, Status};
pub use location::{CellId, Location, ZoneId};
pub use request::Request;
pub use settings::{Class, DedupScope, Idempotency, Plan, Settings, SettingsError};

use std::sync::Arc;

/// A point in time, in seconds on the caller's monotonic clock; the caller chooses the origin.
pub type Time = f64;
/// The id of a request, unique while a gateway runs.
pub type RequestId = Arc<str>;
/// The address of a backend, an opaque string.
pub type BackendId = Arc<str>;
/// The id of a customer, an opaque string.
pub type CustomerId = Arc<str>;
