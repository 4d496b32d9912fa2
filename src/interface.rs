//! The interface of the decisions: settings at the start, events in, actions out.
//!
//! Times are seconds on the caller's monotonic clock, quantities quota units, fractions from 0 to 1.

mod action;
mod endpoint;
mod event;
mod request;
mod settings;

pub use action::{Action, Reason};
pub use endpoint::{Endpoint, EndpointListKind, Lifecycle};
pub use event::{Event, LoadReport, Status};
pub use request::Request;
pub use settings::{Class, DedupScope, Idempotency, Plan, Settings, SettingsError};

use std::sync::Arc;

/// Seconds on the caller's monotonic clock, from an origin of its choice.
pub type Time = f64;
/// The id of a request, unique while a gateway runs.
pub type RequestId = Arc<str>;
/// The address of a backend, opaque.
pub type BackendId = Arc<str>;
/// The id of a customer, opaque.
pub type CustomerId = Arc<str>;
