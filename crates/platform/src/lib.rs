//! The messages of the operators' platform, without I/O: what clients send and receive, what backends and the counter
//! receive and answer, the endpoint list of discovery, and the configuration file.
//!
//! This crate maps the platform's own header and field names to the terms that the rest of the code uses. Everything that
//! is received is checked against the bounds that are constants here; nothing that was not understood is passed on.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod client;
pub mod config;
pub mod counter;
pub mod list;
pub mod response;
