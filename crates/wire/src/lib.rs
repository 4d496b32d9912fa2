//! Wire formats: RESP for the counter and HTTP/1.1 for backends and the admin page, as codecs for tokio-util's
//! `Framed`, and the endpoint list of Envoy's endpoint discovery service.
//!
//! Every codec bounds the memory that a peer can make it use. Input beyond a bound is an error, after which the
//! connection has to be closed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod body;
pub mod eds;
pub mod head;
pub mod http1;
pub mod resp;
