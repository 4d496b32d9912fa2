//! Fault points: named places at which a test can make the program panic. They only exist in builds with the feature
//! `fault-points`, which tests enable.

/// A fault point. Does nothing in builds without the feature `fault-points`.
#[cfg(not(feature = "fault-points"))]
#[inline]
pub fn fault_point(_place: &'static str) {}

#[cfg(feature = "fault-points")]
thread_local! {
    static ARMED: std::cell::Cell<Option<&'static str>> = const { std::cell::Cell::new(None) };
}

/// A fault point: panics if this thread has armed `place`, and disarms it.
///
/// # Panics
/// If the place is armed.
#[cfg(feature = "fault-points")]
pub fn fault_point(place: &'static str) {
    if ARMED.get() == Some(place) {
        ARMED.set(None);
        std::panic::panic_any(InjectedPanic);
    }
}

/// The payload of an injected panic.
#[cfg(feature = "fault-points")]
struct InjectedPanic;

/// Arms a fault point: this thread panics once, the next time that it reaches `place`.
#[cfg(feature = "fault-points")]
pub fn arm(place: &'static str) {
    ARMED.set(Some(place));
}

/// Whether this thread has no armed fault point: the armed one was reached, or none was armed.
#[cfg(feature = "fault-points")]
pub fn fault_triggered() -> bool {
    ARMED.get().is_none()
}

/// Stops the panic hook from printing injected panics.
#[cfg(feature = "fault-points")]
pub fn silence_injected_panics() {
    static ONCE: std::sync::Once = std::sync::Once::new();
    ONCE.call_once(|| {
        let print = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            if !info.payload().is::<InjectedPanic>() {
                print(info);
            }
        }));
    });
}
