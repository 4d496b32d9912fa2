//! Interposes `clock_gettime`.

use crate::apply::sleep;
use crate::control::control;
use crate::layout::{CLOCK_OFFSET, call};
use crate::libc::{
    CLOCK_MONOTONIC, CLOCK_REALTIME, CLOCK_REALTIME_COARSE, NANOS_PER_SECOND, Timespec, real_clock_gettime,
};
use crate::rules::{NO_PEER, matching_rule};
use core::ffi::{c_int, c_long};
use core::sync::atomic::Ordering;

/// Adds the offset of the control file to the wall clock. A rule for [`call::CLOCK`] delays the caller after the
/// monotonic clock was read, as if the thread had been descheduled then.
#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut Timespec) -> c_int {
    let result = unsafe { real_clock_gettime(clock, time) };
    let Some(words) = control().filter(|_| result == 0) else { return result };
    match clock {
        CLOCK_REALTIME | CLOCK_REALTIME_COARSE => {
            let time = unsafe { &mut *time };
            let offset = words[CLOCK_OFFSET].load(Ordering::Relaxed);
            let nanos = time.seconds * NANOS_PER_SECOND + time.nanos as i64 + offset;
            time.seconds = nanos.div_euclid(NANOS_PER_SECOND);
            time.nanos = nanos.rem_euclid(NANOS_PER_SECOND) as c_long;
        }
        CLOCK_MONOTONIC => {
            if let Some(rule) = matching_rule(call::CLOCK, -1, NO_PEER) {
                sleep(rule.value);
            }
        }
        _ => {}
    }
    result
}
