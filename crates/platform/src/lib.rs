//! Parsing and writing of the platform's messages, without I/O: client requests and responses, the messages
//! to and from backends and the counter, the endpoint list of discovery, and the configuration file.
//!
//! This crate maps the header and field names of the platform to the terms that the rest of the code uses.
//! All input is checked against the bounds that are defined as constants here, and input that cannot be
//! parsed is never passed on.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod client;
pub mod config;
pub mod counter;
pub mod list;
pub mod response;
