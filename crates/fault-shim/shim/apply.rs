//! Applies the action of a rule to a call.

use crate::layout::action;
use crate::libc::{NANOS_PER_SECOND, SIGKILL, Timespec, errno_location, getpid, kill, nanosleep, pause};
use crate::rules::MatchedRule;
use core::ffi::{c_int, c_long};

/// A limit for [`partial_len`] that stands for half of the bytes.
const HALF: usize = usize::MAX;

/// Result type of a call; a negative result means that the call failed.
pub trait CallResult: Copy {
    /// Result of a failed call.
    const FAILED: Self;
    /// Returns whether the call failed.
    fn is_failure(self) -> bool;
}

impl CallResult for c_int {
    const FAILED: Self = -1;
    fn is_failure(self) -> bool {
        self < 0
    }
}

impl CallResult for isize {
    const FAILED: Self = -1;
    fn is_failure(self) -> bool {
        self < 0
    }
}

/// Makes a call and applies the action of `rule` to it. `complete` makes the whole call; `partial` makes one that
/// transfers [`partial_len`] bytes for the limit that it is given.
pub fn apply<T: CallResult>(
    rule: Option<MatchedRule>,
    complete: impl FnOnce() -> T,
    partial: impl FnOnce(usize) -> T,
) -> T {
    let Some(rule) = rule else { return complete() };
    match rule.action {
        action::FAIL => {
            set_errno(rule.value);
            T::FAILED
        }
        action::TRANSLATE => {
            let result = complete();
            if result.is_failure() && errno() == rule.replaced_errno {
                rule.count();
                set_errno(rule.value);
            }
            result
        }
        action::SHORT => partial(rule.value.max(1) as usize),
        action::DELAY => {
            sleep(rule.value);
            complete()
        }
        action::KILL => kill_process(),
        action::KILL_HALFWAY => {
            partial(HALF);
            kill_process()
        }
        action::KILL_AFTER => {
            complete();
            kill_process()
        }
        _ => complete(),
    }
}

/// Applies the action of `rule` to a call that cannot be made in part: a partial call is made whole.
pub fn apply_indivisible<T: CallResult>(rule: Option<MatchedRule>, complete: impl Fn() -> T) -> T {
    apply(rule, &complete, |_| complete())
}

/// Returns how many of `len` bytes a partial call transfers: at most `limit`, or half of them for [`HALF`].
pub fn partial_len(len: usize, limit: usize) -> usize {
    if limit == HALF { len / 2 } else { len.min(limit) }
}

/// Blocks the thread for this many nanoseconds.
pub fn sleep(nanos: i64) {
    let time = Timespec { seconds: nanos / NANOS_PER_SECOND, nanos: (nanos % NANOS_PER_SECOND) as c_long };
    unsafe { nanosleep(&time, core::ptr::null_mut()) };
}

fn errno() -> i64 {
    i64::from(unsafe { *errno_location() })
}

fn set_errno(errno: i64) {
    unsafe { *errno_location() = errno as c_int };
}

fn kill_process() -> ! {
    unsafe {
        kill(getpid(), SIGKILL);
        loop {
            pause();
        }
    }
}
