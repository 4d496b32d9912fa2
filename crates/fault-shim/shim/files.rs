//! Interposes calls on files, and `write`, which applies to sockets too.

use crate::apply::{apply, apply_indivisible, partial_len};
use crate::control::control;
use crate::layout::call;
use crate::libc::{
    MODE_WORD, O_ACCMODE, S_IFMT, S_IFREG, S_IFSOCK, STAT_WORDS, fstat, real_fdatasync, real_fsync,
    real_open, real_openat, real_rename, real_renameat, real_write,
};
use crate::rules::{MatchedRule, NO_PEER, matching_rule};
use core::ffi::{c_char, c_int, c_void};

/// Returns the type of the file that a descriptor refers to (the bits [`S_IFMT`] of `st_mode`), or 0 if `fstat` fails.
fn file_type(fd: c_int) -> u32 {
    let mut status = [0u32; STAT_WORDS];
    let is_known = unsafe { fstat(fd, status.as_mut_ptr().cast()) } == 0;
    if is_known { status[MODE_WORD] & S_IFMT } else { 0 }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn write(fd: c_int, buf: *const c_void, len: usize) -> isize {
    if control().is_none() {
        return unsafe { real_write(fd, buf, len) };
    }
    let rule = match file_type(fd) {
        S_IFSOCK => matching_rule(call::SEND, fd, None),
        S_IFREG => matching_rule(call::WRITE_FILE, fd, None),
        _ => None,
    };
    apply(
        rule,
        || unsafe { real_write(fd, buf, len) },
        |limit| unsafe { real_write(fd, buf, partial_len(len, limit)) },
    )
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    apply_indivisible(matching_rule(call::SYNC, fd, None), || unsafe { real_fsync(fd) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    apply_indivisible(matching_rule(call::SYNC, fd, None), || unsafe { real_fdatasync(fd) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    apply_indivisible(matching_rule(call::RENAME, -1, NO_PEER), || unsafe { real_rename(from, to) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn renameat(
    from_dir_fd: c_int,
    from: *const c_char,
    to_dir_fd: c_int,
    to: *const c_char,
) -> c_int {
    apply_indivisible(matching_rule(call::RENAME, -1, NO_PEER), || unsafe {
        real_renameat(from_dir_fd, from, to_dir_fd, to)
    })
}

/// Returns the rule that applies to an open with these flags. Rules apply only to opens for writing.
fn open_rule(flags: c_int) -> Option<MatchedRule> {
    let is_for_writing = flags & O_ACCMODE != 0;
    if is_for_writing { matching_rule(call::OPEN, -1, NO_PEER) } else { None }
}

unsafe fn open_at(dir_fd: c_int, path: *const c_char, flags: c_int, mode: u32) -> c_int {
    let rule = open_rule(flags);
    apply_indivisible(rule, || unsafe { real_openat(dir_fd, path, flags, mode) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn openat(dir_fd: c_int, path: *const c_char, flags: c_int, mode: u32) -> c_int {
    unsafe { open_at(dir_fd, path, flags, mode) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn openat64(dir_fd: c_int, path: *const c_char, flags: c_int, mode: u32) -> c_int {
    unsafe { open_at(dir_fd, path, flags, mode) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: u32) -> c_int {
    let rule = open_rule(flags);
    apply_indivisible(rule, || unsafe { real_open(path, flags, mode) })
}
