//! TCP sockets that tolerate what the operating system may do: addresses that are still in use, accepts that fail for a
//! while, reads and writes that transfer less than requested, calls that are interrupted.
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
pub use tcp_info::since_last_received;
pub use transfer::{read, write, write_all};
