//! The control file, which the test writes and this process maps.

use crate::layout::FILE_BYTES;
use crate::libc::{MAP_SHARED, O_RDWR, PROT_READ_WRITE, abort, getenv, mmap, real_open};
use core::sync::atomic::{AtomicI64, AtomicPtr, Ordering};

/// The mapped control file; null without one.
static CONTROL: AtomicPtr<AtomicI64> = AtomicPtr::new(core::ptr::null_mut());

/// The loader runs this before `main`.
#[used]
#[unsafe(link_section = ".init_array")]
static INITIALIZER: unsafe extern "C" fn() = map_control;

/// Maps the file that the environment names; aborts the process where that fails.
unsafe extern "C" fn map_control() {
    unsafe {
        let path = getenv(c"FAULT_SHIM_CONTROL".as_ptr());
        if path.is_null() {
            return;
        }
        let fd = real_open(path, O_RDWR, 0);
        if fd < 0 {
            abort();
        }
        let address = mmap(core::ptr::null_mut(), FILE_BYTES, PROT_READ_WRITE, MAP_SHARED, fd, 0);
        if address as isize == -1 {
            abort();
        }
        CONTROL.store(address.cast(), Ordering::Release);
    }
}

/// The words of the control file; `None` without one.
pub fn control() -> Option<&'static [AtomicI64]> {
    let address = CONTROL.load(Ordering::Acquire);
    if address.is_null() {
        return None;
    }
    Some(unsafe { core::slice::from_raw_parts(address, FILE_BYTES / size_of::<AtomicI64>()) })
}
