//! A library that is preloaded into a process under test. It replaces the C library's wrappers of system calls, and applies
//! the faults of the control file to them. It does without the standard library, which would call these functions itself.
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

/// The precompiled core library refers to this symbol. Nothing unwinds here, so it is never called.
#[unsafe(no_mangle)]
extern "C" fn rust_eh_personality() {}
