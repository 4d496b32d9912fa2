//! A panic hook that logs and counts panics.

use std::panic::PanicHookInfo;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

static PANICS: AtomicU64 = AtomicU64::new(0);

/// Installs a panic hook that logs each panic, instead of writing it to standard error.
pub fn install_hook() {
    std::panic::set_hook(Box::new(log_panic));
}

/// The number of panics since the hook was installed.
pub fn count() -> u64 {
    PANICS.load(Relaxed)
}

fn log_panic(info: &PanicHookInfo<'_>) {
    PANICS.fetch_add(1, Relaxed);
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    let message =
        text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or("no message");
    let place = info.location().map(ToString::to_string).unwrap_or_default();
    let thread = std::thread::current();
    tracing::error!(place, message, thread = thread.name().unwrap_or_default(), "panic");
}
