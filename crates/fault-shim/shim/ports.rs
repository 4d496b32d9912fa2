//! The ports of sockets, by which rules select calls.

use crate::libc::{AF_INET, SocketAddress, getpeername};
use core::ffi::c_int;
use core::sync::atomic::{AtomicU16, Ordering};

/// Number of descriptors whose peer ports are stored. They are stored because `getpeername` fails on a socket that was
/// reset.
const MAX_DESCRIPTORS: usize = 1 << 16;

/// Peer port that each descriptor was connected to; 0: none.
static PEER_PORTS: [AtomicU16; MAX_DESCRIPTORS] = [const { AtomicU16::new(0) }; MAX_DESCRIPTORS];

/// Stores the peer port that a descriptor was connected to; 0: none.
pub fn store_peer_port(fd: c_int, port: u16) {
    if let Some(peer) = usize::try_from(fd).ok().and_then(|fd| PEER_PORTS.get(fd)) {
        peer.store(port, Ordering::Relaxed);
    }
}

/// Returns the port of a socket's peer: the stored one, else that of `getpeername`; 0: none.
pub fn peer_port(fd: c_int) -> u16 {
    let stored = usize::try_from(fd).ok().and_then(|fd| PEER_PORTS.get(fd));
    match stored.map(|peer| peer.load(Ordering::Relaxed)) {
        Some(port) if port != 0 => port,
        _ => port(fd, getpeername),
    }
}

/// Returns the port of a socket's IPv4 address as `get_address` (`getpeername` or `getsockname`) gives it; 0: none.
pub fn port(
    fd: c_int,
    get_address: unsafe extern "C" fn(c_int, *mut SocketAddress, *mut u32) -> c_int,
) -> u16 {
    let mut address = SocketAddress { family: 0, port: [0; 2], rest: [0; 124] };
    let mut len = core::mem::size_of::<SocketAddress>() as u32;
    let is_inet = unsafe { get_address(fd, &mut address, &mut len) } == 0 && address.family == AF_INET;
    if is_inet { u16::from_be_bytes(address.port) } else { 0 }
}
