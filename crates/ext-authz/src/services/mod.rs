//! The gRPC services that proxies call.

pub mod access_log;
pub mod ext_authz;
