//! Interposes calls on sockets, and `epoll_wait`.

use crate::apply::{apply, apply_indivisible, partial_len};
use crate::layout::{action, call};
use crate::libc::{
    IoVec, MSG_PEEK, MsgHdr, SO_ERROR, SOL_SOCKET, SocketAddress, real_accept4, real_connect,
    real_epoll_wait, real_getsockopt, real_read, real_readv, real_recv, real_recvmsg, real_send,
    real_sendmsg, real_socket, real_write, real_writev,
};
use crate::ports::store_peer_port;
use crate::rules::{NO_PEER, matching_rule};
use core::ffi::{c_int, c_void};

#[unsafe(no_mangle)]
unsafe extern "C" fn accept4(fd: c_int, address: *mut SocketAddress, len: *mut u32, flags: c_int) -> c_int {
    let accepted = apply_indivisible(matching_rule(call::ACCEPT, fd, NO_PEER), || unsafe {
        real_accept4(fd, address, len, flags)
    });
    store_peer_port(accepted, 0);
    accepted
}

#[unsafe(no_mangle)]
unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let fd = apply_indivisible(matching_rule(call::SOCKET, -1, NO_PEER), || unsafe {
        real_socket(domain, kind, protocol)
    });
    store_peer_port(fd, 0);
    fd
}

#[unsafe(no_mangle)]
unsafe extern "C" fn connect(fd: c_int, address: *const SocketAddress, len: u32) -> c_int {
    let port = if address.is_null() { 0 } else { u16::from_be_bytes(unsafe { (*address).port }) };
    store_peer_port(fd, port);
    apply_indivisible(matching_rule(call::CONNECT, fd, Some(port)), || unsafe {
        real_connect(fd, address, len)
    })
}

/// `SO_ERROR` reports why a non-blocking `connect` failed, so translations for [`call::CONNECT`] apply to it too.
#[unsafe(no_mangle)]
unsafe extern "C" fn getsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *mut c_int,
    len: *mut u32,
) -> c_int {
    let result = unsafe { real_getsockopt(fd, level, name, value, len) };
    if result == 0 && (level, name) == (SOL_SOCKET, SO_ERROR) && unsafe { *value } != 0 {
        let found = matching_rule(call::CONNECT, fd, None).filter(|rule| rule.action == action::TRANSLATE);
        if let Some(rule) = found.filter(|rule| i64::from(unsafe { *value }) == rule.replaced_errno) {
            rule.count();
            unsafe { *value = rule.value as c_int };
        }
    }
    result
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_wait(fd: c_int, events: *mut c_void, max_events: c_int, millis: c_int) -> c_int {
    apply_indivisible(matching_rule(call::WAIT, -1, NO_PEER), || unsafe {
        real_epoll_wait(fd, events, max_events, millis)
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn recv(fd: c_int, buf: *mut c_void, len: usize, flags: c_int) -> isize {
    let rule = if flags & MSG_PEEK != 0 { None } else { matching_rule(call::RECEIVE, fd, None) };
    apply(
        rule,
        || unsafe { real_recv(fd, buf, len, flags) },
        |limit| unsafe { real_recv(fd, buf, partial_len(len, limit), flags) },
    )
}

#[unsafe(no_mangle)]
unsafe extern "C" fn send(fd: c_int, buf: *const c_void, len: usize, flags: c_int) -> isize {
    apply(
        matching_rule(call::SEND, fd, None),
        || unsafe { real_send(fd, buf, len, flags) },
        |limit| unsafe { real_send(fd, buf, partial_len(len, limit), flags) },
    )
}

/// Returns the first buffer that is not empty, shortened to [`partial_len`]; an empty one if there is none.
unsafe fn first_buffer(iov: *const IoVec, iov_len: usize, limit: usize) -> IoVec {
    for index in 0..iov_len {
        let buffer = unsafe { *iov.add(index) };
        if buffer.len > 0 {
            return IoVec { base: buffer.base, len: partial_len(buffer.len, limit) };
        }
    }
    IoVec { base: core::ptr::null_mut(), len: 0 }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn readv(fd: c_int, iov: *const IoVec, iov_len: c_int) -> isize {
    apply(
        matching_rule(call::RECEIVE, fd, None),
        || unsafe { real_readv(fd, iov, iov_len) },
        |limit| unsafe {
            let first = first_buffer(iov, iov_len as usize, limit);
            real_read(fd, first.base, first.len)
        },
    )
}

#[unsafe(no_mangle)]
unsafe extern "C" fn writev(fd: c_int, iov: *const IoVec, iov_len: c_int) -> isize {
    apply(
        matching_rule(call::SEND, fd, None),
        || unsafe { real_writev(fd, iov, iov_len) },
        |limit| unsafe {
            let first = first_buffer(iov, iov_len as usize, limit);
            real_write(fd, first.base, first.len)
        },
    )
}

#[unsafe(no_mangle)]
unsafe extern "C" fn recvmsg(fd: c_int, msg: *mut MsgHdr, flags: c_int) -> isize {
    apply_indivisible(matching_rule(call::RECEIVE, fd, None), || unsafe { real_recvmsg(fd, msg, flags) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn sendmsg(fd: c_int, msg: *const MsgHdr, flags: c_int) -> isize {
    apply_indivisible(matching_rule(call::SEND, fd, None), || unsafe { real_sendmsg(fd, msg, flags) })
}
