//! Bindings to the C library: constants, types, functions, and the functions that the shim interposes (`real_*`).

use core::ffi::{c_char, c_int, c_long, c_void};
use core::sync::atomic::{AtomicUsize, Ordering};

pub const RTLD_NEXT: *mut c_void = -1isize as *mut c_void;
pub const O_RDWR: c_int = 2;
pub const O_ACCMODE: c_int = 3;
pub const PROT_READ_WRITE: c_int = 3;
pub const MAP_SHARED: c_int = 1;
pub const SIGKILL: c_int = 9;
pub const CLOCK_REALTIME: c_int = 0;
pub const CLOCK_REALTIME_COARSE: c_int = 5;
pub const CLOCK_MONOTONIC: c_int = 1;
pub const AF_INET: u16 = 2;
pub const SOL_SOCKET: c_int = 1;
pub const SO_ERROR: c_int = 4;
pub const MSG_PEEK: c_int = 2;
pub const S_IFMT: u32 = 0o170000;
pub const S_IFREG: u32 = 0o100000;
pub const S_IFSOCK: u32 = 0o140000;
/// Length of the buffer for a `struct stat` in 32-bit words; at least the length of the struct.
pub const STAT_WORDS: usize = 64;
/// Index of `st_mode` in that buffer.
#[cfg(target_arch = "x86_64")]
pub const MODE_WORD: usize = 6;
/// Index of `st_mode` in that buffer.
#[cfg(not(target_arch = "x86_64"))]
pub const MODE_WORD: usize = 4;
pub const NANOS_PER_SECOND: i64 = 1_000_000_000;

#[repr(C)]
pub struct Timespec {
    pub seconds: i64,
    pub nanos: c_long,
}

#[repr(C)]
pub struct SocketAddress {
    pub family: u16,
    pub port: [u8; 2],
    pub rest: [u8; 124],
}

#[repr(C)]
#[derive(Clone, Copy)]
pub struct IoVec {
    pub base: *mut c_void,
    pub len: usize,
}

#[repr(C)]
pub struct MsgHdr {
    pub name: *mut c_void,
    pub name_len: u32,
    pub iov: *mut IoVec,
    pub iov_len: usize,
    pub control: *mut c_void,
    pub control_len: usize,
    pub flags: c_int,
}

unsafe extern "C" {
    pub fn dlsym(handle: *mut c_void, name: *const c_char) -> *mut c_void;
    pub fn getenv(name: *const c_char) -> *const c_char;
    pub fn mmap(
        address: *mut c_void,
        len: usize,
        prot: c_int,
        flags: c_int,
        fd: c_int,
        offset: i64,
    ) -> *mut c_void;
    pub fn kill(pid: c_int, signal: c_int) -> c_int;
    pub fn getpid() -> c_int;
    pub fn pause() -> c_int;
    pub fn abort() -> !;
    pub fn fstat(fd: c_int, status: *mut c_void) -> c_int;
    pub fn nanosleep(time: *const Timespec, remaining: *mut Timespec) -> c_int;
    pub fn getpeername(fd: c_int, address: *mut SocketAddress, len: *mut u32) -> c_int;
    pub fn getsockname(fd: c_int, address: *mut SocketAddress, len: *mut u32) -> c_int;
    #[link_name = "__errno_location"]
    pub fn errno_location() -> *mut c_int;
}

/// Declares `$wrapper`, which calls the C library's own `$name`. Since the shim interposes `$name`, `dlsym` looks up
/// its next definition in the search order; the address is cached.
macro_rules! real {
    ($wrapper:ident, $name:literal, ($($arg:ident: $type:ty),*) -> $result:ty) => {
        pub unsafe fn $wrapper($($arg: $type),*) -> $result {
            static ADDRESS: AtomicUsize = AtomicUsize::new(0);
            let mut address = ADDRESS.load(Ordering::Relaxed);
            if address == 0 {
                address = unsafe { dlsym(RTLD_NEXT, $name.as_ptr()) } as usize;
                ADDRESS.store(address, Ordering::Relaxed);
            }
            let call: unsafe extern "C" fn($($type),*) -> $result = unsafe { core::mem::transmute(address) };
            unsafe { call($($arg),*) }
        }
    };
}

real!(real_open, c"open64", (path: *const c_char, flags: c_int, mode: u32) -> c_int);
real!(real_accept4, c"accept4", (fd: c_int, address: *mut SocketAddress, len: *mut u32, flags: c_int) -> c_int);
real!(real_socket, c"socket", (domain: c_int, kind: c_int, protocol: c_int) -> c_int);
real!(real_connect, c"connect", (fd: c_int, address: *const SocketAddress, len: u32) -> c_int);
real!(real_epoll_wait, c"epoll_wait", (fd: c_int, events: *mut c_void, max_events: c_int, millis: c_int) -> c_int);
real!(real_recv, c"recv", (fd: c_int, buf: *mut c_void, len: usize, flags: c_int) -> isize);
real!(real_send, c"send", (fd: c_int, buf: *const c_void, len: usize, flags: c_int) -> isize);
real!(real_read, c"read", (fd: c_int, buf: *mut c_void, len: usize) -> isize);
real!(real_write, c"write", (fd: c_int, buf: *const c_void, len: usize) -> isize);
real!(real_readv, c"readv", (fd: c_int, iov: *const IoVec, iov_len: c_int) -> isize);
real!(real_writev, c"writev", (fd: c_int, iov: *const IoVec, iov_len: c_int) -> isize);
real!(real_recvmsg, c"recvmsg", (fd: c_int, msg: *mut MsgHdr, flags: c_int) -> isize);
real!(real_sendmsg, c"sendmsg", (fd: c_int, msg: *const MsgHdr, flags: c_int) -> isize);
real!(real_fsync, c"fsync", (fd: c_int) -> c_int);
real!(real_fdatasync, c"fdatasync", (fd: c_int) -> c_int);
real!(real_rename, c"rename", (from: *const c_char, to: *const c_char) -> c_int);
real!(real_renameat, c"renameat",
    (from_dir_fd: c_int, from: *const c_char, to_dir_fd: c_int, to: *const c_char) -> c_int);
real!(real_openat, c"openat64", (dir_fd: c_int, path: *const c_char, flags: c_int, mode: u32) -> c_int);
real!(real_clock_gettime, c"clock_gettime", (clock: c_int, time: *mut Timespec) -> c_int);
real!(real_getsockopt, c"getsockopt",
    (fd: c_int, level: c_int, name: c_int, value: *mut c_int, len: *mut u32) -> c_int);
