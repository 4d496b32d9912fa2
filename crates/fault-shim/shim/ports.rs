//! Ports of sockets, by which rules select calls.

use crate::libc::{AF_INET, SocketAddress, getpeername};
use core::ffi::c_int;
use core::sync::atomic::{AtomicU16, Ordering};

/// Descriptors whose peers are remembered, as `getpeername` fails on a socket that was reset.
const MAX_DESCRIPTORS: usize = 1 << 16;

/// For each descriptor the port that it was connected to; 0: none.
static PEERS: [AtomicU16; MAX_DESCRIPTORS] = [const { AtomicU16::new(0) }; MAX_DESCRIPTORS];

/// Remembers the port that a descriptor was connected to; 0: none.
pub fn remember_peer(fd: c_int, port: u16) {
    if let Some(peer) = usize::try_from(fd).ok().and_then(|fd| PEERS.get(fd)) {
        peer.store(port, Ordering::Relaxed);
    }
}

/// The port of a socket's peer; 0: none.
pub fn peer_port(fd: c_int) -> u16 {
    let remembered = usize::try_from(fd).ok().and_then(|fd| PEERS.get(fd));
    match remembered.map(|peer| peer.load(Ordering::Relaxed)) {
        Some(port) if port != 0 => port,
        _ => port(fd, getpeername),
    }
}

/// The port of a socket's IPv4 address that `name` returns; 0: none.
pub fn port(fd: c_int, name: unsafe extern "C" fn(c_int, *mut SocketAddress, *mut u32) -> c_int) -> u16 {
    let mut address = SocketAddress { family: 0, port: [0; 2], rest: [0; 124] };
    let mut len = core::mem::size_of::<SocketAddress>() as u32;
    let is_inet = unsafe { name(fd, &mut address, &mut len) } == 0 && address.family == AF_INET;
    if is_inet { u16::from_be_bytes(address.port) } else { 0 }
}
