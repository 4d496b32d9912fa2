//! TCP sockets that tolerate transient errors of the operating system: addresses that are still in use, accepts that
//! fail for some time, reads and writes that transfer less than requested, and interrupted calls.
#![deny(unsafe_op_in_unsafe_fn)]
#![warn(missing_docs)]

mod connect;
mod listen;
mod stream;
mod tcp_info;
mod transfer;

pub use connect::connect;
pub use listen::{Listener, bind};
pub use stream::Stream;
pub use tcp_info::{is_closed_by_peer, since_last_received};
pub use transfer::{read, read_chunk, write, write_all};
