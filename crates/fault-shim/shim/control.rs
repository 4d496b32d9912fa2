//! The control file, which the test writes and the process under test maps into memory.

use crate::layout::FILE_BYTES;
use crate::libc::{MAP_SHARED, O_RDWR, PROT_READ_WRITE, abort, getenv, mmap, real_open};
use core::sync::atomic::{AtomicI64, AtomicPtr, Ordering};

/// Address of the mapped control file; null where the environment names none.
static CONTROL: AtomicPtr<AtomicI64> = AtomicPtr::new(core::ptr::null_mut());

/// Makes the dynamic loader call [`map_control`] before `main`, as it does with all functions of `.init_array`.
#[used]
#[unsafe(link_section = ".init_array")]
static INITIALIZER: unsafe extern "C" fn() = map_control;

/// Maps the control file that the environment names; aborts the process if the file cannot be opened or mapped.
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

/// Returns the words of the control file; `None` where no file is mapped.
pub fn control() -> Option<&'static [AtomicI64]> {
    let address = CONTROL.load(Ordering::Acquire);
    if address.is_null() {
        return None;
    }
    Some(unsafe { core::slice::from_raw_parts(address, FILE_BYTES / size_of::<AtomicI64>()) })
}
