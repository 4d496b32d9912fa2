//! weirusher: the decisions of a gateway that holds customers to shared quotas before a common back end.
//!
//! The crate does no I/O and reads no clock: feed [`Gateway::handle`] one [`Event`] at a time with the
//! current time, and carry out the [`Action`]s it appends. In a page:
#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod interface;
mod platform_settings;
mod policy;
mod validation;

pub use interface::*;
pub use platform_settings::{PlatformSettings, PlatformSettingsError};
pub use policy::Gateway;
