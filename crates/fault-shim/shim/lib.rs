//! A library that is preloaded into a process under test. It interposes the C library's wrappers of system calls, and
//! applies the rules of the control file to them. It is `no_std`, since the standard library would itself call the
//! functions that are interposed here.
#![no_std]
#![allow(clippy::missing_safety_doc)]

mod apply;
mod clock;
mod control;
mod files;
mod layout;
mod libc;
mod ports;
mod rules;
mod sockets;

#[panic_handler]
fn panic(_: &core::panic::PanicInfo<'_>) -> ! {
    unsafe { libc::abort() }
}

/// The precompiled `core` refers to this symbol. It is never called: the library is built with `panic=abort`.
#[unsafe(no_mangle)]
extern "C" fn rust_eh_personality() {}
