//! State of a TCP socket that the standard library does not expose. This module contains the only unsafe code of the
//! gateway, behind a safe function.

use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// The state of a connection that neither side has closed, as the system numbers states (`TCP_ESTABLISHED`).
const ESTABLISHED: u8 = 1;

/// The time since a connected socket last received data, whether or not the data was read. `None` if the system does
/// not provide it.
pub fn since_last_received(socket: impl AsFd) -> Option<Duration> {
    Some(Duration::from_millis(tcp_info(socket)?.tcpi_last_data_recv.into()))
}

/// Whether a connected socket was closed or reset by its peer, which may be so behind unread data. `None` if the system
/// does not provide it. Only for sockets whose write half is open.
pub fn is_closed_by_peer(socket: impl AsFd) -> Option<bool> {
    Some(tcp_info(socket)?.tcpi_state != ESTABLISHED)
}

/// Reads `TCP_INFO`, see tcp(7). `None` if the system does not provide the fields that are used here.
fn tcp_info(socket: impl AsFd) -> Option<libc::tcp_info> {
    let mut info = std::mem::MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: `info` has the size given by `length`, and the system writes no more than that.
    let failed = unsafe {
        libc::getsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    let required = std::mem::offset_of!(libc::tcp_info, tcpi_last_data_recv) + size_of::<u32>();
    if failed != 0 || (length as usize) < required {
        return None;
    }
    // SAFETY: the structure consists of integers, for which all bit patterns are valid, and was zeroed before the call.
    Some(unsafe { info.assume_init() })
}
